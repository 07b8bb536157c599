package logic

import (
	"math"

	"ravensill/gateway"
)

// reportCandidates reports to an observer among which endpoints an attempt's was chosen, by the loads that
// choose has set: every endpoint of the subset that could be chosen, and any other that was. The ranking is a
// hash, so over customers each acceptable endpoint is the first with the same probability. Nothing is decided
// by the report.
func (g *Gateway) reportCandidates(r *request, chosen *endpoint) {
	observer, on := g.actions.(gateway.CandidateObserver)
	if !on {
		return
	}
	least := math.Inf(1)
	for _, e := range g.endpoints.lastWeighed {
		least = min(least, e.load)
	}
	most := r.customer.acceptableLoad(least)
	candidates := append(g.candidates[:0], gateway.Candidate{Host: chosen.id, Load: chosen.load})
	var next *endpoint // the customer's next in rank
	nextIndex := 0
	within := 0
	for _, e := range g.endpoints.lastWeighed {
		acceptable := e.load <= most
		if acceptable {
			within++
		}
		if e == chosen || !acceptable && (!e.InSubset || math.IsInf(e.load, 1)) {
			continue
		}
		candidate := gateway.Candidate{Host: e.id, Load: e.load}
		if acceptable {
			candidate.Chance = 1
		}
		if acceptable && (next == nil || e.rank(r.customer) > next.rank(r.customer)) {
			next = e
			nextIndex = len(candidates)
		}
		candidates = append(candidates, candidate)
	}
	candidates[0].Chance = 1
	for i := range candidates {
		candidates[i].Chance /= float64(within)
	}
	if next != nil {
		candidates[1], candidates[nextIndex] = candidates[nextIndex], candidates[1]
	}
	g.candidates = candidates
	observer.ObserveCandidates(r.id, r.customer.hash, candidates)
}
