package logic

import (
	"cmp"
	"time"

	"ravensill/gateway"
)

const (
	windowMargin     = time.Second / 5 // kept clear of the end of a deduplicated request's window
	retryBudgetShare = 0.25            // that each admitted request adds to the budget of retries of what may have run
	maxRetryBudget   = 10
)

// repeatable reports whether a repeat now of what was first sent at a time does no harm: the endpoints drop it within a window.
func (c *class) repeatable(first, now gateway.Time) bool {
	switch c.Effect {
	case gateway.Idempotent:
		return true
	case gateway.Deduplicated:
		return c.Group == gateway.AllHosts && now <= first.Add(c.DedupWindow-windowMargin)
	}
	return false
}

// addRetryBudget adds to the budget of retries what an admitted request brings.
func (g *Gateway) addRetryBudget() {
	g.retryBudget = min(g.retryBudget+retryBudgetShare, maxRetryBudget)
}

// answerDeadline is when the answer of a request is waited for no longer. After a stall answers lie waiting, and late ones that
// still earn something, too.
func (g *Gateway) answerDeadline(r *request) gateway.Time {
	late := time.Duration(0)
	if g.endpoints.stallEnd > 0 && g.now.Sub(g.endpoints.stallEnd) < decayTime {
		late = time.Duration(r.class.LateValue * float64(r.class.Timeout-r.class.LatencyObjective))
	}
	return min(r.deadline, r.arrived.Add(r.class.LatencyObjective+late))
}

// retry sends a request to another endpoint than last, and reports whether it did.
func (g *Gateway) retry(r *request, last *endpoint) bool {
	if r.attempts >= g.limits.MaxAttempts || g.now >= g.answerDeadline(r) {
		return false
	}
	if r.mayHaveRun != nil && (g.retryBudget < 1 || !r.class.repeatable(r.mayHaveRun.startedAt, g.now)) {
		return false
	}
	to := g.endpoints.choose(r.customer, r.class, g.now, 1, last)
	if to == nil {
		return false
	}
	if r.mayHaveRun != nil {
		g.retryBudget--
	}
	g.startAttempt(r, to)
	return true
}

// cancelOverdue marks endpoints that hold attempts for much longer than usual as suspected, and cancels attempts that may be made
// elsewhere: each is sent again once its end is confirmed.
func (g *Gateway) cancelOverdue() {
	for _, e := range g.endpoints.withAttempts() {
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

// mayCancel reports whether an attempt's request could be sent again if it were canceled.
func (g *Gateway) mayCancel(a *attempt) bool {
	r := a.request
	first := cmp.Or(r.mayHaveRun, a)
	return g.limits.Cancellation && g.retryBudget >= 1 && !r.closed && r.attempts < g.limits.MaxAttempts &&
		r.class.repeatable(first.startedAt, g.now)
}
