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
	OverCeiling                      // this gateway's fraction of the ceiling lacks the units
	CustomerUnanswered               // most of the customer's requests go unanswered
	TooLate                          // no answer could come in time
	OverConcurrencyCap               // too many of the customer's are in flight
	NoEndpoint                       // the limit on attempts in flight, or no endpoint will do
	AttemptFailed                    // its attempt failed, and a repeat is harmless
	ReasonCount                      // number of reasons
)

var reasonNames = [ReasonCount]string{
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
	if r < 0 || r >= ReasonCount {
		return fmt.Sprintf("Reason(%d)", int(r))
	}
	return reasonNames[r]
}

const (
	// unansweredLimit is the fraction of a customer's requests that may go unanswered. Beyond it one request is
	// admitted in each unansweredInterval.
	unansweredLimit    = 0.5
	unansweredInterval = time.Second
	answerMemory       = 0.75 // weight of the earlier requests in that fraction
	maxUnseenBursts    = 0.5  // most that peers are taken to admit between two counters
)

// admit decides a request: the design's ordinary path from top to bottom. withinCap is the probability that the
// customer is within its cap on requests in flight. If mayAskCounter, the shared counter is asked for that
// first, and counterReplied calls admit again.
func (g *Gateway) admit(r *request, withinCap float64, mayAskCounter bool) {
	demand := r.customer.demandRatio()
	level := g.spendableLevel(r.customer, demand)
	share := g.limitFraction(r)
	if reason, retryAfter, objection := g.objection(r, level); objection {
		g.reject(r, reason, retryAfter)
		return
	}
	if withinCap > 0 && mayAskCounter {
		g.askCounter(r)
		return
	}
	if !r.customer.mayExceedCap(withinCap, demand) {
		g.reject(r, OverConcurrencyCap, r.class.typicalLatency)
		return
	}
	to := g.endpoints.choose(r.customer, r.class, g.now, share, nil)
	if to == nil { // a rejection now is better than a late answer
		g.reject(r, NoEndpoint, r.class.typicalLatency)
		return
	}
	g.admitted++
	g.spend(r.customer, r.units, withinCap)
	g.addRetryBudget()
	g.startAttempt(r, to)
}

// objection returns why a request can't be admitted by what is known here, and the time in nanoseconds to retry
// after.
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
	case g.answerTooLate(r):
		return TooLate, r.class.typicalLatency, true
	case r.stopAt > 0 && timeLeft < r.class.typicalLatency: // another gateway has the time to answer
		return TooLate, r.class.typicalLatency, true
	}
	return 0, 0, false
}

// answerTooLate reports whether an answer is expected too late to be of value.
func (g *Gateway) answerTooLate(r *request) bool {
	if r.deadline <= g.now {
		return true
	}
	expected := float64(g.now.Sub(r.arrived)) + r.class.typicalLatency
	return r.class.LateValue == 0 && expected > float64(r.class.LatencyObjective)
}

// demandRatio returns the units that the customer asked for over those that were admitted, both decaying.
func (c *customer) demandRatio() float64 { return (1 + c.requestedUnits) / (1 + c.admittedUnits) }

// spendableLevel returns the level of the copy less what peers may have admitted since their latest counters: a
// random number, which varies more the more is asked for.
func (g *Gateway) spendableLevel(c *customer, demand float64) float64 {
	unseen := 2 * g.random.fraction() * c.peerRate * g.counterAge * demand
	return c.level - min(unseen, c.plan.Burst*maxUnseenBursts)
}

// recordAnswered records whether an attempt of the customer was answered in time.
func (c *customer) recordAnswered(result gateway.Result) {
	c.unansweredFraction *= answerMemory
	if result == gateway.TimedOut {
		c.unansweredFraction += 1 - answerMemory
	}
}
