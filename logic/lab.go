package logic

// OverrideSubset replaces the subset chosen by package subset until the next endpoint list. It is for simulations
// that compare subsetting rules; nothing calls it in production.
func (g *Gateway) OverrideSubset(inSubset func(host uint32) bool) {
	for _, e := range g.endpoints.all {
		e.InSubset = inSubset(e.number)
	}
	g.endpoints.collectInUse()
}
