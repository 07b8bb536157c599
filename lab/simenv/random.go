package simenv

import (
	"math"
)

// hashMix spreads any change of x over all bits (the finalizer of SplitMix64).
func hashMix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// uniform returns a number that is uniform in [0, 1) and determined by a seed and the numbers that name the draw.
func uniform(seed uint64, parts ...uint64) float64 {
	for _, p := range parts {
		seed = hashMix(seed ^ p*0x9e3779b97f4a7c15 + 0x1234567)
	}
	return float64(seed>>11) / (1 << 53)
}

// gaussian returns a number of the standard normal distribution that is determined by a seed and the numbers that name
// the draw.
func gaussian(seed uint64, parts ...uint64) float64 {
	u := max(uniform(seed, append(parts, 1)...), 1e-12)
	return math.Sqrt(-2*math.Log(u)) * math.Cos(2*math.Pi*uniform(seed, append(parts, 2)...))
}
