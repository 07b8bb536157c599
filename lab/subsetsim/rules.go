// Package subsetsim measures how evenly a fleet of gateways uses its hosts: what rules of subsetting give by
// computing alone (this file, table.go), and what gateways of package logic send in a simulated day (day.go).
// It does no I/O, and the same seed gives the same figures.
package subsetsim

import (
	"cmp"
	"math"
	"math/bits"
	"slices"

	"ravensill/subset"
)

// Rule tells for each seat which hosts of a list its gateway holds, as numbers in the list.
type Rule struct {
	Name string
	Held func(seats int, hosts []subset.Endpoint) [][]int
}

// Rules are the ones that were weighed, the landed one first and the one in use last. They are built from the
// papers' words (docs/spread.md names them).
var Rules = []Rule{
	{"rendezvous (landed)", Rendezvous},
	{"rounds, shuffled", rounds},
	{"rounds, hashed order", hashedRounds},
	{"rings, low discrepancy", rings},
	{"aperture", aperture},
	{"hosts choose", func(seats int, hosts []subset.Endpoint) [][]int { return claims(seats, hosts, math.Inf(1)) }},
	{"hosts choose, bound 1.25", func(seats int, hosts []subset.Endpoint) [][]int { return claims(seats, hosts, 1.25) }},
	{"emptier of two", emptier},
	{"deal", Deal},
}

// holds is the landed number of hosts a gateway holds, which all rules keep to.
func holds(seats, hosts int) int { return min(max((12*hosts+seats-1)/seats, 6), hosts) }

// mix spreads any change of x over all bits: the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// Deal is package subset's.
func Deal(seats int, hosts []subset.Endpoint) [][]int {
	all := make([]*subset.Endpoint, len(hosts))
	held := make([][]int, seats)
	for seat := range seats {
		own := slices.Clone(hosts) // in the order of the list, which all gateways of the model share
		for i := range own {
			all[i] = &own[i]
		}
		subset.AssignSubset(seat, seats, all)
		for i := range own {
			if own[i].InSubset {
				held[seat] = append(held[seat], i)
			}
		}
	}
	return held
}

// Rendezvous is the landed rule: each gateway takes the hosts that rank first by a weighted hash of both.
func Rendezvous(seats int, hosts []subset.Endpoint) [][]int {
	held := make([][]int, seats)
	for seat := range seats {
		held[seat] = rendezvous(seat, seats, hosts)
	}
	return held
}

func rendezvous(seat, seats int, hosts []subset.Endpoint) []int {
	order, rank := numbers(len(hosts)), make([]float64, len(hosts))
	for i, h := range hosts {
		rank[i] = math.Log((float64(mix(mix(uint64(seat)+1)^h.Hash)>>11)+0.5)/(1<<53)) / max(h.Weight, 0.01)
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(rank[b], rank[a]) })
	return order[:holds(seats, len(hosts))]
}

func numbers(n int) []int {
	order := make([]int, n)
	for i := range order {
		order[i] = i
	}
	return order
}

// byHash orders the hosts by their hash with salt.
func byHash(hosts []subset.Endpoint, salt uint64) []int {
	order := numbers(len(hosts))
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(mix(hosts[a].Hash^salt), mix(hosts[b].Hash^salt)) })
	return order
}

// rounds are the SRE book's: gateways in rounds of hosts/holds; a round shuffles the list, each takes its slice.
func rounds(seats int, hosts []subset.Endpoint) [][]int {
	return sliced(seats, hosts, func(round uint64) []int {
		order, rnd := byHash(hosts, 0), mix(round+77)
		for i := len(order) - 1; i > 0; i-- {
			rnd = mix(rnd + 0x9e3779b97f4a7c15)
			j := int(rnd % uint64(i+1))
			order[i], order[j] = order[j], order[i]
		}
		return order
	})
}

// hashedRounds orders each round's list by a hash, so that a host that comes shifts the slices by one place at most.
func hashedRounds(seats int, hosts []subset.Endpoint) [][]int {
	return sliced(seats, hosts, func(round uint64) []int { return byHash(hosts, mix(round+77)) })
}

func sliced(seats int, hosts []subset.Endpoint, order func(round uint64) []int) [][]int {
	held, size, n := make([][]int, seats), max(len(hosts)/holds(seats, len(hosts)), 1), len(hosts)
	for seat := range seats {
		i := seat % size
		held[seat] = order(uint64(seat / size))[i*n/size : (i+1)*n/size]
	}
	return held
}

// rings are rounds whose gateways stand on a ring of the hashed hosts at places of a low-discrepancy sequence (the
// radical inverse), so that a further gateway moves none; each takes the next hosts clockwise.
func rings(seats int, hosts []subset.Endpoint) [][]int {
	held, k, n := make([][]int, seats), holds(seats, len(hosts)), len(hosts)
	size := max(n/k, 1)
	for seat := range seats {
		order := byHash(hosts, mix(uint64(seat/size)+77))
		at := int(uint64(bits.Reverse32(uint32(seat%size))) * uint64(n) >> 32)
		for i := range k {
			held[seat] = append(held[seat], order[(at+i)%n])
		}
	}
	return held
}

// aperture is a ring of gateways over a ring of hosts with arcs by weight; a gateway holds all that its arc touches.
// Its ends are parts of hosts: sent to by these parts all are even, sent to evenly they are not.
func aperture(seats int, hosts []subset.Endpoint) [][]int {
	held, order, sum := make([][]int, seats), byHash(hosts, 0), 0.0
	for _, h := range hosts {
		sum += h.Weight
	}
	for seat := range seats {
		from, at := float64(seat)/float64(seats), 0.0
		to := from + float64(holds(seats, len(hosts)))/float64(len(hosts))
		for _, i := range order {
			a, b := at/sum, (at+hosts[i].Weight)/sum
			if at += hosts[i].Weight; a < to && b > from || a+1 < to {
				held[seat] = append(held[seat], i)
			}
		}
	}
	return held
}

// claims lets each host go through its own order of the gateways for its part of all places; a gateway takes bound
// times its own part at most.
func claims(seats int, hosts []subset.Endpoint, bound float64) [][]int {
	k := holds(seats, len(hosts))
	held, most := make([][]int, seats), math.Ceil(bound*float64(k))
	eachTurn(seats, hosts, func(i int, next func() int) {
		for s := next(); s >= 0; s = next() {
			if float64(len(held[s])) < most {
				held[s] = append(held[s], i)
				return
			}
		}
	})
	return held
}

// emptier lets each host take, of the next two gateways in its order, the one that holds fewer.
func emptier(seats int, hosts []subset.Endpoint) [][]int {
	held := make([][]int, seats)
	eachTurn(seats, hosts, func(i int, next func() int) {
		a, b := next(), next()
		if b >= 0 && len(held[b]) < len(held[a]) {
			a = b
		}
		if a >= 0 {
			held[a] = append(held[a], i)
		}
	})
	return held
}

// eachTurn gives the hosts their turns by weight; next leads through a host's own order of the gateways.
func eachTurn(seats int, hosts []subset.Endpoint, turn func(host int, next func() int)) {
	ring, most, order := uint64(1)<<bits.Len(uint(seats-1)), 0.0, byHash(hosts, 0)
	for _, h := range hosts {
		most = max(most, h.Weight)
	}
	due, asked := make([]float64, len(hosts)), make([]uint64, len(hosts))
	for left := seats * holds(seats, len(hosts)); left > 0; {
		for _, i := range order {
			h := hosts[i]
			if due[i] += h.Weight / most; due[i] < 0.5 || left == 0 {
				continue
			}
			due[i], left = due[i]-1, left-1
			turn(i, func() int {
				for asked[i] < ring {
					s := (h.Hash>>32 + asked[i]*(h.Hash|1)) % ring
					if asked[i]++; int(s) < seats {
						return int(s)
					}
				}
				return -1
			})
		}
	}
}
