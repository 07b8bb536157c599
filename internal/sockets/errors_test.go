package sockets

import (
	"errors"
	"net"
	"os"
	"syscall"
	"testing"
	"time"
)

// An error is classified by its number, wrapped as package net wraps it.
func TestErrorsAreClassifiedByNumber(t *testing.T) {
	tests := []struct {
		errno    syscall.Errno
		shortage bool
		passing  bool
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
		if IsShortage(err) != test.shortage || IsTransient(err) != test.passing {
			t.Errorf("%v: shortage %t, passing %t", err, IsShortage(err), IsTransient(err))
		}
	}
	if IsShortage(nil) || IsShortage(errors.New("other")) {
		t.Error("nil or an error without a number is a shortage")
	}
}

// A loop whose reads all fail is slowed down: the pauses of 20 failures add up to 50 ms, whatever their random part.
func TestReadBackoffGrows(t *testing.T) {
	var backoff ReadBackoff
	start := time.Now()
	for range 20 {
		backoff.Failed()
	}
	if took := time.Since(start); took < 50*time.Millisecond {
		t.Errorf("20 failures took %v", took)
	}
	backoff.Succeeded()
	backoff.Failed() // the zero value again
}
