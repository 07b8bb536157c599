package logic

// setCeilingShare sets this gateway's part of the customer's hard ceiling: its rate and burst divided evenly among
// the gateways that the customer's requests arrive at. The rate is 0 if this gateway is not one of them.
func (g *Gateway) setCeilingShare(c *customer) {
	count := len(g.peers)
	offset := (g.membership.Index - c.firstGateway%count + count) % count
	c.ceilingBurst = c.plan.CeilingBurst / float64(max(c.spread, 1))
	c.ceilingRate = 0
	if offset < c.spread {
		c.ceilingRate = c.plan.CeilingRate / float64(c.spread)
	}
}

// initCeilingLevel sets the level of the ceiling in a new customer record to what has been refilled since this
// process started. It doesn't start full, because a previous process of this gateway may just have spent the
// ceiling.
func (g *Gateway) initCeilingLevel(c *customer) {
	c.ceilingLevel = min(c.ceilingBurst, c.ceilingRate*seconds(g.now.Sub(g.start)))
}

// refillCeiling refills the ceiling for an elapsed time in seconds, up to its burst.
func (c *customer) refillCeiling(elapsed float64) {
	c.ceilingLevel = min(c.ceilingLevel+c.ceilingRate*elapsed, c.ceilingBurst)
}
