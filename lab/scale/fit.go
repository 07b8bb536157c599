package scale

import (
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
)

// Form is how a figure grows with a size.
type Form string

// Forms, from the slowest to the fastest.
const (
	Constant    Form = "constant"
	Logarithmic Form = "logarithmic"
	SquareRoot  Form = "square root"
	Linear      Form = "linear"
	Quadratic   Form = "quadratic"
)

const (
	constantCountRatio = 1.25 // of the largest to the smallest count, up to which it is constant
	constantTimeRatio  = 1.6  // of processor times, which other work on the machine changes
	constantExponent   = 0.1  // of processor times, up to which they are constant
	maxFormError       = 0.15 // above which no form fits: the figure is not to be extrapolated
	tieMargin          = 0.02 // between errors of forms, up to which the slower one is kept
	growthNoise        = 0.02 // fraction of a figure, up to which a change between two sizes is none
)

// forms are the forms that grow, from the slowest to the fastest.
var forms = []struct {
	form Form
	of   func(size float64) float64
}{
	{Logarithmic, math.Log},
	{SquareRoot, math.Sqrt},
	{Linear, func(size float64) float64 { return size }},
	{Quadratic, func(size float64) float64 { return size * size }},
}

// Fit is how one figure grows along an axis. The figure is about Offset + Slope*f(size), with f by the form.
type Fit struct {
	Exponent    float64 `json:"exponent"` // slope of the line through logarithms of size and figure
	Residual    float64 `json:"residual"` // of that line: standard deviation of the logarithms
	TopExponent float64 `json:"top"`      // exponent between the three largest sizes, without the constant part
	Doubles     bool    `json:"doubles"`  // the figure at least doubles from the second largest size to the largest
	Form        Form    `json:"form"`     // the one with the least error
	Offset      float64 `json:"at"`
	Slope       float64 `json:"per"`
	Error       float64 `json:"error"` // of the form: root mean square of the relative deviations
	NoFormFits  bool    `json:"bends"` // no form fits
}

// NewFit fits figures of at least three ascending sizes. counted reports that they are counts, not processor time.
func NewFit(sizes, figures []float64, counted bool) (f Fit) {
	f.Exponent, f.Residual = exponent(sizes, figures)
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
		f.Error = deviation(sizes, figures, func(float64) float64 { return mean })
		return f
	}
	f.Error = math.Inf(1)
	for _, one := range forms {
		at, per := weightedFit(sizes, figures, one.of)
		model := func(size float64) float64 { return at + per*one.of(size) }
		if off := deviation(sizes, figures, model); off < f.Error-tieMargin {
			f.Form, f.Offset, f.Slope, f.Error = one.form, at, per, off
		}
	}
	f.NoFormFits = f.Error > maxFormError
	return f
}

// Predict returns the figure at a size by the form. ok is false if the fit bends.
func (f Fit) Predict(size float64) (figure float64, ok bool) {
	figure = f.Offset
	for _, one := range forms {
		if one.form == f.Form {
			figure += f.Slope * one.of(size)
		}
	}
	return figure, !f.NoFormFits
}

// exponent fits a power of the size to the figures, and returns it with the standard deviation of the logarithms.
func exponent(sizes, figures []float64) (slope, residual float64) {
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
	var off []float64
	for i := range xs {
		off = append(off, ys[i]-alpha-beta*xs[i])
	}
	return beta, stat.PopStdDev(off, nil)
}

// weightedFit fits offset + slope*f(size) by least squares of the relative deviations.
func weightedFit(sizes, figures []float64, of func(float64) float64) (at, per float64) {
	var xs, weights []float64
	for i, size := range sizes {
		xs = append(xs, of(size))
		weights = append(weights, 1/math.Max(figures[i]*figures[i], math.SmallestNonzeroFloat32))
	}
	return stat.LinearRegression(xs, figures, weights, false)
}

// deviation returns the root mean square of a model's relative deviations.
func deviation(sizes, figures []float64, model func(float64) float64) float64 {
	sum := 0.0
	for i, size := range sizes {
		if figures[i] > 0 {
			off := model(size)/figures[i] - 1
			sum += off * off
		}
	}
	return math.Sqrt(sum / float64(len(sizes)))
}

// topExponent returns the exponent p with which a + b*size^p meets the figures of the three largest sizes, so that a
// constant part does not hide the growth. It is 0 if the figure does not grow, or slower than the logarithm.
func topExponent(sizes, figures []float64) float64 {
	n := len(sizes)
	if n < 3 {
		return 0
	}
	last, before := figures[n-1]-figures[n-2], figures[n-2]-figures[n-3]
	if last <= growthNoise*figures[n-1] {
		return 0
	}
	want := last / math.Max(before, growthNoise*figures[n-2])
	ratio := func(p float64) float64 { // grows with p
		power := func(i int) float64 { return math.Pow(sizes[i]/sizes[n-1], p) }
		return (power(n-1) - power(n-2)) / (power(n-2) - power(n-3))
	}
	low, high := 0.01, 6.0
	if ratio(low) >= want {
		return 0
	}
	for high-low > 0.001 {
		middle := (low + high) / 2
		if ratio(middle) < want {
			low = middle
		} else {
			high = middle
		}
	}
	return low
}
