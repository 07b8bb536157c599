// Package gateway is the interface of the decision module in package logic: what a round hands in, where
// decisions are written, and the settings a gateway starts with. It decides nothing.
package gateway

// Kind tells what an Event reports.
type Kind int

const (
	Arrived Kind = iota // a req came in
	Ended               // a dispatch ended
	Started             // a streamed answer began
	Left                // the client of a req is gone
	Listed              // news of the host list
	Heard               // a message of another gateway
	Probed              // a probe ended
	Woke                // a wake-up fell due
	Counted             // the shared counter answered a call, or did not
)

// Result tells how a dispatch, a probe or a call of the counter ended.
type Result int

const (
	Passed    Result = iota // answered well
	Errored                 // the host answered with an error; it may have run
	Busy                    // turned away unseen; it never ran
	TimedOut                // no answer in time; it may have run
	Unreached               // no connection; it never ran
	Broken                  // the connection broke; it may have run
	Canceled                // called off; it may have run
	Skipped                 // never sent
	Spoilt                  // the answer can't be made out; it may have run
)

// NeverRan tells whether the result proves that the host did not run the req.
func (r Result) NeverRan() bool { return r == Busy || r == Unreached || r == Skipped }

// List tells what a Listed event holds.
type List int

const (
	Changes  List = iota // changed hosts only
	Complete             // all hosts
	Old                  // all hosts as this gateway last had them, perhaps long ago
	Lost                 // asking for the list failed
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

// Event is one thing that came in; Kind tells which fields hold.
type Event struct {
	Kind     Kind
	Req      string
	Customer string
	Frontend int
	Plan     int
	Until    int64   // the client gives this try up then
	Units    float64 // of the quota; on a passed Ended the settled units, 0 if unsettled
	Spread   int     // the customer's reqs come in at this many gateways,
	First    int     // from this one on, counted round
	Again    bool    // marked by the client as a repeat
	Closed   bool    // the req is over
	Host     uint32
	Dispatch int
	Result   Result
	Lag      int64
	Used     int       // 1 + the customer's metered use in percent; 0 none
	Load     []float64 // as Report.Fields; nil none
	List     List
	Hosts    []Listing
	Peer     int
	Body     []byte
	Name     uint64  // of a Counted: the number's,
	Total    float64 // and what it holds after the call; Result Passed only
}

// Round is all that came in at one gateway at one time, in order. Times are nanoseconds of the gateway's clock.
type Round struct {
	Now    int64
	Events []Event
}

// Writer takes the decisions of a round. Each carries the req or host it concerns.
type Writer interface {
	Dispatch(req string, host uint32, timeout int64) // timeout 0: until the client gives up
	Cancel(req string, dispatch int)
	Deny(req string, after int64) // final; a repeat is harmless, after this long
	Abort(req string)             // final; promises nothing
	Tell(peer int, body []byte)   // at most Mail.Bytes
	Probe(host uint32)
	Wake(after int64)
	Follow()          // asks for the list and its changes
	Note(text string) // a line for the operators

	// Count adds an amount, 0 or below 0 too, to a number that all gateways share; it ends in one Counted. One that
	// is new starts at 0 and is forgotten after life.
	Count(name uint64, amount float64, life int64)
}

// Effect tells whether a frontend's reqs may run again.
type Effect int

const (
	Replayable Effect = iota
	Uniqued           // repeats are dropped within the group, for a while
	NonReplayable
)

// Group is the set of hosts that drop each other's repeats.
type Group int

const (
	AllHosts Group = iota
	SameZone
	SameCell
)

// Frontend is one kind of req.
type Frontend struct {
	Effect  Effect
	Group   Group
	Window  int64 // uniqued: repeats are dropped this long after the first dispatch
	Target  int64 // response target
	Timeout int64 // client timeout, all tries together
	Value   float64
	Late    float64 // part of the value earned after the target
	Stream  bool
}

// Plan is the quota of each customer on it, over all gateways together.
type Plan struct {
	ID                               uint32  // names the plan in gossip on all gateways alike; 0: named by its index
	Rate, Burst                      float64 // units a second, units; rate 0: none
	Open                             int     // dispatches out at once; 0: none
	CeilingRate, CeilingBurst, Slack float64 // hard ceiling; rate 0: none
	Price, BeyondValue, BeyondCost   float64
}

// Seat is the gateway's place among its fellows.
type Seat struct {
	Index, Count, Zone int
	Messages           bool    // gateways may message each other
	PerSecond          float64 // messages a gateway takes in
}

// Limits are what the deployment allows.
type Limits struct {
	Dispatches    int  // for one req
	Two           bool // of one req at once
	Cancel        bool
	Probes        bool
	RetryAfter    bool
	LongestAdvice int64 // clients heed a retry-after up to this
	MustAsk       bool  // the list comes only when asked for
	Settles       bool  // units are settled by the answer
	Counter       bool  // there is a shared counter
	CounterWait   int64 // a call of it is given up after so long
}

// Cold are the figures for hosts that have just started.
type Cold struct {
	From     float64 // part of its capacity a host starts with, at least
	Warm     int64   // and is warm after this at the latest
	Multiple float64 // sent more than this multiple of what it can do
	Window   int64   // for so long, it falls over
}

// Field names a figure of a load report.
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

// Report tells which load figures come, and how.
type Report struct {
	Fields  []Field
	Answers bool // with answers; else with probes, if at all
	Probes  bool
}
