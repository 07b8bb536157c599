package logic

import (
	"math"
	"time"

	"ravensill/gateway"
)

const (
	decayTime         = 4 * time.Second // in which what is known against an endpoint wears off
	suspicionLimit    = 0.3             // fraction unanswered from which an endpoint's silence is its own
	suspectedFraction = 0.9             // fraction that counts as unanswered of an endpoint that fails
	latencyWeight     = 1.0 / 32        // of an answer in an endpoint's relative latency
	typicalWeight     = 1.0 / 64        // of an answer in a class's typical latency
	minLatency        = 0.2             // least relative latency of an endpoint
	maxLatency        = 10              // most that rejections bring it to
	rejectionFactor   = 1.5             // of a rejection, in the relative latency
	overdueFactor     = 5               // times the typical latency: an attempt takes much longer than usual
	noUtilization     = -1.0            // the answer reports none
)

// suspicion is the fraction that likely goes unanswered; it wears off, so that the endpoint is tried again.
func (h *health) suspicion(now gateway.Time) float64 {
	return h.unansweredFraction * math.Exp(-float64(now.Sub(h.unansweredAt))/float64(decayTime))
}

// markSuspected takes the endpoint for one that fails the class.
func (h *health) markSuspected(now gateway.Time) {
	h.unansweredFraction = suspectedFraction
	h.unansweredAt = now
}

// observeResult takes in what an ended attempt says of its endpoint.
func (s *endpointSet) observeResult(a *attempt, result gateway.Result, latency time.Duration, report []float64, now gateway.Time) {
	e := a.host
	class := a.request.class
	h := e.healthFor(class)
	h.unansweredFraction = h.suspicion(now)
	h.unansweredAt = now
	utilization := s.observeReport(e, report)
	sinceStall := a.startedAt >= s.stallEnd // what was out while the gateway stood still tells nothing
	customerSilent := a.request.customer.unansweredFraction > unansweredLimit
	switch result {
	case gateway.Succeeded:
		class.typicalLatency += (float64(latency) - class.typicalLatency) * typicalWeight
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
		if h.lastFailure >= h.lastGood { // none went well since, nor did a peer hear well of it
			h.markSuspected(now)
		}
		h.lastFailure = now
	}
	explained := customerSilent || h.unansweredFraction >= suspicionLimit // the silence is the customer's or the endpoint's own
	if sinceStall && (result == gateway.Succeeded || result == gateway.TimedOut && !explained) {
		e.observeLatency(latency, class)
		s.limit.ObserveAnswer(latency, class.LatencyObjective, now, s.inFlight, utilization)
	}
}

// observeReport takes in an endpoint's load report and returns its utilization.
func (s *endpointSet) observeReport(e *endpoint, report []float64) float64 {
	if s.utilizationField < 0 || s.utilizationField >= len(report) {
		return noUtilization
	}
	utilization := min(report[s.utilizationField], 1)
	e.utilization += (utilization - e.utilization) / 4
	return utilization
}

// observeLatency takes in how long an answer of a class took.
func (e *endpoint) observeLatency(latency time.Duration, class *class) {
	relative := float64(latency) / class.typicalLatency
	e.relativeLatency = max(e.relativeLatency+(relative-e.relativeLatency)*latencyWeight, minLatency)
}

// overdue reports whether the endpoint holds an attempt and has answered nothing of its class for much longer than usual.
func (e *endpoint) overdue(a *attempt, now gateway.Time) bool {
	class := a.request.class
	silent := now.Sub(max(a.startedAt, e.healthFor(class).lastAnswer))
	usual := time.Duration(overdueFactor * class.typicalLatency * e.relativeLatency)
	return silent > max(usual, class.LatencyObjective/2)
}

// gossipTag names the endpoint and a request class in gossip.
func (e *endpoint) gossipTag(class int) uint16 {
	return uint16(e.Hash>>16)*uint16(class) + uint16(e.Hash)
}

// clearSuspicion takes in that another gateway has good answers of an endpoint: a suspected one comes back.
func (s *endpointSet) clearSuspicion(tag uint16) {
	for _, e := range s.nearby {
		for class := range e.health {
			if e.gossipTag(class) == tag {
				e.health[class].unansweredFraction /= 2
			}
		}
	}
}
