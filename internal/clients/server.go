// Package clients serves clients over RESP2: it parses their commands and writes the answers in the commands' order.
// The names of the wire protocol are known here only. It makes no decisions on requests. Each connection has a
// goroutine that reads it (reader.go); everything else belongs to the event loop of the gateway.
package clients

import (
	"errors"
	"net"
	"time"

	"ravensill/internal/clock"
	"ravensill/internal/sockets"
)

// Limits of a connection.
const (
	maxInFlight    = 256       // commands that wait for answers; later ones stay queued
	maxQueuedBytes = 512 << 10 // of queued commands; beyond that all queued ones are rejected
	maxUnsentBytes = 256 << 10 // of answers that wait for a client that reads slowly
	maxMalformed   = 16        // malformed commands in a row that end the connection
)

const (
	// writeStallTimeout is the time after which a client that accepts no byte of its answers is disconnected.
	writeStallTimeout = 10 * time.Second
	// commandTimeout is the longest time from connecting to a complete first command, and from any command's first byte
	// to its last.
	commandTimeout = 2 * time.Second
	// idleTimeout is the time after which an idle connection is closed.
	idleTimeout = 2 * time.Second
	// lingerTimeout is the time for which a half-closed connection is still read.
	lingerTimeout = time.Second
	// maxSweepGap is the time between two calls of CloseOverdue that shows a pause of the process.
	maxSweepGap = time.Second
)

var (
	errCommandTimeout   = errors.New("no whole command came in time")
	errTooManyMalformed = errors.New("too many commands that can't be understood")
	errSlowReader       = errors.New("answers are read too slowly")
)

// Server accepts client connections and serves them. All fields belong to the loop, the goroutine that runs the
// functions passed to runOnLoop.
type Server struct {
	system    sockets.System
	catalog   *Catalog
	maxConns  int // further connections wait in the listen queue
	runOnLoop func(func())
	now       func() clock.Instant
	onRequest RequestHandler

	conns     map[*Conn]bool
	unflushed []*Conn // have answers to write
	stalled   []*Conn // during Flush: those whose client did not accept all bytes

	listener     *net.TCPListener
	admissions   chan bool     // one value for each question of the accept loop: whether there is a free slot
	slotFreed    chan struct{} // holds a value after a connection has ended
	accepting    bool          // the accept loop runs
	acceptClosed bool          // the accept loop is to end
	draining     bool          // connections end as soon as they are idle

	lastSweep clock.Instant // time of the latest CloseOverdue
	faultLog  logLimiter
	fullLog   logLimiter
}

// NewServer returns a server that holds at most maxConns connections and accepts commands that name what the catalog
// contains. It makes its system calls by system. runOnLoop queues a function for the loop, on which onRequest is
// called; now returns the time.
func NewServer(
	system sockets.System,
	catalog *Catalog,
	maxConns int,
	runOnLoop func(func()),
	now func() clock.Instant,
	onRequest RequestHandler,
) *Server {
	return &Server{
		system:     system,
		catalog:    catalog,
		maxConns:   maxConns,
		runOnLoop:  runOnLoop,
		now:        now,
		onRequest:  onRequest,
		conns:      map[*Conn]bool{},
		admissions: make(chan bool, 1),
		slotFreed:  make(chan struct{}, 1),
	}
}

// CloseOverdue ends connections whose client has not completed a command in time, is idle, or reads none of its
// answers. It does so although slots may be free: clients may use a third of the descriptors only, and idle ones keep
// others from connecting.
func (s *Server) CloseOverdue() {
	now := s.now()
	paused := now.Sub(s.lastSweep) > maxSweepGap // what arrived meanwhile is not read yet
	s.lastSweep = now
	if paused {
		return
	}
	for c := range s.conns {
		c.closeIfOverdue(now)
	}
}

// Flush writes all answers set since the previous call, with one write per connection, and starts the commands that
// waited for them. It reports whether some bytes could not be written yet.
func (s *Server) Flush() bool {
	for i := 0; i < len(s.unflushed); i++ { // starting commands may append to the list
		c := s.unflushed[i]
		if c == nil {
			continue
		}
		s.unflushed[i] = nil // first: a panic must not keep the others unflushed for ever
		c.flushPending = false
		if !c.closed {
			c.flush()
		}
	}
	s.unflushed = append(s.unflushed[:0], s.stalled...)
	s.stalled = s.stalled[:0]
	return len(s.unflushed) > 0
}

// Drain ends each connection once all its commands are answered. A command that crosses the close gets no answer.
func (s *Server) Drain() {
	s.draining = true
	for c := range s.conns {
		c.halfCloseIfIdle()
	}
}

// CloseAll closes the listener and all connections at once.
func (s *Server) CloseAll() {
	if s.listener != nil {
		s.listener.Close()
	}
	for c := range s.conns {
		c.close()
	}
}

// ConnCount returns the number of connections.
func (s *Server) ConnCount() int { return len(s.conns) }

// Closed reports whether all connections have ended and none can be accepted any more.
func (s *Server) Closed() bool { return len(s.conns) == 0 && !s.accepting }
