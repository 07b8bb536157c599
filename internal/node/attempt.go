package node

import (
	"slices"
	"time"

	"ravensill/gateway"
	"ravensill/internal/hosts"
)

const (
	probeTimeout = time.Second

	// stallAllowance is for how long the process may be held up between reading its clock and writing: what must
	// not be written after a time is not begun within so long before it.
	stallAllowance = 150 * time.Millisecond
)

// attempt is one that is in flight. A probe has no request.
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
	// Its client left in this batch, or has left by what its reader saw, though that still waits for the loop:
	// nothing is sent, and the module must hear of the end or it counts it as in flight for ever.
	if r.closed || r.answer.IsClientGone() {
		r.closed = true
		a.end(gateway.Event{Result: gateway.NotSent}, nil, n.unixNano())
		return
	}
	n.quota.setUrgency(r)
	command := hosts.Command{Head: r.command.Head, Before: r.command.Before, After: r.command.After, Tail: r.command.Tail}
	a.send = n.transport.Send(host, command, int64(a.deadline), int64(a.writeDeadline()), a.end)
	if r.closed { // its client left meanwhile: the end of another attempt may have ended its connection
		a.withdraw()
	}
}

// writeDeadline is when the attempt is begun at the latest. Hosts drop a repeat within a window only, and a
// connection may come up after it.
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

// newAttempt notes an attempt that is to end within a time.
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

// withdraw gives up an attempt that has not begun: it waits for a connection, or its last byte is not yet
// written. Its connection may come up long after, and then carry a request whose client is gone.
func (a *attempt) withdraw() {
	if !a.send.Written() {
		a.send.Cancel(hosts.ErrCanceled)
	}
}

// end takes in how an attempt ended. The first good answer goes to the client at once.
func (a *attempt) end(event gateway.Event, value []byte, received int64) {
	n := a.node
	r := a.request
	n.inFlight = slices.DeleteFunc(n.inFlight, func(other *attempt) bool { return other == a })
	event.Kind = gateway.AttemptEnded
	event.Host = a.host
	event.Attempt = a.number
	event.Latency = gateway.Time(received).Sub(a.startedAt)
	if r == nil {
		event.Kind = gateway.ProbeEnded
		n.events = append(n.events, event)
		return
	}
	r.inFlight--
	if r.mayHaveRunAt == 0 && !event.Result.NeverRan() {
		r.mayHaveRunAt = a.startedAt
	}
	defer func() { // also behind a panic: else the module holds the attempt as in flight for ever
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

// expire ends the attempts whose time is up. Each ends at once, also one whose send a panic has swallowed.
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
			n.recoverPanics("loop", func() { a.end(gateway.Event{Result: gateway.TimedOut}, nil, int64(now)) })
		}
	}
}
