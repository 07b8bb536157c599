package logic

import (
	"math"
	"time"

	"ravensill/gateway"
)

const (
	counterSpan         = 5 * time.Second // a number at the shared counter covers so long
	counterRetryDelay   = time.Second     // in which the counter is not asked after maxCounterFailures
	maxCounterFailures  = 4               // in a row
	counterTimeoutsLeft = 2               // that a client must still wait for when the counter is asked
)

// withinCapProbability is the probability that the customer keeps to its cap on requests in flight: peers have a random number in
// flight, Poisson by what they admit (Little's law for the mean).
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

// worthOverCap reports whether a request is worth sending at a probability to be within the cap. One that is surely beyond it is
// not; the customer may come back.
func (c *customer) worthOverCap(withinCap, demand float64) bool {
	if withinCap == 0 {
		return false
	}
	return withinCap/2 >= (1-withinCap)*c.plan.OverQuotaCost*demand
}

// mayAskCounter reports whether the shared counter can be asked whether a request is within the cap: it answers, and the client
// will still be there.
func (g *Gateway) mayAskCounter(r *request) bool {
	capped := r.customer.plan.MaxInFlight > 0 && len(r.customer.subscriptions) > 0
	timeLeft := r.deadline.Sub(g.now)
	return g.limits.SharedCounter && capped && g.now >= g.counterRetry && timeLeft > counterTimeoutsLeft*g.limits.CounterTimeout
}

// askCounter counts a request as in flight at the shared counter; counterReplied goes on with it. All gateways' clocks give a
// customer's number one name for a span. The next span counts anew, or what a killed gateway had in flight would stay.
func (g *Gateway) askCounter(r *request) {
	span := uint64(g.now / gateway.Time(counterSpan))
	r.counterName = mix(uint64(r.customer.hash)<<32|span) >> 1
	g.callCounter(r.counterName, 1, r)
}

// callCounter adds to a number of requests in flight, and may leave a request to wait for the answer.
func (g *Gateway) callCounter(name uint64, amount float64, r *request) {
	g.counterCalls[name] = append(g.counterCalls[name], r)
	g.actions.AddToCounter(name, amount, 2*counterSpan)
}

// counterReplied takes in an answer of the counter, or that there is none: then the estimate decides.
func (g *Gateway) counterReplied(event *gateway.Event) {
	r, known := g.takeCounterCall(event.CounterName)
	if !known {
		return
	}
	g.noteCounterResult(event.Result)
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

// takeCounterCall removes the first call of a name that has no answer yet, and returns the request that waits for it, nil for none.
func (g *Gateway) takeCounterCall(name uint64) (r *request, known bool) {
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

// noteCounterResult has the counter left alone for a while after several failures in a row.
func (g *Gateway) noteCounterResult(result gateway.Result) {
	if result == gateway.Succeeded {
		g.counterFailures = 0
		return
	}
	g.counterFailures++
	if g.counterFailures >= maxCounterFailures {
		g.counterRetry = g.now.Add(counterRetryDelay)
	}
}
