package counterfactual

import "slices"

const (
	minOutcomes     = 8  // outcomes that a stratum needs; one with fewer borrows those of neighboring loads
	objectiveMargin = 3  // buckets below the latency objective in which censoring is not too early
	unweighted      = -1 // passed instead of a rule: each outcome has weight 1
	noGroup         = -1 // passed instead of a customer group: none is left out
)

// strataPerYield is the number of strata that are handled between two calls of Settings.Yield.
const strataPerYield = 16

// stratum is the sum of the cells with one key over a range of bins: attempts of one request class from gateways in one
// zone, at one host process with loads in one band.
type stratum struct {
	key            CellKey
	mass           [NumRules]float64 // number of attempts that the rule would have sent to the host
	unreachable    [NumRules]float64 // part of mass for which the gateway could not have chosen the host
	squaredWeights [NumRules]float64 // sum of the squared importance weights of the outcomes
	rows           []*Row            // the stratum's own ones, then borrowed ones
	ownRows        int               // number of rows that are the stratum's own
	outcomes       float64           // number of outcomes, with borrowed ones
}

// strataTable contains the strata of a request class over a range of bins. It is filled by add, then by one call of
// finalize. It is not safe for concurrent use: its methods share scratch memory.
type strataTable struct {
	strata          []*stratum
	index           map[CellKey]*stratum
	objectiveBucket int                 // bucket of the latency objective, the last one of a cdf
	objective       float64             // latency objective in nanoseconds
	yield           func()              // Settings.Yield
	hostName        func(uint32) string // Ledger.hostName
	events          []float64           // scratch of fillHistograms: weight of the uncensored outcomes by bucket
	censored        []float64           // scratch of fillHistograms: weight of the censored outcomes by bucket
}

// newTable returns an empty table of a request class, given by its index.
func (l *Ledger) newTable(class int) *strataTable {
	objective := l.settings.Objectives[class]
	return &strataTable{
		index:           map[CellKey]*stratum{},
		objectiveBucket: LatencyBucket(objective),
		objective:       float64(objective),
		yield:           l.settings.Yield,
		hostName:        l.hostName,
		events:          make([]float64, noResponseBucket+1),
		censored:        make([]float64, noResponseBucket+1),
	}
}

// add adds a cell to the stratum of a key, which may differ from the cell's, and returns the stratum. The table refers
// to the cell's rows from then on.
func (t *strataTable) add(key CellKey, cell *mergedCell) *stratum {
	s := t.index[key]
	if s == nil {
		s = &stratum{key: key}
		t.index[key] = s
		t.strata = append(t.strata, s)
	}
	for rule := range NumRules {
		s.mass[rule] += float64(cell.mass[rule]) / fixedPointScale
		s.unreachable[rule] += float64(cell.unreachable[rule]) / fixedPointScale
		s.squaredWeights[rule] += float64(cell.squaredWeights[rule]) / fixedPointScale
	}
	for _, row := range cell.rows {
		s.rows = append(s.rows, row)
		s.outcomes += float64(row.Count)
	}
	return s
}

// finalize sorts the strata and adds the borrowed rows. It must be called once, after all cells are added.
func (t *strataTable) finalize() {
	t.sortStrata()
	t.borrowNeighbors()
}

// sortStrata sorts strata and rows, so that floating-point sums do not depend on the order in which parts arrived.
func (t *strataTable) sortStrata() {
	slices.SortFunc(t.strata, func(a, b *stratum) int { return a.key.compare(b.key) })
	for _, s := range t.strata {
		slices.SortFunc(s.rows, func(a, b *Row) int { return int(a.key()) - int(b.key()) })
		s.ownRows = len(s.rows)
	}
}

// borrowNeighbors adds to each stratum with fewer than minOutcomes outcomes the rows of the neighboring load bands at
// the same host process. The weights, as in estimator Robust, correct for the difference in load.
func (t *strataTable) borrowNeighbors() {
	borrowed := map[*stratum][]*Row{} // added after the loop, so that borrowed rows are not borrowed again
	for _, s := range t.strata {
		if s.outcomes < minOutcomes {
			borrowed[s] = t.neighborRows(s.key)
		}
	}
	for s, rows := range borrowed {
		s.rows = append(s.rows, rows...)
		for _, row := range rows {
			s.outcomes += float64(row.Count)
		}
	}
}

// neighborRows returns the rows of the strata in the next lower and the next higher load band.
func (t *strataTable) neighborRows(key CellKey) (rows []*Row) {
	for _, step := range []int{-1, 1} {
		neighbor := key
		neighbor.LoadBand = uint8(int(key.LoadBand) + step)
		if s := t.index[neighbor]; s != nil {
			rows = append(rows, s.rows...)
		}
	}
	return rows
}

// fillHistograms sets the histograms t.events and t.censored to the stratum's outcomes, without those of skippedGroup,
// and returns the sum of their weights. The weights are those of a rule, or 1 if the rule is unweighted.
func (s *stratum) fillHistograms(t *strataTable, skippedGroup, rule int) (sum float64) {
	clear(t.events)
	clear(t.censored)
	rows := s.rows
	if rule != unweighted { // the weights of borrowed rows hold only in their own stratum
		rows = s.rows[:s.ownRows]
	}
	for _, row := range rows {
		if int(row.Group) == skippedGroup {
			continue
		}
		weight := float64(row.Count)
		if rule != unweighted {
			weight = float64(row.Weights[rule]) / fixedPointScale
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

// cdf sets cdf[b] to the fraction of response times up to bucket b, from the outcomes without those of skippedGroup.
// The weights are those of a rule, or 1 if the rule is unweighted. cdf must have a length of objectiveBucket+1. It is
// the product-limit estimate (Kaplan and Meier 1958), which takes the response time of an attempt that was censored at
// a time to be longer. The method returns the sum of the weights, and the fraction of attempts that were censored too
// early for their distribution up to the latency objective to be known. If the sum is 0, cdf is not set.
func (s *stratum) cdf(t *strataTable, skippedGroup, rule int, cdf []float64) (sum, censoredEarly float64) {
	sum = s.fillHistograms(t, skippedGroup, rule)
	if sum == 0 {
		return 0, 0
	}
	survival := 1.0
	atRisk := sum
	for bucket := range cdf {
		if atRisk > 1e-9*sum {
			survival *= 1 - min(t.events[bucket]/atRisk, 1)
		} else if censoredEarly == 0 && bucket < t.objectiveBucket-objectiveMargin {
			censoredEarly = survival
		}
		atRisk -= t.events[bucket] + t.censored[bucket]
		cdf[bucket] = 1 - survival
	}
	return sum, censoredEarly
}

// effectiveSampleSizes returns the effective sample sizes (Kish) of estimates by the importance weights of a rule and
// by its masses.
func (t *strataTable) effectiveSampleSizes(rule Rule) (weighted, direct float64) {
	weight, squaredWeight := 0.0, 0.0
	mass, squaredMass := 0.0, 0.0
	for _, s := range t.strata {
		squaredWeight += s.squaredWeights[rule]
		if s.outcomes >= minOutcomes {
			mass += s.mass[rule]
			squaredMass += s.mass[rule] * s.mass[rule] / s.outcomes
		}
		for _, row := range s.rows[:s.ownRows] {
			weight += float64(row.Weights[rule]) / fixedPointScale
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

// customerGroups returns the number of customer groups with outcomes and their effective number: that of groups of
// equal size that would give the same variance.
func (t *strataTable) customerGroups() (number int, effective float64) {
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

// hasGroup reports whether a customer group has an outcome in any stratum.
func (t *strataTable) hasGroup(group int) bool {
	return slices.ContainsFunc(t.strata, func(s *stratum) bool {
		return slices.ContainsFunc(s.rows[:s.ownRows], func(r *Row) bool { return int(r.Group) == group })
	})
}

// unreachableMass returns the number of attempts that a rule would have sent to hosts that the gateway could not
// choose.
func (t *strataTable) unreachableMass(rule Rule) (mass float64) {
	for _, s := range t.strata {
		mass += s.unreachable[rule]
	}
	return mass
}

// allHostsObserved reports whether each host to which a rule would have sent many attempts has outcomes. Importance
// weights can't estimate the response times of a host without outcomes.
func (t *strataTable) allHostsObserved(rule Rule) bool {
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
		if hostMass > maxSparseShare*total/4 && outcomes[host] < minOutcomes {
			return false
		}
	}
	return true
}
