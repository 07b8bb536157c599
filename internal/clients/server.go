package clients

import (
	"errors"
	"net"
	"time"

	"ravensill/internal/sockets"
)

// Limits of a connection.
const (
	maxInFlight    = 256       // commands that wait for answers; later ones stay queued
	maxQueuedBytes = 512 << 10 // bytes of queued commands; beyond that all queued ones are rejected
	maxUnsentBytes = 256 << 10 // bytes of answers that wait for a client that reads slowly
	maxMalformed   = 16        // malformed commands in a row that end the connection
)

// Timeouts. Those of type int64 are nanoseconds of the server's clock.
const (
	writeStallTimeout  = int64(10 * time.Second)       // a client that takes no byte of its answers for so long is disconnected
	commandTimeout     = int64(2 * time.Second)        // from connecting to a whole first command, and from any command's first byte to its last
	idleTimeout        = int64(2 * time.Second)        // an idle connection ends after so long
	connectGrace       = int64(100 * time.Millisecond) // a new connection is not evicted before; its first command may be on its way
	answerTransit      = int64(20 * time.Millisecond)  // an answer may be on its way for so long: closing over unread bytes would reset it away
	logInterval        = int64(time.Second)            // between log lines of one kind
	lingerTimeout      = time.Second                   // a half-closed connection is still read for so long
	placeRetryInterval = 20 * time.Millisecond         // between two requests of the accept loop for a free place
	floodPause         = 2 * time.Millisecond          // after each maxQueuedBytes of a client that sends faster than the loop starts commands
	acceptRetryDelay   = 10 * time.Millisecond         // after a failed accept
)

var (
	errCommandTimeout   = errors.New("no whole command came in time")
	errTooManyMalformed = errors.New("too many commands that can't be understood")
	errSlowReader       = errors.New("answers are read too slowly")
)

// Request is one request of a client. Times are in nanoseconds of the server's clock.
type Request struct {
	ID           string
	Customer     string
	ReceivedAt   int64 // when its last byte was read
	Deadline     int64 // its client waits until then
	Class        int   // index in the Catalog
	Plan         int   // index in the Catalog
	Units        float64
	Spread       int  // the customer's requests come in at this many gateways,
	FirstGateway int  // from this member index on
	Retry        bool // marked by the client as a retry

	// The command to send to a host is the concatenation of Head, a bulk string of Before, the time left in milliseconds and After,
	// and Tail.
	Head   []byte
	Before []byte
	After  []byte
	Tail   []byte
}

// RequestHandler is called on the loop for each request. It gives the answer then or later.
type RequestHandler func(answer *Answer, request *Request)

// Server accepts client connections and holds them. All fields belong to the loop, the goroutine that runs the functions
// passed to runOnLoop.
type Server struct {
	system    sockets.System
	catalog   *Catalog
	maxConns  int // further connections wait in the listen queue
	runOnLoop func(func())
	now       func() int64 // nanoseconds
	onRequest RequestHandler

	conns     map[*Conn]bool
	unflushed []*Conn // have answers to write
	stalled   []*Conn // during Flush: those whose client did not take all

	listener     *net.TCPListener
	admissions   chan bool     // one answer for each question of the accept loop: whether there is a place
	placeFreed   chan struct{} // holds a value after a connection has ended
	accepting    bool          // the accept loop runs
	acceptClosed bool          // the accept loop is to end
	draining     bool          // connections end as soon as they are idle

	lastSweep int64 // time of the last CloseOverdue
	faultLog  logLimiter
	fullLog   logLimiter
}

// NewServer returns a server that holds at most maxConns connections, which it takes in by the calls of system, and whose commands
// name what the catalog knows. runOnLoop queues a function for the loop; onRequest is called there.
func NewServer(system sockets.System, catalog *Catalog, maxConns int, runOnLoop func(func()), now func() int64,
	onRequest RequestHandler) *Server {
	return &Server{
		system:     system,
		catalog:    catalog,
		maxConns:   maxConns,
		runOnLoop:  runOnLoop,
		now:        now,
		onRequest:  onRequest,
		conns:      map[*Conn]bool{},
		admissions: make(chan bool, 1),
		placeFreed: make(chan struct{}, 1),
	}
}

// CloseOverdue ends connections whose client has not completed a command in time, is idle, or takes none of its answers. It does not
// wait until places are short: clients may hold a third of the descriptors only, and idle ones keep others from connecting.
func (s *Server) CloseOverdue() {
	now := s.now()
	stoodStill := now-s.lastSweep > logInterval // the process was paused: what came meanwhile is not read yet
	s.lastSweep = now
	if stoodStill {
		return
	}
	for c := range s.conns {
		c.closeIfOverdue(now)
	}
}

// Flush writes all answers given since the last call, with one write a connection, and starts the commands that waited for
// them. It reports whether some bytes could not be written yet.
func (s *Server) Flush() bool {
	for i := 0; i < len(s.unflushed); i++ { // starting commands may append to the list
		c := s.unflushed[i]
		if c == nil {
			continue
		}
		s.unflushed[i] = nil // first, so that a panic does not keep the others from their turn for ever
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

// Count returns the number of connections.
func (s *Server) Count() int { return len(s.conns) }

// Closed reports whether all connections have ended and none can be accepted any more.
func (s *Server) Closed() bool { return len(s.conns) == 0 && !s.accepting }
