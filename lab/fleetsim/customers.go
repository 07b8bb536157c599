package fleetsim

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"
)

// CustomerReport is what one customer met. Counts are of reqs of one unit.
type CustomerReport struct {
	Name, Plan          string
	Spread              int     // gateways in its set
	Times               float64 // demand over quota rate (while it asks)
	Heavy, Spiky        bool
	First, Ideal        int // first tries; of these what one who sees them all would let in
	Tries, Sent, Beyond int
	DeniedWithRoom      int
	price, cost         float64
}

// Sample is the state of one heavy customer of each plan at one time: the true bucket beside several copies.
type Sample struct {
	At     time.Duration
	Name   string
	True   float64   // units in the true bucket
	Copies []float64 // units in the copies of some of its gateways
	Others []float64 // units a second that these take their peers to admit
}

// habits draws how unevenly a customer's reqs come, over its gateways and in time.
func (s *sim) habits(c *customer) {
	cfg, p := s.cfg, s.plans[c.plan]
	if cfg.Uneven > 0 {
		sum := 0.0
		for range c.spread {
			sum += math.Exp(s.rnd.NormFloat64() * cfg.Uneven)
			c.parts = append(c.parts, sum)
		}
	}
	if cfg.Spiky > 0 && !c.heavy && s.rnd.Float64() < cfg.Spiky {
		c.spiky, c.spikeAt = true, int64(s.rnd.Float64()*float64(cfg.SpikeEvery))
		c.rate = p.Rate * (cfg.HeavyTimes[0] + s.rnd.Float64()*(cfg.HeavyTimes[1]-cfg.HeavyTimes[0]))
	}
	c.ideal, c.idealAt = p.Burst, s.now
	c.report = &CustomerReport{Name: c.name, Plan: cfg.Plans[c.plan].Name, Spread: c.spread, Times: c.rate / p.Rate,
		Heavy: c.heavy, Spiky: c.spiky, price: p.Price, cost: p.BeyondCost}
}

// spell tells whether a spiky customer asks now.
func (s *sim) spell(c *customer) bool {
	return (s.now+c.spikeAt)%int64(s.cfg.SpikeEvery) < int64(s.cfg.SpikeOn)
}

// step changes what the heavy customers ask, for the rest of the day.
func (s *sim) step() {
	for _, c := range s.custs {
		if c.heavy {
			c.rate = s.cfg.StepTo * s.plans[c.plan].Rate
		}
	}
}

// place draws the gateway of its set that a req of c comes to.
func (s *sim) place(c *customer) int {
	if c.parts == nil {
		return s.rnd.IntN(c.spread)
	}
	i, _ := slices.BinarySearch(c.parts, s.rnd.Float64()*c.parts[c.spread-1])
	return min(i, c.spread-1)
}

// first counts a first try, and whether one who sees all first tries would have let it in.
func (s *sim) first(c *customer) {
	c.report.First++
	p := s.plans[c.plan]
	t := float64(s.now-c.idealAt) / float64(time.Second)
	c.idealAt = s.now
	if c.ideal = math.Min(c.ideal+t*p.Rate, p.Burst); c.ideal >= 1 {
		c.ideal--
		c.report.Ideal++
	}
}

// sample notes the first heavy customer of each plan.
func (s *sim) sample(at time.Duration) {
	seen := map[int]bool{}
	for _, c := range s.custs {
		if !c.heavy || seen[c.plan] {
			continue
		}
		seen[c.plan] = true
		s.refill(c)
		x := Sample{At: at, Name: c.report.Plan, True: c.level}
		for i := range min(4, c.spread) {
			g := s.gws[(c.first+i*c.spread/4)%len(s.gws)]
			level, others, known := g.g.Copy(c.name)
			if !known {
				level = s.plans[c.plan].Burst
			}
			x.Copies, x.Others = append(x.Copies, level), append(x.Others, others)
		}
		s.rep.Trace = append(s.rep.Trace, x)
	}
}

// Worth is what was sent within the true buckets less the cost of what was sent beyond them, of what one who
// sees all first tries would let in; each customer's worth counts at most once over.
func (r Report) Worth() float64 {
	got, all := 0.0, 0.0
	for _, c := range r.Customers {
		within := math.Min(float64(c.Sent-c.Beyond), float64(c.Ideal))
		got += c.price * (within - c.cost*float64(c.Beyond))
		all += c.price * float64(c.Ideal)
	}
	return got / math.Max(all, 1e-9)
}

// Used is the part of what the quotas would let in that was sent within them.
func (r Report) Used() float64 {
	within, ideal := 0, 0
	for _, c := range r.Customers {
		within += min(c.Sent-c.Beyond, c.Ideal)
		ideal += c.Ideal
	}
	return share(within, ideal)
}

// Table tells who sends beyond the quotas and who is denied with room: by plan and by demand over quota.
func (r Report) Table() string {
	bands := []struct {
		name string
		in   func(c CustomerReport) bool
	}{
		{"under 0.6", func(c CustomerReport) bool { return !c.Spiky && c.Times < 0.6 }},
		{"0.6 to 1", func(c CustomerReport) bool { return !c.Spiky && c.Times >= 0.6 && c.Times < 1 }},
		{"1 to 2.5", func(c CustomerReport) bool { return !c.Spiky && c.Times >= 1 && c.Times < 2.5 }},
		{"2.5 up", func(c CustomerReport) bool { return !c.Spiky && c.Times >= 2.5 }},
		{"spiky", func(c CustomerReport) bool { return c.Spiky }},
	}
	var plans []string
	for _, c := range r.Customers {
		if !slices.Contains(plans, c.Plan) {
			plans = append(plans, c.Plan)
		}
	}
	b := &strings.Builder{}
	fmt.Fprintf(b, "%-9s %-9s %5s %6s %6s %6s | %6s %6s %9s %8s\n", "plan", "demand", "custs", "spread", "first/s*",
		"ideal", "within", "beyond", "of beyond", "with room")
	for _, plan := range plans {
		for _, band := range bands {
			n, spread, x := 0, 0, CustomerReport{}
			for _, c := range r.Customers {
				if c.Plan != plan || !band.in(c) {
					continue
				}
				n, spread, x.First, x.Ideal = n+1, spread+c.Spread, x.First+c.First, x.Ideal+c.Ideal
				x.Tries, x.Sent, x.Beyond = x.Tries+c.Tries, x.Sent+c.Sent, x.Beyond+c.Beyond
				x.DeniedWithRoom += c.DeniedWithRoom
			}
			if n == 0 {
				continue
			}
			fmt.Fprintf(b, "%-9s %-9s %5d %6d %8d %6d | %6.3f %6.3f %9.3f %8.3f\n", plan, band.name, n, spread/n,
				x.First, x.Ideal, share(x.Sent-x.Beyond, x.Ideal), share(x.Beyond, x.Sent),
				float64(x.Beyond)/math.Max(r.Beyond, 1), share(x.DeniedWithRoom, x.Tries))
		}
	}
	fmt.Fprintf(b, "worth %.3f, quota used %.3f, beyond %.3f, denied with room %.3f, messages %d, %.0f B\n", r.Worth(), r.Used(),
		r.BeyondShare(), r.WithRoomShare(), r.Messages, float64(r.MessageBytes)/math.Max(float64(r.Messages), 1))
	return b.String()
}
