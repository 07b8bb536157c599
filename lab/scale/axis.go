package scale

import (
	"fmt"
	"log"
	"math"
	"time"
)

// shortPoint is in seconds. What takes less is measured Options.Repeats times, and the least processor time of each
// kind is kept, since other work on the machine can only add to it.
const shortPoint = 10.0

// Axis is one size that is varied while the others stay.
type Axis struct {
	Name      string
	Unit      string
	Note      string // what a reader must know of it
	Base      Deployment
	Set       func(d *Deployment, size float64)
	Sizes     []float64 // ascending
	Target    float64   // the operators' size; 0 they name none
	Durations Durations
}

// Point is what was measured at one size.
type Point struct {
	Size       float64 `json:"size"`
	Figures    Figures `json:"figures,omitempty"`
	SkipReason string  `json:"not_run,omitempty"` // why not
	Seconds    float64 `json:"took_s"`            // of the machine's time
}

// AxisResult is the points of an axis and how each metric grows.
type AxisResult struct {
	Name   string         `json:"axis"`
	Unit   string         `json:"unit"`
	Note   string         `json:"note,omitempty"`
	Base   Deployment     `json:"held"`
	Target float64        `json:"target,omitempty"`
	Points []Point        `json:"points"`
	Fits   map[string]Fit `json:"fits"`
}

// Run measures all sizes of the axis. A size that would take longer than most, by the growth so far, is not run, nor
// is any after it; the point says why.
func (a Axis) Run(most time.Duration, options Options) (growth AxisResult, err error) {
	growth = AxisResult{Name: a.Name, Unit: a.Unit, Note: a.Note, Base: a.Base, Target: a.Target}
	for _, size := range a.Sizes {
		if why := growth.tooLong(size, most); why != "" {
			growth.Points = append(growth.Points, Point{Size: size, SkipReason: why})
			continue
		}
		point, err := a.measure(size, options)
		if err != nil {
			return growth, fmt.Errorf("%s %g: %w", a.Name, size, err)
		}
		log.Printf("axis=%q size=%g took_s=%.1f", a.Name, size, point.Seconds)
		growth.Points = append(growth.Points, point)
	}
	growth.fit()
	return growth, nil
}

// measure measures one size.
func (a Axis) measure(size float64, options Options) (Point, error) {
	deployment := a.Base
	a.Set(&deployment, size)
	start := time.Now()
	figures, err := Measure(deployment, a.Durations, options)
	if err != nil {
		return Point{}, err
	}
	seconds := time.Since(start).Seconds()
	if seconds < shortPoint {
		for range options.Repeats - 1 {
			other, err := Measure(deployment, a.Durations, options)
			if err != nil {
				return Point{}, err
			}
			figures.keepMin(other)
		}
	}
	return Point{Size: size, Figures: figures, Seconds: seconds}, nil
}

// tooLong returns why a size is not run: it would take longer than most, by the growth between the two sizes before
// it, which is taken as quadratic at most. "" means that it is run.
func (g *AxisResult) tooLong(size float64, most time.Duration) string {
	count := len(g.Points)
	if count == 0 {
		return ""
	}
	last := g.Points[count-1]
	if last.SkipReason != "" {
		return "the size before was not run"
	}
	power := 1.0
	if count > 1 {
		before := g.Points[count-2]
		power = math.Log(last.Seconds/before.Seconds) / math.Log(last.Size/before.Size)
		power = min(max(power, 0), 2)
	}
	seconds := last.Seconds * math.Pow(size/last.Size, power)
	if seconds <= most.Seconds() {
		return ""
	}
	return fmt.Sprintf("would take some %.0f s by the growth so far", seconds)
}

// fit fits each metric that was measured at three sizes or more.
func (g *AxisResult) fit() {
	g.Fits = map[string]Fit{}
	for _, metric := range Metrics() {
		var sizes, figures []float64
		for _, point := range g.Points {
			if figure, measured := point.Figures[metric.Name]; measured {
				sizes = append(sizes, point.Size)
				figures = append(figures, figure)
			}
		}
		if len(sizes) >= 3 {
			g.Fits[metric.Name] = NewFit(sizes, figures, metric.Counted)
		}
	}
}
