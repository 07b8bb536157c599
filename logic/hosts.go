// Hosts: the list, the choice among them, and what is learned of each.

package logic

import (
	"math"
	"ravensill/gateway"
	"ravensill/spread"
	"slices"
)

// of is how the host serves a class. Most hosts of a large list are never asked: records are made late.
func (h *endpoint) healthFor(fr *class) *health {
	if missing := fr.index + 1 - len(h.health); missing > 0 {
		h.health = append(h.health, make([]health, missing)...)
	}
	return &h.health[fr.index]
}

// suspicion is the part that likely goes unanswered; it wears off, so that the host is tried again.
func (o *health) suspicion(now int64) float64 {
	return o.unansweredFraction * math.Exp(-float64(now-o.unansweredAt)/float64(decayTime))
}

func (o *health) markSuspected(now int64) { o.unansweredFraction, o.unansweredAt = 0.9, now }

func (h *endpoint) gossipTag(front int) uint16 {
	return uint16(h.Hash>>16)*uint16(front) + uint16(h.Hash)
}

// list takes in a list of hosts, or changes of it.
func (f *endpointSet) updateList(kind gateway.ListKind, news []gateway.Endpoint, now int64) {
	for _, h := range f.all {
		if kind == gateway.ListComplete || kind == gateway.ListCached {
			h.state = gateway.Gone
		}
	}
	for i, h := range f.recordsFor(news) {
		l := news[i]
		if l.StartedAt != h.announcedStart { // a new start: what was learned of the old process is void
			h.announcedStart, h.relativeLatency, h.allowance, h.utilization, h.health = l.StartedAt, 1, f.random.fraction(), 0, nil
			h.startedAt = f.startOf(l.StartedAt, now)
		}
		h.state, h.Weight = l.State, l.Weight
	}
	f.listReceived = f.listReceived || kind == gateway.ListChanges || kind == gateway.ListComplete
	f.all = slices.DeleteFunc(f.all, func(h *endpoint) bool { return h.state == gateway.Gone })
	f.limit.Hosts(len(f.all)) // a record ends with its host, as does its part of the limit
	f.chooseSubset()
}

// startOf gives a host's start by this gateway's clock. The list tells it by the host's wall clock, and either clock may be off by
// an hour. So a start that is notified while this gateway runs counts from its notification, at which the host is as old or older;
// by the clocks alone, a gateway whose clock is ahead would take every host for warm. Of hosts in the first list nothing else is
// known than what that says; a start to come counts as one of now.
func (f *endpointSet) startOf(since, now int64) int64 {
	if since <= 0 { // long ago
		return since
	}
	if f.listReceived {
		return now
	}
	return max(min(since, now), 1)
}

// choose takes this gateway's subset of the hosts: a gateway of many keeps few connections and hears often of
// each. The others serve where none of it will do.
func (f *endpointSet) chooseSubset() {
	var running []*spread.Host
	for _, h := range f.all {
		if h.Held = false; h.state == gateway.Running {
			running = append(running, &h.Host)
		}
	}
	spread.Deal(f.memberIndex, f.memberCount, running)
	f.collectNearby()
}

// warmUp is the part of its capacity that a host surely has.
func (f *endpointSet) warmUpFraction(h *endpoint, now int64) float64 {
	if h.startedAt <= 0 || now-h.startedAt >= f.slowStart.Duration || f.slowStart.Duration <= 0 {
		return 1
	}
	return f.slowStart.InitialFraction + (1-f.slowStart.InitialFraction)*float64(max(now-h.startedAt, 0))/float64(f.slowStart.Duration)
}

// enough is the load up to which a host will do, where the least is that.
func (c *customer) acceptableLoad(least float64) float64 {
	if c.plan.MaxInFlight > 0 { // the sooner it is answered, the sooner its place is free
		return least
	}
	return least * loadSlack
}

// pick gives the customer's first host in rank that has no more than a little above the least load.
func (f *endpointSet) choose(c *customer, fr *class, now int64, part float64, last *endpoint) *endpoint {
	if f.stallEnd > 0 && now-f.stallEnd < f.stallLength { // what came in meanwhile comes on top
		part *= 2
	}
	if !f.limit.Allows(f.inFlight, part, f.random.fraction()) {
		return nil
	}
	least := f.weigh(f.nearby, fr, now, last)
	if c.acceptableLoad(least) >= outsidePenalty { // any other host is idle, of that load
		least = f.weigh(f.all, fr, now, last)
	}
	var first *endpoint
	enough := c.acceptableLoad(least)
	for _, h := range f.lastWeighed {
		if h.load <= enough && least < math.MaxFloat64 &&
			(first == nil || mix(uint64(c.hash)^h.Hash) > mix(uint64(c.hash)^first.Hash)) {
			first = h
		}
	}
	return first
}

// weigh sets the hosts' loads for a class, infinite for one that may get nothing now, and gives the least.
func (f *endpointSet) weigh(hosts []*endpoint, fr *class, now int64, last *endpoint) float64 {
	least := math.Inf(1)
	f.lastWeighed = hosts
	for _, h := range hosts {
		h.load = math.Inf(1)
		if h.state == gateway.Running && (f.warmUpFraction(h, now) >= 1 || h.allowance >= 1) && h != last {
			// What it told and how it answered wears off, or a host once thought busy would never be asked again.
			age := float64(now - h.healthFor(fr).lastAnswer)
			h.load = 1 + (h.relativeLatency*(1+busyPenalty*h.utilization)-1)*math.Exp(-age/float64(decayTime))
			// Still of use: where all are suspected the cause is shared; the others of the subset go first.
			if h.load *= float64(len(h.inFlight)+1) * (1 + suspectPenalty*h.healthFor(fr).suspicion(now)); !h.Held {
				h.load *= outsidePenalty
			}
		}
		least = min(least, h.load)
	}
	return least
}

// attempted counts an attempt, which takes from the allowance of a cold host. A request's first one lets the allowances grow.
// Retries don't: where the other hosts fail each request brings several, and a cold host would get as many times its part.
func (f *endpointSet) countAttempt(to *endpoint, fr *class, retry bool, now int64) {
	f.inFlight++
	f.markContacted(to)
	if !retry {
		f.growAllowances(fr, now)
	}
	to.allowance--
}

// growAllowances has every cold host's allowance grow by its part of what all are warm for.
func (f *endpointSet) growAllowances(fr *class, now int64) {
	sum, all := 0.0, 0.0
	for _, h := range f.nearby {
		if w := f.warmUpFraction(h, now); h.state == gateway.Running && h.Held {
			if all += w; h.healthFor(fr).suspicion(now) < suspectShare {
				sum += w
			}
		}
	}
	for _, h := range f.nearby {
		if w := f.warmUpFraction(h, now); w < 1 && h.Held {
			h.allowance = min(h.allowance+w/max(sum, all*2/max(f.slowStart.OverloadFactor, 1), 1), 1.5) // others fail: up to its bound
		}
	}
}

// observe takes in what an ended attempt says of its host.
func (f *endpointSet) observeResult(s *attempt, res gateway.Result, lag int64, load []float64, now int64) {
	h, fr, busy := s.host, s.request.class, -1.0
	of := h.healthFor(fr)
	of.unansweredFraction, of.unansweredAt = of.suspicion(now), now
	if uint(f.utilizationField) < uint(len(load)) {
		busy = min(load[f.utilizationField], 1)
		h.utilization += (busy - h.utilization) / 4
	}
	switch res {
	case gateway.Succeeded:
		fr.typicalLatency += (float64(lag) - fr.typicalLatency) / 64
		of.lastGood, of.lastAnswer = now, now
		of.unansweredFraction /= 2
	case gateway.Busy:
		of.lastAnswer, h.relativeLatency = now, min(h.relativeLatency*1.5, 10)
	case gateway.TimedOut, gateway.Canceled:
		if s.startedAt >= f.stallEnd && s.request.customer.unansweredFraction <= 0.5 {
			of.unansweredFraction += (1 - of.unansweredFraction) / 4
		}
	case gateway.Errored, gateway.Unreachable, gateway.Disconnected, gateway.Malformed:
		if of.lastFailure >= of.lastGood { // none went well since, nor did a peer hear well of it
			of.markSuspected(now)
		}
		of.lastFailure = now
	}
	// Its silence is the customer's or the host's own; what was out over a stand-still tells nothing.
	own := s.request.customer.unansweredFraction > 0.5 || of.unansweredFraction >= suspectShare
	if s.startedAt >= f.stallEnd && (res == gateway.Succeeded || res == gateway.TimedOut && !own) {
		h.relativeLatency = max(h.relativeLatency+(float64(lag)/fr.typicalLatency-h.relativeLatency)/32, 0.2)
		f.limit.Answered(lag, fr.LatencyObjective, now, f.inFlight, busy)
	}
}

// silent tells whether the host holds s and has answered nothing of its class for much longer than usual.
func (h *endpoint) overdue(s *attempt, now int64) bool {
	fr := s.request.class
	return now-max(s.startedAt, h.healthFor(fr).lastAnswer) > max(int64(5*fr.typicalLatency*h.relativeLatency), fr.LatencyObjective/2)
}

// vouched takes in that another gateway has good answers of a host: a suspected one comes back.
func (f *endpointSet) clearSuspicion(tag uint16) {
	for _, h := range f.nearby {
		for i := range h.health {
			if h.gossipTag(i) == tag {
				h.health[i].unansweredFraction /= 2
			}
		}
	}
}
