package logic

import (
	"math"

	"ravensill/gateway"
)

const (
	loadSlack      = 1.2  // times the least load: an endpoint up to that will do
	suspectPenalty = 16.0 // times its load, for an endpoint that is surely suspected
	outsidePenalty = 6.0  // times its load, for an endpoint outside the subset: for much traffic
	busyPenalty    = 4.0  // times its load at most, for an endpoint that reports that it is busy
	stallShare     = 2    // times its share of the limit, for what came in while the gateway stood still
)

// choose returns the customer's first endpoint in rank that has no more than a little above the least load, nil if there is none or
// the limit on attempts in flight is reached. share is the fraction of the limit that is open to the request; last is not chosen.
func (s *endpointSet) choose(c *customer, class *class, now gateway.Time, share float64, last *endpoint) *endpoint {
	if s.stallEnd > 0 && now.Sub(s.stallEnd) < s.stallLength { // what came in meanwhile comes on top
		share *= stallShare
	}
	if !s.limit.Allows(s.inFlight, share, s.random.fraction()) {
		return nil
	}
	least := s.weigh(s.nearby, class, now, last)
	if c.acceptableLoad(least) >= outsidePenalty { // any other endpoint is idle, of that load
		least = s.weigh(s.all, class, now, last)
	}
	if math.IsInf(least, 1) {
		return nil
	}
	return s.firstInRank(c, c.acceptableLoad(least))
}

// firstInRank returns the customer's first endpoint in rank (rendezvous hashing) of those last weighed that have no more than a
// load, nil for none.
func (s *endpointSet) firstInRank(c *customer, most float64) *endpoint {
	var first *endpoint
	for _, e := range s.lastWeighed {
		if e.load <= most && (first == nil || e.rank(c) > first.rank(c)) {
			first = e
		}
	}
	return first
}

// rank is the endpoint's place for a customer: the highest goes first.
func (e *endpoint) rank(c *customer) uint64 { return mix(uint64(c.hash) ^ e.Hash) }

// acceptableLoad is the load up to which an endpoint will do, where the least is that.
func (c *customer) acceptableLoad(least float64) float64 {
	if c.plan.MaxInFlight > 0 { // the sooner it is answered, the sooner its place is free
		return least
	}
	return least * loadSlack
}

// weigh sets the loads of endpoints for a class, infinite for one that may get nothing now, and returns the least.
func (s *endpointSet) weigh(endpoints []*endpoint, class *class, now gateway.Time, last *endpoint) float64 {
	least := math.Inf(1)
	s.lastWeighed = endpoints
	for _, e := range endpoints {
		e.load = math.Inf(1)
		if e != last && s.available(e, now) {
			e.load = e.expectedLoad(class, now)
		}
		least = min(least, e.load)
	}
	return least
}

// available reports whether an endpoint may get an attempt now.
func (s *endpointSet) available(e *endpoint, now gateway.Time) bool {
	return e.state == gateway.Running && (s.warmUpFraction(e, now) >= 1 || e.allowance >= 1)
}

// expectedLoad is how long an answer of the endpoint would take, against a typical one of an idle endpoint.
func (e *endpoint) expectedLoad(class *class, now gateway.Time) float64 {
	h := e.healthFor(class)
	// What it reported and how it answered wears off, or an endpoint once thought busy would never be asked again.
	age := float64(now.Sub(h.lastAnswer))
	load := 1 + (e.relativeLatency*(1+busyPenalty*e.utilization)-1)*math.Exp(-age/float64(decayTime))
	// Still of use: where all are suspected the cause is shared; the others of the subset go first.
	load *= float64(len(e.inFlight)+1) * (1 + suspectPenalty*h.suspicion(now))
	if !e.InSubset {
		load *= outsidePenalty
	}
	return load
}
