// Hosts: the list, the choice among them, and what is learned of each.

package logic

import (
	"math"
	"ravensill/gateway"
	"ravensill/spread"
	"slices"
)

// of is how the host serves a frontend. Most hosts of a large list are never asked: records are made late.
func (h *host) of(fr *front) *health {
	if missing := fr.nth + 1 - len(h.fronts); missing > 0 {
		h.fronts = append(h.fronts, make([]health, missing)...)
	}
	return &h.fronts[fr.nth]
}

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
	for i, h := range f.entries(news) {
		l := news[i]
		if l.Since > h.since { // a new start: what was learned of the old process is void
			h.since, h.pace, h.allow, h.util, h.fronts = l.Since, 1, f.rnd.part(), 0, nil
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
	f.gather()
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
	least := f.weigh(f.near, fr, now, last)
	if c.enough(least) >= foreign { // any other host is idle, of that load
		least = f.weigh(f.hosts, fr, now, last)
	}
	var first *host
	enough := c.enough(least)
	for _, h := range f.weighed {
		if h.load <= enough && least < math.MaxFloat64 &&
			(first == nil || mix(uint64(c.hash)^h.Hash) > mix(uint64(c.hash)^first.Hash)) {
			first = h
		}
	}
	return first
}

// weigh sets the hosts' loads for a frontend, infinite for one that may get nothing now, and gives the least.
func (f *fleet) weigh(hosts []*host, fr *front, now int64, last *host) float64 {
	least := math.Inf(1)
	f.weighed = hosts
	for _, h := range hosts {
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
	return least
}

// sent counts a dispatch: every cold host's allowance grows by its part of the fleet's warmth.
func (f *fleet) sent(to *host, fr *front, now int64) {
	f.out++
	f.meet(to)
	sum, all := 0.0, 0.0
	for _, h := range f.near {
		if w := f.warmth(h, now); h.state == gateway.Running && h.Held {
			if all += w; h.of(fr).doubt(now) < doubtful {
				sum += w
			}
		}
	}
	for _, h := range f.near {
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
	for _, h := range f.near {
		for i := range h.fronts {
			if h.tag(i) == tag {
				h.fronts[i].bad /= 2
			}
		}
	}
}
