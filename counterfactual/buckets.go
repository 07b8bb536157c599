package counterfactual

import (
	"math"
	"time"
)

// Parameters of the summaries. All gateways and collectors must agree on them.
const (
	NumCustomerGroups = 20 // groups into which customers are hashed; the jackknife leaves out one at a time
	MaxCandidates     = 64 // candidates of a record; a record with more is counted as lost
	// fixedPointScale scales masses and weights to integers, so that their sums do not depend on the order.
	fixedPointScale  = 4096
	maxWeight        = 64   // larger importance weights are clipped
	numLoadBands     = 64   // bands of load, two per octave
	noResponseBucket = 1023 // bucket of attempts that would never have had a response
	bucketRatio      = 1.02 // upper over lower bound of a bucket: 1% error of times (DDSketch, Masson et al. 2019)
)

// firstBucketBound is the upper bound of bucket 0.
const firstBucketBound = 10 * time.Microsecond

var logBucketRatio = math.Log(bucketRatio)

// LatencyBucket returns the histogram bucket of a response time. Times beyond the range are in the last finite bucket.
func LatencyBucket(latency time.Duration) int {
	if latency <= firstBucketBound {
		return 0
	}
	return min(int(math.Ceil(math.Log(float64(latency)/float64(firstBucketBound))/logBucketRatio)), noResponseBucket-1)
}

// bucketLatency returns the response time that represents a bucket, in nanoseconds: the geometric mean of its bounds.
func bucketLatency(bucket int) float64 {
	return float64(firstBucketBound) * math.Pow(bucketRatio, float64(bucket)-0.5)
}

// loadBand returns the band of a load, 0 for a load that is not positive. The binary exponent of the squared load
// divides each octave into two bands.
func loadBand(load float64) int {
	if !(load > 0) {
		return 0
	}
	return min(max(int(math.Float64bits(load*load*math.Sqrt2)>>52)-1023+16, 0), numLoadBands-1)
}

// customerGroup returns the group of a customer, given the hash of a Record. It mixes the bits, similar to SplitMix64,
// so that customers spread evenly over the groups.
func customerGroup(customer uint32) int {
	x := uint64(customer) * 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	return int((x ^ x>>27) >> 33 % NumCustomerGroups)
}
