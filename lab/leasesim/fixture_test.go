package leasesim

import (
	"time"

	"ravensill/pool"
)

const (
	stepLength = 10 * time.Millisecond
	maxDrift   = 0.1 // of clocks in tests with faults
)

func newTerms(members, floor, reserve int) pool.Terms {
	return pool.Terms{
		Members:        members,
		Floor:          floor,
		Reserve:        reserve,
		Lease:          1500 * time.Millisecond,
		Drain:          3 * time.Second,
		Drift:          0.02,
		TargetHold:     500 * time.Millisecond,
		ReportInterval: 100 * time.Millisecond,
		CloseDelay:     0,
	}
}

// newHealthySimulation returns a simulation whose only faults are a short delay of messages and a small drift of
// clocks.
func newHealthySimulation(members, floor, capacity int, seed uint64) *Simulation {
	faults := Faults{MaxDelay: 5 * time.Millisecond, MaxDrift: 0.01}
	return New(seed, newTerms(members, floor, 2), capacity, faults)
}

func (s *Simulation) advance(duration time.Duration) {
	for end := s.Now + duration; s.Now < end; {
		s.Step(stepLength)
	}
}

// setDemand sets the demand of all gateways to the same constant.
func (s *Simulation) setDemand(demand float64) {
	for _, g := range s.Gateways {
		g.Demand = constantDemand(demand)
	}
}

func constantDemand(demand float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return demand }
}
