package logic

import (
	"time"

	"ravensill/concurrency"
	"ravensill/gateway"
	"ravensill/subset"
)

// initialInFlight is the initial limit on attempts in flight for each endpoint, over all gateways together.
const initialInFlight = 6.0

// endpointSet holds the listed endpoints, their measured health and load, and the limit on attempts in flight.
type endpointSet struct {
	all        []*endpoint // all listed endpoints, ordered by number
	inUse      []*endpoint // endpoints in this gateway's subset or contacted before, ordered by number
	candidates []*endpoint // endpoints that computeLoads was last called with
	active     []*endpoint // endpoints with attempts in flight, ordered by number; activeEndpoints removes idle ones

	slowStart        gateway.SlowStart
	random           *generator
	utilizationField int                 // index of the utilization in load reports; -1: not reported
	inFlight         int                 // attempts of this gateway in flight
	memberIndex      int                 // member index of this gateway
	memberCount      int                 // number of gateways in the fleet
	limit            concurrency.Limiter // limit on this gateway's attempts in flight
	listReceived     bool                // whether a list other than the cached one was received
	stallEnd         gateway.Time        // end of this gateway's latest stall; 0: none so far
	stallLength      time.Duration       // length of the latest stall; 0: none so far
}

// endpoint is one listed endpoint with its measured state.
type endpoint struct {
	subset.Endpoint
	number          uint32
	state           gateway.EndpointState
	contacted       bool         // whether it was sent an attempt since it was listed
	announcedStart  gateway.Time // latest start by the host's wall clock, as listed; 0: long ago
	startedAt       gateway.Time // latest start by this gateway's clock, see localStart; 0: long ago
	inFlight        []*attempt   // this gateway's attempts at it
	isActive        bool         // whether it is in endpointSet.active
	relativeLatency float64      // moving average of its answers' latency, relative to the class's typical latency
	utilization     float64      // moving average of its reports, 0 to 1
	load            float64      // expected relative latency, set by computeLoads; +Inf: unavailable
	allowance       float64      // attempts that it may be sent during slow start
	health          []health     // by index of the request class, see healthFor
}

// health is how an endpoint serves one request class. An endpoint may fail one class and serve the others.
type health struct {
	lastSuccess        gateway.Time // latest success
	lastAnswer         gateway.Time // latest success or busy answer
	lastFailure        gateway.Time // latest error, lost connection or malformed answer
	unansweredFraction float64      // estimated fraction of attempts that get no answer, as of fractionUpdatedAt
	fractionUpdatedAt  gateway.Time // suspicion lets the fraction decay from then on
}

// healthFor returns the endpoint's health for a class. Records are created on first use, since most endpoints of a
// large list are never used.
func (e *endpoint) healthFor(class *class) *health {
	if missing := class.index + 1 - len(e.health); missing > 0 {
		e.health = append(e.health, make([]health, missing)...)
	}
	return &e.health[class.index]
}
