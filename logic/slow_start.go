package logic

import "ravensill/gateway"

const (
	maxAllowance   = 1.5 // attempts that an endpoint that warms up may save up
	overloadMargin = 2   // divides the overload factor, as headroom where other endpoints fail
)

// startOf returns an endpoint's start by this gateway's clock. The list has the start by the host's wall clock,
// and either clock may be off by an hour. So a start that is announced while this gateway runs counts from its
// announcement, at which the endpoint is that old or older: by the clocks alone, a gateway whose clock is ahead
// would take every endpoint for warm. For endpoints of the first list there is only the announced time; a start
// in the future counts as one now.
func (s *endpointSet) startOf(announced, now gateway.Time) gateway.Time {
	if announced <= 0 { // long ago
		return announced
	}
	if s.listReceived {
		return now
	}
	return max(min(announced, now), 1)
}

// warmUpFraction returns the fraction of its capacity that an endpoint has at least.
func (s *endpointSet) warmUpFraction(e *endpoint, now gateway.Time) float64 {
	age := now.Sub(e.startedAt)
	if e.startedAt <= 0 || age >= s.slowStart.Duration || s.slowStart.Duration <= 0 {
		return 1
	}
	initial := s.slowStart.InitialFraction
	return initial + (1-initial)*float64(max(age, 0))/float64(s.slowStart.Duration)
}

// countAttempt counts an attempt against the allowance of an endpoint that warms up. A request's first attempt
// lets the allowances grow. Retries don't: where other endpoints fail, each request makes several, and an
// endpoint that warms up would get a multiple of its fraction.
func (s *endpointSet) countAttempt(to *endpoint, class *class, retry bool, now gateway.Time) {
	s.inFlight++
	s.recordContact(to)
	if !retry {
		s.growAllowances(class, now)
	}
	to.allowance--
}

// growAllowances adds to the allowance of every endpoint that warms up, in proportion to its part of the
// capacity that serves the class. If most endpoints fail, the bound is the capacity of the whole subset over
// the overload margin.
func (s *endpointSet) growAllowances(class *class, now gateway.Time) {
	serving := 0.0
	subset := 0.0
	for _, e := range s.nearby {
		if e.state != gateway.Running || !e.InSubset {
			continue
		}
		warm := s.warmUpFraction(e, now)
		subset += warm
		if e.healthFor(class).suspicion(now) < suspicionLimit {
			serving += warm
		}
	}
	capacity := max(serving, subset*overloadMargin/max(s.slowStart.OverloadFactor, 1), 1)
	for _, e := range s.nearby {
		if warm := s.warmUpFraction(e, now); warm < 1 && e.InSubset {
			e.allowance = min(e.allowance+warm/capacity, maxAllowance)
		}
	}
}
