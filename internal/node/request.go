package node

import (
	"time"

	"ravensill/gateway"
	"ravensill/internal/clients"
)

// request is a client's request. It is kept until it is closed and none of its attempts is in flight.
type request struct {
	node         *Node
	id           string
	answer       *clients.Answer // nil: the client is gone
	command      *clients.Request
	class        gateway.RequestClass // the settings in force when the request arrived
	deadline     gateway.Time         // no attempt lasts longer
	attempts     []*attempt           // all attempts, by number
	inFlight     int                  // attempts in flight, plus 1 while the module has yet to decide on the disconnect
	closed       bool                 // whether the request is answered or its client is gone
	mayHaveRunAt gateway.Time         // start of the first ended attempt that a host may have run; 0: none
	batchNumber  int                  // Node.batchCount when the request arrived
	eventIndex   int                  // index of the arrival in Node.events
}

// handleRequest adds a client's request, and its arrival to the next batch. A request with the id of another request
// that is still open, or has an attempt in flight, fails at once, and so does one whose id may have run and must not
// run again.
func (n *Node) handleRequest(answer *clients.Answer, command *clients.Request) {
	if n.requests[command.ID] != nil {
		answer.Fail("id: in use")
		return
	}
	if n.history.IsUsed(command.ID, n.now()) {
		answer.Fail("id: already used")
		return
	}
	deadline := command.Deadline
	if n.answerDeadline > 0 {
		deadline = min(deadline, n.answerDeadline)
	}
	r := &request{
		node:        n,
		id:          command.ID,
		answer:      answer,
		command:     command,
		class:       n.classes[command.Class],
		deadline:    deadline,
		batchNumber: n.batchCount,
		eventIndex:  len(n.events),
	}
	n.requests[r.id] = r
	answer.OnClientGone = r.clientGone
	n.events = append(n.events, gateway.Event{
		Kind:         gateway.RequestArrived,
		RequestID:    r.id,
		Customer:     command.Customer,
		Class:        command.Class,
		Plan:         command.Plan,
		Deadline:     deadline,
		StopAt:       n.answerDeadline,
		Units:        command.Units,
		Spread:       command.Spread,
		FirstGateway: command.FirstGateway,
		Retry:        command.Retry,
	})
}

// clientGone handles the disconnect of the request's client. If the arrival is in the batch that is being collected,
// the disconnect replaces it, and the module never sees the request. Otherwise the closed request is kept until the
// module has decided on the disconnect, since the actions of that batch may still refer to it.
func (r *request) clientGone() {
	n := r.node
	if n.requests[r.id] != r { // the request has ended; another one may have its id
		return
	}
	r.logEnd("client gone", 0)
	r.answer = nil
	r.closed = true
	r.inFlight++
	gone := gateway.Event{Kind: gateway.ClientGone, RequestID: r.id}
	if r.batchNumber == n.batchCount {
		n.events[r.eventIndex] = gone
	} else {
		n.events = append(n.events, gone)
	}
	for _, a := range r.attempts {
		a.cancelUnwritten()
	}
}

// isAbandoned reports whether the client has left or may have left long ago, so that no attempt must begin.
func (r *request) isAbandoned() bool { return r.closed || r.answer.MayClientBeGone() }

// forgetDisconnected drops, after a batch, the requests whose clients' disconnects were in it. Those with an attempt in
// flight are dropped when it ends.
func (n *Node) forgetDisconnected() {
	for _, event := range n.batch.Events {
		if event.Kind != gateway.ClientGone {
			continue
		}
		if r := n.requests[event.RequestID]; r != nil {
			r.inFlight--
			r.close()
		}
	}
}

// close marks a request as closed, and drops it if no attempt is in flight.
func (r *request) close() {
	r.closed = true
	if r.inFlight == 0 {
		delete(r.node.requests, r.id)
	}
}

// retryAfterShortage returns the time after which a client should come back that is rejected without a decision of the
// module; 0: no time is given.
func (n *Node) retryAfterShortage() time.Duration {
	if adviser, advises := n.module.(ShortageAdviser); advises {
		return adviser.RetryAfterShortage()
	}
	return 0
}

// Reject implements gateway.Actions. It ignores requests that are unknown or closed.
func (n *Node) Reject(id string, retryAfter time.Duration) {
	if r := n.requests[id]; r != nil && !r.closed {
		r.answer.Reject(retryAfter)
		r.logEnd("rejected", retryAfter)
		r.close()
	}
}

// Fail implements gateway.Actions. It ignores requests that are unknown or closed.
func (n *Node) Fail(id string) {
	if r := n.requests[id]; r != nil && !r.closed {
		r.answer.Fail("aborted")
		r.logEnd("failed", 0)
		r.close()
	}
}
