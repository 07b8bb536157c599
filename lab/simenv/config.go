package simenv

import (
	"time"

	"ravensill/counterfactual"
)

// Host is a simulated host. Its response time for an attempt is lognormal around BaseTime, grows with the attempts in
// flight, and is fixed by the attempt, the host and its load.
type Host struct {
	ID           uint32
	Zone         int
	BaseTime     float64       // median response time without load, ms
	LoadScale    float64       // attempts in flight at which the time has doubled
	LoadExponent float64       // power of the growth with load: 1 linear, 4 slow only under load
	Sigma        float64       // standard deviation of the time's logarithm
	FailureRate  float64       // fraction of attempts that fail at once
	ListedFrom   time.Duration // since the begin of the run: listed from then on
	ListedUntil  time.Duration // and until then; 0: always
	NeverChosen  bool          // listed and available, but never chosen by any gateway
	incarnation  uint32
	inFlight     int
}

// Config describes one simulated fleet. Rates are of the whole fleet.
type Config struct {
	Seed                uint64
	Gateways            int
	SubsetSize          int // hosts in a gateway's subset; 0: all
	Hosts               []Host
	Customers           int
	CustomerSigma       float64 // standard deviation of the logarithm of the work of a customer's requests
	GatewaysPerCustomer int
	RequestRate         float64 // requests a second
	SwingAmplitude      float64 // fraction by which the rate rises and falls
	SwingPeriod         time.Duration
	Duration            time.Duration
	Window              time.Duration   // of the observers' summaries
	Objectives          []time.Duration // latency objective by request class
	WorkFactors         []float64       // multiple of the hosts' base time by request class
	ClientLeaveRate     float64         // fraction of clients that leave before the objective
	CrossZoneDelay      float64         // ms more to a host in another zone

	Network Network
	Faults  []Fault

	ReplacementRule  counterfactual.Rule // replaces the gateways' rule for a share of the attempts
	ReplacementShare float64
	MaxCells         int // cells of a gateway's folder; 0: as many as needed
}

// Network describes what happens to messages on their way to the ledger.
type Network struct {
	Loss        float64       // fraction of messages and of confirmations
	Duplication float64       // fraction of messages
	MaxDelay    time.Duration // of a message; delays differ, so that messages are reordered
	MaxAttempts int           // to send an unconfirmed message, one in each window
}

// Fault stops or partitions a gateway.
type Fault struct {
	Gateway   int
	At        time.Duration // since the begin of the run
	Until     time.Duration // when a partition heals or a stopped gateway restarts; 0: never
	Partition bool          // its messages are lost; otherwise it is stopped and loses its unsent messages
}
