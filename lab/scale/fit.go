package scale

import (
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
)

// Form is the shape of the function by which a figure grows with a size.
type Form string

// Forms, from the slowest to the fastest growth.
const (
	Constant    Form = "constant"
	Logarithmic Form = "logarithmic"
	SquareRoot  Form = "square root"
	Linear      Form = "linear"
	Quadratic   Form = "quadratic"
)

const (
	constantCountRatio = 1.25 // counts are constant up to this ratio of the largest to the smallest
	constantTimeRatio  = 1.6  // the same for processor times, which vary with other work on the machine
	constantExponent   = 0.1  // processor times are constant up to this absolute exponent
	maxFormError       = 0.15 // above this error no form fits, and the figure must not be extrapolated
	tieMargin          = 0.02 // a faster form must improve the error by more than this
	growthNoise        = 0.02 // changes between two sizes up to this fraction of the figure count as none
)

// forms are the growing forms in the order in which a fit tries them, from the slowest to the fastest.
var forms = []struct {
	form     Form
	evaluate func(size float64) float64
}{
	{Logarithmic, math.Log},
	{SquareRoot, math.Sqrt},
	{Linear, func(size float64) float64 { return size }},
	{Quadratic, func(size float64) float64 { return size * size }},
}

// Fit describes how a figure grows along an axis. The figure is about Offset + Slope*f(size), where Form determines f.
type Fit struct {
	Exponent    float64 `json:"exponent"` // of a power law: slope of the line through the logarithms of sizes and figures
	Residual    float64 `json:"residual"` // standard deviation of the logarithms from that line
	TopExponent float64 `json:"top"`      // exponent over the three largest sizes, without the constant part of the figure
	Doubles     bool    `json:"doubles"`  // the figure at least doubles from the second largest to the largest size
	Form        Form    `json:"form"`     // the form with the least error, or a slower one within tieMargin of it
	Offset      float64 `json:"at"`
	Slope       float64 `json:"per"`
	Error       float64 `json:"error"` // of the form: root mean square of the relative deviations
	NoFormFits  bool    `json:"bends"` // Error is above maxFormError; always false for Constant
}

// NewFit fits figures measured at three or more ascending sizes. counted says that the figures are counts or bytes;
// otherwise they are processor times, which vary between runs.
func NewFit(sizes, figures []float64, counted bool) (f Fit) {
	f.Exponent, f.Residual = fitPowerLaw(sizes, figures)
	f.TopExponent = topExponent(sizes, figures)
	f.Doubles = figures[len(figures)-1] >= 2*figures[len(figures)-2]
	least := slices.Min(figures)
	greatest := slices.Max(figures)
	mean := stat.Mean(figures, nil)
	constant := greatest <= constantCountRatio*least
	if !counted {
		constant = greatest <= constantTimeRatio*least || math.Abs(f.Exponent) <= constantExponent
	}
	if constant {
		f.Form = Constant
		f.Offset = mean
		f.Error = relativeRMSError(sizes, figures, func(float64) float64 { return mean })
		return f
	}
	f.Error = math.Inf(1)
	for _, candidate := range forms {
		offset, slope := weightedFit(sizes, figures, candidate.evaluate)
		model := func(size float64) float64 { return offset + slope*candidate.evaluate(size) }
		if formError := relativeRMSError(sizes, figures, model); formError < f.Error-tieMargin {
			f.Form, f.Offset, f.Slope, f.Error = candidate.form, offset, slope, formError
		}
	}
	f.NoFormFits = f.Error > maxFormError
	return f
}

// Predict extrapolates the figure to a size. ok is false if no form fits, so that the figure must not be used.
func (f Fit) Predict(size float64) (figure float64, ok bool) {
	figure = f.Offset
	for _, candidate := range forms {
		if candidate.form == f.Form {
			figure += f.Slope * candidate.evaluate(size)
		}
	}
	return figure, !f.NoFormFits
}

// fitPowerLaw fits a power law to the positive figures. It returns the exponent and the standard deviation of the
// logarithms from the fit; both are 0 for fewer than two positive figures.
func fitPowerLaw(sizes, figures []float64) (slope, residual float64) {
	var xs, ys []float64
	for i := range sizes {
		if figures[i] > 0 {
			xs, ys = append(xs, math.Log(sizes[i])), append(ys, math.Log(figures[i]))
		}
	}
	if len(xs) < 2 {
		return 0, 0
	}
	alpha, beta := stat.LinearRegression(xs, ys, nil, false)
	var residuals []float64
	for i := range xs {
		residuals = append(residuals, ys[i]-alpha-beta*xs[i])
	}
	return beta, stat.PopStdDev(residuals, nil)
}

// weightedFit fits offset + slope*evaluate(size) by least squares of the relative deviations.
func weightedFit(sizes, figures []float64, evaluate func(float64) float64) (offset, slope float64) {
	var xs, weights []float64
	for i, size := range sizes {
		xs = append(xs, evaluate(size))
		weights = append(weights, 1/math.Max(figures[i]*figures[i], math.SmallestNonzeroFloat32))
	}
	return stat.LinearRegression(xs, figures, weights, false)
}

// relativeRMSError returns the root mean square of the relative deviations of a model from the figures.
func relativeRMSError(sizes, figures []float64, model func(float64) float64) float64 {
	sum := 0.0
	for i, size := range sizes {
		if figures[i] > 0 {
			relativeError := model(size)/figures[i] - 1
			sum += relativeError * relativeError
		}
	}
	return math.Sqrt(sum / float64(len(sizes)))
}

// topExponent returns the exponent p for which a + b*size^p passes through the figures of the three largest sizes. The
// term a keeps a constant part of the figure from hiding its growth. The result is 0 if the figure does not grow, or
// grows no faster than a logarithm.
func topExponent(sizes, figures []float64) float64 {
	n := len(sizes)
	if n < 3 {
		return 0
	}
	lastIncrease, previousIncrease := figures[n-1]-figures[n-2], figures[n-2]-figures[n-3]
	if lastIncrease <= growthNoise*figures[n-1] {
		return 0
	}
	targetRatio := lastIncrease / math.Max(previousIncrease, growthNoise*figures[n-2])
	increaseRatio := func(p float64) float64 { // increases with p
		power := func(i int) float64 { return math.Pow(sizes[i]/sizes[n-1], p) }
		return (power(n-1) - power(n-2)) / (power(n-2) - power(n-3))
	}
	low, high := 0.01, 6.0
	if increaseRatio(low) >= targetRatio {
		return 0
	}
	for high-low > 0.001 {
		middle := (low + high) / 2
		if increaseRatio(middle) < targetRatio {
			low = middle
		} else {
			high = middle
		}
	}
	return low
}
