package logic

import (
	"math"
	"time"

	"ravensill/gateway"
)

const (
	decayTime             = 4 * time.Second // time constant by which suspicion and measured load decay
	suspicionLimit        = 0.3             // unanswered fraction from which a timeout is blamed on the endpoint
	suspectedFraction     = 0.9             // unanswered fraction that markSuspected sets
	relativeLatencyWeight = 1.0 / 32        // weight of an answer in an endpoint's relative latency
	typicalLatencyWeight  = 1.0 / 64        // weight of an answer in a class's typical latency
	minRelativeLatency    = 0.2             // least relative latency of an endpoint
	maxRelativeLatency    = 10              // highest relative latency that busy answers raise it to
	rejectionFactor       = 1.5             // factor of the relative latency for a busy answer
	overdueFactor         = 5               // multiple of the usual latency beyond which an attempt is overdue
	noUtilization         = -1.0            // utilization if an answer has no report
)

// suspicion returns the fraction of attempts that the endpoint is expected to leave unanswered. It decays, so that
// the endpoint is tried again.
func (h *health) suspicion(now gateway.Time) float64 {
	return h.unansweredFraction * math.Exp(-float64(now.Sub(h.fractionUpdatedAt))/float64(decayTime))
}

// markSuspected records that the endpoint fails the class, at once rather than by a moving average.
func (h *health) markSuspected(now gateway.Time) {
	h.unansweredFraction = suspectedFraction
	h.fractionUpdatedAt = now
}

// observeResult updates the health and the load of an attempt's endpoint, the typical latency of the class and the
// limit on attempts in flight by the result of the attempt.
func (s *endpointSet) observeResult(a *attempt, event *gateway.Event, now gateway.Time) {
	result := event.Result
	e := a.endpoint
	class := a.request.class
	h := e.healthFor(class)
	h.unansweredFraction = h.suspicion(now)
	h.fractionUpdatedAt = now
	utilization := s.observeReport(e, event.LoadReport)
	startedAfterStall := a.startedAt >= s.stallEnd // a stall delays answers of earlier attempts
	customerUnanswered := a.request.customer.unansweredFraction > unansweredLimit
	switch result {
	case gateway.Succeeded:
		class.typicalLatency += (float64(event.Latency) - class.typicalLatency) * typicalLatencyWeight
		h.lastSuccess = now
		h.lastAnswer = now
		h.unansweredFraction /= 2
	case gateway.Busy:
		h.lastAnswer = now
		e.relativeLatency = min(e.relativeLatency*rejectionFactor, maxRelativeLatency)
	case gateway.TimedOut, gateway.Canceled:
		if startedAfterStall && !customerUnanswered {
			h.unansweredFraction += (1 - h.unansweredFraction) / 4
		}
	case gateway.Errored, gateway.Unreachable, gateway.Disconnected, gateway.Malformed:
		if h.lastFailure >= h.lastSuccess { // no success since the previous failure
			h.markSuspected(now)
		}
		h.lastFailure = now
	}
	// A timeout that the customer or the endpoint explains is no sign of overload.
	explained := customerUnanswered || h.unansweredFraction >= suspicionLimit
	if startedAfterStall && (result == gateway.Succeeded || result == gateway.TimedOut && !explained) {
		e.observeLatency(event.Latency, class)
		s.limit.ObserveAnswer(event.Latency, class.LatencyObjective, now, s.inFlight, utilization)
	}
}

// observeReport records the utilization in an endpoint's load report and returns it, at most 1. It returns
// noUtilization if the report has none.
func (s *endpointSet) observeReport(e *endpoint, report []float64) float64 {
	if s.utilizationField < 0 || s.utilizationField >= len(report) {
		return noUtilization
	}
	utilization := min(report[s.utilizationField], 1)
	e.utilization += (utilization - e.utilization) / 4
	return utilization
}

// observeLatency updates the endpoint's relative latency by an answer of a class.
func (e *endpoint) observeLatency(latency time.Duration, class *class) {
	relative := float64(latency) / class.typicalLatency
	e.relativeLatency = max(e.relativeLatency+(relative-e.relativeLatency)*relativeLatencyWeight, minRelativeLatency)
}

// overdue reports whether the endpoint has not answered the attempt, nor any later one of its class, for much
// longer than usual and for over half of the latency objective.
func (e *endpoint) overdue(a *attempt, now gateway.Time) bool {
	class := a.request.class
	silence := now.Sub(max(a.startedAt, e.healthFor(class).lastAnswer))
	usual := time.Duration(overdueFactor * class.typicalLatency * e.relativeLatency)
	return silence > max(usual, class.LatencyObjective/2)
}

// gossipTag returns the tag that gossip uses for the endpoint and a request class. Tags are hashes of 16 bits;
// different pairs may share one.
func (e *endpoint) gossipTag(class int) uint16 {
	return uint16(e.Hash>>16)*uint16(class) + uint16(e.Hash)
}

// reduceSuspicion halves the unanswered fraction of the endpoint and class that a tag names, because another
// gateway had a success there lately.
func (s *endpointSet) reduceSuspicion(tag uint16) {
	for _, e := range s.inUse {
		for class := range e.health {
			if e.gossipTag(class) == tag {
				e.health[class].unansweredFraction /= 2
			}
		}
	}
}
