package clients

import (
	"time"

	"ravensill/internal/clock"
	"ravensill/internal/resp"
)

// Request is one request of a client. Its times are those of the server's clock.
type Request struct {
	ID           string
	Customer     string
	ReceivedAt   clock.Instant // when its last byte was read
	Deadline     clock.Instant // time until which the client waits for the answer
	Class        int           // index in the Catalog
	Plan         int           // index in the Catalog
	Units        float64
	Spread       int  // number of gateways, in a row by member index, that receive the customer's requests
	FirstGateway int  // member index of the first of these gateways
	Retry        bool // whether the client marked the request as a retry

	// The command to send to a host consists of Head, one bulk string and Tail. The bulk string consists of
	// BeforeTimeLeft, the time left until Deadline in milliseconds, and AfterTimeLeft.
	Head           []byte
	BeforeTimeLeft []byte
	AfterTimeLeft  []byte
	Tail           []byte
}

// RequestHandler is called on the event loop for each request. It has to set the answer before it returns or later.
type RequestHandler func(answer *Answer, request *Request)

// queuedRequest is a request that waits to be started. It is smaller than a Request, because thousands may be queued.
type queuedRequest struct {
	id         string
	customer   string
	receivedAt clock.Instant
	wait       time.Duration
	terms      requestTerms
	retry      bool

	// text is the command to send to a host, without the time left and the header of its bulk string. The other fields
	// are the offsets in text at which Head, BeforeTimeLeft and AfterTimeLeft of the Request end; Tail is the rest.
	text      []byte
	headEnd   int
	beforeEnd int
	afterEnd  int
}

// textSize returns the number of bytes that the text of the queued request has at most.
func (p *parsedRequest) textSize() int {
	const maxHeaders = 64 // bytes of the encoding beside the words
	return len(p.verb) + len(p.customer) + len(p.id) + len(p.before) + len(p.after) + len(p.body) + maxHeaders
}

// newQueuedRequest returns a request that shares no memory with the parsed one.
func newQueuedRequest(parsed *parsedRequest, receivedAt clock.Instant) *queuedRequest {
	words := minCommandWords
	if parsed.body != nil {
		words = maxCommandWords
	}
	text := resp.AppendArrayHeader(make([]byte, 0, parsed.textSize()), words)
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

// request returns the Request to pass to the handler. It shares the memory of text.
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
