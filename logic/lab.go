package logic

// HoldSubset has the gateway hold other endpoints than package spread says, until the next list. It is the
// laboratory's, to compare rules in one run; nothing calls it in production.
func (g *Gateway) HoldSubset(held func(host uint32) bool) {
	for _, h := range g.endpoints.all {
		h.InSubset = held(h.id)
	}
	g.endpoints.collectNearby()
}
