// Package counterfactual estimates what the hosts that were not chosen would have answered, and so what another
// routing rule would have gained or lost. It does no I/O, keeps no time and decides nothing: a Folder at each
// gateway folds records of dispatches into summaries, a Ledger merges the summaries of the fleet, and Ledger.Panel
// gives figures with intervals, or the reason why there is none. docs/counterfactual.md has the design and its
// sources. Times are nanoseconds.
package counterfactual

import (
	"math"
	"slices"
)

// Rule is a way to choose a host among the alternatives that stood open.
type Rule int

const (
	Logged Rule = iota // as it was done
	Next               // the customer's next host in rank with a chance; where there is none, as it was done
	Least              // the least loaded one that stands open; of several, any alike
	Two                // the less loaded of two that stand open, drawn by chance
	Chance             // any that stands open, alike
	Zone               // one with a chance in another zone than the chosen one; where there is none, as it was done
	Single             // one given host, over the dispatches that could have gone there
	Rules
)

var ruleNames = [Rules]string{"logged", "next", "least", "two", "chance", "zone", "single"}

func (r Rule) String() string { return ruleNames[r] }

// ReadRule finds a rule by its name.
func ReadRule(name string) (Rule, bool) {
	i := slices.Index(ruleNames[:], name)
	return Rule(max(i, 0)), i >= 0
}

// End tells how a dispatch ended, in what it says of the host's time.
type End uint8

const (
	Answered End = iota
	Cut          // timed out, canceled or left: it would have taken longer than the lag
	Failed       // an error, a refusal, a broken connection: no answer ever
)

// Option is a host that stood open for a dispatch.
type Option struct {
	Host   uint32
	Born   uint32  // of its process: a replaced one is another host
	Zone   int     // where it stands
	Chance float64 // with which it could have been chosen, over customers; 0: open, but passed over
	Load   float64 // as the gateway believed it then
}

// Record is one dispatch that ended.
type Record struct {
	Frontend int
	Customer uint32   // hash: customers are the clusters of the intervals
	Options  []Option // the chosen one first, then the customer's next in rank with a chance, if any
	Lag      int64
	End      End
}

const (
	Groups     = 20   // of customers, the units of the intervals
	MaxOptions = 64   // of a record; one with more is not folded
	scale      = 4096 // parts of a unit of mass or weight: whole numbers, so that sums do not depend on order
	mostWeight = 64   // a weight above is clipped
	bands      = 64   // of load, two an octave
	never      = 1023 // the bucket of what is never answered
	gamma      = 1.02 // a bucket's bounds, one over the other: values are kept to 1% (DDSketch, Masson et al. 2019)
	shortest   = 1e4  // ns, the first bucket's upper bound
)

var logGamma = math.Log(gamma)

// Bucket gives the place of a time in the histograms.
func Bucket(lag int64) int {
	if lag <= shortest {
		return 0
	}
	return min(int(math.Ceil(math.Log(float64(lag)/shortest)/logGamma)), never-1)
}

// middle gives the time that stands for a bucket, in nanoseconds.
func middle(bucket int) float64 { return shortest * math.Pow(gamma, float64(bucket)-0.5) }

// band gives the place of a load, from the exponent of its square: two bands an octave.
func band(load float64) int {
	if !(load > 0) {
		return 0
	}
	return min(max(int(math.Float64bits(load*load*math.Sqrt2)>>52)-1023+16, 0), bands-1)
}

// group spreads customers over the groups of the intervals.
func group(customer uint32) int {
	x := uint64(customer) * 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	return int((x ^ x>>27) >> 33 % Groups)
}

// policy tells, for one record, where each rule would have sent the dispatch and with which chance that host was
// chosen under the rule, over customers. Its slices are used again for the next record.
type policy struct {
	want   [Rules][]float64 // by option: the part of this dispatch that the rule sends there
	weight [Rules]float64   // of the outcome at the chosen option: the rule's chance over the chance it had
	loads  []float64
	zones  []float64 // by zone: options with a chance
}

// of reads a record. It is false where the record contradicts itself.
func (p *policy) of(o []Option) bool {
	if len(o) == 0 || len(o) > MaxOptions || !(o[0].Chance > 0) {
		return false
	}
	n := len(o)
	for r := range p.want {
		p.want[r] = slices.Grow(p.want[r][:0], n)[:n]
		clear(p.want[r])
		p.weight[r] = 0
	}
	p.loads, p.zones = p.loads[:0], p.zones[:0]
	able, sum, least := 0.0, 0.0, math.Inf(1)
	for i := range o {
		if !(o[i].Chance >= 0 && o[i].Chance <= 1 && o[i].Load >= 0) || o[i].Zone < 0 || o[i].Zone > 255 {
			return false
		}
		p.loads = append(p.loads, o[i].Load)
		least = min(least, o[i].Load)
		sum += o[i].Chance
		for len(p.zones) <= o[i].Zone {
			p.zones = append(p.zones, 0)
		}
		if o[i].Chance > 0 {
			able++
			p.zones[o[i].Zone]++
		}
	}
	if math.Abs(sum-1) > 1e-3 {
		return false
	}
	p.want[Logged][0], p.weight[Logged] = 1, 1
	p.want[Next][0], p.weight[Next] = 1, 1
	if n > 1 && o[1].Chance > 0 { // any option is first in rank, and any second, with the same chance over customers
		p.want[Next][0], p.want[Next][1] = 0, 1
	}
	slices.Sort(p.loads)
	ties := 0.0
	for _, l := range p.loads {
		if l == least {
			ties++
		}
	}
	for i := range o {
		if o[i].Load == least {
			p.want[Least][i] = 1 / ties
		}
		p.want[Chance][i] = 1 / float64(n)
		if o[i].Chance > 0 {
			p.want[Single][i] = 1
		}
		if n == 1 {
			p.want[Two][i] = 1
			continue
		}
		from, _ := slices.BinarySearch(p.loads, o[i].Load)
		to := from
		for to < n && p.loads[to] == o[i].Load {
			to++
		}
		worse, same := float64(n-to), float64(to-from-1)
		p.want[Two][i] = (2*worse + same) / float64(n*(n-1))
	}
	others := able - p.zones[o[0].Zone]
	if others == 0 {
		p.want[Zone][0] = 1
	}
	for i := range o {
		if others > 0 && o[i].Chance > 0 && o[i].Zone != o[0].Zone {
			p.want[Zone][i] = 1 / others
		}
	}
	chance := o[0].Chance
	for _, r := range []Rule{Least, Two, Chance, Single} {
		p.weight[r] = min(p.want[r][0]/chance, mostWeight)
	}
	// Over customers, any option with a chance is first; the rule then moves to each in another zone alike.
	if own := p.zones[o[0].Zone]; own == able {
		p.weight[Zone] = 1
	} else {
		for z, e := range p.zones {
			if z != o[0].Zone && e > 0 {
				p.weight[Zone] += e / able / (able - e) / chance
			}
		}
	}
	return true
}
