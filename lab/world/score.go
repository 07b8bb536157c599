package world

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"

	"ravensill/counterfactual"
)

// Score counts how estimates stand against the truth, over plays.
type Score struct {
	Asked, Given  int // answers; those with a mean
	Means, Off    int // means given; those more than 10% from the truth
	Tails, TailsX int // p99 given; those more than 20% off
	Held, Figures int // figures given whose interval holds the truth; all given
	Pairs, Right  int // pairs of rules that differ by over 10%; put in the right order
	Refused       map[string]int
	Estimators    map[string]int
	Worst         []string // means and p99 that are too far off
	Missed        []string // figures whose interval does not hold the truth
	Width         float64  // sum of the means' half widths, relative
	Err           float64  // sum of the means' errors, relative
}

func (s *Score) init() {
	if s.Refused == nil {
		s.Refused, s.Estimators = map[string]int{}, map[string]int{}
	}
}

// Add merges another score.
func (s *Score) Add(o *Score) {
	s.init()
	s.Asked, s.Given, s.Means, s.Off = s.Asked+o.Asked, s.Given+o.Given, s.Means+o.Means, s.Off+o.Off
	s.Tails, s.TailsX, s.Held, s.Figures = s.Tails+o.Tails, s.TailsX+o.TailsX, s.Held+o.Held, s.Figures+o.Figures
	s.Pairs, s.Right, s.Width, s.Err = s.Pairs+o.Pairs, s.Right+o.Right, s.Width+o.Width, s.Err+o.Err
	for k, n := range o.Refused {
		s.Refused[k] += n
	}
	for k, n := range o.Estimators {
		s.Estimators[k] += n
	}
	s.Worst, s.Missed = append(s.Worst, o.Worst...), append(s.Missed, o.Missed...)
}

func part(n, of int) float64 { return float64(n) / float64(max(of, 1)) }

// String prints it in a line, or a few.
func (s *Score) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "asked %d, means %d (%.1f%% off by over 10%%; error %.1f%%, half width %.1f%%), p99 %d (%.1f%% "+
		"off by over 20%%), intervals hold %.1f%% of %d, pairs right %d of %d; by", s.Asked, s.Means,
		100*part(s.Off, s.Means), 100*s.Err/float64(max(s.Means, 1)), 100*s.Width/float64(max(s.Means, 1)), s.Tails,
		100*part(s.TailsX, s.Tails), 100*part(s.Held, s.Figures), s.Figures, s.Right, s.Pairs)
	for _, k := range slices.Sorted(maps.Keys(s.Estimators)) {
		fmt.Fprintf(&b, " %s %d", k, s.Estimators[k])
	}
	b.WriteString("; refused")
	for _, k := range slices.Sorted(maps.Keys(s.Refused)) {
		fmt.Fprintf(&b, " %q %d", k, s.Refused[k])
	}
	return b.String()
}

// Take holds one answer against its truth.
func (s *Score) Take(a *counterfactual.Answer, t Truth) {
	s.init()
	s.Asked++
	if a.Refused != "" {
		s.Refused[reason(a.Refused)]++
		return
	}
	s.Given++
	s.Estimators[string(a.Estimator)]++
	text := func(name string, f *counterfactual.Figure, truth float64) string {
		return fmt.Sprintf("%s %s frontend %s host %s %s: %.4g (%.4g to %.4g), truth %.4g", a.Rule, a.Estimator,
			a.Frontend, a.Host, name, f.Value, f.Low, f.High, truth)
	}
	hold := func(name string, f *counterfactual.Figure, truth float64) bool {
		if !f.Given() {
			s.Refused[name+" "+reason(f.Refused)]++
			return false
		}
		s.Figures++
		if f.Low <= truth && truth <= f.High {
			s.Held++
		} else {
			s.Missed = append(s.Missed, text(name, f, truth))
		}
		return true
	}
	far := func(name string, f *counterfactual.Figure, truth, most float64) bool {
		if math.Abs(f.Value-truth) <= most*truth { // never for a truth that is none
			return false
		}
		s.Worst = append(s.Worst, text(name, f, truth))
		return true
	}
	if hold("mean", &a.Mean, t.Mean) {
		s.Means++
		s.Width += (a.Mean.High - a.Mean.Value) / a.Mean.Value
		s.Err += math.Abs(a.Mean.Value-t.Mean) / t.Mean
		if far("mean", &a.Mean, t.Mean, 0.1) {
			s.Off++
		}
	}
	hold("p50", &a.P50, t.P50)
	hold("within", &a.Within, t.Within)
	if hold("p99", &a.P99, t.P99) {
		s.Tails++
		if far("p99", &a.P99, t.P99, 0.2) {
			s.TailsX++
		}
	}
}

// Order counts the pairs of rules with a mean that differ by over 10% in truth, and those put in the right order.
// Single hosts are compared with each other: their dispatches are others than the rules'.
func (s *Score) Order(all []counterfactual.Answer, truths []Truth) {
	for i := range all {
		for j := range i {
			a, b := &all[i], &all[j]
			if d := truths[i].Mean - truths[j].Mean; a.Mean.Given() && b.Mean.Given() && (a.Host == "") == (b.Host == "") &&
				math.Abs(d) > 0.1*min(truths[i].Mean, truths[j].Mean) {
				s.Pairs++
				if (a.Mean.Value > b.Mean.Value) == (d > 0) {
					s.Right++
				}
			}
		}
	}
}

func reason(text string) string {
	text, _, _ = strings.Cut(text, ":")
	return text
}

// Replaced asks what each rule would give were it in force for a part of all dispatches, and holds the answers against
// a play of the same reqs in which it is.
func Replaced(cfg Config, part float64) *Score {
	s := &Score{}
	w := Play(cfg)
	for _, r := range []counterfactual.Rule{counterfactual.Next, counterfactual.Chance, counterfactual.Zone,
		counterfactual.Least} {
		cfg.Rule, cfg.Part = r, part
		truth := Play(cfg)
		for f := range cfg.Targets {
			a := w.Ledger.Replaced(f, r, part, w.From, w.To)
			s.Take(&a, truth.Done(f))
		}
	}
	return s
}

// Hold asks all questions with one req moved, and holds the answers against the truth.
func (w *World) Hold() *Score {
	s := &Score{}
	s.init()
	for f := range w.cfg.Targets {
		panel := w.Ledger.Panel(f, w.From, w.To)
		truths := make([]Truth, len(panel))
		for i := range panel {
			truths[i] = w.Truth(counterfactual.Rule(i), f, 0)
			s.Take(&panel[i], truths[i])
		}
		s.Order(panel, truths)
		panel, truths = nil, nil
		for _, h := range w.hosts {
			panel = append(panel, w.Ledger.One(f, h.ID, w.From, w.To))
			truths = append(truths, w.Truth(counterfactual.Single, f, h.ID))
			s.Take(&panel[len(panel)-1], truths[len(truths)-1])
		}
		s.Order(panel, truths)
	}
	return s
}
