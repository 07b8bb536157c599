// Customers: the copy of a bucket, its part of the ceiling, and the guess at requests in flight elsewhere.

package logic

import (
	"math"
	"ravensill/gateway"
	"slices"
)

// customer finds a customer, or starts one with a full copy.
func (g *Gateway) customer(hash uint32, plan, spread, first int) *customer {
	if c := g.customers[hash]; c != nil {
		return c
	}
	p := g.plans[plan]
	c := &customer{hash: hash, plan: p, planIndex: plan, spread: spread, first: first,
		created: g.now, refilled: g.now, lastAdmission: g.now, level: p.Burst}
	g.subscribe(c)
	g.share(c)
	// A former incarnation of this gateway may have just spent its part: it fills from the start of this one on.
	c.ceiling = min(c.ceilDepth, c.ceilRate*seconds(g.now-g.start))
	g.customers[hash] = c
	return c
}

// share sets this gateway's part of the ceiling, none where it is not of the customer's set.
func (g *Gateway) share(c *customer) {
	n := len(g.peers)
	c.ceilDepth, c.ceilRate = c.plan.CeilingBurst/float64(max(c.spread, 1)), 0
	if (g.seat.Index-c.first%n+n)%n < c.spread {
		c.ceilRate = c.plan.CeilingRate / float64(c.spread)
	}
}

// change puts a customer under another plan, or a new version of its own. It gives no units, and binds at
// once. Totals are of one plan: under another they begin anew, or peers would charge that for this one.
func (g *Gateway) change(c *customer, p *gateway.Plan) {
	if p.ID != c.plan.ID {
		c.total = [2]float64{}
		for i := range c.subscriptions {
			c.subscriptions[i].sentTotal, c.subscriptions[i].received = 0, 0
		}
	}
	c.plan = p
	g.share(c)
	c.level, c.ceiling = max(min(c.level, p.Burst), -debt*p.Burst), min(c.ceiling, c.ceilDepth)
}

// refill brings a copy up to now. Where no peer is heard the design rejects all. The copy keeps its due as if
// all of the customer's gateways were cut off alike: safe, but the last one alive serves a part only.
func (g *Gateway) refill(c *customer) {
	t, part := seconds(g.now-c.refilled), 1.0
	c.refilled = g.now
	fade := math.Exp(-t / seconds(g.silence))
	if g.now-g.heard > g.silence {
		part /= float64(max(c.spread, 1))
	} else if g.now-g.heard > g.quiet { // nobody is heard: peers are taken to admit on as they last did
		take := max(min(c.peerRate*t, c.level+debt*c.plan.Burst), 0)
		c.level, c.presumed, c.peerRate = c.level-take, c.presumed+take, c.peerRate/fade
	}
	c.level = min(c.level+c.plan.Rate*t*part, max(c.plan.Burst*part, min(c.plan.Burst, g.largest)))
	c.ceiling = min(c.ceiling+c.ceilRate*t, c.ceilDepth)
	c.peerRate, c.asked, c.admitted, c.presumed = c.peerRate*fade, c.asked*fade, c.admitted*fade, c.presumed*fade
	if p := g.plans[c.planIndex]; p != nil && p != c.plan {
		g.change(c, p)
	}
}

// idle tells whether nothing is lost when the customer is forgotten.
func (g *Gateway) idle(c *customer) bool {
	g.refill(c)
	return c.inFlight == 0 && g.now-c.lastAdmission > g.silence &&
		(c.level >= c.plan.Burst || c.plan.Rate == 0) && (c.ceiling >= c.ceilDepth || c.ceilRate == 0) &&
		!slices.ContainsFunc(c.subscriptions, func(t subscription) bool { return t.queued })
}

// inCapChance is the chance to keep to the cap: peers have a chance number in flight, by what they admit.
func (c *customer) inCapChance(fr *class) float64 {
	if c.plan.MaxInFlight == 0 {
		return 1
	}
	others := c.peerRate / fr.units * fr.usual / float64(second)
	p, term := 0.0, math.Exp(-others)
	for k := range max(c.plan.MaxInFlight-c.inFlight, 0) {
		p += term
		term *= others / float64(k+1)
	}
	return p
}
