// Package logic holds all decisions of a quota gateway. Round takes all that came in at one time.
// The design (docs/design.md) decides each req's ordinary path: every gateway holds an undivided copy of each
// customer's bucket, refilled at the full rate; what peers admit, gossiped as running totals, is subtracted,
// down to a bounded debt; a copy without the units denies. Beside the design stand six mechanisms:
//
//  1. a part of the hard ceiling for each gateway of a customer's set (Gateway.customer, Gateway.refill)
//  2. the cap on open reqs: asked of the shared counter, else guessed (Gateway.counted, customer.openChance)
//  3. bounded load among a subset of the hosts (package spread): the first in rank not much busier (pick)
//  4. a limit on what is out from here, moved by how late answers are; low worth gives way (package limit)
//  5. hosts that fail a frontend or fall silent are in doubt (health), as are customers that go unanswered
//  6. an allowance for cold hosts, a part of all dispatches (fleet.sent)
package logic

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"ravensill/gateway"
	"ravensill/internal/mail"
)

const (
	second    = int64(1e9)
	beat      = second / 25 // between wake-ups
	interval  = second / 2  // between totals, longer where a gateway may not take in that much
	silent    = 4           // intervals with no peer heard: alone; quiet for so long, a customer is forgotten
	debt      = 1.0         // bursts that a copy may owe; the design's default
	mailLeast = 0.4         // part of what a gateway takes in that its peers use together, up to twice that
	unit      = 16          // totals are told in these parts of a unit
	margin    = second / 5  // kept clear of the end of a uniqued req's window
	stall     = second / 10 // with no round: this gateway stood still
	trial     = 4 * second  // what is known against a host wears off in
	doubtful  = 0.3         // part unanswered from which a host's silence is its own
	shunned   = 16.0        // times its load, for a host in doubt
	foreign   = 6.0         // times its load, for a host out of the subset: a gateway of much traffic needs more
	telling   = 4.0         // times its load at most, for a host that tells it is busy
	kept      = 0.6         // part of the limit that is open to reqs of any worth
	ample     = 1.2         // times the least load: enough for a host
	askAgain  = int64(3e8)  // the first pause before a lost list is asked for again; the longest is 13 times it
	span      = 5 * second  // a number at the counter covers so long
	firstOpen = 6.0         // dispatches out at each host to start with, all gateways together
)

// harmless tells whether a repeat now of what was sent at first does no harm: all hosts drop it for a window.
func (f *front) harmless(first, now int64) bool {
	return f.Effect == gateway.Replayable ||
		f.Effect == gateway.Uniqued && f.Group == gateway.AllHosts && now <= first+f.Window-margin
}

func New(seed uint64, seat gateway.Seat, fronts []gateway.Frontend, plans []gateway.Plan,
	limits gateway.Limits, cold gateway.Cold, report gateway.Report) *Gateway {
	rnd := mwc(seed | 1)
	g := &Gateway{start: -1, seat: seat, limits: limits, rnd: &rnd, byID: map[uint32]int{},
		customers: map[uint32]*customer{}, reqs: map[string]*req{}, calls: map[uint64][]*req{}}
	g.fleet = fleet{rnd: g.rnd, cold: cold, seat: seat.Index}
	g.fleet.utilAt = slices.Index(report.Fields, gateway.BusyShare)
	for i := range fronts {
		g.class(&gateway.ClassUpdate{Index: i, Class: fronts[i]})
	}
	for i := range plans {
		g.quota(&gateway.PlanUpdate{Index: i, Plan: plans[i]})
	}
	g.form = mail.Form{Plans: len(plans), ByID: len(plans) > 0 && plans[0].ID != 0}
	g.resize(max(seat.Count, 1))
	return g
}

// Round takes all that came in and writes the decisions.
func (g *Gateway) Round(in *gateway.Round, out gateway.Writer) {
	late, n := in.Now-g.now, int64(len(in.Events))
	if late <= stall || g.start < 0 {
		late = 0
	} else { // this gateway stood still; what came in meanwhile came evenly
		g.fleet.woke, g.fleet.stood = in.Now, late
	}
	g.now, g.out = in.Now, out
	if g.start < 0 {
		g.start, g.heard, g.beaten = g.now, g.now, g.now
		g.beat()
	}
	for i := range 2 * n { // what waited together is decided on all that lists and peers tell
		e := &in.Events[i%n]
		if news := e.Kind == gateway.Listed || e.Kind == gateway.Heard; news != (i < n) {
			continue
		}
		switch e.Kind {
		case gateway.Arrived:
			g.arrive(e, g.now-late*(2*n-i)/n)
		case gateway.Ended:
			g.ended(e)
		case gateway.Left:
			if r := g.reqs[e.Req]; r != nil {
				g.close(r)
			}
		case gateway.Listed:
			if g.fleet.list(e.List, e.Hosts); e.List != gateway.Lost {
				g.asks, g.nextAsk = 0, math.MaxInt64
			} else { // by chance, pauses double from call to call: a fleet asks apart, each has news in 6 s
				if g.asks = min(g.asks+1, 5); g.asks == 1 {
					g.asked = g.now
				}
				pause := min(int64((0.5+g.rnd.part())*float64(askAgain<<(g.asks-1))), 13*askAgain)
				g.nextAsk = max(g.asked+pause, g.now+pause/8)
			}
		case gateway.Heard:
			g.hear(e.Peer, e.Body)
		case gateway.Counted:
			g.counted(e)
		case gateway.Woke:
			g.beat()
		}
	}
}

func (g *Gateway) arrive(e *gateway.Event, at int64) {
	c, fr := g.customer(hashText(e.Customer), e.Plan, e.Spread, e.First), g.fronts[e.Frontend]
	r := &req{id: e.Req, customer: c, front: fr, units: e.Units, arrived: at, until: e.Until}
	g.reqs[r.id] = r
	fr.units += (e.Units - fr.units) / 64
	g.came++
	g.largest = max(g.largest, r.units)
	if g.form.ByID { // its plan may be gone, or it is on another now
		c.planID = e.Plan
	}
	g.refill(c)
	c.ask += r.units
	// The counter may be asked about the cap where it answers and the client will still be there.
	ask := g.limits.Counter && c.plan.Open > 0 && len(c.ties) > 0 && g.now >= g.deaf
	g.decide(r, c.openChance(fr), ask && r.until-g.now > 2*g.limits.CounterWait)
}

// decide decides a req: the ordinary path, from top to bottom. inCap is its chance to be within the open cap;
// where the counter may be asked of that it is, and the answer comes back here.
func (g *Gateway) decide(r *req, inCap float64, ask bool) {
	c, fr := r.customer, r.front
	greed := (1 + c.ask) / (1 + c.got)
	// What peers have admitted within a total's age is a chance number; the more is asked, the more it sways.
	level := c.level - min(2*g.rnd.part()*c.others*g.age*greed, c.plan.Burst/2)

	worth := fr.Value * fr.units * c.plan.Price / fr.usual
	g.worth += (worth - g.worth) / 256
	h, after, why := (*host)(nil), fr.usual, ByHosts
	switch {
	case c.plan.Rate > 0 && level < r.units: // the copy lacks the units
		after, why = (r.units-level)/c.plan.Rate*float64(second), ByQuota
	case c.plan.CeilingRate > 0 && c.ceiling < r.units: // so does this gateway's part of the ceiling
		after, why = (r.units-c.ceiling)/c.ceilRate*float64(second), ByCeiling
	case c.bad > 0.5 && g.now-c.moved < second: // most of its reqs go unanswered: one a second
		after, why = float64(second), ByUnanswered
	case r.until <= g.now, fr.Late == 0 && float64(g.now-r.arrived)+fr.usual > float64(fr.Target): // in vain
		why = ByLate
	case inCap > 0 && ask:
		r.slot = mix(uint64(c.hash)<<32|uint64(g.now/span)) >> 1
		g.call(r.slot, 1, r)
		return
	case inCap == 0 || inCap/2 < (1-inCap)*c.plan.BeyondCost*greed: // too many are out; it may come back
		why = ByCap
	default: // no host: better told now than answered late
		h = g.fleet.pick(c, fr, g.now, kept+(1-kept)*min(worth/g.worth, 1), nil)
	}
	if h == nil {
		g.deny(r, why, after)
		return
	}
	g.passed++
	taken := r.units * inCap // what is beyond the cap takes nothing from the quota
	if c.plan.Rate > 0 {
		c.level -= taken
	}
	c.ceiling, c.total = c.ceiling-r.units, [2]float64{c.total[0] + taken, c.total[1] + taken}
	c.got, c.moved = c.got+r.units, g.now
	c.note(true, nil)
	g.spare = min(g.spare+0.25, 10)
	g.dispatch(r, h)
}

// end is when r is waited for no longer. After a stall answers lie waiting, late ones that earn too.
func (g *Gateway) end(r *req) int64 {
	fr, more := r.front, int64(0)
	if g.fleet.woke > 0 && g.now-g.fleet.woke < trial {
		more = int64(fr.Late * float64(fr.Timeout-fr.Target))
	}
	return min(r.until, r.arrived+fr.Target+more)
}

func (g *Gateway) dispatch(r *req, h *host) {
	g.considered(r, h)
	r.out = &send{req: r, host: h, n: r.tries, at: g.now}
	r.tries++
	r.customer.open++
	h.out = append(h.out, r.out)
	g.fleet.sent(h, r.front, g.now)
	g.out.Dispatch(r.id, h.id, max(g.end(r)-g.now, 1000))
}

// ended takes in how a dispatch ended, and sends the req again where that may help and the rules allow it.
func (g *Gateway) ended(e *gateway.Event) {
	r := g.reqs[e.Req]
	if r == nil || r.out == nil || r.out.n != e.Dispatch {
		return
	}
	s, c, fr := r.out, r.customer, r.front
	r.out, c.open = nil, c.open-1
	if c.bad *= 0.75; e.Result == gateway.TimedOut {
		c.bad += 0.25
	}
	s.host.out = slices.DeleteFunc(s.host.out, func(o *send) bool { return o == s })
	g.fleet.out--
	if !e.Result.NeverRan() && r.ran == nil {
		r.ran = s
	}
	g.fleet.learn(s, e.Result, e.Lag, e.Load, g.now)
	switch {
	case r.closed || e.Closed:
		g.close(r)
	case e.Result != gateway.TimedOut && g.again(r, s.host):
	case r.ran == nil || fr.harmless(r.ran.at, g.now):
		g.deny(r, ByFailure, fr.usual)
	default:
		g.out.Abort(r.id)
		g.close(r)
	}
}

func (g *Gateway) again(r *req, last *host) bool {
	fr := r.front
	if r.tries >= g.limits.Dispatches || g.now >= g.end(r) ||
		r.ran != nil && (g.spare < 1 || !fr.harmless(r.ran.at, g.now)) {
		return false
	}
	h := g.fleet.pick(r.customer, fr, g.now, 1, last)
	if h == nil {
		return false
	}
	if r.ran != nil {
		g.spare--
	}
	g.dispatch(r, h)
	return true
}

// deny is the final answer that makes a repeat harmless, with the time to stay away.
func (g *Gateway) deny(r *req, why int, after float64) {
	g.denied[why]++
	if !g.limits.RetryAfter {
		after = 0
	}
	g.out.Deny(r.id, int64(after))
	g.close(r)
}

func (g *Gateway) close(r *req) {
	if r.closed = true; r.out == nil {
		delete(g.reqs, r.id)
		if r.slot != 0 {
			g.call(r.slot, -1, nil)
		}
	}
}

// call adds to a number of open reqs, and may leave r to wait for the answer. All gateways' clocks give it
// one name for a span; the next counts anew, so that what a killed gateway had open is not out for ever.
func (g *Gateway) call(name uint64, amount float64, r *req) {
	g.calls[name] = append(g.calls[name], r)
	g.out.Count(name, amount, 2*span)
}

// counted takes in an answer of the counter, or that there is none: then the guess decides.
func (g *Gateway) counted(e *gateway.Event) {
	calls := g.calls[e.Name]
	if len(calls) == 0 {
		return
	}
	r := calls[0]
	if g.calls[e.Name] = calls[1:]; len(calls) == 1 {
		delete(g.calls, e.Name)
	}
	if e.Result == gateway.Passed {
		g.unheard = 0
	} else if g.unheard++; g.unheard >= 4 {
		g.deaf = g.now + second
	}
	if r == nil || r.closed {
		return
	}
	inCap := 0.0
	if e.Result != gateway.Passed {
		r.slot, inCap = 0, r.customer.openChance(r.front)
	} else if e.Total <= float64(r.customer.plan.Open) {
		inCap = 1
	}
	g.refill(r.customer)
	g.decide(r, inCap, false)
}

func (g *Gateway) beat() {
	g.out.Wake(beat)
	since := seconds(g.now - g.beaten)
	more := float64(g.came) / max(g.seat.PerSecond*mailLeast, 1) // as many messages as reqs come in
	credit := g.rate * max(since, min(more, 2*since))
	g.beaten, g.came = g.now, 0
	if g.limits.MustAsk && g.now >= g.nextAsk {
		g.asked, g.nextAsk = g.now, math.MaxInt64
		g.out.Follow()
	}
	for _, h := range g.fleet.near {
		for _, s := range h.out {
			if r := s.req; h.silent(s, g.now) {
				h.of(r.front).fail(g.now)
				if first := cmp.Or(r.ran, s); g.limits.Cancel && g.spare >= 1 && !r.closed &&
					r.tries < g.limits.Dispatches && r.front.harmless(first.at, g.now) {
					g.out.Cancel(r.id, s.n) // it moves on when that is confirmed
				}
			}
		}
	}
	for _, p := range g.links {
		g.tell(p, credit)
	}
	if g.now >= g.nextSweep {
		g.nextSweep = g.now + second
		maps.DeleteFunc(g.customers, func(_ uint32, c *customer) bool { return g.idle(c) })
	}
}
