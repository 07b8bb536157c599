package counterfactual

import (
	"maps"
	"math"
	"slices"
)

const (
	bandsPerOctave = 4  // bands of a host's attempt rate in an octave
	bandOfRateOne  = 64 // band of one attempt a bin
	rateSpan       = 1  // bins on each side over which a rate is averaged
)

// hostProcess is one incarnation of a host.
type hostProcess struct{ host, incarnation uint32 }

// attemptCounts are attempts at the hosts by bin.
type attemptCounts map[hostProcess]map[BinNumber]float64

func (c attemptCounts) add(process hostProcess, bin BinNumber, attempts float64) {
	if c[process] == nil {
		c[process] = map[BinNumber]float64{}
	}
	c[process][bin] += attempts
}

// rateBand returns the band of a host's attempt rate near a bin, of the bins from..to.
func (c attemptCounts) rateBand(process hostProcess, bin, from, to BinNumber) uint8 {
	sum := 0.0
	bins := 0.0
	for near := max(bin-rateSpan, from); near <= min(bin+rateSpan, to); near++ {
		sum += c[process][near]
		bins++
	}
	if sum <= 0 {
		return 0
	}
	band := int(math.Floor(bandsPerOctave*math.Log2(sum/bins)+0.5)) + bandOfRateOne
	return uint8(min(max(band, 1), math.MaxUint8))
}

// replacement is a rule that chooses for a fraction of all attempts, in the bins from..to.
type replacement struct {
	rule     Rule
	share    float64
	from, to BinNumber
}

// mass returns the mass of a cell under the replacement.
func (r *replacement) mass(cell *mergedCell) float64 {
	return ((1-r.share)*float64(cell.mass[Logged]) + r.share*float64(cell.mass[r.rule])) / scale
}

// refusal returns the reason for which the replacement can't be estimated, empty if it can.
func (r *replacement) refusal() string {
	if r.rule == LeastLoaded || r.rule == PowerOfTwo {
		return ReasonLoadDependentRule
	}
	if r.rule == OneHost || r.rule < 0 || r.rule >= NumRules || !(r.share > 0 && r.share <= 1) {
		return ReasonNoOverlap + ": a rule that chooses for a part from 0 to 1 wanted"
	}
	return ""
}

// EstimateReplacement estimates the response times of the attempts of a request class in the bins from..to if the rule had chosen
// for a fraction of all attempts, of all gateways and request classes, so that the loads move with the rule. How a
// host's time grows with its attempts is learned from the bins in which it had about as many as the rule would have
// sent it. There is no answer outside the range seen, and none for rules that follow the load, which would have been
// another one.
func (l *Ledger) EstimateReplacement(class int, rule Rule, share float64, from, to BinNumber) Answer {
	from, to = l.boundSpan(from, to)
	missing, missingShare := l.missing(from, to)
	r := &replacement{rule: rule, share: share, from: from, to: to}
	if reason := r.refusal(); reason != "" {
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
		class:        l.settings.Classes[class],
		table:        l.replacedStrata(class, r),
		only:         Direct,
		missing:      missing,
		missingShare: missingShare,
		maxMissing:   l.settings.MaxMissingShare,
	}
	a := e.answers([]Rule{rule})[0]
	a.Question = questionReplaced
	a.Share = share
	return a
}

// replacedStrata collects the strata of a request class by attempt rates instead of loads. The rule's mass is at the
// rates that the rule would lead to, the outcomes are at the actual ones.
func (l *Ledger) replacedStrata(class int, r *replacement) *strataTable {
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
			outcomes.mass[Logged] += float64(cell.mass[Logged]) / scale
			key.LoadBand = replaced.rateBand(process, number, r.from, r.to)
			t.add(key, &mergedCell{}).mass[r.rule] += r.mass(cell)
		}
	}
	t.complete()
	return t
}

// countAttempts counts the attempts of all request classes as they were and with the replacement.
func (l *Ledger) countAttempts(r *replacement) (actual, replaced attemptCounts) {
	actual = attemptCounts{}
	replaced = attemptCounts{}
	for number, bin := range l.binsBetween(r.from, r.to) {
		for key, cell := range bin.cells {
			process := hostProcess{key.Host, key.Incarnation}
			actual.add(process, number, float64(cell.mass[Logged])/scale)
			replaced.add(process, number, r.mass(cell))
		}
	}
	return actual, replaced
}
