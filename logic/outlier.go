package logic

import (
	"math"
	"time"

	"ravensill/gateway"
)

const (
	decayTime         = 4 * time.Second // of suspicion and of measured load
	suspicionLimit    = 0.3             // unanswered fraction from which the endpoint is the cause of a timeout
	suspectedFraction = 0.9             // unanswered fraction of an endpoint that fails
	latencyWeight     = 1.0 / 32        // of an answer in an endpoint's relative latency
	typicalWeight     = 1.0 / 64        // of an answer in a class's typical latency
	minLatency        = 0.2             // least relative latency of an endpoint
	maxLatency        = 10              // highest relative latency by rejections
	rejectionFactor   = 1.5             // factor of the relative latency for a rejection
	overdueFactor     = 5               // times the typical latency, from which an attempt is overdue
	noUtilization     = -1.0            // utilization of an answer without a report
)

// suspicion returns the fraction of attempts that the endpoint likely leaves unanswered. It decays, so that the
// endpoint is tried again.
func (h *health) suspicion(now gateway.Time) float64 {
	return h.unansweredFraction * math.Exp(-float64(now.Sub(h.unansweredAt))/float64(decayTime))
}

// markSuspected records that the endpoint fails the class.
func (h *health) markSuspected(now gateway.Time) {
	h.unansweredFraction = suspectedFraction
	h.unansweredAt = now
}

// observeResult updates an endpoint's health by the result of an attempt.
func (s *endpointSet) observeResult(a *attempt, event *gateway.Event, now gateway.Time) {
	result := event.Result
	e := a.host
	class := a.request.class
	h := e.healthFor(class)
	h.unansweredFraction = h.suspicion(now)
	h.unansweredAt = now
	utilization := s.observeReport(e, event.LoadReport)
	sinceStall := a.startedAt >= s.stallEnd // attempts that were in flight during a stall prove nothing
	customerSilent := a.request.customer.unansweredFraction > unansweredLimit
	switch result {
	case gateway.Succeeded:
		class.typicalLatency += (float64(event.Latency) - class.typicalLatency) * typicalWeight
		h.lastGood = now
		h.lastAnswer = now
		h.unansweredFraction /= 2
	case gateway.Busy:
		h.lastAnswer = now
		e.relativeLatency = min(e.relativeLatency*rejectionFactor, maxLatency)
	case gateway.TimedOut, gateway.Canceled:
		if sinceStall && !customerSilent {
			h.unansweredFraction += (1 - h.unansweredFraction) / 4
		}
	case gateway.Errored, gateway.Unreachable, gateway.Disconnected, gateway.Malformed:
		if h.lastFailure >= h.lastGood { // no good answer since
			h.markSuspected(now)
		}
		h.lastFailure = now
	}
	// The customer or the endpoint explains a timeout, not the load.
	explained := customerSilent || h.unansweredFraction >= suspicionLimit
	if sinceStall && (result == gateway.Succeeded || result == gateway.TimedOut && !explained) {
		e.observeLatency(event.Latency, class)
		s.limit.ObserveAnswer(event.Latency, class.LatencyObjective, now, s.inFlight, utilization)
	}
}

// observeReport records an endpoint's load report and returns its utilization.
func (s *endpointSet) observeReport(e *endpoint, report []float64) float64 {
	if s.utilizationField < 0 || s.utilizationField >= len(report) {
		return noUtilization
	}
	utilization := min(report[s.utilizationField], 1)
	e.utilization += (utilization - e.utilization) / 4
	return utilization
}

// observeLatency records the latency of an answer of a class.
func (e *endpoint) observeLatency(latency time.Duration, class *class) {
	relative := float64(latency) / class.typicalLatency
	e.relativeLatency = max(e.relativeLatency+(relative-e.relativeLatency)*latencyWeight, minLatency)
}

// overdue reports whether the endpoint has answered nothing of an attempt's class for much longer than usual.
func (e *endpoint) overdue(a *attempt, now gateway.Time) bool {
	class := a.request.class
	silent := now.Sub(max(a.startedAt, e.healthFor(class).lastAnswer))
	usual := time.Duration(overdueFactor * class.typicalLatency * e.relativeLatency)
	return silent > max(usual, class.LatencyObjective/2)
}

// gossipTag returns the name of the endpoint and a request class in gossip.
func (e *endpoint) gossipTag(class int) uint16 {
	return uint16(e.Hash>>16)*uint16(class) + uint16(e.Hash)
}

// clearSuspicion halves the suspicion of an endpoint and class of which another gateway has good answers.
func (s *endpointSet) clearSuspicion(tag uint16) {
	for _, e := range s.nearby {
		for class := range e.health {
			if e.gossipTag(class) == tag {
				e.health[class].unansweredFraction /= 2
			}
		}
	}
}
