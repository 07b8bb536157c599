// Package leasesim simulates the protocol of package pool, by which gateways share the connections of a store. It has
// gateways whose clocks drift and whose processes crash, freeze and restart, a network that loses, duplicates, delays
// and reorders messages, a replicated ledger whose leader changes while deposed leaders go on, and a store that counts
// its connections. The consensus library of the gateway is replaced by what it guarantees: batches are committed in one
// order, and none of a leader after its successor was elected. The package does no I/O, and the same seed always yields
// the same run.
package leasesim

import (
	"fmt"
	"math/rand/v2"
	"time"

	"ravensill/lab/schedule"
	"ravensill/pool"
)

// Faults describes the faults of the network and of the clocks.
type Faults struct {
	Loss      float64       // probability that a message is lost
	Duplicate float64       // probability that a message is sent once more, after each time it was sent
	MaxDelay  time.Duration // messages are delayed by a random time up to this one
	MaxDrift  float64       // the rate of a clock is between 1-MaxDrift and 1+MaxDrift
}

// Partition determines which messages between a gateway and the leaders are lost.
type Partition int

const (
	// Connected loses no messages.
	Connected Partition = iota
	// ReportsLost loses the reports of the gateway to the leaders.
	ReportsLost
	// GrantsLost loses the grants of the leaders to the gateway.
	GrantsLost
	// Isolated loses reports and grants.
	Isolated
)

// Simulation is a simulated fleet. Its times are true ones, counted from an arbitrary moment; each process reads a
// clock that differs from true time. A Simulation is not safe for concurrent use.
type Simulation struct {
	Terms      pool.Terms
	Faults     Faults
	Now        time.Duration
	Gateways   []*Gateway     // by member
	Ledger     *pool.Ledger   // state after all committed batches
	Leader     *Leader        // the latest leader elected
	NoteCounts map[string]int // number of notes by leaders, by event
	Steps      int            // calls of Step so far

	random          *rand.Rand
	deposedLeaders  []*Leader // the latest two; earlier ones have stopped
	messages        schedule.Schedule[func()]
	lastIncarnation uint64            // of any gateway
	partitions      map[int]Partition // by member
}

// clock is the monotonic clock of a process, with a constant rate.
type clock struct {
	rate   float64      // seconds of the clock per second of true time
	offset pool.Instant // reading at true time 0
}

// at returns the clock's reading at a true time.
func (c clock) at(now time.Duration) pool.Instant {
	return c.offset + pool.Instant(float64(now)*c.rate)
}

// New returns a simulation of terms.Members gateways without demand, which share capacity connections. The gateways
// have just started, and a leader has just been elected.
func New(seed uint64, terms pool.Terms, capacity int, faults Faults) *Simulation {
	s := &Simulation{
		Terms:      terms,
		Faults:     faults,
		Now:        time.Second,
		Ledger:     pool.NewLedger(&terms),
		NoteCounts: map[string]int{},
		random:     rand.New(rand.NewPCG(seed, 1)),
		partitions: map[int]Partition{},
	}
	s.Ledger.Apply(&pool.Batch{Serial: 1, Capacity: capacity})
	for i := range terms.Members {
		s.Gateways = append(s.Gateways, &Gateway{
			Demand:         func(time.Duration) float64 { return 0 },
			MaxServiceTime: 100 * time.Millisecond,
			member:         i,
		})
		s.startGateway(i)
	}
	s.ElectLeader()
	return s
}

// Step advances the simulation by a time: it delivers the messages that have arrived and lets each gateway and leader
// act once.
func (s *Simulation) Step(duration time.Duration) {
	s.Now += duration
	s.Steps++
	s.deliverMessages()
	for _, g := range s.Gateways {
		s.stepGateway(g)
	}
	for _, l := range s.deposedLeaders {
		s.stepLeader(l)
	}
	s.stepLeader(s.Leader)
	if len(s.deposedLeaders) > 2 {
		s.deposedLeaders = s.deposedLeaders[1:]
	}
}

// LowerCapacity commits a smaller capacity of the store. serial is the new capacity's serial number. All running
// gateways learn of it immediately.
func (s *Simulation) LowerCapacity(serial uint64, capacity int) {
	s.Ledger.Apply(&pool.Batch{Serial: serial, Capacity: capacity})
	for _, g := range s.Gateways {
		if g.Leaseholder != nil {
			g.Leaseholder.SetCapacity(serial, capacity)
		}
	}
}

// OpenConnections returns the number of connections that the store has.
func (s *Simulation) OpenConnections() int {
	open := 0
	for _, g := range s.Gateways {
		open += len(g.Connections)
	}
	return open
}

// CheckLimit returns an error if the store has more than limit connections, or if it would have more once every running
// gateway opened all the connections that it is allowed now.
func (s *Simulation) CheckLimit(limit int) error {
	possible := 0
	for _, g := range s.Gateways {
		connections := len(g.Connections)
		if g.Leaseholder != nil && g.frozenUntil == 0 {
			connections = max(connections, g.Allowed(s.Now))
		}
		possible += connections
	}
	if possible > limit {
		return fmt.Errorf("at %v: %d connections open, %d possible, limit %d", s.Now, s.OpenConnections(), possible, limit)
	}
	return nil
}

// newClock returns a clock with a random offset and rate. Two of three clocks have the slowest or the fastest rate, as
// faulty time bounds are most likely to be exceeded with these.
func (s *Simulation) newClock() clock {
	drift := s.Faults.MaxDrift * (2*s.random.Float64() - 1)
	switch s.random.IntN(3) {
	case 0:
		drift = s.Faults.MaxDrift
	case 1:
		drift = -s.Faults.MaxDrift
	}
	return clock{rate: 1 + drift, offset: pool.Instant(s.random.Uint64N(1e15))}
}

// randomDuration returns a random duration below limit, which must be positive.
func (s *Simulation) randomDuration(limit time.Duration) time.Duration {
	return time.Duration(s.random.Uint64N(uint64(limit)))
}
