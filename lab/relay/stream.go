package relay

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
)

// Stream forwards TCP connections from one node to another. Data waits in the relay according to the rules of its
// direction. The fields conns, opened and closed belong to the relay's actor.
type Stream struct {
	relay    *Relay
	forward  link // from the node that connects to the target's node
	listener net.Listener
	target   atomic.Value         // string: address at which the other node listens
	conns    map[*streamConn]bool // open connections
	opened   int                  // connections opened so far
	closed   bool

	goroutines sync.WaitGroup
}

// AddStream adds an address for connections from one node to another. target is the address at which the other node
// listens; SetTarget can set it later.
func (r *Relay) AddStream(from, to, target string) (*Stream, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("adding a stream from %s to %s: %w", from, to, err)
	}
	stream := &Stream{relay: r, forward: link{from, to}, listener: listener, conns: map[*streamConn]bool{}}
	stream.target.Store(target)
	r.Ask(func() { r.streams = append(r.streams, stream) })
	stream.goroutines.Go(stream.acceptConns)
	return stream, nil
}

// acceptConns accepts connections until the listener is closed.
func (s *Stream) acceptConns() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.goroutines.Go(func() { s.relayConn(conn) })
	}
}

// Addr returns the address to which the connecting node connects.
func (s *Stream) Addr() string { return s.listener.Addr().String() }

// SetTarget sets the address to which new connections are forwarded. With "" they are reset.
func (s *Stream) SetTarget(target string) { s.target.Store(target) }

// ConnCounts returns the number of open connections and of all connections opened so far.
func (s *Stream) ConnCounts() (open, opened int) {
	s.relay.Ask(func() {
		open = len(s.conns)
		opened = s.opened
	})
	return open, opened
}

// ResetStreams resets all connections from some nodes to others; nil stands for all nodes. The listeners stay open.
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

// add registers a new connection, unless the stream is closed.
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

// setServer sets the connection to the target. open is false if the client's connection has ended in the meantime.
func (s *Stream) setServer(conn *streamConn, server net.Conn) (open bool) {
	s.relay.Ask(func() {
		conn.server = server
		open = s.conns[conn]
	})
	return open
}

// relayConn waits until the link allows a connection, connects to the target and starts to copy both directions. If
// that fails, it resets the client's connection.
func (s *Stream) relayConn(client net.Conn) {
	conn := &streamConn{stream: s, client: client, ended: make(chan struct{})}
	if !s.add(conn) {
		client.Close()
		return
	}
	if !conn.waitToConnect() {
		s.relay.Do(conn.reset)
		return
	}
	server, err := net.Dial("tcp4", s.target.Load().(string))
	if err != nil {
		s.relay.Do(conn.reset)
		return
	}
	if !s.setServer(conn, server) {
		server.Close()
		return
	}
	backward := link{s.forward.to, s.forward.from}
	s.goroutines.Go(func() { conn.copyDirection(client, server, s.forward) })
	s.goroutines.Go(func() { conn.copyDirection(server, client, backward) })
}
