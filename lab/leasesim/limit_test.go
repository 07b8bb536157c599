package leasesim

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"ravensill/pool"
)

// Gateways that keep to the protocol never have more connections in all than the limit, whatever faults the network,
// the processes, the leaders and the clocks have.
func TestGatewaysNeverExceedQuota(t *testing.T) {
	steps := 0
	rapid.Check(t, func(t *rapid.T) {
		run := drawFaultyRun(t)
		for range 150 {
			if !run.injectFault(t) {
				continue
			}
			for range 10 {
				run.Step(stepLength)
				if err := run.CheckLimit(run.limit); err != nil {
					t.Fatal(err)
				}
			}
		}
		steps += run.Steps
	})
	if steps < 100_000 && !t.Failed() {
		t.Errorf("only %d simulation steps, want at least 100000", steps)
	}
}

// faultyRun is a simulation with random sizes and faults.
type faultyRun struct {
	*Simulation
	limit   int  // connections of all gateways
	freezes bool // processes may freeze
}

func drawFaultyRun(t *rapid.T) faultyRun {
	members := rapid.IntRange(2, 9).Draw(t, "members")
	floor := rapid.IntRange(0, 2).Draw(t, "floor")
	limit := members*floor + rapid.IntRange(5, 40).Draw(t, "above floors")
	faults := Faults{
		Loss:      rapid.Float64Range(0, 0.5).Draw(t, "loss"),
		Duplicate: rapid.Float64Range(0, 0.4).Draw(t, "duplicate"),
		MaxDelay:  drawMilliseconds(t, 2000, "delay"),
		MaxDrift:  maxDrift,
	}
	freezes := rapid.Bool().Draw(t, "freezes")
	terms := newTerms(members, floor, 3)
	terms.Drift = maxDrift
	maxServiceTime := 1450 * time.Millisecond
	if !freezes { // without freezes, the drain time need only outlast the longest request
		terms.Drain = 300 * time.Millisecond
		maxServiceTime = 290 * time.Millisecond
	}
	s := New(rapid.Uint64().Draw(t, "seed"), terms, limit+3, faults)
	for i, g := range s.Gateways {
		g.MaxServiceTime = maxServiceTime
		g.Demand = func(now time.Duration) float64 {
			period := int(now / (700 * time.Millisecond))
			return float64(period*(i+3)%5) * float64(limit) / float64(4*members) * 2
		}
	}
	return faultyRun{Simulation: s, limit: limit, freezes: freezes}
}

// injectFault draws a fault, a recovery or nothing, and applies it. It returns false if the drawn fault is not allowed.
func (r faultyRun) injectFault(t *rapid.T) bool {
	member := rapid.IntRange(0, r.Terms.Members-1).Draw(t, "member")
	switch rapid.IntRange(0, 30).Draw(t, "event") {
	case 1:
		r.StopGateway(member, drawMilliseconds(t, 3000, "downtime"))
	case 2, 3:
		if !r.freezes {
			return false
		}
		r.FreezeGateway(member, drawMilliseconds(t, 1400, "freeze"))
	case 4:
		r.ElectLeader()
	case 5, 6:
		directions := []Partition{ReportsLost, GrantsLost, Isolated}
		r.SetPartition(member, rapid.SampledFrom(directions).Draw(t, "partition"))
	case 7, 8, 9:
		r.SetPartition(member, Connected)
	}
	return true
}

func drawMilliseconds(t *rapid.T, limit int64, label string) time.Duration {
	return time.Duration(rapid.Int64Range(0, limit).Draw(t, label)) * time.Millisecond
}

// The worst case for each time bound of the protocol: the leaseholder has the slowest clock and the grantor the
// fastest, a partition separates the leaseholder while all its connections are busy and old grants may still arrive,
// and in some runs another leader is elected.
func TestPartitionedGatewayWithSlowestClockKeepsQuota(t *testing.T) {
	const limit = 33
	for seed := range uint64(40) {
		slowNetwork := seed/2%2 == 1
		faults := Faults{MaxDelay: 5 * time.Millisecond, Duplicate: 0.3, MaxDrift: maxDrift}
		if slowNetwork {
			faults.MaxDelay = 900 * time.Millisecond
		}
		terms := newTerms(3, 1, 0)
		terms.Drift = maxDrift
		terms.Drain = 300 * time.Millisecond
		s := New(seed, terms, limit, faults)
		s.UseExtremeClocks(0)
		s.setDemand(30)
		s.Gateways[0].Demand = constantDemand(20)
		for _, g := range s.Gateways {
			g.MaxServiceTime = 295 * time.Millisecond
		}
		s.advance(4 * time.Second)
		s.SetPartition(0, []Partition{Isolated, ReportsLost}[seed%2])
		if seed%3 == 0 {
			s.ElectLeader()
		}
		for range 600 {
			s.Step(stepLength)
			if err := s.CheckLimit(limit); err != nil {
				t.Fatalf("seed %d: %v", seed, err)
			}
		}
		partitioned := len(s.Gateways[0].Connections)
		open := s.OpenConnections()
		if partitioned != 1 || !slowNetwork && open < 30 {
			t.Fatalf("seed %d: %d connections of the partitioned gateway, want 1; %d of %d in all",
				seed, partitioned, open, limit)
		}
	}
}

// A lowered capacity holds once the requests in flight have ended. None of them is aborted.
func TestLoweredCapacityHoldsAfterRequestsEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newHealthySimulation(6, 1, 62, rapid.Uint64().Draw(t, "seed"))
		s.setDemand(30)
		s.advance(4 * time.Second)
		before := s.OpenConnections()
		s.LowerCapacity(2, 32)
		s.advance(1500 * time.Millisecond)
		if err := s.CheckLimit(30); err != nil || before < 57 {
			t.Fatalf("after lowering: %v; %d connections before", err, before)
		}
	})
}

// A process that is frozen for longer than its lease and the quarantine keeps its connections while others are granted
// its units. The limit is then exceeded by no more than these units, the leader notes it, and it ends when the process
// continues.
func TestFrozenGatewayExceedsQuotaByItsUnitsOnly(t *testing.T) {
	const limit = 40
	rapid.Check(t, func(t *rapid.T) {
		s := newHealthySimulation(4, 1, limit+2, rapid.Uint64().Draw(t, "seed"))
		s.setDemand(50)
		s.advance(3 * time.Second)
		frozen := len(s.Gateways[2].Connections)
		s.FreezeGateway(2, 15*time.Second)
		mostOpen := 0
		for range 1400 {
			s.Step(stepLength)
			mostOpen = max(mostOpen, s.OpenConnections())
		}
		if mostOpen > limit+frozen-1 || mostOpen <= limit || s.NoteCounts[pool.EventQuotaExceeded] == 0 {
			t.Fatalf("%d connections open, limit %d, %d connections frozen, notes %v", mostOpen, limit, frozen, s.NoteCounts)
		}
		s.advance(2 * time.Second)
		if err := s.CheckLimit(limit); err != nil {
			t.Fatal(err)
		}
	})
}
