package logic

import (
	"math"
	"time"

	"ravensill/gateway"
)

const (
	counterSpan         = 5 * time.Second // time that one name at the shared counter covers
	counterRetryDelay   = time.Second     // without calls after maxCounterFailures
	maxCounterFailures  = 4               // in a row
	counterTimeoutsLeft = 2               // left to the client at least, for a call to be made
)

// withinCapProbability returns the probability that the customer is within its cap on requests in flight. The
// number that peers have in flight is taken as Poisson distributed, with its mean by Little's law.
func (c *customer) withinCapProbability(class *class) float64 {
	if c.plan.MaxInFlight == 0 {
		return 1
	}
	elsewhere := c.peerRate / class.typicalUnits * class.typicalLatency / float64(time.Second)
	probability := 0.0
	term := math.Exp(-elsewhere)
	for k := range max(c.plan.MaxInFlight-c.inFlight, 0) {
		probability += term
		term *= elsewhere / float64(k+1)
	}
	return probability
}

// mayExceedCap reports whether a request is worth sending at a probability to be within the cap. A request that
// surely exceeds it is not.
func (c *customer) mayExceedCap(withinCap, demand float64) bool {
	if withinCap == 0 {
		return false
	}
	return withinCap/2 >= (1-withinCap)*c.plan.OverQuotaCost*demand
}

// mayAskCounter reports whether the shared counter can be asked if a request is within the cap: there is one,
// it answers, and the client still waits then.
func (g *Gateway) mayAskCounter(r *request) bool {
	if !g.limits.SharedCounter || g.now < g.counterRetry {
		return false
	}
	capped := r.customer.plan.MaxInFlight > 0 && len(r.customer.subscriptions) > 0
	timeLeft := r.deadline.Sub(g.now)
	return capped && timeLeft > counterTimeoutsLeft*g.limits.CounterTimeout
}

// askCounter counts a request as in flight at the shared counter; counterReplied continues with it. The
// counter's name follows from the customer and the current span of time, alike on all gateways. Each span
// starts from zero, or requests in flight at a killed gateway would count forever.
func (g *Gateway) askCounter(r *request) {
	span := uint64(g.now / gateway.Time(counterSpan))
	r.counterName = mix(uint64(r.customer.hash)<<32|span) >> 1
	g.callCounter(r.counterName, 1, r)
}

// callCounter adds to a number of requests in flight. r, if not nil, waits for the answer.
func (g *Gateway) callCounter(name uint64, amount float64, r *request) {
	g.counterCalls[name] = append(g.counterCalls[name], r)
	g.actions.AddToCounter(name, amount, 2*counterSpan)
}

// counterReplied continues with the request that waits for an answer of the counter. Without an answer the
// estimate decides.
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

// removeCounterCall removes the first call of a counter that has no answer yet. It returns the request that
// waits for it, nil for none.
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

// recordCounterResult suspends calls of the counter for a while after several failures in a row.
func (g *Gateway) recordCounterResult(result gateway.Result) {
	if result == gateway.Succeeded {
		g.counterFailures = 0
		return
	}
	g.counterFailures++
	if g.counterFailures >= maxCounterFailures {
		g.counterRetry = g.now.Add(counterRetryDelay)
	}
}
