package gateway

import "time"

// Effect is whether the requests of a class may run more than once.
type Effect int

// The effects of a request class.
const (
	Idempotent    Effect = iota
	Deduplicated         // endpoints of the group drop repeats within the window
	NonIdempotent        // runs once at most
)

// DedupGroup is the set of endpoints that deduplicate requests together.
type DedupGroup int

// The groups of endpoints.
const (
	AllHosts DedupGroup = iota
	SameZone
	SameCell
)

// RequestClass is the settings of a class of requests.
type RequestClass struct {
	Effect           Effect
	Group            DedupGroup
	DedupWindow      time.Duration // deduplicated: repeats are dropped for so long after the first attempt
	LatencyObjective time.Duration
	Timeout          time.Duration // client timeout, of all attempts together
	Value            float64
	LateValue        float64 // fraction of the value that is earned after the latency objective
	Stream           bool
}

// Plan is a quota plan: the quota of each customer on it, over all gateways together.
type Plan struct {
	ID             uint32  // names the plan in gossip on all gateways alike; 0: named by its index
	Rate           float64 // units a second; 0: no quota
	Burst          float64 // units
	MaxInFlight    int     // attempts in flight at once; 0: no cap
	CeilingRate    float64 // of the hard ceiling, units a second; 0: none
	CeilingBurst   float64 // units
	CeilingSlack   float64 // units by which the ceiling may be exceeded
	PriorityWeight float64 // factor of a request's value
	OverQuotaValue float64 // fraction of its value that a request sent beyond the quota earns
	OverQuotaCost  float64 // fraction of its value that it costs
}

// Membership is the gateway's place among the members of its fleet.
type Membership struct {
	Index       int
	Count       int
	Zone        int
	Gossip      bool    // whether gateways exchange gossip
	MessageRate float64 // messages a second that a gateway can receive
}

// Limits are the limits and features of the deployment.
type Limits struct {
	MaxAttempts    int  // for one request
	Hedging        bool // whether two attempts of a request may be in flight
	Cancellation   bool
	Probes         bool
	RetryAfter     bool          // whether clients get a time to retry after
	MaxRetryAfter  time.Duration // the longest time that clients wait
	PollEndpoints  bool          // whether the endpoint list must be polled
	SettlesUnits   bool          // whether an answer settles the units
	SharedCounter  bool          // whether there is one
	CounterTimeout time.Duration // of its calls
}

// SlowStart describes how endpoints warm up.
type SlowStart struct {
	InitialFraction float64       // of its capacity that an endpoint starts with, at least
	Duration        time.Duration // until it has all of it, at most
	OverloadFactor  float64       // an endpoint that is sent more than this multiple of its capacity
	OverloadWindow  time.Duration // for so long fails
}

// LoadField is a field of a load report.
type LoadField int

// The fields of load reports.
const (
	OtherField LoadField = iota
	OutstandingRequests
	QueuedRequests
	Utilization
	RecentServiceTime // milliseconds
	Throughput        // requests a second
	ErrorRate         // errors a second
)

// LoadReportFormat is the form of the load reports.
type LoadReportFormat struct {
	Fields      []LoadField
	WithAnswers bool // else with probes, if at all
	WithProbes  bool
}
