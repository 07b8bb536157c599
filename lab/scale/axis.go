package scale

import (
	"fmt"
	"log"
	"math"
	"time"
)

// repeatBelowSeconds is the duration in seconds of wall time below which a measurement is repeated, to Options.Repeats
// in total. The least processor time of each kind of work is kept, since other work on the machine can only add to it.
const repeatBelowSeconds = 10.0

// Axis varies one size of a deployment while the others stay fixed.
type Axis struct {
	Name      string                            // also the key by which tests and the flag -axes select the axis
	Unit      string                            // of the sizes; empty for a plain number
	Note      string                            // what a reader of the report must know about the axis
	Base      Deployment                        // the fixed sizes
	Set       func(d *Deployment, size float64) // sets the varied size
	Sizes     []float64                         // ascending
	Target    float64                           // the size that the operators expect; 0 if they name none
	Durations Durations
}

// Point holds the figures measured at one size, or the reason why the size was skipped.
type Point struct {
	Size       float64 `json:"size"`
	Figures    Figures `json:"figures,omitempty"`
	SkipReason string  `json:"not_run,omitempty"` // empty if the size was measured
	Seconds    float64 `json:"took_s"`            // wall time of the first measurement
}

// AxisResult holds the points of an axis and a fit of each metric over them.
type AxisResult struct {
	Name   string         `json:"axis"`
	Unit   string         `json:"unit"`
	Note   string         `json:"note,omitempty"`
	Base   Deployment     `json:"held"`
	Target float64        `json:"target,omitempty"`
	Points []Point        `json:"points"`
	Fits   map[string]Fit `json:"fits"` // by metric name
}

// Run measures the sizes of the axis in ascending order. It skips a size that is expected to take longer than limit,
// and all sizes after it; their points hold the reason.
func (a Axis) Run(limit time.Duration, options Options) (result AxisResult, err error) {
	result = AxisResult{Name: a.Name, Unit: a.Unit, Note: a.Note, Base: a.Base, Target: a.Target}
	for _, size := range a.Sizes {
		if reason := result.skipReason(size, limit); reason != "" {
			result.Points = append(result.Points, Point{Size: size, SkipReason: reason})
			continue
		}
		point, err := a.measure(size, options)
		if err != nil {
			return result, fmt.Errorf("measuring axis %s at size %g: %w", a.Name, size, err)
		}
		log.Printf("axis=%q size=%g took_s=%.1f", a.Name, size, point.Seconds)
		result.Points = append(result.Points, point)
	}
	result.fitMetrics()
	return result, nil
}

// measure measures one size, repeatedly if it is short.
func (a Axis) measure(size float64, options Options) (Point, error) {
	deployment := a.Base
	a.Set(&deployment, size)
	start := time.Now()
	figures, err := Measure(deployment, a.Durations, options)
	if err != nil {
		return Point{}, err
	}
	seconds := time.Since(start).Seconds()
	if seconds < repeatBelowSeconds {
		for range options.Repeats - 1 {
			repeated, err := Measure(deployment, a.Durations, options)
			if err != nil {
				return Point{}, err
			}
			figures.keepMin(repeated)
		}
	}
	return Point{Size: size, Figures: figures, Seconds: seconds}, nil
}

// skipReason returns why a size is skipped, or "" if it is to be measured. The expected time is extrapolated from the
// last two points as a power of the size, with an exponent between 0 and 2, or from a single point as linear.
func (r *AxisResult) skipReason(size float64, limit time.Duration) string {
	count := len(r.Points)
	if count == 0 {
		return ""
	}
	last := r.Points[count-1]
	if last.SkipReason != "" {
		return "the previous size was not run"
	}
	power := 1.0
	if count > 1 {
		previous := r.Points[count-2]
		power = math.Log(last.Seconds/previous.Seconds) / math.Log(last.Size/previous.Size)
		power = min(max(power, 0), 2)
	}
	seconds := last.Seconds * math.Pow(size/last.Size, power)
	if seconds <= limit.Seconds() {
		return ""
	}
	return fmt.Sprintf("expected to take about %.0f s, extrapolated from the sizes before", seconds)
}

// fitMetrics fits each metric that was measured at three or more sizes.
func (r *AxisResult) fitMetrics() {
	r.Fits = map[string]Fit{}
	for _, metric := range Metrics() {
		var sizes, figures []float64
		for _, point := range r.Points {
			if figure, measured := point.Figures[metric.Name]; measured {
				sizes = append(sizes, point.Size)
				figures = append(figures, figure)
			}
		}
		if len(sizes) >= 3 {
			r.Fits[metric.Name] = NewFit(sizes, figures, metric.Counted)
		}
	}
}
