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
	"ravensill/limit"
	"ravensill/spread"
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

type Gateway struct {
	now, start, heard, beaten       int64 // heard: any peer; beaten: the last beat
	nextSweep, nextAsk, asked, deaf int64 // asked for the list, or lost it; the counter is not asked until deaf
	out                             gateway.Writer
	seat                            gateway.Seat
	fronts                          []front
	plans                           []gateway.Plan
	limits                          gateway.Limits
	options                         []gateway.Option // scratch, for a Witness
	customers                       map[uint32]*customer
	reqs                            map[string]*req
	calls                           map[uint64][]*req // of the counter, by number, in order
	rows                            int               // that the gateways stand in
	links                           []*peer           // the gateways that it tells or hears
	peers, to, from                 []*peer           // by seat: it, if linked; the link there, and back
	rate, age, largest              float64           // messages a second to a peer; a total, in s; units
	pause, silence, hush            int64             // between signs of life; with none: peers gone, net cut
	fleet                           fleet
	worth, spare                    float64 // usual worth of a req for its time; repeats in stock
	rnd                             *mwc
	passed, came, asks, unheard     int // reqs sent on, come since a beat; lists lost, calls unanswered
	denied                          [Reasons]int
}

type front struct { // with how long its answers usually take and what its reqs ask
	gateway.Frontend
	nth          int
	usual, units float64
}

// harmless tells whether a repeat now of what was sent at first does no harm: all hosts drop it for a window.
func (f *front) harmless(first, now int64) bool {
	return f.Effect == gateway.Replayable ||
		f.Effect == gateway.Uniqued && f.Group == gateway.AllHosts && now <= first+f.Window-margin
}

func New(seed uint64, seat gateway.Seat, fronts []gateway.Frontend, plans []gateway.Plan,
	limits gateway.Limits, cold gateway.Cold, report gateway.Report) *Gateway {
	n, me, rnd := max(seat.Count, 1), seat.Index, mwc(seed|1)
	g := &Gateway{start: -1, rows: 1, seat: seat, plans: plans, limits: limits, rnd: &rnd,
		customers: map[uint32]*customer{}, reqs: map[string]*req{}, calls: map[uint64][]*req{},
		peers: make([]*peer, n), to: make([]*peer, n), from: make([]*peer, n)}
	for i, f := range fronts {
		g.fronts = append(g.fronts, front{f, i, float64(f.Target) / 6, 1})
	}
	if float64(n-1) > seat.PerSecond*mailLeast*seconds(interval) {
		g.rows = int(math.Sqrt(float64(n)) + 0.5)
	}
	hop := func(from, to, i int) *peer { // the other end of the step from or to here, on the way between the two
		v := g.via(from, to)
		if v == me {
			v = i
		}
		if g.peers[v] == nil {
			g.peers[v] = &peer{seat: v, wants: cmp.Compare(g.row(v), g.row(me)) & 1, credit: g.rnd.part()}
			g.links = append(g.links, g.peers[v])
		}
		return g.peers[v]
	}
	for i := range g.peers {
		if i != me && seat.Messages {
			g.to[i], g.from[i] = hop(me, i, i), hop(i, me, i)
			g.to[i].tells = true
		}
	}
	g.rate = max(seat.PerSecond*mailLeast/float64(max(n/g.rows+g.rows-2, 1)), 0.01)
	g.pause = max(interval, int64(float64(second)/g.rate))
	g.silence, g.age = silent*g.pause, 0.5/g.rate*float64(min(g.rows, 2))
	g.hush = max(g.silence/int64(max(len(g.links), 1)), 2*stall) // when several signs of life are overdue
	g.fleet = fleet{rnd: g.rnd, cold: cold, limit: limit.Out{Start: firstOpen / float64(n)},
		utilAt: slices.Index(report.Fields, gateway.BusyShare), seat: me, seats: n, fronts: len(fronts)}
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
	c, fr := g.customer(hashText(e.Customer), e.Plan, e.Spread, e.First), &g.fronts[e.Frontend]
	r := &req{id: e.Req, customer: c, front: fr, units: e.Units, arrived: at, until: e.Until}
	g.reqs[r.id] = r
	fr.units += (e.Units - fr.units) / 64
	g.came++
	g.largest = max(g.largest, r.units)
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
	for _, h := range g.fleet.hosts {
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

// customer finds a customer, or starts one with a full copy.
func (g *Gateway) customer(hash uint32, plan, spread, first int) *customer {
	if c := g.customers[hash]; c != nil {
		return c
	}
	p := &g.plans[plan]
	c := &customer{hash: hash, plan: p, planID: plan, spread: spread, first: first, begun: g.now, at: g.now,
		ties: make([]tie, 0, min(spread, len(g.links))), moved: g.now, level: p.Burst,
		ceilDepth: p.CeilingBurst / float64(max(spread, 1))}
	for i := range spread {
		s := (first + i) % len(g.peers)
		if s == g.seat.Index {
			c.ceilRate = p.CeilingRate / float64(spread)
		}
		c.tie(g.from[s], false)
		c.tie(g.to[s], true)
	}
	// A former life of this gateway may have just spent its part: it fills from the start of this one on.
	c.ceiling = min(c.ceilDepth, c.ceilRate*seconds(g.now-g.start))
	g.customers[hash] = c
	return c
}

func (c *customer) tie(p *peer, tells bool) {
	if p == nil {
		return
	} else if p.latest != c {
		p.latest, p.nth = c, len(c.ties)
		c.ties = append(c.ties, tie{customer: c, peer: p})
	}
	c.ties[p.nth].tells = c.ties[p.nth].tells || tells
}

// row is where a gateway stands. Where a message to each peer an interval is more than they take in, each
// tells its own admissions to its row, and its row's to its column: two steps, few messages for any number.
func (g *Gateway) row(seat int) int { return seat * g.rows / len(g.peers) }

// via is the gateway in from's row that tells to what the row admits: the one in to's column, or the last.
func (g *Gateway) via(from, to int) int {
	n := len(g.peers)
	head := func(row int) int { return (row*n + g.rows - 1) / g.rows }
	if g.row(from) == g.row(to) {
		return to
	}
	return min(head(g.row(from))+to-head(g.row(to)), head(g.row(from)+1)-1)
}

// refill brings a copy up to now. Where no peer is heard the design denies all. The copy keeps its due as if
// all of the customer's gateways were cut off alike: safe, but the last one alive serves a part only.
func (g *Gateway) refill(c *customer) {
	t, part := seconds(g.now-c.at), 1.0
	c.at = g.now
	fade := math.Exp(-t / seconds(g.silence))
	if g.now-g.heard > g.silence {
		part /= float64(max(c.spread, 1))
	} else if g.now-g.heard > g.hush { // nobody is heard: peers are taken to admit on as they last did
		take := max(min(c.others*t, c.level+debt*c.plan.Burst), 0)
		c.level, c.presumed, c.others = c.level-take, c.presumed+take, c.others/fade
	}
	c.level = min(c.level+c.plan.Rate*t*part, max(c.plan.Burst*part, min(c.plan.Burst, g.largest)))
	c.ceiling = min(c.ceiling+c.ceilRate*t, c.ceilDepth)
	c.others, c.ask, c.got, c.presumed = c.others*fade, c.ask*fade, c.got*fade, c.presumed*fade
}

func (g *Gateway) idle(c *customer) bool {
	g.refill(c)
	return c.open == 0 && g.now-c.moved > g.silence && (c.level >= c.plan.Burst || c.plan.Rate == 0) &&
		(c.ceiling >= c.ceilDepth || c.ceilRate == 0) &&
		!slices.ContainsFunc(c.ties, func(t tie) bool { return t.queued })
}

// openChance is the chance to keep to the cap: others have a chance number out, as their admissions keep.
func (c *customer) openChance(fr *front) float64 {
	if c.plan.Open == 0 {
		return 1
	}
	others := c.others / fr.units * fr.usual / float64(second)
	p, term := 0.0, math.Exp(-others)
	for k := range max(c.plan.Open-c.open, 0) {
		p += term
		term *= others / float64(k+1)
	}
	return p
}

// note queues the customer for those to be told: of admissions here all peers, else the column; or one peer.
func (c *customer) note(here bool, one *peer) {
	for i := range c.ties {
		if t := &c.ties[i]; t.tells && !t.queued && (t.peer == one || one == nil && (here || t.peer.wants == 1)) {
			t.queued, t.peer.queue = true, append(t.peer.queue, t)
		}
	}
}

func (t *tie) untold() float64 { return t.customer.total[t.peer.wants] - t.told }

// tell sends p the totals that changed, as soon as it can take a message, and signs of life with hosts' tags.
func (g *Gateway) tell(p *peer, credit float64) {
	p.credit = min(p.credit+credit, max(g.rate, 1))
	due := g.now >= p.due
	if !p.tells || p.credit < 1 || !due && len(p.queue) == 0 {
		return
	}
	var tags []uint16
	if due {
		p.due = g.now + g.pause
		for _, h := range g.fleet.hosts {
			for i, of := range h.fronts {
				if of.good > 0 && g.now-of.good <= g.pause && of.bad < doubtful && len(tags) < mail.Tags {
					tags = append(tags, h.tag(i))
				}
			}
		}
	}
	p.said, p.credit = p.said+1, p.credit-1
	msg := mail.Head(uint64(g.start/1e6), p.said, tags)
	slices.SortStableFunc(p.queue, func(a, b *tie) int { return cmp.Compare(b.untold(), a.untold()) })
	for len(p.queue) > 0 {
		t := p.queue[0]
		c, total := t.customer, uint64(t.customer.total[p.wants]*unit)
		g.refill(c)
		owed, lack := uint64(0), max(c.plan.Burst-c.level, 0)*unit
		if g.now-c.begun < g.silence { // a copy there that has not heard of it is to lose the whole,
			owed = total
		} else if g.now-p.born < g.silence { // of a new life, full, this gateway's part of what is gone,
			owed = uint64(lack / float64(len(c.ties)))
		} else if t.told == 0 { // if first told late, what has not been refilled since
			owed = min(total, uint64(lack))
		}
		if entry := mail.Total(c.hash, c.planID, c.spread, c.first, total, owed); owed > 0 || t.untold() > 0 {
			if len(msg)+len(entry) > mail.Most {
				break
			}
			msg = append(msg, entry...)
		}
		t.told, t.queued, p.queue = c.total[p.wants], false, p.queue[1:]
	}
	g.out.Tell(p.seat, msg)
}

func (g *Gateway) hear(from int, msg []byte) {
	if from < 0 || from >= len(g.peers) || g.peers[from] == nil {
		return
	}
	p := g.peers[from]
	mail.Read(msg, len(g.plans), len(g.peers), func(life, number uint64) bool {
		if life < p.life || life == p.life && number <= p.number { // overtaken
			return false
		}
		if life != p.life {
			p.born = g.now
			for _, hash := range slices.Sorted(maps.Keys(g.customers)) {
				g.customers[hash].note(false, p)
			}
		}
		if life != p.life || g.now-p.heard > 2*g.silence { // its totals are first totals again
			p.life, p.first = life, g.now
		}
		p.heard, g.heard, p.number = g.now, g.now, number
		return true
	}, g.fleet.vouched, func(hash uint32, plan, spread, first int, total, owed uint64) {
		g.told(p, g.customer(hash, plan, spread, first), total, owed)
	})
}

// told subtracts what a peer admitted since its last message, and passes it on to the other rows. Of a first
// or lower total it subtracts what the peer says this copy owes; the rest is only recorded.
func (g *Gateway) told(p *peer, c *customer, total, owed uint64) {
	i := slices.IndexFunc(c.ties, func(t tie) bool { return t.peer == p })
	if i < 0 {
		return
	}
	g.refill(c)
	t := &c.ties[i]
	last := t.seen
	if t.at < p.first || t.at == 0 || total < last {
		last = total - owed
	}
	if units := float64(total-last) / unit; units > 0 {
		known := min(units, c.presumed) // taken while nobody was heard
		c.presumed -= known
		c.level = max(c.level-units+known, min(c.level, -debt*c.plan.Burst))
		c.others += units / seconds(g.silence)
		if p.wants == 0 {
			c.total[1] += units
			c.note(false, nil)
		}
	}
	t.seen, t.at, c.moved = total, g.now, g.now
}

type fleet struct { // the hosts
	hosts       []*host // in a fixed order
	cold        gateway.Cold
	rnd         *mwc
	utilAt, out int       // place of the busy share in load reports, -1 none; dispatches out from here
	seat, seats int       // where this gateway stands, among so many: for its subset
	fronts      int       // frontends
	limit       limit.Out // on these
	woke, stood int64     // the gateway last stood still until then, and how long
}

type host struct {
	spread.Host // of this gateway's subset or not
	id          uint32
	state       gateway.State
	since       int64 // its last start
	out         []*send
	pace, util  float64 // its answers' time against the usual; told busy share
	load, allow float64 // how long an answer would take; dispatches it may get while cold
	fronts      []health
}

// health is how a host serves a frontend: it may fail one and serve the others.
type health struct {
	good, any, failed int64   // last good answer, last answer, last failure
	bad               float64 // part of the dispatches that go unanswered,
	at                int64   // as it was then
}

func (h *host) of(fr *front) *health { return &h.fronts[fr.nth] }

// doubt is the part that likely goes unanswered; it wears off, so that the host is tried again.
func (o *health) doubt(now int64) float64 {
	return o.bad * math.Exp(-float64(now-o.at)/float64(trial))
}

func (o *health) fail(now int64) { o.bad, o.at = 0.9, now }

func (h *host) tag(front int) uint16 { return uint16(h.Hash>>16)*uint16(front) + uint16(h.Hash) }

func (f *fleet) list(kind gateway.List, news []gateway.Listing) {
	for _, h := range f.hosts {
		if kind == gateway.Complete || kind == gateway.Old {
			h.state = gateway.Gone
		}
	}
	for _, l := range news {
		i, known := slices.BinarySearchFunc(f.hosts, l.Host,
			func(h *host, id uint32) int { return cmp.Compare(h.id, id) })
		if !known {
			f.hosts = slices.Insert(f.hosts, i, &host{id: l.Host, Host: spread.Host{Hash: mix(uint64(l.Host) + 1)}})
		}
		h := f.hosts[i]
		if !known || l.Since > h.since { // a new start: what was learned of the old process is void
			h.since, h.pace, h.allow, h.util, h.fronts = l.Since, 1, f.rnd.part(), 0, make([]health, f.fronts)
		}
		h.state, h.Weight = l.State, l.Share
	}
	f.hosts = slices.DeleteFunc(f.hosts, func(h *host) bool { return h.state == gateway.Gone })
	f.limit.Hosts(len(f.hosts)) // a record ends with its host, as does its part of the limit
	f.choose()
}

// choose takes this gateway's subset of the hosts: a gateway of many keeps few connections and hears often of
// each. The others serve where none of it will do.
func (f *fleet) choose() {
	var running []*spread.Host
	for _, h := range f.hosts {
		if h.Held = false; h.state == gateway.Running {
			running = append(running, &h.Host)
		}
	}
	spread.Deal(f.seat, f.seats, running)
}

// warmth is the part of its capacity that a host surely has.
func (f *fleet) warmth(h *host, now int64) float64 {
	if h.since <= 0 || now-h.since >= f.cold.Warm || f.cold.Warm <= 0 {
		return 1
	}
	return f.cold.From + (1-f.cold.From)*float64(max(now-h.since, 0))/float64(f.cold.Warm)
}

// enough is the load up to which a host will do, where the least is that.
func (c *customer) enough(least float64) float64 {
	if c.plan.Open > 0 { // the sooner it is answered, the sooner its place is free
		return least
	}
	return least * ample
}

// pick gives the customer's first host in rank that has no more than a little above the least load.
func (f *fleet) pick(c *customer, fr *front, now int64, part float64, last *host) *host {
	if f.woke > 0 && now-f.woke < f.stood { // what came in meanwhile comes on top
		part *= 2
	}
	if !f.limit.Allows(f.out, part, f.rnd.part()) {
		return nil
	}
	least := math.Inf(1)
	for _, h := range f.hosts {
		h.load = math.Inf(1)
		if h.state == gateway.Running && (f.warmth(h, now) >= 1 || h.allow >= 1) && h != last {
			// What it told and how it answered wears off, or a host once thought busy would never be asked again.
			h.load = 1 + (h.pace*(1+telling*h.util)-1)*math.Exp(-float64(now-h.of(fr).any)/float64(trial))
			// Still of use: where all are in doubt the cause is shared; the others of the subset go first.
			if h.load *= float64(len(h.out)+1) * (1 + shunned*h.of(fr).doubt(now)); !h.Held {
				h.load *= foreign
			}
		}
		least = min(least, h.load)
	}
	var first *host
	enough := c.enough(least)
	for _, h := range f.hosts {
		if h.load <= enough && least < math.MaxFloat64 &&
			(first == nil || mix(uint64(c.hash)^h.Hash) > mix(uint64(c.hash)^first.Hash)) {
			first = h
		}
	}
	return first
}

// sent counts a dispatch: every cold host's allowance grows by its part of the fleet's warmth.
func (f *fleet) sent(to *host, fr *front, now int64) {
	f.out++
	sum, all := 0.0, 0.0
	for _, h := range f.hosts {
		if w := f.warmth(h, now); h.state == gateway.Running && h.Held {
			if all += w; h.of(fr).doubt(now) < doubtful {
				sum += w
			}
		}
	}
	for _, h := range f.hosts {
		if w := f.warmth(h, now); w < 1 && h.Held {
			h.allow = min(h.allow+w/max(sum, all*2/max(f.cold.Multiple, 1), 1), 1.5) // others fail: up to its bound
		}
	}
	to.allow--
}

// learn takes in what an ended dispatch says of its host.
func (f *fleet) learn(s *send, res gateway.Result, lag int64, load []float64, now int64) {
	h, fr, busy := s.host, s.req.front, -1.0
	of := h.of(fr)
	of.bad, of.at = of.doubt(now), now
	if uint(f.utilAt) < uint(len(load)) {
		busy = min(load[f.utilAt], 1)
		h.util += (busy - h.util) / 4
	}
	switch res {
	case gateway.Passed:
		fr.usual += (float64(lag) - fr.usual) / 64
		of.good, of.any = now, now
		of.bad /= 2
	case gateway.Busy:
		of.any, h.pace = now, min(h.pace*1.5, 10)
	case gateway.TimedOut, gateway.Canceled:
		if s.at >= f.woke && s.req.customer.bad <= 0.5 {
			of.bad += (1 - of.bad) / 4
		}
	case gateway.Errored, gateway.Unreached, gateway.Broken, gateway.Spoilt:
		if of.failed >= of.good { // none went well since: little until then, or until a peer hears well of it
			of.fail(now)
		}
		of.failed = now
	}
	// What was out while this gateway stood still tells nothing: answers lay waiting for it.
	own := s.req.customer.bad > 0.5 || of.bad >= doubtful // its silence is the customer's or the host's own
	if s.at >= f.woke && (res == gateway.Passed || res == gateway.TimedOut && !own) {
		h.pace = max(h.pace+(float64(lag)/fr.usual-h.pace)/32, 0.2)
		f.limit.Answered(lag, fr.Target, now, f.out, busy)
	}
}

// silent tells whether the host holds s and has answered nothing of its frontend for much longer than usual.
func (h *host) silent(s *send, now int64) bool {
	fr := s.req.front
	return now-max(s.at, h.of(fr).any) > max(int64(5*fr.usual*h.pace), fr.Target/2)
}

func (f *fleet) vouched(tag uint16) { // another gateway has good answers of it: a host in doubt comes back
	for _, h := range f.hosts {
		for i := range h.fronts {
			if h.tag(i) == tag {
				h.fronts[i].bad /= 2
			}
		}
	}
}
