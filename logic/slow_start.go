package logic

import "ravensill/gateway"

const (
	maxAllowance   = 1.5 // attempts that an endpoint in slow start may accumulate
	overloadMargin = 2   // divisor of the overload factor, as headroom when other endpoints fail
)

// localStart returns an endpoint's start by this gateway's clock, 0 or less if it was long ago. The list has the
// start by the host's wall clock, and either clock may be off by an hour: a gateway whose clock is ahead would take
// every endpoint for warm. So a start that is announced while this gateway runs counts from its announcement, which
// can only make the endpoint seem younger than it is. For endpoints of the first list, the announced time is all
// there is; a start in the future counts as now.
func (s *endpointSet) localStart(announced, now gateway.Time) gateway.Time {
	if announced <= 0 { // long ago
		return announced
	}
	if s.listReceived {
		return now
	}
	return max(min(announced, now), 1)
}

// warmUpFraction returns the fraction of its capacity that an endpoint has at least. It grows linearly from the
// initial fraction to 1 over the slow start duration.
func (s *endpointSet) warmUpFraction(e *endpoint, now gateway.Time) float64 {
	age := now.Sub(e.startedAt)
	if e.startedAt <= 0 || age >= s.slowStart.Duration || s.slowStart.Duration <= 0 {
		return 1
	}
	initial := s.slowStart.InitialFraction
	return initial + (1-initial)*float64(max(age, 0))/float64(s.slowStart.Duration)
}

// countAttempt counts an attempt as in flight and takes it from the target's slow start allowance. Only a request's
// first attempt lets the allowances grow: when other endpoints fail, each request makes several attempts, and an
// endpoint in slow start would get a multiple of its fraction.
func (s *endpointSet) countAttempt(target *endpoint, class *class, retry bool, now gateway.Time) {
	s.inFlight++
	s.recordContact(target)
	if !retry {
		s.growAllowances(class, now)
	}
	target.allowance--
}

// growAllowances adds to the allowance of every endpoint in slow start its fraction of the capacity that serves the
// class, for one request. Suspected endpoints don't count as capacity. If most endpoints fail, the capacity counts
// as at least that of the whole subset times overloadMargin over the overload factor, which bounds the allowances.
func (s *endpointSet) growAllowances(class *class, now gateway.Time) {
	servingCapacity := 0.0
	subsetCapacity := 0.0
	for _, e := range s.inUse {
		if e.state != gateway.Running || !e.InSubset {
			continue
		}
		fraction := s.warmUpFraction(e, now)
		subsetCapacity += fraction
		if e.healthFor(class).suspicion(now) < suspicionLimit {
			servingCapacity += fraction
		}
	}
	capacity := max(servingCapacity, subsetCapacity*overloadMargin/max(s.slowStart.OverloadFactor, 1), 1)
	for _, e := range s.inUse {
		if fraction := s.warmUpFraction(e, now); fraction < 1 && e.InSubset {
			e.allowance = min(e.allowance+fraction/capacity, maxAllowance)
		}
	}
}
