package concurrency

import (
	"math/rand/v2"
	"testing"
	"time"

	"ravensill/gateway"
)

const ms = time.Millisecond

// A limit below one allows a fraction of the attempts, one at a time; from two on, all that fit.
func TestLimitBelowOneIsAProbability(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 2))
	for _, c := range []struct {
		limit    float64
		from, to int // attempts allowed of 1000, with none in flight
	}{{0.05, 60, 130}, {0.5, 600, 800}, {2, 1000, 1000}} {
		limiter := Limiter{limit: c.limit}
		n := 0
		for range 1000 {
			if limiter.Allows(0, 1, rnd.Float64()) {
				n++
			}
		}
		if n < c.from || n > c.to {
			t.Errorf("limit %.2f: %d of 1000 allowed, want %d to %d", c.limit, n, c.from, c.to)
		}
		if limiter.Allows(1, 1, 0.99) && c.limit < 1 {
			t.Errorf("limit %.2f: a second attempt is allowed beside one in flight", c.limit)
		}
	}
}

// The limit is in proportion to the number of endpoints.
func TestLimitFollowsEndpoints(t *testing.T) {
	limiter := Limiter{InitialLimitPerEndpoint: 0.5}
	limiter.SetEndpoints(10)
	if limiter.Limit() != 5 {
		t.Errorf("start: %v, want 5", limiter.Limit())
	}
	limiter.SetEndpoints(20)
	if limiter.Limit() != 10 {
		t.Errorf("twice the endpoints: %v, want 10", limiter.Limit())
	}
	limiter.SetEndpoints(0)
	limiter.SetEndpoints(4)
	if limiter.Limit() != 2 {
		t.Errorf("none, then 4: %v, want the start of 4 endpoints, 2", limiter.Limit())
	}
}

// Answers that take most of their objective decrease the limit, once in each 0.35 of the objective.
func TestLateAnswersDecreaseOnceAnInterval(t *testing.T) {
	limiter := Limiter{InitialLimitPerEndpoint: 1}
	limiter.SetEndpoints(10)
	now := gateway.Time(0)
	for range 50 {
		now = now.Add(10 * ms)
		limiter.ObserveAnswer(900*ms, 1000*ms, now, 9, -1)
	}
	// 500 ms of late answers, at least 350 ms between decreases: one decrease of what the first answers raised it to.
	if l := limiter.Limit(); l < 10*decrease || l > 10.5*decrease {
		t.Errorf("limit %.2f after 0.5 s of late answers, want one decrease of 10 to 10.5", l)
	}
	for range 40 {
		now = now.Add(10 * ms)
		limiter.ObserveAnswer(900*ms, 1000*ms, now, 9, -1)
	}
	if l := limiter.Limit(); l < 10*decrease*decrease || l > 10.5*decrease*decrease {
		t.Errorf("limit %.2f after 0.9 s of late answers, want two decreases", l)
	}
	if limiter.Lateness() <= MaxLateness {
		t.Errorf("lateness %.2f, want over %.2f", limiter.Lateness(), MaxLateness)
	}
}

// Few attempts in flight and early answers raise the limit slowly. Where endpoints report capacity, the limit
// must use it at once, up to the utilization objective.
func TestLowUtilizationRaisesLimit(t *testing.T) {
	limitAt := func(utilization float64) float64 {
		limiter := Limiter{InitialLimitPerEndpoint: 6.0 / 60}
		limiter.SetEndpoints(40) // 4 attempts to start with
		for k := range 24 {
			limiter.ObserveAnswer(300*ms, 2000*ms, gateway.Time(k)*gateway.Time(40*ms), 4, utilization)
		}
		return limiter.Limit()
	}
	if l := limitAt(-1); l > 5.5 {
		t.Errorf("no reports: limit %.2f, want the slow growth by lateness alone", l)
	}
	if l := limitAt(0.33); l < 0.95*4*UtilizationObjective/0.33 {
		t.Errorf("endpoints a third busy: limit %.2f, want about %.1f", l, 4*UtilizationObjective/0.33)
	}
	if l := limitAt(0.95); l > 5.5 {
		t.Errorf("endpoints above the objective: limit %.2f, want the growth by lateness alone", l)
	}
}

func BenchmarkObserveAnswer(b *testing.B) {
	limiter := Limiter{InitialLimitPerEndpoint: 0.1}
	limiter.SetEndpoints(100)
	for now := gateway.Time(0); b.Loop(); now = now.Add(ms) {
		limiter.ObserveAnswer(300*ms, 2000*ms, now, 4, 0.5)
		limiter.Allows(4, 1, 0.5)
	}
}
