package counterfactual

import (
	"slices"

	"gonum.org/v1/gonum/stat"
)

const (
	minOutcomes   = 8  // outcomes of a stratum that count on their own; a stratum with fewer borrows those of neighbouring loads
	horizonMargin = 3  // buckets: an outcome censored so near the horizon lacks nothing
	unweighted    = -1 // instead of a rule: each outcome counts once
)

// stratum is what is known of the attempts of one request class from one zone at one host under about one load, over a range of
// bins.
type stratum struct {
	key                               Key
	mass, unreachable, squaredWeights [Rules]float64
	rows                              []*Row // its own first, then those borrowed
	ownRows                           int
	outcomes                          float64 // number of outcomes in rows
}

// strataTable holds the strata of a request class.
type strataTable struct {
	strata    []*stratum
	horizon   int     // bucket of the latency objective
	objective float64 // ns
	yield     func()
	hostName  func(uint32) string
	events    []float64 // scratch, by bucket
	censored  []float64
}

func newTable(target int64, pause func(), name func(uint32) string) *strataTable {
	t := &strataTable{objective: float64(target), horizon: Bucket(target), yield: pause, hostName: name}
	t.events, t.censored = make([]float64, neverBucket+1), make([]float64, neverBucket+1)
	return t
}

// add merges a cell into the stratum of a key.
func (t *strataTable) add(index map[Key]*stratum, k Key, cell *mergedCell) *stratum {
	s := index[k]
	if s == nil {
		s = &stratum{key: k}
		index[k] = s
		t.strata = append(t.strata, s)
	}
	for r := range Rules {
		s.mass[r] += float64(cell.mass[r]) / scale
		s.unreachable[r] += float64(cell.unreachable[r]) / scale
		s.squaredWeights[r] += float64(cell.squaredWeights[r]) / scale
	}
	for _, r := range cell.rows {
		s.rows = append(s.rows, r)
		s.outcomes += float64(r.Count)
	}
	return s
}

// sortStrata makes the sums below independent of the order in which parts arrived.
func (t *strataTable) sortStrata() {
	slices.SortFunc(t.strata, func(a, b *stratum) int { return a.key.compare(b.key) })
	for _, s := range t.strata {
		slices.SortFunc(s.rows, func(a, b *Row) int { return int(a.key()) - int(b.key()) })
		s.ownRows = len(s.rows)
	}
}

// borrowNeighbours lets strata with few outcomes use those at the next loads of the same host, which the weights make up for.
func (t *strataTable) borrowNeighbours(index map[Key]*stratum) {
	type loan struct {
		to   *stratum
		rows []*Row
	}
	var loans []loan
	for _, s := range t.strata {
		if s.outcomes >= minOutcomes {
			continue
		}
		l := loan{to: s}
		for _, d := range []int{-1, 1} {
			k := s.key
			k.LoadBand = uint8(int(k.LoadBand) + d)
			if o := index[k]; o != nil {
				l.rows = append(l.rows, o.rows...)
			}
		}
		loans = append(loans, l) // applied after the loop, so that nothing borrowed is lent on
	}
	for _, l := range loans {
		l.to.rows = append(l.to.rows, l.rows...)
		for _, r := range l.rows {
			l.to.outcomes += float64(r.Count)
		}
	}
}

// curve computes the distribution of the response time up to the horizon, by bucket, from the stratum's outcomes without those of
// group skip, each counted once or by its weight under a rule: the product-limit estimate (Kaplan and Meier 1958), for which an
// attempt censored at a time says "longer than that". It returns the sum of the weights, 0 if there are none, and the fraction that
// was censored too early to tell anything up to the horizon.
func (s *stratum) curve(t *strataTable, skip, rule int, curve []float64) (sum, censoredEarly float64) {
	clear(t.events)
	clear(t.censored)
	rows := s.rows
	if rule != unweighted { // weights stand for attempts that could have come just here
		rows = s.rows[:s.ownRows]
	}
	for _, r := range rows {
		if int(r.Group) == skip {
			continue
		}
		weight := float64(r.Count)
		if rule != unweighted {
			weight = float64(r.Weight[rule]) / scale
		}
		sum += weight
		if r.Censored {
			t.censored[r.Bucket] += weight
		} else {
			t.events[r.Bucket] += weight
		}
	}
	if sum == 0 {
		return 0, 0
	}
	survival, atRisk := 1.0, sum
	for b := range curve {
		if atRisk > 1e-9*sum {
			survival *= 1 - min(t.events[b]/atRisk, 1)
		} else if censoredEarly == 0 && b < t.horizon-horizonMargin {
			censoredEarly = survival
		}
		atRisk -= t.events[b] + t.censored[b]
		curve[b] = 1 - survival
	}
	return sum, censoredEarly
}

// ruleSums are the sums of one pass over the strata for a rule. Curves are not divided yet.
type ruleSums struct {
	direct, weighted, residual []float64
	mass, coveredMass          float64 // mass, and that in strata with enough outcomes
	weight, coveredWeight      float64
	censoredEarly              float64
}

// sum sums all strata for the rules, without the outcomes of group skip; -1 skips none. The masses stay whole: it is known where
// each rule would have sent the very same requests.
func (t *strataTable) sum(skip int, rules []Rule) map[Rule]*ruleSums {
	all := map[Rule]*ruleSums{}
	buckets := t.horizon + 1
	for _, r := range rules {
		all[r] = &ruleSums{direct: make([]float64, buckets), weighted: make([]float64, buckets), residual: make([]float64, buckets)}
	}
	curve, weightedCurve := make([]float64, buckets), make([]float64, buckets)
	for i, s := range t.strata {
		if t.yield != nil && i%16 == 0 {
			t.yield()
		}
		n, censoredEarly := s.curve(t, skip, unweighted, curve)
		if n == 0 {
			_, censoredEarly = s.curve(t, -1, unweighted, curve)
		}
		covered := s.outcomes >= minOutcomes
		for _, r := range rules {
			sums := all[r]
			sums.mass += s.mass[r]
			if covered {
				sums.coveredMass += s.mass[r]
				sums.censoredEarly += s.mass[r] * censoredEarly
				for b := range curve {
					sums.direct[b] += s.mass[r] * curve[b]
				}
			}
			w, _ := s.curve(t, skip, int(r), weightedCurve)
			sums.weight += w
			for b := range weightedCurve {
				sums.weighted[b] += w * weightedCurve[b]
			}
			if covered && w > 0 {
				sums.coveredWeight += w
				for b := range weightedCurve {
					sums.residual[b] += w * (weightedCurve[b] - curve[b])
				}
			}
		}
	}
	return all
}

// Estimator names a method of estimation.
type Estimator string

// Estimators.
const (
	Direct   Estimator = "direct"   // outcomes at the same host, request class and load, weighted by mass
	Weighted Estimator = "weighted" // outcomes weighted by the rule's probability over the one they had, self-normalized
	Robust   Estimator = "robust"   // direct, with its errors corrected by the weights (doubly robust)
)

// distribution returns the curve of an estimator, made monotonic between 0 and 1.
func (x *ruleSums) distribution(e Estimator) []float64 {
	curve := make([]float64, len(x.direct))
	highest := 0.0
	for b := range curve {
		switch e {
		case Direct:
			curve[b] = x.direct[b] / x.coveredMass
		case Weighted:
			curve[b] = x.weighted[b] / x.weight
		case Robust:
			if curve[b] = x.direct[b] / x.coveredMass; x.coveredWeight > 0 {
				curve[b] += x.residual[b] / x.coveredWeight
			}
		}
		highest = min(max(curve[b], highest), 1)
		curve[b] = highest
	}
	return curve
}

// moments returns mean and variance of the response time or the latency objective, whichever is less, in nanoseconds.
func (t *strataTable) moments(f []float64) (mean, variance float64) {
	values, weights := make([]float64, 0, len(f)+1), make([]float64, 0, len(f)+1)
	last := 0.0
	for b, p := range f {
		if p > last {
			values, weights = append(values, min(bucketTime(b), t.objective)), append(weights, p-last)
		}
		last = p
	}
	values, weights = append(values, t.objective), append(weights, 1-last)
	mean = stat.Mean(values, weights)
	for i, v := range values {
		variance += weights[i] * (v - mean) * (v - mean)
	}
	return mean, variance
}

// quantile returns the time that fraction p stays below, or false if that lies beyond the latency objective.
func (t *strataTable) quantile(f []float64, p float64) (float64, bool) {
	i, _ := slices.BinarySearch(f, p-1e-12)
	if i == len(f) {
		return t.objective, false
	}
	return min(bucketTime(i), t.objective), true
}

// effective returns the effective sample sizes (Kish) of an estimate by the weights and of one by the masses.
func (t *strataTable) effective(r Rule) (weighted, direct float64) {
	w, sq, want, per := 0.0, 0.0, 0.0, 0.0
	for _, s := range t.strata {
		sq += s.squaredWeights[r]
		if s.outcomes >= minOutcomes {
			want += s.mass[r]
			per += s.mass[r] * s.mass[r] / s.outcomes
		}
		for _, x := range s.rows[:s.ownRows] {
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

// groups returns the number of customer groups that the outcomes come from, and the number of equal groups that they are worth.
func (t *strataTable) groups() (n int, worth float64) {
	var by [Groups]float64
	for _, s := range t.strata {
		for _, r := range s.rows[:s.ownRows] {
			by[r.Group] += float64(r.Count)
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

// square returns x squared.
func square(x float64) float64 { return x * x }

// jackknife returns the variance of a figure from its values with each group left out in turn.
func jackknife(values []float64) float64 {
	mean, sum := stat.Mean(values, nil), 0.0
	for _, x := range values {
		sum += square(x - mean)
	}
	return sum * float64(len(values)-1) / float64(len(values))
}
