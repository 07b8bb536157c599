package node

import (
	"time"

	"ravensill/gateway"
	"ravensill/internal/clients"
)

// request is held until it is answered and no attempt is in flight.
type request struct {
	node         *Node
	id           string
	answer       *clients.Answer // nil: its client is gone
	command      *clients.Request
	class        gateway.RequestClass // as it was when the request arrived
	deadline     gateway.Time
	attempts     []*attempt // by their numbers
	inFlight     int        // attempts, and 1 from its client's end until the module has heard of that
	closed       bool
	mayHaveRunAt gateway.Time // when the first attempt that may have run started; 0: none has ended so
	batchNumber  int          // of the batch that its arrival is in,
	eventIndex   int          // and its place there
}

// arrive takes in a request of a client.
func (n *Node) arrive(answer *clients.Answer, command *clients.Request) {
	if n.requests[command.ID] != nil {
		answer.Fail("id: in use")
		return
	}
	deadline := gateway.Time(command.Deadline)
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
	answer.ClientGone = r.clientGone
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

// clientGone takes in that the client is gone. Where the module has not heard of the request yet it never does:
// behind a stall or a flood the arrival and this wait together, and the request would be sent on for nobody.
// Else the request is held until the batch in which the module hears of this: what it decides before that meets
// a closed request.
func (r *request) clientGone() {
	n := r.node
	if n.requests[r.id] != r { // the module has heard of its end: the id may be another's by now
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

// forgetGone lets go of the requests of which the module has now heard that their clients are gone.
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

// close ends a request; it is forgotten once its attempts have ended, too.
func (r *request) close() {
	r.closed = true
	if r.inFlight == 0 {
		delete(r.node.requests, r.id)
	}
}

// Reject implements gateway.Actions.
func (n *Node) Reject(id string, retryAfter time.Duration) {
	if r := n.requests[id]; r != nil && !r.closed {
		r.answer.Reject(int64(retryAfter))
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
