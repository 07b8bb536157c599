package simenv

import (
	"time"

	"ravensill/counterfactual"
)

// Host is a simulated host. Its response time to an attempt is log-normal around BaseTime and grows with the attempts
// in flight. It is a function of the seed, the request, the host and the number of attempts in flight there.
type Host struct {
	ID           uint32
	Zone         int
	BaseTime     float64       // median response time without load, in ms
	LoadScale    float64       // number of attempts in flight at which the response time has doubled
	LoadExponent float64       // exponent of the growth with load; 1: linear, 4: slow only under high load
	Sigma        float64       // standard deviation of the response time's logarithm
	FailureRate  float64       // fraction of attempts that fail immediately
	ListedFrom   time.Duration // offset from the start of the run at which the host is listed
	ListedUntil  time.Duration // offset from the start of the run at which the host is no longer listed; 0: never
	NeverChosen  bool          // listed and available, but no gateway routes requests to it
	incarnation  uint32        // distinguishes hosts that use the same ID one after the other
	inFlight     int           // attempts of all gateways that the host works on
}

// Config describes one simulated fleet. Rates are totals over the whole fleet.
type Config struct {
	Seed                uint64
	Gateways            int
	SubsetSize          int // number of hosts in a gateway's subset; 0: all
	Hosts               []Host
	Customers           int
	CustomerSigma       float64         // standard deviation of the logarithm of a customer's mean work per request
	GatewaysPerCustomer int             // number of gateways that a customer sends requests to
	RequestRate         float64         // requests per second
	SwingAmplitude      float64         // fraction of RequestRate by which the rate rises and falls; 0: constant rate
	SwingPeriod         time.Duration   // period in which the rate rises and falls once
	Duration            time.Duration   // time in which requests are sent
	Window              time.Duration   // length of the window that an observer's summary covers
	Objectives          []time.Duration // latency objective by request class
	WorkFactors         []float64       // factor on Host.BaseTime, by request class
	ClientLeaveRate     float64         // fraction of requests whose client disconnects before the latency objective
	CrossZoneDelay      float64         // ms added to the response time of a host in another zone

	Network Network
	Faults  []Fault

	ReplacementRule  counterfactual.Rule // routes ReplacementShare of the attempts in place of the gateways' rule
	ReplacementShare float64             // fraction of the attempts
	MaxCells         int                 // capacity of a gateway's summary table in cells; 0: ample for every scenario
}

// Network describes the faults between the gateways and the ledger, which collects their summaries.
type Network struct {
	Loss        float64       // probability that a message or a confirmation is lost
	Duplication float64       // probability that a message is sent twice
	MaxDelay    time.Duration // messages are delayed by a random time up to this one, and so are reordered
	MaxAttempts int           // how often an unconfirmed message is sent again, once per window
}

// Fault stops a gateway or partitions it from the ledger.
type Fault struct {
	Gateway   int           // index
	At        time.Duration // offset from the start of the run
	Until     time.Duration // offset at which the partition heals or the stopped gateway restarts; 0: never
	Partition bool          // drop the gateway's messages; otherwise stop it, which loses its unconfirmed messages
}
