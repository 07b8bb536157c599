package logic

import (
	"slices"
	"time"

	"ravensill/gateway"
)

// minAttemptTimeout is the shortest timeout of an attempt.
const minAttemptTimeout = time.Microsecond

// request is kept from its arrival until it is closed and no attempt is in flight.
type request struct {
	id          string
	customer    *customer
	class       *class
	units       float64
	arrived     gateway.Time
	deadline    gateway.Time // the client gives up then
	stopAt      gateway.Time // end of this gateway's shutdown; 0: it does not shut down
	attempts    int
	current     *attempt // in flight; nil: none
	mayHaveRun  *attempt // first attempt that may have run; nil: none
	closed      bool
	counterName uint64 // name at the shared counter under which it counts as in flight; 0: none
}

// attempt is a request sent to one endpoint.
type attempt struct {
	request   *request
	host      *endpoint
	number    int // of the request's attempts, from 0 on
	startedAt gateway.Time
}

// A request passes through these functions, in this order:
//
//	arrive          records it with its customer and class
//	admit           rejects it, or admits it to an endpoint (admission.go); the shared counter may be asked first
//	startAttempt    sends it to the endpoint
//	attemptEnded    ends it, sends it again (retry.go), rejects or fails it
//	close           drops its record

// arrive handles a request that arrived at a time.
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
	if g.format.PlansByID { // plans may be removed and customers change plans
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

// attemptEnded handles the end of an attempt: the request is closed, sent again where that is allowed and may
// help, rejected, or failed.
func (g *Gateway) attemptEnded(event *gateway.Event) {
	r := g.requests[event.RequestID]
	if r == nil || r.current == nil || r.current.number != event.Attempt {
		return
	}
	ended := g.endCurrentAttempt(r, event.Result)
	if !event.Result.NeverRan() && r.mayHaveRun == nil {
		r.mayHaveRun = ended
	}
	g.endpoints.observeResult(ended, event, g.now)
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

// endCurrentAttempt removes the attempt that a request has in flight and returns it.
func (g *Gateway) endCurrentAttempt(r *request, result gateway.Result) *attempt {
	ended := r.current
	r.current = nil
	r.customer.inFlight--
	r.customer.recordAnswered(result)
	ended.host.inFlight = slices.DeleteFunc(ended.host.inFlight, func(other *attempt) bool { return other == ended })
	g.endpoints.inFlight--
	return ended
}

// reject ends a request with the final answer that allows a safe retry, after a time in nanoseconds.
func (g *Gateway) reject(r *request, reason Reason, retryAfter float64) {
	g.rejected[reason]++
	if !g.limits.RetryAfter {
		retryAfter = 0
	}
	g.actions.Reject(r.id, time.Duration(retryAfter))
	g.close(r)
}

// close ends a request. Its record is dropped once no attempt is in flight.
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
