package logic

import (
	"container/list"
	"slices"

	"ravensill/gateway"
)

// customer is the state of one customer at this gateway: its copy of the customer's token bucket, its part of the
// hard ceiling, and the counters exchanged with peers. Sums that decay do so with the peer timeout.
type customer struct {
	hash          uint32
	plan          *gateway.Plan
	planIndex     int
	spread        int            // number of gateways that the customer's requests arrive at
	firstGateway  int            // member index of the first of them; the others follow cyclically
	subscriptions []subscription // peers that exchange the customer's counters with this gateway
	createdAt     gateway.Time

	refilledAt     gateway.Time // time of the latest refill
	lastAdmission  gateway.Time // latest admission known, here or at a peer
	level          float64      // units in the bucket; a negative level is a debt
	peerRate       float64      // units a second that peers admit, a decaying average
	requestedUnits float64      // requested here, a decaying sum
	admittedUnits  float64      // admitted here, a decaying sum
	presumedUnits  float64      // subtracted for silent peers by subtractPresumed, a decaying sum
	counters       [2]float64   // cumulative units, by ownCounter and rowCounter

	ceilingLevel float64 // units left in this gateway's part of the ceiling; negative: overspent
	ceilingRate  float64 // units a second at this gateway
	ceilingBurst float64 // units at this gateway, at most

	recency *list.Element // in Gateway.recency
	dropped bool          // whether the gateway has no record of the customer any more

	inFlight           int     // attempts of this gateway in flight
	unansweredFraction float64 // moving average of the fraction of attempts that time out
}

// The indices of customer.counters. The counters are sent to peers as gossip. In a grid of members (see
// buildTopology), peers in the same row receive ownCounter, and peers in other rows receive rowCounter.
const (
	ownCounter = 0 // units admitted at this gateway
	rowCounter = 1 // units admitted in this gateway's row, itself included
)

// customerFor returns the record of a customer. It creates one with a full copy of the token bucket if there is
// none, and returns nil if there is no space for one more.
func (g *Gateway) customerFor(hash uint32, plan, spread, firstGateway int) *customer {
	if c := g.customers[hash]; c != nil {
		g.recency.MoveToBack(c.recency)
		return c
	}
	if !g.makeSpaceForCustomer() {
		return nil
	}
	c := &customer{
		hash:          hash,
		plan:          g.plans[plan],
		planIndex:     plan,
		spread:        spread,
		firstGateway:  firstGateway,
		createdAt:     g.now,
		refilledAt:    g.now,
		lastAdmission: g.now,
		level:         g.plans[plan].Burst,
	}
	g.subscribe(c)
	g.setCeilingShare(c)
	g.initCeilingLevel(c)
	g.customers[hash] = c
	c.recency = g.recency.PushBack(c)
	return c
}

// changePlan moves a customer to another plan, or to a new version of its plan. The change adds no units and takes
// effect at once. Under a plan with another ID the counters restart from zero, because peers would charge units of
// the former plan to the new one.
func (g *Gateway) changePlan(c *customer, plan *gateway.Plan) {
	if plan.ID != c.plan.ID {
		c.counters = [2]float64{}
		for i := range c.subscriptions {
			c.subscriptions[i].sentTotal = 0
			c.subscriptions[i].lastReceived = 0
		}
	}
	c.plan = plan
	g.setCeilingShare(c)
	c.level = max(min(c.level, plan.Burst), -maxDebtBursts*plan.Burst)
	c.ceilingLevel = min(c.ceilingLevel, c.ceilingBurst)
}

// evict reports whether the record of a customer can be dropped without loss, and ends its place in the order of use
// then.
func (g *Gateway) evict(c *customer) bool {
	if !g.evictable(c) {
		return false
	}
	g.recency.Remove(c.recency)
	return true
}

// evictable reports whether the record of a customer can be dropped without loss: neither the bucket nor the
// ceiling lacks units, nothing is in flight or queued for a peer, and the latest admission is older than the peer
// timeout.
func (g *Gateway) evictable(c *customer) bool {
	g.refill(c)
	if c.inFlight > 0 || g.now.Sub(c.lastAdmission) <= g.peerTimeout {
		return false
	}
	bucketFull := c.level >= c.plan.Burst || c.plan.Rate == 0
	ceilingFull := c.ceilingLevel >= c.ceilingBurst || c.ceilingRate == 0
	queued := slices.ContainsFunc(c.subscriptions, func(s subscription) bool { return s.queued })
	return bucketFull && ceilingFull && !queued
}
