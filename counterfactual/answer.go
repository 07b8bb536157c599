package counterfactual

import (
	"fmt"
	"math"
	"slices"
	"strconv"

	"gonum.org/v1/gonum/stat/distuv"
)

// What a figure must reach to be given.
const (
	leastEffective = 100  // samples that it is worth
	leastGroups    = 6    // groups of customers that its outcomes are worth
	mostNone       = 0.01 // of the mass where the rule's host had no chance; above, the weights say nothing of it
	mostLacking    = 0.02 // of the mass at hosts and loads that were seen too seldom
	mostLoose      = 0.02 // of the mass that was cut off too early
	meanWidth      = 0.08 // half of the interval over the figure
	tailWidth      = 0.16 // the same of p99
	shareWidth     = 0.05 // half of the interval of a share
	level          = 0.95 // of the intervals
	unlike         = 0.2  // by so much a host's time may differ where it had no chance from that at the same load where it had
)

// Why there is no figure.
const (
	NoOverlap    = "no overlap"
	FewSamples   = "too few effective samples"
	FewCustomers = "too few customers"
	GatewaysGone = "gateways missing"
	CutEarly     = "cut off too early"
	BadChances   = "chances do not add up"
	OutOfRange   = "load outside the range seen"
	FollowsLoad  = "the rule follows the load"
	BeyondTarget = "beyond the target"
	TooWide      = "interval too wide"
)

// Figure is an estimate with its interval, in milliseconds or, for a share, from 0 to 1. Any is the interval that
// holds however often one has looked (means only).
type Figure struct {
	Value   float64     `json:"value"`
	Low     float64     `json:"low"`
	High    float64     `json:"high"`
	Any     *[2]float64 `json:"any_time,omitempty"`
	Refused string      `json:"refused,omitempty"` // why it is not given; then Value, Low and High are 0
}

// Answer tells what a rule would have given over a frontend's dispatches of a span.
type Answer struct {
	Question  string    `json:"question"` // "one moved" or "replaced"
	Rule      string    `json:"rule"`
	Frontend  string    `json:"frontend"`
	Host      string    `json:"host,omitempty"` // of rule single
	Number    uint32    `json:"-"`              // the same by its number
	Part      float64   `json:"part,omitempty"` // of the dispatches that the rule takes over
	Estimator Estimator `json:"estimator,omitempty"`
	Refused   string    `json:"refused,omitempty"` // why there are no figures at all
	Reqs      float64   `json:"reqs"`              // dispatches that the figures are of,
	Covers    float64   `json:"covers"`            // of all the frontend's, this part
	Effective float64   `json:"effective"`
	Groups    int       `json:"groups"`
	None      float64   `json:"no_chance"` // part of them that had no chance to go where the rule would have sent them
	Lacking   float64   `json:"lacking"`   // part that would have gone where too little was seen
	Mean      Figure    `json:"mean_ms"`   // of the time or the target, whichever is less
	P50       Figure    `json:"p50_ms"`
	P99       Figure    `json:"p99_ms"`
	Within    Figure    `json:"within_target"`
	Regret    Figure    `json:"regret_ms"` // mean over that of the best rule with a mean
	Missing   []Missing `json:"missing,omitempty"`
	Absent    float64   `json:"missing_part"`
	means     []float64 // without each group, ns
	mean      float64
}

// Given tells whether a figure is.
func (f *Figure) Given() bool { return f.Refused == "" }

// load gathers a frontend's strata over the bins from..to.
func (l *Ledger) load(frontend int, from, to int64) *table {
	t := newTable(l.set.Targets[frontend], l.set.Pause, l.name)
	index := map[Key]*stratum{}
	for at := from; at <= to; at++ {
		if b := l.bins[at]; b != nil {
			for k, x := range b.cells {
				if int(k.Frontend) == frontend {
					t.add(index, k, x)
				}
			}
		}
	}
	t.order()
	t.lend(index)
	return t
}

func (l *Ledger) name(host uint32) string {
	if l.set.Host != nil {
		if id := l.set.Host(host); id != "" {
			return id
		}
	}
	return strconv.FormatUint(uint64(host), 10)
}

// span bounds a question's bins, so that a strange one costs no more than all that is kept.
func (l *Ledger) span(from, to int64) (int64, int64) { return max(from, to-int64(l.set.Bins)), to }

// Panel answers for each rule but Single what the frontend's dispatches of the bins from..to would have met, had one
// of them at a time been moved: the loads stay as they were.
func (l *Ledger) Panel(frontend int, from, to int64) []Answer {
	from, to = l.span(from, to)
	t := l.load(frontend, from, to)
	missing, absent := l.missing(from, to)
	return l.answers(t, frontend, []Rule{Logged, Next, Least, Two, Chance, Zone}, missing, absent, "")
}

// One answers the same for a single host, over the dispatches that could have gone there; Covers tells their part.
func (l *Ledger) One(frontend int, host uint32, from, to int64) Answer {
	from, to = l.span(from, to)
	t := l.load(frontend, from, to)
	done := 0.0
	for _, s := range t.strata {
		done += s.want[Logged]
	}
	t.strata = slices.DeleteFunc(t.strata, func(s *stratum) bool { return s.key.Host != host })
	missing, absent := l.missing(from, to)
	a := l.answers(t, frontend, []Rule{Single}, missing, absent, "")[0]
	a.Host, a.Number, a.Regret = l.name(host), host, Figure{Refused: "a single host has none"}
	if a.Covers = 0; done > 0 {
		a.Covers = a.Reqs / done
	}
	return a
}

// answers estimates for all rules at once; only, if given, is the one estimator that will do.
func (l *Ledger) answers(t *table, frontend int, rules []Rule, missing []Missing, absent float64,
	only Estimator) []Answer {
	full := t.pass(-1, rules)
	groups, worth := t.groups()
	var without []map[Rule]*sums
	if worth >= leastGroups {
		for g := range Groups {
			if p := t.pass(g, rules); t.has(g) {
				without = append(without, p)
			}
		}
	}
	var all []Answer
	for _, r := range rules {
		a := Answer{Question: "one moved", Rule: r.String(), Frontend: l.set.Names[frontend], Groups: groups,
			Missing: missing, Absent: absent}
		x := full[r]
		weighted, direct := t.effective(r)
		none := 0.0
		for _, s := range t.strata {
			none += s.none[r]
		}
		if a.Reqs, a.Covers = x.want, 1; x.want > 0 {
			a.None, a.Lacking = none/x.want, 1-x.held/x.want
		}
		switch {
		case only != "" && a.Lacking <= mostLacking:
			a.Estimator, a.Effective = only, direct
		case only != "":
			a.Refused = OutOfRange + t.lacking(r)
		case a.None > mostNone && a.Lacking <= mostLacking:
			a.Estimator, a.Effective = Direct, direct
		case a.None <= mostNone && a.Lacking <= mostLacking:
			a.Estimator, a.Effective = Robust, min(weighted, direct)
		case a.None <= mostNone && t.seen(r):
			a.Estimator, a.Effective = Weighted, weighted
		default:
			a.Refused = NoOverlap + t.lacking(r)
		}
		switch {
		case x.want == 0:
			a.Refused = NoOverlap + ": no dispatch to ask about"
		case absent > l.set.Missing:
			a.Refused = fmt.Sprintf("%s: about %.0f%% of the dispatches", GatewaysGone, 100*absent)
		case a.Refused != "":
		case a.Effective < leastEffective:
			a.Refused = fmt.Sprintf("%s: %.0f, %d wanted", FewSamples, a.Effective, leastEffective)
		case worth < leastGroups:
			a.Refused = fmt.Sprintf("%s: worth %.1f groups of %d", FewCustomers, worth, Groups)
		case x.loose/x.want > mostLoose:
			a.Refused = fmt.Sprintf("%s: %.1f%%", CutEarly, 100*x.loose/x.want)
		case a.Estimator != Direct && !even(x, without, r):
			a.Refused = fmt.Sprintf("%s: the weights come to %.2f of the dispatches", BadChances, x.weight/x.want)
		}
		t.figures(&a, r, x, without)
		all = append(all, a)
	}
	regret(all)
	return all
}

// has tells whether any outcome is of the group.
func (t *table) has(group int) bool {
	return slices.ContainsFunc(t.strata, func(s *stratum) bool {
		return slices.ContainsFunc(s.rows[:s.own], func(r *Row) bool { return int(r.Group) == group })
	})
}

// seen tells whether each host with much of the rule's mass was chosen at all: weights say nothing of one that
// never was.
func (t *table) seen(r Rule) bool {
	want, n, total := map[uint32]float64{}, map[uint32]float64{}, 0.0
	for _, s := range t.strata {
		want[s.key.Host] += s.want[r]
		total += s.want[r]
		for _, x := range s.rows[:s.own] {
			n[s.key.Host] += float64(x.N)
		}
	}
	for h, w := range want {
		if w > mostLacking*total/4 && n[h] < fewest {
			return false
		}
	}
	return true
}

// lacking names the hosts with the most of the mass that has too few outcomes.
func (t *table) lacking(r Rule) string {
	by, hosts := map[uint32]float64{}, []uint32(nil)
	for _, s := range t.strata {
		if s.n < fewest && s.want[r] > 0 {
			if by[s.key.Host] == 0 {
				hosts = append(hosts, s.key.Host)
			}
			by[s.key.Host] += s.want[r]
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
		text += fmt.Sprintf(" host=%s reqs=%.1f", t.name(h), by[h])
	}
	if text == "" {
		return ""
	}
	return ":" + text
}

// even tells whether the weights add up to the dispatches, as they do where the chances told are those in force.
func even(x *sums, without []map[Rule]*sums, r Rule) bool {
	var shares []float64
	for _, o := range without {
		shares = append(shares, o[r].weight/x.want)
	}
	// A group left out takes its weight along: without it the sum is to be the greater for the rest.
	for i := range shares {
		shares[i] *= float64(len(shares)) / float64(len(shares)-1)
	}
	return math.Abs(x.weight/x.want-1) < 0.1+4*math.Sqrt(jackknife(shares))
}

// figures fills in the figures of an answer, each with its interval or a refusal. The intervals are for the mean,
// quantile or share over the very same reqs: the error of the estimate by the jackknife over groups of customers, and
// the chance of these reqs' own times beside it.
func (t *table) figures(a *Answer, r Rule, x *sums, without []map[Rule]*sums) {
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
	student := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(len(curves) - 1)}.Quantile((1 + level) / 2)

	mean, spread := t.moments(f)
	for _, c := range curves {
		m, _ := t.moments(c)
		a.means = append(a.means, m)
	}
	a.mean = mean
	design := max(1, jackknife(a.means)*a.Effective/max(spread, 1e-9)) // what customers' likeness costs
	wide := math.Sqrt(design * spread * (1/a.Effective + 1/a.Reqs))
	beyond := 0.0
	if a.Estimator == Direct { // no outcome tells of that part
		beyond = unlike * a.None
	}
	reach := student*wide + beyond*mean
	a.Mean = figure(mean/1e6, (mean-reach)/1e6, (mean+reach)/1e6, meanWidth*mean/1e6)
	if a.Mean.Given() {
		w := wide*anytime(a.Effective) + beyond*mean
		a.Mean.Any = &[2]float64{max(mean-w, 0) / 1e6, (mean + w) / 1e6}
	}

	// share gives an interval for the part below a bucket (Clopper and Pearson 1934, with the effective number
	// as Korn and Graubard 1998 have it), wider by what no outcome stands for.
	share := func(p float64, bucket int) (low, high float64) {
		var ps []float64
		for _, c := range curves {
			ps = append(ps, c[bucket])
		}
		own := p * (1 - p)
		n := 1 / (1/a.Effective + 1/a.Reqs) / design
		if v := jackknife(ps); own > 0 && v > own/a.Effective {
			n = min(n*design, 1/(v/own*(1+a.Effective/a.Reqs)))
		} else if own > 0 {
			n *= design
		}
		n *= square(1.96 / student)
		if k := n * p; k > 0 {
			low = distuv.Beta{Alpha: k, Beta: n - k + 1}.Quantile((1 - level) / 2)
		}
		if high = 1; n*(1-p) > 0 {
			high = distuv.Beta{Alpha: n*p + 1, Beta: n - n*p}.Quantile((1 + level) / 2)
		}
		return low * (1 - a.Lacking), min(high*(1-a.Lacking)+a.Lacking, 1)
	}
	quantile := func(p, width float64) Figure {
		q, ok := t.quantile(f, p)
		if !ok {
			return Figure{Refused: BeyondTarget}
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

// figure gives a figure, or refuses where its interval reaches too far to either side.
func figure(value, low, high, width float64) Figure {
	if reach := max(high-value, value-low); !(reach <= width) {
		return Figure{Refused: fmt.Sprintf("%s: %.3g to %.3g", TooWide, low, high)}
	}
	return Figure{Value: value, Low: max(low, 0), High: high}
}

// anytime gives the factor on the standard error that holds at all times of looking together (asymptotic confidence
// sequence, Waudby-Smith et al. 2021), narrowest near 500 samples.
func anytime(n float64) float64 {
	alpha := 1 - level
	r := n * (-2*math.Log(alpha) + math.Log(-2*math.Log(alpha)+1)) / 500
	return math.Sqrt(2 * (r + 1) / r * math.Log(math.Sqrt(r+1)/alpha))
}

// regret compares the means with the least one, by pairs: what two estimates err in together does not count.
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

// Difference gives by how much the mean of a lies above that of b, in nanoseconds, with half of the interval. Both
// come from one Panel, each with a mean.
func Difference(a, b *Answer) (d, wide float64) {
	var ds []float64
	for i := range min(len(a.means), len(b.means)) {
		ds = append(ds, a.means[i]-b.means[i])
	}
	if len(ds) < 2 {
		return a.mean - b.mean, math.Inf(1)
	}
	student := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(len(ds) - 1)}.Quantile((1 + level) / 2)
	return a.mean - b.mean, student * math.Sqrt(jackknife(ds)*2) // as much again by the chance of these reqs' times
}
