// Package gateway is the interface of the policy in package logic: the events that it handles, the writer of its decisions, and its
// settings. Times and durations are in nanoseconds.
package gateway

// Kind is the kind of an Event.
type EventKind int

const (
	RequestArrived  EventKind = iota // a request came in
	AttemptEnded                     // an attempt ended
	StreamStarted                    // a streamed answer began
	ClientGone                       // the client of a request is gone
	EndpointsListed                  // an update of the host list
	GossipReceived                   // a gossip message of another gateway
	ProbeEnded                       // a probe ended
	TimerFired                       // a timer set with Wake fired
	CounterReplied                   // a call of the shared counter ended
)

// Result is how an attempt, a probe or a call of the counter ended.
type Result int

const (
	Succeeded    Result = iota // answered with success
	Errored                    // the host answered with an error; it may have run
	Busy                       // the host rejected it; it never ran
	TimedOut                   // no answer in time; it may have run
	Unreachable                // no connection; it never ran
	Disconnected               // the connection broke; it may have run
	Canceled                   // canceled by the gateway; it may have run
	NotSent                    // never sent
	Malformed                  // the answer is malformed; it may have run
)

// NeverRan reports whether the result proves that the host did not run the request.
func (r Result) NeverRan() bool { return r == Busy || r == Unreachable || r == NotSent }

// List is what a HostsListed event holds.
type ListKind int

const (
	ListChanges     ListKind = iota // changed hosts only
	ListComplete                    // all hosts
	ListCached                      // all hosts as this gateway last received them, perhaps long ago
	ListUnavailable                 // a request for the list failed
)

// State is a host's state in the list.
type EndpointState int

const (
	Running EndpointState = iota
	Draining
	Gone
)

func (s EndpointState) String() string { return [...]string{"running", "draining", "gone"}[s] }

// Listing is one host of a list.
type Endpoint struct {
	Host       uint32
	Zone, Cell int
	Machine    int // index of the machine kind
	State      EndpointState
	Weight     float64
	StartedAt  int64 // last start; 0 long ago
}

// Event is an event at a gateway. Which fields are set depends on Kind.
type Event struct {
	Kind         EventKind
	RequestID    string
	Customer     string
	Class        int
	Plan         int
	Deadline     int64   // deadline of the client
	StopAt       int64   // for an Arrived: the gateway, which was called to stop, answers nothing after it; 0: not called to stop
	Units        float64 // of the quota; for an Ended with success the settled units, 0 if unsettled
	Spread       int     // the customer's requests come in at this many gateways,
	FirstGateway int     // from this member index on, cyclically
	Retry        bool    // marked by the client as a repeat
	Closed       bool    // the request is over
	Host         uint32
	Attempt      int
	Result       Result
	Latency      int64
	Usage        int       // 1 + the customer's metered use in percent; 0: not reported
	LoadReport   []float64 // as Report.Fields; nil: not reported
	ListKind     ListKind
	Endpoints    []Endpoint
	Peer         int
	Message      []byte
	CounterName  uint64  // for a Counted: name of the number
	CounterTotal float64 // for a Counted with success: the number after the call
}

// Round is a batch of the events at one gateway, in order. Now and the events' times are of the gateway's monotonic clock.
type Batch struct {
	Now    int64
	Events []Event
}

// Writer receives the decisions on a batch of events.
type Actions interface {
	StartAttempt(req string, host uint32, timeout int64) // sends an attempt; timeout 0: until the deadline
	CancelAttempt(req string, dispatch int)              // cancels an attempt
	Reject(req string, after int64)                      // ends a request; the client may retry safely after so long
	Fail(req string)                                     // ends a request, which may have run
	SendGossip(peer int, body []byte)                    // sends gossip, at most gossip.MaxMessageBytes
	SendProbe(host uint32)                               // asks a host for its load
	SetTimer(after int64)                                // sets the timer for a Tick
	WatchEndpoints()                                     // asks for the host list and its changes
	LogNote(text string)                                 // logs a line for the operators

	// Count adds an amount, which may be 0 or negative, to a number that all gateways share. A Counted event follows. A new
	// number starts at 0 and expires after life.
	AddToCounter(name uint64, amount float64, life int64)
}

// Effect says whether the requests of a class may run more than once.
type Effect int

const (
	Idempotent   Effect = iota
	Deduplicated        // hosts of the group drop repeats within the window
	NonIdempotent
)

// Group is the set of hosts that deduplicate requests together.
type Group int

const (
	AllHosts Group = iota
	SameZone
	SameCell
)

// RequestClass is the settings of a class of requests.
type RequestClass struct {
	Effect           Effect
	Group            Group
	DedupWindow      int64 // deduplicated: repeats are dropped for so long after the first attempt
	LatencyObjective int64 // latency objective
	Timeout          int64 // client timeout, of all attempts together
	Value            float64
	LateValue        float64 // part of the value that is earned after the latency objective
	Stream           bool
}

// Plan is a quota plan: the quota of each customer on it, over all gateways together.
type Plan struct {
	ID                                            uint32  // names the plan in gossip on all gateways alike; 0: named by its index
	Rate, Burst                                   float64 // units a second, units; rate 0: none
	MaxInFlight                                   int     // attempts in flight at once; 0: no limit
	CeilingRate, CeilingBurst, CeilingSlack       float64 // hard ceiling; rate 0: none
	PriorityWeight, OverQuotaValue, OverQuotaCost float64
}

// Membership is the gateway's place among the members of its fleet.
type Membership struct {
	Index, Count, Zone int
	Gossip             bool    // whether gateways exchange gossip
	MessageRate        float64 // messages that a gateway can receive
}

// Limits are the limits and features of the deployment.
type Limits struct {
	MaxAttempts    int  // attempts for one request
	Hedging        bool // whether two attempts of a request may be in flight
	Cancellation   bool
	Probes         bool
	RetryAfter     bool
	MaxRetryAfter  int64 // the longest retry-after that clients observe
	PollEndpoints  bool  // the host list is sent only on request
	SettlesUnits   bool  // units are settled by the answer
	SharedCounter  bool  // there is a shared counter
	CounterTimeout int64 // timeout of its calls
}

// Cold describes the slow start of hosts.
type SlowStart struct {
	InitialFraction float64 // part of its capacity that a host starts with, at least
	Duration        int64   // time until it is warm, at most
	OverloadFactor  float64 // a host that is sent more than this multiple of its capacity
	OverloadWindow  int64   // for so long fails
}

// Field is a field of a load report.
type LoadField int

const (
	OtherField LoadField = iota
	OutstandingRequests
	QueuedRequests
	Utilization
	RecentServiceTime // milliseconds
	Throughput        // a second
	ErrorRate
)

// Report is the form of the load reports.
type LoadReportForm struct {
	Fields      []LoadField
	WithAnswers bool // with answers; else with probes, if at all
	WithProbes  bool
}
