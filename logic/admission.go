package logic

import (
	"fmt"
	"time"

	"ravensill/gateway"
)

// Reason is why a request was rejected.
type Reason int

// The rejection reasons. They index Gauges.Rejected.
const (
	OverQuota          Reason = iota // this gateway's copy of the token bucket has too few units
	OverCeiling                      // this gateway's part of the hard ceiling has too few units
	CustomerUnanswered               // most of the customer's recent attempts timed out
	TooLate                          // no answer is expected in time
	OverConcurrencyCap               // the customer is at its plan's cap on requests in flight
	NoEndpoint                       // the limit on attempts in flight is reached, or no endpoint is available
	AttemptFailed                    // an attempt failed, and the client may safely repeat the request
	NoConnection                     // the connection quota left its attempt no connection in time
	TooManyCustomers                 // there is no space for a record of one more customer
	ReasonCount                      // number of rejection reasons
)

var reasonNames = [ReasonCount]string{
	OverQuota:          "over_quota",
	OverCeiling:        "over_ceiling",
	CustomerUnanswered: "customer_unanswered",
	TooLate:            "too_late",
	OverConcurrencyCap: "over_concurrency_cap",
	NoEndpoint:         "no_endpoint",
	AttemptFailed:      "attempt_failed",
	NoConnection:       "no_connection",
	TooManyCustomers:   "too_many_customers",
}

// String returns the name of the reason in log lines, such as "over_quota".
func (r Reason) String() string {
	if r < 0 || r >= ReasonCount {
		return fmt.Sprintf("Reason(%d)", int(r))
	}
	return reasonNames[r]
}

const (
	// unansweredLimit is the moving average of the fraction of a customer's attempts that time out, above which
	// only one request is admitted in each unansweredInterval.
	unansweredLimit    = 0.5
	unansweredInterval = time.Second
	unansweredDecay    = 0.75 // weight of the previous average in the unanswered fraction
	maxUnseenBursts    = 0.5  // cap of the estimate in spendableLevel, in bursts of the plan
)

// admit runs the admission checks on a request and either rejects it, asks the shared counter, or starts its first
// attempt. withinCap is the probability that the customer is within its cap on requests in flight. If mayAskCounter
// is set and that probability is not 0, the shared counter is asked, and counterReplied calls admit again with its
// answer.
func (g *Gateway) admit(r *request, withinCap float64, mayAskCounter bool) {
	demand := r.customer.demandRatio()
	level := g.spendableLevel(r.customer, demand)
	fraction := g.limitFraction(r)
	if reason, retryAfter, rejected := g.rejectionReason(r, level); rejected {
		g.reject(r, reason, retryAfter)
		return
	}
	if withinCap > 0 && mayAskCounter {
		g.askCounter(r)
		return
	}
	if !r.customer.worthSending(withinCap, demand) {
		g.reject(r, OverConcurrencyCap, r.class.typicalLatency)
		return
	}
	target := g.endpoints.choose(r.customer, r.class, g.now, fraction, nil)
	if target == nil { // reject now rather than answer late
		g.reject(r, NoEndpoint, r.class.typicalLatency)
		return
	}
	g.admitted++
	g.spend(r.customer, r.units, withinCap)
	g.addRetryBudget()
	g.startAttempt(r, target)
}

// rejectionReason checks the quota, the hard ceiling, the unanswered fraction and the expected latency. If a check
// fails, it returns the reason and the time in nanoseconds after which the client may retry. level is the part of
// the bucket's level that may be spent, in units.
func (g *Gateway) rejectionReason(r *request, level float64) (reason Reason, retryAfter float64, rejected bool) {
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
	case r.stopAt > 0 && timeLeft < r.class.typicalLatency: // another gateway still has the time to answer
		return TooLate, r.class.typicalLatency, true
	}
	return 0, 0, false
}

// answerTooLate reports whether the deadline has passed, or the answer is expected after the latency objective in a
// class whose late answers have no value.
func (g *Gateway) answerTooLate(r *request) bool {
	if r.deadline <= g.now {
		return true
	}
	expected := float64(g.now.Sub(r.arrived)) + r.class.typicalLatency
	return r.class.LateValue == 0 && expected > float64(r.class.LatencyObjective)
}

// demandRatio returns the ratio of requested to admitted units of the customer, from sums that decay with the peer
// timeout. It is 1 if every request is admitted.
func (c *customer) demandRatio() float64 { return (1 + c.requestedUnits) / (1 + c.admittedUnits) }

// spendableLevel returns the level of this gateway's copy of the bucket less an estimate of what peers have
// admitted since their latest counters. The estimate is a random number, at most maxUnseenBursts bursts, between 0
// and twice its mean. Its mean grows with the peers' rate, the age of their counters and the demand ratio, so it
// varies more the more is asked for.
func (g *Gateway) spendableLevel(c *customer, demand float64) float64 {
	unseen := 2 * g.random.fraction() * c.peerRate * g.counterAge * demand
	return c.level - min(unseen, c.plan.Burst*maxUnseenBursts)
}

// recordResult updates the moving average of the fraction of the customer's attempts that time out.
func (c *customer) recordResult(result gateway.Result) {
	c.unansweredFraction *= unansweredDecay
	if result == gateway.TimedOut {
		c.unansweredFraction += 1 - unansweredDecay
	}
}
