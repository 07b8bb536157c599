package counterfactual

import (
	"math"
	"slices"
)

const (
	maxZone              = 255  // zones are bytes in messages
	probabilityTolerance = 1e-3 // largest difference of the sum of a record's probabilities from 1
)

// ruleShares contains, for one record and each rule, the fraction of the attempt that the rule sends to each candidate,
// and the importance weight of the observed outcome. Its slices are reused for the next record.
type ruleShares struct {
	// mass contains the fraction of the attempt that the rule sends to each candidate. The sum is 1, except for
	// OneHost, which has 1 for each eligible candidate.
	mass [NumRules][]float64
	// weight is the importance weight of the outcome: for a random customer, the probability of the chosen host under
	// the rule over that under the gateway. It is at most maxWeight, except for OtherZone.
	weight [NumRules]float64

	loads          []float64 // loads of all candidates, ascending
	eligible       float64   // number of eligible candidates
	eligibleByZone []float64 // number of eligible candidates by zone
}

// compute sets the shares for the candidates of a record. It returns false if they are invalid.
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

// count counts the eligible candidates and sorts the loads. It returns false if a value is out of range or the
// probabilities do not add up to 1.
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

// valid reports whether probability, load and zone are within their ranges.
func (c *Candidate) valid() bool {
	return c.Probability >= 0 && c.Probability <= 1 && c.Load >= 0 && c.Zone >= 0 && c.Zone <= maxZone
}

// reset sets all masses and weights to 0 for a number of candidates.
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

// setNextInRank moves the attempt to the next eligible candidate. The weight is 1: for a random customer, a candidate
// is second in the ranking as often as it is first.
func (s *ruleShares) setNextInRank(candidates []Candidate) {
	next := 0
	if len(candidates) > 1 && candidates[1].Probability > 0 {
		next = 1
	}
	s.mass[NextInRank][next] = 1
	s.weight[NextInRank] = 1
}

func (s *ruleShares) setLeastLoaded(candidates []Candidate) {
	lowest := s.loads[0]
	ties := 0.0
	for _, load := range s.loads {
		if load > lowest {
			break
		}
		ties++
	}
	for i := range candidates {
		if candidates[i].Load == lowest {
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

// setPowerOfTwo sets each mass to the fraction of all pairs of candidates in which the candidate has the lower load. In
// a pair with equal loads, each has half.
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

// setWeights sets the weights of all rules but Logged and NextInRank, whose weight is 1.
func (s *ruleShares) setWeights(chosen Candidate) {
	for _, rule := range []Rule{LeastLoaded, PowerOfTwo, Random, OneHost} {
		s.weight[rule] = min(s.mass[rule][0]/chosen.Probability, maxWeight)
	}
	if s.eligibleByZone[chosen.Zone] == s.eligible {
		s.weight[OtherZone] = 1
		return
	}
	// The rule's probability of the chosen host: a random customer's first host is each eligible candidate equally
	// often, and the rule moves an attempt to each eligible candidate of the other zones equally often.
	for zone, eligible := range s.eligibleByZone {
		if zone != chosen.Zone && eligible > 0 {
			s.weight[OtherZone] += eligible / s.eligible / (s.eligible - eligible) / chosen.Probability
		}
	}
}
