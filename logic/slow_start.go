package logic

import "ravensill/gateway"

const (
	maxAllowance   = 1.5 // attempts that an endpoint that warms up may have saved up
	overloadMargin = 2   // divides the overload factor: where others fail, an endpoint gets up to its bound over this
)

// startOf returns an endpoint's start by this gateway's clock. The list tells it by the host's wall clock, and either clock may be
// off by an hour. So a start that is notified while this gateway runs counts from its notification, at which the endpoint is as old
// or older; by the clocks alone, a gateway whose clock is ahead would take every endpoint for warm. Of endpoints in the first list
// nothing else is known than what that says; a start to come counts as one of now.
func (s *endpointSet) startOf(announced, now gateway.Time) gateway.Time {
	if announced <= 0 { // long ago
		return announced
	}
	if s.listReceived {
		return now
	}
	return max(min(announced, now), 1)
}

// warmUpFraction is the fraction of its capacity that an endpoint surely has.
func (s *endpointSet) warmUpFraction(e *endpoint, now gateway.Time) float64 {
	age := now.Sub(e.startedAt)
	if e.startedAt <= 0 || age >= s.slowStart.Duration || s.slowStart.Duration <= 0 {
		return 1
	}
	initial := s.slowStart.InitialFraction
	return initial + (1-initial)*float64(max(age, 0))/float64(s.slowStart.Duration)
}

// countAttempt counts an attempt, which takes from the allowance of an endpoint that warms up. A request's first one lets the
// allowances grow. Retries don't: where the other endpoints fail each request brings several, and one that warms up would get as
// many times its fraction.
func (s *endpointSet) countAttempt(to *endpoint, class *class, retry bool, now gateway.Time) {
	s.inFlight++
	s.markContacted(to)
	if !retry {
		s.growAllowances(class, now)
	}
	to.allowance--
}

// growAllowances has the allowance of every endpoint that warms up grow by its fraction of the capacity of all that serve the
// class. Where most fail it is that of the subset, by the bound that an endpoint bears.
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
