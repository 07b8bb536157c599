package simenv

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"

	"ravensill/counterfactual"
)

// Tolerances of figures, as fractions of the ground truth.
const (
	maxMeanError = 0.1
	maxP99Error  = 0.2
	minPairGap   = 0.1 // between two means whose order is compared
)

// Score counts how estimates compare with the ground truth, over runs.
type Score struct {
	Answers           int            // all answers
	Answered          int            // answers that were not refused altogether
	Means             int            // estimated means
	InaccurateMeans   int            // means off by more than maxMeanError
	P99s              int            // estimated p99
	InaccurateP99s    int            // p99 off by more than maxP99Error
	Figures           int            // estimated figures
	Covered           int            // figures whose interval covers the ground truth
	ComparedPairs     int            // pairs of rules whose true means differ by more than minPairGap
	PairsInOrder      int            // pairs that the estimates put in the right order
	HalfWidthSum      float64        // sum of the means' half widths, relative
	MeanErrorSum      float64        // sum of the means' errors, relative
	Refusals          map[string]int // refusals by reason
	Estimators        map[string]int // answers by estimator
	InaccurateFigures []string       // means and p99 that are too far off
	Uncovered         []string       // figures whose interval does not cover the ground truth
}

// init creates the maps.
func (s *Score) init() {
	if s.Refusals == nil {
		s.Refusals = map[string]int{}
		s.Estimators = map[string]int{}
	}
}

// Add adds another score.
func (s *Score) Add(o *Score) {
	s.init()
	s.Answers += o.Answers
	s.Answered += o.Answered
	s.Means += o.Means
	s.InaccurateMeans += o.InaccurateMeans
	s.P99s += o.P99s
	s.InaccurateP99s += o.InaccurateP99s
	s.Figures += o.Figures
	s.Covered += o.Covered
	s.ComparedPairs += o.ComparedPairs
	s.PairsInOrder += o.PairsInOrder
	s.HalfWidthSum += o.HalfWidthSum
	s.MeanErrorSum += o.MeanErrorSum
	for k, n := range o.Refusals {
		s.Refusals[k] += n
	}
	for k, n := range o.Estimators {
		s.Estimators[k] += n
	}
	s.InaccurateFigures = append(s.InaccurateFigures, o.InaccurateFigures...)
	s.Uncovered = append(s.Uncovered, o.Uncovered...)
}

// fraction returns n divided by of; 0 if of is 0.
func fraction(n, of int) float64 { return float64(n) / float64(max(of, 1)) }

// String returns the score in one line.
func (s *Score) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "asked %d, means %d (%.1f%% off by over 10%%; error %.1f%%, half width %.1f%%), p99 %d (%.1f%% "+
		"off by over 20%%), intervals hold %.1f%% of %d, pairs right %d of %d; by", s.Answers, s.Means,
		100*fraction(s.InaccurateMeans, s.Means), 100*s.MeanErrorSum/float64(max(s.Means, 1)), 100*s.HalfWidthSum/float64(max(s.Means, 1)),
		s.P99s,
		100*fraction(s.InaccurateP99s, s.P99s), 100*fraction(s.Covered, s.Figures), s.Figures, s.PairsInOrder, s.ComparedPairs)
	for _, k := range slices.Sorted(maps.Keys(s.Estimators)) {
		fmt.Fprintf(&b, " %s %d", k, s.Estimators[k])
	}
	b.WriteString("; refused")
	for _, k := range slices.Sorted(maps.Keys(s.Refusals)) {
		fmt.Fprintf(&b, " %q %d", k, s.Refusals[k])
	}
	return b.String()
}

// Compare compares one answer with its ground truth.
func (s *Score) Compare(answer *counterfactual.Answer, truth GroundTruth) {
	s.init()
	s.Answers++
	if answer.Refused != "" {
		s.Refusals[refusalReason(answer.Refused)]++
		return
	}
	s.Answered++
	s.Estimators[string(answer.Estimator)]++
	mean := comparedFigure{answer, "mean", &answer.Mean, truth.Mean}
	if s.cover(mean) {
		s.Means++
		s.HalfWidthSum += (mean.figure.High - mean.figure.Value) / mean.figure.Value
		s.MeanErrorSum += math.Abs(mean.figure.Value-mean.truth) / mean.truth
		if s.isOff(mean, maxMeanError) {
			s.InaccurateMeans++
		}
	}
	s.cover(comparedFigure{answer, "p50", &answer.P50, truth.P50})
	s.cover(comparedFigure{answer, "within", &answer.WithinObjective, truth.WithinObjective})
	p99 := comparedFigure{answer, "p99", &answer.P99, truth.P99}
	if s.cover(p99) {
		s.P99s++
		if s.isOff(p99, maxP99Error) {
			s.InaccurateP99s++
		}
	}
}

// comparedFigure is a figure of an answer with its true value.
type comparedFigure struct {
	answer *counterfactual.Answer
	name   string
	figure *counterfactual.Figure
	truth  float64
}

// String returns the figure in one line.
func (c *comparedFigure) String() string {
	return fmt.Sprintf("%s %s class %s host %s %s: %.4g (%.4g to %.4g), truth %.4g", c.answer.Rule, c.answer.Estimator,
		c.answer.Class, c.answer.Host, c.name, c.figure.Value, c.figure.Low, c.figure.High, c.truth)
}

// cover counts a figure and whether its interval covers the true value. It reports false if the figure was refused.
func (s *Score) cover(compared comparedFigure) bool {
	figure := compared.figure
	if !figure.Available() {
		s.Refusals[compared.name+" "+refusalReason(figure.Refused)]++
		return false
	}
	s.Figures++
	if figure.Low <= compared.truth && compared.truth <= figure.High {
		s.Covered++
	} else {
		s.Uncovered = append(s.Uncovered, compared.String())
	}
	return true
}

// isOff reports whether a figure is off by more than a fraction of the true value. Without a true value it is.
func (s *Score) isOff(compared comparedFigure, maxError float64) bool {
	if math.Abs(compared.figure.Value-compared.truth) <= maxError*compared.truth {
		return false
	}
	s.InaccurateFigures = append(s.InaccurateFigures, compared.String())
	return true
}

// CompareOrder counts the pairs of rules with a mean whose true means differ by more than minPairGap, and those that
// the estimates put in the right order. Single hosts are compared only with each other: their attempts are not the
// rules'.
func (s *Score) CompareOrder(answers []counterfactual.Answer, truths []GroundTruth) {
	for i := range answers {
		for j := range i {
			a, b := &answers[i], &answers[j]
			if !a.Mean.Available() || !b.Mean.Available() || (a.Host == "") != (b.Host == "") {
				continue
			}
			difference := truths[i].Mean - truths[j].Mean
			if math.Abs(difference) > minPairGap*min(truths[i].Mean, truths[j].Mean) {
				s.ComparedPairs++
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

// EvaluateReplacement queries what each rule would have met if it were in force for a share of all attempts, and compares
// the answers with a run of the same requests in which it is.
func EvaluateReplacement(config Config, share float64) *Score {
	score := &Score{}
	environment := Run(config)
	for _, rule := range []counterfactual.Rule{
		counterfactual.NextInRank,
		counterfactual.Random,
		counterfactual.OtherZone,
		counterfactual.LeastLoaded,
	} {
		config.ReplacementRule = rule
		config.ReplacementShare = share
		replaced := Run(config)
		for class := range config.Objectives {
			answer := environment.Ledger.EstimateReplacement(class, rule, share, environment.FirstBin, environment.LastBin)
			score.Compare(&answer, replaced.ActualResponseTimes(class))
		}
	}
	return score
}

// EvaluateRulesAndHosts makes all queries with one request moved at a time, and compares the answers with the ground truth.
func (e *Simulation) EvaluateRulesAndHosts() *Score {
	score := &Score{}
	score.init()
	for class := range e.config.Objectives {
		e.evaluateRules(score, class)
		e.evaluateHosts(score, class)
	}
	return score
}

// evaluateRules compares the answers for the rules.
func (e *Simulation) evaluateRules(score *Score, class int) {
	answers := e.Ledger.EstimateRules(class, e.FirstBin, e.LastBin)
	truths := make([]GroundTruth, len(answers))
	for i := range answers {
		truths[i] = e.GroundTruth(counterfactual.Rule(i), class, 0)
		score.Compare(&answers[i], truths[i])
	}
	score.CompareOrder(answers, truths)
}

// evaluateHosts compares the answers for single hosts.
func (e *Simulation) evaluateHosts(score *Score, class int) {
	var answers []counterfactual.Answer
	var truths []GroundTruth
	for _, host := range e.hosts {
		answer := e.Ledger.EstimateSingleHost(class, host.ID, e.FirstBin, e.LastBin)
		truth := e.GroundTruth(counterfactual.OneHost, class, host.ID)
		score.Compare(&answer, truth)
		answers = append(answers, answer)
		truths = append(truths, truth)
	}
	score.CompareOrder(answers, truths)
}
