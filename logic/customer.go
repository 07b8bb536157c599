// Customers: the copy of a bucket, its part of the ceiling, and the guess at requests in flight elsewhere.

package logic

import (
	"math"
	"ravensill/gateway"
	"slices"
)

// customer finds a customer, or starts one with a full copy.
func (g *Gateway) customerFor(hash uint32, plan, spread, first int) *customer {
	if c := g.customers[hash]; c != nil {
		return c
	}
	p := g.plans[plan]
	c := &customer{hash: hash, plan: p, planIndex: plan, spread: spread, firstGateway: first,
		created: g.now, refilled: g.now, lastAdmission: g.now, level: p.Burst}
	g.subscribe(c)
	g.assignCeiling(c)
	// A former incarnation of this gateway may have just spent its part: it fills from the start of this one on.
	c.ceilingLevel = min(c.ceilingBurst, c.ceilingRate*seconds(g.now-g.start))
	g.customers[hash] = c
	return c
}

// share sets this gateway's part of the ceiling, none where it is not of the customer's set.
func (g *Gateway) assignCeiling(c *customer) {
	n := len(g.peers)
	c.ceilingBurst, c.ceilingRate = c.plan.CeilingBurst/float64(max(c.spread, 1)), 0
	if (g.membership.Index-c.firstGateway%n+n)%n < c.spread {
		c.ceilingRate = c.plan.CeilingRate / float64(c.spread)
	}
}

// change puts a customer under another plan, or a new version of its own. It gives no units, and binds at
// once. Totals are of one plan: under another they begin anew, or peers would charge that for this one.
func (g *Gateway) changePlan(c *customer, p *gateway.Plan) {
	if p.ID != c.plan.ID {
		c.counters = [2]float64{}
		for i := range c.subscriptions {
			c.subscriptions[i].sentTotal, c.subscriptions[i].lastReceived = 0, 0
		}
	}
	c.plan = p
	g.assignCeiling(c)
	c.level, c.ceilingLevel = max(min(c.level, p.Burst), -maxDebt*p.Burst), min(c.ceilingLevel, c.ceilingBurst)
}

// refill brings a copy up to now. Where no peer is heard the design rejects all. The copy keeps its due as if
// all of the customer's gateways were cut off alike: safe, but the last one alive serves a part only.
func (g *Gateway) refill(c *customer) {
	t, part := seconds(g.now-c.refilled), 1.0
	c.refilled = g.now
	fade := math.Exp(-t / seconds(g.peerTimeout))
	if g.now-g.lastGossip > g.peerTimeout {
		part /= float64(max(c.spread, 1))
	} else if g.now-g.lastGossip > g.partitionTimeout { // nobody is heard: peers are taken to admit on as they last did
		take := max(min(c.peerRate*t, c.level+maxDebt*c.plan.Burst), 0)
		c.level, c.presumedUnits, c.peerRate = c.level-take, c.presumedUnits+take, c.peerRate/fade
	}
	c.level = min(c.level+c.plan.Rate*t*part, max(c.plan.Burst*part, min(c.plan.Burst, g.largestRequest)))
	c.ceilingLevel = min(c.ceilingLevel+c.ceilingRate*t, c.ceilingBurst)
	c.peerRate, c.requestedUnits, c.admittedUnits, c.presumedUnits = c.peerRate*fade, c.requestedUnits*fade, c.admittedUnits*fade, c.presumedUnits*fade
	if p := g.plans[c.planIndex]; p != nil && p != c.plan {
		g.changePlan(c, p)
	}
}

// idle tells whether nothing is lost when the customer is forgotten.
func (g *Gateway) forgettable(c *customer) bool {
	g.refill(c)
	return c.inFlight == 0 && g.now-c.lastAdmission > g.peerTimeout &&
		(c.level >= c.plan.Burst || c.plan.Rate == 0) && (c.ceilingLevel >= c.ceilingBurst || c.ceilingRate == 0) &&
		!slices.ContainsFunc(c.subscriptions, func(t subscription) bool { return t.queued })
}

// inCapChance is the chance to keep to the cap: peers have a chance number in flight, by what they admit.
func (c *customer) withinCapProbability(fr *class) float64 {
	if c.plan.MaxInFlight == 0 {
		return 1
	}
	others := c.peerRate / fr.typicalUnits * fr.typicalLatency / float64(second)
	p, term := 0.0, math.Exp(-others)
	for k := range max(c.plan.MaxInFlight-c.inFlight, 0) {
		p += term
		term *= others / float64(k+1)
	}
	return p
}
