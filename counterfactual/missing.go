package counterfactual

import (
	"cmp"
	"maps"
	"slices"
)

// unknownRequests stands for a gateway whose attempts can't be estimated from its own reports.
const unknownRequests = -1

// Missing names a gateway that has not reported everything.
type Missing struct {
	Gateway  uint32  `json:"gateway"`
	Windows  int     `json:"windows"`        // incomplete or missing windows
	Lost     int     `json:"lost,omitempty"` // attempts that it counted and did not fold
	Share    float64 `json:"part"`           // estimated fraction of the fleet's attempts in the range
	requests float64 // estimated attempts missing
}

// coverage is what one gateway reported in a range of bins.
type coverage struct {
	attempts float64 // in complete windows
	complete int     // complete windows
	missing  int     // windows that are not
	lost     int     // attempts that were not folded
}

// missing names the gateways that have not reported all of the bins from..to, and returns the estimated fraction of the attempts
// that is missing with them. A gateway reports each window, also one without attempts, so that silence and idleness differ. The
// bounds of windows and bins may differ by one.
func (l *Ledger) missing(from, to int64) (all []Missing, share float64) {
	byBin := l.reportedAttempts(from, to)
	reported, reporting := 0.0, 0 // attempts, and gateways with a complete window
	for gateway := range uint32(l.settings.Gateways) {
		r := l.gateways[gateway]
		c := coverage{missing: int(to - from + 1)}
		if r != nil {
			c = r.coverage(from, to)
		}
		m := Missing{Gateway: gateway, Windows: c.missing, Lost: c.lost, requests: float64(c.lost)}
		if c.complete > 0 {
			if c.missing > 0 { // idle times before or after must not make it look small
				byWindows := float64(c.missing) * c.attempts / float64(c.complete)
				m.requests += max(byWindows, r.estimateSilent(byBin, c.attempts))
			}
			reported += c.attempts
			reporting++
		} else {
			m.requests = unknownRequests
		}
		if m.Windows > 0 || m.Lost > 0 {
			all = append(all, m)
		}
	}
	return all, setShares(all, reported, reporting)
}

// setShares sets the share of each gateway and returns their sum. A gateway without an estimate counts as the mean of those that
// reported.
func setShares(all []Missing, reported float64, reporting int) (share float64) {
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

// reportedAttempts returns the attempts that the fleet reported in complete windows, by bin.
func (l *Ledger) reportedAttempts(from, to int64) map[int64]float64 {
	byBin := map[int64]float64{}
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

// estimateSilent estimates the attempts of a gateway in the bins that it did not report: its part of the fleet's attempts in the
// bins that it did report, times the fleet's attempts in the others.
func (r *reporter) estimateSilent(byBin map[int64]float64, attempts float64) float64 {
	with, without := 0.0, 0.0
	for bin, n := range byBin {
		if slices.ContainsFunc(r.windows, func(w *window) bool { return w.complete && w.bin == bin }) {
			with += n
		} else {
			without += n
		}
	}
	return attempts / max(with, 1) * without
}

// coverage returns what the gateway reported in the bins from..to.
func (r *reporter) coverage(from, to int64) (c coverage) {
	incarnations := map[uint64][]*window{}
	first, last := int64(1)<<62, int64(-1)
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
	expected := 0
	for i, incarnation := range slices.Sorted(maps.Keys(incarnations)) {
		windows := incarnations[incarnation]
		slices.SortFunc(windows, func(a, b *window) int { return cmp.Compare(a.number, b.number) })
		before := windows[0].number // windows of this incarnation before the first one seen
		expected += int(windows[len(windows)-1].number-before) + 1
		if i > 0 { // what the incarnation before had not reported, and what this one had not at first
			expected += 1 + int(before)
		} else if before > 0 { // it ran before the range
			expected += max(int(min(first-from, int64(before)))-1, 0)
		}
	}
	expected += max(int(to-last)-1, 0)
	c.missing = expected - c.complete
	return c
}
