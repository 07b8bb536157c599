package sockets

import (
	"errors"
	"net"
	"net/netip"
	"time"
)

const (
	acceptRetryDelay = 10 * time.Millisecond // after an accept that failed
	bindRetryDelay   = 20 * time.Millisecond // between attempts to open a listener
	bindTimeout      = 5 * time.Second       // while this machine lacks a resource
)

// Listener is a net.Listener whose Accept fails only once it is closed: every other error concerns one connection, or
// is transient. A server of package net/http would end on some of them.
type Listener struct {
	*net.TCPListener
	System System
}

// Accept waits for the next connection.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.System.Accept(l.TCPListener)
		if err == nil {
			return conn, nil
		}
		if errors.Is(err, net.ErrClosed) {
			return nil, err
		}
		time.Sleep(acceptRetryDelay)
	}
}

// RetryResourceExhausted calls try until it succeeds, fails for another reason than a shortage of this machine, or has failed
// for longer than limit.
func RetryResourceExhausted(limit time.Duration, try func() error) error {
	start := time.Now()
	for {
		err := try()
		if err == nil || !IsResourceExhausted(err) || time.Since(start) > limit {
			return err
		}
		time.Sleep(bindRetryDelay)
	}
}

// Listen opens a TCP listener by the calls of system. It retries for bindTimeout while this machine lacks a resource.
func Listen(system System, address netip.AddrPort) (*Listener, error) {
	var listener *net.TCPListener
	err := RetryResourceExhausted(bindTimeout, func() (err error) {
		listener, err = system.Listen(address)
		return err
	})
	if err != nil {
		return nil, err
	}
	return &Listener{TCPListener: listener, System: system}, nil
}
