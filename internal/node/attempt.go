package node

import (
	"slices"
	"time"

	"ravensill/gateway"
	"ravensill/internal/hosts"
	"ravensill/requestids"
)

const probeTimeout = time.Second

// attempt is an attempt of a request, or a probe, that is in flight at a host.
type attempt struct {
	node        *Node
	request     *request // nil: a probe
	host        uint32
	number      int // index in request.attempts
	startedAt   gateway.Time
	deadline    gateway.Time
	hostAttempt *hosts.Attempt
}

// StartAttempt implements gateway.Actions. The attempt times out after timeout or at the request's deadline, whichever
// is first; a timeout of 0 leaves the deadline. An unknown request is ignored.
func (n *Node) StartAttempt(id string, host uint32, timeout time.Duration) {
	r := n.requests[id]
	if r == nil {
		return
	}
	wait := r.deadline.Sub(n.batch.Now)
	if timeout > 0 {
		wait = min(wait, timeout)
	}
	a := n.newAttempt(r, host, wait)
	r.attempts = append(r.attempts, a)
	r.inFlight++
	// The client may have disconnected without the module knowing yet. Nothing is sent then, but the attempt has to end
	// with an event, since the module counts it as in flight from now on.
	if r.closed || r.answer.IsClientGone() {
		r.closed = true
		a.end(gateway.Event{Result: gateway.NotSent}, nil, n.now())
		return
	}
	n.quota.setUrgency(r)
	command := hosts.Command{
		Head:           r.command.Head,
		BeforeTimeLeft: r.command.BeforeTimeLeft,
		AfterTimeLeft:  r.command.AfterTimeLeft,
		Tail:           r.command.Tail,
		IsAbandoned:    r.isAbandoned,
	}
	a.hostAttempt = n.transport.Send(host, command, a.deadline, a.writeDeadline(), a.end)
	if r.closed { // Send ended another attempt, and its end closed the request
		a.cancelUnwritten()
	}
}

// writeDeadline returns the time by which the attempt's first byte must be written. Hosts discard a repeated request
// only within the deduplication window, and a connection may take longer than that to be established.
func (a *attempt) writeDeadline() gateway.Time {
	r := a.request
	if r.mayHaveRunAt == 0 || r.class.Effect != gateway.Deduplicated {
		return a.deadline
	}
	return min(a.deadline, requestids.RepeatDeadline(&r.class, r.mayHaveRunAt))
}

// SendProbe implements gateway.Actions. The probe times out after probeTimeout.
func (n *Node) SendProbe(host uint32) {
	a := n.newAttempt(nil, host, probeTimeout)
	a.hostAttempt = n.transport.Probe(host, a.end)
}

// newAttempt adds an attempt that times out after wait, counted from the time of the batch, to those in flight. A nil
// request stands for a probe.
func (n *Node) newAttempt(r *request, host uint32, wait time.Duration) *attempt {
	a := &attempt{
		node:        n,
		request:     r,
		host:        host,
		startedAt:   n.batch.Now,
		deadline:    n.batch.Now.Add(wait),
		hostAttempt: hosts.NeverStarted,
	}
	if r != nil {
		a.number = len(r.attempts)
	}
	n.inFlight = append(n.inFlight, a)
	if n.nextExpiry == 0 || a.deadline < n.nextExpiry {
		n.nextExpiry = a.deadline
	}
	return a
}

// cancelUnwritten cancels an attempt that is waiting for a connection or is not completely written. Otherwise it would
// be sent even if the connection is established long after the client disconnected.
func (a *attempt) cancelUnwritten() {
	if !a.hostAttempt.Written() {
		a.hostAttempt.Cancel(hosts.ErrCanceled)
	}
}

// end handles the end of an attempt or probe and adds its event to the next batch. The first success is answered to the
// client at once, without a decision of the module. value is the value in the host's answer, received the time of the
// end.
func (a *attempt) end(event gateway.Event, value []byte, received gateway.Time) {
	n := a.node
	r := a.request
	n.inFlight = slices.DeleteFunc(n.inFlight, func(other *attempt) bool { return other == a })
	event.Kind = gateway.AttemptEnded
	event.Host = a.host
	event.Attempt = a.number
	event.Latency = received.Sub(a.startedAt)
	if r == nil {
		event.Kind = gateway.ProbeEnded
		n.events = append(n.events, event)
		return
	}
	r.inFlight--
	if r.mayHaveRunAt == 0 && !event.Result.NeverRan() {
		r.mayHaveRunAt = a.startedAt
		n.history.MayHaveRun(r.id, &r.class, a.startedAt)
	}
	defer func() { // deferred: after a panic the module would count the attempt as in flight forever
		if r.closed {
			r.close()
		}
		event.RequestID = r.id
		event.Closed = r.closed
		n.countAttempt(&event)
		n.events = append(n.events, event)
	}()
	if event.Result == gateway.Succeeded && !r.closed {
		r.closed = true
		r.answer.Succeed(value)
	}
	n.observer.attemptEnded(a, event.Result, event.Latency)
}

// CancelAttempt implements gateway.Actions. Unknown requests and attempts are ignored.
func (n *Node) CancelAttempt(id string, number int) {
	if r := n.requests[id]; r != nil && uint(number) < uint(len(r.attempts)) {
		r.attempts[number].hostAttempt.Cancel(hosts.ErrCanceled)
	}
}

// expireAttempts ends the attempts that have timed out. Canceling an attempt ends it, unless a panic interrupted its
// sending, or interrupts the cancellation; such an attempt is ended here directly.
func (n *Node) expireAttempts(now gateway.Time) {
	if n.nextExpiry == 0 || now < n.nextExpiry {
		return
	}
	var timedOut []*attempt
	n.nextExpiry = 0
	for _, a := range n.inFlight {
		if a.deadline <= now {
			timedOut = append(timedOut, a)
		} else if n.nextExpiry == 0 || a.deadline < n.nextExpiry {
			n.nextExpiry = a.deadline
		}
	}
	for _, a := range timedOut {
		n.recoverPanics("loop", func() { a.hostAttempt.Cancel(hosts.ErrTimedOut) })
		if slices.Contains(n.inFlight, a) {
			n.recoverPanics("loop", func() { a.end(gateway.Event{Result: gateway.TimedOut}, nil, now) })
		}
	}
}
