package logic

import "math"

// maxDebt is the most units that a copy may owe, in bursts of its plan.
const maxDebt = 1.0

// refill brings a copy up to the present. Without messages of any peer, the design rejects everything. The copy
// is refilled at this gateway's fraction of the rate instead, as if all of the customer's gateways were
// partitioned from each other: that is safe, but a gateway that is the only one left serves just that fraction.
func (g *Gateway) refill(c *customer) {
	elapsed := seconds(g.now.Sub(c.refilled))
	c.refilled = g.now
	decay := math.Exp(-elapsed / seconds(g.peerTimeout))
	fraction := 1.0
	silence := g.now.Sub(g.lastGossip)
	if silence > g.peerTimeout {
		fraction /= float64(max(c.spread, 1))
	} else if silence > g.partitionTimeout {
		c.presumePeers(elapsed, decay)
	}
	most := max(c.plan.Burst*fraction, min(c.plan.Burst, g.largestRequest))
	c.level = min(c.level+c.plan.Rate*elapsed*fraction, most)
	c.refillCeiling(elapsed)
	c.peerRate *= decay
	c.requestedUnits *= decay
	c.admittedUnits *= decay
	c.presumedUnits *= decay
	if plan := g.plans[c.planIndex]; plan != nil && plan != c.plan {
		g.changePlan(c, plan)
	}
}

// presumePeers subtracts what peers admit if they go on at their latest rate: without messages they may be
// running all the same.
func (c *customer) presumePeers(elapsed, decay float64) {
	taken := max(min(c.peerRate*elapsed, c.level+maxDebt*c.plan.Burst), 0)
	c.level -= taken
	c.presumedUnits += taken
	c.peerRate /= decay
}

// spend takes an admitted request's units from the copy and from this gateway's fraction of the ceiling, and
// queues the counters for gossip. The part that exceeds the cap on requests in flight, by its probability,
// takes nothing from the quota.
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

// subtract takes what a peer admitted off the copy, down to the bounded debt. Units that were presumed of peers
// are not taken twice.
func (g *Gateway) subtract(c *customer, units float64) {
	known := min(units, c.presumedUnits)
	c.presumedUnits -= known
	c.level = max(c.level-units+known, min(c.level, -maxDebt*c.plan.Burst))
	c.peerRate += units / seconds(g.peerTimeout)
}
