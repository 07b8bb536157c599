package logic

import (
	"math"

	"ravensill/gateway"
)

const (
	loadSlack      = 1.2  // times the least load, up to which an endpoint may be chosen
	suspectPenalty = 16.0 // times its load, for an endpoint that is surely suspected
	outsidePenalty = 6.0  // times its load, for an endpoint outside the subset
	busyPenalty    = 4.0  // times its load at most, for an endpoint that reports that it is busy
	stallShare     = 2    // times its fraction of the limit, for what arrived during a stall
)

// choose returns the customer's first endpoint in rank whose load is close enough to the least one. It returns
// nil if there is none, or if the limit on attempts in flight is reached. fraction is the part of the limit
// that is open to the request; last is not chosen.
func (s *endpointSet) choose(c *customer, class *class, now gateway.Time, fraction float64, last *endpoint) *endpoint {
	if s.stallEnd > 0 && now.Sub(s.stallEnd) < s.stallLength { // what arrived meanwhile comes in addition
		fraction *= stallShare
	}
	if !s.limit.Allows(s.inFlight, fraction, s.random.fraction()) {
		return nil
	}
	least := s.weigh(s.nearby, class, now, last)
	if c.acceptableLoad(least) >= outsidePenalty { // an idle endpoint outside the subset has that load
		least = s.weigh(s.all, class, now, last)
	}
	if math.IsInf(least, 1) {
		return nil
	}
	return s.firstInRank(c, c.acceptableLoad(least))
}

// firstInRank returns the customer's first endpoint in rank (rendezvous hashing) among those last weighed with
// at most a load, nil for none.
func (s *endpointSet) firstInRank(c *customer, most float64) *endpoint {
	var first *endpoint
	for _, e := range s.lastWeighed {
		if e.load <= most && (first == nil || e.rank(c) > first.rank(c)) {
			first = e
		}
	}
	return first
}

// rank returns the endpoint's rank for a customer; the highest is the first.
func (e *endpoint) rank(c *customer) uint64 { return mix(uint64(c.hash) ^ e.Hash) }

// acceptableLoad returns the highest load of an endpoint that may be chosen where least is the lowest.
func (c *customer) acceptableLoad(least float64) float64 {
	if c.plan.MaxInFlight > 0 { // the sooner the answer, the sooner another request may start
		return least
	}
	return least * loadSlack
}

// weigh sets the loads of endpoints for a class, infinite for those that may not be sent an attempt now, and
// returns the least.
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

// available reports whether an endpoint may be sent an attempt now.
func (s *endpointSet) available(e *endpoint, now gateway.Time) bool {
	return e.state == gateway.Running && (s.warmUpFraction(e, now) >= 1 || e.allowance >= 1)
}

// expectedLoad returns how long an answer of the endpoint would take, over the typical latency of an idle
// endpoint.
func (e *endpoint) expectedLoad(class *class, now gateway.Time) float64 {
	h := e.healthFor(class)
	// Reports and latencies decay, or an endpoint once found busy would never be tried again.
	age := float64(now.Sub(h.lastAnswer))
	load := 1 + (e.relativeLatency*(1+busyPenalty*e.utilization)-1)*math.Exp(-age/float64(decayTime))
	// A suspected endpoint stays usable: if all are suspected, the cause is shared.
	load *= float64(len(e.inFlight)+1) * (1 + suspectPenalty*h.suspicion(now))
	if !e.InSubset {
		load *= outsidePenalty
	}
	return load
}
