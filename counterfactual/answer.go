package counterfactual

import (
	"fmt"
	"math"
	"slices"
	"strconv"

	"gonum.org/v1/gonum/stat/distuv"
)

// Limits for a figure to be given.
const (
	minEffective   = 100  // effective samples
	minGroups      = 6    // customer groups that the outcomes are worth
	maxUnreachable = 0.01 // fraction of the mass where the rule's host could not be chosen; the weights say nothing of it
	maxLacking     = 0.02 // fraction of the mass at hosts and loads with too few outcomes
	maxCensored    = 0.02 // fraction of the mass that was censored too early
	meanWidth      = 0.08 // half width of the interval over the figure
	tailWidth      = 0.16 // the same for p99
	shareWidth     = 0.05 // half width of the interval of a fraction
	confidence     = 0.95 // level of the intervals
	timeDifference = 0.2  // by so much a host's time may differ where it could not be chosen, at the same load
)

// Reasons why a figure is refused.
const (
	NoOverlap        = "no overlap"
	FewSamples       = "too few effective samples"
	FewCustomers     = "too few customers"
	GatewaysMissing  = "gateways missing"
	CensoredEarly    = "cut off too early"
	BadProbabilities = "chances do not add up"
	OutOfRange       = "load outside the range seen"
	FollowsLoad      = "the rule follows the load"
	BeyondObjective  = "beyond the target"
	TooWide          = "interval too wide"
)

// Figure is an estimate with its interval, in milliseconds or, for a fraction, from 0 to 1. AnyTime is the interval that holds
// however often one has looked (means only).
type Figure struct {
	Value   float64     `json:"value"`
	Low     float64     `json:"low"`
	High    float64     `json:"high"`
	AnyTime *[2]float64 `json:"any_time,omitempty"`
	Refused string      `json:"refused,omitempty"` // reason; Value, Low and High are 0 then
}

// Answer is the estimate for a rule over the attempts of a request class in a range of bins.
type Answer struct {
	Question     string    `json:"question"` // "one moved" or "replaced"
	Rule         string    `json:"rule"`
	Class        string    `json:"frontend"`
	Host         string    `json:"host,omitempty"` // of rule single
	HostNumber   uint32    `json:"-"`              // its number
	Share        float64   `json:"part,omitempty"` // fraction of the attempts that the rule takes over
	Estimator    Estimator `json:"estimator,omitempty"`
	Refused      string    `json:"refused,omitempty"` // reason why there are no figures at all
	Requests     float64   `json:"reqs"`              // attempts that the figures cover
	Covers       float64   `json:"covers"`            // fraction of all attempts of the request class
	Effective    float64   `json:"effective"`
	Groups       int       `json:"groups"`
	Unreachable  float64   `json:"no_chance"` // fraction that could not have gone where the rule would have sent it
	Lacking      float64   `json:"lacking"`   // fraction that would have gone where there are too few outcomes
	Mean         Figure    `json:"mean_ms"`   // of the response time or the objective, whichever is less
	P50          Figure    `json:"p50_ms"`
	P99          Figure    `json:"p99_ms"`
	Within       Figure    `json:"within_target"`
	Regret       Figure    `json:"regret_ms"` // mean minus that of the best rule with a mean
	Missing      []Missing `json:"missing,omitempty"`
	MissingShare float64   `json:"missing_part"`
	means        []float64 // with each group left out in turn, ns
	mean         float64
}

// Given reports whether the figure is not refused.
func (f *Figure) Given() bool { return f.Refused == "" }

// strata collects the strata of a request class over the bins from..to.
func (l *Ledger) strata(class int, from, to int64) *strataTable {
	t := newTable(l.settings.Objectives[class], l.settings.Yield, l.hostName)
	index := map[Key]*stratum{}
	for at := from; at <= to; at++ {
		if b := l.bins[at]; b != nil {
			for k, x := range b.cells {
				if int(k.Class) == class {
					t.add(index, k, x)
				}
			}
		}
	}
	t.sortStrata()
	t.borrowNeighbours(index)
	return t
}

// hostName returns a host's id, or its number if that is not known.
func (l *Ledger) hostName(host uint32) string {
	if l.settings.HostID != nil {
		if id := l.settings.HostID(host); id != "" {
			return id
		}
	}
	return strconv.FormatUint(uint64(host), 10)
}

// boundSpan limits a range of bins, so that no question costs more than all that is kept.
func (l *Ledger) boundSpan(from, to int64) (int64, int64) {
	return max(from, to-int64(l.settings.KeptBins)), to
}

// Panel estimates for each rule but Single what the attempts of a request class in the bins from..to would have met if one of them
// at a time had been moved: the loads stay as they were.
func (l *Ledger) Panel(class int, from, to int64) []Answer {
	from, to = l.boundSpan(from, to)
	t := l.strata(class, from, to)
	missing, absent := l.missing(from, to)
	return l.answers(t, class, []Rule{Logged, NextInRank, LeastLoaded, PowerOfTwo, Random, OtherZone}, missing, absent, "")
}

// SingleHost estimates the same for a single host, over the attempts that could have gone there; Covers is their fraction.
func (l *Ledger) SingleHost(class int, host uint32, from, to int64) Answer {
	from, to = l.boundSpan(from, to)
	t := l.strata(class, from, to)
	total := 0.0
	for _, s := range t.strata {
		total += s.mass[Logged]
	}
	t.strata = slices.DeleteFunc(t.strata, func(s *stratum) bool { return s.key.Host != host })
	missing, absent := l.missing(from, to)
	a := l.answers(t, class, []Rule{OneHost}, missing, absent, "")[0]
	a.Host, a.HostNumber, a.Regret = l.hostName(host), host, Figure{Refused: "a single host has none"}
	if a.Covers = 0; total > 0 {
		a.Covers = a.Requests / total
	}
	return a
}

// answers estimates for all rules at once. If only is given, no other estimator may be used.
func (l *Ledger) answers(t *strataTable, class int, rules []Rule, missing []Missing, absent float64,
	only Estimator) []Answer {
	full := t.sum(-1, rules)
	groups, worth := t.groups()
	var without []map[Rule]*ruleSums
	if worth >= minGroups {
		for g := range Groups {
			if p := t.sum(g, rules); t.hasGroup(g) {
				without = append(without, p)
			}
		}
	}
	var all []Answer
	for _, r := range rules {
		a := Answer{Question: "one moved", Rule: r.String(), Class: l.settings.Classes[class], Groups: groups,
			Missing: missing, MissingShare: absent}
		x := full[r]
		weighted, direct := t.effective(r)
		none := 0.0
		for _, s := range t.strata {
			none += s.unreachable[r]
		}
		if a.Requests, a.Covers = x.mass, 1; x.mass > 0 {
			a.Unreachable, a.Lacking = none/x.mass, 1-x.coveredMass/x.mass
		}
		switch {
		case only != "" && a.Lacking <= maxLacking:
			a.Estimator, a.Effective = only, direct
		case only != "":
			a.Refused = OutOfRange + t.describeLacking(r)
		case a.Unreachable > maxUnreachable && a.Lacking <= maxLacking:
			a.Estimator, a.Effective = Direct, direct
		case a.Unreachable <= maxUnreachable && a.Lacking <= maxLacking:
			a.Estimator, a.Effective = Robust, min(weighted, direct)
		case a.Unreachable <= maxUnreachable && t.allHostsSeen(r):
			a.Estimator, a.Effective = Weighted, weighted
		default:
			a.Refused = NoOverlap + t.describeLacking(r)
		}
		switch {
		case x.mass == 0:
			a.Refused = NoOverlap + ": no dispatch to ask about"
		case absent > l.settings.MaxMissing:
			a.Refused = fmt.Sprintf("%s: about %.0f%% of the dispatches", GatewaysMissing, 100*absent)
		case a.Refused != "":
		case a.Effective < minEffective:
			a.Refused = fmt.Sprintf("%s: %.0f, %d wanted", FewSamples, a.Effective, minEffective)
		case worth < minGroups:
			a.Refused = fmt.Sprintf("%s: worth %.1f groups of %d", FewCustomers, worth, Groups)
		case x.censoredEarly/x.mass > maxCensored:
			a.Refused = fmt.Sprintf("%s: %.1f%%", CensoredEarly, 100*x.censoredEarly/x.mass)
		case a.Estimator != Direct && !weightsAddUp(x, without, r):
			a.Refused = fmt.Sprintf("%s: the weights come to %.2f of the dispatches", BadProbabilities, x.weight/x.mass)
		}
		t.figures(&a, r, x, without)
		all = append(all, a)
	}
	regret(all)
	return all
}

// hasGroup reports whether any outcome is of a customer group.
func (t *strataTable) hasGroup(group int) bool {
	return slices.ContainsFunc(t.strata, func(s *stratum) bool {
		return slices.ContainsFunc(s.rows[:s.ownRows], func(r *Row) bool { return int(r.Group) == group })
	})
}

// allHostsSeen reports whether each host with much of a rule's mass was chosen at all: weights say nothing of one that never was.
func (t *strataTable) allHostsSeen(r Rule) bool {
	want, n, total := map[uint32]float64{}, map[uint32]float64{}, 0.0
	for _, s := range t.strata {
		want[s.key.Host] += s.mass[r]
		total += s.mass[r]
		for _, x := range s.rows[:s.ownRows] {
			n[s.key.Host] += float64(x.Count)
		}
	}
	for h, w := range want {
		if w > maxLacking*total/4 && n[h] < minOutcomes {
			return false
		}
	}
	return true
}

// describeLacking names the hosts with the most mass that has too few outcomes.
func (t *strataTable) describeLacking(r Rule) string {
	by, hosts := map[uint32]float64{}, []uint32(nil)
	for _, s := range t.strata {
		if s.outcomes < minOutcomes && s.mass[r] > 0 {
			if by[s.key.Host] == 0 {
				hosts = append(hosts, s.key.Host)
			}
			by[s.key.Host] += s.mass[r]
		}
	}
	slices.SortStableFunc(hosts, func(a, b uint32) int {
		if by[a] != by[b] {
			return int(math.Copysign(1, by[b]-by[a]))
		}
		return int(int64(a) - int64(b))
	})
	text := ""
	for _, h := range hosts[:min(len(hosts), 4)] {
		text += fmt.Sprintf(" host=%s reqs=%.1f", t.hostName(h), by[h])
	}
	if text == "" {
		return ""
	}
	return ":" + text
}

// weightsAddUp reports whether the weights add up to the attempts, as they do if the reported probabilities are those in force.
func weightsAddUp(x *ruleSums, without []map[Rule]*ruleSums, r Rule) bool {
	var shares []float64
	for _, o := range without {
		shares = append(shares, o[r].weight/x.mass)
	}
	// A group left out takes its weight along; the sum of the rest is scaled up.
	for i := range shares {
		shares[i] *= float64(len(shares)) / float64(len(shares)-1)
	}
	return math.Abs(x.weight/x.mass-1) < 0.1+4*math.Sqrt(jackknife(shares))
}

// figures fills in the figures of an answer, each with its interval or a refusal. The intervals are for the mean, quantile or
// fraction over the very same requests: they cover the error of the estimate, by the jackknife over customer groups, and the
// randomness of these requests' own times.
func (t *strataTable) figures(a *Answer, r Rule, x *ruleSums, without []map[Rule]*ruleSums) {
	if a.Refused != "" {
		for _, f := range []*Figure{&a.Mean, &a.P50, &a.P99, &a.Within, &a.Regret} {
			f.Refused = a.Refused
		}
		return
	}
	f := x.distribution(a.Estimator)
	var curves [][]float64
	for _, o := range without {
		curves = append(curves, o[r].distribution(a.Estimator))
	}
	student := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(len(curves) - 1)}.Quantile((1 + confidence) / 2)

	mean, spread := t.moments(f)
	for _, c := range curves {
		m, _ := t.moments(c)
		a.means = append(a.means, m)
	}
	a.mean = mean
	design := max(1, jackknife(a.means)*a.Effective/max(spread, 1e-9)) // design effect of the clustering by customer
	wide := math.Sqrt(design * spread * (1/a.Effective + 1/a.Requests))
	beyond := 0.0
	if a.Estimator == Direct { // no outcome covers that fraction
		beyond = timeDifference * a.Unreachable
	}
	reach := student*wide + beyond*mean
	a.Mean = figure(mean/1e6, (mean-reach)/1e6, (mean+reach)/1e6, meanWidth*mean/1e6)
	if a.Mean.Given() {
		w := wide*anytimeFactor(a.Effective) + beyond*mean
		a.Mean.AnyTime = &[2]float64{max(mean-w, 0) / 1e6, (mean + w) / 1e6}
	}

	// share returns an interval for the fraction below a bucket (Clopper and Pearson 1934, with the effective sample size of Korn
	// and Graubard 1998), widened by the fraction that no outcome covers.
	share := func(p float64, bucket int) (low, high float64) {
		var ps []float64
		for _, c := range curves {
			ps = append(ps, c[bucket])
		}
		own := p * (1 - p)
		n := 1 / (1/a.Effective + 1/a.Requests) / design
		if v := jackknife(ps); own > 0 && v > own/a.Effective {
			n = min(n*design, 1/(v/own*(1+a.Effective/a.Requests)))
		} else if own > 0 {
			n *= design
		}
		n *= square(1.96 / student)
		if k := n * p; k > 0 {
			low = distuv.Beta{Alpha: k, Beta: n - k + 1}.Quantile((1 - confidence) / 2)
		}
		if high = 1; n*(1-p) > 0 {
			high = distuv.Beta{Alpha: n*p + 1, Beta: n - n*p}.Quantile((1 + confidence) / 2)
		}
		return low * (1 - a.Lacking), min(high*(1-a.Lacking)+a.Lacking, 1)
	}
	quantile := func(p, width float64) Figure {
		q, ok := t.quantile(f, p)
		if !ok {
			return Figure{Refused: BeyondObjective}
		}
		bucket, _ := slices.BinarySearch(f, p-1e-12)
		low, high := share(p, bucket)
		lo, _ := t.quantile(f, low)
		hi, ok := t.quantile(f, high)
		if !ok {
			return Figure{Refused: TooWide + ": up to the target"}
		}
		return figure(q/1e6, lo/1e6/gamma/(1+beyond), hi/1e6*gamma*(1+beyond), width*q/1e6)
	}
	a.P50, a.P99 = quantile(0.5, meanWidth), quantile(0.99, tailWidth)
	low, high := share(f[t.horizon], t.horizon)
	a.Within = figure(f[t.horizon], low, high, shareWidth)
}

// figure returns a figure, or a refusal if its interval is too wide on either side.
func figure(value, low, high, width float64) Figure {
	if reach := max(high-value, value-low); !(reach <= width) {
		return Figure{Refused: fmt.Sprintf("%s: %.3g to %.3g", TooWide, low, high)}
	}
	return Figure{Value: value, Low: max(low, 0), High: high}
}

// anytimeFactor returns the factor on the standard error of an interval that holds for all looks together (asymptotic confidence
// sequence, Waudby-Smith et al. 2021), narrowest near 500 samples.
func anytimeFactor(n float64) float64 {
	alpha := 1 - confidence
	r := n * (-2*math.Log(alpha) + math.Log(-2*math.Log(alpha)+1)) / 500
	return math.Sqrt(2 * (r + 1) / r * math.Log(math.Sqrt(r+1)/alpha))
}

// regret compares the means with the least one, by pairs, so that errors common to both do not count.
func regret(all []Answer) {
	best := -1
	for i := range all {
		if all[i].Mean.Given() && (best < 0 || all[i].mean < all[best].mean) {
			best = i
		}
	}
	for i := range all {
		a := &all[i]
		if !a.Mean.Given() {
			a.Regret = Figure{Refused: a.Mean.Refused}
			continue
		}
		d, wide := Difference(a, &all[best])
		a.Regret = Figure{Value: d / 1e6, Low: max(d-wide, 0) / 1e6, High: (d + wide) / 1e6}
	}
}

// Difference returns by how much the mean of a exceeds that of b, in nanoseconds, with the half width of the interval. Both come
// from one Panel, each with a mean.
func Difference(a, b *Answer) (difference, halfWidth float64) {
	var differences []float64
	for i := range min(len(a.means), len(b.means)) {
		differences = append(differences, a.means[i]-b.means[i])
	}
	if len(differences) < 2 {
		return a.mean - b.mean, math.Inf(1)
	}
	student := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(len(differences) - 1)}.Quantile((1 + confidence) / 2)
	return a.mean - b.mean, student * math.Sqrt(jackknife(differences)*2) // doubled for the randomness of these requests' own times
}
