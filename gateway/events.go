package gateway

import "time"

// EventKind is the kind of an Event.
type EventKind int

// The kinds of events.
const (
	RequestArrived  EventKind = iota
	AttemptEnded              // an attempt ended
	StreamStarted             // a streamed answer began
	ClientGone                // the client of a request is gone
	EndpointsListed           // an update of the endpoint list
	GossipReceived            // a gossip message of another gateway
	ProbeEnded                // a probe ended
	TimerFired                // the timer set with SetTimer
	CounterReplied            // a call of the shared counter ended
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
	ListUnavailable                 // a poll of the list failed
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
	StartedAt Time // last start, by the wall clock of the host; 0: long ago
}

// Event is an event at a gateway. Which fields are set depends on Kind.
type Event struct {
	Kind         EventKind
	RequestID    string
	Customer     string
	Class        int
	Plan         int
	Deadline     Time    // of the client
	StopAt       Time    // for a RequestArrived: the gateway, which was called to stop, answers nothing after it; 0: not called to stop
	Units        float64 // of the quota; for an AttemptEnded with success the settled units, 0 if unsettled
	Spread       int     // the customer's requests come in at this many gateways,
	FirstGateway int     // from this member index on, cyclically
	Retry        bool    // marked by the client as a retry
	Closed       bool    // the request is over
	Host         uint32
	Attempt      int // number of the request's attempts, from 0 on
	Result       Result
	Latency      time.Duration
	Usage        int       // 1 + the customer's metered use in percent; 0: not reported
	LoadReport   []float64 // as LoadReportForm.Fields; nil: not reported
	ListKind     ListKind
	Endpoints    []Endpoint
	Peer         int    // member index
	Message      []byte // of gossip
	CounterName  uint64
	CounterTotal float64 // for a CounterReplied with success: the number after the call
}

// Batch is the events that came in at one gateway up to a time, in order. Now and the events' times are of its monotonic clock.
type Batch struct {
	Now    Time
	Events []Event
}
