// Package concurrency limits the attempts that one gateway has in flight, so that they can be answered in time.
// The limit follows the lateness of answers by additive increase and multiplicative decrease (AIMD; Chiu and
// Jain, 1989), and rises at once where endpoints report that they have capacity left.
package concurrency

import (
	"time"

	"ravensill/gateway"
)

const (
	// mean fraction of the latency objective that answers may take before the limit is decreased
	MaxLateness          = 0.35
	UtilizationObjective = 0.85 // utilization that the limit lets the fleet reach where endpoints report it

	increase = 0.05 // fraction of its start by which the limit grows in a round trip while it is reached
	decrease = 0.85 // factor of the limit, applied once in as long as answers may take
	minLimit = 0.05 // attempts; a utilization below it counts as this much

	maxLatenessWindow = 16       // answers over which the mean lateness is taken, at most
	utilizationWeight = 1.0 / 8  // of a report in the mean utilization
	inFlightWeight    = 1.0 / 16 // of an answer in the mean number in flight
)

// Limiter is the limit of one gateway. Set Start, what an endpoint adds to it at first, then call SetEndpoints.
type Limiter struct {
	InitialLimitPerEndpoint float64 // attempts

	endpoints        int
	limit            float64 // attempts
	lateness         float64 // mean fraction of the latency objective that answers take
	meanInFlight     float64 // attempts, as seen by answers
	utilization      float64 // mean of the reports
	utilizationKnown bool
	lastDecrease     gateway.Time
}

// SetEndpoints sets the number of endpoints. The limit changes in proportion.
func (l *Limiter) SetEndpoints(count int) {
	if l.endpoints == 0 {
		l.limit = l.InitialLimitPerEndpoint * float64(count)
	} else {
		l.limit *= float64(count) / float64(l.endpoints)
	}
	l.endpoints = count
}

// Allows reports whether one more attempt may start beside those in flight, within a fraction of the limit.
// random is a random number from 0 to 1: a limit below one is a probability, and above that it smooths bursts
// of requests. A fraction that is not a number limits nothing.
func (l *Limiter) Allows(inFlight int, fraction, random float64) bool {
	limit := l.limit * fraction
	exceeded := float64(inFlight+1) > limit+random*(1+min(limit, 1))
	return !exceeded
}

// ObserveAnswer updates the limit by the latency of an answer, the latency objective of its class, and the
// utilization that the endpoint reported with it, negative for none.
func (l *Limiter) ObserveAnswer(latency, objective time.Duration, now gateway.Time, inFlight int, utilization float64) {
	late := min(float64(latency)/float64(objective), 1)
	l.lateness += (late - l.lateness) / min(2+l.limit, maxLatenessWindow)
	if utilization >= 0 {
		l.observeUtilization(min(utilization, 1), inFlight)
	}
	l.meanInFlight += (float64(inFlight) - l.meanInFlight) * inFlightWeight
	if l.lateness > MaxLateness {
		l.decreaseOnce(now, time.Duration(MaxLateness*float64(objective)))
		return
	}
	if float64(inFlight+2) > l.limit {
		l.limit += min(l.limit, increase*l.InitialLimitPerEndpoint*float64(l.endpoints)/l.limit)
	}
	if l.utilizationKnown && l.utilization < UtilizationObjective {
		l.limit = max(l.limit, l.meanInFlight*UtilizationObjective/max(l.utilization, minLimit))
	}
}

// observeUtilization records a report. The first one stands for the time before it.
func (l *Limiter) observeUtilization(utilization float64, inFlight int) {
	if !l.utilizationKnown {
		l.utilizationKnown = true
		l.utilization = utilization
		l.meanInFlight = float64(inFlight)
	}
	l.utilization += (utilization - l.utilization) * utilizationWeight
}

// decreaseOnce decreases the limit at most once in an interval.
func (l *Limiter) decreaseOnce(now gateway.Time, interval time.Duration) {
	if now.Sub(l.lastDecrease) < interval {
		return
	}
	l.limit = max(minLimit, l.limit*decrease)
	l.lastDecrease = now
}

// Limit returns the limit in attempts.
func (l *Limiter) Limit() float64 { return l.limit }

// Lateness returns the mean fraction of the latency objective that answers take.
func (l *Limiter) Lateness() float64 { return l.lateness }
