package counterfactual

import (
	"math"
	"time"
)

// Parameters of the summaries.
const (
	NumCustomerGroups = 20   // customer groups, the units of the jackknife
	MaxCandidates     = 64   // of a record; one with more is not folded
	scale             = 4096 // masses and weights are multiples of 1/scale, so that sums do not depend on the order
	maxWeight         = 64   // larger weights are clipped
	loadBands         = 64   // two an octave
	neverBucket       = 1023 // bucket of attempts without any response
	gamma             = 1.02 // ratio of a bucket's bounds: values have an error of 1% (DDSketch, Masson et al. 2019)
)

// firstBound is the upper bound of the first bucket.
const firstBound = 10 * time.Microsecond

var logGamma = math.Log(gamma)

// LatencyBucket returns the histogram bucket of a response time.
func LatencyBucket(latency time.Duration) int {
	if latency <= firstBound {
		return 0
	}
	return min(int(math.Ceil(math.Log(float64(latency)/float64(firstBound))/logGamma)), neverBucket-1)
}

// bucketTime returns the time that represents a bucket, in nanoseconds.
func bucketTime(bucket int) float64 {
	return float64(firstBound) * math.Pow(gamma, float64(bucket)-0.5)
}

// loadBand returns the band of a load, from the exponent of its square: two bands an octave.
func loadBand(load float64) int {
	if !(load > 0) {
		return 0
	}
	return min(max(int(math.Float64bits(load*load*math.Sqrt2)>>52)-1023+16, 0), loadBands-1)
}

// customerGroup distributes customers evenly over the groups.
func customerGroup(customer uint32) int {
	x := uint64(customer) * 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	return int((x ^ x>>27) >> 33 % NumCustomerGroups)
}
