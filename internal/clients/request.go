package clients

import (
	"time"

	"ravensill/internal/clock"
	"ravensill/internal/resp"
)

// Request is one request of a client. Times are of the server's clock.
type Request struct {
	ID           string
	Customer     string
	ReceivedAt   clock.Instant // when its last byte was read
	Deadline     clock.Instant // its client waits until then
	Class        int           // index in the Catalog
	Plan         int           // index in the Catalog
	Units        float64
	Spread       int  // the customer's requests come in at this many gateways,
	FirstGateway int  // from this member index on
	Retry        bool // marked by the client as a retry

	// The command to send to a host is the concatenation of Head, a bulk string of Before, the time left in
	// milliseconds and After, and Tail.
	Head           []byte
	BeforeTimeLeft []byte
	AfterTimeLeft  []byte
	Tail           []byte
}

// RequestHandler is called on the loop for each request. It sets the answer then or later.
type RequestHandler func(answer *Answer, request *Request)

// queuedRequest is a request that waits to be started. It is smaller than a Request, as a flood may queue thousands.
type queuedRequest struct {
	id         string
	customer   string
	receivedAt clock.Instant
	wait       time.Duration
	terms      requestTerms
	retry      bool

	// text is the command to send to a host, and the others are the offsets in it at which Head, Before and After end.
	text      []byte
	headEnd   int
	beforeEnd int
	afterEnd  int
}

// newQueuedRequest returns a request that shares no memory with the parsed one.
func newQueuedRequest(parsed *parsedRequest, receivedAt clock.Instant) *queuedRequest {
	const maxHeaders = 64 // bytes around the words
	words := minCommandWords
	if parsed.body != nil {
		words = maxCommandWords
	}
	size := len(parsed.verb) + len(parsed.customer) + len(parsed.id) + len(parsed.before) + len(parsed.after) +
		len(parsed.body) + maxHeaders
	text := resp.AppendArrayHeader(make([]byte, 0, size), words)
	text = resp.AppendBulk(text, parsed.verb)
	text = resp.AppendBulk(text, parsed.customer)
	text = resp.AppendBulk(text, parsed.id)
	headEnd := len(text)
	text = append(text, parsed.before...)
	beforeEnd := len(text)
	text = append(text, parsed.after...)
	afterEnd := len(text)
	if parsed.body != nil {
		text = resp.AppendBulk(text, parsed.body)
	}
	return &queuedRequest{
		id:         string(parsed.id),
		customer:   string(parsed.customer),
		receivedAt: receivedAt,
		wait:       parsed.wait,
		terms:      parsed.terms,
		retry:      parsed.retry,
		text:       text,
		headEnd:    headEnd,
		beforeEnd:  beforeEnd,
		afterEnd:   afterEnd,
	}
}

// request returns the request for the handler.
func (q *queuedRequest) request() *Request {
	return &Request{
		ID:             q.id,
		Customer:       q.customer,
		ReceivedAt:     q.receivedAt,
		Deadline:       q.receivedAt.Add(q.wait),
		Class:          q.terms.class,
		Plan:           q.terms.plan,
		Units:          q.terms.units,
		Spread:         q.terms.spread,
		FirstGateway:   q.terms.firstGateway,
		Retry:          q.retry,
		Head:           q.text[:q.headEnd],
		BeforeTimeLeft: q.text[q.headEnd:q.beforeEnd],
		AfterTimeLeft:  q.text[q.beforeEnd:q.afterEnd],
		Tail:           q.text[q.afterEnd:],
	}
}
