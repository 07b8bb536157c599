// Package subset assigns each gateway its subset of the endpoints, from the list and its member index alone:
// every gateway computes the same assignment, with no message. Endpoints claim gateways in turns, as Maglev
// fills its table (Eisenbud et al., NSDI 2016). Each endpoint is held by gateways in proportion to its weight,
// each gateway holds as many endpoints as any other, and a change of the list moves few.
package subset

import "math/bits"

const (
	gatewaysPerEndpoint = 12 // that hold an endpoint, on average
	minSubset           = 6  // endpoints that a gateway holds

	minWeight    = 1.0 / 64 // an endpoint counts with at least this fraction of the greatest weight
	initialClaim = 0.5      // claims that each endpoint begins with
)

// Endpoint is an endpoint that gateways hold.
type Endpoint struct {
	Hash     uint64  // of its id, well mixed
	Weight   float64 // in any unit
	InSubset bool    // of the gateway that AssignSubset was asked for

	claimsDue float64 // by its weight
	turns     uint64  // gateways in its order that it has asked
}

// AssignSubset sets which endpoints the gateway with a member index holds, of those that run, in an order that
// all gateways share.
func AssignSubset(member, members int, endpoints []*Endpoint) {
	size := (gatewaysPerEndpoint*len(endpoints) + members - 1) / members
	a := assignment{
		member: member,
		size:   min(max(size, minSubset), len(endpoints)),
		given:  make([]int, members),
		ring:   uint64(1) << bits.Len(uint(members-1)),
	}
	a.left = members * a.size
	maxWeight := 0.0
	for _, e := range endpoints {
		e.InSubset = false
		e.claimsDue = initialClaim
		e.turns = 0
		maxWeight = max(maxWeight, e.Weight)
	}
	for a.left > 0 {
		for _, e := range endpoints {
			e.claimsDue += max(e.Weight/maxWeight, minWeight)
			// the first claim comes early, so that each endpoint is held; with no weights none waits
			waits := e.claimsDue < 1 && e.turns > 0
			if a.left > 0 && !waits {
				e.claimsDue--
				a.claim(e)
			}
		}
	}
}

// assignment is the state of one computation.
type assignment struct {
	member int
	size   int    // endpoints that each gateway holds
	given  []int  // endpoints by gateway
	left   int    // places that are not given yet
	ring   uint64 // places of gateways: any odd step leads through all of a power of two
}

// claim gives an endpoint to the next gateway in its order that has a place, if there is one.
func (a *assignment) claim(e *Endpoint) {
	start := e.Hash >> 32
	step := e.Hash | 1
	for e.turns < a.ring {
		at := int((start + e.turns*step) & (a.ring - 1))
		e.turns++
		if at >= len(a.given) || a.given[at] >= a.size {
			continue
		}
		a.given[at]++
		a.left--
		e.InSubset = e.InSubset || at == a.member
		return
	}
}
