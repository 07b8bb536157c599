package logic

// OverrideSubset replaces the subset of package subset by another, until the next list. Simulations compare rules
// with it; nothing calls it in production.
func (g *Gateway) OverrideSubset(inSubset func(host uint32) bool) {
	for _, e := range g.endpoints.all {
		e.InSubset = inSubset(e.id)
	}
	g.endpoints.collectNearby()
}
