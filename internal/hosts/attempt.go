package hosts

import (
	"log/slog"
	"slices"

	"ravensill/gateway"
	"ravensill/internal/clock"
)

// ResultHandler is called on the event loop with the result of an attempt or probe. event holds the result, the usage
// and the load report; value is the value that the host answered, nil if it answered none; received is the time at
// which the answer was read, or at which the attempt failed.
type ResultHandler func(event gateway.Event, value []byte, received clock.Instant)

// Attempt is one command that is sent to a host at most once. It belongs to the event loop.
type Attempt struct {
	pool     *hostPool
	conn     *conn    // the connection that carries the attempt; nil until one is assigned
	command  *Command // nil once begun: it is never written again
	onResult ResultHandler
	probe    bool // whether it asks for a load report
	urgent   bool // whether its request class is urgent
	done     bool // whether the attempt has its result: onResult was called or is about to be

	// deadline is the time at which waiting for the answer ends. The command tells the host the time left until then.
	deadline clock.Instant
	// writeDeadline is the time by which the last byte has to be written. After it the attempt fails.
	writeDeadline clock.Instant
	// queueDeadline is the time by which the attempt has to leave the queue of the ConnectionLimiter.
	queueDeadline clock.Instant

	started   bool          // whether its command was passed to the connection's output buffer
	startedAt clock.Instant // when that happened: no byte was written before
}

// NeverStarted is an attempt that is over and of which nothing was sent.
var NeverStarted = &Attempt{done: true}

// Written reports whether the attempt is over or the last byte of its command was written.
func (a *Attempt) Written() bool { return a.done || a.stage() == Sent }

// stage returns how much of the attempt's command was written.
func (a *Attempt) stage() Stage {
	switch {
	case a.conn == nil:
		return Connecting
	case !a.started || a.conn.link.Out.Len() > 0:
		return Writing
	}
	return Sent
}

// Cancel fails the attempt with the given reason, and closes the connection that carries it. It has no effect on an
// attempt that is over.
func (a *Attempt) Cancel(reason error) {
	if a.done {
		return
	}
	if a.conn != nil {
		a.conn.fail(reason)
		return
	}
	pool := a.pool
	pool.setPending(slices.DeleteFunc(pool.pending, func(other *Attempt) bool { return other == a }))
	if limiter := pool.transport.limiter; limiter != nil {
		limiter.dequeue(a)
	}
	a.fail(Connecting, reason)
}

// fail passes a failure to onResult, unless the attempt is over. It logs the first failure by the host's fault since
// the host last answered, and the first dial since the last successful one that failed for lack of resources on this
// machine.
func (a *Attempt) fail(stage Stage, err error) {
	if a.done {
		return
	}
	failure := &Failure{stage, err}
	pool := a.pool
	if !pool.failing && !pool.removed && failure.isHostFault() {
		pool.failing = true
		slog.Warn("host_failing", "addr", pool.addr, "stage", failure.Stage, "error", failure.Err)
	}
	if failure.isResourceExhausted() && !pool.transport.dialResourcesExhausted {
		pool.transport.dialResourcesExhausted = true
		slog.Warn("dial_resources_exhausted", "error", failure.Err)
	}
	a.end(gateway.Event{Result: failure.Result()}, nil, pool.transport.now())
}

// end passes the attempt's result to onResult.
func (a *Attempt) end(event gateway.Event, value []byte, received clock.Instant) {
	a.done = true
	a.onResult(event, value, received)
}
