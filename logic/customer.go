package logic

import (
	"slices"

	"ravensill/gateway"
)

// customer is this gateway's copy of a customer's token bucket, with what its peers have sent of it.
type customer struct {
	hash          uint32
	plan          *gateway.Plan
	planIndex     int
	spread        int            // gateways that the customer's requests arrive at,
	firstGateway  int            // from this member index on, cyclically
	subscriptions []subscription // peers that send its counters or are sent them
	created       gateway.Time

	refilled       gateway.Time // latest refill
	lastAdmission  gateway.Time // here or at a peer
	level          float64      // units in the bucket; negative: debt
	peerRate       float64      // units a second that the peers admit
	requestedUnits float64      // decaying sum
	admittedUnits  float64      // decaying sum
	presumedUnits  float64      // decaying sum of units subtracted without messages of the peers
	counters       [2]float64

	ceilingLevel float64 // units in this gateway's fraction of the ceiling
	ceilingRate  float64 // units a second
	ceilingBurst float64 // most units

	inFlight           int     // attempts from here
	unansweredFraction float64 // moving average over its requests
}

// The cumulative counters of a customer, in units, as they are gossiped.
const (
	ownCounter = 0 // admitted here
	rowCounter = 1 // admitted here and by the others of this gateway's row
)

// customerFor returns a customer's record, a new one with a full copy if there is none.
func (g *Gateway) customerFor(hash uint32, plan, spread, firstGateway int) *customer {
	if c := g.customers[hash]; c != nil {
		return c
	}
	c := &customer{
		hash:          hash,
		plan:          g.plans[plan],
		planIndex:     plan,
		spread:        spread,
		firstGateway:  firstGateway,
		created:       g.now,
		refilled:      g.now,
		lastAdmission: g.now,
		level:         g.plans[plan].Burst,
	}
	g.subscribe(c)
	g.assignCeiling(c)
	g.startCeiling(c)
	g.customers[hash] = c
	return c
}

// changePlan applies another plan to a customer, or a new version of its plan. The change adds no units and
// takes effect at once. Counters belong to one plan: with another ID they start again from zero, or peers would
// charge units of the former plan to this one.
func (g *Gateway) changePlan(c *customer, plan *gateway.Plan) {
	if plan.ID != c.plan.ID {
		c.counters = [2]float64{}
		for i := range c.subscriptions {
			c.subscriptions[i].sentTotal = 0
			c.subscriptions[i].lastReceived = 0
		}
	}
	c.plan = plan
	g.assignCeiling(c)
	c.level = max(min(c.level, plan.Burst), -maxDebt*plan.Burst)
	c.ceilingLevel = min(c.ceilingLevel, c.ceilingBurst)
}

// forgettable reports whether a customer's record can be dropped without loss.
func (g *Gateway) forgettable(c *customer) bool {
	g.refill(c)
	if c.inFlight > 0 || g.now.Sub(c.lastAdmission) <= g.peerTimeout {
		return false
	}
	bucketFull := c.level >= c.plan.Burst || c.plan.Rate == 0
	ceilingFull := c.ceilingLevel >= c.ceilingBurst || c.ceilingRate == 0
	queued := slices.ContainsFunc(c.subscriptions, func(s subscription) bool { return s.queued })
	return bucketFull && ceilingFull && !queued
}
