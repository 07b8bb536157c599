package counterfactual

import (
	"fmt"
	"math"
	"time"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Parameters of the confidence intervals.
const (
	confidenceLevel         = 0.95  // confidence level of all intervals
	maxMeanHalfWidth        = 0.08  // largest half width for a mean or a median, relative to the figure
	maxTailHalfWidth        = 0.16  // the same for a 99th percentile
	maxFractionHalfWidth    = 0.05  // the same for a fraction, absolute; figures with a wider interval are refused
	unreachableLatencyError = 0.2   // largest relative difference of unobserved times, see figureBuilder.unreachableError
	normalQuantile          = 1.96  // standard normal quantile for a two-sided interval at confidenceLevel
	anytimeOptimalSamples   = 500   // sample size at which the anytime-valid interval is narrowest
	minVariance             = 1e-9  // square nanoseconds; avoids a division by zero
	fractionTolerance       = 1e-12 // allowed rounding error of a CDF's fractions
)

const nanosecondsPerMillisecond = float64(time.Millisecond)

// figureBuilder sets the figures of an answer, each with its interval or a refusal. The intervals are for the mean,
// quantile or fraction over the same requests. They cover the error of the estimate, measured by the jackknife over
// customer groups, and the randomness of these requests' response times.
type figureBuilder struct {
	answer          *Answer
	table           *strataTable
	cdf             []float64   // fraction of response times up to each bucket
	leaveOneOutCDFs [][]float64 // one with each customer group left out
	tQuantile       float64     // quantile of Student's t distribution for the number of groups
	designEffect    float64     // variance with clustering by customer over that without, at least 1; set by setMean

	// unreachableError widens the intervals of Direct relative to the figure. A host may respond to the attempts that
	// could not have gone there with times that differ by unreachableLatencyError from the observed ones, at the same
	// load.
	unreachableError float64
}

func newFigureBuilder(a *Answer, e *estimation, rule Rule) *figureBuilder {
	f := &figureBuilder{
		answer: a,
		table:  e.table,
		cdf:    e.sums[rule].distribution(a.Estimator),
	}
	for _, sums := range e.leaveOneOutSums {
		f.leaveOneOutCDFs = append(f.leaveOneOutCDFs, sums[rule].distribution(a.Estimator))
	}
	f.tQuantile = studentTQuantile(len(f.leaveOneOutCDFs))
	if a.Estimator == Direct {
		f.unreachableError = unreachableLatencyError * a.UnreachableShare
	}
	return f
}

// setAll sets all figures except the regret, which depends on the other answers.
func (f *figureBuilder) setAll() {
	a := f.answer
	f.setMean()
	a.P50 = f.quantile(0.5, maxMeanHalfWidth)
	a.P99 = f.quantile(0.99, maxTailHalfWidth)
	objectiveBucket := f.table.objectiveBucket
	low, high := f.fractionInterval(f.cdf[objectiveBucket], objectiveBucket)
	a.WithinObjective = newFigure(f.cdf[objectiveBucket], low, high, maxFractionHalfWidth)
}

// setMean sets the mean with both of its intervals, and designEffect, which the other figures need.
func (f *figureBuilder) setMean() {
	a := f.answer
	mean, variance := f.table.cappedMoments(f.cdf)
	for _, cdf := range f.leaveOneOutCDFs {
		leaveOneOutMean, _ := f.table.cappedMoments(cdf)
		a.leaveOneOutMeans = append(a.leaveOneOutMeans, leaveOneOutMean)
	}
	a.meanNanoseconds = mean
	f.designEffect = max(1, jackknife(a.leaveOneOutMeans)*a.EffectiveSamples/max(variance, minVariance))
	deviation := math.Sqrt(f.designEffect * variance * (1/a.EffectiveSamples + 1/a.Attempts))
	halfWidth := f.tQuantile*deviation + f.unreachableError*mean
	a.Mean = newFigure(
		mean/nanosecondsPerMillisecond,
		(mean-halfWidth)/nanosecondsPerMillisecond,
		(mean+halfWidth)/nanosecondsPerMillisecond,
		maxMeanHalfWidth*mean/nanosecondsPerMillisecond,
	)
	if !a.Mean.Available() {
		return
	}
	halfWidth = deviation*anytimeFactor(a.EffectiveSamples) + f.unreachableError*mean
	a.Mean.AnyTime = &[2]float64{
		max(mean-halfWidth, 0) / nanosecondsPerMillisecond,
		(mean + halfWidth) / nanosecondsPerMillisecond,
	}
}

// quantile returns the figure of a quantile of the response time in milliseconds. maxRelativeWidth bounds the half
// width of its interval relative to the figure.
func (f *figureBuilder) quantile(fraction, maxRelativeWidth float64) Figure {
	estimate, within := f.table.quantile(f.cdf, fraction)
	if !within {
		return Figure{Refused: ReasonBeyondObjective}
	}
	low, high := f.fractionInterval(fraction, quantileBucket(f.cdf, fraction))
	lowTime, _ := f.table.quantile(f.cdf, low)
	highTime, within := f.table.quantile(f.cdf, high)
	if !within {
		return Figure{Refused: ReasonWideInterval + ": up to the target"}
	}
	return newFigure(
		estimate/nanosecondsPerMillisecond,
		lowTime/nanosecondsPerMillisecond/bucketRatio/(1+f.unreachableError),
		highTime/nanosecondsPerMillisecond*bucketRatio*(1+f.unreachableError),
		maxRelativeWidth*estimate/nanosecondsPerMillisecond,
	)
}

// fractionInterval returns the confidence interval of the fraction of response times up to a bucket (Clopper and
// Pearson 1934, with the effective sample size of Korn and Graubard 1998). It is widened by SparseShare: nothing is
// known of the response times of those attempts.
func (f *figureBuilder) fractionInterval(fraction float64, bucket int) (low, high float64) {
	samples := f.effectiveSamples(fraction, bucket)
	if successes := samples * fraction; successes > 0 {
		low = distuv.Beta{Alpha: successes, Beta: samples - successes + 1}.Quantile((1 - confidenceLevel) / 2)
	}
	high = 1
	if samples*(1-fraction) > 0 {
		successes := samples * fraction
		high = distuv.Beta{Alpha: successes + 1, Beta: samples - successes}.Quantile((1 + confidenceLevel) / 2)
	}
	sparse := f.answer.SparseShare
	return low * (1 - sparse), min(high*(1-sparse)+sparse, 1)
}

// effectiveSamples returns the sample size from which independent samples would give the fraction of response times up
// to a bucket with the same variance. The variance is that over customer groups, if that is larger than the binomial
// one.
func (f *figureBuilder) effectiveSamples(fraction float64, bucket int) float64 {
	a := f.answer
	var fractions []float64
	for _, cdf := range f.leaveOneOutCDFs {
		fractions = append(fractions, cdf[bucket])
	}
	variance := jackknife(fractions)
	binomialVariance := fraction * (1 - fraction)
	samples := 1 / (1/a.EffectiveSamples + 1/a.Attempts) / f.designEffect
	if binomialVariance > 0 && variance > binomialVariance/a.EffectiveSamples {
		samples = min(samples*f.designEffect, 1/(variance/binomialVariance*(1+a.EffectiveSamples/a.Attempts)))
	} else if binomialVariance > 0 {
		samples *= f.designEffect
	}
	return samples * square(normalQuantile/f.tQuantile)
}

// newFigure returns a figure, or a refusal if its interval extends more than maxHalfWidth to either side of the value.
func newFigure(value, low, high, maxHalfWidth float64) Figure {
	halfWidth := max(high-value, value-low)
	if !(halfWidth <= maxHalfWidth) { // true also if halfWidth is NaN
		return Figure{Refused: fmt.Sprintf("%s: %.3g to %.3g", ReasonWideInterval, low, high)}
	}
	return Figure{Value: value, Low: max(low, 0), High: high}
}

// anytimeFactor returns the factor on the standard error for an interval that is valid at all sample sizes together, so
// that it may be read any number of times (asymptotic confidence sequence, Waudby-Smith et al. 2021).
func anytimeFactor(samples float64) float64 {
	alpha := 1 - confidenceLevel
	r := samples * (-2*math.Log(alpha) + math.Log(-2*math.Log(alpha)+1)) / anytimeOptimalSamples
	return math.Sqrt(2 * (r + 1) / r * math.Log(math.Sqrt(r+1)/alpha))
}

func square(x float64) float64 { return x * x }

// jackknife returns the variance of a figure, given its values with each group left out once.
func jackknife(values []float64) float64 {
	mean := stat.Mean(values, nil)
	sum := 0.0
	for _, value := range values {
		sum += square(value - mean)
	}
	return sum * float64(len(values)-1) / float64(len(values))
}
