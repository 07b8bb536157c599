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
	errUnsolicitedAnswer = errors.New("answer received before a command was sent")
	errClosedBeforeWrite = errors.New("connection closed before a command was sent")
)

// conn is a connection to a host. It carries one attempt at a time. Its fields and methods belong to the event loop,
// except run and the methods that run calls: they dial and read from the socket on the connection's own goroutine.
type conn struct {
	pool                *hostPool
	addr                netip.AddrPort
	generation          int           // the pool's generation when the connection was dialed
	link                *bufconn.Link // nil until the dial succeeded
	attempt             *Attempt      // the attempt that the connection carries, nil for none
	idleSince           clock.Instant // when the connection became idle for the latest time
	idleElement         *list.Element // in the transport's idle list; nil unless idle
	answerCount         int           // answers received on the connection
	readsAtLatestAnswer int64         // the link's ReadCount when the latest answer was complete; 0: no answer yet
	flushQueued         bool          // whether the connection is in the transport's toFlush list
	commandWritten      bool          // whether a command was ever passed to the output buffer
	closed              bool
}

// dialSucceeded takes over the link of a new connection and makes the connection available to attempts.
func (c *conn) dialSucceeded(link *bufconn.Link) {
	c.link = link
	t := c.pool.transport
	if t.dialResourcesExhausted {
		t.dialResourcesExhausted = false
		slog.Info("dial_resources_restored")
	}
	c.pool.addDialing(-1)
	c.release()
}

// dialFailed fails the attempt that has been pending for the longest time, unless enough other dials are in progress
// for all pending attempts. Under a connection quota the attempt may return to the queue instead.
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

// release assigns a new connection to the attempt that has been pending for the longest time, or marks it as idle. A
// connection that has just received an answer always becomes idle and is not used before the reuse delay is over: each
// pending attempt has a dial of its own. A connection to an address or process that is no longer the host's is closed.
func (c *conn) release() {
	pool := c.pool
	if c.addr != pool.addr || c.generation != pool.generation || pool.removed {
		c.close()
		pool.dialPending()
		return
	}
	now := pool.transport.now()
	limiter := pool.transport.limiter
	isNew := c.readsAtLatestAnswer == 0
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

// assign makes the connection carry the attempt. The next Flush of the transport writes the command.
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

// unassign detaches the connection from its attempt. answered says whether the attempt got an answer.
func (c *conn) unassign(answered bool) {
	if limiter := c.pool.transport.limiter; limiter != nil {
		limiter.attemptUnassigned(c.attempt, answered)
	}
	c.attempt = nil
}

// flush writes the command of the connection's attempt, as far as the socket accepts it, and reports whether bytes are
// left to be written. Every attempt starts here. Its connection, its write deadline and its client are checked here
// again, because much time may have passed since the attempt was decided on.
func (c *conn) flush() (left bool) {
	attempt := c.attempt
	if attempt == nil {
		return false
	}
	if !attempt.started && !c.noInputSinceAnswer() {
		c.replaceStale()
		return false
	}
	now := c.pool.transport.now()
	if now > attempt.writeDeadline {
		c.fail(ErrTimedOut)
		return false
	}
	if !attempt.started && attempt.command.isAbandoned() {
		c.fail(ErrCanceled)
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

// startAttempt appends the command of the connection's attempt to the output buffer.
func (c *conn) startAttempt(now clock.Instant) {
	attempt := c.attempt
	attempt.started = true
	attempt.startedAt = now
	c.commandWritten = true
	attempt.command.write(c.link.Out, attempt.deadline.Sub(now))
	attempt.command = nil // it is never written again
}

// noInputSinceAnswer reports whether neither bytes nor the end of the stream have arrived since the latest answer, or
// since the dial if there was no answer.
func (c *conn) noInputSinceAnswer() bool {
	if c.answerCount == 0 {
		return c.link.NoInputYet()
	}
	return c.link.NoInputSince(c.readsAtLatestAnswer)
}

// replaceStale closes a connection on which bytes or the end of the stream arrived before its attempt was started. The
// attempt never ran. It is scheduled again, except if the connection was new: then it fails as if the connection could
// not be opened, or returns to the queue under a connection quota.
func (c *conn) replaceStale() {
	limiter := c.pool.transport.limiter
	attempt := c.attempt
	c.unassign(false)
	attempt.conn = nil
	c.close()
	switch {
	case c.answerCount == 0:
		if limiter == nil || !limiter.requeueRefused(attempt, errStoreRefused) {
			attempt.fail(Connecting, errClosedBeforeWrite)
		}
	case limiter != nil:
		limiter.requeue(attempt)
		limiter.serveQueue()
	default:
		c.pool.schedule(attempt)
	}
}

// handleAnswer completes the connection's attempt with an answer. It fails the connection if the answer can't belong to
// that attempt: no attempt was assigned or fully written, the answer was received before the attempt started, or it has
// a value where a load report is expected or the reverse. Under a connection quota, a BUSY as the first answer on a
// connection counts as a refusal of the connection (handleRefusal).
func (c *conn) handleAnswer(a answer) {
	attempt := c.attempt
	limiter := c.pool.transport.limiter
	c.readsAtLatestAnswer = a.readCount
	c.answerCount++
	refusedByStore := c.answerCount == 1 && a.event.Result == gateway.Busy
	if limiter != nil && attempt != nil && refusedByStore {
		c.handleRefusal(a)
		return
	}
	if attempt == nil || attempt.stage() != Sent || a.received < attempt.startedAt {
		c.fail(errUnsolicitedAnswer)
		return
	}
	if a.event.Result == gateway.Succeeded && (a.value == nil) != attempt.probe {
		c.fail(fmt.Errorf("%w: %w", errInvalidAnswer, errMalformed))
		return
	}
	c.unassign(true)
	attempt.done = true
	c.pool.markRecovered()
	if a.hasTrailingBytes {
		c.close()
	} else {
		c.release()
	}
	attempt.onResult(a.event, a.value, a.received)
}

// fail closes the connection and fails the attempt that it carries, or one that waits for its dial. It has no effect on
// a closed connection.
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

// failUnassigned closes a connection that carries no attempt. Under a connection quota, one that ends before any
// command was written counts as refused by the store.
func (c *conn) failUnassigned() {
	c.close()
	limiter := c.pool.transport.limiter
	if limiter != nil && !c.commandWritten {
		limiter.observeRefusal(errStoreRefused)
	}
}

// failAttempt closes the connection and fails its attempt. Under a connection quota, a new connection that fails before
// the whole command was written may have been refused: its attempt returns to the queue if its command was not begun.
func (c *conn) failAttempt(err error) {
	attempt := c.attempt
	stage := attempt.stage()
	c.unassign(false)
	c.close()
	limiter := c.pool.transport.limiter
	neverRan := stage == Writing && c.answerCount == 0
	if limiter != nil && neverRan && limiter.requeueRefused(attempt, err) {
		return
	}
	attempt.fail(stage, err)
}

// close closes the connection and removes it from the idle ones. It does not change the attempt that the connection
// carries.
func (c *conn) close() {
	if c.closed {
		return
	}
	c.closed = true
	c.pool.transport.openConns--
	c.link.Close()
	c.link.Out.Free()
	c.removeIdle()
}
