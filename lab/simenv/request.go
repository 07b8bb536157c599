package simenv

import (
	"math"
	"slices"
	"time"

	"ravensill/counterfactual"
)

// scheduleRequest draws the next request and schedules it; each request schedules the one after it.
func (e *Simulation) scheduleRequest(number uint64) {
	config := &e.config
	seconds := float64(e.now.Sub(simulatedStart)) / float64(time.Second)
	rate := config.RequestRate
	if config.SwingAmplitude > 0 {
		rate *= 1 + config.SwingAmplitude*math.Sin(2*math.Pi*seconds/config.SwingPeriod.Seconds())
	}
	next := e.now.Add(time.Duration(e.random.ExpFloat64() / rate * 1e9))
	if next >= simulatedStart.Add(config.Duration) {
		return
	}
	draw := e.random.Float64() * e.cumulativeRates[len(e.cumulativeRates)-1]
	customer, _ := slices.BinarySearch(e.cumulativeRates, draw)
	gatewaysOfCustomer := max(min(config.GatewaysPerCustomer, config.Gateways), 1)
	first := int(hashMix(uint64(customer)+config.Seed) % uint64(config.Gateways))
	gateway := e.gateways[(first+e.random.IntN(gatewaysOfCustomer))%config.Gateways]
	class := e.random.IntN(len(config.Objectives))
	e.at(next, func() {
		e.route(gateway, number, customer, class)
		e.scheduleRequest(number + 1)
	})
}

// attempt is one request sent to a host.
type attempt struct {
	gateway    *gatewayModel
	request    uint64
	customer   int
	class      int
	objective  float64 // ms
	candidates []counterfactual.Candidate
	hosts      []*Host   // by candidate
	times      []float64 // by candidate, ms: what each host would have taken; +Inf: it fails
	outcomes   []func()  // record the ground truth of this attempt
}

// route sends a request to a host.
func (e *Simulation) route(gateway *gatewayModel, request uint64, customer, class int) {
	if gateway.stopped {
		return
	}
	candidates, hosts := e.candidateSet(gateway, customer)
	if candidates == nil {
		return
	}
	a := &attempt{
		gateway:    gateway,
		request:    request,
		customer:   customer,
		class:      class,
		objective:  float64(e.config.Objectives[class]) / 1e6,
		candidates: candidates,
		hosts:      hosts,
	}
	for _, host := range hosts {
		a.times = append(a.times, e.responseTime(gateway, host, request, customer, class))
	}
	e.collectOutcomes(a)
	e.applyRule(a)
	a.outcomes = append(a.outcomes, func() { e.recordOutcome(outcomeKey{ruleInForce, class, 0}, a.times[0], 1) })
	e.start(a)
}

// collectOutcomes collects the response times that this attempt would have by each rule, under the present load.
func (e *Simulation) collectOutcomes(a *attempt) {
	add := func(rule counterfactual.Rule, host uint32) {
		for i, share := range RuleShares(rule, a.candidates, host) {
			if share > 0 {
				responseTime := a.times[i]
				a.outcomes = append(a.outcomes, func() {
					e.recordOutcome(outcomeKey{rule, a.class, host}, responseTime, share)
				})
			}
		}
	}
	for rule := counterfactual.Logged; rule < counterfactual.OneHost; rule++ {
		add(rule, 0)
	}
	for i := range a.candidates {
		add(counterfactual.OneHost, a.candidates[i].Host)
	}
}

// applyRule lets Config.Rule choose in place of the gateway for its share of the attempts.
func (e *Simulation) applyRule(a *attempt) {
	if e.config.ReplacementShare <= 0 || uniform(e.config.Seed, a.request, 31) >= e.config.ReplacementShare {
		return
	}
	draw := uniform(e.config.Seed, a.request, 32)
	for i, share := range RuleShares(e.config.ReplacementRule, a.candidates, 0) {
		draw -= share
		if draw < 0 {
			a.candidates[0], a.candidates[i] = a.candidates[i], a.candidates[0]
			a.hosts[0], a.hosts[i] = a.hosts[i], a.hosts[0]
			a.times[0], a.times[i] = a.times[i], a.times[0]
			return
		}
	}
}

// start begins the attempt at the first candidate and schedules its end.
func (e *Simulation) start(a *attempt) {
	host := a.hosts[0]
	latency, end := e.observed(a)
	host.inFlight++
	a.gateway.inFlight[host.ID]++
	incarnation := a.gateway.incarnation
	busy := milliseconds(workTime(a.times[0], a.objective))
	e.after(busy, func() { host.inFlight-- }) // the host goes on after the gateway has given up
	e.after(milliseconds(latency), func() {
		if a.gateway.incarnation != incarnation || a.gateway.stopped {
			e.LostRecords++ // with the gateway
		} else {
			e.finish(a, latency, end)
		}
		for _, record := range a.outcomes {
			record()
		}
	})
}

// observed returns the attempt's latency at the gateway, in ms, and how it ends there.
func (e *Simulation) observed(a *attempt) (latency float64, end counterfactual.Outcome) {
	latency = a.times[0]
	leave := uniform(e.config.Seed, a.request, 41) * a.objective
	leaves := uniform(e.config.Seed, a.request, 40) < e.config.ClientLeaveRate
	switch {
	case math.IsInf(latency, 1):
		return 1, counterfactual.Failed
	case leaves && leave < latency:
		return leave, counterfactual.Censored
	case latency > a.objective:
		return a.objective, counterfactual.Censored
	}
	return latency, counterfactual.Answered
}

// finish ends an attempt at its gateway and hands its record to the folder.
func (e *Simulation) finish(a *attempt, latency float64, end counterfactual.Outcome) {
	host := a.hosts[0]
	a.gateway.inFlight[host.ID]--
	if end != counterfactual.Failed {
		a.gateway.learn(host, a.class, latency)
	}
	a.gateway.folder.Add(&counterfactual.Record{
		Class:      a.class,
		Customer:   uint32(hashMix(uint64(a.customer) + 3)),
		Candidates: a.candidates,
		Latency:    milliseconds(latency),
		End:        end,
	})
}

// responseTime returns how long a host would take for an attempt with its current load, in ms; +Inf if it fails.
func (e *Simulation) responseTime(gateway *gatewayModel, host *Host, request uint64, customer, class int) float64 {
	seed := e.config.Seed
	if uniform(seed, request, uint64(host.ID), 77) < host.FailureRate {
		return math.Inf(1)
	}
	size := math.Exp(e.config.CustomerSigma * gaussian(seed, uint64(customer), 5))
	loadFactor := 1 + math.Pow(float64(host.inFlight)/host.LoadScale, host.LoadExponent)
	noise := math.Exp(host.Sigma * gaussian(seed, request, uint64(host.ID)))
	result := e.config.WorkFactors[class] * host.BaseTime * size * loadFactor * noise
	if host.Zone != gateway.zone {
		result += e.config.CrossZoneDelay
	}
	return result
}

// workTime returns how long a host works on an attempt, in ms: briefly on one that fails, and never longer than three
// times the latency objective.
func workTime(responseTime, objective float64) float64 {
	if math.IsInf(responseTime, 1) {
		return 1
	}
	return min(responseTime, 3*objective)
}
