package concurrency

import (
	"math/rand/v2"
	"testing"
	"time"

	"ravensill/gateway"
)

const ms = time.Millisecond

// TestLimitBelowOneIsAProbability: under one, the bound lets some dispatches go, one at a time; from two on, all
// that fit.
func TestLimitBelowOneIsAProbability(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 2))
	for _, c := range []struct {
		bound    float64
		from, to int // of 1000 tries with nothing out
	}{{0.05, 60, 130}, {0.5, 600, 800}, {2, 1000, 1000}} {
		o := Limiter{limit: c.bound}
		n := 0
		for range 1000 {
			if o.Allows(0, 1, rnd.Float64()) {
				n++
			}
		}
		if n < c.from || n > c.to {
			t.Errorf("bound %.2f: %d of 1000 went, want %d to %d", c.bound, n, c.from, c.to)
		}
		if o.Allows(1, 1, 0.99) && c.bound < 1 {
			t.Errorf("bound %.2f: a second one went beside one out", c.bound)
		}
	}
}

func TestLimitFollowsEndpoints(t *testing.T) {
	o := Limiter{Start: 0.5}
	o.SetEndpoints(10)
	if o.Limit() != 5 {
		t.Errorf("start: %v, want 5", o.Limit())
	}
	o.SetEndpoints(20)
	if o.Limit() != 10 {
		t.Errorf("twice the hosts: %v, want 10", o.Limit())
	}
	o.SetEndpoints(0)
	o.SetEndpoints(4)
	if o.Limit() != 2 {
		t.Errorf("none, then 4: %v, want the start of 4 hosts, 2", o.Limit())
	}
}

// TestLateAnswersDecreaseOnceAnInterval: answers that take most of their target cut the bound, once in each 0.35
// of the target.
func TestLateAnswersDecreaseOnceAnInterval(t *testing.T) {
	o := Limiter{Start: 1}
	o.SetEndpoints(10)
	now := gateway.Time(0)
	for range 50 {
		now = now.Add(10 * ms)
		o.ObserveAnswer(900*ms, 1000*ms, now, 9, -1)
	}
	// 500 ms of late answers, cuts 350 ms apart at least: one cut of what the first answers grew it to.
	if l := o.Limit(); l < 10*decrease || l > 10.5*decrease {
		t.Errorf("bound %.2f after 0.5 s of late answers, want one cut of 10 to 10.5", l)
	}
	for range 40 {
		now = now.Add(10 * ms)
		o.ObserveAnswer(900*ms, 1000*ms, now, 9, -1)
	}
	if l := o.Limit(); l < 10*decrease*decrease || l > 10.5*decrease*decrease {
		t.Errorf("bound %.2f after 0.9 s of late answers, want two cuts", l)
	}
	if o.Lateness() <= MaxLateness {
		t.Errorf("late %.2f, want over %.2f", o.Lateness(), MaxLateness)
	}
}

// TestLowUtilizationRaisesLimit is the failure at hundreds of gateways: a gateway with a few dispatches out and early
// answers grows by lateness alone by a few hundredths an answer, while hosts told they are a third busy. The
// bound must let it have room at once where the hosts have it, and none beyond the aim where they don't.
func TestLowUtilizationRaisesLimit(t *testing.T) {
	grow := func(busy float64) float64 {
		o := Limiter{Start: 6.0 / 60}
		o.SetEndpoints(40) // 4 dispatches to start with
		for k := range 24 {
			o.ObserveAnswer(300*ms, 2000*ms, gateway.Time(k)*gateway.Time(40*ms), 4, busy)
		}
		return o.Limit()
	}
	if l := grow(-1); l > 5.5 {
		t.Errorf("no load told: bound %.2f, want the slow growth of lateness alone", l)
	}
	if l := grow(0.33); l < 0.95*4*UtilizationObjective/0.33 {
		t.Errorf("hosts a third busy: bound %.2f, want about %.1f", l, 4*UtilizationObjective/0.33)
	}
	if l := grow(0.95); l > 5.5 {
		t.Errorf("hosts busier than the aim: bound %.2f, want no more than lateness gives", l)
	}
}

func BenchmarkAnswered(b *testing.B) {
	o := Limiter{Start: 0.1}
	o.SetEndpoints(100)
	for now := gateway.Time(0); b.Loop(); now = now.Add(ms) {
		o.ObserveAnswer(300*ms, 2000*ms, now, 4, 0.5)
		o.Allows(4, 1, 0.5)
	}
}
