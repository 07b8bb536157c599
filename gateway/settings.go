package gateway

import "time"

// Effect is whether a request of a class may run more than once.
type Effect int

// The effects of a request class.
const (
	Idempotent    Effect = iota // may run any number of times
	Deduplicated                // endpoints of the DedupGroup drop repeats within the DedupWindow
	NonIdempotent               // must run at most once
)

// DedupGroup is the set of endpoints that together drop repeats of a request that one of them has received.
type DedupGroup int

// The deduplication groups.
const (
	AllHosts DedupGroup = iota
	SameZone            // the endpoints of the same zone
	SameCell            // the endpoints of the same cell
)

// RequestClass is the settings of one class of requests.
type RequestClass struct {
	Effect           Effect
	Group            DedupGroup    // which endpoints drop repeats; only for a deduplicated class
	DedupWindow      time.Duration // time after the first attempt for which repeats are dropped; only for such a class
	LatencyObjective time.Duration // answers within it earn the full value
	Timeout          time.Duration // client's timeout, for all attempts together
	Value            float64       // value of an answer in time, relative to other classes
	LateValue        float64       // fraction of Value that an answer after the latency objective earns
	Stream           bool          // whether answers are streamed
}

// Plan is a quota plan: the quota that each customer on the plan has over all gateways together.
type Plan struct {
	ID             uint32  // name of the plan in gossip, the same on all gateways; 0: gossip uses the index
	Rate           float64 // units a second; 0: no quota
	Burst          float64 // size of the token bucket in units
	MaxInFlight    int     // attempts in flight at once; 0: no cap
	CeilingRate    float64 // refill rate of the hard ceiling, units a second; 0: no ceiling
	CeilingBurst   float64 // size of the hard ceiling's bucket in units
	CeilingSlack   float64 // units by which the ceiling may be exceeded
	PriorityWeight float64 // factor of a request's value
	OverQuotaValue float64 // fraction of its value that a request earns if it is admitted over quota
	OverQuotaCost  float64 // fraction of its value that a request costs if it is admitted over quota
}

// Membership is the gateway's place in its fleet.
type Membership struct {
	Index       int     // member index of this gateway
	Count       int     // number of members
	Zone        int     // index of this gateway's zone
	Gossip      bool    // whether gateways exchange gossip
	MessageRate float64 // messages a second that a gateway can receive
}

// Limits are the limits and features of the deployment.
type Limits struct {
	MaxAttempts    int           // most attempts for one request, the first included
	Hedging        bool          // whether a request may have two attempts in flight
	Cancellation   bool          // whether attempts can be canceled
	Probes         bool          // whether endpoints answer probes
	RetryAfter     bool          // whether rejections tell clients when to retry
	MaxRetryAfter  time.Duration // longest time that clients wait before a retry
	PollEndpoints  bool          // whether a lost endpoint list must be requested again with WatchEndpoints
	SettlesUnits   bool          // whether answers state the units that a request used
	SharedCounter  bool          // whether the gateways share a counter
	CounterTimeout time.Duration // timeout of a call of the shared counter
}

// SlowStart describes how the capacity of an endpoint grows after its start.
type SlowStart struct {
	InitialFraction float64       // fraction of its capacity that an endpoint has at its start, at least
	Duration        time.Duration // time from its start until it has all of its capacity, at most
	OverloadFactor  float64       // an endpoint fails if it is sent more than this multiple of its capacity
	OverloadWindow  time.Duration // time for which it has to be sent that much before it fails
}

// LoadField is the meaning of one field of a load report.
type LoadField int

// The fields of load reports.
const (
	OtherField          LoadField = iota // any other meaning
	OutstandingRequests                  // number
	QueuedRequests                       // number
	Utilization                          // fraction of capacity in use
	RecentServiceTime                    // milliseconds
	Throughput                           // requests a second
	ErrorRate                            // errors a second
)

// LoadReportFormat describes the fields of load reports and how reports are received.
type LoadReportFormat struct {
	Fields      []LoadField // in the order of Event.LoadReport
	WithAnswers bool        // whether answers carry a report
	WithProbes  bool        // whether probes are answered with a report
}
