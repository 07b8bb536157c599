// Package subset chooses the hosts that one gateway sends to, out of all hosts of the list: subsetting, as in
// large RPC systems (Google SRE book, ch. 20 "Load Balancing in the Datacenter", "subset selection").
//
// With hundreds of gateways and hundreds of hosts, a gateway that may send to every host opens a connection to
// nearly each of them within a short day, and every host holds a connection of nearly every gateway: each new
// connection costs the host work and the first req on it time, and a gateway that sees few reqs learns next to
// nothing of each host's load. A subset of a few hosts keeps connections in use and answers frequent enough to
// learn from.
//
// The choice is weighted rendezvous hashing (Thaler and Ravishankar, "Using name-based mappings to increase
// hit rates", IEEE/ACM ToN 6(1), 1998; weights as in Schindelhauer and Schomaker, "Weighted distributed hash
// tables", SPAA 2005): each gateway ranks every host by -w/ln(u), u a hash of (gateway, host) in (0, 1), and
// keeps the first k. It needs no agreement between gateways, and a change of the list moves as few hosts as
// can be: a host that goes leaves only the subsets it was in, each of which takes in one other. Expected
// gateways a host: Gateways * Size / Hosts, in proportion to its weight.
//
// The package does no I/O and keeps no state.
package subset

import (
	"math"
	"slices"
)

const (
	// Cover is the number of gateways whose subsets should hold each host, on average. At twelve, a host's
	// count of gateways is within a third of the mean for most hosts (Poisson), and the fleet still opens
	// only Cover connections a host where each gateway would otherwise open one.
	Cover = 12
	// Least is the smallest subset: a gateway keeps a choice when a few hosts fail, drain or are cold.
	Least = 6
)

// Size is the number of hosts a gateway keeps, given how many gateways and hosts there are: enough that each
// host is in about Cover subsets, never fewer than Least, never more than there are hosts. A fleet of few
// gateways uses all hosts, as it did before subsetting. Negative or zero counts give zero.
func Size(gateways, hosts int) int {
	if gateways <= 0 || hosts <= 0 {
		return 0
	}
	k := (Cover*hosts + gateways - 1) / gateways
	return min(max(k, Least), hosts)
}

// Host is a candidate for the subset: Key identifies it the same way at every gateway (a hash of its
// discovery id), Weight is its capacity relative to the others (the list's weight; 0 or less counts as 1).
type Host struct {
	Key    uint64
	Weight float64
}

// Choose gives the positions in hosts of the k hosts that gateway seat keeps, best first. seat must be the
// same at every start of that gateway (its position in the settings). With k at least len(hosts) all are
// kept, in their given order. The result is a new slice; hosts is not changed.
func Choose(seat int, hosts []Host, k int) []int {
	all := make([]int, len(hosts))
	for i := range all {
		all[i] = i
	}
	if k >= len(hosts) {
		return all
	}
	if k <= 0 {
		return nil
	}
	score := make([]float64, len(hosts))
	g := mix(uint64(seat)*0x9e3779b97f4a7c15 + 0x632be59bd9b4e019)
	for i, h := range hosts {
		w := h.Weight
		if !(w > 0) {
			w = 1
		}
		// u in (0, 1): 53 bits of the hash, never 0 or 1, so ln(u) is finite and below 0.
		u := (float64(mix(g^h.Key)>>11) + 0.5) / (1 << 53)
		score[i] = -w / math.Log(u)
	}
	slices.SortStableFunc(all, func(a, b int) int {
		switch {
		case score[a] > score[b]:
			return -1
		case score[a] < score[b]:
			return 1
		}
		return 0
	})
	return all[:k]
}

// mix is the finalizer of SplitMix64 (Steele, Lea and Flood, "Fast splittable pseudorandom number generators",
// OOPSLA 2014): a bijection of 64 bits that spreads any change of its input over all bits of its output.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
