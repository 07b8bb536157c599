package sockets

import (
	"errors"
	"slices"
	"syscall"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// shortages are the errors of connect(2), socket(2), accept(2) and bind(2) for which this machine is the cause: no descriptor,
// port, memory or route. They pass, and say nothing of the other side.
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

// IsShortage reports whether a call failed for want of something on this machine.
func IsShortage(err error) bool {
	return slices.ContainsFunc(shortages, func(errno syscall.Errno) bool { return errors.Is(err, errno) })
}

// IsPassing reports whether a listener may be had later: another process holds the address yet, or this machine is short of
// something.
func IsPassing(err error) bool { return errors.Is(err, syscall.EADDRINUSE) || IsShortage(err) }

// Bounds of the pause after a datagram that could not be read.
const (
	minReadPause = time.Millisecond
	maxReadPause = 100 * time.Millisecond
)

// ReadPause paces a loop that reads datagrams: an error that stays must not have it spin. The zero value is ready to use.
type ReadPause struct{ backoff *backoff.ExponentialBackOff }

// Failed waits after a read that failed, longer with each in a row.
func (p *ReadPause) Failed() {
	if p.backoff == nil {
		p.backoff = backoff.NewExponentialBackOff()
		p.backoff.InitialInterval = minReadPause
		p.backoff.MaxInterval = maxReadPause
		p.backoff.Reset()
	}
	time.Sleep(p.backoff.NextBackOff())
}

// Succeeded ends a row of failures.
func (p *ReadPause) Succeeded() { p.backoff = nil }
