// Package fleetsim plays many gateways of package logic in one process against a model of clients, hosts and
// the datagrams between gateways, on a simulated clock, and measures what the five rules and the quotas care
// about: units sent on beyond each customer's true bucket, reqs refused while that bucket had room, answers
// in time, time-outs, and the messages each gateway took in.
//
// It is the laboratory's model of a fleet at a size no machine plays in real time (hundreds of gateways).
// It is a discrete-event simulation (one heap of timed events, one event a round), deterministic for a seed:
// the same Config gives the same Report, bit for bit. It does no I/O.
//
// The model, by part:
//   - Customers ask Poisson-distributed reqs at a rate that is a part of their plan's quota (most below it,
//     a Heavy share a multiple above it), each at a gateway of its set chosen at random. A denied req is
//     tried again by its client after the retry-after, up to Retries times, if that is before its deadline.
//   - The truth keeps each customer's bucket as the plans state it, over all gateways together: a first
//     dispatch takes its units from it, and what the bucket lacks is sent on beyond the quota; a denial while
//     it holds half a burst or more is a denial with room.
//   - Hosts have Slots reqs at work at once and a queue of Queue; service times are exponential about Work.
//     A full queue answers busy. Each answer tells the host's busy share (a load report).
//   - A message reaches its receiver after MailDelay, or not at all: with chance MailLoss, or when the
//     receiver has taken in MailPerSecond messages within the last second.
package fleetsim

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"ravensill/gateway"
	"ravensill/lab/schedule"
	"ravensill/logic"
)

// Plan is one plan of the model and its customers.
type Plan struct {
	Name                      string
	Rate, Burst               float64 // units a second, units: each customer's quota over all gateways
	Open                      int     // dispatches out at once over all gateways; 0 none
	CeilingRate, CeilingBurst float64 // hard ceiling; 0 none
	Customers                 int
	Spread                    [2]float64 // part of all gateways in a customer's set, drawn in this range
	Set                       int        // if above 0, the number of gateways in each customer's set instead
}

// Config is one experiment. Times are durations of the simulated clock.
type Config struct {
	Seed          uint64
	Gateways      int
	Hosts         int
	Slots, Queue  int           // a host's reqs at work at once, and waiting
	Work          time.Duration // mean service time of a req
	Target        time.Duration // response target of the one frontend
	Deadline      time.Duration // the client gives a req up then
	Plans         []Plan
	Demand        [2]float64 // a usual customer asks this part of its quota, drawn in this range
	Heavy         float64    // part of the customers that ask a multiple of their quota
	HeavyTimes    [2]float64 // that multiple, drawn in this range
	Retries       int        // a client's further tries after a denial
	MailPerSecond float64    // messages a gateway takes in within a second; 0: gateways don't message
	MailDelay     time.Duration
	MailLoss      float64
	NetDelay      time.Duration // one way, gateway to host
	Length        time.Duration // of the day
	Uneven        float64       // a gateway's part of a customer's reqs: log-normal with this sigma, 0 even
	Spiky         float64       // part of the customers that ask HeavyTimes their quota by spells of SpikeOn in SpikeEvery
	SpikeOn       time.Duration
	SpikeEvery    time.Duration
	StepAt        time.Duration // from then on the heavy ask StepTo of their quota; 0 never
	StepTo        float64
	Trace         time.Duration // a sample of copies' levels so often; 0 none
}

// Report is what a day measured. Units are the quota's units.
type Report struct {
	Reqs, Passed, Denied, DeniedWithRoom, TimedOut, Busy, Late int
	Admitted, Beyond                                           float64 // units sent on, and of these beyond the true buckets
	OverOpen                                                   int     // first dispatches beyond a plan's cap on open ones
	OverCeiling                                                float64 // units beyond a ceiling and its slack: a broken rule
	Messages, Dropped                                          int     // taken in; lost or over a receiver's budget
	MessageBytes                                               int
	Rounds                                                     int
	HostsUsed                                                  float64 // mean hosts a gateway sent to
	BusiestHost                                                float64 // most reqs a host took, against the mean
	Plans                                                      []PlanReport
	Limit, Out, Lateness                                       float64 // means over gateways and seconds
	Customers                                                  []CustomerReport
	Trace                                                      []Sample
	Windows                                                    []Window // of 5 s
}

// Window is what was sent on of heavy customers in a part of the day.
type Window struct{ Sent, Beyond int }

// PlanReport is a plan's part of a Report.
type PlanReport struct {
	Name                          string
	Reqs, Denied, DeniedWithRoom  int
	Admitted, Beyond, Asked, Owed float64 // units sent on, beyond, asked; owed: what the quotas allowed
}

func (p PlanReport) String() string {
	return fmt.Sprintf("%s: reqs %d denied %.3f (with room %.3f), beyond %.3f", p.Name, p.Reqs,
		share(p.Denied, p.Reqs), share(p.DeniedWithRoom, p.Reqs), p.Beyond/math.Max(p.Admitted, 1e-9))
}

// BeyondShare is the part of the units sent on that were beyond the quotas.
func (r Report) BeyondShare() float64 { return r.Beyond / math.Max(r.Admitted, 1e-9) }

// WithRoomShare is the part of the tries that were denied while the customer's bucket had room.
func (r Report) WithRoomShare() float64 {
	return float64(r.DeniedWithRoom) / math.Max(float64(r.Reqs), 1)
}

func (r Report) String() string {
	text := ""
	for _, p := range r.Plans {
		text += "; " + p.String()
	}
	return fmt.Sprintf("reqs %d passed %.3f denied %.3f (with room %.3f) timed out %.3f late %.3f; units %.0f, "+
		"beyond quotas %.3f, beyond open caps %d, beyond ceilings %.1f; messages %d (%.0f B each), dropped %d; "+
		"hosts a gateway %.1f, busiest host %.2f of the mean; %d rounds; limit %.2f out %.2f late %.2f",
		r.Reqs, share(r.Passed, r.Reqs), share(r.Denied, r.Reqs), r.WithRoomShare(), share(r.TimedOut, r.Reqs),
		share(r.Late, r.Reqs), r.Admitted, r.BeyondShare(), r.OverOpen, r.OverCeiling, r.Messages,
		float64(r.MessageBytes)/math.Max(float64(r.Messages), 1), r.Dropped, r.HostsUsed, r.BusiestHost, r.Rounds, r.Limit, r.Out, r.Lateness) + text
}

func share(a, b int) float64 { return float64(a) / math.Max(float64(b), 1) }

const ms = int64(time.Millisecond)

type kind int

const (
	arrive kind = iota
	wake
	deliver
	done    // a host has finished a req
	expire  // a gateway's time-out of a dispatch
	receive // a host takes a dispatch in
	retry   // a client tries a denied req again
	cancel  // a gateway calls a dispatch off: told in a round of its own, as on sockets
)

type event struct {
	at    int64
	kind  kind
	gw    int
	req   *req
	host  int
	n     int    // dispatch number
	from  int    // of a message
	body  []byte // of a message
	cust  int
	until int64 // of a client's retry
}

type customer struct {
	id, plan      int
	name          string
	spread, first int
	rate          float64 // reqs a second it asks
	level, ceil   float64 // its true bucket and ceiling
	at            int64   // of the last refill of the truth
	open          int     // dispatches out over all gateways
	heavy, spiky  bool
	spikeAt       int64     // offset of its spells
	parts         []float64 // of its reqs by gateway of its set, summed up; nil even
	ideal         float64   // the bucket of one who sees all first tries,
	idealAt       int64     // as it was then
	report        *CustomerReport
}

type req struct {
	id       string
	cust     *customer
	gw       int
	arrived  int64
	until    int64
	tries    int // of the client
	sent     bool
	answered bool
	out      map[int]*dispatch // by number
}

type dispatch struct {
	req      *req
	host, n  int
	over     bool // ended, for the gateway
	started  bool // at work on the host
	queued   bool
	finished bool
}

type host struct {
	busy  int
	queue []*dispatch
	taken int
}

type gw struct {
	g      *logic.Gateway
	wakeAt int64
	inbox  []int64 // times of messages taken in within the last second
	used   map[int]bool
}

// sim is one day's state.
type sim struct {
	cfg   Config
	rnd   *rand.Rand
	now   int64
	q     schedule.Schedule[*event]
	gws   []*gw
	hosts []*host
	custs []*customer
	plans []gateway.Plan
	reqs  map[string]*req
	rep   Report
	next  int // req numbers
	cur   int // the gateway whose round runs
	began int64
}

// Run plays one day and reports it.
func Run(cfg Config) Report {
	s := &sim{cfg: cfg, rnd: rand.New(rand.NewPCG(cfg.Seed, cfg.Seed^0x5deece66d)), reqs: map[string]*req{}}
	s.now = int64(100 * time.Second)
	fronts := []gateway.Frontend{{Effect: gateway.Replayable, Target: int64(cfg.Target), Timeout: int64(cfg.Deadline),
		Value: 1, Late: 0.2}}
	for _, p := range cfg.Plans {
		s.plans = append(s.plans, gateway.Plan{Rate: p.Rate, Burst: p.Burst, Open: p.Open, CeilingRate: p.CeilingRate,
			CeilingBurst: p.CeilingBurst, Price: 1, BeyondCost: 0.5})
		s.rep.Plans = append(s.rep.Plans, PlanReport{Name: p.Name})
	}
	limits := gateway.Limits{Dispatches: 3, Cancel: true, RetryAfter: true, LongestAdvice: int64(2 * time.Second)}
	cold := gateway.Cold{From: 0.3, Warm: int64(15 * time.Second), Multiple: 3, Window: int64(3 * time.Second)}
	report := gateway.Report{Fields: []gateway.Field{gateway.BusyShare}, Answers: true}
	var list []gateway.Listing
	for h := range cfg.Hosts {
		s.hosts = append(s.hosts, &host{})
		list = append(list, gateway.Listing{Host: uint32(h + 1), Cell: h % 8, State: gateway.Running, Share: 1})
	}
	for i := range cfg.Gateways {
		seat := gateway.Seat{Index: i, Count: cfg.Gateways, Messages: cfg.MailPerSecond > 0 && cfg.Gateways > 1,
			PerSecond: cfg.MailPerSecond}
		g := &gw{g: logic.New(s.rnd.Uint64(), seat, fronts, s.plans, limits, cold, report), used: map[int]bool{}}
		s.gws = append(s.gws, g)
		s.round(i, gateway.Event{Kind: gateway.Listed, List: gateway.Old, Hosts: list})
	}
	for pi, p := range cfg.Plans {
		for range p.Customers {
			c := &customer{id: len(s.custs), plan: pi, level: p.Burst, ceil: p.CeilingBurst, at: s.now}
			c.name = fmt.Sprintf("%016x", s.rnd.Uint64()>>31)
			n := cfg.Gateways
			c.spread = max(1, min(n, int(math.Round(float64(n)*(p.Spread[0]+s.rnd.Float64()*(p.Spread[1]-p.Spread[0]))))))
			if p.Set > 0 {
				c.spread = min(p.Set, n)
			}
			c.first = s.rnd.IntN(n)
			part := cfg.Demand[0] + s.rnd.Float64()*(cfg.Demand[1]-cfg.Demand[0])
			if s.rnd.Float64() < cfg.Heavy {
				part = cfg.HeavyTimes[0] + s.rnd.Float64()*(cfg.HeavyTimes[1]-cfg.HeavyTimes[0])
				c.heavy = true
			}
			c.rate = part * p.Rate // one unit a req
			s.habits(c)
			s.custs = append(s.custs, c)
			s.push(&event{at: s.now + s.gap(c.rate), kind: arrive, cust: c.id})
		}
	}
	start := s.now
	s.began = s.now
	s.rep.Windows = make([]Window, int(cfg.Length/(5*time.Second))+1)
	nextTrace, stepped := s.now+int64(cfg.Trace), false
	end := s.now + int64(cfg.Length)
	sample, samples := s.now+int64(time.Second), 0
	for s.q.Len() > 0 {
		_, e := s.q.Next()
		if e.at > end {
			break
		}
		for ; e.at >= sample; sample += int64(time.Second) {
			samples++
			for _, g := range s.gws {
				x := g.g.Gauges()
				s.rep.Limit += x.Limit
				s.rep.Out += float64(x.Out)
				s.rep.Lateness += x.Late
			}
		}
		for ; cfg.Trace > 0 && e.at >= nextTrace; nextTrace += int64(cfg.Trace) {
			s.now = nextTrace
			s.sample(time.Duration(nextTrace - start))
		}
		if cfg.StepAt > 0 && !stepped && e.at >= start+int64(cfg.StepAt) {
			stepped = true
			s.step()
		}
		s.now = e.at
		s.handle(e)
	}
	for _, c := range s.custs {
		s.rep.Customers = append(s.rep.Customers, *c.report)
	}
	used := 0
	for _, g := range s.gws {
		used += len(g.used)
	}
	s.rep.HostsUsed = float64(used) / float64(len(s.gws))
	k := float64(max(samples*len(s.gws), 1))
	s.rep.Limit, s.rep.Out, s.rep.Lateness = s.rep.Limit/k, s.rep.Out/k, s.rep.Lateness/k
	most, all := 0, 0
	for _, h := range s.hosts {
		most, all = max(most, h.taken), all+h.taken
	}
	s.rep.BusiestHost = float64(most) / math.Max(float64(all)/float64(len(s.hosts)), 1e-9)
	return s.rep
}

func (s *sim) push(e *event) { s.q.Add(e.at, e) }

// gap is the time to the next arrival of a Poisson stream of rate a second.
func (s *sim) gap(rate float64) int64 {
	if rate <= 0 {
		return math.MaxInt64 / 4
	}
	return int64(s.rnd.ExpFloat64() / rate * float64(time.Second))
}

func (s *sim) handle(e *event) {
	switch e.kind {
	case arrive:
		c := s.custs[e.cust]
		s.push(&event{at: s.now + s.gap(c.rate), kind: arrive, cust: c.id})
		if c.spiky && !s.spell(c) {
			return
		}
		s.first(c)
		s.ask(c, s.now+int64(s.cfg.Deadline), 0)
	case retry:
		s.ask(s.custs[e.cust], e.until, e.n)
	case wake:
		if g := s.gws[e.gw]; g.wakeAt == e.at {
			g.wakeAt = 0
			s.round(e.gw, gateway.Event{Kind: gateway.Woke})
		}
	case deliver:
		g := s.gws[e.gw]
		k := 0
		for k < len(g.inbox) && g.inbox[k] <= s.now-int64(time.Second) {
			k++
		}
		g.inbox = g.inbox[k:]
		if float64(len(g.inbox)) >= s.cfg.MailPerSecond {
			s.rep.Dropped++
			return
		}
		g.inbox = append(g.inbox, s.now)
		s.rep.Messages++
		s.rep.MessageBytes += len(e.body)
		s.round(e.gw, gateway.Event{Kind: gateway.Heard, Peer: e.from, Body: e.body})
	case receive:
		h := s.hosts[e.host]
		d := e.req.out[e.n]
		if d == nil || d.over {
			return
		}
		h.taken++
		if h.busy < s.cfg.Slots {
			s.start(h, d)
		} else if len(h.queue) < s.cfg.Queue {
			d.queued = true
			h.queue = append(h.queue, d)
		} else {
			s.rep.Busy++
			s.end(d, gateway.Busy, 0)
		}
	case done:
		h := s.hosts[e.host]
		d := e.req.out[e.n]
		h.busy--
		for len(h.queue) > 0 && h.busy < s.cfg.Slots {
			x := h.queue[0]
			h.queue = h.queue[1:]
			if x.over { // given up while it waited
				continue
			}
			s.start(h, x)
		}
		if d != nil && !d.over {
			d.finished = true
			s.end(d, gateway.Passed, float64(h.busy)/float64(s.cfg.Slots))
		}
	case expire:
		if d := e.req.out[e.n]; d != nil && !d.over {
			s.rep.TimedOut++
			s.end(d, gateway.TimedOut, -1)
		}
	case cancel:
		if d := e.req.out[e.n]; d != nil && !d.over {
			s.end(d, gateway.Canceled, -1)
		}
	}
}

func (s *sim) start(h *host, d *dispatch) {
	h.busy++
	d.started, d.queued = true, false
	work := int64(s.rnd.ExpFloat64() * float64(s.cfg.Work))
	s.push(&event{at: s.now + work + int64(s.cfg.NetDelay), kind: done, host: d.host, req: d.req, n: d.n})
}

// end tells the gateway how a dispatch ended; util below 0 tells no load.
func (s *sim) end(d *dispatch, res gateway.Result, util float64) {
	d.over = true
	r := d.req
	r.cust.open--
	if res == gateway.Passed && !r.answered {
		r.answered = true
		s.rep.Passed++
		if s.now-r.arrived > int64(s.cfg.Target) {
			s.rep.Late++
		}
	}
	ev := gateway.Event{Kind: gateway.Ended, Req: r.id, Host: uint32(d.host + 1), Dispatch: d.n, Result: res,
		Lag: s.now - r.arrived, Closed: r.answered}
	if util >= 0 {
		ev.Load = []float64{util}
	}
	s.round(r.gw, ev)
}

// ask lets a try of customer c in at a gateway of its set.
func (s *sim) ask(c *customer, until int64, tries int) {
	s.next++
	r := &req{id: fmt.Sprintf("r%d", s.next), cust: c, arrived: s.now, until: until, tries: tries,
		out: map[int]*dispatch{}}
	r.gw = (c.first + s.place(c)) % len(s.gws)
	c.report.Tries++
	s.reqs[r.id] = r
	s.rep.Reqs++
	s.rep.Plans[c.plan].Reqs++
	s.round(r.gw, gateway.Event{Kind: gateway.Arrived, Req: r.id, Customer: c.name, Plan: c.plan, Until: until,
		Units: 1, Spread: c.spread, First: c.first})
}

// refill brings the true bucket of c up to now.
func (s *sim) refill(c *customer) {
	p := s.plans[c.plan]
	t := float64(s.now-c.at) / float64(time.Second)
	c.at = s.now
	c.level = math.Min(c.level+p.Rate*t, p.Burst)
	c.ceil = math.Min(c.ceil+p.CeilingRate*t, p.CeilingBurst)
}

func (s *sim) round(i int, e gateway.Event) {
	s.rep.Rounds++
	prev := s.cur
	s.cur = i
	s.gws[i].g.Round(&gateway.Round{Now: s.now, Events: []gateway.Event{e}}, writer{s, i})
	s.cur = prev
}

// writer carries out one gateway's decisions.
type writer struct {
	s *sim
	i int
}

func (w writer) Dispatch(id string, host uint32, timeout int64) {
	s := w.s
	r := s.reqs[id]
	if r == nil {
		return
	}
	c := r.cust
	if !r.sent {
		r.sent = true
		s.refill(c)
		s.rep.Admitted++
		s.rep.Plans[c.plan].Admitted++
		c.report.Sent++
		w := &s.rep.Windows[min(int((s.now-s.began)/int64(5*time.Second)), len(s.rep.Windows)-1)]
		if c.heavy && c.plan == 0 {
			w.Sent++
			if c.level < 1 {
				w.Beyond++
			}
		}
		if c.level >= 1 {
			c.level--
		} else {
			c.report.Beyond++
			s.rep.Beyond++
			s.rep.Plans[c.plan].Beyond++
		}
		if p := s.plans[c.plan]; p.Open > 0 && c.open >= p.Open {
			s.rep.OverOpen++
		}
		if p := s.plans[c.plan]; p.CeilingRate > 0 {
			if c.ceil >= 1 {
				c.ceil--
			} else {
				s.rep.OverCeiling++
			}
		}
	}
	c.open++
	n := len(r.out)
	d := &dispatch{req: r, host: int(host) - 1, n: n}
	r.out[n] = d
	s.gws[w.i].used[d.host] = true
	wait := r.until - s.now
	if timeout > 0 {
		wait = min(wait, timeout)
	}
	s.push(&event{at: s.now + int64(s.cfg.NetDelay), kind: receive, host: d.host, req: r, n: n})
	s.push(&event{at: s.now + wait, kind: expire, req: r, n: n})
}

func (w writer) Cancel(id string, n int) {
	s := w.s
	if r := s.reqs[id]; r != nil {
		s.push(&event{at: s.now, kind: cancel, req: r, n: n})
	}
}

func (w writer) Deny(id string, after int64) {
	s := w.s
	r := s.reqs[id]
	if r == nil || r.answered {
		return
	}
	r.answered = true
	s.rep.Denied++
	c := r.cust
	s.rep.Plans[c.plan].Denied++
	s.refill(c)
	if c.level >= s.plans[c.plan].Burst/2 {
		s.rep.DeniedWithRoom++
		c.report.DeniedWithRoom++
		s.rep.Plans[c.plan].DeniedWithRoom++
	}
	if r.tries < s.cfg.Retries {
		back := max(after, 50*ms)
		if at := s.now + back; at < r.until {
			s.push(&event{at: at, kind: retry, cust: c.id, n: r.tries + 1, until: r.until})
		}
	}
}

func (w writer) Abort(id string) {
	if r := w.s.reqs[id]; r != nil {
		r.answered = true
	}
}

func (w writer) Tell(peer int, body []byte) {
	s := w.s
	if peer < 0 || peer >= len(s.gws) || s.rnd.Float64() < s.cfg.MailLoss {
		s.rep.Dropped++
		return
	}
	s.push(&event{at: s.now + int64(s.cfg.MailDelay), kind: deliver, gw: peer, from: w.i, body: append([]byte(nil), body...)})
}

func (w writer) Probe(uint32) {}

func (w writer) Wake(after int64) {
	s := w.s
	at := s.now + after
	s.gws[w.i].wakeAt = at
	s.push(&event{at: at, kind: wake, gw: w.i})
}

func (w writer) Follow()                      {}
func (w writer) Count(uint64, float64, int64) {}
func (w writer) Note(string)                  {}
