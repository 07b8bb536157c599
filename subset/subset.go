// Package subset implements deterministic subsetting: it assigns each gateway a subset of the endpoints, by the
// list and the member index alone. Every gateway computes the same assignment, without messages. Endpoints
// claim gateways in turns, as Maglev fills its table (Eisenbud et al., NSDI 2016). An endpoint is in the
// subsets of gateways in proportion to its weight, all subsets have the same size, and a change of the list
// moves few endpoints.
package subset

import "math/bits"

const (
	gatewaysPerEndpoint = 12 // with an endpoint in their subsets, on average
	minSubset           = 6  // endpoints

	minWeight    = 1.0 / 64 // an endpoint counts with at least this fraction of the greatest weight
	initialClaim = 0.5      // claims that each endpoint begins with
)

// Endpoint is an endpoint to be assigned.
type Endpoint struct {
	Hash     uint64  // of its id, well mixed
	Weight   float64 // in any unit
	InSubset bool    // whether AssignSubset put it in the subset

	claimsDue       float64 // by its weight
	candidatesTried uint64  // gateways in its order that it has tried to claim
}

// AssignSubset sets which running endpoints are in the subset of a gateway, by its member index. All gateways
// must pass the endpoints in the same order.
func AssignSubset(member, members int, endpoints []*Endpoint) {
	size := (gatewaysPerEndpoint*len(endpoints) + members - 1) / members
	a := assignment{
		member:     member,
		size:       min(max(size, minSubset), len(endpoints)),
		sizes:      make([]int, members),
		candidates: uint64(1) << bits.Len(uint(members-1)),
	}
	a.freePlaces = members * a.size
	maxWeight := 0.0
	for _, e := range endpoints {
		e.InSubset = false
		e.claimsDue = initialClaim
		e.candidatesTried = 0
		maxWeight = max(maxWeight, e.Weight)
	}
	for a.freePlaces > 0 {
		for _, e := range endpoints {
			e.claimsDue += max(e.Weight/maxWeight, minWeight)
			// The first claim is never delayed, so that each endpoint is in some subset. Without weights no claim is.
			delayed := e.claimsDue < 1 && e.candidatesTried > 0
			if a.freePlaces > 0 && !delayed {
				e.claimsDue--
				a.claim(e)
			}
		}
	}
}

// assignment is the state of one computation.
type assignment struct {
	member     int
	size       int    // of each subset
	sizes      []int  // of the subsets so far, by member index
	freePlaces int    // places in subsets that are still free
	candidates uint64 // the least power of two of members or more: any odd step visits all of them
}

// claim puts an endpoint in the subset of the next gateway in its order that has a free place, if there is one.
func (a *assignment) claim(e *Endpoint) {
	start := e.Hash >> 32
	step := e.Hash | 1
	for e.candidatesTried < a.candidates {
		candidate := int((start + e.candidatesTried*step) & (a.candidates - 1))
		e.candidatesTried++
		if candidate >= len(a.sizes) || a.sizes[candidate] >= a.size {
			continue
		}
		a.sizes[candidate]++
		a.freePlaces--
		e.InSubset = e.InSubset || candidate == a.member
		return
	}
}
