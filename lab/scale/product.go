package scale

import (
	"math"
	"time"

	"gonum.org/v1/gonum/mat"
)

// Product is two sizes that are varied together.
type Product struct {
	Name      string
	Note      string
	Base      Deployment
	First     Axis // of which the sizes and Set count
	Second    Axis // of which the sizes and Set count
	Durations Durations
}

// ProductResult is a product with its rows, one for each size of the second, and how each metric grows with both.
type ProductResult struct {
	Name        string              `json:"product"`
	Note        string              `json:"note,omitempty"`
	First       string              `json:"first"`
	Second      string              `json:"second"`
	SecondSizes []float64           `json:"second_sizes"`
	Rows        []AxisResult        `json:"rows"`
	Joint       map[string]JointFit `json:"joint"`
}

// JointFit is how a figure grows with two sizes: as Factor times the first to FirstExponent, times the second to
// SecondExponent.
type JointFit struct {
	Factor         float64 `json:"factor"`
	FirstExponent  float64 `json:"first_exponent"`
	SecondExponent float64 `json:"second_exponent"`
	Residual       float64 `json:"residual"` // standard deviation of the logarithms
}

// Run measures all pairs of sizes.
func (p Product) Run(most time.Duration, options Options) (ProductResult, error) {
	grid := ProductResult{Name: p.Name, Note: p.Note, First: p.First.Name, Second: p.Second.Name, SecondSizes: p.Second.Sizes}
	for _, size := range p.Second.Sizes {
		row := p.First
		row.Base, row.Durations = p.Base, p.Durations
		p.Second.Set(&row.Base, size)
		growth, err := row.Run(most, options)
		if err != nil {
			return grid, err
		}
		grid.Rows = append(grid.Rows, growth)
	}
	grid.fit()
	return grid, nil
}

// fit fits a plane through the logarithms by least squares (QR).
func (g *ProductResult) fit() {
	g.Joint = map[string]JointFit{}
	for _, metric := range Metrics() {
		var terms, logs []float64
		for i, row := range g.Rows {
			for _, point := range row.Points {
				if figure := point.Figures[metric.Name]; figure > 0 {
					terms = append(terms, 1, math.Log(point.Size), math.Log(g.SecondSizes[i]))
					logs = append(logs, math.Log(figure))
				}
			}
		}
		if joint, ok := plane(terms, logs); ok {
			g.Joint[metric.Name] = joint
		}
	}
}

// plane returns the joint growth; ok is false if there are too few figures.
func plane(terms, logs []float64) (joint JointFit, ok bool) {
	const unknowns = 3
	if len(logs) <= unknowns {
		return joint, false
	}
	design := mat.NewDense(len(logs), unknowns, terms)
	observed := mat.NewVecDense(len(logs), logs)
	var solved, off mat.VecDense
	if err := solved.SolveVec(design, observed); err != nil {
		return joint, false
	}
	off.MulVec(design, &solved)
	off.SubVec(observed, &off)
	return JointFit{Factor: math.Exp(solved.AtVec(0)), FirstExponent: solved.AtVec(1), SecondExponent: solved.AtVec(2),
		Residual: mat.Norm(&off, 2) / math.Sqrt(float64(len(logs)))}, true
}

// Products returns the sizes whose effects multiply.
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
			First:     customers.at(64, 256, 1024, 2048),
			Second:    gateways.at(16, 64, 256),
			Durations: shortLengths,
		},
		{
			Name:      "hosts by requests a second",
			Note:      "each request walks all hosts",
			Base:      fewGateways,
			First:     rate.at(16, 64, 256),
			Second:    hosts.at(64, 512, 4096, 16384),
			Durations: shortLengths,
		},
		{
			Name:      "hosts by request classes",
			Note:      "each host has a record for each request class",
			Base:      fewGateways,
			First:     classes.at(4, 64, 1024),
			Second:    hosts.at(64, 512, 4096),
			Durations: shortLengths,
		},
	}
}

// at returns the axis with other sizes.
func (a Axis) at(sizes ...float64) Axis {
	a.Sizes = sizes
	return a
}
