package counterfactual

import "strconv"

// panelRules are the rules of Ledger.Panel.
var panelRules = []Rule{Logged, NextInRank, LeastLoaded, PowerOfTwo, Random, OtherZone}

// EstimateRules estimates for each rule but OneHost the response times of the attempts of a request class in the bins from..to
// if a single one of them had been moved at a time: the loads stay as they were.
func (l *Ledger) EstimateRules(class int, from, to BinNumber) []Answer {
	from, to = l.boundSpan(from, to)
	return l.newEstimation(class, l.strata(class, from, to), from, to).answers(panelRules)
}

// EstimateSingleHost estimates the same for a single host, over the attempts that could have gone there; Covers is their
// fraction.
func (l *Ledger) EstimateSingleHost(class int, host uint32, from, to BinNumber) Answer {
	from, to = l.boundSpan(from, to)
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
	a := l.newEstimation(class, t, from, to).answers([]Rule{OneHost})[0]
	a.Host = l.hostName(host)
	a.HostNumber = host
	a.Regret = Figure{Refused: "a single host has none"}
	a.Coverage = 0
	if total > 0 {
		a.Coverage = a.Attempts / total
	}
	return a
}

// newEstimation returns the estimation from the strata of a request class over the bins from..to.
func (l *Ledger) newEstimation(class int, t *strataTable, from, to BinNumber) *estimation {
	missing, missingShare := l.missing(from, to)
	return &estimation{
		class:        l.settings.Classes[class],
		table:        t,
		missing:      missing,
		missingShare: missingShare,
		maxMissing:   l.settings.MaxMissingShare,
	}
}

// strata collects the strata of a request class over the bins from..to.
func (l *Ledger) strata(class int, from, to BinNumber) *strataTable {
	t := l.newTable(class)
	for _, bin := range l.binsBetween(from, to) {
		for key, cell := range bin.cells {
			if int(key.Class) == class {
				t.add(key, cell)
			}
		}
	}
	t.complete()
	return t
}

// hostName returns a host's id, or its number if the id is not known.
func (l *Ledger) hostName(host uint32) string {
	if l.settings.HostID != nil {
		if id := l.settings.HostID(host); id != "" {
			return id
		}
	}
	return strconv.FormatUint(uint64(host), 10)
}

// boundSpan limits a range of bins to those that can be kept, which bounds the cost of a query.
func (l *Ledger) boundSpan(from, to BinNumber) (BinNumber, BinNumber) {
	return max(from, to-BinNumber(l.settings.KeptBins)), to
}
