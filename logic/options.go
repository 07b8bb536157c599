package logic

import (
	"math"

	"ravensill/gateway"
)

// considered tells a Writer that is a Witness what r's attempt to chosen was picked among, by the loads that pick
// has just set: every host of the subset that could be picked, and any other that was. The ranking is a hash, so that
// over customers each host within bounds is first with the same chance. It records only; nothing is decided by it.
func (g *Gateway) reportCandidates(r *request, chosen *endpoint) {
	w, on := g.actions.(gateway.CandidateObserver)
	if !on {
		return
	}
	least, n := math.Inf(1), 0
	for _, h := range g.endpoints.lastWeighed {
		least = min(least, h.load)
	}
	enough := r.customer.acceptableLoad(least)
	all, next := append(g.candidates[:0], gateway.Candidate{Host: chosen.id, Load: chosen.load}), (*endpoint)(nil)
	at := 0
	for _, h := range g.endpoints.lastWeighed {
		in := h.load <= enough
		if in {
			n++
		}
		if h == chosen || !in && (!h.Held || math.IsInf(h.load, 1)) {
			continue
		}
		o := gateway.Candidate{Host: h.id, Load: h.load}
		if in {
			o.Chance = 1
			if next == nil || mix(uint64(r.customer.hash)^h.Hash) > mix(uint64(r.customer.hash)^next.Hash) {
				next, at = h, len(all)
			}
		}
		all = append(all, o)
	}
	all[0].Chance = 1
	for i := range all {
		all[i].Chance /= float64(n)
	}
	if next != nil {
		all[1], all[at] = all[at], all[1]
	}
	g.candidates = all
	w.ObserveCandidates(r.id, r.customer.hash, all)
}
