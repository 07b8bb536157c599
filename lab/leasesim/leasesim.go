// Package leasesim simulates package pool, the quota of connections: gateways whose clocks drift, a network that loses,
// duplicates, delays and reorders messages, a replicated ledger whose leader changes while deposed leaders go on,
// processes that crash, freeze and restart, and a store that counts its connections. The consensus library of the
// program is replaced by what it guarantees: one order of batches, and none from a leader after the election of its
// successor. The package does no I/O, and the same seed always yields the same run.
package leasesim

import (
	"fmt"
	"math/rand/v2"
	"time"

	"ravensill/lab/schedule"
	"ravensill/pool"
)

// Faults are the faults of the network and the clocks.
type Faults struct {
	Loss      float64       // probability that a message is lost
	Duplicate float64       // probability that it is sent once more
	MaxDelay  time.Duration // of a message
	MaxDrift  float64       // the rate of a clock is within 1-Drift and 1+Drift
}

// Partition is the direction in which a gateway's messages don't pass.
type Partition int

const (
	// Connected lets all messages pass.
	Connected Partition = iota
	// ReportsLost drops the reports of a gateway to the leader.
	ReportsLost
	// GrantsLost drops the grants of the leader to a gateway.
	GrantsLost
	// Isolated drops both.
	Isolated
)

// Simulation is a simulated fleet. Its time is true time, as the time since an arbitrary moment; each process has a
// clock that differs.
type Simulation struct {
	Terms      pool.Terms
	Faults     Faults
	Now        time.Duration
	Gateways   []*Gateway
	Ledger     *pool.Ledger   // as it is committed
	Leader     *Leader        // the one elected last
	NoteCounts map[string]int // notes of leaders, by event
	Steps      int

	random          *rand.Rand
	deposedLeaders  []*Leader // the latest ones
	messages        schedule.Schedule[func()]
	lastIncarnation uint64
	partitions      map[int]Partition // by member
}

// clock is the monotonic clock of a process.
type clock struct {
	rate   float64
	offset pool.Instant
}

// at returns the clock's reading at a true time.
func (c clock) at(now time.Duration) pool.Instant {
	return c.offset + pool.Instant(float64(now)*c.rate)
}

// New returns a simulation whose gateways start now.
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

// Step advances the simulation by a time.
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

// LowerCapacity commits a smaller number of connections of the store, of which the gateways learn at once.
func (s *Simulation) LowerCapacity(serial uint64, capacity int) {
	s.Ledger.Apply(&pool.Batch{Serial: serial, Capacity: capacity})
	for _, g := range s.Gateways {
		if g.Leaseholder != nil {
			g.Leaseholder.SetCapacity(serial, capacity)
		}
	}
}

// OpenConnections returns the number of connections of the store.
func (s *Simulation) OpenConnections() int {
	open := 0
	for _, g := range s.Gateways {
		open += len(g.Connections)
	}
	return open
}

// CheckLimit returns an error if the store has more than limit connections, or could have them now because the running
// gateways may open further ones.
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

// newClock returns a clock with a random rate, often an extreme one: these are where bounds are missed.
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

// randomDuration returns a random duration below limit.
func (s *Simulation) randomDuration(limit time.Duration) time.Duration {
	return time.Duration(s.random.Uint64N(uint64(limit)))
}
