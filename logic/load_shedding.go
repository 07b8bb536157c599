package logic

// baseShare is the fraction of the limit on attempts in flight (package limit) that is open to requests of any value. The rest is
// open in proportion to the value of a request, up to that of the mean one.
const baseShare = 0.6

// meanValueWeight is the weight of a request in the mean value.
const meanValueWeight = 1.0 / 256

// limitShare is the fraction of the limit on attempts in flight that is open to a request, by its value for its time: where there
// is no room for all, requests of low value give way.
func (g *Gateway) limitShare(r *request) float64 {
	value := r.class.Value * r.class.typicalUnits * r.customer.plan.PriorityWeight / r.class.typicalLatency
	g.meanValue += (value - g.meanValue) * meanValueWeight
	return baseShare + (1-baseShare)*min(value/g.meanValue, 1)
}
