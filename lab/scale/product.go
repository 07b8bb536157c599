package scale

import (
	"math"
	"time"

	"gonum.org/v1/gonum/mat"
)

// Product varies two sizes of a deployment together.
type Product struct {
	Name      string
	Note      string
	Base      Deployment
	First     Axis // its Base and Durations are ignored
	Second    Axis // only Name, Sizes and Set are used
	Durations Durations
}

// ProductResult holds the rows of a product and a joint fit of each metric over all of them.
type ProductResult struct {
	Name        string              `json:"product"`
	Note        string              `json:"note,omitempty"`
	First       string              `json:"first"`
	Second      string              `json:"second"`
	SecondSizes []float64           `json:"second_sizes"`
	Rows        []AxisResult        `json:"rows"`  // one for each size of the second axis
	Joint       map[string]JointFit `json:"joint"` // by metric name
}

// JointFit describes how a figure grows with two sizes: it is about Factor * first^FirstExponent *
// second^SecondExponent.
type JointFit struct {
	Factor         float64 `json:"factor"`
	FirstExponent  float64 `json:"first_exponent"`
	SecondExponent float64 `json:"second_exponent"`
	Residual       float64 `json:"residual"` // standard deviation of the logarithms from the fit
}

// Run measures all pairs of sizes. In each row it skips first sizes that are expected to take longer than limit, as
// Axis.Run does.
func (p Product) Run(limit time.Duration, options Options) (ProductResult, error) {
	result := ProductResult{
		Name:        p.Name,
		Note:        p.Note,
		First:       p.First.Name,
		Second:      p.Second.Name,
		SecondSizes: p.Second.Sizes,
	}
	for _, size := range p.Second.Sizes {
		rowAxis := p.First
		rowAxis.Base, rowAxis.Durations = p.Base, p.Durations
		p.Second.Set(&rowAxis.Base, size)
		row, err := rowAxis.Run(limit, options)
		if err != nil {
			return result, err
		}
		result.Rows = append(result.Rows, row)
	}
	result.fitMetrics()
	return result, nil
}

// fitMetrics fits each metric over all points with a positive figure.
func (r *ProductResult) fitMetrics() {
	r.Joint = map[string]JointFit{}
	for _, metric := range Metrics() {
		var terms, logFigures []float64
		for i, row := range r.Rows {
			for _, point := range row.Points {
				if figure := point.Figures[metric.Name]; figure > 0 {
					terms = append(terms, 1, math.Log(point.Size), math.Log(r.SecondSizes[i]))
					logFigures = append(logFigures, math.Log(figure))
				}
			}
		}
		if joint, ok := fitPlane(terms, logFigures); ok {
			r.Joint[metric.Name] = joint
		}
	}
}

// fitPlane fits a plane through the logarithms of figures by least squares (QR). terms holds three values for each
// figure: 1 and the logarithms of both sizes. ok is false if there are too few figures or the fit is singular.
func fitPlane(terms, logFigures []float64) (joint JointFit, ok bool) {
	const unknowns = 3
	if len(logFigures) <= unknowns {
		return joint, false
	}
	design := mat.NewDense(len(logFigures), unknowns, terms)
	observed := mat.NewVecDense(len(logFigures), logFigures)
	var coefficients, residuals mat.VecDense
	if err := coefficients.SolveVec(design, observed); err != nil {
		return joint, false
	}
	residuals.MulVec(design, &coefficients)
	residuals.SubVec(observed, &residuals)
	return JointFit{
		Factor:         math.Exp(coefficients.AtVec(0)),
		FirstExponent:  coefficients.AtVec(1),
		SecondExponent: coefficients.AtVec(2),
		Residual:       mat.Norm(&residuals, 2) / math.Sqrt(float64(len(logFigures))),
	}, true
}

// Products returns the pairs of sizes whose effects multiply, at the sizes of the full measurement.
func Products() []Product {
	fewGateways := withChange(func(d *Deployment) { d.Gateways = 2 })
	gateways := Axis{Name: "gateways", Set: setGateways}
	customers := Axis{Name: "customers", Set: setCustomers}
	hosts := Axis{Name: "hosts", Set: setHosts}
	rate := Axis{Name: "requests a second", Unit: "1/s a gateway", Set: setRequestRate}
	classes := Axis{Name: "request classes", Set: setClasses}
	return []Product{
		{
			Name: "customers by gateways",
			Note: "live heap: a record of each customer at each gateway, with an entry for each gateway with " +
				"which it exchanges gossip",
			Base:      withChange(func(d *Deployment) { d.RequestRate = 2 }),
			First:     customers.withSizes(64, 256, 1024, 2048),
			Second:    gateways.withSizes(16, 64, 256),
			Durations: shortDurations,
		},
		{
			Name:      "hosts by requests a second",
			Note:      "each request iterates over all hosts",
			Base:      fewGateways,
			First:     rate.withSizes(16, 64, 256),
			Second:    hosts.withSizes(64, 512, 4096, 16384),
			Durations: shortDurations,
		},
		{
			Name:      "hosts by request classes",
			Note:      "each host has a record for each request class",
			Base:      fewGateways,
			First:     classes.withSizes(4, 64, 1024),
			Second:    hosts.withSizes(64, 512, 4096),
			Durations: shortDurations,
		},
	}
}

// withSizes returns a copy of the axis with other sizes.
func (a Axis) withSizes(sizes ...float64) Axis {
	a.Sizes = sizes
	return a
}
