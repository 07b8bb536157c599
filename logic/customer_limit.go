package logic

const (
	// maxDropCandidates is the number of customers, the longest unused first, of which one is dropped for a new one.
	maxDropCandidates = 8
	// droppedFraction of the customers may be dropped before the queues for peers are cleared of them.
	droppedFraction = 0.125
)

// LimitCustomers sets the largest number of customers with a record. It must be called before the first batch; without
// it there is no limit. Clients can name ever new customers, each of which would take memory until its copy is full
// again.
func (g *Gateway) LimitCustomers(most int) { g.maxCustomers = most }

// makeSpaceForCustomer reports whether there is space for a record of one more customer. At the limit it drops one that
// was not used for the longest time and may be dropped. What that one has spent at this gateway is forgotten: its next
// request finds a full copy. If none may be dropped, requests of new customers are rejected until the timer has dropped
// records without loss.
func (g *Gateway) makeSpaceForCustomer() bool {
	if g.maxCustomers == 0 || len(g.customers) < g.maxCustomers {
		return true
	}
	element := g.recency.Front()
	for range maxDropCandidates {
		if element == nil {
			return false
		}
		c := element.Value.(*customer)
		if c.droppable() {
			g.dropCustomer(c)
			return true
		}
		element = element.Next()
	}
	return false
}

// rejectNewCustomer rejects a request of a customer for whose record there is no space.
func (g *Gateway) rejectNewCustomer(requestID string) {
	g.rejected[TooManyCustomers]++
	g.actions.Reject(requestID, g.retryAdvice(evictionInterval))
}

// droppable reports whether the record of a customer may be dropped although its copy may lack units. One with a hard
// ceiling may not: the ceiling would be exceeded.
func (c *customer) droppable() bool { return c.inFlight == 0 && c.plan.CeilingRate == 0 }

// dropCustomer drops the record of a customer. Its counters stay in the queues for peers and are skipped there, until
// so many were dropped that the queues are cleared of them.
func (g *Gateway) dropCustomer(c *customer) {
	delete(g.customers, c.hash)
	g.recency.Remove(c.recency)
	c.dropped = true
	g.droppedCustomers++
	if float64(g.droppedCustomers) < droppedFraction*float64(g.maxCustomers) {
		return
	}
	g.droppedCustomers = 0
	for _, p := range g.neighbors {
		p.queue.removeDropped()
	}
}
