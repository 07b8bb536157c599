package subsetsim

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"ravensill/gateway"
	"ravensill/lab/schedule"
	"ravensill/logic"
	"ravensill/subset"
)

// Step is one thing that happens in a day, From after its start. The Kind says what the other fields mean.
type Step struct {
	From time.Duration
	Kind Kind
	N    int           // hosts, or hundredths of the gateways
	Over time.Duration // how long it lasts
}

// Kind names what a Step does.
type Kind int

const (
	Join    Kind = iota // N cold hosts come at once
	Hush                // N hosts answer nothing for Over, then heal
	Differ              // N hosts are replaced by warm ones; every second gateway hears it Over later
	Replace             // N hosts are replaced by cold ones, evenly within Over
	Restart             // N in 100 gateways die at once and are back, knowing nothing, after Over
	Cut                 // N in 100 gateways can't reach a third of the hosts for Over
)

// Day is one simulated day: gateways of package logic, clients without quotas, hosts with places and a queue.
type Day struct {
	Name            string
	Seed            uint64
	Gateways, Hosts int
	Rate            float64       // reqs a second, over all
	Customers       int           // of log-normal rates (sigma 1), each at half to all of the gateways
	Skew            float64       // sigma of the gateways' log-normal traffic
	Heavy           float64       // gateway 0 has so many times the mean; 0 as any other
	Light           int           // hosts with a quarter of the weight and the places
	Slow            int           // of the other hosts, those that take three times as long
	Slots           int           // reqs that a host works on at once
	Work            time.Duration // mean of a req's exponential time
	Length          time.Duration
	Steps           []Step
	Rule            func(seat, seats int, hosts []subset.Endpoint) []int // nil: the module's own
}

const (
	bin    = int64(100 * time.Millisecond)
	warmUp = 10 * time.Second // of the model's cold hosts; measured from twice that on
	cold   = 0.3
)

// Landed is the rule that the module had before package subset.
var Landed = rendezvous

type world struct {
	day     Day
	rnd     *rand.Rand
	now     int64
	q       schedule.Schedule[func()]
	gws     []*gw
	hosts   []*host // by number less 1, gone ones too
	reqs    int
	result  Result
	byID    map[uint32]*host
	weights []float64 // of the gateways' traffic, summed up
}

type gw struct {
	w     *world
	i     int
	g     *logic.Gateway
	life  int
	dead  bool
	late  int64           // news of the list come so much later
	cut   int64           // it can't reach a third of the hosts until then
	knows map[uint32]bool // running hosts, by its list
	out   map[string]*try
	used  map[uint32]bool
}

type try struct {
	id    string
	n     int
	host  *host
	at    int64
	over  bool
	owner *gw
	life  int
}

type host struct {
	id            uint32
	weight        float64
	since, up, to int64 // its start; it runs from up to to, by the list
	hushed        int64
	slots, busy   int
	slow          bool
	queue         []*try
	bins          []int // dispatches taken, by time
}

func (h *host) warmth(now int64) float64 {
	if h.since == 0 || now-h.since >= int64(warmUp) {
		return 1
	}
	return cold + (1-cold)*float64(now-h.since)/float64(warmUp)
}

func (w *world) at(t int64, do func()) { w.q.Add(t, do) }

// Play plays a day.
func Play(d Day) Result {
	w := &world{day: d, rnd: rand.New(rand.NewPCG(d.Seed, 11)), now: int64(100 * time.Second), byID: map[uint32]*host{}}
	start := w.now
	w.result.start = start
	for i := range d.Hosts {
		w.add(0, i < d.Light).slow = i >= d.Light && i < d.Light+d.Slow
	}
	sum := 0.0
	for i := range d.Gateways {
		g := &gw{w: w, i: i, out: map[string]*try{}, used: map[uint32]bool{}}
		w.gws = append(w.gws, g)
		w.boot(g)
		t := math.Exp(d.Skew * w.rnd.NormFloat64())
		if i == 0 && d.Heavy > 0 {
			t = d.Heavy * math.Exp(d.Skew*d.Skew/2)
		}
		sum += t
		w.weights = append(w.weights, sum)
	}
	rates := make([]float64, d.Customers)
	total := 0.0
	for i := range rates {
		rates[i] = math.Exp(w.rnd.NormFloat64())
		total += rates[i]
	}
	for i := range rates {
		w.customer(fmt.Sprintf("c%d", i), rates[i]/total*d.Rate, w.rnd.IntN(d.Gateways),
			int(float64(d.Gateways)*(0.5+w.rnd.Float64()/2)))
	}
	for _, s := range d.Steps {
		w.at(start+int64(s.From), func() { w.step(s) })
	}
	for end := start + int64(d.Length); w.q.Len() > 0; {
		at, do := w.q.Next()
		if at > end {
			break
		}
		w.now = at
		do()
	}
	for _, g := range w.gws {
		w.result.Used += float64(len(g.used)) / float64(d.Gateways)
	}
	w.result.throw(w.hosts, w.rnd, int(int64(d.Length)/bin))
	return w.result
}

// add starts a host; weight and places go together.
func (w *world) add(since int64, light bool) *host {
	h := &host{id: uint32(mix(w.day.Seed<<32+uint64(len(w.hosts))))&0x7ffffff | 1, weight: 1, since: since, up: w.now,
		to: math.MaxInt64, slots: w.day.Slots}
	if light {
		h.weight, h.slots = 0.25, max(w.day.Slots/4, 1)
	}
	w.hosts, w.byID[h.id] = append(w.hosts, h), h
	return h
}

// boot starts a gateway anew with the list as it is.
func (w *world) boot(g *gw) {
	fronts := []gateway.RequestClass{{LatencyObjective: 2 * time.Second, Timeout: 8 * time.Second, Value: 1, LateValue: 0.2}}
	limits := gateway.Limits{MaxAttempts: 3, Cancellation: true, RetryAfter: true, MaxRetryAfter: 2 * time.Second}
	g.g = logic.New(w.rnd.Uint64(), gateway.Membership{Index: g.i, Count: w.day.Gateways}, fronts, []gateway.Plan{{PriorityWeight: 1}},
		limits, gateway.SlowStart{InitialFraction: cold, Duration: warmUp, OverloadFactor: 3, OverloadWindow: 3 * time.Second},
		gateway.LoadReportForm{Fields: []gateway.LoadField{gateway.Utilization}, WithAnswers: true})
	g.life, g.dead, g.out, g.knows = g.life+1, false, map[string]*try{}, map[uint32]bool{}
	var list []gateway.Endpoint
	for _, h := range w.hosts {
		if h.to == math.MaxInt64 {
			list = append(list, gateway.Endpoint{Host: h.id, Weight: h.weight, StartedAt: gateway.Time(h.since)})
		}
	}
	g.listed(gateway.ListComplete, list)
}

func (g *gw) listed(kind gateway.ListKind, list []gateway.Endpoint) {
	g.round(gateway.Event{Kind: gateway.EndpointsListed, ListKind: kind, Endpoints: list})
	for _, l := range list {
		if delete(g.knows, l.Host); l.State == gateway.Running {
			g.knows[l.Host] = true
		}
	}
	if g.w.day.Rule == nil {
		return
	}
	var hosts []subset.Endpoint
	var ids []uint32
	held := map[uint32]bool{}
	for _, h := range g.w.hosts {
		if g.knows[h.id] {
			hosts, ids = append(hosts, subset.Endpoint{Hash: mix(uint64(h.id) + 1), Weight: h.weight}), append(ids, h.id)
		}
	}
	for _, i := range g.w.day.Rule(g.i, g.w.day.Gateways, hosts) {
		held[ids[i]] = true
	}
	g.g.HoldSubset(func(id uint32) bool { return held[id] })
}

// tell brings a change of the list to all gateways, each after a while of its own.
func (w *world) tell(late bool, list ...gateway.Endpoint) {
	for i, g := range w.gws {
		wait := int64(w.rnd.Float64() * 0.3e9)
		if late && i%2 == 1 {
			wait += g.late
		}
		life := g.life
		w.at(w.now+wait, func() {
			if g.life == life && !g.dead {
				g.listed(gateway.ListChanges, list)
			}
		})
	}
}

func (w *world) running() (up []*host) {
	for _, h := range w.hosts {
		if h.to == math.MaxInt64 {
			up = append(up, h)
		}
	}
	return up
}

func (w *world) replace(h *host, since int64, late bool) {
	h.to = w.now
	n := w.add(since, h.weight < 1)
	w.tell(late, gateway.Endpoint{Host: h.id, Weight: h.weight, State: gateway.Gone},
		gateway.Endpoint{Host: n.id, Weight: n.weight, StartedAt: gateway.Time(since)})
}

func (w *world) step(s Step) {
	up := w.running()
	w.rnd.Shuffle(len(up), func(i, j int) { up[i], up[j] = up[j], up[i] })
	switch s.Kind {
	case Join:
		for range s.N {
			h := w.add(w.now, false)
			w.tell(false, gateway.Endpoint{Host: h.id, Weight: 1, StartedAt: gateway.Time(h.since)})
		}
	case Hush:
		for _, h := range up[:s.N] {
			h.hushed = w.now + int64(s.Over)
			w.at(h.hushed, func() { w.work(h) })
		}
	case Differ:
		for _, g := range w.gws {
			g.late = int64(s.Over)
		}
		for _, h := range up[:s.N] {
			w.replace(h, 0, true)
			h.to = w.now + int64(s.Over) // it serves on for those who have not heard
		}
	case Replace:
		for i, h := range up[:s.N] {
			w.at(w.now+int64(s.Over)*int64(i)/int64(s.N), func() { w.replace(h, w.now, false) })
		}
	case Restart:
		for _, i := range w.rnd.Perm(len(w.gws))[:len(w.gws)*s.N/100] {
			g := w.gws[i]
			g.dead = true
			w.at(w.now+int64(s.Over), func() { w.boot(g) })
		}
	case Cut:
		for _, i := range w.rnd.Perm(len(w.gws))[:len(w.gws)*s.N/100] {
			w.gws[i].cut = w.now + int64(s.Over)
		}
	}
}

// customer lets one customer ask from now on, at its set of gateways by their traffic.
func (w *world) customer(name string, rate float64, first, spread int) {
	w.at(w.now+int64(w.rnd.ExpFloat64()/rate*1e9), func() {
		w.customer(name, rate, first, spread)
		n := len(w.gws)
		for range 1000 {
			x := w.rnd.Float64() * w.weights[n-1]
			i := 0
			for lo, hi := 0, n-1; lo <= hi; {
				if m := (lo + hi) / 2; w.weights[m] < x {
					lo = m + 1
				} else {
					hi, i = m-1, m
				}
			}
			if g := w.gws[i]; !g.dead && (i-first+n)%n < spread {
				w.reqs++
				w.result.Reqs++
				g.round(gateway.Event{Kind: gateway.RequestArrived, RequestID: fmt.Sprint("r", w.reqs), Customer: name,
					Deadline: gateway.Time(w.now).Add(8 * time.Second), Units: 1, Spread: spread, FirstGateway: first})
				return
			}
		}
	})
}

func (g *gw) round(e gateway.Event) {
	if !g.dead {
		g.g.Decide(&gateway.Batch{Now: gateway.Time(g.w.now), Events: []gateway.Event{e}}, g)
	}
}

func (g *gw) StartAttempt(id string, number uint32, timeout time.Duration) {
	w := g.w
	t := &try{id: id, at: w.now, owner: g, life: g.life, host: w.byID[number]}
	if last := g.out[id]; last != nil {
		t.n = last.n + 1
	}
	g.out[id] = t
	g.used[number] = true
	h := t.host
	if w.now < g.cut && number%3 == 0 {
		w.at(w.now+int64(timeout), func() { t.end(gateway.TimedOut, -1) })
		return
	}
	w.at(w.now+int64(timeout), func() { t.end(gateway.TimedOut, -1) })
	w.at(w.now+int64(250*time.Microsecond), func() {
		n := int((w.now - w.result.start) / bin)
		for len(h.bins) <= n {
			h.bins = append(h.bins, 0)
		}
		h.bins[n]++
		h.queue = append(h.queue, t)
		w.work(h)
	})
}

// work starts what waits at a host while it has places.
func (w *world) work(h *host) {
	for w.now >= h.hushed && h.busy < h.slots && len(h.queue) > 0 {
		t := h.queue[0]
		if h.queue = h.queue[1:]; t.over {
			continue
		}
		h.busy++
		work := w.rnd.ExpFloat64() * float64(w.day.Work) / h.warmth(w.now)
		if h.slow {
			work *= 3
		}
		w.at(w.now+int64(work), func() {
			h.busy--
			if w.now >= h.hushed {
				t.end(gateway.Succeeded, float64(h.busy)/float64(h.slots))
			}
			w.work(h)
		})
	}
}

func (t *try) end(res gateway.Result, util float64) {
	g := t.owner
	if t.over || g.life != t.life || g.dead {
		return
	}
	t.over = true
	e := gateway.Event{Kind: gateway.AttemptEnded, RequestID: t.id, Host: t.host.id, Attempt: t.n, Result: res, Latency: time.Duration(g.w.now - t.at),
		Closed: res == gateway.Succeeded}
	if util >= 0 {
		e.LoadReport = []float64{util}
	}
	if res == gateway.Succeeded {
		g.w.result.Passed++
		g.w.result.lag += int64(e.Latency)
		delete(g.out, t.id)
	}
	g.round(e)
}

func (g *gw) CancelAttempt(id string, n int) {
	if t := g.out[id]; t != nil && t.n == n {
		g.w.at(g.w.now, func() { t.end(gateway.Canceled, -1) })
	}
}

func (g *gw) SetTimer(after time.Duration) {
	life := g.life
	g.w.at(g.w.now+int64(after), func() {
		if g.life == life {
			g.round(gateway.Event{Kind: gateway.TimerFired})
		}
	})
}

func (g *gw) Reject(id string, after time.Duration)       { g.w.result.Denied++; delete(g.out, id) }
func (g *gw) Fail(id string)                              { delete(g.out, id) }
func (g *gw) SendGossip(int, []byte)                      {}
func (g *gw) SendProbe(uint32)                            {}
func (g *gw) WatchEndpoints()                             {}
func (g *gw) AddToCounter(uint64, float64, time.Duration) {}
func (g *gw) LogNote(string)                              {}
