package pool

import (
	"cmp"
	"math"
	"slices"
)

// Claim is the claim of one gateway.
type Claim struct {
	Demand int     // connections, those of its floor included
	Weight float64 // above 0
	Leased int     // connections above its floor now, which decide between equal claims to a unit
}

// aboveFloor returns the part of a claim above the floor, up to a level of connections for each unit of weight.
func (c Claim) aboveFloor(level float64, floor int) float64 {
	return max(min(float64(c.Demand), c.Weight*level)-float64(floor), 0)
}

const (
	bisections       = 60  // until the level is as exact as a float64
	fractionsPerUnit = 1e6 // by which exact shares are rounded
)

// Shares returns how many of the units each claim gets above the floor: weighted max-min fairness by progressive
// filling (Bertsekas and Gallager, Data Networks, 6.5.2). All levels rise together in proportion to weight. A gateway
// whose demand is met stops, and its part is left to the others. The floor is a part of each level, so that a gateway
// with little demand leaves more to the others. Units are indivisible: those that are left after rounding down go to
// the largest fractions.
func Shares(claims []Claim, floor, units int) []int {
	shares := make([]int, len(claims))
	if units <= 0 {
		return shares
	}
	level := fairLevel(claims, floor, units)
	var remainders []remainder
	for i, claim := range claims {
		exact := claim.aboveFloor(level, floor)
		shares[i] = int(exact + 1/fractionsPerUnit)
		units -= shares[i]
		if shares[i]+floor < claim.Demand && claim.Weight*level+1 > float64(floor) {
			fraction := math.Round((exact-float64(shares[i]))*fractionsPerUnit) / fractionsPerUnit
			remainders = append(remainders, remainder{member: i, fraction: fraction, leased: claim.Leased > shares[i]})
		}
	}
	slices.SortStableFunc(remainders, compareRemainders)
	for _, r := range remainders[:max(min(units, len(remainders)), 0)] {
		shares[r.member]++
	}
	return shares
}

// fairLevel returns the level at which the claims use up the units, or the one that meets all demand.
func fairLevel(claims []Claim, floor, units int) float64 {
	high := 0.0
	for _, claim := range claims {
		high = max(high, float64(claim.Demand)/claim.Weight)
	}
	exceedsUnits := func(level float64) bool {
		sum := 0.0
		for _, claim := range claims {
			sum += claim.aboveFloor(level, floor)
		}
		return sum > float64(units)
	}
	if !exceedsUnits(math.Inf(1)) {
		return high
	}
	low := 0.0
	for range bisections {
		level := (low + high) / 2
		if exceedsUnits(level) {
			high = level
		} else {
			low = level
		}
	}
	return low
}

// remainder is the claim of a member to one of the units that are left after rounding down.
type remainder struct {
	member   int
	fraction float64 // of a unit, rounded
	leased   bool    // the member has the unit now
}

// compareRemainders orders larger fractions first, then members that have the unit now.
func compareRemainders(a, b remainder) int {
	if order := cmp.Compare(b.fraction, a.fraction); order != 0 {
		return order
	}
	if a.leased != b.leased {
		if a.leased {
			return -1
		}
		return 1
	}
	return cmp.Compare(scatter(a.member), scatter(b.member))
}

// scatter returns a hash of a member index, so that the units that are left don't always go to the first members.
func scatter(member int) uint64 {
	x := uint64(member)*0x9e3779b97f4a7c15 + 0x632be59bd9b4e019
	x ^= x >> 29
	return x * 0xbf58476d1ce4e5b9
}
