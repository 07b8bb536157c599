package sockets

import (
	"errors"
	"net"
	"net/netip"
	"time"
)

const (
	acceptRetryDelay = 10 * time.Millisecond // pause after an accept that failed
	bindRetryDelay   = 20 * time.Millisecond // pause between two calls of RetryResourceExhausted's try
	bindTimeout      = 5 * time.Second       // how long Listen retries while this machine lacks a resource
)

// Listener is a net.Listener whose Accept fails only once the listener is closed. Every other error of accept(2)
// concerns a single connection or is transient, but some of them would end an http.Server.
type Listener struct {
	*net.TCPListener
	System System // makes the system calls
}

// Accept waits for the next connection. After an error it pauses and tries again, unless the listener is closed.
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

// RetryResourceExhausted calls try until it succeeds, until it fails with an error for which IsResourceExhausted is
// false, or until it still fails after limit. It returns the error of the last call.
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

// Listen opens a TCP listener through system. While this machine lacks a resource, it retries for bindTimeout.
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
