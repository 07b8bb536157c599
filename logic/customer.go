package logic

import (
	"slices"

	"ravensill/gateway"
)

// customer is this gateway's copy of a customer's token bucket, with what its peers sent of it.
type customer struct {
	hash          uint32
	plan          *gateway.Plan
	planIndex     int
	spread        int            // gateways that the customer's requests come in at,
	firstGateway  int            // from this member index on, cyclically
	subscriptions []subscription // the peers that send or are sent its counters
	created       gateway.Time

	refilled       gateway.Time // the last time
	lastAdmission  gateway.Time // here or at a peer
	level          float64      // units in the bucket; below 0 it owes
	peerRate       float64      // units a second that the peers admit
	requestedUnits float64      // lately
	admittedUnits  float64      // lately
	presumedUnits  float64      // taken for peers that were not heard
	counters       [2]float64

	ceilingLevel float64 // units in this gateway's fraction of the ceiling
	ceilingRate  float64 // units a second that it is filled by
	ceilingBurst float64 // units that it holds at most

	inFlight           int     // attempts from here
	unansweredFraction float64 // of its requests, lately
}

// The cumulative counters of a customer, in units, as they are gossiped.
const (
	ownCounter = 0 // admitted here
	rowCounter = 1 // admitted here and by the others of this gateway's row
)

// customerFor finds a customer, or starts one with a full copy.
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

// changePlan puts a customer under another plan, or a new version of its own. It gives no units, and binds at once. Counters are of
// one plan: under another they begin anew, or peers would charge that for this one.
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

// forgettable reports whether nothing is lost when the customer is forgotten.
func (g *Gateway) forgettable(c *customer) bool {
	g.refill(c)
	if c.inFlight > 0 || g.now.Sub(c.lastAdmission) <= g.peerTimeout {
		return false
	}
	bucketFull := c.level >= c.plan.Burst || c.plan.Rate == 0
	ceilingFull := c.ceilingLevel >= c.ceilingBurst || c.ceilingRate == 0
	return bucketFull && ceilingFull && !slices.ContainsFunc(c.subscriptions, func(s subscription) bool { return s.queued })
}
