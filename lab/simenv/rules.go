package simenv

import (
	"math"

	"ravensill/counterfactual"
)

// RuleShares returns the probability with which a rule sends an attempt to each candidate. The first candidate is the
// one that was chosen. singleHost is the host of rule counterfactual.OneHost and ignored for all other rules.
//
// RuleShares duplicates the rules of package counterfactual on purpose: the ground truth must not depend on the code
// that it verifies.
func RuleShares(rule counterfactual.Rule, candidates []counterfactual.Candidate, singleHost uint32) []float64 {
	shares := make([]float64, len(candidates))
	switch rule {
	case counterfactual.Logged:
		shares[0] = 1
	case counterfactual.NextInRank:
		if len(candidates) > 1 && candidates[1].Probability > 0 {
			shares[1] = 1
		} else {
			shares[0] = 1
		}
	case counterfactual.LeastLoaded:
		shareAmongLeastLoaded(shares, candidates)
	case counterfactual.PowerOfTwo:
		shareByPairs(shares, candidates)
	case counterfactual.Random:
		for i := range candidates {
			shares[i] = 1 / float64(len(candidates))
		}
	case counterfactual.OtherZone:
		shareAmongOtherZones(shares, candidates)
	case counterfactual.OneHost:
		for i, c := range candidates {
			if c.Host == singleHost && c.Probability > 0 {
				shares[i] = 1
			}
		}
	}
	return shares
}

// shareAmongLeastLoaded divides the attempt evenly among the candidates with the least load.
func shareAmongLeastLoaded(shares []float64, candidates []counterfactual.Candidate) {
	least := math.Inf(1)
	ties := 0.0
	for _, c := range candidates {
		if c.Load < least {
			least = c.Load
			ties = 0
		}
		if c.Load == least {
			ties++
		}
	}
	for i, c := range candidates {
		if c.Load == least {
			shares[i] = 1 / ties
		}
	}
}

// shareByPairs sets the shares of a rule that draws two candidates at random and sends to the less loaded one.
func shareByPairs(shares []float64, candidates []counterfactual.Candidate) {
	if len(candidates) == 1 {
		shares[0] = 1
		return
	}
	n := float64(len(candidates))
	pair := 2 / (n * (n - 1)) // probability that a pair is drawn
	for i := range candidates {
		for j := range candidates[:i] {
			switch {
			case candidates[i].Load < candidates[j].Load:
				shares[i] += pair
			case candidates[j].Load < candidates[i].Load:
				shares[j] += pair
			default:
				shares[i] += pair / 2
				shares[j] += pair / 2
			}
		}
	}
}

// shareAmongOtherZones divides the attempt evenly among the eligible candidates outside the zone of the chosen one. If
// there are none, the chosen candidate keeps the whole attempt.
func shareAmongOtherZones(shares []float64, candidates []counterfactual.Candidate) {
	eligible := func(c counterfactual.Candidate) bool { return c.Zone != candidates[0].Zone && c.Probability > 0 }
	count := 0.0
	for _, c := range candidates {
		if eligible(c) {
			count++
		}
	}
	if count == 0 {
		shares[0] = 1
		return
	}
	for i, c := range candidates {
		if eligible(c) {
			shares[i] = 1 / count
		}
	}
}
