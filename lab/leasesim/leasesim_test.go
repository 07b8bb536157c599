package leasesim

import (
	"testing"

	"pgregory.net/rapid"

	"ravensill/pool"
)

const step = 10 * Millisecond

// newTerms returns terms with short leases.
func newTerms(members, floor, reserve int) pool.Terms {
	return pool.Terms{
		Members:        members,
		Floor:          floor,
		Reserve:        reserve,
		Lease:          1500 * Millisecond,
		Drain:          3000 * Millisecond,
		Drift:          0.02,
		TargetHold:     500 * Millisecond,
		ReportInterval: 100 * Millisecond,
	}
}

// newCalm returns a simulation without faults.
func newCalm(members, floor, capacity int, seed uint64) *Simulation {
	return New(seed, newTerms(members, floor, 2), capacity, Faults{MaxDelay: 5 * Millisecond, Drift: 0.01})
}

// advance runs the simulation for a duration.
func (s *Simulation) advance(duration int64) {
	for end := s.Now + duration; s.Now < end; {
		s.Step(step)
	}
}

// setDemand sets a constant demand at all gateways.
func (s *Simulation) setDemand(demand float64) {
	for _, gateway := range s.Gateways {
		gateway.Demand = func(int64) float64 { return demand }
	}
}

// Whatever the network, the processes, the leaders and the clocks do, gateways that keep to the terms never have more
// connections than the capacity.
func TestConnectionsNeverExceedCapacity(t *testing.T) {
	steps := 0
	rapid.Check(t, func(t *rapid.T) {
		members := rapid.IntRange(2, 9).Draw(t, "members")
		floor := rapid.IntRange(0, 2).Draw(t, "floor")
		limit := members*floor + rapid.IntRange(5, 40).Draw(t, "lendable")
		faults := Faults{
			Loss:      rapid.Float64Range(0, 0.5).Draw(t, "loss"),
			Duplicate: rapid.Float64Range(0, 0.4).Draw(t, "duplicate"),
			MaxDelay:  rapid.Int64Range(0, 2000).Draw(t, "delay") * Millisecond,
			Drift:     0.1,
		}
		terms := newTerms(members, floor, 3)
		terms.Drift = faults.Drift
		freezes := rapid.Bool().Draw(t, "freezes")
		if !freezes { // then the quarantine needs to outlast only the longest request
			terms.Drain = 300 * Millisecond
		}
		s := New(rapid.Uint64().Draw(t, "seed"), terms, limit+terms.Reserve, faults)
		for i, gateway := range s.Gateways {
			gateway.RequestTime = 290 * Millisecond
			if freezes {
				gateway.RequestTime = 1450 * Millisecond
			}
			gateway.Demand = func(now int64) float64 {
				return float64((now/(700*Millisecond)*int64(i+3))%5) * float64(limit) / float64(4*members) * 2
			}
		}
		for range 150 {
			s.injectFault(t, freezes)
			for range 10 {
				s.Step(step)
				if err := s.CheckSafety(limit); err != nil {
					t.Fatal(err)
				}
			}
		}
		steps += s.Steps
	})
	if steps < 100_000 && !t.Failed() {
		t.Errorf("%d steps only", steps)
	}
}

// injectFault injects a fault that is drawn, or none.
func (s *Simulation) injectFault(t *rapid.T, freezes bool) {
	member := rapid.IntRange(0, len(s.Gateways)-1).Draw(t, "member")
	switch rapid.IntRange(0, 30).Draw(t, "fault") {
	case 1:
		s.Kill(member, rapid.Int64Range(0, 3000).Draw(t, "down")*Millisecond)
	case 2, 3:
		if freezes {
			s.Freeze(member, rapid.Int64Range(0, 1400).Draw(t, "frozen")*Millisecond)
		}
	case 4:
		s.Elect()
	case 5, 6:
		s.Partition(member, rapid.SampledFrom([]Direction{ToLeader, FromLeader, Both}).Draw(t, "direction"))
	case 7, 8, 9:
		s.Partition(member, None)
	}
}

// The slowest leaseholder and the fastest grantor stay safe: the leaseholder is partitioned with all that it has in
// use, by a network that still delivers old grants, and with another leader from then on.
func TestWorstClocksAndPartitionStaySafe(t *testing.T) {
	const capacity = 33
	for seed := range uint64(40) {
		terms := newTerms(3, 1, 0)
		terms.Drift = 0.1
		terms.Drain = 300 * Millisecond
		delays := []int64{5 * Millisecond, 900 * Millisecond}
		shortDelay := seed/2%2 == 0
		s := New(seed, terms, capacity, Faults{MaxDelay: delays[seed/2%2], Duplicate: 0.3, Drift: terms.Drift})
		s.SetWorstClocks(0)
		s.setDemand(30)
		s.Gateways[0].Demand = func(int64) float64 { return 20 }
		for _, gateway := range s.Gateways {
			gateway.RequestTime = 295 * Millisecond
		}
		s.advance(4000 * Millisecond)
		s.Partition(0, []Direction{Both, ToLeader}[seed%2])
		if seed%3 == 0 {
			s.Elect()
		}
		for range 600 {
			s.Step(step)
			if err := s.CheckSafety(capacity); err != nil {
				t.Fatalf("seed %d: %v", seed, err)
			}
		}
		conns := len(s.Gateways[0].Conns)
		if conns != 1 || shortDelay && s.OpenConns() < 30 {
			t.Fatalf("seed %d: %d at the partitioned gateway, %d of %d in all", seed, conns, s.OpenConns(), capacity)
		}
	}
}

// A gateway that receives nothing has its floor, and one that wants little has it whoever else wants more.
func TestPartitionedGatewayKeepsFloor(t *testing.T) {
	const members = 8
	const floor = 2
	const lowDemand = 5
	const fairShare = 9
	rapid.Check(t, func(t *rapid.T) {
		s := newCalm(members, floor, 66, rapid.Uint64().Draw(t, "seed"))
		partitioned := rapid.IntRange(0, members-1).Draw(t, "partitioned")
		modest := (partitioned + 1) % members
		s.setDemand(100)
		s.Gateways[modest].Demand = func(int64) float64 { return lowDemand }
		s.Partition(partitioned, Both)
		s.advance(10_000 * Millisecond)
		for i, gateway := range s.Gateways {
			want := fairShare
			switch i {
			case partitioned:
				want = floor
			case modest:
				want = lowDemand
			}
			conns := len(gateway.Conns)
			if conns < want-1 || i == partitioned && conns != floor {
				t.Fatalf("gateway %d has %d connections, %d is partitioned", i, conns, partitioned)
			}
		}
		if open := s.OpenConns(); open < 60 {
			t.Fatalf("%d of 64 in use with demand for all", open)
		}
	})
}

// When the capacity is lowered, the connections are below it once the requests in flight have ended.
func TestLoweredCapacityIsReached(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newCalm(6, 1, 62, rapid.Uint64().Draw(t, "seed"))
		s.setDemand(30)
		s.advance(4000 * Millisecond)
		before := s.OpenConns()
		s.ChangeCapacity(2, 32)
		s.advance(1500 * Millisecond)
		if err := s.CheckSafety(30); err != nil || before < 57 {
			t.Fatalf("%v; %d before", err, before)
		}
	})
}

// A process that is frozen past its lease and the quarantine exceeds the capacity by what it was lent and no more. That
// is reported, and ends when the process goes on.
func TestFrozenPastLeaseExceedsCapacityByLentUnits(t *testing.T) {
	const usable = 40 // of the capacity, without the reserve
	rapid.Check(t, func(t *rapid.T) {
		s := newCalm(4, 1, usable+2, rapid.Uint64().Draw(t, "seed"))
		s.setDemand(50)
		s.advance(3000 * Millisecond)
		frozen := len(s.Gateways[2].Conns)
		s.Freeze(2, 15_000*Millisecond)
		peak := 0
		for range 1400 {
			s.Step(step)
			peak = max(peak, s.OpenConns())
		}
		exceeded := s.EventCounts[pool.EventQuotaExceeded]
		if peak > usable+frozen-1 || peak <= usable || exceeded == 0 {
			t.Fatalf("%d open of %d, %d of them frozen, events %v", peak, usable, frozen, s.EventCounts)
		}
		s.advance(2000 * Millisecond)
		if err := s.CheckSafety(usable); err != nil {
			t.Fatal(err)
		}
	})
}
