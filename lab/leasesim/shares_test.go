package leasesim

import (
	"testing"

	"pgregory.net/rapid"

	"ravensill/pool"
)

// After a change of the demands, in at least 99 of 100 fleets each gateway is within one connection of its fair share
// after two seconds.
func TestSharesAreFairWithinTwoSeconds(t *testing.T) {
	const floor = 2
	changes := 0
	late := 0
	rapid.Check(t, func(t *rapid.T) {
		members := rapid.IntRange(2, 24).Draw(t, "members")
		capacity := 2 + members*rapid.IntRange(3, 12).Draw(t, "each")
		s := newCalm(members, floor, capacity, rapid.Uint64().Draw(t, "seed"))
		for range 3 {
			demands := make([]int, members)
			claims := make([]pool.Claim, members)
			for i, gateway := range s.Gateways {
				demand := rapid.IntRange(0, 40).Draw(t, "demand")
				demands[i] = demand
				claims[i] = pool.Claim{Demand: demand, Weight: 1}
				gateway.Demand = func(int64) float64 { return float64(demand) }
			}
			shares := pool.Shares(claims, floor, s.Ledger.Capacity-2-floor*members)
			s.advance(2000 * Millisecond)
			changes++
			for i, gateway := range s.Gateways {
				if gateway.Allowed(s.Now) < min(shares[i]+floor, demands[i])-1 {
					late++
					break
				}
			}
			s.advance(rapid.Int64Range(0, 1000).Draw(t, "pause") * Millisecond)
		}
	})
	if late > changes/100 {
		t.Errorf("%d of %d not fair after 2 s", late, changes)
	}
	t.Logf("%d of %d not fair after 2 s", late, changes)
}

// Noise of a fifth changes a share at most once in the hold time, and hardly ever.
func TestNoisyDemandSeldomChangesShares(t *testing.T) {
	changes := 0
	seconds := 0
	rapid.Check(t, func(t *rapid.T) {
		members := rapid.IntRange(2, 12).Draw(t, "members")
		s := newCalm(members, 1, 2+8*members, rapid.Uint64().Draw(t, "seed"))
		for _, gateway := range s.Gateways {
			gateway.Demand = s.noisyDemand(rapid.Float64Range(2, 16).Draw(t, "mean"))
		}
		s.advance(5000 * Millisecond)
		targets := s.Leader.Grantor.Targets()
		changedAt := make([]int64, members)
		for range 1000 {
			s.Step(step)
			for i, target := range s.Leader.Grantor.Targets() {
				if target == targets[i] {
					continue
				}
				changes++
				if changedAt[i] > 0 && s.Now-changedAt[i] < s.Terms.TargetHold*97/100 {
					t.Fatalf("share of %d changed twice in %d ms", i, (s.Now-changedAt[i])/Millisecond)
				}
				targets[i] = target
				changedAt[i] = s.Now
			}
		}
		seconds += 10 * members
	})
	if changes > seconds/5 {
		t.Fatalf("%d changes in %d s of noise, summed over shares", changes, seconds)
	}
	t.Logf("%d changes in %d s of noise, summed over shares", changes, seconds)
}

// noisyDemand returns a demand with a mean and noise of a fifth, drawn anew for each report.
func (s *Simulation) noisyDemand(mean float64) func(now int64) float64 {
	factor := 0.0
	drawnFor := int64(-1)
	return func(now int64) float64 {
		report := now / s.Terms.ReportInterval
		if report != drawnFor {
			factor = 0.8 + 0.4*s.random.Float64()
			drawnFor = report
		}
		return mean * factor
	}
}
