package counterfactual

import (
	"slices"

	"gonum.org/v1/gonum/stat"
)

const (
	fewest  = 8  // outcomes at a host and load that carry a mass; below, those at the loads next to it help out
	reach   = 3  // buckets: what is cut off so near the horizon lacks nothing
	byCount = -1 // in place of a rule: each outcome counts once
)

// stratum is what is known of one frontend's dispatches from one zone at one host at about one load, over a span.
type stratum struct {
	key            Key
	want, none, sq [Rules]float64
	rows           []*Row // its own first, then those lent
	own            int
	n              float64 // outcomes
}

// table holds a frontend's strata.
type table struct {
	strata  []*stratum
	horizon int     // bucket of the target
	target  float64 // ns
	pause   func()
	name    func(uint32) string
	events  []float64 // scratch, by bucket
	cuts    []float64
}

func newTable(target int64, pause func(), name func(uint32) string) *table {
	t := &table{target: float64(target), horizon: Bucket(target), pause: pause, name: name}
	t.events, t.cuts = make([]float64, never+1), make([]float64, never+1)
	return t
}

// add merges a pile into the stratum of a key.
func (t *table) add(index map[Key]*stratum, k Key, x *pile) *stratum {
	s := index[k]
	if s == nil {
		s = &stratum{key: k}
		index[k] = s
		t.strata = append(t.strata, s)
	}
	for r := range Rules {
		s.want[r] += float64(x.want[r]) / scale
		s.none[r] += float64(x.none[r]) / scale
		s.sq[r] += float64(x.sq[r]) / scale
	}
	for _, r := range x.rows {
		s.rows = append(s.rows, r)
		s.n += float64(r.N)
	}
	return s
}

// order makes the sums below independent of the order in which parts came.
func (t *table) order() {
	slices.SortFunc(t.strata, func(a, b *stratum) int { return a.key.compare(b.key) })
	for _, s := range t.strata {
		slices.SortFunc(s.rows, func(a, b *Row) int { return int(a.place()) - int(b.place()) })
		s.own = len(s.rows)
	}
}

// lend lets strata with few outcomes use those at the next loads of the same host, which the weights make up for.
func (t *table) lend(index map[Key]*stratum) {
	type loan struct {
		to   *stratum
		rows []*Row
	}
	var loans []loan
	for _, s := range t.strata {
		if s.n >= fewest {
			continue
		}
		l := loan{to: s}
		for _, d := range []int{-1, 1} {
			k := s.key
			k.Band = uint8(int(k.Band) + d)
			if o := index[k]; o != nil {
				l.rows = append(l.rows, o.rows...)
			}
		}
		loans = append(loans, l) // all are made after all are told: what is lent was not borrowed
	}
	for _, l := range loans {
		l.to.rows = append(l.to.rows, l.rows...)
		for _, r := range l.rows {
			l.to.n += float64(r.N)
		}
	}
}

// curve gives the distribution of the time up to the horizon in f, by bucket, from the stratum's outcomes but those
// of group skip, each counted once or by its weight under a rule: the product-limit estimate (Kaplan and Meier
// 1958), for which a dispatch cut off at a time says "longer than that". It gives the sum of the weights, 0 if there
// are none, and the part that was cut off too early to tell anything up to the horizon.
func (s *stratum) curve(t *table, skip, rule int, f []float64) (sum, loose float64) {
	clear(t.events)
	clear(t.cuts)
	rows := s.rows
	if rule != byCount { // the weights stand for dispatches that could have come just here
		rows = s.rows[:s.own]
	}
	for _, r := range rows {
		if int(r.Group) == skip {
			continue
		}
		w := float64(r.N)
		if rule != byCount {
			w = float64(r.Weight[rule]) / scale
		}
		sum += w
		if r.Cut {
			t.cuts[r.Bucket] += w
		} else {
			t.events[r.Bucket] += w
		}
	}
	if sum == 0 {
		return 0, 0
	}
	left, risk := 1.0, sum
	for b := range f {
		if risk > 1e-9*sum {
			left *= 1 - min(t.events[b]/risk, 1)
		} else if loose == 0 && b < t.horizon-reach {
			loose = left
		}
		risk -= t.events[b] + t.cuts[b]
		f[b] = 1 - left
	}
	return sum, loose
}

// sums are what one pass over the strata gives for a rule. Curves are not yet divided.
type sums struct {
	direct, weighted, residual []float64
	want, held                 float64 // mass, and the part of it in strata with outcomes enough
	weight, heldWeight         float64
	loose                      float64
}

// pass sums up all strata for the rules, with group skip left out of the outcomes; none is for -1. The masses stay:
// it is known where each rule would have sent the very same reqs.
func (t *table) pass(skip int, rules []Rule) map[Rule]*sums {
	all := map[Rule]*sums{}
	k := t.horizon + 1
	for _, r := range rules {
		all[r] = &sums{direct: make([]float64, k), weighted: make([]float64, k), residual: make([]float64, k)}
	}
	f, fw := make([]float64, k), make([]float64, k)
	for i, s := range t.strata {
		if t.pause != nil && i%16 == 0 {
			t.pause()
		}
		n, loose := s.curve(t, skip, byCount, f)
		if n == 0 {
			_, loose = s.curve(t, -1, byCount, f)
		}
		held := s.n >= fewest
		for _, r := range rules {
			x := all[r]
			x.want += s.want[r]
			if held {
				x.held += s.want[r]
				x.loose += s.want[r] * loose
				for b := range f {
					x.direct[b] += s.want[r] * f[b]
				}
			}
			w, _ := s.curve(t, skip, int(r), fw)
			x.weight += w
			for b := range fw {
				x.weighted[b] += w * fw[b]
			}
			if held && w > 0 {
				x.heldWeight += w
				for b := range fw {
					x.residual[b] += w * (fw[b] - f[b])
				}
			}
		}
	}
	return all
}

// Estimator names a way to a figure.
type Estimator string

const (
	Direct   Estimator = "direct"   // what was seen at the same host, frontend and load, by mass
	Weighted Estimator = "weighted" // the outcomes by the rule's chance over the chance they had, self-normalised
	Robust   Estimator = "robust"   // direct, with its errors made up for by the weights (doubly robust)
)

// distribution gives the curve of an estimator, made to rise from 0 to 1 at most.
func (x *sums) distribution(e Estimator) []float64 {
	f := make([]float64, len(x.direct))
	top := 0.0
	for b := range f {
		switch e {
		case Direct:
			f[b] = x.direct[b] / x.held
		case Weighted:
			f[b] = x.weighted[b] / x.weight
		case Robust:
			if f[b] = x.direct[b] / x.held; x.heldWeight > 0 {
				f[b] += x.residual[b] / x.heldWeight
			}
		}
		top = min(max(f[b], top), 1)
		f[b] = top
	}
	return f
}

// moments gives mean and variance of the time or the target, whichever is less, in nanoseconds.
func (t *table) moments(f []float64) (mean, variance float64) {
	values, weights := make([]float64, 0, len(f)+1), make([]float64, 0, len(f)+1)
	last := 0.0
	for b, p := range f {
		if p > last {
			values, weights = append(values, min(middle(b), t.target)), append(weights, p-last)
		}
		last = p
	}
	values, weights = append(values, t.target), append(weights, 1-last)
	mean = stat.Mean(values, weights)
	for i, v := range values {
		variance += weights[i] * (v - mean) * (v - mean)
	}
	return mean, variance
}

// quantile gives the time that part p stays below, and false where that lies beyond the target.
func (t *table) quantile(f []float64, p float64) (float64, bool) {
	i, _ := slices.BinarySearch(f, p-1e-12)
	if i == len(f) {
		return t.target, false
	}
	return min(middle(i), t.target), true
}

// effective gives the number of samples that an estimate by the weights, and one by the masses, is worth (Kish).
func (t *table) effective(r Rule) (weighted, direct float64) {
	w, sq, want, per := 0.0, 0.0, 0.0, 0.0
	for _, s := range t.strata {
		sq += s.sq[r]
		if s.n >= fewest {
			want += s.want[r]
			per += s.want[r] * s.want[r] / s.n
		}
		for _, x := range s.rows[:s.own] {
			w += float64(x.Weight[r]) / scale
		}
	}
	if sq > 0 {
		weighted = w * w / sq
	}
	if per > 0 {
		direct = want * want / per
	}
	return weighted, direct
}

// groups gives the number of groups of customers that the outcomes come from, and the number of groups of one size
// that they are worth.
func (t *table) groups() (n int, worth float64) {
	var by [Groups]float64
	for _, s := range t.strata {
		for _, r := range s.rows[:s.own] {
			by[r.Group] += float64(r.N)
		}
	}
	sum, sq := 0.0, 0.0
	for _, x := range by {
		if x > 0 {
			n++
		}
		sum += x
		sq += x * x
	}
	if sum == 0 {
		return 0, 0
	}
	return n, sum * sum / sq
}

func square(x float64) float64 { return x * x }

// jackknife gives the variance of a figure from its values with each group left out in turn.
func jackknife(without []float64) float64 {
	mean, sum := stat.Mean(without, nil), 0.0
	for _, x := range without {
		sum += square(x - mean)
	}
	return sum * float64(len(without)-1) / float64(len(without))
}
