package gateway

import "time"

// EventKind is the kind of an Event.
type EventKind int

// The kinds of events, with the fields that each sets beside Kind. Fields that an adapter can't know stay zero.
const (
	// RequestArrived is a client's new request: RequestID, Customer, Class, Plan, Deadline, StopAt, Units,
	// Spread, FirstGateway, Retry.
	RequestArrived EventKind = iota
	// AttemptEnded is the end of an attempt: RequestID, Host, Attempt, Result, Latency, Units, Usage, LoadReport, Closed.
	AttemptEnded
	// StreamStarted is the begin of a streamed answer: RequestID, Host, Attempt, Latency.
	StreamStarted
	// ClientGone is the disconnect of a request's client: RequestID.
	ClientGone
	// EndpointsListed is an update of the endpoint list: ListKind, Endpoints.
	EndpointsListed
	// GossipReceived is a gossip message of another gateway: Peer, Message.
	GossipReceived
	// ProbeEnded is the end of a probe: Host, Result, Latency, LoadReport.
	ProbeEnded
	// TimerFired is the timer set with SetTimer. It sets no further field.
	TimerFired
	// CounterReplied is the end of a call of the shared counter: CounterName, Result, CounterTotal, Latency.
	CounterReplied
)

// Result is how an attempt, a probe or a call of the counter ended.
type Result int

// The results.
const (
	Succeeded    Result = iota // answered with success
	Errored                    // the endpoint answered with an error; it may have run
	Busy                       // the endpoint rejected it; it never ran
	TimedOut                   // no answer in time; it may have run
	Unreachable                // no connection; it never ran
	Disconnected               // the connection broke; it may have run
	Canceled                   // canceled by the gateway; it may have run
	NotSent                    // never sent
	Malformed                  // the answer is malformed; it may have run
)

// NeverRan reports whether the result proves that the endpoint did not run the request.
func (r Result) NeverRan() bool { return r == Busy || r == Unreachable || r == NotSent }

// ListKind is what an EndpointsListed event holds.
type ListKind int

// The kinds of lists.
const (
	ListChanges     ListKind = iota // changed endpoints only
	ListComplete                    // all endpoints
	ListCached                      // all endpoints as this gateway last received them, perhaps long ago
	ListUnavailable                 // a poll of the list failed; there are no endpoints
)

// EndpointState is an endpoint's state in the list.
type EndpointState int

// The states of an endpoint.
const (
	Running EndpointState = iota
	Draining
	Gone
)

// String returns the state as log lines name it.
func (s EndpointState) String() string { return [...]string{"running", "draining", "gone"}[s] }

// Endpoint is one endpoint of a list.
type Endpoint struct {
	Host      uint32
	Zone      int
	Cell      int
	Machine   int // index of the machine kind
	State     EndpointState
	Weight    float64
	StartedAt Time // last start, by the host's wall clock; 0: long ago
}

// Event is an event at a gateway. EventKind has the fields that each kind sets.
type Event struct {
	Kind      EventKind
	RequestID string
	Customer  string
	Class     int  // index of the request class
	Plan      int  // index of the quota plan
	Deadline  Time // the client gives up then
	StopAt    Time // the gateway that shuts down answers nothing later; 0: it does not shut down

	// Units of the quota that a request asks for; for the end of an attempt the settled units, 0 if unsettled.
	Units float64

	Spread       int  // gateways that the customer's requests arrive at,
	FirstGateway int  // from this member index on, cyclically
	Retry        bool // the client marked the request as a retry
	Closed       bool // the request has its final answer, or its client is gone
	Host         uint32
	Attempt      int // number of the request's attempt, from 0 on
	Result       Result
	Latency      time.Duration
	Usage        int       // 1 + the customer's metered use in percent; 0: not reported
	LoadReport   []float64 // as LoadReportFormat.Fields; nil: not reported
	ListKind     ListKind
	Endpoints    []Endpoint
	Peer         int    // member index of the sender
	Message      []byte // of gossip
	CounterName  uint64
	CounterTotal float64 // the number after a call that succeeded
}

// Batch is the events that arrived at one gateway up to Now, in order. All times are of the gateway's clock.
type Batch struct {
	Now    Time
	Events []Event
}
