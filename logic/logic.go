// Package logic holds all decisions of a quota gateway.
//
// New starts a gateway that knows nothing but its settings. Round is called with all that came in at one time
// and writes the decisions into the writer passed with it; a gateway asks for its wake-ups itself. Package
// gateway defines the interface.
//
// The design (docs/design.md) decides each req's ordinary path: every gateway holds an undivided copy of each
// customer's bucket, refilled at the full rate; what peers admit, gossiped as running totals, is subtracted,
// down to a bounded debt; a copy without the units denies. Beside the design stand these mechanisms:
//
//  1. a part of the hard ceiling for each gateway of a customer's set (Gateway.customer, customer.refill)
//  2. a guess of what other gateways have out, for the cap on open reqs (Gateway.openRoom)
//  3. bounded load: the customer's first host in rank that is not much busier than the least (fleet.pick)
//  4. a limit on what is out from here, moved by how late answers are; low worth gives way (fleet.limitOpen)
//  5. hosts that fail or fall silent are set aside (host.aside), as are customers that go unanswered
//  6. an allowance for cold hosts, a part of all dispatches (fleet.sent)
package logic

import (
	"cmp"
	"encoding/binary"
	"hash/fnv"
	"maps"
	"math"
	"slices"

	"ravensill/gateway"
)

const (
	second    = int64(1e9)
	beat      = second / 50  // between wake-ups
	interval  = second / 2   // between totals; the design's default
	silence   = 4 * interval // no peer heard for so long: alone; a customer quiet for so long is forgotten
	debt      = 0.5          // bursts that a copy may owe
	early     = 0.05         // part of a burst that goes untold before the interval is over
	mailShare = 0.8          // part of what a gateway takes in that its peers use together
	mailBytes = 256          // longest message
	version   = 1            // first byte of a message
	unit      = 64           // totals are told in these parts of a unit
	margin    = second / 5   // kept clear of the end of a uniqued req's window
	lateness  = 0.35         // part of the response target that answers may take on average
	trial     = 2 * second   // a host set aside is tried again after so long
	shunned   = 16.0         // times its load, for a host set aside
	pressed   = 0.6          // part of the limit from which on a late answer is not waited for
	kept      = 0.6          // part of the limit that is open to reqs of any worth
	needy     = 0.7          // part of its ceiling part that a peer must admit to be given more
	ample     = 1.2          // times the least load: enough for a host
	firstOpen = 6.0          // dispatches out at each host to start with, all gateways together
)

// Gateway decides for one gateway.
type Gateway struct {
	now, start int64
	out        gateway.Writer
	seat       gateway.Seat
	fronts     []front
	plans      []gateway.Plan
	limits     gateway.Limits
	customers  map[uint64]*customer
	reqs       map[string]*req
	peers      []*peer // by seat; nil for oneself
	heard      int64   // last hearing of any peer
	fleet      fleet
	worth      float64 // usual worth of a req for the time it takes
	spare      float64 // further dispatches that may be sent where one may have run
	rnd        mwc

	nextTell, nextSweep, nextAsk int64
}

// front is a frontend, how long its answers usually take and what its reqs ask.
type front struct {
	gateway.Frontend
	usual, units float64
}

// req is held from its arrival until it is closed and no dispatch is out.
type req struct {
	id             string
	customer       *customer
	front          *front
	units          float64
	arrived, until int64
	tries          int
	out, ran       *send // the dispatch that is out, and the first that may have run
	closed         bool
}

type send struct { // a dispatch, the nth of its req
	req  *req
	host *host
	n    int
	at   int64
}

// customer is this gateway's copy of a customer's bucket, with what its peers told of it.
type customer struct {
	hash                uint64
	plan                *gateway.Plan
	planID              int
	spread, first       int
	ties                []tie // its other gateways
	begun, at, moved    int64 // start of the record, last refill, last admission here or elsewhere
	level, total        float64
	ceiling             float64 // this gateway's part of the ceiling's store
	ceilRate, ceilDepth float64
	open                int     // dispatches out from here
	bad                 float64 // part of its reqs that go unanswered
}

// tie is what one customer and one of its other gateways know of each other.
type tie struct {
	customer      *customer
	peer          *peer
	at, changed   int64  // of the last total heard, and of the last that differed
	number        uint64 // of the message that told it
	seen, told    uint64 // last total heard, last told
	rate          float64
	queued, again bool
}

// peer is another gateway.
type peer struct {
	seat         int
	life         uint64 // its start by its own clock; later is newer
	heard, first int64  // last hearing; first of this life, or since a long silence
	queue        []*tie // with totals to tell
	urgent       bool
	said         uint64  // messages
	credit       float64 // messages that it can take
}

// New starts a gateway.
func New(seed uint64, seat gateway.Seat, fronts []gateway.Frontend, plans []gateway.Plan,
	limits gateway.Limits, cold gateway.Cold, report gateway.Report) *Gateway {
	g := &Gateway{start: -1, seat: seat, plans: plans, limits: limits, rnd: mwc(seed | 1),
		customers: map[uint64]*customer{}, reqs: map[string]*req{}, peers: make([]*peer, max(seat.Count, 1))}
	for _, f := range fronts {
		g.fronts = append(g.fronts, front{f, float64(f.Target) / 6, 1})
	}
	for i := range g.peers {
		if i != seat.Index && seat.Messages {
			g.peers[i] = &peer{seat: i}
		}
	}
	g.fleet = fleet{byID: map[uint32]*host{}, cold: cold, first: firstOpen / float64(len(g.peers)),
		utilAt: slices.Index(report.Fields, gateway.BusyShare)}
	return g
}

// Round takes all that came in and writes the decisions.
func (g *Gateway) Round(in *gateway.Round, out gateway.Writer) {
	g.now, g.out = in.Now, out
	if g.start < 0 {
		g.start, g.heard, g.nextTell = g.now, g.now, g.now+int64(g.rnd.next())%interval
		g.beat()
	}
	for i := range in.Events {
		e := &in.Events[i]
		switch e.Kind {
		case gateway.Arrived:
			g.arrive(e)
		case gateway.Ended:
			g.ended(e)
		case gateway.Left:
			if r := g.reqs[e.Req]; r != nil {
				g.close(r)
			}
		case gateway.Listed:
			if g.fleet.list(e.List, e.Hosts); e.List == gateway.Lost { // the subscription too
				g.nextAsk = g.now + second
			}
		case gateway.Heard:
			g.hear(e.Peer, e.Body)
		case gateway.Woke:
			g.beat()
		}
	}
}

// arrive decides a req: the ordinary path, from top to bottom.
func (g *Gateway) arrive(e *gateway.Event) {
	c := g.customer(hashText(e.Customer), e.Plan, e.Spread, e.First)
	r := &req{id: e.Req, customer: c, front: &g.fronts[e.Frontend], units: e.Units, arrived: g.now,
		until: e.Until}
	g.reqs[r.id] = r
	r.front.units += (e.Units - r.front.units) / 64
	c.refill(g.now, g.alone())

	worth := r.front.Value * r.front.units * c.plan.Price / r.front.usual
	g.worth += (worth - g.worth) / 256
	h, after := (*host)(nil), r.front.usual
	switch {
	case c.plan.Rate > 0 && c.level < r.units: // the copy lacks the units
		after = (r.units - c.level) / c.plan.Rate * float64(second)
	case c.plan.CeilingRate > 0 && c.ceiling < r.units: // so does this gateway's part of the ceiling
		after = (r.units - c.ceiling) / c.ceilRate * float64(second)
	case c.bad > 0.5 && g.now-c.moved < second: // most of its reqs go unanswered: one a second
		after = float64(second)
	case c.plan.Open > 0 && !g.openRoom(c, r.front): // too many are out
	default: // no host: better told now than answered late
		h = g.fleet.pick(c.hash, g.now, kept+(1-kept)*min(worth/g.worth, 1), nil)
	}
	if h == nil {
		g.deny(r, after)
		return
	}
	c.level, c.ceiling, c.total = c.level-r.units, c.ceiling-r.units, c.total+r.units
	c.moved = g.now
	for i := range c.ties {
		c.ties[i].note()
	}
	g.spare = min(g.spare+0.1, 10)
	g.dispatch(r, h)
}

// dispatch sends r to h. It waits while an answer has value.
func (g *Gateway) dispatch(r *req, h *host) {
	timeout := int64(0)
	if (r.front.Late == 0 || float64(g.fleet.out+1) > pressed*g.fleet.limit) && !r.front.Stream {
		timeout = max(r.arrived+r.front.Target-g.now, 1000)
	}
	r.out = &send{req: r, host: h, n: r.tries, at: g.now}
	r.tries++
	r.customer.open++
	h.out = append(h.out, r.out)
	g.fleet.sent(h, g.now)
	g.out.Dispatch(r.id, h.id, timeout)
}

// ended takes in how a dispatch ended, and sends the req again where that may help and the rules allow it.
func (g *Gateway) ended(e *gateway.Event) {
	r := g.reqs[e.Req]
	if r == nil || r.out == nil || r.out.n != e.Dispatch {
		return
	}
	s := r.out
	r.out = nil
	r.customer.open--
	r.customer.bad *= 0.75
	if e.Result == gateway.TimedOut {
		r.customer.bad += 0.25
	}
	s.host.out = slices.DeleteFunc(s.host.out, func(o *send) bool { return o == s })
	g.fleet.out--
	if !e.Result.NeverRan() && r.ran == nil {
		r.ran = s
	}
	g.fleet.learn(s, e.Result, e.Lag, e.Load, g.now)
	if e.Result == gateway.Passed && e.Units > 0 {
		r.customer.level += r.units - e.Units
	}
	fr := r.front
	switch {
	case r.closed || e.Closed:
		g.close(r)
	case e.Result != gateway.TimedOut && g.again(r, s.host):
	case r.ran == nil || fr.Effect == gateway.Replayable ||
		fr.Effect == gateway.Uniqued && fr.Group == gateway.AllHosts: // a repeat is harmless
		g.deny(r, fr.usual)
	default:
		g.out.Abort(r.id)
		g.close(r)
	}
}

// again sends r once more, elsewhere, if it may.
func (g *Gateway) again(r *req, last *host) bool {
	if r.tries >= g.limits.Dispatches || g.now >= min(r.until, r.arrived+r.front.Target) {
		return false
	}
	e := r.front.Effect
	if r.ran != nil && (g.spare < 1 || e == gateway.NonReplayable ||
		e == gateway.Uniqued && g.now > r.ran.at+r.front.Window-margin) {
		return false
	}
	h := g.fleet.pick(r.customer.hash, g.now, 1, func(h *host) bool {
		return h != last && (r.ran == nil || e != gateway.Uniqued || r.front.Group == gateway.AllHosts ||
			h.zone == r.ran.host.zone && (r.front.Group == gateway.SameZone || h.cell == r.ran.host.cell))
	})
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
func (g *Gateway) deny(r *req, after float64) {
	if !g.limits.RetryAfter {
		after = 0
	}
	g.out.Deny(r.id, int64(after))
	g.close(r)
}

// close marks r as over; it is forgotten when no dispatch is out.
func (g *Gateway) close(r *req) {
	r.closed = true
	if r.out == nil {
		delete(g.reqs, r.id)
	}
}

// beat does what is due with time, and asks for the next beat.
func (g *Gateway) beat() {
	g.out.Wake(beat)
	if g.limits.MustAsk && g.now >= g.nextAsk {
		g.nextAsk = math.MaxInt64
		g.out.Follow()
	}
	for _, h := range g.fleet.hosts {
		if !h.silent(g.now) {
			continue
		}
		h.aside, h.any = g.now+trial, g.now
		for _, s := range h.out { // what it holds moves on when the cancel is confirmed
			if r := s.req; g.limits.Cancel && g.spare >= 1 && !r.closed && r.tries < g.limits.Dispatches &&
				r.front.Effect != gateway.NonReplayable {
				g.out.Cancel(r.id, s.n)
			}
		}
	}
	due := g.now >= g.nextTell
	for _, p := range g.peers {
		if p != nil {
			g.tell(p, due)
		}
	}
	if due {
		g.nextTell += interval
	}
	if g.now >= g.nextSweep {
		g.nextSweep = g.now + second
		maps.DeleteFunc(g.customers, func(_ uint64, c *customer) bool { return c.idle(g.now, g.alone()) })
	}
}

// customer finds a customer, or starts one with a full copy.
func (g *Gateway) customer(hash uint64, plan, spread, first int) *customer {
	if c := g.customers[hash]; c != nil {
		return c
	}
	p := &g.plans[plan]
	n := float64(max(spread, 1))
	c := &customer{hash: hash, plan: p, planID: plan, spread: spread, first: first, begun: g.now, at: g.now,
		moved: g.now, level: p.Burst, ceilRate: p.CeilingRate / n, ceilDepth: p.CeilingBurst / n}
	// A former life of this gateway may have just spent its part: it fills from the start of this one on.
	c.ceiling = min(c.ceilDepth, c.ceilRate*seconds(g.now-g.start))
	for i := range spread {
		if p := g.peers[(first+i)%len(g.peers)]; p != nil {
			c.ties = append(c.ties, tie{customer: c, peer: p})
		}
	}
	g.customers[hash] = c
	return c
}

// alone tells that no peer has been heard for four intervals, so that what they admit is unknown.
func (g *Gateway) alone() bool { return g.now-g.heard > silence }

// refill brings the copy up to now. The design denies all while no peer is heard; but then everyone is denied
// too when the peers or the network between them are gone. So the copy keeps what is safe in any case: its
// due if every gateway of the customer's set were cut off alike. It covers partitions, crashes and long loss;
// it may cost one burst at its start, and leaves the last gateway alive a part of each quota only.
func (c *customer) refill(now int64, alone bool) {
	t, part := seconds(now-c.at), 1.0
	c.at = now
	if alone {
		part /= float64(len(c.ties) + 1)
	}
	c.level = min(c.level+c.plan.Rate*t*part, c.plan.Burst*part)
	c.ceiling = min(c.ceiling+c.ceilRate*t, c.ceilDepth)
}

// idle tells whether the customer has been quiet and refilled, so that the record holds nothing.
func (c *customer) idle(now int64, alone bool) bool {
	c.refill(now, alone)
	return c.open == 0 && now-c.moved > silence && (c.level >= c.plan.Burst || c.plan.Rate == 0) &&
		(c.ceiling >= c.ceilDepth || c.ceilRate == 0) &&
		!slices.ContainsFunc(c.ties, func(t tie) bool { return t.queued })
}

// openRoom tells whether one more dispatch is worth the risk to pass the plan's cap on those out. Those of other
// gateways are a chance number about what their admissions keep out; a denied req may come back and pass.
func (g *Gateway) openRoom(c *customer, fr *front) bool {
	room := c.plan.Open - c.open
	if room <= 0 {
		return false
	}
	others := 0.0
	for i := range c.ties {
		if t := &c.ties[i]; g.now-t.changed < 3*interval {
			others += t.rate / fr.units * fr.usual / float64(second)
		}
	}
	p, term := 0.0, math.Exp(-others)
	for k := range room {
		p += term
		term *= others / float64(k+1)
	}
	return p/2 >= (1-p)*c.plan.BeyondCost
}

// note notes that the peer is to be told, early if the untold part is large.
func (t *tie) note() {
	t.again = true
	if !t.queued {
		t.queued = true
		t.peer.queue = append(t.peer.queue, t)
	}
	if t.untold() >= early*t.customer.plan.Burst {
		t.peer.urgent = true
	}
}

func (t *tie) untold() float64 { return t.customer.total - float64(t.told)/unit }

// tell sends p the totals that changed, the largest changes first: each interval, with at least a sign of
// life, and between if one is urgent. A total is told again an interval after its change, lest it be lost.
func (g *Gateway) tell(p *peer, due bool) {
	rate := g.seat.PerSecond * mailShare / float64(len(g.peers)-1)
	p.credit = min(p.credit+rate*seconds(beat), rate)
	if !due && (!p.urgent || p.credit < 1) {
		return
	}
	slices.SortStableFunc(p.queue, func(a, b *tie) int { return cmp.Compare(b.untold(), a.untold()) })
	msg := g.head(p, due)
	left := p.queue[:0]
	for i, t := range p.queue {
		c := t.customer
		total := uint64(c.total * unit)
		entry := binary.LittleEndian.AppendUint64(nil, c.hash)[:5]
		entry = append(entry, byte(c.planID), byte(c.spread), byte(c.first))
		if g.now-c.begun < silence {
			entry[7] |= 128
		}
		entry = binary.AppendUvarint(entry, total)
		full := len(msg)+len(entry)+binary.MaxVarintLen32 > mailBytes
		if !due && (full || total == t.told) || full && p.credit < 2 { // nothing more to tell now, or no room
			left = append(left, p.queue[i:]...)
			break
		}
		if full {
			g.out.Tell(p.seat, msg)
			p.credit--
			msg = g.head(p, false)
		}
		// Spare ceiling goes to a peer that admits more than its part; deducted first, a lost message loses units.
		gift := 0.0
		if t.rate > needy*c.ceilRate && g.now-t.changed < silence {
			gift = math.Floor(max(c.ceiling-c.ceilDepth/2, 0) * unit)
		}
		c.ceiling -= gift / unit
		msg = binary.AppendUvarint(append(msg, entry...), uint64(gift))
		t.told, t.queued = total, t.again
		if t.again {
			t.again = !due
			left = append(left, t)
		}
	}
	p.queue, p.urgent = left, false
	p.credit--
	g.out.Tell(p.seat, msg)
}

// head begins a message: version, this life, its number, and once an interval the hosts that answered well.
func (g *Gateway) head(p *peer, hosts bool) []byte {
	p.said++
	msg := binary.AppendUvarint([]byte{version}, uint64(g.start))
	msg = binary.AppendUvarint(msg, p.said)
	var tags []byte
	for _, h := range g.fleet.hosts {
		if hosts && h.good > 0 && g.now-h.good <= interval && len(tags) < 100 {
			tags = binary.LittleEndian.AppendUint16(tags, uint16(h.hash))
		}
	}
	return append(append(msg, byte(len(tags)/2)), tags...)
}

// hear takes a peer's message in: its admissions since the last total heard are subtracted from the copy.
func (g *Gateway) hear(from int, msg []byte) {
	if from < 0 || from >= len(g.peers) || g.peers[from] == nil || len(msg) < 4 || msg[0] != version {
		return
	}
	p := g.peers[from]
	life, n := binary.Uvarint(msg[1:])
	number, m := binary.Uvarint(msg[1+max(n, 0):])
	if n <= 0 || m <= 0 || len(msg) < n+m+2 || len(msg) < n+m+2+2*int(msg[n+m+1]) || life < p.life {
		return
	}
	hosts := int(msg[n+m+1])
	msg = msg[n+m+2:]
	if life != p.life || g.now-p.heard > silence { // its totals are first totals again
		p.life, p.first = life, g.now
	}
	p.heard, g.heard = g.now, g.now
	for ; hosts > 0; hosts-- {
		g.fleet.vouched(binary.LittleEndian.Uint16(msg))
		msg = msg[2:]
	}
	for len(msg) > 8 {
		hash := binary.LittleEndian.Uint64(msg) & (1<<40 - 1)
		plan, spread, first := int(msg[5]), int(msg[6]), int(msg[7]&127)
		total, n := binary.Uvarint(msg[8:])
		gift, m := binary.Uvarint(msg[8+max(n, 0):])
		if n <= 0 || m <= 0 || plan >= len(g.plans) || spread > len(g.peers) || first >= len(g.peers) {
			return
		}
		c := g.customer(hash, plan, spread, first)
		for i := range c.ties {
			if t := &c.ties[i]; t.peer == p && (t.at < p.first || number > t.number) {
				t.hear(total, msg[7] > 127, g.now)
				c.ceiling = min(c.ceiling+float64(gift)/unit, c.ceilDepth)
				if t.rate > needy*c.ceilRate && c.ceilRate > 0 {
					t.note()
				}
				t.number, t.at = number, g.now
			}
		}
		msg = msg[8+n+m:]
	}
}

// hear subtracts what the peer admitted since its last message. A first or lower total is only recorded, but
// subtracted whole where the peer says that it has counted for a short time only.
func (t *tie) hear(total uint64, young bool, now int64) {
	c := t.customer
	c.refill(now, false)
	last := t.seen
	if t.at < t.peer.first || t.at == 0 || total < t.seen {
		if last = total; young {
			last = 0
		}
	}
	if total > last {
		units := float64(total-last) / unit
		c.level = max(c.level-units, min(c.level, -debt*c.plan.Burst))
		t.rate += (units/max(seconds(now-max(t.changed, c.begun)), seconds(interval)/4) - t.rate) / 2
	}
	if total != t.seen {
		t.changed, c.moved = now, now
	}
	t.seen = total
}

// fleet is the hosts.
type fleet struct {
	byID   map[uint32]*host
	hosts  []*host // in a fixed order
	cold   gateway.Cold
	utilAt int     // place of the busy share in load reports, -1 none
	first  float64 // what a host adds to the limit
	out    int     // dispatches out from here
	limit  float64 // on these
	late   float64 // mean part of the target that answers take
	cutAt  int64
}

// host is all that is known of a host.
type host struct {
	id         uint32
	hash       uint64
	zone, cell int
	state      gateway.State
	since      int64 // its last start
	out        []*send
	pace       float64 // its answers' time against the usual
	util       float64 // told busy share of its cores
	load       float64 // how long an answer would take, in parts of the usual
	allow      float64 // dispatches it may get while cold
	aside      int64   // set aside until; 0 not
	good, any  int64   // last good answer, last answer
}

// list takes news of the host list in.
func (f *fleet) list(kind gateway.List, news []gateway.Listing) {
	for _, h := range f.hosts {
		if kind == gateway.Complete || kind == gateway.Old {
			h.state = gateway.Gone
		}
	}
	for _, l := range news {
		h := f.byID[l.Host]
		if h == nil {
			h = &host{id: l.Host, hash: mix(uint64(l.Host) + 1), pace: 1, since: l.Since}
			f.byID[l.Host] = h
			f.limit += f.first
			f.hosts = append(f.hosts, h)
			slices.SortFunc(f.hosts, func(a, b *host) int { return cmp.Compare(a.id, b.id) })
		}
		if l.Since > h.since { // a new start: what was learned of the old process is void
			h.since, h.pace, h.aside, h.allow, h.util = l.Since, 1, 0, 0, 0
		}
		h.zone, h.cell, h.state = l.Zone, l.Cell, l.State
	}
}

// warmth is the part of its capacity that a host surely has.
func (f *fleet) warmth(h *host, now int64) float64 {
	if h.since <= 0 || now-h.since >= f.cold.Warm || f.cold.Warm <= 0 {
		return 1
	}
	return f.cold.From + (1-f.cold.From)*float64(max(now-h.since, 0))/float64(f.cold.Warm)
}

// pick gives the customer's first host in rank that has no more than a little above the least load.
func (f *fleet) pick(customer uint64, now int64, part float64, in func(*host) bool) *host {
	if float64(f.out+1) > max(f.limit*part, 1) {
		return nil
	}
	least := math.Inf(1)
	for _, h := range f.hosts {
		h.load = math.Inf(1)
		w := f.warmth(h, now)
		if h.state == gateway.Running && (w >= 1 || h.allow >= 1) && (in == nil || in(h)) {
			h.load = h.pace * float64(len(h.out)+1) / w * (1 + h.util)
			if h.aside > 0 && (now < h.aside || len(h.out) > 0) {
				h.load *= shunned // not out of use: where all are set aside the cause is shared
			}
		}
		least = min(least, h.load)
	}
	var first *host
	for _, h := range f.hosts {
		if h.load <= least*ample && !math.IsInf(least, 1) &&
			(first == nil || mix(customer^h.hash) > mix(customer^first.hash)) {
			first = h
		}
	}
	return first
}

// sent counts a dispatch: every cold host's allowance grows by its part of the fleet's warmth.
func (f *fleet) sent(to *host, now int64) {
	f.out++
	sum := 0.0
	for _, h := range f.hosts {
		if h.state == gateway.Running && h.aside == 0 {
			sum += f.warmth(h, now)
		}
	}
	for _, h := range f.hosts {
		if w := f.warmth(h, now); w < 1 {
			h.allow = min(h.allow+w/max(sum, 1), 1.5)
		}
	}
	to.allow--
}

// learn takes in what an ended dispatch says of its host.
func (f *fleet) learn(s *send, res gateway.Result, lag int64, load []float64, now int64) {
	h, fr := s.host, s.req.front
	if f.utilAt >= 0 && f.utilAt < len(load) {
		h.util = load[f.utilAt]
	}
	switch res {
	case gateway.Passed:
		fr.usual += (float64(lag) - fr.usual) / 64
		h.good, h.any, h.aside = now, now, 0
	case gateway.Busy:
		h.any, h.pace = now, min(h.pace*1.5, 10)
	case gateway.Errored, gateway.Unreached, gateway.Broken:
		h.aside = now + trial // it gets little until then, or until a peer hears well of it
	}
	if res == gateway.Passed || res == gateway.TimedOut && s.req.customer.bad <= 0.5 {
		h.pace = max(h.pace+(float64(lag)/fr.usual-h.pace)/16, 0.2)
		f.limitOpen(lag, fr.Target, now)
	}
}

// limitOpen moves the limit on dispatches out from here. It grows while answers take on average less than a
// part of their target and is cut, once in that time, while they take more: a deeper queue earns nothing and
// slows hosts. It covers overload, slow dependencies, shrunken fleets; a run of long reqs can cut it too.
func (f *fleet) limitOpen(lag, target, now int64) {
	f.late += (min(float64(lag)/float64(target), 1) - f.late) / min(2+f.limit, 16)
	if f.late <= lateness {
		if float64(f.out+2) > f.limit {
			f.limit += 1 / f.limit
		}
	} else if now-f.cutAt >= int64(lateness*float64(target)) {
		f.limit, f.cutAt = max(1, f.limit*0.85), now
	}
}

// silent tells whether the host holds dispatches and has answered nothing for much longer than usual.
func (h *host) silent(now int64) bool {
	return len(h.out) > 0 && now-max(h.out[0].at, h.any) >
		max(int64(5*h.out[0].req.front.usual*h.pace), h.out[0].req.front.Target/2)
}

// vouched brings a host back that another gateway has good answers from.
func (f *fleet) vouched(tag uint16) {
	for _, h := range f.hosts {
		if uint16(h.hash) == tag {
			h.aside = 0
		}
	}
}

func seconds(t int64) float64 { return float64(t) / float64(second) }

// mwc is a multiply-with-carry generator.
type mwc uint64

func (m *mwc) next() uint32 {
	*m = mwc(uint64(uint32(*m))*4294957665 + uint64(*m)>>32)
	return uint32(*m)
}

func hashText(s string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(s))
	return mix(h.Sum64()) & (1<<40 - 1)
}

// mix spreads the bits of x.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
