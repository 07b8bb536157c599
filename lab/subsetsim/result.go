package subsetsim

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"golang.org/x/sync/errgroup"
)

// Result is what a day measured, beside the same dispatches thrown by chance: each tenth of a second's, over the hosts
// that run then by weight and warmth, by one who sees all.
type Result struct {
	Reqs, Passed, Denied int
	Used                 float64 // hosts that a gateway sent to, on average
	start, lag           int64
	bins                 int
	hosts                []*host
	chance               [][]int // by host and bin
}

// part is a host's weight in what is sent at a time; 0 while it does not run. Hosts that are new count less for 3 s,
// while lists travel, and one that is hushed not at all.
func (h *host) part(now int64) float64 {
	if now < h.up || now >= h.to || now < h.hushed {
		return 0
	}
	return h.weight * h.warmth(now)
}

func (r *Result) throw(hosts []*host, rnd *rand.Rand, bins int) {
	r.hosts, r.bins, r.chance = hosts, bins, make([][]int, len(hosts))
	for i, h := range hosts {
		h.bins = append(h.bins, make([]int, max(bins-len(h.bins)+1, 0))...)
		r.chance[i] = make([]int, bins)
	}
	for b := range bins {
		n, sums, sum := 0, make([]float64, len(hosts)), 0.0
		for i, h := range hosts {
			n += h.bins[b]
			sum += h.part(r.start + int64(b)*bin)
			sums[i] = sum
		}
		for range n {
			x, i := rnd.Float64()*sum, 0
			for sums[i] <= x {
				i++
			}
			r.chance[i][b]++
		}
	}
}

// Lag is the mean time of an answer, and Slow what a slow host took over what another did.
func (r *Result) Lag() time.Duration { return time.Duration(r.lag / int64(max(r.Passed, 1))) }

func (r *Result) Slow() float64 {
	got, n := [2]float64{}, [2]float64{}
	for _, h := range r.hosts {
		kind := 0
		if h.slow {
			kind = 1
		}
		n[kind]++
		for _, k := range h.bins {
			got[kind] += float64(k)
		}
	}
	return got[1] / n[1] / (got[0] / n[0])
}

// Even is how even windows of one length were: the most and the least that a host took over its part, the worst
// window's and the mean of all windows'.
type Even struct{ Most, Least, MeanMost, MeanLeast float64 }

func (e Even) String() string {
	return fmt.Sprintf("%.2f..%.2f (mean of windows %.2f..%.2f)", e.Least, e.Most, e.MeanLeast, e.MeanMost)
}

// Windows gives how even windows from one time to another were, among hosts that ran warm all the while: what was
// sent, and chance.
func (r *Result) Windows(from, to, length time.Duration) (sent, chance Even) {
	return r.windows(from, to, length, false), r.windows(from, to, length, true)
}

func (r *Result) got(i int, chance bool) []int {
	if chance {
		return r.chance[i]
	}
	return r.hosts[i].bins
}

// ratios gives what each host got in bins a to b over its part, NaN for those that did not run all the while.
func (r *Result) ratios(a, b int, chance, warm bool) []float64 {
	x, all, sum := make([]float64, len(r.hosts)), 0.0, 0.0
	parts := make([]float64, len(r.hosts))
	for i, h := range r.hosts {
		x[i] = math.NaN()
		first, last := r.start+int64(a)*bin, r.start+int64(b)*bin
		if h.part(first) == 0 || h.to < last || warm && h.warmth(first) < 1 || h.hushed > 0 && last > h.hushed-int64(20*time.Second) && first < h.hushed {
			continue
		}
		x[i] = 0
		for k := a; k < b; k++ {
			x[i] += float64(r.got(i, chance)[k])
			parts[i] += h.part(r.start + int64(k)*bin)
		}
		all += x[i]
		sum += parts[i]
	}
	for i := range x {
		x[i] /= max(all*parts[i]/sum, 1e-9)
	}
	return x
}

func (r *Result) windows(from, to, length time.Duration, chance bool) Even {
	e, n := Even{Least: math.Inf(1)}, 0.0
	step := int(int64(time.Second) / bin)
	for a := int(int64(from) / bin); a+int(int64(length)/bin) <= int(int64(to)/bin); a += step {
		least, most := math.Inf(1), 0.0
		for _, v := range r.ratios(a, a+int(int64(length)/bin), chance, true) {
			if !math.IsNaN(v) {
				least, most = min(least, v), max(most, v)
			}
		}
		e.Least, e.Most = min(e.Least, least), max(e.Most, most)
		e.MeanLeast, e.MeanMost, n = e.MeanLeast+least, e.MeanMost+most, n+1
	}
	e.MeanLeast, e.MeanMost = e.MeanLeast/n, e.MeanMost/n
	return e
}

// Over gives the longest time that any host, cold ones too, had over 1.5 times its part in each window of a second,
// in the sent and by chance, and the most over its part that one had in a second.
func (r *Result) Over(from, to time.Duration) (sent, chance time.Duration, most, mostChance float64) {
	run := func(chance bool) (longest time.Duration, most float64) {
		runs := make([]int, len(r.hosts))
		second := int(int64(time.Second) / bin)
		for a := int(int64(from) / bin); a+second <= int(int64(to)/bin); a++ {
			for i, v := range r.ratios(a, a+second, chance, false) {
				if most = max(most, nought(v)); v > 1.5 {
					runs[i]++
					longest = max(longest, time.Duration(int64(runs[i])*bin))
				} else {
					runs[i] = 0
				}
			}
		}
		return longest, most
	}
	sent, most = run(false)
	chance, mostChance = run(true)
	return sent, chance, most, mostChance
}

func nought(v float64) float64 {
	if math.IsNaN(v) {
		return 0
	}
	return v
}

// Idle counts the hosts that ran warm and took nothing for two seconds in a row at some time, and tells the mean
// that a host took in two seconds.
func (r *Result) Idle(from, to time.Duration) (sent, chance int, mean float64) {
	count := func(chance bool) (n int) {
		for i, h := range r.hosts {
			gap, seen := 0, false
			for b := int(int64(from) / bin); b < int(int64(to)/bin); b++ {
				now := r.start + int64(b)*bin
				if gap++; r.got(i, chance)[b] > 0 || h.part(now) == 0 || h.warmth(now) < 1 || h.hushed > 0 {
					gap = 0
				}
				seen = seen || gap >= 20
			}
			if seen {
				n++
			}
		}
		return n
	}
	total, hosts := 0, 0.0
	for _, h := range r.hosts {
		for b := int(int64(from) / bin); b < int(int64(to)/bin); b++ {
			total += h.bins[b]
			if h.part(r.start+int64(b)*bin) > 0 {
				hosts++
			}
		}
	}
	return count(false), count(true), float64(total) / hosts * 20
}

// Days are the ones that docs/spread.md shows, for one seed: steady ones, then what happens at 15 s of 40.
func Days(seed uint64, gateways, hosts int) []Day {
	base := Day{Seed: seed, Gateways: gateways, Hosts: hosts, Rate: float64(15 * hosts), Customers: 2000, Skew: 0.7,
		Slots: 12, Work: 400 * time.Millisecond, Length: 40 * time.Second}
	day := func(name string, set func(d *Day)) Day {
		d := base
		d.Name = name
		set(&d)
		return d
	}
	step := func(name string, kind Kind, n int, over time.Duration) Day {
		return day(name, func(d *Day) { d.Steps = []Step{{15 * time.Second, kind, n, over}} })
	}
	return []Day{
		day("steady, even traffic", func(d *Day) { d.Skew = 0 }),
		day("steady, unequal traffic", func(d *Day) {}),
		day("a quarter of that traffic", func(d *Day) { d.Rate, d.Slots = d.Rate/4, 3 }),
		day("one gateway with ten times the mean", func(d *Day) { d.Heavy = 10 }),
		day("a host with a quarter of the weight", func(d *Day) { d.Light = 1 }),
		day("one host in eight three times as slow", func(d *Day) { d.Slow, d.Slots = hosts/8, 14 }),
		step("a cold host joins", Join, 1, 0),
		step("one host in 20 is silent for 6 s", Hush, hosts/20, 6*time.Second),
		step("one in 20 replaced, half hear 6 s late", Differ, hosts/20, 6*time.Second),
		step("six in ten replaced within 7 s", Replace, hosts*6/10, 7*time.Second),
		step("seven in ten gateways restart", Restart, 70, time.Second),
		step("three in ten gateways cut off from a third for 6 s", Cut, 30, 6*time.Second),
	}
}

// Row plays a day and writes its figures as a row of a table under Head.
func Row(d Day, rule string) string {
	r := Play(d)
	from, end := 15*time.Second, d.Length
	ten, tenChance := r.Windows(from, end, 10*time.Second)
	one, oneChance := r.Windows(from, end, time.Second)
	idle, idleChance, mean := r.Idle(from, end)
	over, overChance, most, mostChance := r.Over(from, end)
	return fmt.Sprintf("| %s | %s | %d | %.2f..%.2f (%.2f..%.2f) | %.2f..%.2f (%.2f..%.2f) | %d (%d) of %.1f | %.1f (%.1f) s | %.1f (%.1f) | %.1f | %.3f | %d ms |\n",
		d.Name, rule, d.Seed, ten.Least, ten.Most, tenChance.Least, tenChance.Most, one.MeanLeast, one.MeanMost, oneChance.MeanLeast,
		oneChance.MeanMost, idle, idleChance, mean, over.Seconds(), overChance.Seconds(), most, mostChance, r.Used,
		float64(r.Passed)/float64(r.Reqs), r.Lag().Milliseconds())
}

// Head is the head of Row's table. What chance gives stands in brackets.
const Head = "| day | rule | seed | worst of 10 s | mean of 1 s | idle 2 s, mean in 2 s | longest over 1.5 | most in 1 s | hosts used | passed | time |\n" +
	"| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n"

// Measure plays all days at 300 gateways, under the landed rule of subsets and the one in use, a few at a time.
func Measure(seeds []uint64) string {
	var jobs errgroup.Group
	jobs.SetLimit(4)
	var rows []*string
	for _, hosts := range []int{200, 60} {
		for _, day := range Days(0, 300, hosts) {
			for _, day.Seed = range seeds {
				for _, name := range []string{"landed", "dealt"} {
					day, row := day, new(string)
					if rows = append(rows, row); name == "landed" {
						day.Rule = Landed
					}
					jobs.Go(func() error {
						*row = Row(day, name)
						return nil
					})
				}
			}
		}
	}
	jobs.Wait()
	text := "300 gateways, 200 hosts; below 60\n\n" + Head
	for _, row := range rows {
		text += *row
	}
	return text
}
