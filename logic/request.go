package logic

import (
	"slices"
	"time"

	"ravensill/gateway"
)

// minAttemptTimeout is the least time that an attempt is given.
const minAttemptTimeout = time.Microsecond

// request is held from its arrival until it is closed and no attempt is in flight.
type request struct {
	id          string
	customer    *customer
	class       *class
	units       float64
	arrived     gateway.Time
	deadline    gateway.Time // the client gives up then
	stopAt      gateway.Time // this gateway ends then; 0: it is not called to stop
	attempts    int
	current     *attempt // in flight; nil: none
	mayHaveRun  *attempt // the first that may have run; nil: none
	closed      bool
	counterName uint64 // the shared counter's number that counts it as in flight; 0: none
}

// attempt is one sending of a request to an endpoint.
type attempt struct {
	request   *request
	host      *endpoint
	number    int // of the request's attempts, from 0 on
	startedAt gateway.Time
}

// The way of a request, in this order:
//
//	arrive          it is noted, with its customer and class
//	admit           it is rejected, or admitted to an endpoint (admission.go); the shared counter may be asked first
//	startAttempt    it is sent to the endpoint
//	attemptEnded    it succeeded, is sent again (retry.go), rejected or failed
//	close           its final answer is given

// arrive takes in a request that came in at a time.
func (g *Gateway) arrive(event *gateway.Event, at gateway.Time) {
	c := g.customerFor(hashText(event.Customer), event.Plan, event.Spread, event.FirstGateway)
	r := &request{
		id:       event.RequestID,
		customer: c,
		class:    g.classes[event.Class],
		units:    event.Units,
		arrived:  at,
		deadline: event.Deadline,
		stopAt:   event.StopAt,
	}
	g.requests[r.id] = r
	r.class.typicalUnits += (r.units - r.class.typicalUnits) / 64
	g.arrivals++
	g.largestRequest = max(g.largestRequest, r.units)
	if g.format.ByID { // its plan may be gone, or it is on another now
		c.planIndex = event.Plan
	}
	g.refill(c)
	c.requestedUnits += r.units
	g.admit(r, c.withinCapProbability(r.class), g.mayAskCounter(r))
}

// startAttempt sends a request to an endpoint.
func (g *Gateway) startAttempt(r *request, to *endpoint) {
	g.reportCandidates(r, to)
	r.current = &attempt{request: r, host: to, number: r.attempts, startedAt: g.now}
	r.attempts++
	r.customer.inFlight++
	to.inFlight = append(to.inFlight, r.current)
	g.endpoints.countAttempt(to, r.class, r.attempts > 1, g.now)
	g.actions.StartAttempt(r.id, to.id, max(g.answerDeadline(r).Sub(g.now), minAttemptTimeout))
}

// attemptEnded takes in how an attempt ended, and sends the request again where that may help and is allowed.
func (g *Gateway) attemptEnded(event *gateway.Event) {
	r := g.requests[event.RequestID]
	if r == nil || r.current == nil || r.current.number != event.Attempt {
		return
	}
	ended := g.takeCurrent(r, event.Result)
	if !event.Result.NeverRan() && r.mayHaveRun == nil {
		r.mayHaveRun = ended
	}
	g.endpoints.observeResult(ended, event.Result, event.Latency, event.LoadReport, g.now)
	switch {
	case r.closed || event.Closed:
		g.close(r)
	case event.Result != gateway.TimedOut && g.retry(r, ended.host):
	case r.mayHaveRun == nil || r.class.repeatable(r.mayHaveRun.startedAt, g.now):
		g.reject(r, AttemptFailed, r.class.typicalLatency)
	default:
		g.actions.Fail(r.id)
		g.close(r)
	}
}

// takeCurrent ends the attempt that a request has in flight and returns it.
func (g *Gateway) takeCurrent(r *request, result gateway.Result) *attempt {
	ended := r.current
	r.current = nil
	r.customer.inFlight--
	r.customer.noteAnswer(result)
	ended.host.inFlight = slices.DeleteFunc(ended.host.inFlight, func(other *attempt) bool { return other == ended })
	g.endpoints.inFlight--
	return ended
}

// reject gives the final answer that makes a repeat harmless, with the time in nanoseconds after which to come back.
func (g *Gateway) reject(r *request, reason Reason, retryAfter float64) {
	g.rejected[reason]++
	if !g.limits.RetryAfter {
		retryAfter = 0
	}
	g.actions.Reject(r.id, time.Duration(retryAfter))
	g.close(r)
}

// close ends a request; it is forgotten once its attempt has ended, too.
func (g *Gateway) close(r *request) {
	r.closed = true
	if r.current != nil {
		return
	}
	delete(g.requests, r.id)
	if r.counterName != 0 {
		g.callCounter(r.counterName, -1, nil)
	}
}
