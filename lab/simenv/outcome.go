package simenv

import (
	"slices"

	"ravensill/counterfactual"
)

// actualRule is the key of the response times that were measured in the run, by whatever rule attempts were routed.
const actualRule = counterfactual.Rule(-1)

// GroundTruth summarizes the response times that the attempts of a run would have had if a rule had routed them.
type GroundTruth struct {
	Requests        float64
	Mean            float64 // ms; each response time is capped at the latency objective
	P50             float64 // ms
	P99             float64 // ms
	WithinObjective float64 // fraction of the response times within the latency objective
}

// outcomeKey identifies a sample of response times.
type outcomeKey struct {
	rule  counterfactual.Rule
	class int
	host  uint32 // host of rule counterfactual.OneHost; otherwise 0
}

// Sample is a weighted sample of response times in ms. Its zero value is empty.
type Sample struct {
	values  []float64
	weights []float64
}

// recordOutcome adds a response time in ms to the sample of a key.
func (s *Simulation) recordOutcome(key outcomeKey, time, weight float64) {
	sample := s.outcomes[key]
	if sample == nil {
		sample = &Sample{}
		s.outcomes[key] = sample
	}
	sample.Add(time, weight)
}

// Add adds a response time in ms with a weight. The time of a failed attempt is +Inf.
func (s *Sample) Add(time, weight float64) {
	s.values = append(s.values, time)
	s.weights = append(s.weights, weight)
}

// ActualResponseTimes summarizes the response times that a request class had in the run.
func (s *Simulation) ActualResponseTimes(class int) GroundTruth {
	return s.GroundTruth(actualRule, class, 0)
}

// GroundTruth summarizes the response times that a request class would have had by a rule. host is the host of rule
// counterfactual.OneHost and 0 for all other rules. The result is zero if there are no response times.
func (s *Simulation) GroundTruth(rule counterfactual.Rule, class int, host uint32) GroundTruth {
	sample := s.outcomes[outcomeKey{rule, class, host}]
	if sample == nil {
		return GroundTruth{}
	}
	return sample.Summary(float64(s.config.Objectives[class]) / 1e6)
}

// Summary returns the figures of a non-empty sample for a latency objective in ms.
func (s *Sample) Summary(objective float64) (truth GroundTruth) {
	order := make([]int, len(s.values))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int { return compareTimes(s.values[a], s.values[b]) })
	for _, i := range order {
		truth.Requests += s.weights[i]
		truth.Mean += s.weights[i] * min(s.values[i], objective)
		if s.values[i] <= objective {
			truth.WithinObjective += s.weights[i]
		}
	}
	cumulativeWeight := 0.0
	for _, i := range order {
		cumulativeWeight += s.weights[i]
		if truth.P50 == 0 && cumulativeWeight >= 0.5*truth.Requests {
			truth.P50 = s.values[i]
		}
		if truth.P99 == 0 && cumulativeWeight >= 0.99*truth.Requests {
			truth.P99 = s.values[i]
		}
	}
	truth.Mean /= truth.Requests
	truth.WithinObjective /= truth.Requests
	return truth
}

// compareTimes orders response times. NaN, which stands for an unknown response time, compares equal to all others.
func compareTimes(a, b float64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}
