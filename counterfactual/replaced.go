package counterfactual

import (
	"maps"
	"math"
	"slices"
)

const (
	bandsPerOctave = 4 // bands of a host's attempt rate in an octave
	rateSpan       = 1 // bins to each side that a rate is averaged over
)

// hostProcess is one incarnation of a host.
type hostProcess struct{ host, incarnation uint32 }

// Replaced estimates what the attempts of a request class in the bins from..to would have met if the rule had chosen for a fraction
// of the whole fleet's attempts, of all request classes, so that the loads move with the rule. How a host's time grows with its
// attempts is taken from the bins in which it got about as many as the rule would have sent it; there is no answer outside the
// range seen, and none for rules that follow the load: the loads that they would have followed were not seen.
func (l *Ledger) Replaced(class int, r Rule, share float64, from, to int64) Answer {
	from, to = l.boundSpan(from, to)
	missing, absent := l.missing(from, to)
	a := Answer{Question: "replaced", Rule: r.String(), Class: l.settings.Classes[class], Share: share,
		Missing: missing, MissingShare: absent}
	switch {
	case r == LeastLoaded || r == PowerOfTwo:
		a.Refused = FollowsLoad
	case r == OneHost || r < 0 || r >= Rules || !(share > 0 && share <= 1):
		a.Refused = NoOverlap + ": a rule that chooses for a part from 0 to 1 wanted"
	}
	t := newTable(l.settings.Objectives[class], l.settings.Yield, l.hostName)
	if a.Refused != "" {
		t.figures(&a, r, nil, nil)
		return a
	}
	before, after := map[hostProcess]map[int64]float64{}, map[hostProcess]map[int64]float64{} // attempts by bin
	for at := from; at <= to; at++ {
		if b := l.bins[at]; b != nil {
			for k, x := range b.cells {
				p := hostProcess{k.Host, k.Incarnation}
				if before[p] == nil {
					before[p], after[p] = map[int64]float64{}, map[int64]float64{}
				}
				before[p][at] += float64(x.mass[Logged]) / scale
				after[p][at] += ((1-share)*float64(x.mass[Logged]) + share*float64(x.mass[r])) / scale
			}
		}
	}
	rate := func(by map[int64]float64, at int64) uint8 {
		sum, n := 0.0, 0.0
		for i := max(at-rateSpan, from); i <= min(at+rateSpan, to); i++ {
			sum += by[i]
			n++
		}
		if sum <= 0 {
			return 0
		}
		return uint8(min(max(int(math.Floor(bandsPerOctave*math.Log2(sum/n)+0.5))+64, 1), 255))
	}
	// The rule's mass is placed at the rates that the rule would make; the outcomes stay at their own.
	index := map[Key]*stratum{}
	for at := from; at <= to; at++ {
		b := l.bins[at]
		if b == nil {
			continue
		}
		for _, k := range slices.SortedFunc(maps.Keys(b.cells), Key.compare) {
			x, p := b.cells[k], hostProcess{k.Host, k.Incarnation}
			if int(k.Class) != class {
				continue
			}
			asked, told := k, k
			asked.LoadBand, told.LoadBand = rate(after[p], at), rate(before[p], at)
			t.add(index, told, &mergedCell{rows: x.rows}).mass[Logged] += float64(x.mass[Logged]) / scale
			s := t.add(index, asked, &mergedCell{})
			s.mass[r] += ((1-share)*float64(x.mass[Logged]) + share*float64(x.mass[r])) / scale
		}
	}
	t.sortStrata()
	t.borrowNeighbours(index)
	a = l.answers(t, class, []Rule{r}, missing, absent, Direct)[0]
	a.Question, a.Share = "replaced", share
	return a
}
