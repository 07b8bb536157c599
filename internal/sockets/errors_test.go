package sockets

import (
	"errors"
	"net"
	"os"
	"syscall"
	"testing"
	"time"
)

// The errors of a call are told apart, wrapped as package net wraps them.
func TestErrorKinds(t *testing.T) {
	for _, test := range []struct {
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
	} {
		err := error(&net.OpError{Op: "dial", Err: os.NewSyscallError("connect", test.errno)})
		if IsShortage(err) != test.shortage || IsPassing(err) != test.passing {
			t.Errorf("%v: shortage %t, passing %t", err, IsShortage(err), IsPassing(err))
		}
	}
	if IsShortage(nil) || IsShortage(errors.New("other")) {
		t.Error("no error, or another one, is no shortage")
	}
}

// A loop whose reads all fail is paced: the pauses of 20 failures add up to 50 ms at least, by the least that chance gives.
func TestReadPauseGrows(t *testing.T) {
	var pause ReadPause
	began := time.Now()
	for range 20 {
		pause.Failed()
	}
	if took := time.Since(began); took < 50*time.Millisecond {
		t.Errorf("20 failures took %v", took)
	}
	pause.Succeeded()
	pause.Failed() // the zero value again
}
