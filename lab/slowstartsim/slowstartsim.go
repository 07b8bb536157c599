// Package slowstartsim simulates a fleet of gateways of package logic in front of hosts that have just started, and
// counts the attempts that each such host receives. The limit on attempts at a host that is warming up holds for all
// gateways together, and no single gateway sees their sum. Hosts answer after a fixed time and are never overloaded,
// unless Config.Serial is set, so that exceeding the limit is counted but has no consequences. Every attempt that
// reaches a host counts, retries included. The package does no I/O, and the same Config always returns the same Report.
package slowstartsim

import (
	"time"

	"ravensill/gateway"
)

// Config describes one simulation. All times are simulated.
type Config struct {
	Seed     uint64
	Gateways int
	Hosts    int
	// RequestRate is the number of requests per second over all gateways.
	RequestRate float64
	// Utilization is the fraction of the capacity of all hosts, when warm, that RequestRate takes.
	Utilization float64
	// Skew is the ratio of the traffic of a busy gateway, one in ten, to that of any other; 0 means 1.
	Skew float64
	// LullDuration is the time after the start of the new hosts in which there is a tenth of the traffic: gateways
	// accumulate allowances of attempts in it.
	LullDuration time.Duration
	// SurgeFactor multiplies the traffic after the lull; 0 means 1.
	SurgeFactor float64
	// NewHosts is the number of hosts that start at the same time.
	NewHosts int
	// MaxNotifyDelay is the time after the start of the new hosts within which the gateways learn of it, each at a
	// random instant.
	MaxNotifyDelay time.Duration
	// PartitionDuration is the length of a partition that begins with the start of the new hosts. It separates a third
	// of the gateways and a third of the hosts, with the new ones among them, from all others.
	PartitionDuration time.Duration
	// FailingFraction is the fraction of the other hosts that answer with errors after the lull. Each request has up to
	// two attempts.
	FailingFraction float64
	// Gossip lets the gateways send each other messages; otherwise no gateway hears from another.
	Gossip bool
	// Serial lets a host serve one attempt after the other, as fast as its capacity allows; otherwise it answers every
	// attempt after the same time.
	Serial bool
	// Duration is the time that is simulated after the start of the new hosts.
	Duration time.Duration
	// SlowStart holds the settings of all gateways.
	SlowStart gateway.SlowStart
}

const (
	newHostStartDelay = 5 * time.Second // time until the new hosts start, in which the gateways learn about the others
	startTime         = gateway.Time(100 * time.Second)
	answerTime        = 100 * time.Millisecond
	minTimerDelay     = 40 * time.Millisecond
	connectTimeout    = 250 * time.Millisecond // of a connection to an unreachable host
	gossipDelay       = 5 * time.Millisecond
	gossipRate        = 60 // messages per second that a gateway sends at most
	requestTimeout    = 3 * time.Second
	latencyObjective  = time.Second
	customerCount     = 5000
)

// Run simulates a fleet and returns the report.
func Run(config Config) Report {
	if config.Skew == 0 {
		config.Skew = 1
	}
	s := newSimulation(config)
	s.scheduleArrival()
	s.scheduleNotifications()
	s.run(s.newHostStart.Add(config.Duration))
	return s.report()
}
