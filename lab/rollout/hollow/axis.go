package hollow

import (
	"fmt"
	"math"
)

const (
	exponentMargin = 0.1 // that the growth of the publishers' bytes may differ from linear by
	constantMargin = 1.1 // greatest over least of a figure of one follower that must not grow with their number
)

// Violations returns which counts and bytes do not grow with the number of followers as they must: those of one
// follower not at all, those of the publishers linearly. Each follower receives each of the changes one at a time by
// one delta.
func (a *ScalingSeries) Violations() (violations []string) {
	for _, point := range a.Points {
		violations = append(violations, point.Violations...)
		if deltas := point.Values[ChangeDeltas]; deltas != 1 {
			violations = append(violations, fmt.Sprintf("%d followers: %g deltas a change", point.Followers, deltas))
		}
	}
	for _, name := range []string{ChangeBytes, StartBytesIn} {
		if least, greatest := a.extent(name); greatest > constantMargin*least {
			violations = append(violations, fmt.Sprintf("%s is %.4g to %.4g, depending on the number of followers", name, least,
				greatest))
		}
	}
	exponent := a.Fits[PublisherChangeBytes].Exponent
	if math.Abs(exponent-1) > exponentMargin {
		violations = append(violations, fmt.Sprintf("%s grows with the number of followers to the power %.2f",
			PublisherChangeBytes, exponent))
	}
	return violations
}

// extent returns the least and the greatest of a figure.
func (a *ScalingSeries) extent(name string) (least, greatest float64) {
	least = math.Inf(1)
	for _, point := range a.Points {
		least = min(least, point.Values[name])
		greatest = max(greatest, point.Values[name])
	}
	return least, greatest
}
