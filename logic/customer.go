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
	c := &customer{hash: hash, plan: p, planID: plan, spread: spread, first: first, begun: g.now, at: g.now,
		moved: g.now, level: p.Burst}
	g.tieUp(c)
	g.share(c)
	// A former life of this gateway may have just spent its part: it fills from the start of this one on.
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
		for i := range c.ties {
			c.ties[i].told, c.ties[i].at = 0, 0
		}
	}
	c.plan = p
	g.share(c)
	c.level, c.ceiling = max(min(c.level, p.Burst), -debt*p.Burst), min(c.ceiling, c.ceilDepth)
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
	if p := g.plans[c.planID]; p != nil && p != c.plan {
		g.change(c, p)
	}
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
