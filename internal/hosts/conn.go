package hosts

import (
	"container/list"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"os"
	"runtime/debug"
	"slices"
	"time"

	"ravensill/gateway"
	"ravensill/internal/bufconn"
	"ravensill/internal/resp"
)

const (
	maxCommandBytes = 160 << 10              // the command with the largest body, with room to spare
	answerTimeout   = 500 * time.Millisecond // from an answer's first byte to its last
)

var (
	errUnexpectedAnswer = errors.New("answer to nothing")
	errClosedEarly      = errors.New("ended before anything was sent")
)

// conn is a connection to a host. It carries one attempt at a time. All but run and its helpers, which read from the socket on
// a goroutine of their own, belongs to the event loop.
type conn struct {
	pool        *hostPool
	addr        netip.AddrPort
	link        *bufconn.Link // nil until the dial succeeded
	attempt     *Attempt      // the one that it carries
	idleSince   int64
	idleElement *list.Element // in the transport's idle list; nil unless idle
	answers     int           // received
	readsSeen   int64         // the link's Reads at the last answer
	flushQueued bool          // whether it is in the transport's toFlush
	used        bool          // whether a command was written
	closed      bool
}

// run dials the host, then passes answers to the event loop until the connection fails or an answer is followed by more bytes.
func (c *conn) run() {
	t := c.pool.transport
	defer func() {
		if p := recover(); p != nil {
			slog.Error("panic", "where", "host", "error", p, "stack", debug.Stack())
			t.runOnLoop(func() { c.fail(errors.New("panic")) })
		}
	}()
	link, err := c.dial()
	if err != nil {
		t.runOnLoop(func() { c.dialFailed(err) })
		return
	}
	t.runOnLoop(func() {
		c.link = link
		t.dialSucceeded()
		c.pool.addDialing(-1)
		c.release()
	})
	var parser resp.Parser
	for {
		answer, err := c.readAnswer(link, &parser)
		if err != nil {
			t.runOnLoop(func() { c.fail(err) })
			return
		}
		t.runOnLoop(func() { c.handleAnswer(answer) })
		if answer.more {
			return
		}
		if answer.split {
			link.SetReadTimeout(0)
		}
	}
}

// dial connects to the host. It runs on the connection's goroutine.
func (c *conn) dial() (*bufconn.Link, error) {
	socket, err := c.pool.transport.Dial(c.addr.String())
	if err != nil {
		return nil, err
	}
	link, err := bufconn.NewLink(c.pool.transport.system, socket.(*net.TCPConn), resp.MaxValueBytes, maxCommandBytes)
	if err != nil {
		socket.Close()
		return nil, err
	}
	return link, nil
}

// answer is a whole answer of a host.
type answer struct {
	event    gateway.Event
	value    []byte // nil without one
	received int64  // when its last byte was read
	reads    int64  // the link's Reads then
	more     bool   // whether further bytes follow it
	split    bool   // whether it came in several reads, the later ones under answerTimeout
}

// readAnswer reads the next answer. It runs on the connection's goroutine.
func (c *conn) readAnswer(link *bufconn.Link, parser *resp.Parser) (answer, error) {
	t := c.pool.transport
	split := false
	for {
		if err := link.Read(); err != nil {
			if split && errors.Is(err, os.ErrDeadlineExceeded) {
				err = fmt.Errorf("%w: it does not end", errInvalidAnswer)
			}
			return answer{}, err
		}
		reads := link.Reads()
		received := t.now()
		parsed, whole, err := parser.Next(link.In)
		if !whole && err == nil {
			if !split && link.In.Len() > 0 {
				split = true
				link.SetReadTimeout(answerTimeout)
			}
			continue
		}
		a := answer{received: received, reads: reads, split: split}
		if err == nil {
			a.value, err = parseAnswer(parsed, t.loadFields, &a.event)
		}
		if err != nil {
			return answer{}, fmt.Errorf("%w: %w", errInvalidAnswer, err)
		}
		a.value = slices.Clone(a.value)
		a.more = parser.More(link.In)
		return a, nil
	}
}

// dialSucceeded logs the end of a shortage.
func (t *Transport) dialSucceeded() {
	if t.short {
		t.short = false
		slog.Info("dials_back")
	}
}

// dialFailed fails the longest pending attempt if no other dial is left for it.
func (c *conn) dialFailed(err error) {
	pool := c.pool
	pool.addDialing(-1)
	pool.transport.openConns--
	if len(pool.pending) <= pool.dialing {
		return
	}
	attempt := pool.takePending()
	limiter := pool.transport.limiter
	if limiter != nil && limiter.requeueRefused(attempt, err) {
		return
	}
	attempt.fail(&Failure{Connecting, err})
}

// release assigns a new connection to the longest pending attempt, or makes it idle. One that has just carried an answer
// becomes idle and is not used before the reuse delay: each pending attempt has a dial of its own.
func (c *conn) release() {
	pool := c.pool
	if c.addr != pool.addr || pool.removed {
		c.close()
		pool.dialPending()
		return
	}
	now := pool.transport.now()
	limiter := pool.transport.limiter
	isNew := c.readsSeen == 0
	if limiter != nil && isNew {
		limiter.requeuePending(pool)
	}
	for limiter == nil && isNew && len(pool.pending) > 0 {
		attempt := pool.takePending()
		if now <= attempt.writeDeadline {
			c.assign(attempt)
			return
		}
		attempt.fail(&Failure{Connecting, ErrTimedOut})
	}
	c.addIdle(now)
}

// assign has the connection carry the attempt, whose command is written by the next flush.
func (c *conn) assign(attempt *Attempt) {
	c.removeIdle()
	c.attempt = attempt
	attempt.conn = c
	t := c.pool.transport
	if t.limiter != nil {
		t.limiter.attemptAssigned(attempt)
	}
	if !c.flushQueued {
		c.flushQueued = true
		t.toFlush = append(t.toFlush, c)
	}
}

// flush writes what the connection carries, as far as its socket takes it, and reports whether some is left. Attempts start
// here only, so their connection and deadline are checked here: the decision to make them may be long past.
func (c *conn) flush() (left bool) {
	attempt := c.attempt
	if attempt == nil {
		return false
	}
	if !attempt.started && !c.untouched() {
		c.replaceStale(attempt)
		return false
	}
	now := c.pool.transport.now()
	if now > attempt.writeDeadline {
		c.fail(ErrTimedOut)
		return false
	}
	if !attempt.started {
		attempt.started = true
		attempt.startedAt = now
		c.used = true
		attempt.command.write(c.link.Out, now, attempt.deadline)
		if c.pool.transport.limiter == nil { // with one, a refused connection needs the command again
			attempt.command = nil
		}
	}
	if err := c.link.Flush(); err != nil {
		c.fail(err)
		return false
	}
	return c.link.Out.Len() > 0
}

// untouched reports whether neither bytes nor an end have arrived since the connection came up or gave its last answer.
func (c *conn) untouched() bool {
	if c.answers == 0 {
		return c.link.Fresh()
	}
	return c.link.Quiet(c.readsSeen)
}

// replaceStale closes a connection on which bytes or an end arrived before its attempt was written. The attempt never ran and
// is scheduled again; if the connection was new, it fails as one that could not connect.
func (c *conn) replaceStale(attempt *Attempt) {
	limiter := c.pool.transport.limiter
	c.attempt = nil
	attempt.conn = nil
	c.close()
	if limiter != nil {
		limiter.attemptDone(attempt, false)
	}
	switch {
	case c.answers == 0:
		if limiter == nil || !limiter.requeueRefused(attempt, errStoreRefused) {
			attempt.fail(&Failure{Connecting, errClosedEarly})
		}
	case limiter != nil:
		limiter.queue = append([]*Attempt{attempt}, limiter.queue...)
		limiter.serveQueue()
	default:
		c.pool.schedule(attempt)
	}
}

// handleAnswer completes the connection's attempt, or fails the connection if the answer can't be that attempt's.
func (c *conn) handleAnswer(a answer) {
	attempt := c.attempt
	limiter := c.pool.transport.limiter
	c.readsSeen = a.reads
	c.answers++
	if limiter != nil && attempt != nil && c.answers == 1 && a.event.Result == gateway.Busy {
		c.attempt = nil
		limiter.attemptDone(attempt, false)
		c.close()
		limiter.requeueRefused(attempt, errStoreRefused)
		return
	}
	if attempt == nil || attempt.stage() != Sent || a.received < attempt.startedAt {
		c.fail(errUnexpectedAnswer)
		return
	}
	if a.event.Result == gateway.Succeeded && (a.value == nil) != attempt.probe {
		c.fail(fmt.Errorf("%w: %w", errInvalidAnswer, errMalformed))
		return
	}
	c.attempt = nil
	if limiter != nil {
		limiter.attemptDone(attempt, true)
	}
	attempt.done = true
	if c.pool.failing {
		c.pool.failing = false
		slog.Info("host_answers", "addr", c.pool.addr)
	}
	if a.more {
		c.close()
	} else {
		c.release()
	}
	attempt.onResult(a.event, a.value, a.received)
}

// fail closes the connection and fails the attempt that it carries.
func (c *conn) fail(err error) {
	if c.closed {
		return
	}
	if c.link == nil {
		c.closed = true
		c.dialFailed(err)
		return
	}
	attempt := c.attempt
	if attempt == nil {
		c.close()
		if limiter := c.pool.transport.limiter; limiter != nil && !c.used {
			limiter.Refused++ // the store closed it before anything was sent
			limiter.backOff()
		}
		return
	}
	stage := attempt.stage()
	c.attempt = nil
	c.close()
	if limiter := c.pool.transport.limiter; limiter != nil {
		limiter.attemptDone(attempt, false)
		neverRan := stage == Writing && c.answers == 0
		if neverRan && limiter.requeueRefused(attempt, err) {
			return
		}
	}
	attempt.fail(&Failure{stage, err})
}

// close closes the connection without regard to an attempt that it carries.
func (c *conn) close() {
	if c.closed {
		return
	}
	c.closed = true
	c.pool.transport.openConns--
	c.link.Close()
	c.removeIdle()
}
