package logic

import "ravensill/gateway"

// Gauges are figures of what the gateway holds, for metrics and the laboratory; nothing is decided by them.
type Gauges struct {
	InFlightLimit float64 // on attempts in flight from here
	Lateness      float64 // mean fraction of the latency objective that answers take
	InFlight      int
	Customers     int
	OpenRequests  int
	Admitted      int              // requests sent to an endpoint, since the start
	Rejected      [ReasonCount]int // requests rejected, since the start
}

// Gauges returns the present figures.
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

// CustomerBucket returns the level of this gateway's copy of a customer's bucket, in units, as of its latest refill, and
// the units a second that its peers admit. known is false if there is no record of the customer.
func (g *Gateway) CustomerBucket(customer string) (level, peerRate float64, known bool) {
	c := g.customers[hashText(customer)]
	if c == nil {
		return 0, 0, false
	}
	return c.level, c.peerRate, true
}

// DecisionCounts returns the decisions since the start: the requests sent on, then the rejections by reason.
func (g *Gateway) DecisionCounts() []gateway.DecisionCount {
	counts := []gateway.DecisionCount{{Outcome: "admitted", Count: g.admitted}}
	for reason, count := range g.rejected {
		counts = append(counts, gateway.DecisionCount{Outcome: Reason(reason).String(), Count: count})
	}
	if g.format.PlansByID {
		counts = append(counts, gateway.DecisionCount{Outcome: "counters_unmatched", Count: g.unmatchedCounters})
	}
	return counts
}
