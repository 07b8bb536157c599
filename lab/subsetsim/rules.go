package subsetsim

import (
	"cmp"
	"math"
	"math/bits"
	"slices"

	"ravensill/subset"
)

// Rule is a rule for choosing subsets. Its function Subsets returns the subset of each of a number of gateways
// (members), as indexes of hosts.
type Rule struct {
	Name    string
	Subsets func(members int, hosts []subset.Endpoint) [][]int
}

// Rules are the rules that docs/spread.md compares; that page names the papers on which they are based. The last rule
// is that of package subset.
var Rules = []Rule{
	{"rendezvous", rendezvous},
	{"rounds, shuffled", shuffledRounds},
	{"rounds, hashed order", hashedRounds},
	{"rings, low discrepancy", rings},
	{"aperture", aperture},
	{"hosts choose", unboundedChoice},
	{"hosts choose, bound 1.25", boundedChoice},
	{"emptier of two", emptierOfTwo},
	{"claims in turns (in use)", assignSubsets},
}

// subsetSize returns the number of hosts in a gateway's subset, which is the same for all rules: enough for 12 gateways
// per host, at least 6, and at most all hosts.
func subsetSize(members, hosts int) int { return min(max((12*hosts+members-1)/members, 6), hosts) }

// assignSubsets computes all subsets by the rule of package subset.
func assignSubsets(members int, hosts []subset.Endpoint) [][]int {
	all := make([]*subset.Endpoint, len(hosts))
	subsets := make([][]int, members)
	for member := range members {
		endpoints := slices.Clone(hosts) // the order of the list is the same for all gateways of the simulation
		for i := range endpoints {
			all[i] = &endpoints[i]
		}
		subset.AssignSubset(member, members, all)
		for i := range endpoints {
			if endpoints[i].InSubset {
				subsets[member] = append(subsets[member], i)
			}
		}
	}
	return subsets
}

// rendezvous is weighted rendezvous hashing: each gateway takes the hosts with the highest weighted hash of gateway and
// host.
func rendezvous(members int, hosts []subset.Endpoint) [][]int {
	subsets := make([][]int, members)
	for member := range members {
		subsets[member] = rendezvousSubset(member, members, hosts)
	}
	return subsets
}

func rendezvousSubset(member, members int, hosts []subset.Endpoint) []int {
	ranks := make([]float64, len(hosts))
	for i, h := range hosts {
		hash := hashMix(hashMix(uint64(member)+1) ^ h.Hash)
		uniform := (float64(hash>>11) + 0.5) / (1 << 53)
		ranks[i] = math.Log(uniform) / max(h.Weight, 0.01)
	}
	order := indexes(len(hosts))
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(ranks[b], ranks[a]) })
	return order[:subsetSize(members, len(hosts))]
}

func indexes(n int) []int {
	order := make([]int, n)
	for i := range order {
		order[i] = i
	}
	return order
}

// orderByHash returns the indexes of the hosts, ordered by a hash of the host and a salt.
func orderByHash(hosts []subset.Endpoint, salt uint64) []int {
	order := indexes(len(hosts))
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Compare(hashMix(hosts[a].Hash^salt), hashMix(hosts[b].Hash^salt))
	})
	return order
}

// roundSalt returns the salt that determines the order of the hosts in a round of gateways.
func roundSalt(round uint64) uint64 { return hashMix(round + 77) }

// shuffledRounds is deterministic subsetting: the gateways are divided into rounds, and each gateway of a round takes
// its slice of the list of hosts, which is shuffled again for each round.
func shuffledRounds(members int, hosts []subset.Endpoint) [][]int {
	return slicesOfRounds(members, hosts, func(round uint64) []int {
		order := orderByHash(hosts, 0)
		random := roundSalt(round)
		for i := len(order) - 1; i > 0; i-- {
			random = hashMix(random + 0x9e3779b97f4a7c15)
			j := int(random % uint64(i+1))
			order[i], order[j] = order[j], order[i]
		}
		return order
	})
}

// hashedRounds is shuffledRounds with the list of each round ordered by a hash instead, so that a host that joins
// shifts the slices by at most one place.
func hashedRounds(members int, hosts []subset.Endpoint) [][]int {
	return slicesOfRounds(members, hosts, func(round uint64) []int { return orderByHash(hosts, roundSalt(round)) })
}

func slicesOfRounds(members int, hosts []subset.Endpoint, orderOf func(round uint64) []int) [][]int {
	subsets := make([][]int, members)
	count := len(hosts)
	roundSize := max(count/subsetSize(members, count), 1)
	for member := range members {
		order := orderOf(uint64(member / roundSize))
		i := member % roundSize
		subsets[member] = order[i*count/roundSize : (i+1)*count/roundSize]
	}
	return subsets
}

// rings places the gateways of each round on a ring of hosts, which are ordered by hash, and each gateway takes the
// next hosts clockwise. The places follow a low-discrepancy sequence (the radical inverse), so that an added gateway
// moves no other one.
func rings(members int, hosts []subset.Endpoint) [][]int {
	subsets := make([][]int, members)
	count := len(hosts)
	size := subsetSize(members, count)
	roundSize := max(count/size, 1)
	for member := range members {
		order := orderByHash(hosts, roundSalt(uint64(member/roundSize)))
		inverse := uint64(bits.Reverse32(uint32(member % roundSize)))
		place := int(inverse * uint64(count) >> 32)
		for i := range size {
			subsets[member] = append(subsets[member], order[(place+i)%count])
		}
	}
	return subsets
}

// aperture lays a ring of gateways over a ring of hosts, on which each host has an arc proportional to its weight. A
// gateway takes all hosts that its own arc touches. It touches the hosts at its ends only in part: the load is even
// only if the gateway sends them traffic in proportion to these parts.
func aperture(members int, hosts []subset.Endpoint) [][]int {
	subsets := make([][]int, members)
	order := orderByHash(hosts, 0)
	totalWeight := 0.0
	for _, h := range hosts {
		totalWeight += h.Weight
	}
	for member := range members {
		from := float64(member) / float64(members)
		to := from + float64(subsetSize(members, len(hosts)))/float64(len(hosts))
		weight := 0.0
		for _, i := range order {
			start := weight / totalWeight
			end := (weight + hosts[i].Weight) / totalWeight
			weight += hosts[i].Weight
			touches := start < to && end > from
			touchesPastEnd := start+1 < to
			if touches || touchesPastEnd {
				subsets[member] = append(subsets[member], i)
			}
		}
	}
	return subsets
}

// unboundedChoice lets each host choose its gateways, without a limit on the size of a subset.
func unboundedChoice(members int, hosts []subset.Endpoint) [][]int {
	return hostsChoose(members, hosts, math.Inf(1))
}

// boundedChoice lets each host choose its gateways, with at most 1.25 times the usual number of hosts for each gateway.
func boundedChoice(members int, hosts []subset.Endpoint) [][]int {
	return hostsChoose(members, hosts, 1.25)
}

// hostsChoose lets each host choose the first gateways in its own order that have fewer than bound times the usual
// number of hosts.
func hostsChoose(members int, hosts []subset.Endpoint, bound float64) [][]int {
	subsets := make([][]int, members)
	maxSize := math.Ceil(bound * float64(subsetSize(members, len(hosts))))
	chooseInTurns(members, hosts, func(host int, nextMember func() int) {
		for member := nextMember(); member >= 0; member = nextMember() {
			if float64(len(subsets[member])) < maxSize {
				subsets[member] = append(subsets[member], host)
				return
			}
		}
	})
	return subsets
}

// emptierOfTwo lets each host choose, of the next two gateways in its own order, the one that has fewer hosts.
func emptierOfTwo(members int, hosts []subset.Endpoint) [][]int {
	subsets := make([][]int, members)
	chooseInTurns(members, hosts, func(host int, nextMember func() int) {
		chosen := nextMember()
		other := nextMember()
		if other >= 0 && len(subsets[other]) < len(subsets[chosen]) {
			chosen = other
		}
		if chosen >= 0 {
			subsets[chosen] = append(subsets[chosen], host)
		}
	})
	return subsets
}

// chooseInTurns calls choose once for each place in all subsets together. The hosts take turns in proportion to their
// weights. nextMember returns the next gateway in the host's own order, and -1 after the last one.
func chooseInTurns(members int, hosts []subset.Endpoint, choose func(host int, nextMember func() int)) {
	cycle := uint64(1) << bits.Len(uint(members-1)) // a power of two, so that any odd stride visits all numbers below it
	order := orderByHash(hosts, 0)
	maxWeight := 0.0
	for _, h := range hosts {
		maxWeight = max(maxWeight, h.Weight)
	}
	credit := make([]float64, len(hosts))
	visited := make([]uint64, len(hosts))
	placesLeft := members * subsetSize(members, len(hosts))
	for placesLeft > 0 {
		for _, i := range order {
			h := hosts[i]
			credit[i] += h.Weight / maxWeight
			if credit[i] < 0.5 || placesLeft == 0 {
				continue
			}
			credit[i]--
			placesLeft--
			choose(i, func() int {
				for visited[i] < cycle {
					member := (h.Hash>>32 + visited[i]*(h.Hash|1)) % cycle
					visited[i]++
					if int(member) < members {
						return int(member)
					}
				}
				return -1
			})
		}
	}
}
