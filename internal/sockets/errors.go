package sockets

import (
	"errors"
	"slices"
	"syscall"
)

// resourceErrnos are the errors of connect(2), socket(2), accept(2) and bind(2) that are caused by this machine: it
// lacks a descriptor, a port, memory or a route, or the call was interrupted. They are transient and don't depend on
// the peer.
var resourceErrnos = []syscall.Errno{
	syscall.EMFILE,        // the process has no free descriptor
	syscall.ENFILE,        // the machine has no free descriptor
	syscall.ENOBUFS,       // no memory for sockets
	syscall.ENOMEM,        // no memory
	syscall.EADDRNOTAVAIL, // no port is free, or no interface has the address yet
	syscall.ENETUNREACH,   // no route, for example because no interface is up
	syscall.ENETDOWN,
	syscall.EINTR,
}

// IsResourceExhausted reports whether err, the error of a socket call, is caused by a lack of resources on this
// machine. It returns false for nil.
func IsResourceExhausted(err error) bool {
	return slices.ContainsFunc(resourceErrnos, func(errno syscall.Errno) bool { return errors.Is(err, errno) })
}

// IsTransientListenError reports whether a listener that could not be opened with this error may be opened later:
// another process still listens on the address, or this machine lacks a resource.
func IsTransientListenError(err error) bool {
	return errors.Is(err, syscall.EADDRINUSE) || IsResourceExhausted(err)
}
