// Package leasesim simulates package pool, the quota of connections, on a simulated clock: gateways whose clocks
// drift apart, a network that loses, duplicates, delays and reorders, a replicated ledger whose leader changes and
// whose deposed leaders go on, and processes that are killed, frozen and restarted. The replication of the ledger
// (raft in the program) is replaced by what it guarantees: one order of batches, and none of a leader after the
// election of its successor.
package leasesim

import (
	"fmt"
	"math/rand/v2"
	"time"

	"ravensill/lab/schedule"
	"ravensill/pool"
)

// Millisecond is the unit of simulated time, in nanoseconds.
const Millisecond = int64(time.Millisecond)

const (
	simulatedStart   = int64(time.Second)
	maxElectionDelay = 100 * Millisecond // until a new leader acts
	maxCommitDelay   = 20 * Millisecond  // of a batch
	maxNoticeDelay   = 20 * Millisecond  // until a leader knows that its batch is committed
	maxLateNotice    = 500 * Millisecond // the same for a deposed leader
	stepsPerTick     = 5                 // of a leader
	maxDeposed       = 2                 // deposed leaders that go on
	randomStream     = 1                 // of the random generator
)

// Faults are those of the network and of the clocks.
type Faults struct {
	Loss      float64 // fraction of the messages
	Duplicate float64 // fraction of the messages
	MaxDelay  int64   // of a message
	Drift     float64 // maximum of a clock's relative error
}

// Direction is a direction between a gateway and the leader.
type Direction string

// Directions that Partition blocks.
const (
	None       Direction = ""
	ToLeader   Direction = "up"
	FromLeader Direction = "down"
	Both       Direction = "both"
)

// Simulation is the simulated environment. Its time is true time, and each process has its own clock.
type Simulation struct {
	Terms       pool.Terms
	Faults      Faults
	Now         int64
	Gateways    []*Gateway
	Ledger      *pool.Ledger // as committed
	Leader      *Leader
	Steps       int
	EventCounts map[string]int // of the leaders' notes

	random         *rand.Rand
	deposedLeaders []*Leader
	messages       schedule.Schedule[func()]
	incarnations   uint64
	blocked        map[int]Direction // by member
}

// New returns a simulation of gateways that start now.
func New(seed uint64, terms pool.Terms, capacity int, faults Faults) *Simulation {
	s := &Simulation{
		Terms:       terms,
		Faults:      faults,
		Now:         simulatedStart,
		Ledger:      pool.NewLedger(&terms),
		EventCounts: map[string]int{},
		random:      rand.New(rand.NewPCG(seed, randomStream)),
		blocked:     map[int]Direction{},
	}
	s.Ledger.Apply(&pool.Batch{Serial: 1, Capacity: capacity})
	for i := range terms.Members {
		gateway := &Gateway{
			member:      i,
			Demand:      func(int64) float64 { return 0 },
			RequestTime: 100 * Millisecond,
		}
		s.Gateways = append(s.Gateways, gateway)
		s.Start(i)
	}
	s.Elect()
	return s
}

// clock is the clock of a process.
type clock struct {
	rate   float64
	offset int64
}

// at returns the clock's time at a true time.
func (c clock) at(now int64) int64 { return c.offset + int64(float64(now)*c.rate) }

// newClock draws a clock. The extremes are likely, as they violate bounds first.
func (s *Simulation) newClock() clock {
	drift := s.Faults.Drift * (2*s.random.Float64() - 1)
	switch s.random.IntN(3) {
	case 0:
		drift = s.Faults.Drift
	case 1:
		drift = -s.Faults.Drift
	}
	return clock{1 + drift, int64(s.random.Uint64N(1e15))}
}

// ChangeCapacity has the store accept another number of connections, and sets it in the ledger and at the gateways.
func (s *Simulation) ChangeCapacity(serial uint64, capacity int) {
	s.Ledger.Apply(&pool.Batch{Serial: serial, Capacity: capacity})
	for _, gateway := range s.Gateways {
		if gateway.Leaseholder != nil {
			gateway.Leaseholder.SetCapacity(serial, capacity)
		}
	}
}

// Partition blocks a direction between a gateway and all leaders, in place of the one blocked before.
func (s *Simulation) Partition(member int, direction Direction) { s.blocked[member] = direction }

// passes reports whether a direction of a gateway is not blocked.
func (s *Simulation) passes(member int, direction Direction) bool {
	return s.blocked[member] != Both && s.blocked[member] != direction
}

// atRandom schedules an event within a duration.
func (s *Simulation) atRandom(within int64, event func()) {
	s.messages.Add(s.Now+int64(s.random.Uint64N(uint64(within))), event)
}

// send sends a message of a gateway or to it through the network.
func (s *Simulation) send(member int, direction Direction, deliver func()) {
	for {
		if s.passes(member, direction) && s.random.Float64() >= s.Faults.Loss {
			s.atRandom(s.Faults.MaxDelay+1, func() {
				if s.passes(member, direction) {
					deliver()
				}
			})
		}
		if s.random.Float64() >= s.Faults.Duplicate {
			return
		}
	}
}

// Step advances the time and has all processes act.
func (s *Simulation) Step(duration int64) {
	s.Now += duration
	s.Steps++
	for s.messages.Len() > 0 {
		at, deliver := s.messages.Next()
		if at > s.Now {
			s.messages.Add(at, deliver)
			break
		}
		deliver()
	}
	for _, gateway := range s.Gateways {
		s.stepGateway(gateway)
	}
	s.stepLeaders()
}

// OpenConns returns the connections that the store has.
func (s *Simulation) OpenConns() (count int) {
	for _, gateway := range s.Gateways {
		count += len(gateway.Conns)
	}
	return count
}

// CheckSafety returns an error if the connections, or those that running processes might open now, exceed a limit.
func (s *Simulation) CheckSafety(limit int) error {
	possible := 0
	for _, gateway := range s.Gateways {
		conns := len(gateway.Conns)
		if gateway.Leaseholder != nil && gateway.FrozenUntil == 0 {
			conns = max(conns, gateway.Allowed(s.Now))
		}
		possible += conns
	}
	if possible > limit {
		return fmt.Errorf("at %d ms: %d open, %d possible, of %d", s.Now/Millisecond, s.OpenConns(), possible, limit)
	}
	return nil
}
