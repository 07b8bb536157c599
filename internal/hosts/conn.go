package hosts

import (
	"container/list"
	"errors"
	"fmt"
	"log/slog"
	"net/netip"

	"ravensill/gateway"
	"ravensill/internal/bufconn"
	"ravensill/internal/clock"
)

var (
	errUnexpectedAnswer = errors.New("unexpected answer")
	errClosedEarly      = errors.New("ended before anything was sent")
)

// conn is a connection to a host. It carries one attempt at a time. It belongs to the event loop, except for run and
// the methods that run calls, which read from the socket on the connection's goroutine.
type conn struct {
	pool        *hostPool
	addr        netip.AddrPort
	link        *bufconn.Link // nil until the dial succeeded
	attempt     *Attempt      // nil while it carries none
	idleSince   clock.Instant
	idleElement *list.Element // in the transport's idle list; nil unless idle
	answers     int           // received
	readsSeen   int64         // the link's Reads at the latest answer
	flushQueued bool          // whether it is in the transport's toFlush
	used        bool          // whether a command was written
	closed      bool
}

// dialSucceeded sets the connection's link and assigns the connection to an attempt.
func (c *conn) dialSucceeded(link *bufconn.Link) {
	c.link = link
	t := c.pool.transport
	if t.dialShortage {
		t.dialShortage = false
		slog.Info("dial_resources_restored")
	}
	c.pool.addDialing(-1)
	c.release()
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
	attempt.fail(Connecting, err)
}

// release assigns a new connection to the longest pending attempt, or makes it idle. A connection that has just
// received an answer becomes idle and is not used before the reuse delay: each pending attempt has its own dial.
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
		attempt.fail(Connecting, ErrTimedOut)
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

// unassign ends the connection's part in its attempt.
func (c *conn) unassign(answered bool) {
	if limiter := c.pool.transport.limiter; limiter != nil {
		limiter.attemptDone(c.attempt, answered)
	}
	c.attempt = nil
}

// flush writes what the connection carries, as far as its socket accepts it, and reports whether bytes are left. All
// attempts start here, and their connection and deadline are checked here: the decision to make them may be long past.
func (c *conn) flush() (left bool) {
	attempt := c.attempt
	if attempt == nil {
		return false
	}
	if !attempt.started && !c.untouched() {
		c.replaceStale()
		return false
	}
	now := c.pool.transport.now()
	if now > attempt.writeDeadline {
		c.fail(ErrTimedOut)
		return false
	}
	if !attempt.started {
		c.startAttempt(now)
	}
	if err := c.link.Flush(); err != nil {
		c.fail(err)
		return false
	}
	return c.link.Out.Len() > 0
}

// startAttempt writes the command of the connection's attempt to the output buffer.
func (c *conn) startAttempt(now clock.Instant) {
	attempt := c.attempt
	attempt.started = true
	attempt.startedAt = now
	c.used = true
	attempt.command.write(c.link.Out, attempt.deadline.Sub(now))
	if c.pool.transport.limiter == nil { // under a quota, a refused connection needs the command again
		attempt.command = nil
	}
}

// untouched reports whether neither bytes nor an end have arrived since the dial or the latest answer.
func (c *conn) untouched() bool {
	if c.answers == 0 {
		return c.link.NoInputYet()
	}
	return c.link.NoInputSince(c.readsSeen)
}

// replaceStale closes a connection on which bytes or an end arrived before its attempt was written. The attempt never
// ran and is scheduled again; if the connection was new, the attempt fails as one that could not connect.
func (c *conn) replaceStale() {
	limiter := c.pool.transport.limiter
	attempt := c.attempt
	c.unassign(false)
	attempt.conn = nil
	c.close()
	switch {
	case c.answers == 0:
		if limiter == nil || !limiter.requeueRefused(attempt, errStoreRefused) {
			attempt.fail(Connecting, errClosedEarly)
		}
	case limiter != nil:
		limiter.requeue(attempt)
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
	refusedByStore := c.answers == 1 && a.event.Result == gateway.Busy
	if limiter != nil && attempt != nil && refusedByStore {
		c.unassign(false)
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
	c.unassign(true)
	attempt.done = true
	c.pool.hostAnswered()
	if a.more {
		c.close()
	} else {
		c.release()
	}
	attempt.onResult(a.event, a.value, a.received)
}

// fail closes the connection and fails the attempt that it carries.
func (c *conn) fail(err error) {
	switch {
	case c.closed:
	case c.link == nil:
		c.closed = true
		c.dialFailed(err)
	case c.attempt == nil:
		c.failUnassigned()
	default:
		c.failAttempt(err)
	}
}

// failUnassigned closes a connection that carries no attempt. Under a quota, the store has refused a connection that it
// closed before anything was sent.
func (c *conn) failUnassigned() {
	c.close()
	limiter := c.pool.transport.limiter
	if limiter != nil && !c.used {
		limiter.RefusedConnections++
		limiter.backOff()
	}
}

// failAttempt closes the connection and fails its attempt, unless the store refused the connection.
func (c *conn) failAttempt(err error) {
	attempt := c.attempt
	stage := attempt.stage()
	c.unassign(false)
	c.close()
	limiter := c.pool.transport.limiter
	neverRan := stage == Writing && c.answers == 0
	if limiter != nil && neverRan && limiter.requeueRefused(attempt, err) {
		return
	}
	attempt.fail(stage, err)
}

// close closes the connection. It leaves alone the attempt that the connection carries.
func (c *conn) close() {
	if c.closed {
		return
	}
	c.closed = true
	c.pool.transport.openConns--
	c.link.Close()
	c.removeIdle()
}
