package counterfactual

import (
	"slices"

	"gonum.org/v1/gonum/stat"
)

// ruleSums contains a rule's sums over all strata. A CDF in it is the sum of the strata's distribution functions of the
// response time, by bucket, each times the stratum's mass or weight. Method estimate normalizes it.
type ruleSums struct {
	directCDF     []float64 // sum by mass over strata with enough outcomes
	weightedCDF   []float64 // sum by weight over all strata
	residualCDF   []float64 // weighted outcomes minus unweighted ones, by weight, of strata with enough outcomes
	mass          float64   // attempts that the rule sends to the strata
	coveredMass   float64   // mass of strata with enough outcomes
	weight        float64   // sum of the importance weights
	coveredWeight float64   // weight of strata with enough outcomes
	censoredEarly float64   // part of coveredMass of which the times up to the objective are unknown, see stratum.cdf
}

// sumStrata returns the sums over all strata for each rule, without the outcomes of a customer group, or with all
// outcomes for noGroup. The masses include the group's attempts, because it is known where each rule would have sent
// them.
func (t *strataTable) sumStrata(skippedGroup int, rules []Rule) map[Rule]*ruleSums {
	all := map[Rule]*ruleSums{}
	buckets := t.objectiveBucket + 1
	for _, rule := range rules {
		all[rule] = &ruleSums{
			directCDF:   make([]float64, buckets),
			weightedCDF: make([]float64, buckets),
			residualCDF: make([]float64, buckets),
		}
	}
	cdf := make([]float64, buckets)
	weightedCDF := make([]float64, buckets)
	for i, s := range t.strata {
		if t.yield != nil && i%strataPerYield == 0 {
			t.yield()
		}
		sum, censoredEarly := s.cdf(t, skippedGroup, unweighted, cdf)
		if sum == 0 { // the stratum has no outcomes but the group's
			_, censoredEarly = s.cdf(t, noGroup, unweighted, cdf)
		}
		for _, rule := range rules {
			weight, _ := s.cdf(t, skippedGroup, int(rule), weightedCDF)
			all[rule].addMass(s, s.mass[rule], cdf, censoredEarly)
			all[rule].addWeight(s, weight, weightedCDF, cdf)
		}
	}
	return all
}

// addMass adds a stratum's unweighted distribution times the mass of the rule. cdf and censoredEarly are results of
// stratum.cdf. A stratum with too few outcomes adds to mass alone.
func (r *ruleSums) addMass(s *stratum, mass float64, cdf []float64, censoredEarly float64) {
	r.mass += mass
	if s.outcomes < minOutcomes {
		return
	}
	r.coveredMass += mass
	r.censoredEarly += mass * censoredEarly
	for bucket := range cdf {
		r.directCDF[bucket] += mass * cdf[bucket]
	}
}

// addWeight adds a stratum's weighted distribution times the sum of its weights, and the difference between weighted
// and unweighted distribution unless the stratum has too few outcomes.
func (r *ruleSums) addWeight(s *stratum, weight float64, weightedCDF, cdf []float64) {
	r.weight += weight
	for bucket := range weightedCDF {
		r.weightedCDF[bucket] += weight * weightedCDF[bucket]
	}
	if s.outcomes < minOutcomes || !(weight > 0) {
		return
	}
	r.coveredWeight += weight
	for bucket := range weightedCDF {
		r.residualCDF[bucket] += weight * (weightedCDF[bucket] - cdf[bucket])
	}
}

// Estimator is the method by which an answer was estimated, as named in answers.
type Estimator string

// Estimators.
const (
	Direct   Estimator = "direct"   // distributions observed at the same host and load, times the rule's mass there
	Weighted Estimator = "weighted" // self-normalized importance weighting of the outcomes
	Robust   Estimator = "robust"   // doubly robust: Direct, corrected by the weighted residuals
)

// distribution returns the distribution function of the response time by an estimator, by bucket. It ascends from 0 to
// 1 at most, even where the estimates do not.
func (r *ruleSums) distribution(estimator Estimator) []float64 {
	cdf := make([]float64, len(r.directCDF))
	highest := 0.0
	for bucket := range cdf {
		highest = min(max(r.estimate(estimator, bucket), highest), 1)
		cdf[bucket] = highest
	}
	return cdf
}

// estimate returns an estimator's fraction of response times up to a bucket. With Robust, it may be below 0, above 1 or
// not ascending.
func (r *ruleSums) estimate(estimator Estimator, bucket int) float64 {
	if estimator == Weighted {
		return r.weightedCDF[bucket] / r.weight
	}
	estimate := r.directCDF[bucket] / r.coveredMass
	if estimator == Robust && r.coveredWeight > 0 {
		estimate += r.residualCDF[bucket] / r.coveredWeight
	}
	return estimate
}

// cappedMoments returns mean and variance of the response times in nanoseconds, each capped at the latency objective.
func (t *strataTable) cappedMoments(cdf []float64) (mean, variance float64) {
	values := make([]float64, 0, len(cdf)+1)
	weights := make([]float64, 0, len(cdf)+1)
	previous := 0.0
	for bucket, fraction := range cdf {
		if fraction > previous {
			values = append(values, min(bucketLatency(bucket), t.objective))
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

// quantileBucket returns the first bucket up to which at least a fraction of the response times lies, or len(cdf) if
// that is beyond the latency objective.
func quantileBucket(cdf []float64, fraction float64) int {
	bucket, _ := slices.BinarySearch(cdf, fraction-fractionTolerance)
	return bucket
}

// quantile returns the response time of a quantile in nanoseconds. If that is beyond the latency objective, it returns
// the objective and false.
func (t *strataTable) quantile(cdf []float64, fraction float64) (time float64, within bool) {
	bucket := quantileBucket(cdf, fraction)
	if bucket == len(cdf) {
		return t.objective, false
	}
	return min(bucketLatency(bucket), t.objective), true
}
