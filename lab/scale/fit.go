package scale

import (
	"math"

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
	steady  = 1.25 // greatest over least count, up to which it counts as constant
	shaky   = 1.6  // the same for processor time, which other work on the machine moves,
	level   = 0.1  // and the exponent up to which that counts as constant
	bending = 0.15 // residual beyond which no form fits: the figure is not to be extrapolated
	tie     = 0.02 // residuals closer than this leave the slower form
	noise   = 0.02 // part of a figure below which its growth from one size to the next is not told from zero
)

var forms = []struct {
	form Form
	of   func(size float64) float64
}{
	{Logarithmic, math.Log},
	{SquareRoot, math.Sqrt},
	{Linear, func(size float64) float64 { return size }},
	{Quadratic, func(size float64) float64 { return size * size }},
}

// Fit is how one figure grows along an axis. The figure is about At + Per*f(size), with f by the form.
type Fit struct {
	Exponent float64 `json:"exponent"` // slope of the line through logarithms of size and figure
	Residual float64 `json:"residual"` // of that line: standard deviation of the logarithms
	Top      float64 `json:"top"`      // exponent of the growth between the three greatest sizes, whatever the constant part
	Doubles  bool    `json:"doubles"`  // the figure of the greatest size is twice that of the one before, at least
	Form     Form    `json:"form"`     // the one with the least error
	At       float64 `json:"at"`
	Per      float64 `json:"per"`
	Error    float64 `json:"error"` // of the form: root mean square of the relative deviations
	Bends    bool    `json:"bends"` // no form fits
}

// NewFit fits figures of at least three ascending sizes. counted tells that they are counts, not processor time.
func NewFit(sizes, figures []float64, counted bool) (f Fit) {
	f.Exponent, f.Residual = exponent(sizes, figures)
	f.Top = top(sizes, figures)
	f.Doubles = figures[len(figures)-1] >= 2*figures[len(figures)-2]
	least, greatest := figures[0], figures[0]
	for _, y := range figures {
		least, greatest = min(least, y), max(greatest, y)
	}
	mean := stat.Mean(figures, nil)
	constant := greatest <= steady*least
	if !counted {
		constant = greatest <= shaky*least || math.Abs(f.Exponent) <= level
	}
	if constant {
		f.Form, f.At, f.Error = Constant, mean, deviation(sizes, figures, func(float64) float64 { return mean })
		return f
	}
	f.Error = math.Inf(1)
	for _, one := range forms {
		at, per := weighted(sizes, figures, one.of)
		model := func(size float64) float64 { return at + per*one.of(size) }
		if off := deviation(sizes, figures, model); off < f.Error-tie {
			f.Form, f.At, f.Per, f.Error = one.form, at, per, off
		}
	}
	f.Bends = f.Error > bending
	return f
}

// Predict gives the figure at a size by the form. It is told only where the fit does not bend.
func (f Fit) Predict(size float64) (figure float64, told bool) {
	figure = f.At
	for _, one := range forms {
		if one.form == f.Form {
			figure += f.Per * one.of(size)
		}
	}
	return figure, !f.Bends
}

// exponent fits a power of the size to the figures.
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

// weighted fits at + per*f(size) by least squares of the relative deviations.
func weighted(sizes, figures []float64, of func(float64) float64) (at, per float64) {
	var xs, weights []float64
	for i, size := range sizes {
		xs = append(xs, of(size))
		weights = append(weights, 1/math.Max(figures[i]*figures[i], math.SmallestNonzeroFloat32))
	}
	return stat.LinearRegression(xs, figures, weights, false)
}

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

// top gives the exponent p with which at + per*size^p goes through the figures of the three greatest sizes: a constant part,
// however great, does not hide the growth. It is 0 where the figure does not grow, or not even with the logarithm.
func top(sizes, figures []float64) float64 {
	n := len(sizes)
	if n < 3 {
		return 0
	}
	last, before := figures[n-1]-figures[n-2], figures[n-2]-figures[n-3]
	if last <= noise*figures[n-1] {
		return 0
	}
	want := last / math.Max(before, noise*figures[n-2])
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
