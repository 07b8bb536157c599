// Package gateway is the interface of the policy in package logic: the events that it handles, the writer of its decisions, and its
// settings. Times and durations are in nanoseconds.
package gateway

// Kind is the kind of an Event.
type Kind int

const (
	Arrived     Kind = iota // a request came in
	Ended                   // an attempt ended
	Started                 // a streamed answer began
	Left                    // the client of a request is gone
	HostsListed             // an update of the host list
	Received                // a gossip message of another gateway
	Probed                  // a probe ended
	Tick                    // a timer set with Wake fired
	Counted                 // a call of the shared counter ended
)

// Result is how an attempt, a probe or a call of the counter ended.
type Result int

const (
	Succeeded Result = iota // answered with success
	Errored                 // the host answered with an error; it may have run
	Busy                    // the host rejected it; it never ran
	TimedOut                // no answer in time; it may have run
	Unreached               // no connection; it never ran
	Broken                  // the connection broke; it may have run
	Canceled                // canceled by the gateway; it may have run
	Skipped                 // never sent
	Spoilt                  // the answer is malformed; it may have run
)

// NeverRan reports whether the result proves that the host did not run the request.
func (r Result) NeverRan() bool { return r == Busy || r == Unreached || r == Skipped }

// List is what a HostsListed event holds.
type List int

const (
	Changes     List = iota // changed hosts only
	Complete                // all hosts
	Cached                  // all hosts as this gateway last received them, perhaps long ago
	Unavailable             // a request for the list failed
)

// State is a host's state in the list.
type State int

const (
	Running State = iota
	Draining
	Gone
)

func (s State) String() string { return [...]string{"running", "draining", "gone"}[s] }

// Listing is one host of a list.
type Listing struct {
	Host       uint32
	Zone, Cell int
	Machine    int // index of the machine kind
	State      State
	Share      float64
	Since      int64 // last start; 0 long ago
}

// Event is an event at a gateway. Which fields are set depends on Kind.
type Event struct {
	Kind     Kind
	Req      string
	Customer string
	Class    int
	Plan     int
	Until    int64   // deadline of the client
	StopAt   int64   // for an Arrived: the gateway, which was called to stop, answers nothing after it; 0: not called to stop
	Units    float64 // of the quota; for an Ended with success the settled units, 0 if unsettled
	Spread   int     // the customer's requests come in at this many gateways,
	First    int     // from this member index on, cyclically
	Again    bool    // marked by the client as a repeat
	Closed   bool    // the request is over
	Host     uint32
	Dispatch int
	Result   Result
	Lag      int64
	Used     int       // 1 + the customer's metered use in percent; 0: not reported
	Load     []float64 // as Report.Fields; nil: not reported
	List     List
	Hosts    []Listing
	Peer     int
	Body     []byte
	Name     uint64  // for a Counted: name of the number
	Total    float64 // for a Counted with success: the number after the call
}

// Round is a batch of the events at one gateway, in order. Now and the events' times are of the gateway's monotonic clock.
type Round struct {
	Now    int64
	Events []Event
}

// Writer receives the decisions on a batch of events.
type Writer interface {
	Dispatch(req string, host uint32, timeout int64) // sends an attempt; timeout 0: until the deadline
	Cancel(req string, dispatch int)                 // cancels an attempt
	Reject(req string, after int64)                  // ends a request; the client may retry safely after so long
	Fail(req string)                                 // ends a request, which may have run
	Send(peer int, body []byte)                      // sends gossip, at most gossip.MaxMessageBytes
	Probe(host uint32)                               // asks a host for its load
	Wake(after int64)                                // sets the timer for a Tick
	Follow()                                         // asks for the host list and its changes
	Note(text string)                                // logs a line for the operators

	// Count adds an amount, which may be 0 or negative, to a number that all gateways share. A Counted event follows. A new
	// number starts at 0 and expires after life.
	Count(name uint64, amount float64, life int64)
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
	Effect  Effect
	Group   Group
	Window  int64 // deduplicated: repeats are dropped for so long after the first attempt
	Target  int64 // latency objective
	Timeout int64 // client timeout, of all attempts together
	Value   float64
	Late    float64 // part of the value that is earned after the latency objective
	Stream  bool
}

// Plan is a quota plan: the quota of each customer on it, over all gateways together.
type Plan struct {
	ID                               uint32  // names the plan in gossip on all gateways alike; 0: named by its index
	Rate, Burst                      float64 // units a second, units; rate 0: none
	Open                             int     // attempts in flight at once; 0: no limit
	CeilingRate, CeilingBurst, Slack float64 // hard ceiling; rate 0: none
	Price, BeyondValue, BeyondCost   float64
}

// Membership is the gateway's place among the members of its fleet.
type Membership struct {
	Index, Count, Zone int
	Messages           bool    // whether gateways exchange gossip
	PerSecond          float64 // messages that a gateway can receive
}

// Limits are the limits and features of the deployment.
type Limits struct {
	Dispatches    int  // attempts for one request
	Two           bool // whether two attempts of a request may be in flight
	Cancel        bool
	Probes        bool
	RetryAfter    bool
	LongestAdvice int64 // the longest retry-after that clients observe
	MustAsk       bool  // the host list is sent only on request
	Settles       bool  // units are settled by the answer
	Counter       bool  // there is a shared counter
	CounterWait   int64 // timeout of its calls
}

// Cold describes the slow start of hosts.
type Cold struct {
	From     float64 // part of its capacity that a host starts with, at least
	Warm     int64   // time until it is warm, at most
	Multiple float64 // a host that is sent more than this multiple of its capacity
	Window   int64   // for so long fails
}

// Field is a field of a load report.
type Field int

const (
	Other Field = iota
	OpenReqs
	Waiting
	BusyShare
	RecentTime // milliseconds
	PassRate   // a second
	ErrorRate
)

// Report is the form of the load reports.
type Report struct {
	Fields  []Field
	Answers bool // with answers; else with probes, if at all
	Probes  bool
}
