package simenv

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"

	"ravensill/counterfactual"
)

// Score counts how estimates compare with the ground truth, over runs.
type Score struct {
	Answers      int            // all answers
	Answered     int            // answers that were not refused as a whole
	Means        int            // means given
	MeansOff     int            // means more than 10% off
	P99s         int            // p99 given
	P99sOff      int            // p99 more than 20% off
	Figures      int            // figures given
	Covered      int            // figures whose interval covers the truth
	RulePairs    int            // pairs of rules whose true means differ by more than 10%
	PairsInOrder int            // pairs that the estimates put in the right order
	MeanWidth    float64        // sum of the means' half widths, relative
	MeanError    float64        // sum of the means' errors, relative
	Refused      map[string]int // refusals by reason
	Estimators   map[string]int // answers by estimator
	OffFigures   []string       // means and p99 that are too far off
	Uncovered    []string       // figures whose interval does not cover the truth
}

// init makes the maps.
func (s *Score) init() {
	if s.Refused == nil {
		s.Refused = map[string]int{}
		s.Estimators = map[string]int{}
	}
}

// Add adds another score.
func (s *Score) Add(o *Score) {
	s.init()
	s.Answers += o.Answers
	s.Answered += o.Answered
	s.Means += o.Means
	s.MeansOff += o.MeansOff
	s.P99s += o.P99s
	s.P99sOff += o.P99sOff
	s.Figures += o.Figures
	s.Covered += o.Covered
	s.RulePairs += o.RulePairs
	s.PairsInOrder += o.PairsInOrder
	s.MeanWidth += o.MeanWidth
	s.MeanError += o.MeanError
	for k, n := range o.Refused {
		s.Refused[k] += n
	}
	for k, n := range o.Estimators {
		s.Estimators[k] += n
	}
	s.OffFigures = append(s.OffFigures, o.OffFigures...)
	s.Uncovered = append(s.Uncovered, o.Uncovered...)
}

// fraction returns n of so many.
func fraction(n, of int) float64 { return float64(n) / float64(max(of, 1)) }

// String returns the score in one line.
func (s *Score) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "asked %d, means %d (%.1f%% off by over 10%%; error %.1f%%, half width %.1f%%), p99 %d (%.1f%% "+
		"off by over 20%%), intervals hold %.1f%% of %d, pairs right %d of %d; by", s.Answers, s.Means,
		100*fraction(s.MeansOff, s.Means), 100*s.MeanError/float64(max(s.Means, 1)), 100*s.MeanWidth/float64(max(s.Means, 1)), s.P99s,
		100*fraction(s.P99sOff, s.P99s), 100*fraction(s.Covered, s.Figures), s.Figures, s.PairsInOrder, s.RulePairs)
	for _, k := range slices.Sorted(maps.Keys(s.Estimators)) {
		fmt.Fprintf(&b, " %s %d", k, s.Estimators[k])
	}
	b.WriteString("; refused")
	for _, k := range slices.Sorted(maps.Keys(s.Refused)) {
		fmt.Fprintf(&b, " %q %d", k, s.Refused[k])
	}
	return b.String()
}

// Compare compares one answer with its ground truth.
func (s *Score) Compare(a *counterfactual.Answer, t GroundTruth) {
	s.init()
	s.Answers++
	if a.Refused != "" {
		s.Refused[refusalReason(a.Refused)]++
		return
	}
	s.Answered++
	s.Estimators[string(a.Estimator)]++
	text := func(name string, f *counterfactual.Figure, truth float64) string {
		return fmt.Sprintf("%s %s frontend %s host %s %s: %.4g (%.4g to %.4g), truth %.4g", a.Rule, a.Estimator,
			a.Class, a.Host, name, f.Value, f.Low, f.High, truth)
	}
	hold := func(name string, f *counterfactual.Figure, truth float64) bool {
		if !f.Given() {
			s.Refused[name+" "+refusalReason(f.Refused)]++
			return false
		}
		s.Figures++
		if f.Low <= truth && truth <= f.High {
			s.Covered++
		} else {
			s.Uncovered = append(s.Uncovered, text(name, f, truth))
		}
		return true
	}
	far := func(name string, f *counterfactual.Figure, truth, most float64) bool {
		if math.Abs(f.Value-truth) <= most*truth { // never for a truth that is none
			return false
		}
		s.OffFigures = append(s.OffFigures, text(name, f, truth))
		return true
	}
	if hold("mean", &a.Mean, t.Mean) {
		s.Means++
		s.MeanWidth += (a.Mean.High - a.Mean.Value) / a.Mean.Value
		s.MeanError += math.Abs(a.Mean.Value-t.Mean) / t.Mean
		if far("mean", &a.Mean, t.Mean, 0.1) {
			s.MeansOff++
		}
	}
	hold("p50", &a.P50, t.P50)
	hold("within", &a.Within, t.Within)
	if hold("p99", &a.P99, t.P99) {
		s.P99s++
		if far("p99", &a.P99, t.P99, 0.2) {
			s.P99sOff++
		}
	}
}

// CompareOrder counts the pairs of rules with a mean whose true means differ by more than 10%, and those that the estimates put
// in the right order. Single hosts are compared with each other only: their attempts are others than the rules'.
func (s *Score) CompareOrder(all []counterfactual.Answer, truths []GroundTruth) {
	for i := range all {
		for j := range i {
			a, b := &all[i], &all[j]
			if !a.Mean.Given() || !b.Mean.Given() || (a.Host == "") != (b.Host == "") {
				continue
			}
			difference := truths[i].Mean - truths[j].Mean
			if math.Abs(difference) > 0.1*min(truths[i].Mean, truths[j].Mean) {
				s.RulePairs++
				if (a.Mean.Value > b.Mean.Value) == (difference > 0) {
					s.PairsInOrder++
				}
			}
		}
	}
}

// refusalReason returns the reason of a refusal without its details.
func refusalReason(text string) string {
	text, _, _ = strings.Cut(text, ":")
	return text
}

// EvaluateReplaced asks what each rule would give if it were in force for a share of all attempts, and compares the answers with
// a run of the same requests in which it is.
func EvaluateReplaced(config Config, share float64) *Score {
	s := &Score{}
	w := Run(config)
	for _, r := range []counterfactual.Rule{counterfactual.NextInRank, counterfactual.Random, counterfactual.OtherZone,
		counterfactual.LeastLoaded} {
		config.Rule, config.RuleShare = r, share
		truth := Run(config)
		for f := range config.Objectives {
			a := w.Ledger.Replaced(f, r, share, w.From, w.To)
			s.Compare(&a, truth.InForce(f))
		}
	}
	return s
}

// EvaluateSingle asks all questions with one request moved at a time, and compares the answers with the ground truth.
func (e *Environment) EvaluateSingle() *Score {
	s := &Score{}
	s.init()
	for f := range e.config.Objectives {
		panel := e.Ledger.Panel(f, e.From, e.To)
		truths := make([]GroundTruth, len(panel))
		for i := range panel {
			truths[i] = e.GroundTruth(counterfactual.Rule(i), f, 0)
			s.Compare(&panel[i], truths[i])
		}
		s.CompareOrder(panel, truths)
		panel, truths = nil, nil
		for _, h := range e.hosts {
			panel = append(panel, e.Ledger.SingleHost(f, h.ID, e.From, e.To))
			truths = append(truths, e.GroundTruth(counterfactual.OneHost, f, h.ID))
			s.Compare(&panel[len(panel)-1], truths[len(truths)-1])
		}
		s.CompareOrder(panel, truths)
	}
	return s
}
