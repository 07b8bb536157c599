package hollow

import (
	"fmt"
	"math"
)

const (
	maxExponentDeviation = 0.1 // by which the exponent of the publishers' bytes may differ from 1
	maxConstantRatio     = 1.1 // greatest over least value of a metric that must be constant
)

// Violations returns which counts and bytes do not grow with the number of followers as they should. The deltas and
// bytes per follower must not depend on the number of followers, the bytes sent by the publishers must grow linearly
// with it, and each follower must receive each of the changes that are published one at a time by exactly one delta.
func (s *ScalingSeries) Violations() (violations []string) {
	for _, point := range s.Points {
		violations = append(violations, point.Violations...)
		if deltas := point.Values[ChangeDeltas]; deltas != 1 {
			violations = append(violations, fmt.Sprintf("%d followers: %g deltas a change", point.Followers, deltas))
		}
	}
	for _, name := range []string{ChangeBytes, StartBytesIn} {
		if least, greatest := s.valueRange(name); greatest > maxConstantRatio*least {
			violations = append(violations, fmt.Sprintf("%s is %.4g to %.4g, depending on the number of followers", name, least,
				greatest))
		}
	}
	exponent := s.Fits[PublisherChangeBytes].Exponent
	if math.Abs(exponent-1) > maxExponentDeviation {
		violations = append(violations, fmt.Sprintf("%s grows with the number of followers to the power %.2f",
			PublisherChangeBytes, exponent))
	}
	return violations
}

// valueRange returns the least and the greatest value of a metric over all points.
func (s *ScalingSeries) valueRange(name string) (least, greatest float64) {
	least = math.Inf(1)
	for _, point := range s.Points {
		least = min(least, point.Values[name])
		greatest = max(greatest, point.Values[name])
	}
	return least, greatest
}
