package logic

// baseLimitFraction is the fraction of the limit on attempts in flight (package concurrency) that is open to all
// requests. The rest is open in proportion to a request's value, up to the mean value.
const baseLimitFraction = 0.6

// meanValueWeight is the weight of one request in the moving average of values.
const meanValueWeight = 1.0 / 256

// limitFraction returns the fraction of the limit on attempts in flight that is open to a request, by its value per
// unit of typical latency. Under overload, requests of low value are rejected first. It also updates the mean
// value.
func (g *Gateway) limitFraction(r *request) float64 {
	value := r.class.Value * r.class.typicalUnits * r.customer.plan.PriorityWeight / r.class.typicalLatency
	g.meanValue += (value - g.meanValue) * meanValueWeight
	return baseLimitFraction + (1-baseLimitFraction)*min(value/g.meanValue, 1)
}
