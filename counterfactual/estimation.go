package counterfactual

import (
	"cmp"
	"fmt"
	"math"
	"slices"
)

// Limits within which a figure is given.
const (
	minEffective   = 100  // effective samples
	minGroups      = 6    // effective customer groups
	maxUnreachable = 0.01 // fraction of the mass where the rule's host could not be chosen; no weight covers it
	maxLacking     = 0.02 // fraction of the mass at hosts and loads with too few outcomes
	maxCensored    = 0.02 // fraction of the mass that was censored too early

	maxDescribedHosts = 4 // in the reason of a refusal
)

// estimation estimates answers on a request class.
type estimation struct {
	class        string
	table        *strataTable
	only         Estimator // no other is used; empty: any
	missing      []IncompleteGateway
	missingShare float64
	maxMissing   float64

	sums            map[Rule]*ruleSums
	leftOut         []map[Rule]*ruleSums // with each customer group left out in turn; empty: too few groups
	groups          int
	effectiveGroups float64
}

// answers estimates for several rules at once.
func (e *estimation) answers(rules []Rule) (answers []Answer) {
	e.sums = e.table.sum(noGroup, rules)
	e.groups, e.effectiveGroups = e.table.groups()
	if e.effectiveGroups >= minGroups {
		for group := range NumCustomerGroups {
			if e.table.hasGroup(group) {
				e.leftOut = append(e.leftOut, e.table.sum(group, rules))
			}
		}
	}
	for _, rule := range rules {
		answers = append(answers, e.answer(rule))
	}
	setRegrets(answers)
	return answers
}

// answer estimates for one rule.
func (e *estimation) answer(rule Rule) Answer {
	sums := e.sums[rule]
	a := Answer{
		Question:       questionMoved,
		Rule:           rule.String(),
		Class:          e.class,
		Attempts:       sums.mass,
		Coverage:       1,
		CustomerGroups: e.groups,
		Missing:        e.missing,
		MissingShare:   e.missingShare,
	}
	if sums.mass > 0 {
		a.UnreachableShare = e.table.unreachable(rule) / sums.mass
		a.SparseShare = 1 - sums.coveredMass/sums.mass
	}
	e.chooseEstimator(&a, rule)
	if reason := e.refusal(&a, rule); reason != "" {
		a.Refused = reason
		a.refuseFigures()
		return a
	}
	newFigures(&a, e, rule).set()
	return a
}

// chooseEstimator sets the estimator of an answer with its effective sample size, or refuses the answer.
func (e *estimation) chooseEstimator(a *Answer, rule Rule) {
	weighted, direct := e.table.effectiveSizes(rule)
	switch {
	case e.only != "" && a.SparseShare <= maxLacking:
		a.Estimator = e.only
		a.EffectiveSamples = direct
	case e.only != "":
		a.Refused = ReasonLoadOutOfRange + e.table.describeLacking(rule)
	case a.UnreachableShare > maxUnreachable && a.SparseShare <= maxLacking:
		a.Estimator = Direct
		a.EffectiveSamples = direct
	case a.UnreachableShare <= maxUnreachable && a.SparseShare <= maxLacking:
		a.Estimator = Robust
		a.EffectiveSamples = min(weighted, direct)
	case a.UnreachableShare <= maxUnreachable && e.table.allHostsSeen(rule):
		a.Estimator = Weighted
		a.EffectiveSamples = weighted
	default:
		a.Refused = ReasonNoOverlap + e.table.describeLacking(rule)
	}
}

// refusal returns the reason for which an answer has no figures, empty if it has.
func (e *estimation) refusal(a *Answer, rule Rule) string {
	sums := e.sums[rule]
	switch {
	case sums.mass == 0:
		return ReasonNoOverlap + ": no dispatch to ask about"
	case e.missingShare > e.maxMissing:
		return fmt.Sprintf("%s: about %.0f%% of the dispatches", ReasonGatewaysMissing, 100*e.missingShare)
	case a.Refused != "":
		return a.Refused
	case a.EffectiveSamples < minEffective:
		return fmt.Sprintf("%s: %.0f, %d wanted", ReasonFewSamples, a.EffectiveSamples, minEffective)
	case e.effectiveGroups < minGroups:
		return fmt.Sprintf("%s: worth %.1f groups of %d", ReasonFewCustomers, e.effectiveGroups, NumCustomerGroups)
	case sums.censoredEarly/sums.mass > maxCensored:
		return fmt.Sprintf("%s: %.1f%%", ReasonCensoredEarly, 100*sums.censoredEarly/sums.mass)
	case a.Estimator != Direct && !e.weightsAddUp(rule):
		weight := sums.weight / sums.mass
		return fmt.Sprintf("%s: the weights come to %.2f of the dispatches", ReasonInconsistentProbabilities, weight)
	}
	return ""
}

// weightsAddUp reports whether the weights add up to the attempts, as they do if the reported probabilities are
// correct.
func (e *estimation) weightsAddUp(rule Rule) bool {
	sums := e.sums[rule]
	var fractions []float64
	for _, leftOut := range e.leftOut {
		fractions = append(fractions, leftOut[rule].weight/sums.mass)
	}
	for i := range fractions { // scaled up by the weight of the group that is left out
		fractions[i] *= float64(len(fractions)) / float64(len(fractions)-1)
	}
	return math.Abs(sums.weight/sums.mass-1) < 0.1+4*math.Sqrt(jackknife(fractions))
}

// describeLacking names the hosts with the largest mass that has too few outcomes.
func (t *strataTable) describeLacking(rule Rule) string {
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
	for _, host := range hosts[:min(len(hosts), maxDescribedHosts)] {
		text += fmt.Sprintf(" host=%s reqs=%.1f", t.hostName(host), mass[host])
	}
	return text
}
