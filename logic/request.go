package logic

import (
	"slices"
	"time"

	"ravensill/gateway"
)

// minAttemptTimeout is the shortest timeout of an attempt.
const minAttemptTimeout = time.Microsecond

// request is a client's request. Its record is kept until the request is closed and no attempt is in flight.
type request struct {
	id          string
	customer    *customer
	class       *class
	units       float64
	arrived     gateway.Time
	deadline    gateway.Time // time at which the client stops waiting
	stopAt      gateway.Time // end of this gateway's shutdown; 0: no shutdown
	attempts    int          // started so far
	current     *attempt     // the attempt in flight; nil: none
	mayHaveRun  *attempt     // first attempt that may have run; nil: none
	closed      bool         // it has its final answer, or its client is gone
	counterName uint64       // shared counter that counts it as in flight; 0: none
}

// attempt is one sending of a request to an endpoint.
type attempt struct {
	request   *request
	endpoint  *endpoint
	number    int // position among the request's attempts, from 0 on
	startedAt gateway.Time
}

// The functions that handle a request, in order:
//
//	requestArrived  creates its record
//	admit           rejects it or starts its first attempt, perhaps after a reply of the shared counter (admission.go)
//	startAttempt    sends it to an endpoint
//	attemptEnded    closes it, retries it (retry.go), rejects it or fails it
//	closeRequest    drops its record once no attempt is in flight

// requestArrived creates the record of a request and runs the admission checks. at is the time of its arrival.
func (g *Gateway) requestArrived(event *gateway.Event, at gateway.Time) {
	c := g.customerFor(hashText(event.Customer), event.Plan, event.Spread, event.FirstGateway)
	if c == nil {
		g.rejectNewCustomer(event.RequestID)
		return
	}
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
	if g.gossipFormat.PlansByID { // refill moves the customer to its current plan
		c.planIndex = event.Plan
	}
	g.refill(c)
	c.requestedUnits += r.units
	g.admit(r, c.withinCapProbability(r.class), g.mayAskCounter(r))
}

// startAttempt sends a request to an endpoint. The attempt times out at the answer deadline.
func (g *Gateway) startAttempt(r *request, target *endpoint) {
	g.reportCandidates(r, target)
	r.current = &attempt{request: r, endpoint: target, number: r.attempts, startedAt: g.now}
	r.attempts++
	r.customer.inFlight++
	target.inFlight = append(target.inFlight, r.current)
	g.endpoints.countAttempt(target, r.class, r.attempts > 1, g.now)
	g.actions.StartAttempt(r.id, target.number, max(g.answerDeadline(r).Sub(g.now), minAttemptTimeout))
}

// attemptEnded handles the end of an attempt. A request that has no final answer yet is retried where that is
// allowed and may help. Else it is rejected if the client may safely repeat it after the retry-after time, and failed
// if not. Events for any attempt but the current one are ignored.
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
	retryAfter := g.retryAfter(r, event)
	switch {
	case r.closed || event.Closed:
		g.closeRequest(r)
	case retryMayHelp(event.Result) && g.retry(r, ended.endpoint):
	case g.now.Add(retryAfter) <= r.repeatDeadline():
		g.reject(r, failureReason(event.Result), float64(retryAfter))
	default:
		g.actions.Fail(r.id)
		g.closeRequest(r)
	}
}

// endCurrentAttempt removes the attempt that a request has in flight, updates the counts of attempts in flight, and
// returns the attempt.
func (g *Gateway) endCurrentAttempt(r *request, result gateway.Result) *attempt {
	ended := r.current
	r.current = nil
	r.customer.inFlight--
	r.customer.recordResult(result)
	ended.endpoint.inFlight = slices.DeleteFunc(ended.endpoint.inFlight,
		func(other *attempt) bool { return other == ended })
	g.endpoints.inFlight--
	return ended
}

// retryMayHelp reports whether another attempt may succeed after one with a result. After a timeout no time is left.
// The connection quota is one for all endpoints, so that another attempt would wait in the same queue.
func retryMayHelp(result gateway.Result) bool {
	return result != gateway.TimedOut && result != gateway.Throttled
}

// failureReason returns the reason of a rejection that follows the end of an attempt.
func failureReason(result gateway.Result) Reason {
	if result == gateway.Throttled {
		return NoConnection
	}
	return AttemptFailed
}

// retryAfter returns the time after which the client of a request should repeat it once an attempt has ended. It is
// what the connection quota expects, if that limits attempts: no connection is free earlier. Else it is the typical
// latency of the class, but not after the repeat deadline.
func (g *Gateway) retryAfter(r *request, ended *gateway.Event) time.Duration {
	if ended.RetryAfter == 0 {
		left := max(r.repeatDeadline().Sub(g.now), 0)
		return min(time.Duration(r.class.typicalLatency), left)
	}
	return g.capRetryAfter(ended.RetryAfter)
}

// reject ends a request with the answer that the client may safely repeat it after retryAfter, in nanoseconds.
func (g *Gateway) reject(r *request, reason Reason, retryAfter float64) {
	g.rejected[reason]++
	if !g.limits.RetryAfter {
		retryAfter = 0
	}
	g.actions.Reject(r.id, time.Duration(retryAfter))
	g.closeRequest(r)
}

// closeRequest marks a request as closed. Once no attempt is in flight, it drops the record and subtracts the
// request from the shared counter.
func (g *Gateway) closeRequest(r *request) {
	r.closed = true
	if r.current != nil {
		return
	}
	delete(g.requests, r.id)
	if r.counterName != 0 {
		g.callCounter(r.counterName, -1, nil)
	}
}
