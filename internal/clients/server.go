// Package clients serves clients over RESP2: it parses their commands and writes the answers in the order of the
// commands. It is the only package that knows the names of the protocol between client and gateway, and it makes no
// decisions on requests. Each connection has a goroutine that reads it, its reader (reader.go), and one goroutine
// accepts connections (accept.go); everything else runs on the event loop of the gateway.
package clients

import (
	"errors"
	"net"
	"slices"
	"sync/atomic"
	"time"

	"ravensill/internal/clock"
	"ravensill/internal/memory"
	"ravensill/internal/sockets"
)

// Limits of a connection.
const (
	maxInFlight = 256 // commands that are started and whose answers wait; later ones stay queued
	// maxStartsPerTurn is the number of commands of one connection that are started before those of other connections.
	maxStartsPerTurn = 8
	maxQueuedBytes   = 512 << 10 // bytes of queued commands, at most; beyond that all queued commands are rejected
	maxOutputBytes   = 128 << 10 // bytes of answers in the output buffer, which the largest answer fits into
	// maxMalformed is the number of malformed commands in a row after which the reader pauses, or ends the connection if
	// others need its slot.
	maxMalformed = 16
	// outputBatchBytes is the size of the output buffer up to which further answers are added to it.
	outputBatchBytes = 16 << 10
)

const (
	// writeStallTimeout is the time after which a client that accepts none of the unsent bytes is disconnected.
	writeStallTimeout = 10 * time.Second
	// commandTimeout is the longest time from the connect to the first complete command, and from the first byte of any
	// command to its last.
	commandTimeout = 2 * time.Second
	// idleTimeout is the time after which a connection without commands in flight and unsent answers is closed.
	idleTimeout = 2 * time.Second
	// lingerTimeout is the longest time for which a half-closed connection is still read.
	lingerTimeout = time.Second
	// maxUnreadTime is the longest time for which requests of a connection start while bytes behind them are unread. The
	// end of the stream may be among those bytes, and no attempt may begin long after it.
	maxUnreadTime = 50 * time.Millisecond
	// maxSweepGap is the longest time between two calls of CloseOverdue in a process that was not paused.
	maxSweepGap = time.Second
)

var (
	errCommandTimeout   = errors.New("no whole command came in time")
	errTooManyMalformed = errors.New("too many commands that can't be understood")
	errSlowReader       = errors.New("answers are read too slowly")
	errAnswerDropped    = errors.New("answer dropped: too many answers wait to be read")
)

// Server accepts client connections and serves them. Its methods must be called on the event loop, the goroutine that
// runs the functions passed to runOnLoop, to which its fields belong.
type Server struct {
	system    sockets.System
	catalog   *Catalog
	maxConns  int // limit of conns; further connections wait in the listen queue of the kernel
	runOnLoop func(func())
	now       func() clock.Instant
	onRequest RequestHandler

	retryAfterShortage func() time.Duration

	conns         map[*Conn]bool // the open connections
	answerMemory  *memory.Budget // of the unsent answers of all connections
	commandMemory *memory.Budget // of the commands of all connections that are incomplete, queued or in flight
	unflushed     []*Conn        // connections with answers to write; nil: flushed during the current Flush
	stalled       []*Conn        // connections whose client did not accept all bytes during the latest Flush

	listener     *net.TCPListener
	slotReplies  chan bool     // one value per replySlotAvailable: whether a slot is free
	slotFreed    chan struct{} // holds a value after a connection has ended
	accepting    bool          // whether the accept loop runs
	acceptClosed bool          // whether the accept loop is to end
	draining     bool          // whether connections end as soon as they are idle

	// endsMalformed says whether maxMalformed malformed commands in a row end a connection: all slots are used and none
	// could be freed, or the server drains. Readers read it.
	endsMalformed atomic.Bool

	lastSweep    clock.Instant // time of the latest CloseOverdue
	stats        Stats         // except Open
	faultLog     logLimiter
	connLimitLog logLimiter
	dropLog      logLimiter
}

// Options configure a Server. All fields must be set.
type Options struct {
	System    sockets.System       // makes the system calls
	Catalog   *Catalog             // by which commands are checked
	MaxConns  int                  // largest number of open connections
	RunOnLoop func(func())         // queues a function for the event loop; called on any goroutine
	Now       func() clock.Instant // returns the current time; called on any goroutine
	OnRequest RequestHandler       // called on the event loop for each request
	// RetryAfterShortage returns the time after which a client should come back that is rejected because memory or
	// processor time is short; 0: no time is given. Called on the event loop.
	RetryAfterShortage func() time.Duration

	// AnswerMemory is the memory for answers that wait for their clients.
	AnswerMemory *memory.Budget
	// CommandMemory is the memory for commands that are incomplete, wait to start or are in flight.
	CommandMemory *memory.Budget
}

// NewServer returns a server that does not accept connections yet.
func NewServer(options Options) *Server {
	return &Server{
		system:    options.System,
		catalog:   options.Catalog,
		maxConns:  options.MaxConns,
		runOnLoop: options.RunOnLoop,
		now:       options.Now,
		onRequest: options.OnRequest,

		retryAfterShortage: options.RetryAfterShortage,

		conns:         map[*Conn]bool{},
		answerMemory:  options.AnswerMemory,
		commandMemory: options.CommandMemory,
		slotReplies:   make(chan bool, 1),
		slotFreed:     make(chan struct{}, 1),
	}
}

// CloseOverdue ends connections whose client has not completed a command in time, is idle for too long, or accepts none
// of its answers. It has to be called more than once per maxSweepGap: a call after a longer gap closes nothing, because
// the process was paused and bytes that arrived may not be read yet. Connections end even if slots are free: clients
// may use only a third of the descriptors, and idle clients keep others from connecting.
func (s *Server) CloseOverdue() {
	now := s.now()
	paused := now.Sub(s.lastSweep) > maxSweepGap // what arrived during the pause may not be read yet
	s.lastSweep = now
	if paused {
		return
	}
	for c := range s.conns {
		c.closeIfOverdue(now)
	}
}

// Flush writes all answers set since the previous call, as far as sockets accept them, and starts commands that waited
// because too many were in flight. It reports whether some bytes could not be written yet. Answers that are set by
// commands that it starts are left to the next call, so that clients that send commands as fast as they are answered
// can't keep the event loop here.
func (s *Server) Flush() bool {
	s.unflushed = append(s.unflushed, s.stalled...)
	s.stalled = s.stalled[:0]
	count := len(s.unflushed)
	for i := range count {
		c := s.unflushed[i]
		if c == nil {
			continue
		}
		s.unflushed[i] = nil // before the flush: if that panics, the next Flush must not start with it again
		c.flushPending = false
		if !c.closed {
			c.flush()
		}
	}
	s.unflushed = slices.Delete(s.unflushed, 0, count)
	s.releaseAnswerMemory()
	return len(s.stalled) > 0
}

// FlushDue reports whether answers were set since the latest Flush, or by commands that it started.
func (s *Server) FlushDue() bool { return len(s.unflushed) > 0 }

// Drain ends each connection once all its commands are answered. A command that arrives after the close of the sending
// side gets no answer.
func (s *Server) Drain() {
	s.draining = true
	s.endsMalformed.Store(true)
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
		c.setEndReason(Aborted)
		c.close()
	}
}

// ConnCount returns the number of open connections.
func (s *Server) ConnCount() int { return len(s.conns) }

// Closed reports whether all connections have ended and no further one can be accepted.
func (s *Server) Closed() bool { return len(s.conns) == 0 && !s.accepting }
