package node

import (
	"time"

	"ravensill/gateway"
	"ravensill/internal/clients"
)

// request is a client's request. It is kept until it is answered and no attempt is in flight.
type request struct {
	node         *Node
	id           string
	answer       *clients.Answer // nil: the client is gone
	command      *clients.Request
	class        gateway.RequestClass // as of the arrival
	deadline     gateway.Time
	attempts     []*attempt // by their numbers
	inFlight     int        // attempts, plus 1 from the client's disconnect until the module has decided on that
	closed       bool
	mayHaveRunAt gateway.Time // start of the first attempt that may have run; 0: none has ended so
	batchNumber  int          // of the batch that its arrival is in,
	eventIndex   int          // and its place there
}

// arrive handles a request of a client.
func (n *Node) arrive(answer *clients.Answer, command *clients.Request) {
	if n.requests[command.ID] != nil {
		answer.Fail("id: in use")
		return
	}
	deadline := command.Deadline
	if n.answerBy > 0 {
		deadline = min(deadline, n.answerBy)
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
		StopAt:       n.answerBy,
		Units:        command.Units,
		Spread:       command.Spread,
		FirstGateway: command.FirstGateway,
		Retry:        command.Retry,
	})
}

// clientGone handles the disconnect of the request's client. If the arrival is in the batch that is being
// collected, the disconnect replaces it: the module never sees the request. Otherwise the request is kept
// closed until the module has decided on the disconnect, since actions of that batch may still name it.
func (r *request) clientGone() {
	n := r.node
	if n.requests[r.id] != r { // it has ended, and the id may be in use again
		return
	}
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
		a.withdraw()
	}
}

// forgetGone drops the requests whose clients' disconnects were in the batch.
func (n *Node) forgetGone() {
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

// close ends a request. It is dropped once no attempt is in flight.
func (r *request) close() {
	r.closed = true
	if r.inFlight == 0 {
		delete(r.node.requests, r.id)
	}
}

// Reject implements gateway.Actions.
func (n *Node) Reject(id string, retryAfter time.Duration) {
	if r := n.requests[id]; r != nil && !r.closed {
		r.answer.Reject(retryAfter)
		r.close()
	}
}

// Fail implements gateway.Actions.
func (n *Node) Fail(id string) {
	if r := n.requests[id]; r != nil && !r.closed {
		r.answer.Fail("aborted")
		r.close()
	}
}
