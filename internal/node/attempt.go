package node

import (
	"slices"
	"time"

	"ravensill/gateway"
	"ravensill/internal/hosts"
)

const (
	probeTimeout = time.Second

	// stallAllowance is the longest stall between reading the clock and writing that the deadline of a write allows for.
	stallAllowance = 150 * time.Millisecond
)

// attempt is an attempt or a probe in flight. A probe has no request.
type attempt struct {
	node      *Node
	request   *request
	host      uint32
	number    int // of the request's attempts
	startedAt gateway.Time
	deadline  gateway.Time
	send      *hosts.Attempt
}

// StartAttempt implements gateway.Actions.
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
	// The client is gone, perhaps by an event that still waits for the loop. Nothing is sent, and the attempt ends at
	// once: the module counts it as in flight until then.
	if r.closed || r.answer.IsClientGone() {
		r.closed = true
		a.end(gateway.Event{Result: gateway.NotSent}, nil, n.now())
		return
	}
	n.quota.setUrgency(r)
	command := hosts.Command{Head: r.command.Head, BeforeTimeLeft: r.command.BeforeTimeLeft, AfterTimeLeft: r.command.AfterTimeLeft, Tail: r.command.Tail}
	a.send = n.transport.Send(host, command, a.deadline, a.writeDeadline(), a.end)
	if r.closed { // the client is gone by the end of another attempt
		a.withdraw()
	}
}

// writeDeadline returns the time at which the attempt's first byte must be written. Hosts drop a repeat within
// a window only, and a connection may take longer than that to come up.
func (a *attempt) writeDeadline() gateway.Time {
	r := a.request
	if r.mayHaveRunAt == 0 || r.class.Effect != gateway.Deduplicated {
		return a.deadline
	}
	return min(a.deadline, r.mayHaveRunAt.Add(r.class.DedupWindow-stallAllowance))
}

// SendProbe implements gateway.Actions.
func (n *Node) SendProbe(host uint32) {
	a := n.newAttempt(nil, host, probeTimeout)
	a.send = n.transport.Probe(host, a.end)
}

// newAttempt records an attempt that times out after a wait.
func (n *Node) newAttempt(r *request, host uint32, wait time.Duration) *attempt {
	a := &attempt{
		node:      n,
		request:   r,
		host:      host,
		startedAt: n.batch.Now,
		deadline:  n.batch.Now.Add(wait),
		send:      hosts.NeverStarted,
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

// withdraw cancels an attempt that is not on its way yet: it waits for a connection, or its last byte is not
// written. The connection may come up long after the client has gone.
func (a *attempt) withdraw() {
	if !a.send.Written() {
		a.send.Cancel(hosts.ErrCanceled)
	}
}

// end handles the end of an attempt. The first good answer goes to the client at once.
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
	}
	defer func() { // after a panic, too, or the module counts the attempt as in flight forever
		if r.closed {
			r.close()
		}
		event.RequestID = r.id
		event.Closed = r.closed
		n.events = append(n.events, event)
	}()
	n.quota.rejectThrottled(r)
	if event.Result == gateway.Succeeded && !r.closed {
		r.closed = true
		r.answer.Succeed(value)
	}
	n.observer.attemptEnded(a, event.Result, event.Latency)
}

// CancelAttempt implements gateway.Actions.
func (n *Node) CancelAttempt(id string, number int) {
	if r := n.requests[id]; r != nil && uint(number) < uint(len(r.attempts)) {
		r.attempts[number].send.Cancel(hosts.ErrCanceled)
	}
}

// expire ends the attempts that have timed out, including those whose send a panic has ended.
func (n *Node) expire(now gateway.Time) {
	if n.nextExpiry == 0 || now < n.nextExpiry {
		return
	}
	var due []*attempt
	n.nextExpiry = 0
	for _, a := range n.inFlight {
		if a.deadline <= now {
			due = append(due, a)
		} else if n.nextExpiry == 0 || a.deadline < n.nextExpiry {
			n.nextExpiry = a.deadline
		}
	}
	for _, a := range due {
		n.recoverPanics("loop", func() { a.send.Cancel(hosts.ErrTimedOut) })
		if slices.Contains(n.inFlight, a) {
			n.recoverPanics("loop", func() { a.end(gateway.Event{Result: gateway.TimedOut}, nil, now) })
		}
	}
}
