// Package slowstartsim simulates a fleet of gateways of package logic in front of hosts that have just started, and
// counts the attempts that each such host receives from all gateways together: the limit on hosts that warm up holds
// for the sum, which no single gateway sees. Hosts answer after a fixed time and never overload, so that a broken limit
// is counted but has no consequences. Every attempt that reaches a host counts, retries included. The package does no
// I/O, and the same Config always returns the same Report.
package slowstartsim

import (
	"time"

	"ravensill/gateway"
)

// Config describes one experiment.
type Config struct {
	Seed     uint64
	Gateways int
	Hosts    int
	// RequestRate is the rate of requests over all gateways, Load the fraction of the hosts' capacity that it takes.
	RequestRate float64
	Utilization float64
	// Skew is the traffic of one gateway in ten relative to that of any other; 0 means 1.
	Skew float64
	// LullDuration is a time of a tenth of the traffic, from the start of the new hosts on: allowances are saved in it.
	LullDuration time.Duration
	// SurgeFactor multiplies the traffic after the lull; 0 leaves it as it is.
	SurgeFactor float64
	// NewHosts is the number of hosts that start at the same time.
	NewHosts int
	// MaxNotifyDelay is the time within which the gateways learn of the start, each at a random instant.
	MaxNotifyDelay time.Duration
	// PartitionDuration is how long, from the start on, a third of the gateways and of the hosts, among them the new ones, and
	// the rest don't reach each other.
	PartitionDuration time.Duration
	// FailingFraction is the fraction of the other hosts that answer with errors after the lull. Each request has two attempts.
	FailingFraction float64
	// Gossip lets the gateways message each other; otherwise they are all partitioned from each other.
	Gossip bool
	// Serial lets a host answer one attempt after the other, as fast as its capacity allows; otherwise all attempts take
	// the same time.
	Serial bool
	// Duration is the simulated time from the start of the new hosts on.
	Duration  time.Duration
	SlowStart gateway.SlowStart
}

const (
	warmUpTime       = 5 * time.Second // until the new hosts start: the gateways know the other hosts by then
	startTime        = gateway.Time(100 * time.Second)
	answerTime       = 100 * time.Millisecond
	minTimer         = 40 * time.Millisecond
	connectTimeout   = 250 * time.Millisecond // of a connection to an unreachable host
	gossipDelay      = 5 * time.Millisecond
	gossipRate       = 60 // messages that a gateway sends in a second
	requestTimeout   = 3 * time.Second
	latencyObjective = time.Second
	customers        = 5000
)

// Run simulates one experiment.
func Run(config Config) Report {
	if config.Skew == 0 {
		config.Skew = 1
	}
	s := newSimulation(config)
	s.scheduleArrival()
	s.scheduleNotifications()
	s.run(s.hostStart.Add(config.Duration))
	return s.report()
}
