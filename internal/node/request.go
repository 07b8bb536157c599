package node

import (
	"log"
	"slices"
	"time"

	"ravensill/gateway"
	"ravensill/internal/clients"
	"ravensill/internal/hosts"
)

// stallAllowance is for how long the process may be held up between reading its clock and writing, in nanoseconds: what must
// not be written after a time is not begun within so long before it.
const stallAllowance = int64(150 * time.Millisecond)

// req is held until it is answered and no dispatch is out.
type req struct {
	node                      *Node
	id                        string
	answer                    *clients.Answer
	front                     int                  // frontend
	class                     gateway.RequestClass // the same, as it was when the request arrived
	until                     int64
	head, before, after, tail []byte
	sends                     []*dispatch // by their numbers
	out                       int         // dispatches, and 1 from its leaving until the module has heard of that
	closed                    bool
	ranAt                     int64 // when the first that may have run was sent; 0 none has ended so
	round, event              int   // its arrival is this event of that round
}

// dispatch is one that is out. A probe has no req.
type dispatch struct {
	node    *Node
	req     *req
	host    uint32
	n       int
	at, due int64
	send    *hosts.Attempt
}

// expire ends the dispatches whose time is up.
func (n *Node) expire(now int64) {
	if n.dueAt == 0 || now < n.dueAt {
		return
	}
	var due []*dispatch
	n.dueAt = 0
	for _, d := range n.open {
		if d.due <= now {
			due = append(due, d)
		} else if n.dueAt == 0 || d.due < n.dueAt {
			n.dueAt = d.due
		}
	}
	for _, d := range due { // each ends at once, also one whose send a panic has swallowed
		n.guard("loop", func() { d.send.Cancel(hosts.ErrTimedOut) })
		if slices.Contains(n.open, d) {
			n.guard("loop", func() { d.ended(gateway.Event{Result: gateway.TimedOut}, nil, now) })
		}
	}
}

// arrive takes in a req.
func (n *Node) arrive(a *clients.Answer, came int64, id, customer string, front, plan int, until int64,
	units float64, spread, first int, again bool, head, before, after, tail []byte) {
	if n.reqs[id] != nil {
		a.Aborted("id: in use")
		return
	}
	if n.leaveAt > 0 {
		until = min(until, n.leaveAt)
	}
	r := &req{node: n, id: id, answer: a, front: front, class: n.classes[front], until: until, head: head, before: before,
		after: after, tail: tail, round: n.rounds, event: len(n.events)}
	n.reqs[id] = r
	a.Left = r.left
	n.events = append(n.events, gateway.Event{Kind: gateway.RequestArrived, RequestID: id, Customer: customer, Class: front,
		Plan: plan, Deadline: until, StopAt: n.leaveAt, Units: units, Spread: spread, FirstGateway: first, Retry: again})
}

// left takes in that the client is gone. Where the module has not heard of the req yet it never does: behind a stall or
// a flood the arrival and this wait together, and the req would be sent on for nobody. Else the req is held until the
// round in which the module hears of this: what it decides before that meets a closed req.
func (r *req) left() {
	n := r.node
	if n.reqs[r.id] != r { // the module has heard of its end: the id may be another's by now
		return
	}
	r.answer, r.closed = nil, true
	r.out++
	if e := (gateway.Event{Kind: gateway.ClientGone, RequestID: r.id}); r.round == n.rounds {
		n.events[r.event] = e
	} else {
		n.events = append(n.events, e)
	}
	for _, d := range r.sends {
		d.withdraw()
	}
}

// withdraw gives up a dispatch that has not begun: it waits for a connection, or its last byte is not yet written. Its
// connection may come up long after, and then carry a req whose client is gone.
func (d *dispatch) withdraw() {
	if !d.send.Written() {
		d.send.Cancel(hosts.ErrCanceled)
	}
}

// forget lets go of the reqs whose leaving the module has now heard of.
func (n *Node) forget() {
	for _, e := range n.round.Events {
		if e.Kind != gateway.ClientGone {
			continue
		}
		if r := n.reqs[e.RequestID]; r != nil {
			r.out--
			r.close()
		}
	}
}

func (r *req) close() {
	r.closed = true
	if r.out == 0 {
		delete(r.node.reqs, r.id)
	}
}

// Dispatch sends a req to a host.
func (n *Node) StartAttempt(id string, host uint32, timeout int64) {
	r := n.reqs[id]
	if r == nil {
		return
	}
	wait := r.until - n.round.Now
	if timeout > 0 {
		wait = min(wait, timeout)
	}
	d := n.sent(r, host, wait)
	r.sends = append(r.sends, d)
	r.out++
	// Its client left in this round, or has left by what its reader saw, though that still waits for the loop: nothing is sent,
	// and the module must hear of the end or it counts it as out for ever.
	if r.closed || r.answer.Gone() {
		r.closed = true
		d.ended(gateway.Event{Result: gateway.NotSent}, nil, n.now())
		return
	}
	n.pool.setUrgency(r)
	by := d.due
	if r.ranAt > 0 && r.class.Effect == gateway.Deduplicated { // hosts drop a repeat for so long: a connection may come up later
		by = min(by, r.ranAt+r.class.DedupWindow-stallAllowance)
	}
	command := hosts.Command{Head: r.head, Before: r.before, After: r.after, Tail: r.tail}
	d.send = n.transport.Send(host, command, d.due, by, d.ended)
	if r.closed { // it left meanwhile: the end of another may have ended its connection
		d.withdraw()
	}
}

func (n *Node) SendProbe(host uint32) {
	d := n.sent(nil, host, probeWait)
	d.send = n.transport.Probe(host, d.ended)
}

// sent notes a dispatch that is to end within a time.
func (n *Node) sent(r *req, host uint32, wait int64) *dispatch {
	d := &dispatch{node: n, req: r, host: host, at: n.round.Now, due: n.round.Now + wait, send: hosts.NeverStarted}
	if r != nil {
		d.n = len(r.sends)
	}
	n.open = append(n.open, d)
	if n.dueAt == 0 || d.due < n.dueAt {
		n.dueAt = d.due
	}
	return d
}

// ended takes in how a dispatch ended. The first good answer goes to the client at once.
func (d *dispatch) ended(e gateway.Event, value []byte, came int64) {
	r, n := d.req, d.node
	n.open = slices.DeleteFunc(n.open, func(o *dispatch) bool { return o == d })
	e.Kind, e.Host, e.Attempt, e.Latency = gateway.AttemptEnded, d.host, d.n, came-d.at
	if r == nil {
		e.Kind = gateway.ProbeEnded
		n.events = append(n.events, e)
		return
	}
	r.out--
	if r.ranAt == 0 && !e.Result.NeverRan() {
		r.ranAt = d.at
	}
	defer func() { // also behind a panic: else the module holds the dispatch as out for ever
		if r.closed {
			r.close()
		}
		e.RequestID, e.Closed = r.id, r.closed
		n.events = append(n.events, e)
	}()
	n.pool.rejectThrottled(r)
	if e.Result == gateway.Succeeded && !r.closed {
		r.closed = true
		r.answer.Passed(value)
	}
	n.witness.ended(d, e.Result, e.Latency)
}

func (n *Node) CancelAttempt(id string, dispatch int) {
	if r := n.reqs[id]; r != nil && uint(dispatch) < uint(len(r.sends)) {
		r.sends[dispatch].send.Cancel(hosts.ErrCanceled)
	}
}

func (n *Node) Reject(id string, after int64) {
	if r := n.reqs[id]; r != nil && !r.closed {
		r.answer.Denied(after)
		r.close()
	}
}

func (n *Node) Fail(id string) {
	if r := n.reqs[id]; r != nil && !r.closed {
		r.answer.Aborted("aborted")
		r.close()
	}
}

func (n *Node) SendGossip(peer int, body []byte) {
	if n.peerTransport != nil {
		n.peerTransport.Send(peer, body)
	}
}

// Count calls the shared counter. Without one the call is answered as unreached: the module does without.
func (n *Node) AddToCounter(name uint64, amount float64, life int64) {
	if n.counter == nil {
		n.events = append(n.events, gateway.Event{Kind: gateway.CounterReplied, CounterName: name, Result: gateway.Unreachable})
		return
	}
	n.counter.Count(name, amount, life)
}

func (n *Node) SetTimer(after int64) { n.wakeAt = n.round.Now + after }

func (n *Node) LogNote(text string) { log.Printf("event=note text=%q", text) }
