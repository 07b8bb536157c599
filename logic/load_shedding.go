package logic

// baseShare is the fraction of the limit on attempts in flight (package concurrency) that is open to requests
// of any value. The rest is open in proportion to a request's value, up to the mean value.
const baseShare = 0.6

// meanValueWeight is the weight of a request in the mean value.
const meanValueWeight = 1.0 / 256

// limitFraction returns the fraction of the limit on attempts in flight that is open to a request, by its value
// for its time: under overload, requests of low value are shed first.
func (g *Gateway) limitFraction(r *request) float64 {
	value := r.class.Value * r.class.typicalUnits * r.customer.plan.PriorityWeight / r.class.typicalLatency
	g.meanValue += (value - g.meanValue) * meanValueWeight
	return baseShare + (1-baseShare)*min(value/g.meanValue, 1)
}
