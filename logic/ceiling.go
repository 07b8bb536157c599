package logic

// assignCeiling sets this gateway's fraction of a customer's hard ceiling, none where the customer's requests don't come in here.
func (g *Gateway) assignCeiling(c *customer) {
	count := len(g.peers)
	place := (g.membership.Index - c.firstGateway%count + count) % count
	c.ceilingBurst = c.plan.CeilingBurst / float64(max(c.spread, 1))
	c.ceilingRate = 0
	if place < c.spread {
		c.ceilingRate = c.plan.CeilingRate / float64(c.spread)
	}
}

// startCeiling fills the ceiling of a new record from the start of this gateway on: its former incarnation may have just spent it.
func (g *Gateway) startCeiling(c *customer) {
	c.ceilingLevel = min(c.ceilingBurst, c.ceilingRate*seconds(g.now.Sub(g.start)))
}

// refillCeiling adds what the ceiling is filled by in so many seconds.
func (c *customer) refillCeiling(elapsed float64) {
	c.ceilingLevel = min(c.ceilingLevel+c.ceilingRate*elapsed, c.ceilingBurst)
}
