// Package spread tells which hosts a gateway holds, by list and seat alone: every gateway deals all hosts out
// alike, in turns, as Maglev fills its table (Eisenbud et al., NSDI 2016). Each host is held by its part by
// weight, each gateway holds as many as any other, and a change of the list moves few.
package spread

import "math/bits"

const (
	cover  = 12 // gateways that hold a host, on average
	fewest = 6  // hosts that a gateway holds
)

type Host struct {
	Hash   uint64  // of its id, well mixed
	Weight float64 // in any unit; at least a 64th of the greatest counts
	Held   bool    // by the gateway that Deal was asked for
	due    float64 // claims, by weight
	asked  uint64  // gateways in its order that are behind it
}

// Deal sets which hosts the gateway at a seat holds, of those that run, in an order that all gateways share.
func Deal(seat, seats int, hosts []*Host) {
	holds, most := min(max((cover*len(hosts)+seats-1)/seats, fewest), len(hosts)), 0.0
	for _, h := range hosts {
		h.Held, h.due, h.asked, most = false, 0.5, 0, max(most, h.Weight)
	}
	given, left := make([]int, seats), seats*holds
	ring := uint64(1) << bits.Len(uint(seats-1)) // any odd step leads through all of a power of two
	for left > 0 {
		for _, h := range hosts { // a host's first claim comes early, so that each is held
			if h.due += max(h.Weight/most, 1.0/64); left == 0 || h.due < 1 && h.asked > 0 {
				continue
			}
			h.due--
			for claimed := false; !claimed && h.asked < ring; h.asked++ {
				at := int((h.Hash>>32 + h.asked*(h.Hash|1)) & (ring - 1))
				if claimed = at < seats && given[at] < holds; claimed {
					given[at], left, h.Held = given[at]+1, left-1, h.Held || at == seat
				}
			}
		}
	}
}
