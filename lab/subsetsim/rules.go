// Package subsetsim measures how evenly a fleet of gateways uses its hosts: the subsets that rules assign (rules.go,
// table.go), and what gateways of package logic send in a simulated day (day.go). It does no I/O, and the same seed
// causes the same figures.
package subsetsim

import (
	"cmp"
	"math"
	"math/bits"
	"slices"

	"ravensill/subset"
)

// Rule assigns subsets.
type Rule struct {
	Name string
	// Assign returns the subset of each gateway as indexes of the hosts.
	Assign func(gateways int, hosts []subset.Endpoint) [][]int
}

// Rules are the rules that docs/spread.md compares, by the papers that it names. The previous one is the first, the one
// in use the last.
var Rules = []Rule{
	{"rendezvous (landed)", Rendezvous},
	{"rounds, shuffled", shuffledRounds},
	{"rounds, hashed order", hashedRounds},
	{"rings, low discrepancy", rings},
	{"aperture", aperture},
	{"hosts choose", func(gateways int, hosts []subset.Endpoint) [][]int {
		return hostsChoose(gateways, hosts, math.Inf(1))
	}},
	{"hosts choose, bound 1.25", func(gateways int, hosts []subset.Endpoint) [][]int {
		return hostsChoose(gateways, hosts, 1.25)
	}},
	{"emptier of two", emptierOfTwo},
	{"deal", AssignSubsets},
}

// PreviousRule is the rule of the module before package subset, for one gateway.
var PreviousRule = rendezvous

const (
	minSubset     = 6
	gatewaysOfOne = 12   // gateways that use one host, on average
	minWeight     = 0.01 // of a host in a weighted hash
	shuffleSalt   = 77   // of the hashes of rounds
)

// subsetSize returns the number of hosts that a gateway uses, which is the same for all rules.
func subsetSize(gateways, hosts int) int {
	return min(max((gatewaysOfOne*hosts+gateways-1)/gateways, minSubset), hosts)
}

// mix spreads any change of x over all bits: the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// AssignSubsets is the rule of package subset.
func AssignSubsets(gateways int, hosts []subset.Endpoint) [][]int {
	subsets := make([][]int, gateways)
	endpoints := make([]*subset.Endpoint, len(hosts))
	for gateway := range gateways {
		own := slices.Clone(hosts) // in the order of the list, which is the same for all gateways
		for i := range own {
			endpoints[i] = &own[i]
		}
		subset.AssignSubset(gateway, gateways, endpoints)
		for i := range own {
			if own[i].InSubset {
				subsets[gateway] = append(subsets[gateway], i)
			}
		}
	}
	return subsets
}

// Rendezvous is rendezvous hashing: each gateway uses the hosts that rank first by a weighted hash of both.
func Rendezvous(gateways int, hosts []subset.Endpoint) [][]int {
	subsets := make([][]int, gateways)
	for gateway := range gateways {
		subsets[gateway] = rendezvous(gateway, gateways, hosts)
	}
	return subsets
}

// rendezvous returns the subset of one gateway by rendezvous hashing.
func rendezvous(gateway, gateways int, hosts []subset.Endpoint) []int {
	ranks := make([]float64, len(hosts))
	for i, host := range hosts {
		hash := mix(mix(uint64(gateway)+1) ^ host.Hash)
		uniform := (float64(hash>>11) + 0.5) / (1 << 53)
		ranks[i] = math.Log(uniform) / max(host.Weight, minWeight)
	}
	order := identity(len(hosts))
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(ranks[b], ranks[a]) })
	return order[:subsetSize(gateways, len(hosts))]
}

// identity returns the integers in [0, n).
func identity(n int) []int {
	order := make([]int, n)
	for i := range order {
		order[i] = i
	}
	return order
}

// byHash returns the hosts ordered by their hash with a salt.
func byHash(hosts []subset.Endpoint, salt uint64) []int {
	order := identity(len(hosts))
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(mix(hosts[a].Hash^salt), mix(hosts[b].Hash^salt)) })
	return order
}

// shuffledRounds is deterministic subsetting of the SRE book: gateways come in rounds, each round shuffles the list,
// and each gateway of it uses a slice.
func shuffledRounds(gateways int, hosts []subset.Endpoint) [][]int {
	return slicesOfRounds(gateways, hosts, func(round uint64) []int {
		order := byHash(hosts, 0)
		random := mix(round + shuffleSalt)
		for i := len(order) - 1; i > 0; i-- {
			random = mix(random + 0x9e3779b97f4a7c15)
			j := int(random % uint64(i+1))
			order[i], order[j] = order[j], order[i]
		}
		return order
	})
}

// hashedRounds orders each round's list by a hash, so that a new host shifts the slices by one place at most.
func hashedRounds(gateways int, hosts []subset.Endpoint) [][]int {
	return slicesOfRounds(gateways, hosts, func(round uint64) []int { return byHash(hosts, mix(round+shuffleSalt)) })
}

// slicesOfRounds assigns each gateway of a round a slice of the round's order of the hosts.
func slicesOfRounds(gateways int, hosts []subset.Endpoint, order func(round uint64) []int) [][]int {
	subsets := make([][]int, gateways)
	count := len(hosts)
	roundSize := max(count/subsetSize(gateways, count), 1)
	for gateway := range gateways {
		i := gateway % roundSize
		subsets[gateway] = order(uint64(gateway / roundSize))[i*count/roundSize : (i+1)*count/roundSize]
	}
	return subsets
}

// rings is rounds whose gateways stand on a ring of the hashed hosts at places of a low-discrepancy sequence (the
// radical inverse), so that a new gateway moves none. Each uses the next hosts clockwise.
func rings(gateways int, hosts []subset.Endpoint) [][]int {
	subsets := make([][]int, gateways)
	count := len(hosts)
	size := subsetSize(gateways, count)
	roundSize := max(count/size, 1)
	for gateway := range gateways {
		order := byHash(hosts, mix(uint64(gateway/roundSize)+shuffleSalt))
		place := int(uint64(bits.Reverse32(uint32(gateway%roundSize))) * uint64(count) >> 32)
		for i := range size {
			subsets[gateway] = append(subsets[gateway], order[(place+i)%count])
		}
	}
	return subsets
}

// aperture is a ring of gateways over a ring of hosts with arcs by weight. A gateway uses all hosts that its arc
// touches. Its ends are fractions of hosts: the load is even if gateways send by these fractions, and not if they
// send evenly.
func aperture(gateways int, hosts []subset.Endpoint) [][]int {
	subsets := make([][]int, gateways)
	order := byHash(hosts, 0)
	weights := 0.0
	for _, host := range hosts {
		weights += host.Weight
	}
	width := float64(subsetSize(gateways, len(hosts))) / float64(len(hosts))
	for gateway := range gateways {
		from := float64(gateway) / float64(gateways)
		to := from + width
		place := 0.0
		for _, i := range order {
			start := place / weights
			end := (place + hosts[i].Weight) / weights
			place += hosts[i].Weight
			if start < to && end > from || start+1 < to {
				subsets[gateway] = append(subsets[gateway], i)
			}
		}
	}
	return subsets
}

// hostsChoose has each host choose gateways in its own order, as many as its share of all places. A gateway uses bound
// times its share of the places at most.
func hostsChoose(gateways int, hosts []subset.Endpoint, bound float64) [][]int {
	subsets := make([][]int, gateways)
	limit := math.Ceil(bound * float64(subsetSize(gateways, len(hosts))))
	forEachTurn(gateways, hosts, func(host int, next func() int) {
		for gateway := next(); gateway >= 0; gateway = next() {
			if float64(len(subsets[gateway])) < limit {
				subsets[gateway] = append(subsets[gateway], host)
				return
			}
		}
	})
	return subsets
}

// emptierOfTwo has each host choose, of the next two gateways in its order, the one with the smaller subset.
func emptierOfTwo(gateways int, hosts []subset.Endpoint) [][]int {
	subsets := make([][]int, gateways)
	forEachTurn(gateways, hosts, func(host int, next func() int) {
		first := next()
		second := next()
		if second >= 0 && len(subsets[second]) < len(subsets[first]) {
			first = second
		}
		if first >= 0 {
			subsets[first] = append(subsets[first], host)
		}
	})
	return subsets
}

// forEachTurn calls choose for one host after another, each as often as its weight entitles it to. next returns the
// next gateway in the host's own order, and -1 after the last one.
func forEachTurn(gateways int, hosts []subset.Endpoint, choose func(host int, next func() int)) {
	order := byHash(hosts, 0)
	ring := uint64(1) << bits.Len(uint(gateways-1))
	maxWeight := 0.0
	for _, host := range hosts {
		maxWeight = max(maxWeight, host.Weight)
	}
	credit := make([]float64, len(hosts))
	asked := make([]uint64, len(hosts)) // places of the ring
	next := func(i int) int {
		for asked[i] < ring {
			gateway := (hosts[i].Hash>>32 + asked[i]*(hosts[i].Hash|1)) % ring
			asked[i]++
			if int(gateway) < gateways {
				return int(gateway)
			}
		}
		return -1
	}
	left := gateways * subsetSize(gateways, len(hosts))
	for left > 0 {
		for _, i := range order {
			credit[i] += hosts[i].Weight / maxWeight
			if credit[i] < 0.5 || left == 0 {
				continue
			}
			credit[i]--
			left--
			choose(i, func() int { return next(i) })
		}
	}
}
