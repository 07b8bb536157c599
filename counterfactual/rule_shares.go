package counterfactual

import (
	"math"
	"slices"
)

const (
	maxZone              = 255
	probabilityTolerance = 1e-3 // of the sum of a record's probabilities
)

// ruleShares are, for one record, the hosts to which each rule would have sent the attempt, and how probable the chosen
// host was under the rule, over customers. Its slices are reused for the next record.
type ruleShares struct {
	mass   [NumRules][]float64 // by candidate: the fraction of the attempt that the rule sends there
	weight [NumRules]float64   // of the outcome at the chosen host: the rule's probability over the actual one

	loads          []float64 // sorted
	eligible       float64   // number of eligible candidates
	eligibleByZone []float64
}

// compute sets the shares of a record. It returns false if the record is invalid.
func (s *ruleShares) compute(candidates []Candidate) bool {
	if len(candidates) == 0 || len(candidates) > MaxCandidates || !(candidates[0].Probability > 0) {
		return false
	}
	if !s.count(candidates) {
		return false
	}
	s.reset(len(candidates))
	s.setLogged()
	s.setNextInRank(candidates)
	s.setLeastLoaded(candidates)
	s.setRandomAndOneHost(candidates)
	s.setPowerOfTwo(candidates)
	s.setOtherZone(candidates)
	s.setWeights(candidates[0])
	return true
}

// count counts eligible candidates and sorts the loads. It returns false if the candidates are invalid.
func (s *ruleShares) count(candidates []Candidate) bool {
	s.loads = s.loads[:0]
	s.eligible = 0
	s.eligibleByZone = s.eligibleByZone[:0]
	sum := 0.0
	for i := range candidates {
		candidate := &candidates[i]
		if !candidate.valid() {
			return false
		}
		s.loads = append(s.loads, candidate.Load)
		sum += candidate.Probability
		for len(s.eligibleByZone) <= candidate.Zone {
			s.eligibleByZone = append(s.eligibleByZone, 0)
		}
		if candidate.Probability > 0 {
			s.eligible++
			s.eligibleByZone[candidate.Zone]++
		}
	}
	slices.Sort(s.loads)
	return math.Abs(sum-1) <= probabilityTolerance
}

// valid reports whether the values are in their ranges.
func (c *Candidate) valid() bool {
	return c.Probability >= 0 && c.Probability <= 1 && c.Load >= 0 && c.Zone >= 0 && c.Zone <= maxZone
}

// reset sets all masses and weights to zero.
func (s *ruleShares) reset(candidates int) {
	for rule := range s.mass {
		s.mass[rule] = slices.Grow(s.mass[rule][:0], candidates)[:candidates]
		clear(s.mass[rule])
		s.weight[rule] = 0
	}
}

func (s *ruleShares) setLogged() {
	s.mass[Logged][0] = 1
	s.weight[Logged] = 1
}

// setNextInRank sets the weight to 1: over customers, each candidate is first, and each is second, equally often.
func (s *ruleShares) setNextInRank(candidates []Candidate) {
	next := 0
	if len(candidates) > 1 && candidates[1].Probability > 0 {
		next = 1
	}
	s.mass[NextInRank][next] = 1
	s.weight[NextInRank] = 1
}

func (s *ruleShares) setLeastLoaded(candidates []Candidate) {
	least := s.loads[0]
	ties := 0.0
	for _, load := range s.loads {
		if load > least {
			break
		}
		ties++
	}
	for i := range candidates {
		if candidates[i].Load == least {
			s.mass[LeastLoaded][i] = 1 / ties
		}
	}
}

func (s *ruleShares) setRandomAndOneHost(candidates []Candidate) {
	for i := range candidates {
		s.mass[Random][i] = 1 / float64(len(candidates))
		if candidates[i].Probability > 0 {
			s.mass[OneHost][i] = 1
		}
	}
}

// setPowerOfTwo sets the fraction of all pairs in which a candidate has the lower load. Equal loads share a pair.
func (s *ruleShares) setPowerOfTwo(candidates []Candidate) {
	n := len(candidates)
	if n == 1 {
		s.mass[PowerOfTwo][0] = 1
		return
	}
	for i := range candidates {
		load := candidates[i].Load
		from, _ := slices.BinarySearch(s.loads, load)
		to := from
		for to < n && s.loads[to] == load {
			to++
		}
		higher := float64(n - to)
		equal := float64(to - from - 1)
		s.mass[PowerOfTwo][i] = (2*higher + equal) / float64(n*(n-1))
	}
}

func (s *ruleShares) setOtherZone(candidates []Candidate) {
	zone := candidates[0].Zone
	others := s.eligible - s.eligibleByZone[zone]
	if others == 0 {
		s.mass[OtherZone][0] = 1
		return
	}
	for i := range candidates {
		if candidates[i].Probability > 0 && candidates[i].Zone != zone {
			s.mass[OtherZone][i] = 1 / others
		}
	}
}

// setWeights sets the weights of the rules that may choose another host for the same customer.
func (s *ruleShares) setWeights(chosen Candidate) {
	for _, rule := range []Rule{LeastLoaded, PowerOfTwo, Random, OneHost} {
		s.weight[rule] = min(s.mass[rule][0]/chosen.Probability, maxWeight)
	}
	if s.eligibleByZone[chosen.Zone] == s.eligible {
		s.weight[OtherZone] = 1
		return
	}
	// Over customers, each eligible candidate is first equally often, and the rule moves it to each one in another zone
	// equally often.
	for zone, eligible := range s.eligibleByZone {
		if zone != chosen.Zone && eligible > 0 {
			s.weight[OtherZone] += eligible / s.eligible / (s.eligible - eligible) / chosen.Probability
		}
	}
}
