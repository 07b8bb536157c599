package hosts

import (
	"errors"
	"log/slog"
	"slices"

	"ravensill/gateway"
)

// ResultHandler receives the result of an attempt or probe: in event the result, the usage and the load report; value is the
// host's answer, nil without one; received is the time at which the answer was read.
type ResultHandler func(event gateway.Event, value []byte, received int64)

// Attempt is one command sent, or to be sent, to a host.
type Attempt struct {
	pool          *hostPool
	conn          *conn    // nil until one is assigned
	command       *Command // nil once it was written, unless it may have to be written again
	done          bool     // whether onResult was called
	probe         bool
	onResult      ResultHandler
	urgent        bool  // whether its request class is urgent
	queueDeadline int64 // with a connection quota, the latest time at which it leaves the queue
	deadline      int64 // the answer is waited for until then, as the host is told
	writeDeadline int64 // its last byte is written by then, or it is given up
	started       bool  // whether bytes of it were written
	startedAt     int64 // no byte was written before this time
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
	a.fail(&Failure{Connecting, reason})
}

// fail reports a failure as the attempt's result, and logs the first one of a host that answered before.
func (a *Attempt) fail(failure *Failure) {
	if a.done {
		return
	}
	a.done = true
	pool := a.pool
	if !pool.failing && !pool.removed && failure.byHost() {
		pool.failing = true
		slog.Warn("host_failing", "addr", pool.addr, "stage", failure.Stage, "error", failure.Err)
	}
	if failure.byShortage() && !pool.transport.short {
		pool.transport.short = true
		slog.Warn("dial_resources_exhausted", "error", failure.Err)
	}
	a.onResult(gateway.Event{Result: failure.Result()}, nil, pool.transport.now())
}

// byHost reports whether the failure is the host's, and not one of time, cancellation, the connection quota or this machine.
func (f *Failure) byHost() bool {
	return !errors.Is(f, ErrTimedOut) && !errors.Is(f, ErrCanceled) && !errors.Is(f, errQueueTimeout) && !f.byShortage()
}
