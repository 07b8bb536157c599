// Package spread tells which hosts a gateway holds. Every gateway deals all hosts out to all gateways, by the list
// alone: in turns, each host claims the next gateway in an order of its own that holds too few (Maglev's table of
// places, Eisenbud et al., NSDI 2016). So each host is held by its part by weight, rounded, each gateway holds as
// many as any other, and a change of the list moves few.
package spread

import (
	"cmp"
	"math/bits"
	"slices"
)

const (
	cover    = 12       // gateways that hold a host, on average
	fewest   = 6        // hosts that a gateway holds
	lightest = 1.0 / 64 // of the greatest weight: less counts as this much
)

type Host struct {
	Hash   uint64  // of its id, the same at all gateways
	Weight float64 // in any unit
	Held   bool    // by the gateway that Deal was asked for
	due    float64 // claims, by weight
	asked  uint64  // places in its order that are behind it
}

// Deal sorts the hosts that run and sets which of them the gateway at a seat holds.
func Deal(seat, seats int, hosts []*Host) {
	slices.SortFunc(hosts, func(a, b *Host) int { return cmp.Compare(a.Hash, b.Hash) })
	most, holds := 0.0, min(max((cover*len(hosts)+seats-1)/seats, fewest), len(hosts))
	for _, h := range hosts {
		h.Held, h.due, h.asked, most = false, 0.5, 0, max(most, h.Weight)
	}
	given, left := make([]int, seats), seats*holds
	ring := uint64(1) << bits.Len(uint(seats-1)) // any odd step leads through all of a power of two
	for left > 0 {
		for _, h := range hosts {
			// Where nothing weighs this is not a number, and all claim in each turn.
			h.due += max(h.Weight/most, lightest)
			if left == 0 || h.due < 1 && h.asked > 0 { // the first claim comes early, so that each is held
				continue
			}
			h.due--
			for claimed := false; !claimed && h.asked < ring; h.asked++ {
				at := int((h.Hash>>32 + h.asked*(h.Hash|1)) % ring)
				if claimed = at < seats && given[at] < holds; claimed {
					given[at], left, h.Held = given[at]+1, left-1, h.Held || at == seat
				}
			}
		}
	}
}
