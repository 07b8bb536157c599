package logic

import (
	"math"

	"ravensill/gateway"
)

// reportCandidates passes the candidates for an attempt to the actions, if they are a gateway.CandidateObserver. It
// uses the loads that choose computed. The candidates are the chosen endpoint, every acceptable endpoint, and the
// other available endpoints of the subset with a chance of 0. The ranking is a hash, so over all customers each
// acceptable endpoint ranks first with the same probability. The report has no influence on decisions.
func (g *Gateway) reportCandidates(r *request, chosen *endpoint) {
	observer, ok := g.actions.(gateway.CandidateObserver)
	if !ok {
		return
	}
	leastLoad := math.Inf(1)
	for _, e := range g.endpoints.candidates {
		leastLoad = min(leastLoad, e.load)
	}
	maxLoad := r.customer.maxAcceptableLoad(leastLoad)
	candidates := append(g.candidateBuffer[:0], gateway.Candidate{Host: chosen.number, Load: chosen.load})
	var next *endpoint // the acceptable endpoint that ranks next for the customer
	nextIndex := 0
	acceptableCount := 0
	for _, e := range g.endpoints.candidates {
		acceptable := e.load <= maxLoad
		if acceptable {
			acceptableCount++
		}
		if e == chosen || !acceptable && (!e.InSubset || math.IsInf(e.load, 1)) {
			continue
		}
		candidate := gateway.Candidate{Host: e.number, Load: e.load}
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
		candidates[i].Chance /= float64(acceptableCount)
	}
	if next != nil {
		candidates[1], candidates[nextIndex] = candidates[nextIndex], candidates[1]
	}
	g.candidateBuffer = candidates
	observer.ObserveCandidates(r.id, r.customer.hash, candidates)
}
