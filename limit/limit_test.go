package limit

import (
	"math/rand/v2"
	"testing"
)

const ms = int64(1e6)

// TestSmallBound: under one, the bound lets some dispatches go, one at a time; from two on, all that fit.
func TestSmallBound(t *testing.T) {
	rnd := rand.New(rand.NewPCG(1, 2))
	for _, c := range []struct {
		bound    float64
		from, to int // of 1000 tries with nothing out
	}{{0.05, 60, 130}, {0.5, 600, 800}, {2, 1000, 1000}} {
		o := Out{limit: c.bound}
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

func TestStartAndHosts(t *testing.T) {
	o := Out{Start: 0.5}
	o.Hosts(10)
	if o.Limit() != 5 {
		t.Errorf("start: %v, want 5", o.Limit())
	}
	o.Hosts(20)
	if o.Limit() != 10 {
		t.Errorf("twice the hosts: %v, want 10", o.Limit())
	}
	o.Hosts(0)
	o.Hosts(4)
	if o.Limit() != 2 {
		t.Errorf("none, then 4: %v, want the start of 4 hosts, 2", o.Limit())
	}
}

// TestLate: answers that take most of their target cut the bound, once in each 0.35 of the target.
func TestLate(t *testing.T) {
	o := Out{Start: 1}
	o.Hosts(10)
	now := int64(0)
	for range 50 {
		now += 10 * ms
		o.Answered(900*ms, 1000*ms, now, 9, -1)
	}
	// 500 ms of late answers, cuts 350 ms apart at least: one cut of what the first answers grew it to.
	if l := o.Limit(); l < 10*cut || l > 10.5*cut {
		t.Errorf("bound %.2f after 0.5 s of late answers, want one cut of 10 to 10.5", l)
	}
	for range 40 {
		now += 10 * ms
		o.Answered(900*ms, 1000*ms, now, 9, -1)
	}
	if l := o.Limit(); l < 10*cut*cut || l > 10.5*cut*cut {
		t.Errorf("bound %.2f after 0.9 s of late answers, want two cuts", l)
	}
	if o.Late() <= Lateness {
		t.Errorf("late %.2f, want over %.2f", o.Late(), Lateness)
	}
}

// TestBusyHostsHaveRoom is the failure at hundreds of gateways: a gateway with a few dispatches out and early
// answers grows by lateness alone by a few hundredths an answer, while hosts told they are a third busy. The
// bound must let it have room at once where the hosts have it, and none beyond the aim where they don't.
func TestBusyHostsHaveRoom(t *testing.T) {
	grow := func(busy float64) float64 {
		o := Out{Start: 6.0 / 60}
		o.Hosts(40) // 4 dispatches to start with
		for k := range 24 {
			o.Answered(300*ms, 2000*ms, int64(k)*40*ms, 4, busy)
		}
		return o.Limit()
	}
	if l := grow(-1); l > 5.5 {
		t.Errorf("no load told: bound %.2f, want the slow growth of lateness alone", l)
	}
	if l := grow(0.33); l < 0.95*4*Aim/0.33 {
		t.Errorf("hosts a third busy: bound %.2f, want about %.1f", l, 4*Aim/0.33)
	}
	if l := grow(0.95); l > 5.5 {
		t.Errorf("hosts busier than the aim: bound %.2f, want no more than lateness gives", l)
	}
}

func BenchmarkAnswered(b *testing.B) {
	o := Out{Start: 0.1}
	o.Hosts(100)
	for i := int64(0); b.Loop(); i++ {
		o.Answered(300*ms, 2000*ms, i*ms, 4, 0.5)
		o.Allows(4, 1, 0.5)
	}
}
