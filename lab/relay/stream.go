package relay

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
)

// Stream is an address of the relay for connections from one end to another. Each chunk of bytes passes by the rules of
// its direction at that time.
type Stream struct {
	relay    *Relay
	forward  link
	listener net.Listener
	target   atomic.Value // string: where the other end listens
	conns    map[*streamConn]bool
	opened   int
	closed   bool

	goroutines sync.WaitGroup
}

// AddStream adds an address for connections from one end to another. target, where the other end listens, may be set later
// by SetTarget.
func (r *Relay) AddStream(from, to, target string) (*Stream, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("stream from %s to %s: %w", from, to, err)
	}
	stream := &Stream{relay: r, forward: link{from, to}, listener: listener, conns: map[*streamConn]bool{}}
	stream.target.Store(target)
	r.Ask(func() { r.streams = append(r.streams, stream) })
	stream.goroutines.Go(stream.accept)
	return stream, nil
}

// accept carries connections until the listener is closed.
func (s *Stream) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.goroutines.Go(func() { s.carry(conn) })
	}
}

// Addr returns the address that the one end calls.
func (s *Stream) Addr() string { return s.listener.Addr().String() }

// SetTarget sets the address to which new connections lead; "" refuses them.
func (s *Stream) SetTarget(target string) { s.target.Store(target) }

// ConnCounts returns the numbers of connections that are open and that were ever opened.
func (s *Stream) ConnCounts() (open, opened int) {
	s.relay.Ask(func() {
		open = len(s.conns)
		opened = s.opened
	})
	return open, opened
}

// ResetStreams resets all connections from some ends to others; nil stands for all.
func (r *Relay) ResetStreams(from, to []string) {
	rule := Rule{From: from, To: to}
	r.Ask(func() {
		for _, stream := range r.streams {
			if rule.covers(stream.forward.from, stream.forward.to) {
				stream.reset()
			}
		}
	})
}

// reset resets all connections.
func (s *Stream) reset() {
	for conn := range s.conns {
		conn.reset()
	}
}

// close closes the listener and resets all connections.
func (s *Stream) close() {
	s.closed = true
	s.listener.Close()
	s.reset()
}

// add registers a new connection. It reports false if the stream is closed.
func (s *Stream) add(conn *streamConn) (added bool) {
	s.relay.Ask(func() {
		if s.closed {
			return
		}
		s.conns[conn] = true
		s.opened++
		added = true
	})
	return added
}

// connected sets the other side of a connection. It reports false if the connection has ended meanwhile.
func (s *Stream) connected(conn *streamConn, callee net.Conn) (open bool) {
	s.relay.Ask(func() {
		conn.callee = callee
		open = s.conns[conn]
	})
	return open
}

// carry connects a new connection to the target and carries both directions.
func (s *Stream) carry(caller net.Conn) {
	conn := &streamConn{stream: s, caller: caller, over: make(chan struct{})}
	if !s.add(conn) {
		caller.Close()
		return
	}
	if !conn.waitToConnect() {
		s.relay.Do(conn.reset)
		return
	}
	callee, err := net.Dial("tcp4", s.target.Load().(string))
	if err != nil {
		s.relay.Do(conn.reset)
		return
	}
	if !s.connected(conn, callee) {
		callee.Close()
		return
	}
	backward := link{s.forward.to, s.forward.from}
	s.goroutines.Go(func() { conn.copy(caller, callee, s.forward) })
	s.goroutines.Go(func() { conn.copy(callee, caller, backward) })
}
