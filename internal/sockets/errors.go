package sockets

import (
	"errors"
	"slices"
	"syscall"
)

// shortages are the errors of connect(2), socket(2), accept(2) and bind(2) for which this machine is the cause: it
// lacks a descriptor, port, memory or route. They are transient, and independent of the other side.
var shortages = []syscall.Errno{
	syscall.EMFILE,        // the process's descriptors
	syscall.ENFILE,        // the system's descriptors
	syscall.ENOBUFS,       // memory for sockets
	syscall.ENOMEM,        // memory
	syscall.EADDRNOTAVAIL, // no port is free, or the address is not on an interface yet
	syscall.ENETUNREACH,   // no route, as without an interface
	syscall.ENETDOWN,
	syscall.EINTR,
}

// IsResourceExhausted reports whether a call failed because this machine lacks a resource.
func IsResourceExhausted(err error) bool {
	return slices.ContainsFunc(shortages, func(errno syscall.Errno) bool { return errors.Is(err, errno) })
}

// IsTransientListenError reports whether a listener that could not be opened may be opened later: another process still listens on
// the address, or this machine lacks a resource.
func IsTransientListenError(err error) bool {
	return errors.Is(err, syscall.EADDRINUSE) || IsResourceExhausted(err)
}
