package counterfactual

import (
	"fmt"
	"math"
	"time"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Intervals.
const (
	confidence        = 0.95 // level
	meanWidth         = 0.08 // largest half width of the interval of a mean or a median, over the figure
	tailWidth         = 0.16 // largest half width of the interval of the 99th percentile, over the figure
	fractionWidth     = 0.05 // largest half width of the interval of a fraction
	timeDifference    = 0.2  // largest relative difference of a host's time at the same load where it could not be chosen
	normalQuantile    = 1.96 // of the normal distribution at the level
	anytimeOptimum    = 500  // samples at which the interval for all looks is narrowest
	minSpread         = 1e-9
	fractionTolerance = 1e-12
)

const nanosecondsPerMillisecond = float64(time.Millisecond)

// figures sets the figures of an answer, each with its interval or a refusal. The intervals are for the mean, quantile
// or fraction over the same requests: they cover the error of the estimate, by the jackknife over customer groups, and
// the randomness of these requests' response times.
type figures struct {
	answer    *Answer
	table     *strataTable
	curve     []float64   // distribution of the response time by bucket
	curves    [][]float64 // with each customer group left out in turn
	student   float64     // quantile of Student's t distribution
	design    float64     // effect of the clustering by customer on the variance
	uncovered float64     // relative error for the fraction that no outcome covers
}

func newFigures(a *Answer, e *estimation, rule Rule) *figures {
	f := &figures{
		answer: a,
		table:  e.table,
		curve:  e.sums[rule].distribution(a.Estimator),
	}
	for _, sums := range e.leftOut {
		f.curves = append(f.curves, sums[rule].distribution(a.Estimator))
	}
	f.student = studentQuantile(len(f.curves))
	if a.Estimator == Direct {
		f.uncovered = timeDifference * a.UnreachableShare
	}
	return f
}

// set sets all figures but the regret.
func (f *figures) set() {
	a := f.answer
	f.setMean()
	a.P50 = f.quantile(0.5, meanWidth)
	a.P99 = f.quantile(0.99, tailWidth)
	horizon := f.table.horizon
	low, high := f.fractionInterval(f.curve[horizon], horizon)
	a.WithinObjective = newFigure(f.curve[horizon], low, high, fractionWidth)
}

// setMean sets the mean, and the effect of the clustering that the other figures need.
func (f *figures) setMean() {
	a := f.answer
	mean, variance := f.table.moments(f.curve)
	for _, curve := range f.curves {
		meanWithout, _ := f.table.moments(curve)
		a.means = append(a.means, meanWithout)
	}
	a.mean = mean
	f.design = max(1, jackknife(a.means)*a.EffectiveSamples/max(variance, minSpread))
	deviation := math.Sqrt(f.design * variance * (1/a.EffectiveSamples + 1/a.Attempts))
	reach := f.student*deviation + f.uncovered*mean
	a.Mean = newFigure(
		mean/nanosecondsPerMillisecond,
		(mean-reach)/nanosecondsPerMillisecond,
		(mean+reach)/nanosecondsPerMillisecond,
		meanWidth*mean/nanosecondsPerMillisecond,
	)
	if !a.Mean.Available() {
		return
	}
	reach = deviation*anytimeFactor(a.EffectiveSamples) + f.uncovered*mean
	a.Mean.AnyTime = &[2]float64{
		max(mean-reach, 0) / nanosecondsPerMillisecond,
		(mean + reach) / nanosecondsPerMillisecond,
	}
}

// quantile returns the figure of a quantile of the response time. width bounds its half width over the figure.
func (f *figures) quantile(fraction, width float64) Figure {
	estimate, within := f.table.quantile(f.curve, fraction)
	if !within {
		return Figure{Refused: ReasonBeyondObjective}
	}
	low, high := f.fractionInterval(fraction, quantileBucket(f.curve, fraction))
	lowTime, _ := f.table.quantile(f.curve, low)
	highTime, within := f.table.quantile(f.curve, high)
	if !within {
		return Figure{Refused: ReasonWideInterval + ": up to the target"}
	}
	return newFigure(
		estimate/nanosecondsPerMillisecond,
		lowTime/nanosecondsPerMillisecond/gamma/(1+f.uncovered),
		highTime/nanosecondsPerMillisecond*gamma*(1+f.uncovered),
		width*estimate/nanosecondsPerMillisecond,
	)
}

// fractionInterval returns the interval of a fraction of response times up to a bucket (Clopper and Pearson 1934, with
// the effective sample size of Korn and Graubard 1998), widened by the fraction that no outcome covers.
func (f *figures) fractionInterval(fraction float64, bucket int) (low, high float64) {
	samples := f.effectiveSamples(fraction, bucket)
	if successes := samples * fraction; successes > 0 {
		low = distuv.Beta{Alpha: successes, Beta: samples - successes + 1}.Quantile((1 - confidence) / 2)
	}
	high = 1
	if samples*(1-fraction) > 0 {
		successes := samples * fraction
		high = distuv.Beta{Alpha: successes + 1, Beta: samples - successes}.Quantile((1 + confidence) / 2)
	}
	lacking := f.answer.SparseShare
	return low * (1 - lacking), min(high*(1-lacking)+lacking, 1)
}

// effectiveSamples returns the sample size for the interval of a fraction, by the variance over customer groups.
func (f *figures) effectiveSamples(fraction float64, bucket int) float64 {
	a := f.answer
	var fractions []float64
	for _, curve := range f.curves {
		fractions = append(fractions, curve[bucket])
	}
	variance := jackknife(fractions)
	ownVariance := fraction * (1 - fraction)
	samples := 1 / (1/a.EffectiveSamples + 1/a.Attempts) / f.design
	if ownVariance > 0 && variance > ownVariance/a.EffectiveSamples {
		samples = min(samples*f.design, 1/(variance/ownVariance*(1+a.EffectiveSamples/a.Attempts)))
	} else if ownVariance > 0 {
		samples *= f.design
	}
	return samples * square(normalQuantile/f.student)
}

// newFigure returns a figure, or a refusal if its interval is too wide on either side.
func newFigure(value, low, high, width float64) Figure {
	halfWidth := max(high-value, value-low)
	if !(halfWidth <= width) { // also for NaN
		return Figure{Refused: fmt.Sprintf("%s: %.3g to %.3g", ReasonWideInterval, low, high)}
	}
	return Figure{Value: value, Low: max(low, 0), High: high}
}

// anytimeFactor returns the factor on the standard error of an interval that holds for all looks together (asymptotic
// confidence sequence, Waudby-Smith et al. 2021).
func anytimeFactor(samples float64) float64 {
	alpha := 1 - confidence
	r := samples * (-2*math.Log(alpha) + math.Log(-2*math.Log(alpha)+1)) / anytimeOptimum
	return math.Sqrt(2 * (r + 1) / r * math.Log(math.Sqrt(r+1)/alpha))
}

func square(x float64) float64 { return x * x }

// jackknife returns the variance of a figure from its values with each group left out in turn.
func jackknife(values []float64) float64 {
	mean := stat.Mean(values, nil)
	sum := 0.0
	for _, value := range values {
		sum += square(value - mean)
	}
	return sum * float64(len(values)-1) / float64(len(values))
}
