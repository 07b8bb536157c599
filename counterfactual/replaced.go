package counterfactual

import (
	"maps"
	"math"
	"slices"
)

const (
	rateBands = 4 // bands of a host's rate an octave
	around    = 1 // bins to each side that a rate is told over
)

// process is one life of a host.
type process struct{ host, born uint32 }

// Replaced answers what a frontend's dispatches of the bins from..to would have met, had the rule chosen for a part
// of the whole fleet's dispatches, of all frontends: then the loads move with the rule. How a host's time grows with
// the dispatches it gets is read off the bins in which it got about as many as the rule would have sent it; there is
// no answer beyond the range seen, and none for rules that follow the load: the loads that they would have
// followed are not those that were seen.
func (l *Ledger) Replaced(frontend int, r Rule, part float64, from, to int64) Answer {
	from, to = l.span(from, to)
	missing, absent := l.missing(from, to)
	a := Answer{Question: "replaced", Rule: r.String(), Frontend: l.set.Names[frontend], Part: part,
		Missing: missing, Absent: absent}
	switch {
	case r == Least || r == Two:
		a.Refused = FollowsLoad
	case r == Single || r < 0 || r >= Rules || !(part > 0 && part <= 1):
		a.Refused = NoOverlap + ": a rule that chooses for a part from 0 to 1 wanted"
	}
	t := newTable(l.set.Targets[frontend], l.set.Pause, l.name)
	if a.Refused != "" {
		t.figures(&a, r, nil, nil)
		return a
	}
	was, now := map[process]map[int64]float64{}, map[process]map[int64]float64{} // dispatches got
	for at := from; at <= to; at++ {
		if b := l.bins[at]; b != nil {
			for k, x := range b.cells {
				p := process{k.Host, k.Born}
				if was[p] == nil {
					was[p], now[p] = map[int64]float64{}, map[int64]float64{}
				}
				was[p][at] += float64(x.want[Logged]) / scale
				now[p][at] += ((1-part)*float64(x.want[Logged]) + part*float64(x.want[r])) / scale
			}
		}
	}
	rate := func(by map[int64]float64, at int64) uint8 {
		sum, n := 0.0, 0.0
		for i := max(at-around, from); i <= min(at+around, to); i++ {
			sum += by[i]
			n++
		}
		if sum <= 0 {
			return 0
		}
		return uint8(min(max(int(math.Floor(rateBands*math.Log2(sum/n)+0.5))+64, 1), 255))
	}
	// What would have come is asked of the bins at the rate that it makes; what came is told of its own.
	index := map[Key]*stratum{}
	for at := from; at <= to; at++ {
		b := l.bins[at]
		if b == nil {
			continue
		}
		for _, k := range slices.SortedFunc(maps.Keys(b.cells), Key.compare) {
			x, p := b.cells[k], process{k.Host, k.Born}
			if int(k.Frontend) != frontend {
				continue
			}
			asked, told := k, k
			asked.Band, told.Band = rate(now[p], at), rate(was[p], at)
			t.add(index, told, &pile{rows: x.rows}).want[Logged] += float64(x.want[Logged]) / scale
			s := t.add(index, asked, &pile{})
			s.want[r] += ((1-part)*float64(x.want[Logged]) + part*float64(x.want[r])) / scale
		}
	}
	t.order()
	t.lend(index)
	a = l.answers(t, frontend, []Rule{r}, missing, absent, Direct)[0]
	a.Question, a.Part = "replaced", part
	return a
}
