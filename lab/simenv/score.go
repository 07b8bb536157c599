package simenv

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"

	"ravensill/counterfactual"
)

// Tolerances, as fractions of the ground truth.
const (
	maxMeanError      = 0.1 // of an estimated mean
	maxP99Error       = 0.2 // of an estimated p99
	minPairDifference = 0.1 // least difference of two means whose order is compared
)

// Score counts how well estimates agree with the ground truth, over any number of runs. Its zero value is empty.
type Score struct {
	Answers           int            // all answers
	Answered          int            // answers that were not refused as a whole
	Means             int            // means that were estimated
	InaccurateMeans   int            // of Means: off by more than maxMeanError
	P99s              int            // p99 that were estimated
	InaccurateP99s    int            // of P99s: off by more than maxP99Error
	Figures           int            // mean, p50, p99 and fraction within the objective that were estimated
	Covered           int            // of Figures: the confidence interval covers the ground truth
	ComparedPairs     int            // pairs of rules or of hosts whose true means differ by more than minPairDifference
	PairsInOrder      int            // of ComparedPairs: the estimates have the same order as the true means
	HalfWidthSum      float64        // sum over Means of half the interval's width, as a fraction of the estimate
	MeanErrorSum      float64        // sum over Means of the error, as a fraction of the ground truth
	Refusals          map[string]int // refused answers by reason, refused figures by name and reason
	Estimators        map[string]int // answers by the estimator that gave them
	InaccurateFigures []string       // descriptions of InaccurateMeans and InaccurateP99s
	Uncovered         []string       // descriptions of figures whose interval does not cover the ground truth
}

// init creates the maps of a zero Score.
func (s *Score) init() {
	if s.Refusals == nil {
		s.Refusals = map[string]int{}
		s.Estimators = map[string]int{}
	}
}

// Add adds the counts and descriptions of another score.
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

// fraction returns n divided by of; n if of is 0.
func fraction(n, of int) float64 { return float64(n) / float64(max(of, 1)) }

// String returns the score in one line.
func (s *Score) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "asked %d, means %d (%.1f%% off by over 10%%; error %.1f%%, half width %.1f%%), p99 %d (%.1f%% "+
		"off by over 20%%), intervals hold %.1f%% of %d, pairs right %d of %d; by", s.Answers, s.Means,
		100*fraction(s.InaccurateMeans, s.Means), 100*s.MeanErrorSum/float64(max(s.Means, 1)),
		100*s.HalfWidthSum/float64(max(s.Means, 1)), s.P99s,
		100*fraction(s.InaccurateP99s, s.P99s), 100*fraction(s.Covered, s.Figures), s.Figures,
		s.PairsInOrder, s.ComparedPairs)
	for _, k := range slices.Sorted(maps.Keys(s.Estimators)) {
		fmt.Fprintf(&b, " %s %d", k, s.Estimators[k])
	}
	b.WriteString("; refused")
	for _, k := range slices.Sorted(maps.Keys(s.Refusals)) {
		fmt.Fprintf(&b, " %q %d", k, s.Refusals[k])
	}
	return b.String()
}

// Compare adds the comparison of one answer with its ground truth.
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
	if s.countCoverage(mean) {
		s.Means++
		s.HalfWidthSum += (mean.figure.High - mean.figure.Value) / mean.figure.Value
		s.MeanErrorSum += math.Abs(mean.figure.Value-mean.truth) / mean.truth
		if s.isInaccurate(mean, maxMeanError) {
			s.InaccurateMeans++
		}
	}
	s.countCoverage(comparedFigure{answer, "p50", &answer.P50, truth.P50})
	s.countCoverage(comparedFigure{answer, "within", &answer.WithinObjective, truth.WithinObjective})
	p99 := comparedFigure{answer, "p99", &answer.P99, truth.P99}
	if s.countCoverage(p99) {
		s.P99s++
		if s.isInaccurate(p99, maxP99Error) {
			s.InaccurateP99s++
		}
	}
}

// comparedFigure is one estimated figure of an answer with its true value.
type comparedFigure struct {
	answer *counterfactual.Answer
	name   string
	figure *counterfactual.Figure
	truth  float64
}

// String returns the estimate, its interval and the true value in one line.
func (c *comparedFigure) String() string {
	return fmt.Sprintf("%s %s class %s host %s %s: %.4g (%.4g to %.4g), truth %.4g", c.answer.Rule, c.answer.Estimator,
		c.answer.Class, c.answer.Host, c.name, c.figure.Value, c.figure.Low, c.figure.High, c.truth)
}

// countCoverage counts a figure and whether its interval covers the true value. It returns false if the figure was
// refused.
func (s *Score) countCoverage(compared comparedFigure) bool {
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

// isInaccurate reports whether a figure is off by more than maxError, a fraction of the true value, and adds it to
// InaccurateFigures if so. A figure whose true value is NaN is inaccurate.
func (s *Score) isInaccurate(compared comparedFigure, maxError float64) bool {
	if math.Abs(compared.figure.Value-compared.truth) <= maxError*compared.truth {
		return false
	}
	s.InaccurateFigures = append(s.InaccurateFigures, compared.String())
	return true
}

// CompareOrder counts the pairs of answers with an estimated mean whose true means differ by more than
// minPairDifference, and those that the estimates put in the right order. truths holds the ground truth of each answer.
// Answers for a single host are compared only with each other, as they are about other attempts than those for a rule.
func (s *Score) CompareOrder(answers []counterfactual.Answer, truths []GroundTruth) {
	for i := range answers {
		for j := range i {
			a, b := &answers[i], &answers[j]
			if !a.Mean.Available() || !b.Mean.Available() || (a.Host == "") != (b.Host == "") {
				continue
			}
			difference := truths[i].Mean - truths[j].Mean
			if math.Abs(difference) > minPairDifference*min(truths[i].Mean, truths[j].Mean) {
				s.ComparedPairs++
				if (a.Mean.Value > b.Mean.Value) == (difference > 0) {
					s.PairsInOrder++
				}
			}
		}
	}
}

// refusalReason returns the reason of a refusal without the details that follow the colon.
func refusalReason(text string) string {
	text, _, _ = strings.Cut(text, ":")
	return text
}

// EvaluateReplacement estimates, from one run, what would have happened if another rule had routed a share of all
// attempts, and compares the estimates with a second run of the same requests in which that rule does so.
func EvaluateReplacement(config Config, share float64) *Score {
	score := &Score{}
	actual := Run(config)
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
			answer := actual.Ledger.EstimateReplacement(class, rule, share, actual.FirstBin, actual.LastBin)
			score.Compare(&answer, replaced.ActualResponseTimes(class))
		}
	}
	return score
}

// EvaluateRulesAndHosts compares the estimates for each rule and each single host with the ground truth. These
// estimates are about one moved request at a time, with the load that all others cause unchanged.
func (s *Simulation) EvaluateRulesAndHosts() *Score {
	score := &Score{}
	score.init()
	for class := range s.config.Objectives {
		s.evaluateRules(score, class)
		s.evaluateHosts(score, class)
	}
	return score
}

// evaluateRules compares the estimates for all rules with the ground truth.
func (s *Simulation) evaluateRules(score *Score, class int) {
	answers := s.Ledger.EstimateRules(class, s.FirstBin, s.LastBin)
	truths := make([]GroundTruth, len(answers))
	for i := range answers {
		truths[i] = s.GroundTruth(counterfactual.Rule(i), class, 0)
		score.Compare(&answers[i], truths[i])
	}
	score.CompareOrder(answers, truths)
}

// evaluateHosts compares the estimates for each single host with the ground truth.
func (s *Simulation) evaluateHosts(score *Score, class int) {
	var answers []counterfactual.Answer
	var truths []GroundTruth
	for _, host := range s.hosts {
		answer := s.Ledger.EstimateSingleHost(class, host.ID, s.FirstBin, s.LastBin)
		truth := s.GroundTruth(counterfactual.OneHost, class, host.ID)
		score.Compare(&answer, truth)
		answers = append(answers, answer)
		truths = append(truths, truth)
	}
	score.CompareOrder(answers, truths)
}
