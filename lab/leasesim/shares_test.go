package leasesim

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"ravensill/pool"
)

// In at least 99 of 100 cases, all gateways are within one connection of their fair share 2 s after demands have
// changed.
func TestSharesAreFairSoonAfterDemandChanges(t *testing.T) {
	changes, unfair := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		members := rapid.IntRange(2, 24).Draw(t, "members")
		capacity := 2 + members*rapid.IntRange(3, 12).Draw(t, "connections of each")
		s := newHealthySimulation(members, 2, capacity, rapid.Uint64().Draw(t, "seed"))
		for range 3 {
			demands := drawDemands(t, s)
			s.advance(2 * time.Second)
			changes++
			if !s.sharesFair(demands) {
				unfair++
			}
			s.advance(drawMilliseconds(t, 1000, "pause"))
		}
	})
	if unfair > changes/100 {
		t.Errorf("shares are not fair 2 s after %d of %d changes of demands", unfair, changes)
	}
	t.Logf("shares are not fair 2 s after %d of %d changes of demands", unfair, changes)
}

// drawDemands draws constant demands, sets them and returns them by member.
func drawDemands(t *rapid.T, s *Simulation) []int {
	demands := make([]int, s.Terms.Members)
	for i, g := range s.Gateways {
		demands[i] = rapid.IntRange(0, 40).Draw(t, "demand")
		g.Demand = constantDemand(float64(demands[i]))
	}
	return demands
}

// sharesFair reports whether each gateway is allowed at least its fair share of connections less one.
func (s *Simulation) sharesFair(demands []int) bool {
	claims := make([]pool.Claim, len(demands))
	for i, demand := range demands {
		claims[i] = pool.Claim{Demand: demand, Weight: 1}
	}
	floor := s.Terms.Floor
	shares := pool.Shares(claims, floor, s.Ledger.Capacity-s.Terms.Reserve-floor*len(demands))
	for i, g := range s.Gateways {
		if g.Allowed(s.Now) < min(shares[i]+floor, demands[i])-1 {
			return false
		}
	}
	return true
}

// Demands that vary by up to a fifth change a gateway's target at most once within the hold time, and rarely at all.
func TestNoisyDemandRarelyChangesTargets(t *testing.T) {
	changes, seconds := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		members := rapid.IntRange(2, 12).Draw(t, "members")
		s := newHealthySimulation(members, 1, 2+8*members, rapid.Uint64().Draw(t, "seed"))
		for _, g := range s.Gateways {
			g.Demand = s.noisyDemand(rapid.Float64Range(2, 16).Draw(t, "mean"))
		}
		s.advance(5 * time.Second)
		targets := s.Leader.Grantor.Targets()
		changedAt := make([]time.Duration, members)
		for range 1000 {
			s.Step(stepLength)
			for i, target := range s.Leader.Grantor.Targets() {
				if target == targets[i] {
					continue
				}
				changes++
				interval := s.Now - changedAt[i]
				if changedAt[i] > 0 && interval < s.Terms.TargetHold*97/100 {
					t.Fatalf("target of member %d changed twice in %v", i, interval)
				}
				targets[i] = target
				changedAt[i] = s.Now
			}
		}
		seconds += 10 * members
	})
	if changes > seconds/5 {
		t.Fatalf("%d changes of targets in %d s of noisy demand, summed over members", changes, seconds)
	}
	t.Logf("%d changes of targets in %d s of noisy demand, summed over members", changes, seconds)
}

// noisyDemand returns a demand that is drawn again for each report and differs from the mean by up to a fifth.
func (s *Simulation) noisyDemand(mean float64) func(time.Duration) float64 {
	factor := 0.0
	drawnFor := time.Duration(-1)
	return func(now time.Duration) float64 {
		interval := now / s.Terms.ReportInterval
		if interval != drawnFor {
			factor = 0.8 + 0.4*s.random.Float64()
			drawnFor = interval
		}
		return mean * factor
	}
}

// A gateway that receives no grants has its floor, and one with a small demand has all that it needs, whatever the
// others demand.
func TestGatewaysGetFloorsAndSmallDemands(t *testing.T) {
	const members = 8
	rapid.Check(t, func(t *rapid.T) {
		s := newHealthySimulation(members, 2, 66, rapid.Uint64().Draw(t, "seed"))
		isolated := rapid.IntRange(0, members-1).Draw(t, "isolated")
		lowDemand := (isolated + 1) % members
		s.setDemand(100)
		s.Gateways[lowDemand].Demand = constantDemand(5)
		s.SetPartition(isolated, Isolated)
		s.advance(10 * time.Second)
		for i, g := range s.Gateways {
			want := 9
			switch i {
			case isolated:
				want = 2
			case lowDemand:
				want = 5
			}
			open := len(g.Connections)
			if open < want-1 || i == isolated && open != want {
				t.Fatalf("gateway %d has %d connections; gateway %d is isolated", i, open, isolated)
			}
		}
		if open := s.OpenConnections(); open < 60 {
			t.Fatalf("%d of 64 connections in use with demand for all", open)
		}
	})
}
