package logic

import "math"

// maxDebtBursts is the largest debt of a copy, in bursts of its plan.
const maxDebtBursts = 1.0

// refill refills this gateway's copy of a bucket up to the present, decays the sums, and moves the customer to a
// new version of its plan. A copy without messages of any peer for the peer timeout does not reject everything: it
// is limited to this gateway's fraction of the rate and of the burst, but at least the largest request, as if the
// customer's gateways were all partitioned from each other. The sum over all gateways keeps to the quota, but a
// gateway that is the only one left serves just its fraction. In a suspected partition, before the peer timeout,
// peers are assumed to go on admitting.
func (g *Gateway) refill(c *customer) {
	elapsed := seconds(g.now.Sub(c.refilledAt))
	c.refilledAt = g.now
	decay := math.Exp(-elapsed / seconds(g.peerTimeout))
	fraction := 1.0
	silence := g.now.Sub(g.lastGossip)
	if silence > g.peerTimeout {
		fraction /= float64(max(c.spread, 1))
	} else if silence > g.partitionTimeout {
		c.subtractPresumed(elapsed, decay)
	}
	maxLevel := max(c.plan.Burst*fraction, min(c.plan.Burst, g.largestRequest))
	c.level = min(c.level+c.plan.Rate*elapsed*fraction, maxLevel)
	c.refillCeiling(elapsed)
	c.peerRate *= decay
	c.requestedUnits *= decay
	c.admittedUnits *= decay
	c.presumedUnits *= decay
	if plan := g.plans[c.planIndex]; plan != nil && plan != c.plan {
		g.changePlan(c, plan)
	}
}

// subtractPresumed subtracts the units that peers admit if they go on at their latest rate: peers without messages
// may still be running. It undoes the decay of that rate.
func (c *customer) subtractPresumed(elapsed, decay float64) {
	taken := max(min(c.peerRate*elapsed, c.level+maxDebtBursts*c.plan.Burst), 0)
	c.level -= taken
	c.presumedUnits += taken
	c.peerRate /= decay
}

// spend takes an admitted request's units from the copy and from this gateway's part of the ceiling, and queues the
// counters for gossip. From the quota it takes the units times withinCap, the probability that the request is
// within the cap on requests in flight.
func (g *Gateway) spend(c *customer, units, withinCap float64) {
	taken := units * withinCap
	if c.plan.Rate > 0 {
		c.level -= taken
	}
	c.ceilingLevel -= units
	c.counters[ownCounter] += taken
	c.counters[rowCounter] += taken
	c.admittedUnits += units
	c.lastAdmission = g.now
	c.queueCounters(true, nil)
}

// subtractPeerUnits subtracts units that a peer admitted from the copy, down to the largest debt. Units that
// subtractPresumed already took are not taken twice.
func (g *Gateway) subtractPeerUnits(c *customer, units float64) {
	alreadySubtracted := min(units, c.presumedUnits)
	c.presumedUnits -= alreadySubtracted
	c.level = max(c.level-units+alreadySubtracted, min(c.level, -maxDebtBursts*c.plan.Burst))
	c.peerRate += units / seconds(g.peerTimeout)
}
