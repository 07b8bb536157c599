// Package subset implements deterministic subsetting: it assigns each gateway a subset of the endpoints, computed
// from the endpoint list and the gateway's member index alone. Every gateway computes the same assignment, without
// messages. In turns, each endpoint claims a place in the subset of a gateway, as backends claim entries of the
// lookup table in Maglev (Eisenbud et al., NSDI 2016). All subsets have the same size, an endpoint is in a number
// of subsets in proportion to its weight, and a change of the list moves few endpoints.
package subset

import "math/bits"

const (
	gatewaysPerEndpoint = 12 // mean number of gateways with an endpoint in their subsets
	minSubsetSize       = 6  // least size of a subset, if there are as many endpoints

	minWeight        = 1.0 / 64 // least weight of an endpoint, as a fraction of the greatest weight
	initialClaimsDue = 0.5      // initial value of Endpoint.claimsDue
)

// Endpoint is what AssignSubset needs of an endpoint, and its result for that endpoint.
type Endpoint struct {
	Hash     uint64  // hash of its id; all bits must be well mixed
	Weight   float64 // relative to the other endpoints, in any unit
	InSubset bool    // set by AssignSubset: whether the endpoint is in the subset

	claimsDue       float64 // claims that its weight entitles it to and that it has not made
	candidatesTried uint64  // candidates that its claims have tried, see claim
}

// AssignSubset sets InSubset of each endpoint for the gateway with a member index, in a fleet of a number of
// members. All gateways must pass the same running endpoints in the same order.
func AssignSubset(member, members int, endpoints []*Endpoint) {
	size := (gatewaysPerEndpoint*len(endpoints) + members - 1) / members
	a := assignment{
		member:         member,
		size:           min(max(size, minSubsetSize), len(endpoints)),
		sizes:          make([]int, members),
		candidateCount: uint64(1) << bits.Len(uint(members-1)),
	}
	a.freePlaces = members * a.size
	maxWeight := 0.0
	for _, e := range endpoints {
		e.InSubset = false
		e.claimsDue = initialClaimsDue
		e.candidatesTried = 0
		maxWeight = max(maxWeight, e.Weight)
	}
	for a.freePlaces > 0 {
		for _, e := range endpoints {
			e.claimsDue += max(e.Weight/maxWeight, minWeight)
			// The first claim is never delayed, so that each endpoint is in some subset. Among endpoints of equal
			// weight no claim is.
			delayed := e.claimsDue < 1 && e.candidatesTried > 0
			if a.freePlaces > 0 && !delayed {
				e.claimsDue--
				a.claim(e)
			}
		}
	}
}

// assignment is the state of one call of AssignSubset.
type assignment struct {
	member         int    // member index of this gateway
	size           int    // final size of each subset
	sizes          []int  // current sizes of the subsets, by member index
	freePlaces     int    // free places, over all subsets
	candidateCount uint64 // least power of two not below the number of members: any odd step visits all candidates
}

// claim puts an endpoint in the subset of the next of its candidates that has a free place, if there is one. The
// candidates are the numbers below candidateCount in an order that the endpoint's hash determines; those that are
// no member index are skipped.
func (a *assignment) claim(e *Endpoint) {
	start := e.Hash >> 32
	step := e.Hash | 1
	for e.candidatesTried < a.candidateCount {
		candidate := int((start + e.candidatesTried*step) & (a.candidateCount - 1))
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
