package counterfactual

import "slices"

const (
	minOutcomes   = 8  // of a stratum; one with fewer borrows those of neighbouring loads
	horizonMargin = 3  // buckets: an outcome that is censored so close to the horizon lacks nothing
	unweighted    = -1 // instead of a rule: each outcome counts once
	noGroup       = -1 // instead of a customer group that is left out
)

// yieldInterval is the number of strata between two calls of Settings.Yield.
const yieldInterval = 16

// stratum contains the attempts of one request class from one zone at one host with loads in one band, over a range of
// bins.
type stratum struct {
	key            CellKey
	mass           [NumRules]float64
	unreachable    [NumRules]float64
	squaredWeights [NumRules]float64
	rows           []*Row // the stratum's, then borrowed ones
	ownRows        int    // number of rows that are not borrowed
	outcomes       float64
}

// strataTable contains the strata of a request class.
type strataTable struct {
	strata    []*stratum
	index     map[CellKey]*stratum
	horizon   int     // bucket of the latency objective
	objective float64 // nanoseconds
	yield     func()
	hostName  func(uint32) string
	events    []float64 // scratch, by bucket
	censored  []float64 // scratch, by bucket
}

// newTable returns an empty table of a request class.
func (l *Ledger) newTable(class int) *strataTable {
	objective := l.settings.Objectives[class]
	return &strataTable{
		index:     map[CellKey]*stratum{},
		horizon:   LatencyBucket(objective),
		objective: float64(objective),
		yield:     l.settings.Yield,
		hostName:  l.hostName,
		events:    make([]float64, neverBucket+1),
		censored:  make([]float64, neverBucket+1),
	}
}

// add merges a cell into the stratum of a key, which it returns.
func (t *strataTable) add(key CellKey, cell *mergedCell) *stratum {
	s := t.index[key]
	if s == nil {
		s = &stratum{key: key}
		t.index[key] = s
		t.strata = append(t.strata, s)
	}
	for rule := range NumRules {
		s.mass[rule] += float64(cell.mass[rule]) / scale
		s.unreachable[rule] += float64(cell.unreachable[rule]) / scale
		s.squaredWeights[rule] += float64(cell.squaredWeights[rule]) / scale
	}
	for _, row := range cell.rows {
		s.rows = append(s.rows, row)
		s.outcomes += float64(row.Count)
	}
	return s
}

// complete is called once all cells are added.
func (t *strataTable) complete() {
	t.sortStrata()
	t.borrowNeighbours()
}

// sortStrata makes sums independent of the order in which parts arrived.
func (t *strataTable) sortStrata() {
	slices.SortFunc(t.strata, func(a, b *stratum) int { return a.key.compare(b.key) })
	for _, s := range t.strata {
		slices.SortFunc(s.rows, func(a, b *Row) int { return int(a.key()) - int(b.key()) })
		s.ownRows = len(s.rows)
	}
}

// borrowNeighbours adds to strata with few outcomes those of the neighbouring loads at the same host. The weights
// correct for the difference.
func (t *strataTable) borrowNeighbours() {
	borrowed := map[*stratum][]*Row{} // added after the loop, so that borrowed rows are not borrowed again
	for _, s := range t.strata {
		if s.outcomes < minOutcomes {
			borrowed[s] = t.neighbourRows(s.key)
		}
	}
	for s, rows := range borrowed {
		s.rows = append(s.rows, rows...)
		for _, row := range rows {
			s.outcomes += float64(row.Count)
		}
	}
}

// neighbourRows returns the rows of the next lower and the next higher load band.
func (t *strataTable) neighbourRows(key CellKey) (rows []*Row) {
	for _, step := range []int{-1, 1} {
		neighbour := key
		neighbour.LoadBand = uint8(int(key.LoadBand) + step)
		if s := t.index[neighbour]; s != nil {
			rows = append(rows, s.rows...)
		}
	}
	return rows
}

// collect distributes the stratum's outcomes without those of a group over the table's scratch, each counted once or by
// its weight under a rule. It returns the sum.
func (s *stratum) collect(t *strataTable, skippedGroup, rule int) (sum float64) {
	clear(t.events)
	clear(t.censored)
	rows := s.rows
	if rule != unweighted { // weights are of attempts that could have come to just this stratum
		rows = s.rows[:s.ownRows]
	}
	for _, row := range rows {
		if int(row.Group) == skippedGroup {
			continue
		}
		weight := float64(row.Count)
		if rule != unweighted {
			weight = float64(row.Weights[rule]) / scale
		}
		sum += weight
		if row.Censored {
			t.censored[row.Bucket] += weight
		} else {
			t.events[row.Bucket] += weight
		}
	}
	return sum
}

// curve computes the distribution of the response time up to the horizon, by bucket, from the collected outcomes. It is
// the product-limit estimate (Kaplan and Meier 1958), for which an attempt censored at a time has a longer one. curve
// returns the sum of the weights, 0 if there are none, and the fraction that was censored too early to say anything of
// the times up to the horizon.
func (s *stratum) curve(t *strataTable, skippedGroup, rule int, curve []float64) (sum, censoredEarly float64) {
	sum = s.collect(t, skippedGroup, rule)
	if sum == 0 {
		return 0, 0
	}
	survival := 1.0
	atRisk := sum
	for bucket := range curve {
		if atRisk > 1e-9*sum {
			survival *= 1 - min(t.events[bucket]/atRisk, 1)
		} else if censoredEarly == 0 && bucket < t.horizon-horizonMargin {
			censoredEarly = survival
		}
		atRisk -= t.events[bucket] + t.censored[bucket]
		curve[bucket] = 1 - survival
	}
	return sum, censoredEarly
}

// effectiveSizes returns the effective sample sizes (Kish) of an estimate by the weights and of one by the masses.
func (t *strataTable) effectiveSizes(rule Rule) (weighted, direct float64) {
	weight, squaredWeight := 0.0, 0.0
	mass, squaredMass := 0.0, 0.0
	for _, s := range t.strata {
		squaredWeight += s.squaredWeights[rule]
		if s.outcomes >= minOutcomes {
			mass += s.mass[rule]
			squaredMass += s.mass[rule] * s.mass[rule] / s.outcomes
		}
		for _, row := range s.rows[:s.ownRows] {
			weight += float64(row.Weights[rule]) / scale
		}
	}
	if squaredWeight > 0 {
		weighted = weight * weight / squaredWeight
	}
	if squaredMass > 0 {
		direct = mass * mass / squaredMass
	}
	return weighted, direct
}

// groups returns the number of customer groups with outcomes, and the number of equal groups with the same variance.
func (t *strataTable) groups() (number int, effective float64) {
	var outcomes [NumCustomerGroups]float64
	for _, s := range t.strata {
		for _, row := range s.rows[:s.ownRows] {
			outcomes[row.Group] += float64(row.Count)
		}
	}
	sum := 0.0
	squares := 0.0
	for _, count := range outcomes {
		if count > 0 {
			number++
		}
		sum += count
		squares += count * count
	}
	if sum == 0 {
		return 0, 0
	}
	return number, sum * sum / squares
}

// hasGroup reports whether any outcome is of a customer group.
func (t *strataTable) hasGroup(group int) bool {
	return slices.ContainsFunc(t.strata, func(s *stratum) bool {
		return slices.ContainsFunc(s.rows[:s.ownRows], func(r *Row) bool { return int(r.Group) == group })
	})
}

// unreachable returns the mass of a rule where its host could not have been chosen.
func (t *strataTable) unreachable(rule Rule) (mass float64) {
	for _, s := range t.strata {
		mass += s.unreachable[rule]
	}
	return mass
}

// allHostsSeen reports whether each host with a large mass of a rule has outcomes: weights say nothing of one without.
func (t *strataTable) allHostsSeen(rule Rule) bool {
	mass := map[uint32]float64{}
	outcomes := map[uint32]float64{}
	total := 0.0
	for _, s := range t.strata {
		mass[s.key.Host] += s.mass[rule]
		total += s.mass[rule]
		for _, row := range s.rows[:s.ownRows] {
			outcomes[s.key.Host] += float64(row.Count)
		}
	}
	for host, hostMass := range mass {
		if hostMass > maxLacking*total/4 && outcomes[host] < minOutcomes {
			return false
		}
	}
	return true
}
