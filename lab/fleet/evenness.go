package fleet

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"strings"
	"time"
)

// Evenness tells how evenly a stretch of a run was spread over its hosts. Loads are a host's dispatches over its part
// by weight of all dispatches in the window, so 1 is even.
type Evenness struct {
	Hosts, Dispatches int
	Windows           map[time.Duration]Spread // by length
	Idle              float64                  // stretches of 2 s in which a host got nothing while the mean host got 5 or more
	Held              [3]float64               // gateways that sent to a host: least, mean, most
	Opened, Standing  int                      // connections that came up, and that stood as the stretch began
	Over              time.Duration            // longest time that a host stayed above 1.5 times its part, in windows of 1 s
	OverHosts         float64                  // hosts that did so for over 1 s
}

// Spread is of windows of one length: means over the windows of the most and least loaded host and of the variation
// of all hosts, and the extremes.
type Spread struct {
	Count                  int
	Most, Least, Variation float64
	Highest, Lowest        float64
}

type hit struct {
	at   int64
	host int
}

// hits are all dispatches in a time at some hosts, in order.
func (r *Report) hits(hosts []int, from, to int64) (hits []hit) {
	for k, h := range hosts {
		for _, c := range r.Hosts[h].Commands {
			if c.ReceivedAt >= from && c.ReceivedAt < to {
				hits = append(hits, hit{c.ReceivedAt, k})
			}
		}
	}
	slices.SortFunc(hits, func(a, b hit) int { return int(a.at - b.at) })
	return hits
}

// Even measures a stretch of the run at hosts that ran and were listed all along. beside it, the very same dispatches
// as chance (multinomial by weight) and round robin by one who sees all would have spread them.
func (r *Report) Even(hosts []int, from, to int64) (fleet, chance, robin Evenness) {
	hits := r.hits(hosts, from, to)
	part := make([]float64, len(hosts))
	sum := 0.0
	for k, h := range hosts {
		part[k] = r.Hosts[h].Weight
		sum += part[k]
	}
	for k := range part {
		part[k] /= sum
	}
	fleet = even(hits, part, from, to)
	least, most, all := math.Inf(1), 0.0, 0
	for _, h := range hosts {
		gates := map[int]bool{}
		for _, c := range r.Hosts[h].Commands {
			if q, ok := r.Req(c.ID); ok && c.ReceivedAt >= from && c.ReceivedAt < to {
				gates[q.Gateway] = true
			}
		}
		for _, at := range r.Hosts[h].AcceptedAt {
			if at >= from && at < to {
				fleet.Opened++
			}
		}
		if s, ok := r.Hosts[h].LoadAt(from); ok {
			fleet.Standing += s.OpenConns
		}
		all += len(gates)
		least, most = min(least, float64(len(gates))), max(most, float64(len(gates)))
	}
	fleet.Held = [3]float64{least, float64(all) / float64(len(hosts)), most}
	const plays = 10
	for play := range uint64(plays) {
		draw := rand.New(rand.NewPCG(r.Scenario.Plan.Seed, play))
		var cum []float64
		x := 0.0
		for _, p := range part {
			x += p
			cum = append(cum, x)
		}
		thrown := slices.Clone(hits)
		for i := range thrown {
			thrown[i].host = min(sort.SearchFloat64s(cum, draw.Float64()*x), len(part)-1)
		}
		chance = chance.add(even(thrown, part, from, to), 1.0/plays)
	}
	chance.Hosts, chance.Dispatches = fleet.Hosts, fleet.Dispatches
	dealt, owed := slices.Clone(hits), make([]float64, len(part)) // smooth weighted round robin
	for i := range dealt {
		best := 0
		for k := range owed {
			if owed[k] += part[k]; owed[k] > owed[best] {
				best = k
			}
		}
		owed[best]--
		dealt[i].host = best
	}
	return fleet, chance, even(dealt, part, from, to)
}

// add sums measures up by a weight.
func (e Evenness) add(o Evenness, w float64) Evenness {
	if e.Windows == nil {
		e.Windows = map[time.Duration]Spread{}
	}
	for k, s := range o.Windows {
		t := e.Windows[k]
		e.Windows[k] = Spread{s.Count, t.Most + w*s.Most, t.Least + w*s.Least, t.Variation + w*s.Variation,
			t.Highest + w*s.Highest, t.Lowest + w*s.Lowest}
	}
	e.Idle += w * o.Idle
	e.Over += time.Duration(w * float64(o.Over))
	e.OverHosts += w * o.OverHosts
	return e
}

func even(hits []hit, part []float64, from, to int64) Evenness {
	e := Evenness{Hosts: len(part), Dispatches: len(hits), Windows: map[time.Duration]Spread{}}
	for _, d := range []time.Duration{time.Second, 10 * time.Second} {
		if s := windows(hits, part, from, to, int64(d)); s.Count > 0 {
			e.Windows[d] = s
		}
	}
	e.Idle = idle(hits, len(part), from, to)
	e.Over, e.OverHosts = over(hits, part, from, to)
	return e
}

func windows(hits []hit, part []float64, from, to, length int64) (s Spread) {
	s.Lowest = math.Inf(1)
	i := 0
	for at := from; at+length <= to; at += length {
		n, all := make([]float64, len(part)), 0.0
		for ; i < len(hits) && hits[i].at < at+length; i++ {
			n[hits[i].host]++
			all++
		}
		if all == 0 {
			continue
		}
		least, most, square := math.Inf(1), 0.0, 0.0
		for k := range n {
			x := n[k] / (all * part[k])
			least, most = min(least, x), max(most, x)
			square += (x - 1) * (x - 1)
		}
		s.Count++
		s.Most, s.Least, s.Variation = s.Most+most, s.Least+least, s.Variation+math.Sqrt(square/float64(len(part)))
		s.Highest, s.Lowest = max(s.Highest, most), min(s.Lowest, least)
	}
	if c := float64(s.Count); c > 0 {
		s.Most, s.Least, s.Variation = s.Most/c, s.Least/c, s.Variation/c
	}
	return s
}

// idle counts stretches of 2 s, each begun by a host's last dispatch or the end of the one before, in which it got
// nothing while the mean host got 5 or more.
func idle(hits []hit, hosts int, from, to int64) (n float64) {
	const stretch = int64(2 * time.Second)
	last := make([]int64, hosts)
	for k := range last {
		last[k] = from
	}
	gap := func(k int, until int64) {
		for ; until-last[k] >= stretch; last[k] += stretch {
			a := sort.Search(len(hits), func(i int) bool { return hits[i].at >= last[k] })
			b := sort.Search(len(hits), func(i int) bool { return hits[i].at >= last[k]+stretch })
			if b-a >= 5*hosts {
				n++
			}
		}
	}
	for _, h := range hits {
		gap(h.host, h.at)
		last[h.host] = h.at
	}
	for k := range last {
		gap(k, to)
	}
	return n
}

// over gives the longest time that a host stayed above 1.5 times its part, seen in windows of 1 s that move by a
// tenth, and how many hosts did so for over 1 s. A window counts where a host's part of it is 5 dispatches or more.
func over(hits []hit, part []float64, from, to int64) (longest time.Duration, hosts float64) {
	const tick = int64(100 * time.Millisecond)
	ticks := int((to - from) / tick)
	counts, all := make([][]int32, ticks), make([]int, ticks)
	for i := range counts {
		counts[i] = make([]int32, len(part))
	}
	for _, h := range hits {
		if t := int((h.at - from) / tick); t < ticks {
			counts[t][h.host]++
			all[t]++
		}
	}
	for k := range part {
		run, most, mine, sum := 0, 0, 0, 0
		for t := range ticks {
			mine, sum = mine+int(counts[t][k]), sum+all[t]
			if t >= 10 {
				mine, sum = mine-int(counts[t-10][k]), sum-all[t-10]
			}
			want := float64(sum) * part[k]
			if t >= 9 && want >= 5 && float64(mine) > 1.5*want {
				run++
			} else {
				run = 0
			}
			most = max(most, run)
		}
		d := time.Duration(int64(most) * tick)
		longest = max(longest, d)
		if d > time.Second {
			hosts++
		}
	}
	return longest, hosts
}

// Evenly returns a check: over the whole load after its warm-up, at the hosts listed at first, the most and the least loaded were within
// these bounds in windows of 10 s, or within 1.1 times what chance alone gives, where that is wider. Where the rig itself
// ran late it does not judge: the fleet then steers by the machine's business.
func Evenly(most, least float64) Check {
	return Check{fmt.Sprintf("hosts between %g and %g of their part in 10 s", least, most), func(r *Report) string {
		s := r.Scenario
		hosts := Seats(0, s.Plan.Hosts-len(s.Plan.Unlisted))
		fleet, chance, _ := r.Even(hosts, r.Began+int64(s.Warm), r.Ended)
		ten, c := fleet.Windows[10*time.Second], chance.Windows[10*time.Second]
		if ten.Count > 0 && ten.Most <= max(most, 1.1*c.Most) && ten.Least >= min(least, c.Least/1.1) {
			return ""
		}
		if clients, late := r.Late(); max(clients, late) > busy/5 {
			return ""
		}
		return fmt.Sprintf("%v; by chance %v", fleet, chance)
	}}
}

// String is a line of figures.
func (e Evenness) String() string {
	var b strings.Builder
	for _, d := range []time.Duration{time.Second, 10 * time.Second} {
		if s, ok := e.Windows[d]; ok {
			fmt.Fprintf(&b, "%v: most %.2f least %.2f variation %.3f; ", d, s.Most, s.Least, s.Variation)
		}
	}
	fmt.Fprintf(&b, "idle %.1f; over 1.5 for %.1f s, %.1f hosts", e.Idle, e.Over.Seconds(), e.OverHosts)
	if e.Held[2] > 0 {
		fmt.Fprintf(&b, "; held by %.0f to %.0f, mean %.1f", e.Held[0], e.Held[2], e.Held[1])
	}
	return b.String()
}
