package simenv

import (
	"math"
	"slices"
	"time"

	"ravensill/counterfactual"
)

// scheduleRequest draws the time, customer, gateway and class of the next request and schedules it. When the request
// arrives it schedules the one after it, until the run has ended.
func (s *Simulation) scheduleRequest(number uint64) {
	config := &s.config
	seconds := float64(s.now.Sub(simulatedStart)) / float64(time.Second)
	rate := config.RequestRate
	if config.SwingAmplitude > 0 {
		rate *= 1 + config.SwingAmplitude*math.Sin(2*math.Pi*seconds/config.SwingPeriod.Seconds())
	}
	next := s.now.Add(time.Duration(s.random.ExpFloat64() / rate * 1e9))
	if next >= simulatedStart.Add(config.Duration) {
		return
	}
	draw := s.random.Float64() * s.cumulativeRates[len(s.cumulativeRates)-1]
	customer, _ := slices.BinarySearch(s.cumulativeRates, draw)
	gatewaysOfCustomer := max(min(config.GatewaysPerCustomer, config.Gateways), 1)
	first := int(hashMix(uint64(customer)+config.Seed) % uint64(config.Gateways))
	gateway := s.gateways[(first+s.random.IntN(gatewaysOfCustomer))%config.Gateways]
	class := s.random.IntN(len(config.Objectives))
	s.at(next, func() {
		s.route(gateway, number, customer, class)
		s.scheduleRequest(number + 1)
	})
}

// attempt is one request sent to a host.
type attempt struct {
	gateway        *gatewayModel
	request        uint64
	customer       int
	class          int
	objective      float64 // latency objective, ms
	candidates     []counterfactual.Candidate
	hosts          []*Host   // by candidate
	responseTimes  []float64 // by candidate: time in ms that the host would take; +Inf: it fails
	recordOutcomes []func()  // called at the attempt's end to record its ground truth
}

// route sends a request that arrives at a gateway to a host. It is dropped if the gateway is stopped or no host is
// eligible.
func (s *Simulation) route(gateway *gatewayModel, request uint64, customer, class int) {
	if gateway.stopped {
		return
	}
	candidates, hosts := s.rankCandidates(gateway, customer)
	if candidates == nil {
		return
	}
	a := &attempt{
		gateway:    gateway,
		request:    request,
		customer:   customer,
		class:      class,
		objective:  float64(s.config.Objectives[class]) / 1e6,
		candidates: candidates,
		hosts:      hosts,
	}
	for _, host := range hosts {
		a.responseTimes = append(a.responseTimes, s.responseTime(gateway, host, request, customer, class))
	}
	s.collectOutcomes(a)
	s.applyReplacementRule(a)
	a.recordOutcomes = append(a.recordOutcomes, func() {
		s.recordOutcome(outcomeKey{actualRule, class, 0}, a.responseTimes[0], 1)
	})
	s.startAttempt(a)
}

// collectOutcomes appends to a.recordOutcomes, for each rule and each single host, the response times that the attempt
// would have had under the hosts' current load, weighted by the share of the attempt that each candidate gets.
func (s *Simulation) collectOutcomes(a *attempt) {
	add := func(rule counterfactual.Rule, host uint32) {
		for i, share := range RuleShares(rule, a.candidates, host) {
			if share > 0 {
				responseTime := a.responseTimes[i]
				a.recordOutcomes = append(a.recordOutcomes, func() {
					s.recordOutcome(outcomeKey{rule, a.class, host}, responseTime, share)
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

// applyReplacementRule moves the candidate that Config.ReplacementRule chooses to the front, for
// Config.ReplacementShare of the attempts.
func (s *Simulation) applyReplacementRule(a *attempt) {
	if s.config.ReplacementShare <= 0 || uniform(s.config.Seed, a.request, 31) >= s.config.ReplacementShare {
		return
	}
	draw := uniform(s.config.Seed, a.request, 32)
	for i, share := range RuleShares(s.config.ReplacementRule, a.candidates, 0) {
		draw -= share
		if draw < 0 {
			a.candidates[0], a.candidates[i] = a.candidates[i], a.candidates[0]
			a.hosts[0], a.hosts[i] = a.hosts[i], a.hosts[0]
			a.responseTimes[0], a.responseTimes[i] = a.responseTimes[i], a.responseTimes[0]
			return
		}
	}
}

// startAttempt begins an attempt at the first candidate and schedules its end, at the gateway and at the host.
func (s *Simulation) startAttempt(a *attempt) {
	host := a.hosts[0]
	latency, end := s.observedEnd(a)
	host.inFlight++
	a.gateway.inFlight[host.ID]++
	incarnation := a.gateway.incarnation
	busy := milliseconds(workTime(a.responseTimes[0], a.objective))
	s.after(busy, func() { host.inFlight-- }) // the host goes on working after the gateway has given up
	s.after(milliseconds(latency), func() {
		if a.gateway.incarnation != incarnation || a.gateway.stopped {
			s.LostRecords++ // the record is lost with the gateway that held it
		} else {
			s.finishAttempt(a, latency, end)
		}
		for _, record := range a.recordOutcomes {
			record()
		}
	})
}

// observedEnd returns the attempt's latency as the gateway sees it, in ms, and how it ends there: the gateway gives up
// at the latency objective, and the client may disconnect before.
func (s *Simulation) observedEnd(a *attempt) (latency float64, end counterfactual.Outcome) {
	latency = a.responseTimes[0]
	leaveAfter := uniform(s.config.Seed, a.request, 41) * a.objective
	clientLeaves := uniform(s.config.Seed, a.request, 40) < s.config.ClientLeaveRate
	switch {
	case math.IsInf(latency, 1):
		return 1, counterfactual.Failed
	case clientLeaves && leaveAfter < latency:
		return leaveAfter, counterfactual.Censored
	case latency > a.objective:
		return a.objective, counterfactual.Censored
	}
	return latency, counterfactual.Answered
}

// finishAttempt ends an attempt at its gateway and adds its record to the gateway's summarizer.
func (s *Simulation) finishAttempt(a *attempt, latency float64, end counterfactual.Outcome) {
	host := a.hosts[0]
	a.gateway.inFlight[host.ID]--
	if end != counterfactual.Failed {
		a.gateway.updateEstimates(host, a.class, latency)
	}
	a.gateway.summarizer.Add(&counterfactual.Record{
		Class:      a.class,
		Customer:   uint32(hashMix(uint64(a.customer) + 3)),
		Candidates: a.candidates,
		Latency:    milliseconds(latency),
		End:        end,
	})
}

// responseTime returns how long a host would take for an attempt under its current load, in ms; +Inf if the attempt
// fails.
func (s *Simulation) responseTime(gateway *gatewayModel, host *Host, request uint64, customer, class int) float64 {
	seed := s.config.Seed
	if uniform(seed, request, uint64(host.ID), 77) < host.FailureRate {
		return math.Inf(1)
	}
	size := math.Exp(s.config.CustomerSigma * gaussian(seed, uint64(customer), 5))
	loadFactor := 1 + math.Pow(float64(host.inFlight)/host.LoadScale, host.LoadExponent)
	noise := math.Exp(host.Sigma * gaussian(seed, request, uint64(host.ID)))
	result := s.config.WorkFactors[class] * host.BaseTime * size * loadFactor * noise
	if host.Zone != gateway.zone {
		result += s.config.CrossZoneDelay
	}
	return result
}

// workTime returns how long a host works on an attempt, in ms: 1 ms on one that fails, and at most three times the
// latency objective on any other.
func workTime(responseTime, objective float64) float64 {
	if math.IsInf(responseTime, 1) {
		return 1
	}
	return min(responseTime, 3*objective)
}
