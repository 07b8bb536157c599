package pool

import (
	"cmp"
	"math"
	"slices"
)

// Claim is the input of Shares for one gateway.
type Claim struct {
	Demand int     // connections that the gateway needs, including those of its floor
	Weight float64 // positive; shares are proportional to it where demand exceeds supply
	Leased int     // units leased now: of two equal claims to a remaining unit, that of its present holder wins
}

// aboveFloor returns the connections above the floor that the claim gets at a level: its demand, but at most level
// connections per unit of weight. The result may be a fraction.
func (c Claim) aboveFloor(level float64, floor int) float64 {
	return max(min(float64(c.Demand), c.Weight*level)-float64(floor), 0)
}

const (
	bisectionSteps   = 60  // enough to find the level to the precision of a float64
	fractionsPerUnit = 1e6 // precision of exact shares: differences below 1/fractionsPerUnit are rounding errors
)

// Shares divides the units among the claims and returns the units of each, which are connections above the floor. The
// division is max-min fair with weights, by progressive filling (Bertsekas and Gallager, Data Networks, 6.5.2): the
// connections of all gateways grow together in proportion to their weights, and a gateway whose demand is met stops
// growing and leaves the rest to the others. The connections of the floor count as part of each gateway's connections,
// so a gateway with a demand below its floor gets no units. Shares are rounded down to whole units, and the remaining
// units go to the claims with the largest fractions.
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

// fairLevel returns the level, in connections per unit of weight, at which the claims use up the units. If the units
// suffice for all demand, it returns the lowest level that meets all demand.
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
	for range bisectionSteps {
		level := (low + high) / 2
		if exceedsUnits(level) {
			high = level
		} else {
			low = level
		}
	}
	return low
}

// remainder is the claim of a member to one of the units that remain after its share was rounded down.
type remainder struct {
	member   int
	fraction float64 // fraction of a unit that was cut off, rounded to 1/fractionsPerUnit
	leased   bool    // the member has more units leased now than its rounded-down share
}

// compareRemainders orders larger fractions first, and among equal ones the members that have the unit leased now, so
// that no unit moves without need.
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
	return cmp.Compare(hashMember(a.member), hashMember(b.member))
}

// hashMember returns a hash of a member index. It orders equal claims to the remaining units, so that these don't
// always go to the members with the lowest indices.
func hashMember(member int) uint64 {
	x := uint64(member)*0x9e3779b97f4a7c15 + 0x632be59bd9b4e019
	x ^= x >> 29
	return x * 0xbf58476d1ce4e5b9
}
