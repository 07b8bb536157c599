package logic

import (
	"cmp"
	"math"
	"time"

	"ravensill/gateway"
)

const (
	dedupWindowMargin     = time.Second / 5 // least time left of the deduplication window for a retry
	retryBudgetPerRequest = 0.25            // retries that each admitted request adds to the budget
	maxRetryBudget        = 10              // retries that the budget holds at most
)

// repeatDeadline returns the latest time at which a request that may have run may safely be sent again: no limit in an
// idempotent class, shortly before the end of the window in a deduplicated class if all hosts deduplicate together, and
// else never, which is 0. first is when the first attempt that may have run started.
func (c *class) repeatDeadline(first gateway.Time) gateway.Time {
	switch {
	case c.Effect == gateway.Idempotent:
		return math.MaxInt64
	case c.Effect == gateway.Deduplicated && c.Group == gateway.AllHosts:
		return first.Add(c.DedupWindow - dedupWindowMargin)
	}
	return 0
}

// repeatDeadline returns the latest time at which a request may safely be sent again, by the gateway or by its client:
// no limit if none of its attempts may have run, and else that of its class.
func (r *request) repeatDeadline() gateway.Time {
	if r.mayHaveRun == nil {
		return math.MaxInt64
	}
	return r.class.repeatDeadline(r.mayHaveRun.startedAt)
}

// addRetryBudget adds the part of a retry that an admitted request allows to the retry budget.
func (g *Gateway) addRetryBudget() {
	g.retryBudget = min(g.retryBudget+retryBudgetPerRequest, maxRetryBudget)
}

// answerDeadline returns the time at which the gateway stops waiting for an answer: the end of the latency
// objective, or the client's deadline if that is earlier. For a while after a stall the wait is longer in
// proportion to the value of late answers, since answers received during the stall are read late.
func (g *Gateway) answerDeadline(r *request) gateway.Time {
	extra := time.Duration(0)
	if g.endpoints.stallEnd > 0 && g.now.Sub(g.endpoints.stallEnd) < decayTime {
		extra = time.Duration(r.class.LateValue * float64(r.class.Timeout-r.class.LatencyObjective))
	}
	return min(r.deadline, r.arrived.Add(r.class.LatencyObjective+extra))
}

// retry sends a request to an endpoint other than the last one, and reports whether it did. A request that may have
// run needs a repeatable class and takes one retry from the budget.
func (g *Gateway) retry(r *request, last *endpoint) bool {
	if r.attempts >= g.limits.MaxAttempts || g.now >= g.answerDeadline(r) {
		return false
	}
	if g.now > r.repeatDeadline() || r.mayHaveRun != nil && g.retryBudget < 1 {
		return false
	}
	target := g.endpoints.choose(r.customer, r.class, g.now, 1, last)
	if target == nil {
		return false
	}
	if r.mayHaveRun != nil {
		g.retryBudget--
	}
	g.startAttempt(r, target)
	return true
}

// cancelOverdue marks endpoints with overdue attempts as suspected and cancels those attempts if their requests may
// be sent again. The retry follows when the end of the attempt is reported.
func (g *Gateway) cancelOverdue() {
	for _, e := range g.endpoints.activeEndpoints() {
		for _, a := range e.inFlight {
			if !e.overdue(a, g.now) {
				continue
			}
			e.healthFor(a.request.class).markSuspected(g.now)
			if g.mayCancel(a) {
				g.actions.CancelAttempt(a.request.id, a.number)
			}
		}
	}
}

// mayCancel reports whether the request of an attempt could be sent again after the attempt is canceled.
func (g *Gateway) mayCancel(a *attempt) bool {
	r := a.request
	first := cmp.Or(r.mayHaveRun, a)
	return g.limits.Cancellation && g.retryBudget >= 1 && !r.closed && r.attempts < g.limits.MaxAttempts &&
		g.now <= r.class.repeatDeadline(first.startedAt)
}
