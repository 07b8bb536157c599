package counterfactual

import (
	"cmp"
	"maps"
	"math"
	"slices"
)

// unknownAttempts is the value of missingAttempts if a gateway has no complete window from which to estimate it.
const unknownAttempts = -1

// IncompleteGateway is a gateway that has not reported all of its windows or attempts in a range of bins.
type IncompleteGateway struct {
	Gateway         uint32  `json:"gateway"`        // member index
	MissingWindows  int     `json:"windows"`        // windows of which a part, or all, has not arrived
	LostAttempts    int     `json:"lost,omitempty"` // attempts that are not in its cells, see SummaryPart.LostRecords
	Share           float64 `json:"part"`           // estimated missing attempts over all attempts in the range
	missingAttempts float64 // estimated, with LostAttempts; or unknownAttempts
}

// reportCoverage counts what one gateway has and has not reported in a range of bins.
type reportCoverage struct {
	attempts        float64 // attempts in the cells of complete windows
	completeWindows int     // number of windows of which all parts have arrived
	missingWindows  int     // number of windows of which a part, or all, has not arrived
	lostAttempts    int     // attempts that are not in the cells of windows of which any part has arrived
}

// incompleteGateways returns the gateways that have not reported all of the bins from..to, and the estimated fraction
// of all attempts that is missing with them. A gateway reports each window, even one without attempts, so that an idle
// gateway differs from a silent one. Windows and bins start at different times: a single window at either end of the
// range is not counted as missing.
func (l *Ledger) incompleteGateways(from, to BinNumber) (incomplete []IncompleteGateway, share float64) {
	attemptsByBin := l.reportedAttempts(from, to)
	reported := 0.0        // attempts in complete windows
	reportingGateways := 0 // gateways with a complete window
	for gateway := range uint32(l.settings.Gateways) {
		r := l.gateways[gateway]
		c := reportCoverage{missingWindows: int(to - from + 1)}
		if r != nil {
			c = r.coverage(from, to)
		}
		m := IncompleteGateway{
			Gateway:         gateway,
			MissingWindows:  c.missingWindows,
			LostAttempts:    c.lostAttempts,
			missingAttempts: float64(c.lostAttempts),
		}
		if c.completeWindows > 0 {
			if c.missingWindows > 0 { // use the larger estimate: idle complete windows make byWindows too small
				byWindows := float64(c.missingWindows) * c.attempts / float64(c.completeWindows)
				m.missingAttempts += max(byWindows, r.estimateUnreportedAttempts(attemptsByBin, c.attempts))
			}
			reported += c.attempts
			reportingGateways++
		} else {
			m.missingAttempts = unknownAttempts
		}
		if m.MissingWindows > 0 || m.LostAttempts > 0 {
			incomplete = append(incomplete, m)
		}
	}
	return incomplete, setShares(incomplete, reported, reportingGateways)
}

// setShares sets the share of each gateway and returns their sum. reported is the number of attempts in complete
// windows, reportingGateways that of the gateways that have such a window. A gateway with unknownAttempts is assumed to
// miss as many attempts as these gateways reported on average.
func setShares(incomplete []IncompleteGateway, reported float64, reportingGateways int) (share float64) {
	total := reported
	for i := range incomplete {
		if incomplete[i].missingAttempts == unknownAttempts && reportingGateways > 0 {
			incomplete[i].missingAttempts = reported / float64(reportingGateways)
		}
		total += max(incomplete[i].missingAttempts, 0)
	}
	for i := range incomplete {
		if total > 0 {
			incomplete[i].Share = max(incomplete[i].missingAttempts, 0) / total
		}
		share += incomplete[i].Share
	}
	return share
}

// reportedAttempts returns the attempts in the cells of complete windows of all gateways, by bin.
func (l *Ledger) reportedAttempts(from, to BinNumber) map[BinNumber]float64 {
	attemptsByBin := map[BinNumber]float64{}
	for _, r := range l.gateways {
		for _, w := range r.windows {
			if w.complete && from <= w.bin && w.bin <= to {
				attemptsByBin[w.bin] += w.summarizedAttempts()
			}
		}
	}
	return attemptsByBin
}

// summarizedAttempts returns the number of attempts that are in the window's cells.
func (w *window) summarizedAttempts() float64 { return float64(w.attempts - w.lostRecords) }

// estimateUnreportedAttempts estimates the attempts of a gateway in the bins that it did not report. It assumes that
// the gateway's fraction of all attempts there was that in the bins that it did report. attempts is the number that
// this gateway reported, attemptsByBin contains the numbers that all gateways reported.
func (r *reporter) estimateUnreportedAttempts(attemptsByBin map[BinNumber]float64, attempts float64) float64 {
	inReportedBins := 0.0
	inOtherBins := 0.0
	for bin, attemptsOfBin := range attemptsByBin {
		if r.hasReported(bin) {
			inReportedBins += attemptsOfBin
		} else {
			inOtherBins += attemptsOfBin
		}
	}
	return attempts / max(inReportedBins, 1) * inOtherBins
}

// hasReported reports whether the gateway has a complete window in a bin.
func (r *reporter) hasReported(bin BinNumber) bool {
	return slices.ContainsFunc(r.windows, func(w *window) bool { return w.complete && w.bin == bin })
}

// coverage returns how much the gateway has reported in the bins from..to.
func (r *reporter) coverage(from, to BinNumber) (c reportCoverage) {
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
			c.completeWindows++
			c.attempts += w.summarizedAttempts()
		}
		c.lostAttempts += int(w.lostRecords)
	}
	if len(incarnations) == 0 {
		c.missingWindows = int(to - from + 1)
		return c
	}
	expected := expectedWindows(incarnations, first-from) + max(int(to-last)-1, 0)
	c.missingWindows = expected - c.completeWindows
	return c
}

// expectedWindows returns the number of windows from the start of a range of bins up to the latest window that has
// arrived. incarnations has the windows in the range; binsBefore is the number of bins in the range before the first of
// them.
func expectedWindows(incarnations map[uint64][]*window, binsBefore BinNumber) (expected int) {
	for i, incarnation := range slices.Sorted(maps.Keys(incarnations)) {
		windows := incarnations[incarnation]
		slices.SortFunc(windows, func(a, b *window) int { return cmp.Compare(a.number, b.number) })
		firstNumber := windows[0].number // windows are numbered from 0, so that this many came before
		expected += int(windows[len(windows)-1].number-firstNumber) + 1
		if i > 0 { // the last window of the previous incarnation, and the earlier ones of this incarnation
			expected += 1 + int(firstNumber)
			continue
		}
		if firstNumber > 0 { // the gateway ran before the first window that arrived
			expected += max(int(min(binsBefore, BinNumber(firstNumber)))-1, 0)
		}
	}
	return expected
}
