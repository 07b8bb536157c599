package gateway

import (
	"fmt"
	"time"
)

// EventKind is the kind of an Event. It determines which fields of the event are set.
type EventKind int

// The kinds of events, each with the fields of Event that it sets beside Kind. A field that an adapter has no value
// for is zero.
const (
	// RequestArrived is a new request of a client: RequestID, Customer, Class, Plan, Deadline, StopAt, Units,
	// Spread, FirstGateway, Retry.
	RequestArrived EventKind = iota
	// AttemptEnded is the end of an attempt: RequestID, Host, Attempt, Result, Latency, RetryAfter, Units, Usage,
	// LoadReport, Closed.
	AttemptEnded
	// StreamStarted is the beginning of a streamed answer: RequestID, Host, Attempt, Latency.
	StreamStarted
	// ClientGone is the disconnect of a request's client: RequestID.
	ClientGone
	// EndpointsListed is an update of the endpoint list: ListKind, Endpoints.
	EndpointsListed
	// GossipReceived is a gossip message from another gateway: Peer, Message.
	GossipReceived
	// ProbeEnded is the end of a probe: Host, Result, Latency, LoadReport.
	ProbeEnded
	// TimerFired is the timer set with SetTimer. It sets no further field.
	TimerFired
	// CounterReplied is the end of a call of the shared counter: CounterName, Result, CounterTotal, Latency.
	CounterReplied
)

// Result is how an attempt, a probe or a call of the shared counter ended.
type Result int

// The results. Each comment says whether the endpoint may have run the request.
const (
	Succeeded    Result = iota // a successful answer
	Errored                    // an error as the answer; it may have run
	Busy                       // rejected by the endpoint; it never ran
	TimedOut                   // no answer in time; it may have run
	Unreachable                // no connection; it never ran
	Disconnected               // the connection broke; it may have run
	Canceled                   // canceled by the gateway; it may have run
	NotSent                    // the gateway did not send it; it never ran
	Malformed                  // the answer is malformed; it may have run
	Throttled                  // the connection quota left it no connection in time; it never ran
	ResultCount                // number of results
)

var resultNames = [ResultCount]string{
	Succeeded:    "succeeded",
	Errored:      "errored",
	Busy:         "busy",
	TimedOut:     "timed_out",
	Unreachable:  "unreachable",
	Disconnected: "disconnected",
	Canceled:     "canceled",
	NotSent:      "not_sent",
	Malformed:    "malformed",
	Throttled:    "throttled",
}

// Name returns the name of the result in log lines, such as "timed_out".
func (r Result) Name() string {
	if r < 0 || r >= ResultCount {
		return fmt.Sprintf("Result(%d)", int(r))
	}
	return resultNames[r]
}

// NeverRan reports whether the result proves that the endpoint did not run the request.
func (r Result) NeverRan() bool {
	return r == Busy || r == Unreachable || r == NotSent || r == Throttled
}

// ListKind says which part of the endpoint list an EndpointsListed event has.
type ListKind int

// The kinds of endpoint lists.
const (
	ListChanges     ListKind = iota // only the endpoints that changed
	ListComplete                    // all endpoints; others are gone
	ListCached                      // all endpoints as this gateway last received them, perhaps long ago
	ListUnavailable                 // the list could not be received; the event has no endpoints
)

// EndpointState is an endpoint's state in the list. Only running endpoints are sent new attempts.
type EndpointState int

// The states of an endpoint. A draining endpoint finishes its attempts in flight; one that is gone has been
// removed.
const (
	Running EndpointState = iota
	Draining
	Gone
)

// String returns the state's name in log lines.
func (s EndpointState) String() string { return [...]string{"running", "draining", "gone"}[s] }

// Endpoint is one entry of the endpoint list.
type Endpoint struct {
	Host      uint32 // number of the host, by which events and actions name the endpoint
	Zone      int    // index of the zone
	Cell      int    // index of the cell
	Machine   int    // index of the machine kind
	State     EndpointState
	Weight    float64 // relative weight for subsets, in any unit
	StartedAt Time    // latest start by the host's wall clock; 0: long ago
}

// Event is one event at a gateway. The constants of EventKind list the fields that each kind sets.
type Event struct {
	Kind      EventKind
	RequestID string // unique among the open requests
	Customer  string // name of the customer
	Class     int    // index of the request class
	Plan      int    // index of the quota plan
	Deadline  Time   // time at which the client gives up
	StopAt    Time   // end of the gateway's shutdown, after which it answers nothing; 0: no shutdown

	// Units is the quota units that a request asks for. At the end of an attempt it is the settled units, 0 if not
	// settled.
	Units float64

	Spread       int    // number of gateways that the customer's requests arrive at
	FirstGateway int    // member index of the first of them; the others follow cyclically
	Retry        bool   // the client marked the request as a retry
	Closed       bool   // the request has its final answer, or its client is gone
	Host         uint32 // number of the endpoint's host, as in Endpoint.Host
	Attempt      int    // position among the request's attempts, from 0 on
	Result       Result
	Latency      time.Duration // time since the start of the attempt, probe or call
	RetryAfter   time.Duration // expected time until the connection quota allows an attempt; 0: nothing is known of that
	Usage        int           // the customer's metered use in percent, plus 1; 0: not reported
	LoadReport   []float64     // values of LoadReportFormat.Fields, in that order; nil: not reported
	ListKind     ListKind
	Endpoints    []Endpoint // endpoints of the list; ListKind says whether these are all
	Peer         int        // member index of the sender
	Message      []byte     // encoded gossip
	CounterName  uint64     // name of the counter, as given to AddToCounter
	CounterTotal float64    // value of the counter after the call, if it succeeded
}

// Batch is the events that arrived at one gateway up to Now, in order of arrival. All times are of the gateway's
// clock.
type Batch struct {
	Now    Time
	Events []Event
}
