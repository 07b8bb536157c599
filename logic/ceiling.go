package logic

// assignCeiling sets this gateway's fraction of a customer's hard ceiling: 0 if the customer's requests do not
// arrive here.
func (g *Gateway) assignCeiling(c *customer) {
	count := len(g.peers)
	place := (g.membership.Index - c.firstGateway%count + count) % count
	c.ceilingBurst = c.plan.CeilingBurst / float64(max(c.spread, 1))
	c.ceilingRate = 0
	if place < c.spread {
		c.ceilingRate = c.plan.CeilingRate / float64(c.spread)
	}
}

// startCeiling fills the ceiling of a new record as from the start of this process: the process before may have
// just spent it.
func (g *Gateway) startCeiling(c *customer) {
	c.ceilingLevel = min(c.ceilingBurst, c.ceilingRate*seconds(g.now.Sub(g.start)))
}

// refillCeiling adds what the ceiling gains in a time in seconds.
func (c *customer) refillCeiling(elapsed float64) {
	c.ceilingLevel = min(c.ceilingLevel+c.ceilingRate*elapsed, c.ceilingBurst)
}
