package logic

import (
	"fmt"
	"time"

	"ravensill/gateway"
)

// Reason is why a request was rejected.
type Reason int

// The reasons, as Gauges counts them.
const (
	OverQuota          Reason = iota // the copy of the bucket lacks the units
	OverCeiling                      // this gateway's fraction of the ceiling does
	CustomerUnanswered               // most of the customer's requests go unanswered
	TooLate                          // no answer could come in time
	OverConcurrencyCap               // too many of the customer's are in flight
	NoEndpoint                       // the limit on attempts in flight, or no endpoint will do
	AttemptFailed                    // its attempt failed, and a repeat is harmless
	Reasons                          // their number
)

var reasonNames = [Reasons]string{
	OverQuota:          "over_quota",
	OverCeiling:        "over_ceiling",
	CustomerUnanswered: "customer_unanswered",
	TooLate:            "too_late",
	OverConcurrencyCap: "over_concurrency_cap",
	NoEndpoint:         "no_endpoint",
	AttemptFailed:      "attempt_failed",
}

// String returns the reason as log lines name it.
func (r Reason) String() string {
	if r < 0 || r >= Reasons {
		return fmt.Sprintf("Reason(%d)", int(r))
	}
	return reasonNames[r]
}

const (
	unansweredLimit    = 0.5         // fraction of a customer's requests; beyond it only one is admitted in unansweredInterval
	unansweredInterval = time.Second // between two requests of such a customer
	answerMemory       = 0.75        // weight of the earlier requests in that fraction
	maxUnseenBursts    = 0.5         // by which a copy is taken for lower at most, for what peers admit meanwhile
)

// admit decides a request, the ordinary path from top to bottom. withinCap is the probability that the customer is within its cap
// on requests in flight. Where the shared counter may be asked for that, it is, and the answer comes back here.
func (g *Gateway) admit(r *request, withinCap float64, mayAskCounter bool) {
	demand := r.customer.demandRatio()
	level := g.spendableLevel(r.customer, demand)
	share := g.limitShare(r)
	if reason, retryAfter, objection := g.objection(r, level); objection {
		g.reject(r, reason, retryAfter)
		return
	}
	if withinCap > 0 && mayAskCounter {
		g.askCounter(r)
		return
	}
	if !r.customer.worthOverCap(withinCap, demand) {
		g.reject(r, OverConcurrencyCap, r.class.typicalLatency)
		return
	}
	to := g.endpoints.choose(r.customer, r.class, g.now, share, nil)
	if to == nil { // better told now than answered late
		g.reject(r, NoEndpoint, r.class.typicalLatency)
		return
	}
	g.admitted++
	g.spend(r.customer, r.units, withinCap)
	g.addRetryBudget()
	g.startAttempt(r, to)
}

// objection returns why a request can't be admitted with what is known here, and the time in nanoseconds after which to come back.
func (g *Gateway) objection(r *request, level float64) (reason Reason, retryAfter float64, objection bool) {
	c := r.customer
	timeLeft := float64(r.stopAt.Sub(g.now))
	switch {
	case c.plan.Rate > 0 && level < r.units:
		return OverQuota, (r.units - level) / c.plan.Rate * float64(time.Second), true
	case c.plan.CeilingRate > 0 && c.ceilingLevel < r.units:
		return OverCeiling, (r.units - c.ceilingLevel) / c.ceilingRate * float64(time.Second), true
	case c.unansweredFraction > unansweredLimit && g.now.Sub(c.lastAdmission) < unansweredInterval:
		return CustomerUnanswered, float64(unansweredInterval), true
	case g.inVain(r):
		return TooLate, r.class.typicalLatency, true
	case r.stopAt > 0 && timeLeft < r.class.typicalLatency: // this gateway would end over it; another has the time
		return TooLate, r.class.typicalLatency, true
	}
	return 0, 0, false
}

// inVain reports whether an answer would come too late to be worth anything.
func (g *Gateway) inVain(r *request) bool {
	if r.deadline <= g.now {
		return true
	}
	expected := float64(g.now.Sub(r.arrived)) + r.class.typicalLatency
	return r.class.LateValue == 0 && expected > float64(r.class.LatencyObjective)
}

// demandRatio is how much more units the customer asks for than are admitted, lately.
func (c *customer) demandRatio() float64 { return (1 + c.requestedUnits) / (1 + c.admittedUnits) }

// spendableLevel is the level of the copy less what peers may have admitted since their last counters. That is a random number; the
// more is asked for, the more it sways.
func (g *Gateway) spendableLevel(c *customer, demand float64) float64 {
	unseen := 2 * g.random.fraction() * c.peerRate * g.counterAge * demand
	return c.level - min(unseen, c.plan.Burst*maxUnseenBursts)
}

// noteAnswer takes in whether an attempt of the customer's was answered.
func (c *customer) noteAnswer(result gateway.Result) {
	c.unansweredFraction *= answerMemory
	if result == gateway.TimedOut {
		c.unansweredFraction += 1 - answerMemory
	}
}
