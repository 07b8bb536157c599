package logic

import (
	"cmp"
	"time"

	"ravensill/gateway"
)

const (
	windowMargin     = time.Second / 5 // left of a deduplicated request's window, at least, for a repeat
	retryBudgetShare = 0.25            // of a retry, that each admitted request adds to the budget
	maxRetryBudget   = 10
)

// repeatable reports whether a request that was first sent at a time may be repeated now without effect: its
// endpoints drop repeats within a window.
func (c *class) repeatable(first, now gateway.Time) bool {
	switch c.Effect {
	case gateway.Idempotent:
		return true
	case gateway.Deduplicated:
		return c.Group == gateway.AllHosts && now <= first.Add(c.DedupWindow-windowMargin)
	}
	return false
}

// addRetryBudget adds an admitted request's share to the budget of retries.
func (g *Gateway) addRetryBudget() {
	g.retryBudget = min(g.retryBudget+retryBudgetShare, maxRetryBudget)
}

// answerDeadline returns the time at which the gateway stops waiting for an answer. After a stall, answers that
// were received but not yet read are late, and the ones that are still of some value are waited for.
func (g *Gateway) answerDeadline(r *request) gateway.Time {
	late := time.Duration(0)
	if g.endpoints.stallEnd > 0 && g.now.Sub(g.endpoints.stallEnd) < decayTime {
		late = time.Duration(r.class.LateValue * float64(r.class.Timeout-r.class.LatencyObjective))
	}
	return min(r.deadline, r.arrived.Add(r.class.LatencyObjective+late))
}

// retry sends a request to another endpoint than the last one, and reports whether it did.
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

// cancelOverdue marks endpoints whose attempts take much longer than usual as suspected, and cancels those
// attempts whose requests may be sent again. A request is sent again once the end of its attempt is confirmed.
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

// mayCancel reports whether an attempt's request could be sent again after a cancellation.
func (g *Gateway) mayCancel(a *attempt) bool {
	r := a.request
	first := cmp.Or(r.mayHaveRun, a)
	return g.limits.Cancellation && g.retryBudget >= 1 && !r.closed && r.attempts < g.limits.MaxAttempts &&
		r.class.repeatable(first.startedAt, g.now)
}
