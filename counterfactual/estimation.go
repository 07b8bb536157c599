package counterfactual

import (
	"cmp"
	"fmt"
	"math"
	"slices"
)

// Limits for the choice of an estimator and for refusing an answer.
const (
	minEffectiveSamples = 100  // effective sample size of the estimate
	minEffectiveGroups  = 6    // effective number of customer groups, see strataTable.customerGroups
	maxUnreachableShare = 0.01 // fraction of the mass that could not have gone to the rule's host: no weight covers it
	maxSparseShare      = 0.02 // fraction of the mass that is in strata with too few outcomes
	maxCensoredShare    = 0.02 // fraction of the mass that was censored too early, see stratum.cdf

	maxHostsInReason = 4 // hosts named in the reason of a refusal
)

// estimation computes the answers for rules over the strata of one request class. It is used for one call of
// estimateRules.
type estimation struct {
	class              string
	table              *strataTable
	forcedEstimator    Estimator // the only estimator that may be used; empty: chooseEstimator chooses
	incompleteGateways []IncompleteGateway
	missingShare       float64 // becomes Answer.MissingShare
	maxMissingShare    float64 // Settings.MaxMissingShare

	sums            map[Rule]*ruleSums   // the sums of all outcomes
	leaveOneOutSums []map[Rule]*ruleSums // one with each customer group left out; empty if there are too few groups
	groups          int                  // number of customer groups with outcomes
	effectiveGroups float64              // effective number of these groups, see strataTable.customerGroups
}

// estimateRules returns the answers for the rules, in their order, with regrets.
func (e *estimation) estimateRules(rules []Rule) (answers []Answer) {
	e.sums = e.table.sumStrata(noGroup, rules)
	e.groups, e.effectiveGroups = e.table.customerGroups()
	if e.effectiveGroups >= minEffectiveGroups {
		for group := range NumCustomerGroups {
			if e.table.hasGroup(group) {
				e.leaveOneOutSums = append(e.leaveOneOutSums, e.table.sumStrata(group, rules))
			}
		}
	}
	for _, rule := range rules {
		answers = append(answers, e.estimateRule(rule))
	}
	setRegrets(answers)
	return answers
}

// estimateRule returns the answer for one rule, without its regret. The sums of the rule must be set.
func (e *estimation) estimateRule(rule Rule) Answer {
	sums := e.sums[rule]
	a := Answer{
		Question:       questionMoved,
		Rule:           rule.String(),
		Class:          e.class,
		Attempts:       sums.mass,
		Coverage:       1,
		CustomerGroups: e.groups,
		Missing:        e.incompleteGateways,
		MissingShare:   e.missingShare,
	}
	if sums.mass > 0 {
		a.UnreachableShare = e.table.unreachableMass(rule) / sums.mass
		a.SparseShare = 1 - sums.coveredMass/sums.mass
	}
	e.chooseEstimator(&a, rule)
	if reason := e.refusalReason(&a, rule); reason != "" {
		a.Refused = reason
		a.refuseFigures()
		return a
	}
	newFigureBuilder(&a, e, rule).setAll()
	return a
}

// chooseEstimator sets the answer's estimator and effective sample size, or refuses the answer. Robust needs outcomes
// in nearly all strata and hosts that the gateways could choose. Without such hosts, weights are wrong: Direct is used.
// Without outcomes in some strata, Weighted is used, provided that each important host has outcomes.
func (e *estimation) chooseEstimator(a *Answer, rule Rule) {
	weighted, direct := e.table.effectiveSampleSizes(rule)
	switch {
	case e.forcedEstimator != "" && a.SparseShare <= maxSparseShare:
		a.Estimator = e.forcedEstimator
		a.EffectiveSamples = direct
	case e.forcedEstimator != "":
		a.Refused = ReasonLoadOutOfRange + e.table.describeSparseHosts(rule)
	case a.UnreachableShare > maxUnreachableShare && a.SparseShare <= maxSparseShare:
		a.Estimator = Direct
		a.EffectiveSamples = direct
	case a.UnreachableShare <= maxUnreachableShare && a.SparseShare <= maxSparseShare:
		a.Estimator = Robust
		a.EffectiveSamples = min(weighted, direct)
	case a.UnreachableShare <= maxUnreachableShare && e.table.allHostsObserved(rule):
		a.Estimator = Weighted
		a.EffectiveSamples = weighted
	default:
		a.Refused = ReasonNoOverlap + e.table.describeSparseHosts(rule)
	}
}

// refusalReason returns the reason for refusing an answer, or an empty string if it has figures.
func (e *estimation) refusalReason(a *Answer, rule Rule) string {
	sums := e.sums[rule]
	switch {
	case sums.mass == 0:
		return ReasonNoOverlap + ": no dispatch to ask about"
	case e.missingShare > e.maxMissingShare:
		return fmt.Sprintf("%s: about %.0f%% of the dispatches", ReasonGatewaysMissing, 100*e.missingShare)
	case a.Refused != "":
		return a.Refused
	case a.EffectiveSamples < minEffectiveSamples:
		return fmt.Sprintf("%s: %.0f, %d wanted", ReasonFewSamples, a.EffectiveSamples, minEffectiveSamples)
	case e.effectiveGroups < minEffectiveGroups:
		return fmt.Sprintf("%s: worth %.1f groups of %d", ReasonFewCustomers, e.effectiveGroups, NumCustomerGroups)
	case sums.censoredEarly/sums.mass > maxCensoredShare:
		return fmt.Sprintf("%s: %.1f%%", ReasonCensoredEarly, 100*sums.censoredEarly/sums.mass)
	case a.Estimator != Direct && !e.weightsAddUp(rule):
		weight := sums.weight / sums.mass
		return fmt.Sprintf("%s: the weights come to %.2f of the dispatches", ReasonInconsistentProbabilities, weight)
	}
	return ""
}

// weightsAddUp reports whether the importance weights add up to the rule's mass, within 10% and four standard errors.
// They do if the gateways report the probabilities with which they choose hosts.
func (e *estimation) weightsAddUp(rule Rule) bool {
	sums := e.sums[rule]
	var fractions []float64
	for _, leftOut := range e.leaveOneOutSums {
		fractions = append(fractions, leftOut[rule].weight/sums.mass)
	}
	for i := range fractions { // scaled up to all groups, because one is left out
		fractions[i] *= float64(len(fractions)) / float64(len(fractions)-1)
	}
	return math.Abs(sums.weight/sums.mass-1) < 0.1+4*math.Sqrt(jackknife(fractions))
}

// describeSparseHosts returns the hosts with the largest mass in strata with too few outcomes, as the end of a reason
// for refusal. It returns an empty string if there are none.
func (t *strataTable) describeSparseHosts(rule Rule) string {
	mass := map[uint32]float64{}
	var hosts []uint32
	for _, s := range t.strata {
		if s.outcomes >= minOutcomes || !(s.mass[rule] > 0) {
			continue
		}
		if mass[s.key.Host] == 0 {
			hosts = append(hosts, s.key.Host)
		}
		mass[s.key.Host] += s.mass[rule]
	}
	if len(hosts) == 0 {
		return ""
	}
	slices.SortFunc(hosts, func(a, b uint32) int {
		return cmp.Or(cmp.Compare(mass[b], mass[a]), cmp.Compare(a, b))
	})
	text := ":"
	for _, host := range hosts[:min(len(hosts), maxHostsInReason)] {
		text += fmt.Sprintf(" host=%s reqs=%.1f", t.hostName(host), mass[host])
	}
	return text
}
