package logic

import (
	"time"

	"ravensill/concurrency"
	"ravensill/gateway"
	"ravensill/subset"
)

// initialInFlight is the limit on attempts in flight at each endpoint to start with, from all gateways
// together.
const initialInFlight = 6.0

// endpointSet holds the endpoints of the list.
type endpointSet struct {
	all         []*endpoint // by id
	nearby      []*endpoint // those of all that are in this gateway's subset or were sent an attempt
	lastWeighed []*endpoint // those whose loads were set by the latest call of weigh
	busy        []*endpoint // those with attempts in flight at the last timer, or sent one since

	slowStart        gateway.SlowStart
	random           *generator
	utilizationField int // index of the utilization in load reports; -1: none
	inFlight         int // attempts of this gateway
	memberIndex      int // of this gateway
	memberCount      int
	limit            concurrency.Limiter
	listReceived     bool         // whether a list was received beside the cached one
	stallEnd         gateway.Time // end of this gateway's latest stall
	stallLength      time.Duration
}

// endpoint is one endpoint of the list.
type endpoint struct {
	subset.Endpoint
	id              uint32
	state           gateway.EndpointState
	contacted       bool         // whether an attempt was sent to it since it is in the list
	announcedStart  gateway.Time // latest start by its own wall clock, as in the list; 0: long ago
	startedAt       gateway.Time // latest start by this gateway's clock, see startOf
	inFlight        []*attempt
	inBusy          bool    // whether it is in endpointSet.busy
	relativeLatency float64 // of its answers, over the typical latency
	utilization     float64 // as it reports
	load            float64 // expected relative latency of an answer, as set by weigh
	allowance       float64 // attempts that it may get while it warms up
	health          []health
}

// health is how an endpoint serves one request class: it may fail one class and serve the others.
type health struct {
	lastGood           gateway.Time
	lastAnswer         gateway.Time
	lastFailure        gateway.Time
	unansweredFraction float64      // of the attempts, as of unansweredAt
	unansweredAt       gateway.Time // see suspicion
}

// healthFor returns how the endpoint serves a class. Records are made on first use, since most endpoints of a
// large list are never used.
func (e *endpoint) healthFor(class *class) *health {
	if missing := class.index + 1 - len(e.health); missing > 0 {
		e.health = append(e.health, make([]health, missing)...)
	}
	return &e.health[class.index]
}
