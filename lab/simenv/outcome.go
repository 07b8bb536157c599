package simenv

import (
	"slices"

	"ravensill/counterfactual"
)

// ruleInForce stands for the rule by which attempts were routed in the run.
const ruleInForce = counterfactual.Rule(-1)

// GroundTruth is the response times that the same attempts would have had by a rule.
type GroundTruth struct {
	Requests        float64
	Mean            float64 // ms, of the response time or the latency objective, whichever is shorter
	P50             float64 // ms
	P99             float64 // ms
	WithinObjective float64 // fraction within the objective
}

// outcomeKey names a sample of response times.
type outcomeKey struct {
	rule  counterfactual.Rule
	class int
	host  uint32 // of rule Single
}

// Sample is a weighted sample of response times in ms.
type Sample struct {
	values  []float64
	weights []float64
}

// recordOutcome adds a response time in ms to a sample.
func (e *Simulation) recordOutcome(key outcomeKey, time, weight float64) {
	sample := e.outcomes[key]
	if sample == nil {
		sample = &Sample{}
		e.outcomes[key] = sample
	}
	sample.Add(time, weight)
}

// Add adds a response time in ms, +Inf for a failure, with its weight.
func (s *Sample) Add(time, weight float64) {
	s.values = append(s.values, time)
	s.weights = append(s.weights, weight)
}

// ActualResponseTimes returns the response times that a request class had in the run.
func (e *Simulation) ActualResponseTimes(class int) GroundTruth {
	return e.GroundTruth(ruleInForce, class, 0)
}

// GroundTruth returns the response times that a request class would have had by a rule; host is that of rule Single.
func (e *Simulation) GroundTruth(rule counterfactual.Rule, class int, host uint32) GroundTruth {
	sample := e.outcomes[outcomeKey{rule, class, host}]
	if sample == nil {
		return GroundTruth{}
	}
	return sample.Summary(float64(e.config.Objectives[class]) / 1e6)
}

// Summary returns the figures of a sample, for a latency objective in ms.
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
	below := 0.0
	for _, i := range order {
		below += s.weights[i]
		if truth.P50 == 0 && below >= 0.5*truth.Requests {
			truth.P50 = s.values[i]
		}
		if truth.P99 == 0 && below >= 0.99*truth.Requests {
			truth.P99 = s.values[i]
		}
	}
	truth.Mean /= truth.Requests
	truth.WithinObjective /= truth.Requests
	return truth
}

// compareTimes orders times. One that is not a number, because no host's answer is known, equals all.
func compareTimes(a, b float64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}
