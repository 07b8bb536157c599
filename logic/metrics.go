package logic

import "ravensill/gateway"

// Gauges is a snapshot of a gateway's state, for metrics and simulations.
type Gauges struct {
	InFlightLimit float64          // limit on this gateway's attempts in flight
	Lateness      float64          // mean fraction of the latency objective that answers take
	InFlight      int              // attempts in flight
	Customers     int              // customers with a record
	OpenRequests  int              // requests without a final answer, or with an attempt in flight
	Admitted      int              // requests sent to an endpoint since the start
	Rejected      [ReasonCount]int // requests rejected since the start, by Reason
}

// Gauges returns the state after the latest batch.
func (g *Gateway) Gauges() Gauges {
	return Gauges{
		InFlightLimit: g.endpoints.limit.Limit(),
		Lateness:      g.endpoints.limit.Lateness(),
		InFlight:      g.endpoints.inFlight,
		Customers:     len(g.customers),
		OpenRequests:  len(g.requests),
		Admitted:      g.admitted,
		Rejected:      g.rejected,
	}
}

// CustomerCount returns the number of records of customers.
func (g *Gateway) CustomerCount() int { return len(g.customers) }

// CustomerBucket returns the level of this gateway's copy of a customer's token bucket, in units, as of its latest
// refill, and the units a second that peers admit. known is false if this gateway has no record of the customer.
func (g *Gateway) CustomerBucket(customer string) (level, peerRate float64, known bool) {
	c := g.customers[hashText(customer)]
	if c == nil {
		return 0, 0, false
	}
	return c.level, c.peerRate, true
}

// DecisionCounts returns the numbers of decisions since the start: requests admitted, then rejections by reason.
// Where gossip names plans by ID, the dropped counters of peers follow.
func (g *Gateway) DecisionCounts() []gateway.DecisionCount {
	counts := []gateway.DecisionCount{{Outcome: "admitted", Count: g.admitted}}
	for reason, count := range g.rejected {
		counts = append(counts, gateway.DecisionCount{Outcome: Reason(reason).String(), Count: count})
	}
	if g.gossipFormat.PlansByID {
		counts = append(counts, gateway.DecisionCount{Outcome: "counters_unmatched", Count: g.unmatchedCounters})
	}
	return counts
}
