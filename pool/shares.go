package pool

import (
	"cmp"
	"math"
	"slices"
)

// Claim is one gateway's claim.
type Claim struct {
	Demand int     // connections, those of its floor included
	Weight float64 // above 0
	Has    int     // connections above its floor now: of two equal claims to a last unit, the one that has it keeps it
}

// Shares returns how many of the units each claim gets above the floor: weighted max-min fairness by progressive filling (Bertsekas
// and Gallager, Data Networks, 6.5.2). All levels rise together in proportion to weight; a gateway whose demand is met stops, and
// its part goes to the others. The floor counts as a part of each level, so that a gateway with little demand leaves more. Units
// are indivisible: what is left after rounding down goes to the largest fractions.
func Shares(wants []Claim, floor, units int) []int {
	shares := make([]int, len(wants))
	aboveFloor := func(want Claim, level float64) float64 {
		return max(min(float64(want.Demand), want.Weight*level)-float64(floor), 0)
	}
	sum, high := 0.0, 0.0
	for _, want := range wants {
		sum += aboveFloor(want, math.Inf(1))
		high = max(high, float64(want.Demand)/want.Weight)
	}
	if units <= 0 {
		return shares
	}
	level := high
	if sum > float64(units) { // bisect
		low := 0.0
		for range 60 {
			level = (low + high) / 2
			sum = 0
			for _, want := range wants {
				sum += aboveFloor(want, level)
			}
			if sum > float64(units) {
				high = level
			} else {
				low = level
			}
		}
		level = low
	}
	type remainder struct {
		member   int
		fraction float64 // of a unit, rounded
		has      bool    // it has the unit now
	}
	var remainders []remainder
	for i, want := range wants {
		exact := aboveFloor(want, level)
		shares[i] = int(exact + 1e-6)
		units -= shares[i]
		if shares[i]+floor < want.Demand && want.Weight*level+1 > float64(floor) {
			remainders = append(remainders, remainder{i, math.Round((exact-float64(shares[i]))*1e6) / 1e6, want.Has > shares[i]})
		}
	}
	slices.SortStableFunc(remainders, func(a, b remainder) int {
		if c := cmp.Compare(b.fraction, a.fraction); c != 0 {
			return c
		}
		if a.has != b.has {
			if a.has {
				return -1
			}
			return 1
		}
		return cmp.Compare(scatter(a.member), scatter(b.member))
	})
	for i := 0; i < len(remainders) && units > 0; i++ {
		shares[remainders[i].member]++
		units--
	}
	return shares
}

// scatter hashes a member index, so that it is not always the first members that get what is left.
func scatter(member int) uint64 {
	x := uint64(member)*0x9e3779b97f4a7c15 + 0x632be59bd9b4e019
	x ^= x >> 29
	return x * 0xbf58476d1ce4e5b9
}
