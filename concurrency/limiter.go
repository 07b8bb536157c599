// Package concurrency limits the attempts that one gateway has in flight, so that endpoints can answer them within
// the latency objective. The limit follows the lateness of answers by additive increase and multiplicative decrease
// (AIMD; Chiu and Jain, 1989). Where endpoints report a low utilization, it also rises at once to what they have
// capacity for.
package concurrency

import (
	"time"

	"ravensill/gateway"
)

const (
	// MaxLateness is the mean fraction of the latency objective that answers may take before the limit is
	// decreased.
	MaxLateness          = 0.35
	UtilizationObjective = 0.85 // reported utilization up to which the limit rises at once

	increaseFraction = 0.05 // increase per round trip at the limit, as a fraction of the initial limit
	decreaseFactor   = 0.85 // multiplicative decrease, at most once in MaxLateness of the latency objective
	minLimit         = 0.05 // lower bound of the limit in attempts, and of the utilization as a divisor

	maxLatenessWindow = 16       // answers over which the mean lateness is taken; fewer under a low limit
	utilizationWeight = 1.0 / 8  // weight of a report in the mean utilization
	inFlightWeight    = 1.0 / 16 // weight of an answer in the mean number in flight
)

// Limiter is the limit on attempts in flight of one gateway. Set InitialLimitPerEndpoint, then call SetEndpoints.
// It is not safe for concurrent use.
type Limiter struct {
	InitialLimitPerEndpoint float64 // attempts that each endpoint adds to the limit at first

	endpoints        int          // number of endpoints
	limit            float64      // current limit in attempts
	lateness         float64      // moving average of the fraction of the latency objective that answers take
	meanInFlight     float64      // moving average of the attempts in flight when answers arrive
	utilization      float64      // moving average of the reports
	utilizationKnown bool         // whether any report was received
	lastDecrease     gateway.Time // time of the latest decrease
}

// SetEndpoints sets the number of endpoints. The limit changes in proportion. If there were none before, it starts
// again at InitialLimitPerEndpoint for each.
func (l *Limiter) SetEndpoints(count int) {
	if l.endpoints == 0 {
		l.limit = l.InitialLimitPerEndpoint * float64(count)
	} else {
		l.limit *= float64(count) / float64(l.endpoints)
	}
	l.endpoints = count
}

// Allows reports whether one more attempt may start beside those in flight, within a fraction of the limit. random
// is a random number from 0 to 1. It makes a limit below 1 a probability, and smooths bursts of requests under a
// higher limit. If fraction is NaN, every attempt is allowed.
func (l *Limiter) Allows(inFlight int, fraction, random float64) bool {
	limit := l.limit * fraction
	exceeded := float64(inFlight+1) > limit+random*(1+min(limit, 1))
	return !exceeded
}

// ObserveAnswer updates the limit by the latency of an answer, the latency objective of its class, the attempts in
// flight, and the utilization from 0 to 1 that the endpoint reported with the answer, negative for none.
func (l *Limiter) ObserveAnswer(latency, objective time.Duration, now gateway.Time, inFlight int, utilization float64) {
	relative := min(float64(latency)/float64(objective), 1)
	l.lateness += (relative - l.lateness) / min(2+l.limit, maxLatenessWindow)
	if utilization >= 0 {
		l.observeUtilization(min(utilization, 1), inFlight)
	}
	l.meanInFlight += (float64(inFlight) - l.meanInFlight) * inFlightWeight
	if l.lateness > MaxLateness {
		l.decreaseOnce(now, time.Duration(MaxLateness*float64(objective)))
		return
	}
	if float64(inFlight+2) > l.limit {
		l.limit += min(l.limit, increaseFraction*l.InitialLimitPerEndpoint*float64(l.endpoints)/l.limit)
	}
	if l.utilizationKnown && l.utilization < UtilizationObjective {
		l.limit = max(l.limit, l.meanInFlight*UtilizationObjective/max(l.utilization, minLimit))
	}
}

// observeUtilization updates the moving average of the utilization by a report. The first report also sets both it
// and meanInFlight, for want of earlier ones.
func (l *Limiter) observeUtilization(utilization float64, inFlight int) {
	if !l.utilizationKnown {
		l.utilizationKnown = true
		l.utilization = utilization
		l.meanInFlight = float64(inFlight)
	}
	l.utilization += (utilization - l.utilization) * utilizationWeight
}

// decreaseOnce decreases the limit unless it was decreased within the last interval.
func (l *Limiter) decreaseOnce(now gateway.Time, interval time.Duration) {
	if now.Sub(l.lastDecrease) < interval {
		return
	}
	l.limit = max(minLimit, l.limit*decreaseFactor)
	l.lastDecrease = now
}

// Limit returns the current limit in attempts.
func (l *Limiter) Limit() float64 { return l.limit }

// Lateness returns the moving average of the fraction of the latency objective that answers take, each at most 1.
func (l *Limiter) Lateness() float64 { return l.lateness }
