package logic

import (
	"math"
	"time"

	"ravensill/gateway"
)

const (
	counterPeriod          = 5 * time.Second // each customer has a new shared counter in each period
	counterBackoff         = time.Second     // time without calls after maxCounterFailures
	maxCounterFailures     = 4               // consecutive failures that suspend calls
	minCounterTimeoutsLeft = 2               // a call needs more than this many call timeouts until the deadline
)

// withinCapProbability estimates the probability that one more request of the customer is within its plan's cap on
// requests in flight. It is 1 without a cap. The number in flight at peers is modeled as Poisson distributed; its
// mean is the peers' request rate times the typical latency (Little's law).
func (c *customer) withinCapProbability(class *class) float64 {
	if c.plan.MaxInFlight == 0 {
		return 1
	}
	meanAtPeers := c.peerRate / class.typicalUnits * class.typicalLatency / float64(time.Second)
	return poissonBelow(max(c.plan.MaxInFlight-c.inFlight, 0), meanAtPeers)
}

// poissonBelow returns the probability that a Poisson distributed number is less than limit. It adds the terms from 0
// on and stops where further ones are too small to change the sum, so that its cost does not grow with the limit.
func poissonBelow(limit int, mean float64) float64 {
	probability := 0.0
	term := math.Exp(-mean)
	for k := range limit {
		sum := probability + term
		termsFall := float64(k) >= mean
		if !(term > 0) || termsFall && sum == probability {
			break
		}
		probability = sum
		term *= mean / float64(k+1)
	}
	return probability
}

// worthSending reports whether the expected value of sending a request outweighs the expected cost of exceeding the
// cap on requests in flight. withinCap is the probability that the customer is within the cap; at 0 the request is
// not sent.
func (c *customer) worthSending(withinCap, demand float64) bool {
	if withinCap == 0 {
		return false
	}
	return withinCap/2 >= (1-withinCap)*c.plan.OverQuotaCost*demand
}

// mayAskCounter reports whether the shared counter can decide on a request: the counter exists and calls of it are
// not suspended, the plan has a cap and the customer's requests also arrive at peers, and enough time is left until
// the deadline.
func (g *Gateway) mayAskCounter(r *request) bool {
	if !g.limits.SharedCounter || g.now < g.counterRetryAt {
		return false
	}
	capped := r.customer.plan.MaxInFlight > 0 && len(r.customer.subscriptions) > 0
	timeLeft := r.deadline.Sub(g.now)
	return capped && timeLeft > minCounterTimeoutsLeft*g.limits.CounterTimeout
}

// askCounter counts a request as in flight at the shared counter; counterReplied continues with the request. All
// gateways derive the same counter name from the customer and the current period. Each period uses a new counter
// that starts at zero, because requests in flight at a gateway that was killed are never subtracted.
func (g *Gateway) askCounter(r *request) {
	period := uint64(g.now / gateway.Time(counterPeriod))
	r.counterName = mix(uint64(r.customer.hash)<<32|period) >> 1
	g.callCounter(r.counterName, 1, r)
}

// callCounter adds an amount to a shared counter. r is the request that waits for the reply, or nil if none does.
func (g *Gateway) callCounter(name uint64, amount float64, r *request) {
	g.counterCalls[name] = append(g.counterCalls[name], r)
	g.actions.AddToCounter(name, amount, 2*counterPeriod)
}

// counterReplied continues with the request that waits for a reply of the shared counter. If the call failed, the
// estimate of withinCapProbability decides on the request.
func (g *Gateway) counterReplied(event *gateway.Event) {
	r, known := g.removeCounterCall(event.CounterName)
	if !known {
		return
	}
	g.recordCounterResult(event.Result)
	if r == nil || r.closed {
		return
	}
	withinCap := 0.0
	if event.Result != gateway.Succeeded {
		r.counterName = 0
		withinCap = r.customer.withinCapProbability(r.class)
	} else if event.CounterTotal <= float64(r.customer.plan.MaxInFlight) {
		withinCap = 1
	}
	g.refill(r.customer)
	g.admit(r, withinCap, false)
}

// removeCounterCall removes the oldest pending call of a shared counter. It returns the request that waits for its
// reply, or nil if none does. known is false if no call is pending.
func (g *Gateway) removeCounterCall(name uint64) (r *request, known bool) {
	calls := g.counterCalls[name]
	if len(calls) == 0 {
		return nil, false
	}
	g.counterCalls[name] = calls[1:]
	if len(calls) == 1 {
		delete(g.counterCalls, name)
	}
	return calls[0], true
}

// recordCounterResult suspends calls of the shared counter for counterBackoff after maxCounterFailures consecutive
// failures.
func (g *Gateway) recordCounterResult(result gateway.Result) {
	if result == gateway.Succeeded {
		g.counterFailures = 0
		return
	}
	g.counterFailures++
	if g.counterFailures >= maxCounterFailures {
		g.counterRetryAt = g.now.Add(counterBackoff)
	}
}
