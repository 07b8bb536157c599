package logic

import (
	"math"

	"ravensill/gateway"
)

const (
	loadTolerance    = 1.2  // multiple of the least load up to which an endpoint may be chosen
	suspectPenalty   = 16.0 // added multiple of the load of an endpoint at a suspicion of 1
	outsidePenalty   = 6.0  // factor of the load of an endpoint outside the subset
	busyPenalty      = 4.0  // added multiple of the relative latency at a reported utilization of 1
	stallLimitFactor = 2    // factor of the limit on attempts in flight after a stall
)

// choose returns the endpoint for an attempt: the highest ranked one for the customer among those whose load is
// close to the least load. It returns nil if no endpoint is available or the limit on attempts in flight is
// reached. fraction is the part of the limit that is open to the request. exclude is not chosen; it may be nil.
func (s *endpointSet) choose(c *customer, class *class, now gateway.Time, fraction float64,
	exclude *endpoint) *endpoint {
	// Requests that queued during a stall come in addition to the usual ones.
	if s.stallEnd > 0 && now.Sub(s.stallEnd) < s.stallLength {
		fraction *= stallLimitFactor
	}
	if !s.limit.Allows(s.inFlight, fraction, s.random.fraction()) {
		return nil
	}
	leastLoad := s.computeLoads(s.inUse, class, now, exclude)
	if c.maxAcceptableLoad(leastLoad) >= outsidePenalty { // load of an idle endpoint outside the subset
		leastLoad = s.computeLoads(s.all, class, now, exclude)
	}
	if math.IsInf(leastLoad, 1) {
		return nil
	}
	return s.highestRanked(c, c.maxAcceptableLoad(leastLoad))
}

// highestRanked returns the endpoint with the highest rank for the customer (rendezvous hashing) among the
// candidates with a load of at most maxLoad, or nil if there is none.
func (s *endpointSet) highestRanked(c *customer, maxLoad float64) *endpoint {
	var highest *endpoint
	for _, e := range s.candidates {
		if e.load <= maxLoad && (highest == nil || e.rank(c) > highest.rank(c)) {
			highest = e
		}
	}
	return highest
}

// rank returns the endpoint's rank for a customer, a hash of both. The highest rank is preferred.
func (e *endpoint) rank(c *customer) uint64 { return mix(uint64(c.hash) ^ e.Hash) }

// maxAcceptableLoad returns the load up to which an endpoint may be chosen, given the least load of all.
func (c *customer) maxAcceptableLoad(leastLoad float64) float64 {
	if c.plan.MaxInFlight > 0 { // an early answer lets the next request start early
		return leastLoad
	}
	return leastLoad * loadTolerance
}

// computeLoads sets the load of each endpoint for a class and returns the least one. The load is infinite for
// endpoints that may not be sent an attempt now and for exclude.
func (s *endpointSet) computeLoads(endpoints []*endpoint, class *class, now gateway.Time, exclude *endpoint) float64 {
	leastLoad := math.Inf(1)
	s.candidates = endpoints
	for _, e := range endpoints {
		e.load = math.Inf(1)
		if e != exclude && s.available(e, now) {
			e.load = e.expectedLoad(class, now)
		}
		leastLoad = min(leastLoad, e.load)
	}
	return leastLoad
}

// available reports whether an endpoint is running and may be sent an attempt now, also under slow start.
func (s *endpointSet) available(e *endpoint, now gateway.Time) bool {
	return e.state == gateway.Running && (s.warmUpFraction(e, now) >= 1 || e.allowance >= 1)
}

// expectedLoad returns the expected latency of the next answer, relative to the typical latency of an idle
// endpoint: it grows with measured latency, utilization, attempts in flight and suspicion.
func (e *endpoint) expectedLoad(class *class, now gateway.Time) float64 {
	h := e.healthFor(class)
	// Measurements decay with age, or an endpoint that was busy once would never be tried again.
	age := float64(now.Sub(h.lastAnswer))
	load := 1 + (e.relativeLatency*(1+busyPenalty*e.utilization)-1)*math.Exp(-age/float64(decayTime))
	// A suspected endpoint stays available: if all are suspected, they have a common cause, and requests must still
	// go somewhere.
	load *= float64(len(e.inFlight)+1) * (1 + suspectPenalty*h.suspicion(now))
	if !e.InSubset {
		load *= outsidePenalty
	}
	return load
}
