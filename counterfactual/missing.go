package counterfactual

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

// unknownRequests is the number for a gateway whose attempts can't be estimated from its reports.
const unknownRequests = -1

// IncompleteGateway is a gateway with incomplete reports.
type IncompleteGateway struct {
	Gateway        uint32  `json:"gateway"`
	MissingWindows int     `json:"windows"`        // incomplete or missing windows
	LostAttempts   int     `json:"lost,omitempty"` // attempts that it counted and did not fold
	Share          float64 `json:"part"`           // estimated fraction of all attempts in the range
	requests       float64 // estimated missing attempts
}

// coverage describes the reports of one gateway in a range of bins.
type coverage struct {
	attempts float64 // in complete windows
	complete int     // complete windows
	missing  int     // incomplete or missing windows
	lost     int     // attempts that were not folded
}

// missing returns the gateways that have not reported all of the bins from..to, and the estimated fraction of all
// attempts that is missing with them. A gateway reports each window, even one without attempts, so that silence and
// idleness differ. The bounds of windows and bins may differ by one.
func (l *Ledger) missing(from, to BinNumber) (all []IncompleteGateway, share float64) {
	byBin := l.reportedAttempts(from, to)
	reported := 0.0 // attempts
	reporting := 0  // gateways with a complete window
	for gateway := range uint32(l.settings.Gateways) {
		r := l.gateways[gateway]
		c := coverage{missing: int(to - from + 1)}
		if r != nil {
			c = r.coverage(from, to)
		}
		m := IncompleteGateway{Gateway: gateway, MissingWindows: c.missing, LostAttempts: c.lost, requests: float64(c.lost)}
		if c.complete > 0 {
			if c.missing > 0 { // the larger estimate: idle times before or after make the first one small
				byWindows := float64(c.missing) * c.attempts / float64(c.complete)
				m.requests += max(byWindows, r.estimateSilent(byBin, c.attempts))
			}
			reported += c.attempts
			reporting++
		} else {
			m.requests = unknownRequests
		}
		if m.MissingWindows > 0 || m.LostAttempts > 0 {
			all = append(all, m)
		}
	}
	return all, setShares(all, reported, reporting)
}

// setShares sets the share of each gateway and returns their sum. A gateway without an estimate counts as the mean of
// those that reported.
func setShares(all []IncompleteGateway, reported float64, reporting int) (share float64) {
	total := reported
	for i := range all {
		if all[i].requests == unknownRequests && reporting > 0 {
			all[i].requests = reported / float64(reporting)
		}
		total += max(all[i].requests, 0)
	}
	for i := range all {
		if total > 0 {
			all[i].Share = max(all[i].requests, 0) / total
		}
		share += all[i].Share
	}
	return share
}

// reportedAttempts returns the attempts that all gateways reported in complete windows, by bin.
func (l *Ledger) reportedAttempts(from, to BinNumber) map[BinNumber]float64 {
	byBin := map[BinNumber]float64{}
	for _, r := range l.gateways {
		for _, w := range r.windows {
			if w.complete && from <= w.bin && w.bin <= to {
				byBin[w.bin] += w.folded()
			}
		}
	}
	return byBin
}

// folded returns the number of attempts that were folded.
func (w *window) folded() float64 { return float64(w.attempts - w.lostRecords) }

// estimateSilent estimates the attempts of a gateway in the bins that it did not report: its fraction of all attempts
// in the bins that it did report, times all attempts in the others.
func (r *reporter) estimateSilent(byBin map[BinNumber]float64, attempts float64) float64 {
	with := 0.0
	without := 0.0
	for bin, attemptsOfBin := range byBin {
		if r.hasReported(bin) {
			with += attemptsOfBin
		} else {
			without += attemptsOfBin
		}
	}
	return attempts / max(with, 1) * without
}

// hasReported reports whether the gateway has a complete window in a bin.
func (r *reporter) hasReported(bin BinNumber) bool {
	return slices.ContainsFunc(r.windows, func(w *window) bool { return w.complete && w.bin == bin })
}

// coverage describes the gateway's reports in the bins from..to.
func (r *reporter) coverage(from, to BinNumber) (c coverage) {
	incarnations := map[uint64][]*window{}
	first := BinNumber(math.MaxInt64)
	last := BinNumber(-1)
	for _, w := range r.windows {
		if w.bin < from || w.bin > to {
			continue
		}
		incarnations[w.incarnation] = append(incarnations[w.incarnation], w)
		first = min(first, w.bin)
		last = max(last, w.bin)
		if w.complete {
			c.complete++
			c.attempts += w.folded()
		}
		c.lost += int(w.lostRecords)
	}
	if len(incarnations) == 0 {
		c.missing = int(to - from + 1)
		return c
	}
	expected := expectedWindows(incarnations, first-from) + max(int(to-last)-1, 0)
	c.missing = expected - c.complete
	return c
}

// expectedWindows returns the number of windows up to the latest one, given the bins of the range before the first one.
func expectedWindows(incarnations map[uint64][]*window, binsBefore BinNumber) (expected int) {
	for i, incarnation := range slices.Sorted(maps.Keys(incarnations)) {
		windows := incarnations[incarnation]
		slices.SortFunc(windows, func(a, b *window) int { return cmp.Compare(a.number, b.number) })
		firstNumber := windows[0].number // also the number of earlier windows of this incarnation
		expected += int(windows[len(windows)-1].number-firstNumber) + 1
		if i > 0 { // the last window of the previous incarnation, and the earlier ones of this incarnation
			expected += 1 + int(firstNumber)
			continue
		}
		if firstNumber > 0 { // the gateway ran before the range
			expected += max(int(min(binsBefore, BinNumber(firstNumber)))-1, 0)
		}
	}
	return expected
}
