package counterfactual

import (
	"slices"

	"gonum.org/v1/gonum/stat"
)

// ruleSums are the sums over all strata for a rule. The curves are not divided by the masses or weights yet.
type ruleSums struct {
	direct        []float64
	weighted      []float64
	residual      []float64
	mass          float64
	coveredMass   float64 // in strata with enough outcomes
	weight        float64
	coveredWeight float64 // in strata with enough outcomes
	censoredEarly float64
}

// sum sums all strata for the rules, without the outcomes of a group. The masses include the group: it is known where
// each rule would have sent the same requests.
func (t *strataTable) sum(skippedGroup int, rules []Rule) map[Rule]*ruleSums {
	all := map[Rule]*ruleSums{}
	buckets := t.horizon + 1
	for _, rule := range rules {
		all[rule] = &ruleSums{
			direct:   make([]float64, buckets),
			weighted: make([]float64, buckets),
			residual: make([]float64, buckets),
		}
	}
	curve := make([]float64, buckets)
	weightedCurve := make([]float64, buckets)
	for i, s := range t.strata {
		if t.yield != nil && i%yieldInterval == 0 {
			t.yield()
		}
		sum, censoredEarly := s.curve(t, skippedGroup, unweighted, curve)
		if sum == 0 {
			_, censoredEarly = s.curve(t, noGroup, unweighted, curve)
		}
		for _, rule := range rules {
			weight, _ := s.curve(t, skippedGroup, int(rule), weightedCurve)
			all[rule].addMass(s, s.mass[rule], curve, censoredEarly)
			all[rule].addWeight(s, weight, weightedCurve, curve)
		}
	}
	return all
}

// addMass adds a stratum by the mass of the rule.
func (r *ruleSums) addMass(s *stratum, mass float64, curve []float64, censoredEarly float64) {
	r.mass += mass
	if s.outcomes < minOutcomes {
		return
	}
	r.coveredMass += mass
	r.censoredEarly += mass * censoredEarly
	for bucket := range curve {
		r.direct[bucket] += mass * curve[bucket]
	}
}

// addWeight adds a stratum by the weight of its outcomes.
func (r *ruleSums) addWeight(s *stratum, weight float64, weightedCurve, curve []float64) {
	r.weight += weight
	for bucket := range weightedCurve {
		r.weighted[bucket] += weight * weightedCurve[bucket]
	}
	if s.outcomes < minOutcomes || !(weight > 0) {
		return
	}
	r.coveredWeight += weight
	for bucket := range weightedCurve {
		r.residual[bucket] += weight * (weightedCurve[bucket] - curve[bucket])
	}
}

// Estimator is the name of a method of estimation.
type Estimator string

// Estimators.
const (
	Direct   Estimator = "direct"   // outcomes at the same host, request class and load, weighted by mass
	Weighted Estimator = "weighted" // outcomes weighted by the rule's probability over the actual one, self-normalized
	Robust   Estimator = "robust"   // direct, with its errors corrected by the weights (doubly robust)
)

// distribution returns the curve of an estimator, made monotonic between 0 and 1.
func (r *ruleSums) distribution(estimator Estimator) []float64 {
	curve := make([]float64, len(r.direct))
	highest := 0.0
	for bucket := range curve {
		highest = min(max(r.estimate(estimator, bucket), highest), 1)
		curve[bucket] = highest
	}
	return curve
}

// estimate returns the fraction of response times up to a bucket.
func (r *ruleSums) estimate(estimator Estimator, bucket int) float64 {
	if estimator == Weighted {
		return r.weighted[bucket] / r.weight
	}
	estimate := r.direct[bucket] / r.coveredMass
	if estimator == Robust && r.coveredWeight > 0 {
		estimate += r.residual[bucket] / r.coveredWeight
	}
	return estimate
}

// moments returns mean and variance of the response time or the latency objective, whichever is less, in nanoseconds.
func (t *strataTable) moments(curve []float64) (mean, variance float64) {
	values := make([]float64, 0, len(curve)+1)
	weights := make([]float64, 0, len(curve)+1)
	previous := 0.0
	for bucket, fraction := range curve {
		if fraction > previous {
			values = append(values, min(bucketTime(bucket), t.objective))
			weights = append(weights, fraction-previous)
		}
		previous = fraction
	}
	values = append(values, t.objective)
	weights = append(weights, 1-previous)
	mean = stat.Mean(values, weights)
	for i, value := range values {
		variance += weights[i] * (value - mean) * (value - mean)
	}
	return mean, variance
}

// quantileBucket returns the bucket of a quantile, len(curve) if that is beyond the latency objective.
func quantileBucket(curve []float64, fraction float64) int {
	bucket, _ := slices.BinarySearch(curve, fraction-fractionTolerance)
	return bucket
}

// quantile returns the response time of a quantile, or false if that is beyond the latency objective.
func (t *strataTable) quantile(curve []float64, fraction float64) (time float64, within bool) {
	bucket := quantileBucket(curve, fraction)
	if bucket == len(curve) {
		return t.objective, false
	}
	return min(bucketTime(bucket), t.objective), true
}
