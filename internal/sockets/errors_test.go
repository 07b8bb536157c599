package sockets

import (
	"errors"
	"net"
	"os"
	"syscall"
	"testing"
)

// TestErrorsAreClassifiedByNumber checks errors that are wrapped as package net wraps them.
func TestErrorsAreClassifiedByNumber(t *testing.T) {
	tests := []struct {
		errno     syscall.Errno
		shortage  bool
		transient bool
	}{
		{syscall.EMFILE, true, true},
		{syscall.ENFILE, true, true},
		{syscall.ENOBUFS, true, true},
		{syscall.ENOMEM, true, true},
		{syscall.EADDRNOTAVAIL, true, true},
		{syscall.ENETUNREACH, true, true},
		{syscall.EINTR, true, true},
		{syscall.EADDRINUSE, false, true},
		{syscall.ECONNREFUSED, false, false},
		{syscall.ECONNRESET, false, false},
		{syscall.EHOSTUNREACH, false, false},
		{syscall.ETIMEDOUT, false, false},
		{syscall.EACCES, false, false},
	}
	for _, test := range tests {
		err := error(&net.OpError{Op: "dial", Err: os.NewSyscallError("connect", test.errno)})
		if IsResourceExhausted(err) != test.shortage || IsTransientListenError(err) != test.transient {
			t.Errorf("%v: shortage %t, transient %t", err, IsResourceExhausted(err), IsTransientListenError(err))
		}
	}
	if IsResourceExhausted(nil) || IsResourceExhausted(errors.New("other")) {
		t.Error("nil or an error without a number is a shortage")
	}
}
