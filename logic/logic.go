// Package logic holds all decisions of a quota gateway. Round takes all that came in at one time.
// The design (docs/design.md) decides each request's ordinary path: every gateway holds an undivided copy of
// each customer's bucket, refilled at the full rate; what peers admit, gossiped as running totals, is
// subtracted, down to a bounded debt; a copy without the units rejects. Beside it stand six mechanisms:
//
//  1. a part of the hard ceiling for each gateway of a customer's set (Gateway.customer, Gateway.refill)
//  2. the cap on requests in flight: asked of the shared counter, else guessed (counted, inCapChance)
//  3. bounded load among a subset of the hosts (package spread): the first in rank not much busier (pick)
//  4. a limit on what is in flight, moved by how late answers are; low value gives way (package limit)
//  5. hosts that fail a class or fall silent are suspected (health), as are customers that go unanswered
//  6. an allowance for cold hosts, a part of all attempts (attempted)
package logic

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"ravensill/gateway"
	"ravensill/internal/gossip"
)

const (
	second          = int64(1e9)
	timerInterval   = second / 25 // between wake-ups
	gossipInterval  = second / 2  // between totals, longer where a gateway may not take in that much
	silentIntervals = 4           // intervals with no peer heard: alone; after so long a customer is forgotten
	maxDebt         = 1.0         // bursts that a copy may owe; the design's default
	gossipShare     = 0.4         // part of what a gateway takes in that its peers use, up to twice that
	counterScale    = 16          // totals are told in these parts of a unit
	windowMargin    = second / 5  // kept clear of the end of a deduplicated request's window
	stallThreshold  = second / 10 // with no round: this gateway stood still
	decayTime       = 4 * second  // what is known against a host wears off in
	suspectShare    = 0.3         // part unanswered from which a host's silence is its own
	suspectPenalty  = 16.0        // times its load, for a host suspected
	outsidePenalty  = 6.0         // times its load, for a host outside the subset: for much traffic
	busyPenalty     = 4.0         // times its load at most, for a host that tells it is busy
	baseShare       = 0.6         // part of the limit that is open to requests of any worth
	loadSlack       = 1.2         // times the least load: enough for a host
	relistPause     = int64(3e8)  // the first pause before a lost list is asked for again; 13 times it at most
	counterSpan     = 5 * second  // a number at the counter covers so long
	initialInFlight = 6.0         // attempts in flight at each host to start with, all gateways together
)

// repeatable tells whether a repeat now of what was sent first does no harm: all hosts drop it for a window.
func (f *class) repeatable(first, now int64) bool {
	return f.Effect == gateway.Idempotent ||
		f.Effect == gateway.Deduplicated && f.Group == gateway.AllHosts && now <= first+f.DedupWindow-windowMargin
}

// New makes a gateway that has neither hosts nor customers yet.
func New(seed uint64, seat gateway.Membership, fronts []gateway.RequestClass, plans []gateway.Plan,
	limits gateway.Limits, cold gateway.SlowStart, report gateway.LoadReportForm) *Gateway {
	rnd := generator(seed | 1)
	g := &Gateway{start: -1, membership: seat, limits: limits, random: &rnd, byID: map[uint32]int{},
		customers: map[uint32]*customer{}, requests: map[string]*request{}, counterCalls: map[uint64][]*request{}}
	g.endpoints = endpointSet{random: g.random, slowStart: cold, memberIndex: seat.Index}
	g.endpoints.utilizationField = slices.Index(report.Fields, gateway.Utilization)
	for i := range fronts {
		g.setClass(&gateway.ClassUpdate{Index: i, Class: fronts[i]})
	}
	for i := range plans {
		g.setPlan(&gateway.PlanUpdate{Index: i, Plan: plans[i]})
	}
	g.format = gossip.Format{Plans: len(plans), ByID: len(plans) > 0 && plans[0].ID != 0}
	g.setFleetSize(max(seat.Count, 1))
	return g
}

// Round takes all that came in and writes the decisions.
func (g *Gateway) Decide(in *gateway.Batch, out gateway.Actions) {
	late, n := in.Now-g.now, int64(len(in.Events))
	if late <= stallThreshold || g.start < 0 {
		late = 0
	} else { // this gateway stood still; what came in meanwhile came evenly
		g.endpoints.stallEnd, g.endpoints.stallLength = in.Now, late
	}
	g.now, g.actions = in.Now, out
	if g.start < 0 {
		g.start, g.lastGossip, g.lastTimer = g.now, g.now, g.now
		g.handleTimer()
	}
	for i := range 2 * n { // what waited together is decided on all that lists and peers tell
		e := &in.Events[i%n]
		if news := e.Kind == gateway.EndpointsListed || e.Kind == gateway.GossipReceived; news != (i < n) {
			continue
		}
		switch e.Kind {
		case gateway.RequestArrived:
			g.arrive(e, g.now-late*(2*n-i)/n)
		case gateway.AttemptEnded:
			g.attemptEnded(e)
		case gateway.ClientGone:
			if r := g.requests[e.RequestID]; r != nil {
				g.close(r)
			}
		case gateway.EndpointsListed:
			if g.endpoints.updateList(e.ListKind, e.Endpoints, g.now); e.ListKind != gateway.ListUnavailable {
				g.failedPolls, g.nextPoll = 0, math.MaxInt64
			} else { // by chance, pauses double from call to call: a fleet asks apart, each has news in 6 s
				if g.failedPolls = min(g.failedPolls+1, 5); g.failedPolls == 1 {
					g.lastPoll = g.now
				}
				pause := min(int64((0.5+g.random.fraction())*float64(relistPause<<(g.failedPolls-1))), 13*relistPause)
				g.nextPoll = max(g.lastPoll+pause, g.now+pause/8)
			}
		case gateway.GossipReceived:
			g.receiveGossip(e.Peer, e.Message)
		case gateway.CounterReplied:
			g.counterReplied(e)
		case gateway.TimerFired:
			g.handleTimer()
		}
	}
}

func (g *Gateway) arrive(e *gateway.Event, at int64) {
	c, fr := g.customerFor(hashText(e.Customer), e.Plan, e.Spread, e.FirstGateway), g.classes[e.Class]
	r := &request{id: e.RequestID, customer: c, class: fr, units: e.Units, arrived: at, deadline: e.Deadline, stopAt: e.StopAt}
	g.requests[r.id] = r
	fr.typicalUnits += (e.Units - fr.typicalUnits) / 64
	g.arrivals++
	g.largestRequest = max(g.largestRequest, r.units)
	if g.format.ByID { // its plan may be gone, or it is on another now
		c.planIndex = e.Plan
	}
	g.refill(c)
	c.requestedUnits += r.units
	// The counter may be asked about the cap where it answers and the client will still be there.
	ask := g.limits.SharedCounter && c.plan.MaxInFlight > 0 && len(c.subscriptions) > 0 && g.now >= g.counterRetry
	g.decide(r, c.withinCapProbability(fr), ask && r.deadline-g.now > 2*g.limits.CounterTimeout)
}

// decide decides a request: the ordinary path, from top to bottom. inCap is its chance to be within the cap
// on requests in flight; where the counter may be asked of that it is, and the answer comes back here.
func (g *Gateway) decide(r *request, inCap float64, ask bool) {
	c, fr := r.customer, r.class
	greed := (1 + c.requestedUnits) / (1 + c.admittedUnits)
	// What peers have admitted within a total's age is a chance number; the more is asked, the more it sways.
	level := c.level - min(2*g.random.fraction()*c.peerRate*g.counterAge*greed, c.plan.Burst/2)

	value := fr.Value * fr.typicalUnits * c.plan.PriorityWeight / fr.typicalLatency
	g.meanValue += (value - g.meanValue) / 256
	h, after, why := (*endpoint)(nil), fr.typicalLatency, ByHosts
	switch {
	case c.plan.Rate > 0 && level < r.units: // the copy lacks the units
		after, why = (r.units-level)/c.plan.Rate*float64(second), ByQuota
	case c.plan.CeilingRate > 0 && c.ceilingLevel < r.units: // so does this gateway's part of the ceiling
		after, why = (r.units-c.ceilingLevel)/c.ceilingRate*float64(second), ByCeiling
	case c.unansweredFraction > 0.5 && g.now-c.lastAdmission < second: // most go unanswered: one a second
		after, why = float64(second), ByUnanswered
	case r.deadline <= g.now, fr.LateValue == 0 && float64(g.now-r.arrived)+fr.typicalLatency > float64(fr.LatencyObjective): // in vain
		why = ByLate
	case r.stopAt > 0 && float64(r.stopAt-g.now) < fr.typicalLatency: // this gateway would end over it; another has the time
		why = ByLate
	case inCap > 0 && ask:
		r.counterName = mix(uint64(c.hash)<<32|uint64(g.now/counterSpan)) >> 1
		g.callCounter(r.counterName, 1, r)
		return
	case inCap == 0 || inCap/2 < (1-inCap)*c.plan.OverQuotaCost*greed: // too many are out; it may come back
		why = ByCap
	default: // no host: better told now than answered late
		h = g.endpoints.choose(c, fr, g.now, baseShare+(1-baseShare)*min(value/g.meanValue, 1), nil)
	}
	if h == nil {
		g.reject(r, why, after)
		return
	}
	g.admitted++
	taken := r.units * inCap // what is beyond the cap takes nothing from the quota
	if c.plan.Rate > 0 {
		c.level -= taken
	}
	c.ceilingLevel, c.counters = c.ceilingLevel-r.units, [2]float64{c.counters[0] + taken, c.counters[1] + taken}
	c.admittedUnits, c.lastAdmission = c.admittedUnits+r.units, g.now
	c.queueCounters(true, nil)
	g.retryBudget = min(g.retryBudget+0.25, 10)
	g.startAttempt(r, h)
}

// end is when r is waited for no longer. After a stall answers lie waiting, late ones that earn too.
func (g *Gateway) answerDeadline(r *request) int64 {
	fr, more := r.class, int64(0)
	if g.endpoints.stallEnd > 0 && g.now-g.endpoints.stallEnd < decayTime {
		more = int64(fr.LateValue * float64(fr.Timeout-fr.LatencyObjective))
	}
	return min(r.deadline, r.arrived+fr.LatencyObjective+more)
}

func (g *Gateway) startAttempt(r *request, h *endpoint) {
	g.reportCandidates(r, h)
	r.current = &attempt{request: r, host: h, number: r.attempts, startedAt: g.now}
	r.attempts++
	r.customer.inFlight++
	h.inFlight = append(h.inFlight, r.current)
	g.endpoints.countAttempt(h, r.class, r.attempts > 1, g.now)
	g.actions.StartAttempt(r.id, h.id, max(g.answerDeadline(r)-g.now, 1000))
}

// ended takes in how an attempt ended, and sends the request again where that may help and is allowed.
func (g *Gateway) attemptEnded(e *gateway.Event) {
	r := g.requests[e.RequestID]
	if r == nil || r.current == nil || r.current.number != e.Attempt {
		return
	}
	s, c, fr := r.current, r.customer, r.class
	r.current, c.inFlight = nil, c.inFlight-1
	if c.unansweredFraction *= 0.75; e.Result == gateway.TimedOut {
		c.unansweredFraction += 0.25
	}
	s.host.inFlight = slices.DeleteFunc(s.host.inFlight, func(o *attempt) bool { return o == s })
	g.endpoints.inFlight--
	if !e.Result.NeverRan() && r.mayHaveRun == nil {
		r.mayHaveRun = s
	}
	g.endpoints.observeResult(s, e.Result, e.Latency, e.LoadReport, g.now)
	switch {
	case r.closed || e.Closed:
		g.close(r)
	case e.Result != gateway.TimedOut && g.retry(r, s.host):
	case r.mayHaveRun == nil || fr.repeatable(r.mayHaveRun.startedAt, g.now):
		g.reject(r, ByFailure, fr.typicalLatency)
	default:
		g.actions.Fail(r.id)
		g.close(r)
	}
}

func (g *Gateway) retry(r *request, last *endpoint) bool {
	fr := r.class
	if r.attempts >= g.limits.MaxAttempts || g.now >= g.answerDeadline(r) ||
		r.mayHaveRun != nil && (g.retryBudget < 1 || !fr.repeatable(r.mayHaveRun.startedAt, g.now)) {
		return false
	}
	h := g.endpoints.choose(r.customer, fr, g.now, 1, last)
	if h == nil {
		return false
	}
	if r.mayHaveRun != nil {
		g.retryBudget--
	}
	g.startAttempt(r, h)
	return true
}

// reject gives the final answer that makes a repeat harmless, with the time to stay away.
func (g *Gateway) reject(r *request, why int, after float64) {
	g.rejected[why]++
	if !g.limits.RetryAfter {
		after = 0
	}
	g.actions.Reject(r.id, int64(after))
	g.close(r)
}

func (g *Gateway) close(r *request) {
	if r.closed = true; r.current == nil {
		delete(g.requests, r.id)
		if r.counterName != 0 {
			g.callCounter(r.counterName, -1, nil)
		}
	}
}

// call adds to a number of requests in flight, and may leave r to wait for the answer. All gateways' clocks
// give it one name for a span; the next counts anew, or what a killed gateway had in flight would stay.
func (g *Gateway) callCounter(name uint64, amount float64, r *request) {
	g.counterCalls[name] = append(g.counterCalls[name], r)
	g.actions.AddToCounter(name, amount, 2*counterSpan)
}

// counted takes in an answer of the counter, or that there is none: then the guess decides.
func (g *Gateway) counterReplied(e *gateway.Event) {
	calls := g.counterCalls[e.CounterName]
	if len(calls) == 0 {
		return
	}
	r := calls[0]
	if g.counterCalls[e.CounterName] = calls[1:]; len(calls) == 1 {
		delete(g.counterCalls, e.CounterName)
	}
	if e.Result == gateway.Succeeded {
		g.counterFailures = 0
	} else if g.counterFailures++; g.counterFailures >= 4 {
		g.counterRetry = g.now + second
	}
	if r == nil || r.closed {
		return
	}
	inCap := 0.0
	if e.Result != gateway.Succeeded {
		r.counterName, inCap = 0, r.customer.withinCapProbability(r.class)
	} else if e.CounterTotal <= float64(r.customer.plan.MaxInFlight) {
		inCap = 1
	}
	g.refill(r.customer)
	g.decide(r, inCap, false)
}

func (g *Gateway) handleTimer() {
	g.actions.SetTimer(timerInterval)
	since := seconds(g.now - g.lastTimer)
	more := float64(g.arrivals) / max(g.membership.MessageRate*gossipShare, 1) // as many messages as requests come in
	credit := g.messageRate * max(since, min(more, 2*since))
	g.lastTimer, g.arrivals = g.now, 0
	if g.limits.PollEndpoints && g.now >= g.nextPoll {
		g.lastPoll, g.nextPoll = g.now, math.MaxInt64
		g.actions.WatchEndpoints()
	}
	for _, h := range g.endpoints.withAttempts() {
		for _, s := range h.inFlight {
			if r := s.request; h.overdue(s, g.now) {
				h.healthFor(r.class).markSuspected(g.now)
				if first := cmp.Or(r.mayHaveRun, s); g.limits.Cancellation && g.retryBudget >= 1 && !r.closed &&
					r.attempts < g.limits.MaxAttempts && r.class.repeatable(first.startedAt, g.now) {
					g.actions.CancelAttempt(r.id, s.number) // it moves on when that is confirmed
				}
			}
		}
	}
	for _, p := range g.neighbours {
		g.sendGossip(p, credit)
	}
	if g.now >= g.nextSweep {
		g.nextSweep = g.now + second
		maps.DeleteFunc(g.customers, func(_ uint32, c *customer) bool { return g.forgettable(c) })
	}
}
