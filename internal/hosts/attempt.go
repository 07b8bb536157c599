package hosts

import (
	"log/slog"
	"slices"

	"ravensill/gateway"
	"ravensill/internal/clock"
)

// ResultHandler receives the result of an attempt or probe. event has the result, the usage and the load report; value
// is the host's answer, nil without one; received is the time at which the answer was read.
type ResultHandler func(event gateway.Event, value []byte, received clock.Instant)

// Attempt is one command sent, or to be sent, to a host.
type Attempt struct {
	pool     *hostPool
	conn     *conn    // nil until one is assigned
	command  *Command // nil once it was written, unless it may have to be written again
	onResult ResultHandler
	probe    bool
	urgent   bool // whether its request class is urgent
	done     bool // whether onResult was called

	// deadline is the time until which the answer is waited for. The command has the time left until then.
	deadline clock.Instant
	// writeDeadline is the latest time at which the last byte is written; the attempt fails after it.
	writeDeadline clock.Instant
	// queueDeadline is the latest time at which the attempt leaves the queue of a connection quota.
	queueDeadline clock.Instant

	started   bool          // whether bytes of it were written
	startedAt clock.Instant // no byte was written before this time
}

// NeverStarted is an attempt that is over and was never sent.
var NeverStarted = &Attempt{done: true}

// Written reports whether the attempt is over or its last byte written.
func (a *Attempt) Written() bool { return a.done || a.stage() == Sent }

// stage returns how far the attempt has come.
func (a *Attempt) stage() Stage {
	switch {
	case a.conn == nil:
		return Connecting
	case !a.started || a.conn.link.Out.Len() > 0:
		return Writing
	}
	return Sent
}

// Cancel ends the attempt with the given reason. It has no effect on one that is over.
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

// fail reports a failure as the attempt's result. It logs the first failure of a host that answered before, and the
// first shortage on this machine.
func (a *Attempt) fail(stage Stage, err error) {
	if a.done {
		return
	}
	a.done = true
	failure := &Failure{stage, err}
	pool := a.pool
	if !pool.failing && !pool.removed && failure.isHostFault() {
		pool.failing = true
		slog.Warn("host_failing", "addr", pool.addr, "stage", failure.Stage, "error", failure.Err)
	}
	if failure.isShortage() && !pool.transport.dialShortage {
		pool.transport.dialShortage = true
		slog.Warn("dial_resources_exhausted", "error", failure.Err)
	}
	a.onResult(gateway.Event{Result: failure.Result()}, nil, pool.transport.now())
}
