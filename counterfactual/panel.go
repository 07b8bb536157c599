package counterfactual

import "strconv"

// comparedRules are the rules of Ledger.EstimateRules. They are in the order of their numbers, by which callers index
// the answers.
var comparedRules = []Rule{Logged, NextInRank, LeastLoaded, PowerOfTwo, Random, OtherZone}

// EstimateRules estimates, for each rule but OneHost, the response times of the attempts of a request class in the bins
// from..to, had the rule chosen their hosts. It assumes that the loads of the hosts had stayed as they were, as if one
// attempt were moved at a time. The answers are in the order of the rules' numbers.
func (l *Ledger) EstimateRules(class int, from, to BinNumber) []Answer {
	from, to = l.limitRange(from, to)
	return l.newEstimation(class, l.strata(class, from, to), from, to).estimateRules(comparedRules)
}

// EstimateSingleHost is like EstimateRules for a single host, given by its number, and for the attempts that could have
// gone there. Answer.Coverage is their fraction of all attempts of the request class.
func (l *Ledger) EstimateSingleHost(class int, host uint32, from, to BinNumber) Answer {
	from, to = l.limitRange(from, to)
	t := l.strata(class, from, to)
	total := 0.0
	var ofHost []*stratum
	for _, s := range t.strata {
		total += s.mass[Logged]
		if s.key.Host == host {
			ofHost = append(ofHost, s)
		}
	}
	t.strata = ofHost
	a := l.newEstimation(class, t, from, to).estimateRules([]Rule{OneHost})[0]
	a.Host = l.hostName(host)
	a.HostNumber = host
	a.Regret = Figure{Refused: "a single host has none"}
	a.Coverage = 0
	if total > 0 {
		a.Coverage = a.Attempts / total
	}
	return a
}

// newEstimation returns an estimation over the strata of a request class in the bins from..to.
func (l *Ledger) newEstimation(class int, t *strataTable, from, to BinNumber) *estimation {
	missing, missingShare := l.incompleteGateways(from, to)
	return &estimation{
		class:              l.settings.Classes[class],
		table:              t,
		incompleteGateways: missing,
		missingShare:       missingShare,
		maxMissingShare:    l.settings.MaxMissingShare,
	}
}

// strata returns the strata of a request class over the bins from..to.
func (l *Ledger) strata(class int, from, to BinNumber) *strataTable {
	t := l.newTable(class)
	for _, bin := range l.binsBetween(from, to) {
		for key, cell := range bin.cells {
			if int(key.Class) == class {
				t.add(key, cell)
			}
		}
	}
	t.finalize()
	return t
}

// hostName returns a host's id, or its number in decimal if the id is unknown.
func (l *Ledger) hostName(host uint32) string {
	if l.settings.HostID != nil {
		if id := l.settings.HostID(host); id != "" {
			return id
		}
	}
	return strconv.FormatUint(uint64(host), 10)
}

// limitRange moves the start of the range from..to so that the range has no more bins than can be kept. This bounds the
// cost of a query.
func (l *Ledger) limitRange(from, to BinNumber) (BinNumber, BinNumber) {
	return max(from, to-BinNumber(l.settings.KeptBins)), to
}
