package scale

import (
	"fmt"
	"log"
	"math"
	"time"
)

// short are seconds: what takes less is measured Options.Repeats times, and the least processor time of each kind is kept,
// since what other work on the machine adds to it is never below zero.
const short = 10.0

// Axis is one size that is varied, the others held.
type Axis struct {
	Name    string
	Unit    string
	Note    string // what a reader must know of it
	Held    Deployment
	Set     func(d *Deployment, size float64)
	Sizes   []float64 // ascending
	Target  float64   // the operators' size; 0 they name none
	Lengths Lengths
}

// Point is what was measured at one size.
type Point struct {
	Size    float64 `json:"size"`
	Figures Figures `json:"figures,omitempty"`
	NotRun  string  `json:"not_run,omitempty"` // why not
	Took    float64 `json:"took_s"`            // of the machine's time
}

// Growth is an axis with its points and how each metric grows.
type Growth struct {
	Name   string         `json:"axis"`
	Unit   string         `json:"unit"`
	Note   string         `json:"note,omitempty"`
	Held   Deployment     `json:"held"`
	Target float64        `json:"target,omitempty"`
	Points []Point        `json:"points"`
	Fits   map[string]Fit `json:"fits"`
}

// Run measures all sizes of the axis. A size that would take longer than most, by the growth so far, is not run, nor is
// any after it; the point says so.
func (a Axis) Run(most time.Duration, options Options) (growth Growth, err error) {
	growth = Growth{Name: a.Name, Unit: a.Unit, Note: a.Note, Held: a.Held, Target: a.Target}
	for _, size := range a.Sizes {
		if why := growth.tooLong(size, most); why != "" {
			growth.Points = append(growth.Points, Point{Size: size, NotRun: why})
			continue
		}
		d := a.Held
		a.Set(&d, size)
		began := time.Now()
		figures, err := Measure(d, a.Lengths, options)
		took := time.Since(began).Seconds()
		for again := 1; err == nil && again < options.Repeats && took < short; again++ {
			var other Figures
			other, err = Measure(d, a.Lengths, options)
			figures.least(other)
		}
		if err != nil {
			return growth, fmt.Errorf("%s %g: %w", a.Name, size, err)
		}
		log.Printf("axis=%q size=%g took_s=%.1f", a.Name, size, took)
		growth.Points = append(growth.Points, Point{Size: size, Figures: figures, Took: took})
	}
	growth.fit()
	return growth, nil
}

// tooLong tells why a size is not run: it would take longer than most, by the last two points at most quadratic.
func (g *Growth) tooLong(size float64, most time.Duration) string {
	n := len(g.Points)
	if n == 0 {
		return ""
	}
	last, power := g.Points[n-1], 1.0
	if last.NotRun != "" {
		return "the size before was not run"
	}
	if n > 1 {
		before := g.Points[n-2]
		power = min(max(math.Log(last.Took/before.Took)/math.Log(last.Size/before.Size), 0), 2)
	}
	seconds := last.Took * math.Pow(size/last.Size, power)
	if seconds <= most.Seconds() {
		return ""
	}
	return fmt.Sprintf("would take some %.0f s by the growth so far", seconds)
}

func (g *Growth) fit() {
	g.Fits = map[string]Fit{}
	for _, metric := range Metrics() {
		var sizes, figures []float64
		for _, p := range g.Points {
			if figure, measured := p.Figures[metric.Name]; measured {
				sizes, figures = append(sizes, p.Size), append(figures, figure)
			}
		}
		if len(sizes) >= 3 {
			g.Fits[metric.Name] = NewFit(sizes, figures, metric.Counted)
		}
	}
}

// usual is the deployment that axes start from. Its customers are known at all gateways.
var usual = Deployment{Gateways: 16, Hosts: 64, HostGroups: 4, Plans: 4, Classes: 4, Customers: 64, RequestRate: 10}

// usualLengths are the windows of most measurements, in simulated time.
var usualLengths = Lengths{Settle: 3 * time.Second, Rest: 10 * time.Second, Load: 20 * time.Second}

func held(change func(d *Deployment)) Deployment {
	d := usual
	change(&d)
	return d
}

// Axes are all axes at the sizes of the full measurement; targets are the operators' sizes.
func Axes() []Axis {
	brief := Lengths{Settle: 3 * time.Second, Rest: 5 * time.Second, Load: 5 * time.Second}
	return []Axis{
		{Name: "gateways", Held: held(func(d *Deployment) { d.Customers, d.RequestRate = 16, 2 }), Target: 6000,
			Set:   func(d *Deployment, size float64) { d.Gateways = int(size) },
			Sizes: []float64{24, 96, 375, 1500, 6000}, Lengths: brief,
			Note: "requests a gateway held, hosts held: beyond some hundred gateways the limit of dispatches rejects a part"},
		{Name: "hosts", Held: held(func(d *Deployment) { d.Gateways, d.HostChanges = 2, 2 }), Target: 87000,
			Set:   func(d *Deployment, size float64) { d.Hosts = int(size) },
			Sizes: []float64{340, 1360, 5440, 21750, 87000}, Lengths: brief, Note: "one host's state changes twice a second"},
		{Name: "hosts before a fleet of 6000", Held: held(func(d *Deployment) { d.Gateways, d.Members, d.HostChanges = 2, 6000, 2 }),
			Target: 87000, Set: func(d *Deployment, size float64) { d.Hosts = int(size) },
			Sizes: []float64{340, 1360, 5440, 21750, 87000}, Lengths: brief,
			Note: "as the axis of hosts, but each gateway holds its subset among 6,000, of which 2 run"},
		{Name: "services", Held: held(func(d *Deployment) { d.Hosts = 2048 }), Target: 2900,
			Set:   func(d *Deployment, size float64) { d.HostGroups = int(size) },
			Sizes: []float64{4, 16, 64, 256, 1024}, Lengths: brief,
			Note: "not modelled: the program knows no service; hosts are listed in so many cells instead, which nothing reads"},
		{Name: "quota plans", Held: held(func(d *Deployment) { d.Gateways = 2 }), Target: 270000,
			Set:   func(d *Deployment, size float64) { d.Plans = int(size) },
			Sizes: []float64{250, 1000, 4000, 8000, 54000, 270000}, Lengths: brief,
			Note: "54,000 is the size asked for; the operators name 270,000 tenants"},
		{Name: "request classes", Held: held(func(d *Deployment) { d.Gateways = 2 }), Target: 54000,
			Set:   func(d *Deployment, size float64) { d.Classes = int(size) },
			Sizes: []float64{16, 64, 256, 1024, 4096, 54000}, Lengths: brief, Note: "stand for routes"},
		{Name: "customers", Held: usual, Target: 270000,
			Set:   func(d *Deployment, size float64) { d.Customers = int(size) },
			Sizes: []float64{64, 256, 1024, 4096, 16384}, Lengths: usualLengths,
			Note: "each is known at all 16 gateways, and each gateway admitted one request of it"},
		{Name: "requests a second", Unit: "1/s a gateway", Held: held(func(d *Deployment) { d.Gateways = 4 }), Target: 283,
			Set:   func(d *Deployment, size float64) { d.RequestRate = size },
			Sizes: []float64{4, 16, 64, 256, 1024}, Lengths: usualLengths, Note: "the target is the even part of 1.7 million"},
		{Name: "membership changes a second", Unit: "1/s", Held: held(func(d *Deployment) { d.Hosts, d.RequestRate = 1024, 2 }),
			Target: 0.17, Set: func(d *Deployment, size float64) { d.HostChanges = size },
			Sizes: []float64{0.5, 2, 8, 32, 128}, Lengths: usualLengths,
			Note: "one host's state each; the target is 14,300 restarts and failures a day"},
		{Name: "configuration changes a second", Unit: "1/s", Held: held(func(d *Deployment) { d.RequestRate = 2 }), Target: 0.23,
			Set:   func(d *Deployment, size float64) { d.ConfigurationChanges = size },
			Sizes: []float64{0.25, 1, 4, 16}, Lengths: usualLengths, Note: "each restarts all gateways, as the program needs it"},
		{Name: "live configuration changes a second", Unit: "1/s", Held: held(func(d *Deployment) { d.RequestRate, d.Live = 2, true }),
			Target: 0.23, Set: func(d *Deployment, size float64) { d.ConfigurationChanges = size },
			Sizes: []float64{0.25, 1, 4, 16, 64}, Lengths: usualLengths,
			Note: "one quota plan each, as a delta of the publishers; their connections and heartbeats left out"},
		{Name: "live quota plans", Held: held(func(d *Deployment) { d.Gateways, d.Live, d.ConfigurationChanges = 2, true, 10 }), Target: 54000,
			Set:   func(d *Deployment, size float64) { d.Plans = int(size) },
			Sizes: []float64{250, 1000, 4000, 16000, 54000}, Lengths: brief, Note: "ten live changes a second"},
		{Name: "restarts a second", Unit: "1/s in the fleet", Held: held(func(d *Deployment) { d.Gateways, d.Customers, d.RequestRate = 128, 256, 2 }),
			Target: 0.17, Set: func(d *Deployment, size float64) { d.Restarts = size },
			Sizes: []float64{0.25, 1, 4, 16}, Lengths: usualLengths,
			Note: "of one of 128 gateways each; figures are means of all gateways"},
		{Name: "gateways restarted at once", Held: held(func(d *Deployment) { d.Gateways, d.Customers, d.RequestRate = 400, 64, 2 }),
			Target: 200, Set: func(d *Deployment, size float64) { d.RestartsAtOnce = int(size) },
			Sizes: []float64{2, 10, 40, 200}, Lengths: brief,
			Note: "of 400; 40 are a rack, 200 a zone; under load are 5 s, of which 4 after the restart, means of all gateways"},
	}
}
