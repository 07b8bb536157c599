// Package counterfactual estimates what the hosts that were not chosen would have answered, and so what another routing rule would
// have gained or lost. It does no I/O, keeps no time and decides nothing: a Folder at each gateway folds records of attempts into
// summaries, a Ledger merges the summaries of the fleet, and Ledger.Panel returns figures with intervals, or the reason why there
// is none. docs/counterfactual.md has the design and its sources. Times are nanoseconds.
package counterfactual

import (
	"math"
	"slices"
)

// Rule is a way to choose a host from the candidate set.
type Rule int

// Rules.
const (
	Logged      Rule = iota // as it was done
	NextInRank              // the customer's next eligible host in rank; as it was done if there is none
	LeastLoaded             // the least loaded candidate; of several, any with equal probability
	PowerOfTwo              // the less loaded of two random candidates
	Random                  // a random candidate
	OtherZone               // a random eligible candidate outside the chosen one's zone; as it was done if there is none
	OneHost                 // one given host, over the attempts that could have gone there
	Rules                   // number of rules
)

var ruleNames = [Rules]string{"logged", "next", "least", "two", "chance", "zone", "single"}

// String returns the rule's name.
func (r Rule) String() string { return ruleNames[r] }

// ParseRule returns the rule of a name.
func ParseRule(name string) (Rule, bool) {
	i := slices.Index(ruleNames[:], name)
	return Rule(max(i, 0)), i >= 0
}

// End tells how an attempt ended, in what it says of the host's time.
type End uint8

// Ends.
const (
	Answered End = iota
	Censored     // timed out, canceled or left: it would have taken longer than the latency
	Failed       // an error, a rejection, a broken connection: no answer ever
)

// Candidate is a host that was available for an attempt. It is eligible if its chance is above 0. The names of its JSON form and
// that of Record are those of the records file.
type Candidate struct {
	Host        uint32
	Incarnation uint32 `json:"Born"` // of its process: a replaced one counts as another host
	Zone        int
	Probability float64 `json:"Chance"` // of being chosen, over customers; 0: available, but not eligible
	Load        float64 // as the gateway estimated it then
}

// Record is one attempt that ended.
type Record struct {
	Class      int         `json:"Frontend"` // request class
	Customer   uint32      // hash: customers are the clusters of the intervals
	Candidates []Candidate `json:"Options"` // the chosen one first, then the customer's next eligible one in rank, if any
	Latency    int64       `json:"Lag"`     // ns
	End        End
}

// Parameters of the summaries.
const (
	Groups        = 20   // customer groups, the units of the jackknife
	MaxCandidates = 64   // of a record; one with more is not folded
	scale         = 4096 // masses and weights are whole multiples of 1/scale, so that sums do not depend on the order
	maxWeight     = 64   // larger weights are clipped
	loadBands     = 64   // two an octave
	neverBucket   = 1023 // bucket of attempts that are never answered
	gamma         = 1.02 // ratio of a bucket's bounds: values are kept to 1% (DDSketch, Masson et al. 2019)
	firstBound    = 1e4  // upper bound of the first bucket, ns
)

var logGamma = math.Log(gamma)

// Bucket returns the histogram bucket of a response time.
func Bucket(latency int64) int {
	if latency <= firstBound {
		return 0
	}
	return min(int(math.Ceil(math.Log(float64(latency)/firstBound)/logGamma)), neverBucket-1)
}

// bucketTime returns the time that stands for a bucket, in nanoseconds.
func bucketTime(bucket int) float64 { return firstBound * math.Pow(gamma, float64(bucket)-0.5) }

// loadBand returns the band of a load, from the exponent of its square: two bands an octave.
func loadBand(load float64) int {
	if !(load > 0) {
		return 0
	}
	return min(max(int(math.Float64bits(load*load*math.Sqrt2)>>52)-1023+16, 0), loadBands-1)
}

// customerGroup spreads customers evenly over the groups.
func customerGroup(customer uint32) int {
	x := uint64(customer) * 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	return int((x ^ x>>27) >> 33 % Groups)
}

// ruleShares tells, for one record, where each rule would have sent the attempt and how probable the chosen host was under the
// rule, over customers. Its slices are reused for the next record.
type ruleShares struct {
	mass           [Rules][]float64 // by candidate: the fraction of this attempt that the rule sends there
	weight         [Rules]float64   // of the outcome at the chosen host: the rule's probability over the one it had
	loads          []float64        // sorted
	eligibleByZone []float64        // number of eligible candidates
}

// compute fills in the shares of a record. It returns false if the record contradicts itself.
func (s *ruleShares) compute(candidates []Candidate) bool {
	if len(candidates) == 0 || len(candidates) > MaxCandidates || !(candidates[0].Probability > 0) {
		return false
	}
	n := len(candidates)
	for r := range s.mass {
		s.mass[r] = slices.Grow(s.mass[r][:0], n)[:n]
		clear(s.mass[r])
		s.weight[r] = 0
	}
	s.loads, s.eligibleByZone = s.loads[:0], s.eligibleByZone[:0]
	eligible, sum, least := 0.0, 0.0, math.Inf(1)
	for i := range candidates {
		if !(candidates[i].Probability >= 0 && candidates[i].Probability <= 1 && candidates[i].Load >= 0) || candidates[i].Zone < 0 || candidates[i].Zone > 255 {
			return false
		}
		s.loads = append(s.loads, candidates[i].Load)
		least = min(least, candidates[i].Load)
		sum += candidates[i].Probability
		for len(s.eligibleByZone) <= candidates[i].Zone {
			s.eligibleByZone = append(s.eligibleByZone, 0)
		}
		if candidates[i].Probability > 0 {
			eligible++
			s.eligibleByZone[candidates[i].Zone]++
		}
	}
	if math.Abs(sum-1) > 1e-3 {
		return false
	}
	s.mass[Logged][0], s.weight[Logged] = 1, 1
	s.mass[NextInRank][0], s.weight[NextInRank] = 1, 1
	if n > 1 && candidates[1].Probability > 0 { // over customers, each candidate is first, and each is second, equally often
		s.mass[NextInRank][0], s.mass[NextInRank][1] = 0, 1
	}
	slices.Sort(s.loads)
	ties := 0.0
	for _, l := range s.loads {
		if l == least {
			ties++
		}
	}
	for i := range candidates {
		if candidates[i].Load == least {
			s.mass[LeastLoaded][i] = 1 / ties
		}
		s.mass[Random][i] = 1 / float64(n)
		if candidates[i].Probability > 0 {
			s.mass[OneHost][i] = 1
		}
		if n == 1 {
			s.mass[PowerOfTwo][i] = 1
			continue
		}
		from, _ := slices.BinarySearch(s.loads, candidates[i].Load)
		to := from
		for to < n && s.loads[to] == candidates[i].Load {
			to++
		}
		worse, same := float64(n-to), float64(to-from-1)
		s.mass[PowerOfTwo][i] = (2*worse + same) / float64(n*(n-1))
	}
	others := eligible - s.eligibleByZone[candidates[0].Zone]
	if others == 0 {
		s.mass[OtherZone][0] = 1
	}
	for i := range candidates {
		if others > 0 && candidates[i].Probability > 0 && candidates[i].Zone != candidates[0].Zone {
			s.mass[OtherZone][i] = 1 / others
		}
	}
	chance := candidates[0].Probability
	for _, r := range []Rule{LeastLoaded, PowerOfTwo, Random, OneHost} {
		s.weight[r] = min(s.mass[r][0]/chance, maxWeight)
	}
	// Over customers, each eligible candidate is first equally often; the rule then moves to each one in another zone alike.
	if own := s.eligibleByZone[candidates[0].Zone]; own == eligible {
		s.weight[OtherZone] = 1
	} else {
		for z, e := range s.eligibleByZone {
			if z != candidates[0].Zone && e > 0 {
				s.weight[OtherZone] += e / eligible / (eligible - e) / chance
			}
		}
	}
	return true
}
