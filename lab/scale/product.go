package scale

import (
	"math"
	"time"

	"gonum.org/v1/gonum/mat"
)

// Product is two sizes that are varied together.
type Product struct {
	Name          string
	Note          string
	Held          Deployment
	First, Second Axis // of which the sizes and Set count
	Lengths       Lengths
}

// Grid is a product with its rows, one for each size of the second, and how each metric grows with both.
type Grid struct {
	Name        string           `json:"product"`
	Note        string           `json:"note,omitempty"`
	First       string           `json:"first"`
	Second      string           `json:"second"`
	SecondSizes []float64        `json:"second_sizes"`
	Rows        []Growth         `json:"rows"`
	Joint       map[string]Joint `json:"joint"`
}

// Joint is how a figure grows with two sizes: as Factor times the first to FirstExponent, times the second to
// SecondExponent.
type Joint struct {
	Factor         float64 `json:"factor"`
	FirstExponent  float64 `json:"first_exponent"`
	SecondExponent float64 `json:"second_exponent"`
	Residual       float64 `json:"residual"` // standard deviation of the logarithms
}

// Run measures the whole grid.
func (p Product) Run(most time.Duration, options Options) (Grid, error) {
	grid := Grid{Name: p.Name, Note: p.Note, First: p.First.Name, Second: p.Second.Name, SecondSizes: p.Second.Sizes}
	for _, size := range p.Second.Sizes {
		row := p.First
		row.Held, row.Lengths = p.Held, p.Lengths
		p.Second.Set(&row.Held, size)
		growth, err := row.Run(most, options)
		if err != nil {
			return grid, err
		}
		grid.Rows = append(grid.Rows, growth)
	}
	grid.fit()
	return grid, nil
}

// fit finds the plane through the logarithms by least squares (QR).
func (g *Grid) fit() {
	g.Joint = map[string]Joint{}
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

func plane(terms, logs []float64) (joint Joint, ok bool) {
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
	return Joint{Factor: math.Exp(solved.AtVec(0)), FirstExponent: solved.AtVec(1), SecondExponent: solved.AtVec(2),
		Residual: mat.Norm(&off, 2) / math.Sqrt(float64(len(logs)))}, true
}

// Products are the sizes that multiply.
func Products() []Product {
	brief := Lengths{Settle: 3 * time.Second, Rest: 5 * time.Second, Load: 5 * time.Second}
	gateways := Axis{Name: "gateways", Set: func(d *Deployment, size float64) { d.Gateways = int(size) }}
	customers := Axis{Name: "customers", Set: func(d *Deployment, size float64) { d.Customers = int(size) }}
	hosts := Axis{Name: "hosts", Set: func(d *Deployment, size float64) { d.Hosts = int(size) }}
	rate := Axis{Name: "requests a second", Unit: "1/s a gateway", Set: func(d *Deployment, size float64) { d.RequestRate = size }}
	classes := Axis{Name: "request classes", Set: func(d *Deployment, size float64) { d.Classes = int(size) }}
	return []Product{
		{Name: "customers by gateways", Held: held(func(d *Deployment) { d.RequestRate = 2 }), Lengths: brief,
			First: customers.at(64, 256, 1024, 2048), Second: gateways.at(16, 64, 256),
			Note: "live heap: a record of each customer at each gateway, with an entry for each gateway that it hears or tells"},
		{Name: "hosts by requests a second", Held: held(func(d *Deployment) { d.Gateways = 2 }), Lengths: brief,
			First: rate.at(16, 64, 256), Second: hosts.at(64, 512, 4096, 16384), Note: "each request walks all hosts"},
		{Name: "hosts by request classes", Held: held(func(d *Deployment) { d.Gateways = 2 }), Lengths: brief,
			First: classes.at(4, 64, 1024), Second: hosts.at(64, 512, 4096), Note: "each host has a record for each request class"},
	}
}

func (a Axis) at(sizes ...float64) Axis {
	a.Sizes = sizes
	return a
}
