package hosts

import (
	"errors"
	"syscall"
	"time"

	"ravensill/internal/sockets"
)

// Bounds of the pause between dials after a refusal. The pause doubles with each refusal in a row.
const (
	minDialBackoff = 50 * time.Millisecond
	maxDialBackoff = 400 * time.Millisecond
)

// errStoreRefused is the error of a connection that the store refused after it was established.
var errStoreRefused = errors.New("the store refused the connection")

// handleRefusal handles a BUSY as the first answer on a connection under a connection quota: it closes the connection
// and pauses dials. The store may also mean that its queue is full or that it drains. Nothing in the answer tells these
// apart, and a pause without need costs less than dials to a store at its connection limit. The attempt ends as busy,
// except that it returns to the queue if its command was not begun.
func (c *conn) handleRefusal(a answer) {
	attempt := c.attempt
	limiter := c.pool.transport.limiter
	c.unassign(false)
	c.close()
	if limiter.requeueRefused(attempt, errStoreRefused) {
		return
	}
	a.event.RetryAfter = limiter.untilAvailable(c.pool.transport.now())
	attempt.end(a.event, nil, a.received)
}

// requeueRefused handles an attempt whose connection failed with err before the attempt could run, and reports whether
// the attempt is dealt with. If err means that the store refused the connection, or that this machine lacks a resource
// for a dial, it pauses dials and puts the attempt back at the head of the queue, or rejects it past its queue
// deadline. It returns false for other errors, which are failures of the host, and for an attempt whose command was
// begun. That one has to end: its client may have left since, or its host may drain, and only the decision module may
// send a request again.
func (l *ConnectionLimiter) requeueRefused(attempt *Attempt, err error) bool {
	if !l.observeRefusal(err) || attempt.started {
		return false
	}
	attempt.conn = nil
	if l.transport.now() >= attempt.queueDeadline {
		l.reject(attempt)
		return true
	}
	l.requeue(attempt)
	l.serveQueue()
	return true
}

// observeRefusal reports whether err means that the store refused a connection, or that this machine lacks a resource
// for a dial. It pauses dials then.
func (l *ConnectionLimiter) observeRefusal(err error) bool {
	switch {
	case isStoreRefusal(err):
		l.RefusedConnections++
	case !sockets.IsResourceExhausted(err):
		return false
	}
	l.backOff()
	return true
}

// isStoreRefusal reports whether err means that the store, as it is at its own connection limit, refused a connection.
func isStoreRefusal(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, errStoreRefused)
}

// backOff pauses dials. The pause doubles with each call until an attempt is answered, between minDialBackoff and
// maxDialBackoff.
func (l *ConnectionLimiter) backOff() {
	l.dialBackoff = min(max(2*l.dialBackoff, minDialBackoff), maxDialBackoff)
	l.nextDial = l.transport.now().Add(l.dialBackoff)
}
