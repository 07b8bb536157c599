package logic

import (
	"time"

	"ravensill/concurrency"
	"ravensill/gateway"
	"ravensill/subset"
)

// initialInFlight is how many attempts may be in flight at each endpoint to start with, from all gateways together.
const initialInFlight = 6.0

// endpointSet holds the endpoints.
type endpointSet struct {
	all              []*endpoint // by id
	nearby           []*endpoint // those of all in this gateway's subset, or sent to
	lastWeighed      []*endpoint // those whose loads were set last, by weigh
	busy             []*endpoint // those with attempts in flight at the last timer, or sent to since
	slowStart        gateway.SlowStart
	random           *generator
	utilizationField int // place of the utilization in load reports; -1: none
	inFlight         int // attempts from here
	memberIndex      int // of this gateway,
	memberCount      int // among so many: for its subset
	limit            concurrency.Limiter
	listReceived     bool          // a list that was not the cached one was received
	stallEnd         gateway.Time  // the gateway last stood still until then,
	stallLength      time.Duration // for so long
}

// endpoint is one of the list.
type endpoint struct {
	subset.Endpoint
	id              uint32
	state           gateway.EndpointState
	contacted       bool         // sent to since it is in the list
	announcedStart  gateway.Time // its last start as the list tells it, by its wall clock; 0: long ago
	startedAt       gateway.Time // the same by this gateway's clock: startOf
	inFlight        []*attempt
	inBusy          bool    // in the set's busy
	relativeLatency float64 // of its answers, against the typical one
	utilization     float64 // as it reports
	load            float64 // how long an answer would take, as weigh set it
	allowance       float64 // attempts that it may get while it warms up
	health          []health
}

// health is how an endpoint serves a request class: it may fail one and serve the others.
type health struct {
	lastGood           gateway.Time
	lastAnswer         gateway.Time
	lastFailure        gateway.Time
	unansweredFraction float64      // of the attempts,
	unansweredAt       gateway.Time // as it was then
}

// healthFor returns how the endpoint serves a class. Most endpoints of a large list are never asked: records are made late.
func (e *endpoint) healthFor(class *class) *health {
	if missing := class.index + 1 - len(e.health); missing > 0 {
		e.health = append(e.health, make([]health, missing)...)
	}
	return &e.health[class.index]
}
