package counterfactual

import (
	"maps"
	"math"
	"slices"
)

const (
	rateBandsPerOctave = 4  // bands of attempt rate per octave
	unitRateBand       = 64 // band of a rate of one attempt per bin
	rateRadius         = 1  // bins on each side of a bin over which its rate is averaged
)

// hostProcess identifies one process of a host.
type hostProcess struct{ host, incarnation uint32 }

// attemptCounts contains the number of attempts at each host process in each bin.
type attemptCounts map[hostProcess]map[BinNumber]float64

// add adds to the number of attempts at a host process in a bin, which is 0 before the first call.
func (c attemptCounts) add(process hostProcess, bin BinNumber, attempts float64) {
	if c[process] == nil {
		c[process] = map[BinNumber]float64{}
	}
	c[process][bin] += attempts
}

// rateBand returns the band of a host process's attempt rate, averaged over a bin and the bins around it that are
// within from..to. It returns 0 if there are no attempts.
func (c attemptCounts) rateBand(process hostProcess, bin, from, to BinNumber) uint8 {
	sum := 0.0
	bins := 0.0
	for near := max(bin-rateRadius, from); near <= min(bin+rateRadius, to); near++ {
		sum += c[process][near]
		bins++
	}
	if sum <= 0 {
		return 0
	}
	band := int(math.Floor(rateBandsPerOctave*math.Log2(sum/bins)+0.5)) + unitRateBand
	return uint8(min(max(band, 1), math.MaxUint8))
}

// replacement describes a rule that replaces the gateways' own for a fraction of all attempts in the bins from..to.
type replacement struct {
	rule     Rule
	share    float64
	from, to BinNumber
}

// mass returns the number of attempts that the replacement would have sent to the host of a cell, at the cell's load.
func (r *replacement) mass(cell *mergedCell) float64 {
	return ((1-r.share)*float64(cell.mass[Logged]) + r.share*float64(cell.mass[r.rule])) / fixedPointScale
}

// refusalReason returns the reason why the replacement can't be estimated, or an empty string if it can.
func (r *replacement) refusalReason() string {
	if r.rule == LeastLoaded || r.rule == PowerOfTwo {
		return ReasonLoadDependentRule
	}
	if r.rule == OneHost || r.rule < 0 || r.rule >= NumRules || !(r.share > 0 && r.share <= 1) {
		return ReasonNoOverlap + ": a rule that chooses for a part from 0 to 1 wanted"
	}
	return ""
}

// EstimateReplacement estimates the response times of the attempts of a request class in the bins from..to, had the
// rule chosen the hosts of a fraction of all attempts of all gateways and request classes; share is that fraction.
// Unlike with EstimateRules, the loads of the hosts change with the rule. The response times of a host at another rate
// of attempts are taken from the bins in which it had about that rate. The answer is refused if there are no such bins,
// and for the rules that choose by load, because they would have chosen differently at the changed loads.
func (l *Ledger) EstimateReplacement(class int, rule Rule, share float64, from, to BinNumber) Answer {
	from, to = l.limitRange(from, to)
	missing, missingShare := l.incompleteGateways(from, to)
	r := &replacement{rule: rule, share: share, from: from, to: to}
	if reason := r.refusalReason(); reason != "" {
		a := Answer{
			Question:     questionReplaced,
			Rule:         rule.String(),
			Class:        l.settings.Classes[class],
			Share:        share,
			Refused:      reason,
			Missing:      missing,
			MissingShare: missingShare,
		}
		a.refuseFigures()
		return a
	}
	e := &estimation{
		class:              l.settings.Classes[class],
		table:              l.replacementStrata(class, r),
		forcedEstimator:    Direct,
		incompleteGateways: missing,
		missingShare:       missingShare,
		maxMissingShare:    l.settings.MaxMissingShare,
	}
	a := e.estimateRules([]Rule{rule})[0]
	a.Question = questionReplaced
	a.Share = share
	return a
}

// replacementStrata returns the strata of a request class by the host's attempt rate: LoadBand in their keys is the
// band of a rate instead of a load. The mass of the replacement's rule is in the strata of the rates that the
// replacement would have caused, Logged mass and outcomes are in those of the actual rates.
func (l *Ledger) replacementStrata(class int, r *replacement) *strataTable {
	actual, replaced := l.countAttempts(r)
	t := l.newTable(class)
	for number, bin := range l.binsBetween(r.from, r.to) {
		for _, key := range slices.SortedFunc(maps.Keys(bin.cells), CellKey.compare) {
			if int(key.Class) != class {
				continue
			}
			cell := bin.cells[key]
			process := hostProcess{key.Host, key.Incarnation}
			key.LoadBand = actual.rateBand(process, number, r.from, r.to)
			outcomes := t.add(key, &mergedCell{rows: cell.rows})
			outcomes.mass[Logged] += float64(cell.mass[Logged]) / fixedPointScale
			key.LoadBand = replaced.rateBand(process, number, r.from, r.to)
			t.add(key, &mergedCell{}).mass[r.rule] += r.mass(cell)
		}
	}
	t.finalize()
	return t
}

// countAttempts counts the attempts of all request classes: the actual ones, and those that there would have been with
// the replacement.
func (l *Ledger) countAttempts(r *replacement) (actual, replaced attemptCounts) {
	actual = attemptCounts{}
	replaced = attemptCounts{}
	for number, bin := range l.binsBetween(r.from, r.to) {
		for key, cell := range bin.cells {
			process := hostProcess{key.Host, key.Incarnation}
			actual.add(process, number, float64(cell.mass[Logged])/fixedPointScale)
			replaced.add(process, number, r.mass(cell))
		}
	}
	return actual, replaced
}
