package logic

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"ravensill/gateway"
	"ravensill/internal/golden"
)

// TestRetriesKeepTheClassEffect: what each kind of class may do after an answer that proves nothing.
func TestRetriesKeepTheClassEffect(t *testing.T) {
	for _, kind := range []struct {
		name  string
		front gateway.RequestClass
	}{
		{"replayable", gateway.RequestClass{}},
		{"uniqued_all", gateway.RequestClass{Effect: gateway.Deduplicated, DedupWindow: 600 * ms}},
		{"uniqued_cell", gateway.RequestClass{Effect: gateway.Deduplicated, Group: gateway.SameCell, DedupWindow: 600 * ms}},
		{"non_replayable", gateway.RequestClass{Effect: gateway.NonIdempotent}},
	} {
		t.Run(kind.name, func(t *testing.T) {
			kind.front.LatencyObjective, kind.front.Timeout = 2000*ms, 3000*ms
			w := newSimulation(1, 4, func(w *simulation) { w.classes[0] = kind.front })
			w.gateways[0].gateway.retryBudget = 10
			w.arrive(0, "a", 1)
			w.finishAttempt(0, 0, gateway.Busy, false) // it never ran: again, anywhere
			w.finishAttempt(0, 0, gateway.Errored, false)
			w.advance(500*ms, true)
			w.finishAttempt(0, 0, gateway.Errored, false)
			golden.Check(t, w.trace.String())
		})
	}
}

// TestOverloadIsShed: answers that come late cut what is out; beyond that denials are at once.
func TestOverloadIsShed(t *testing.T) {
	w := newSimulation(1, 2, func(w *simulation) { w.plans[0].Rate, w.plans[0].Burst = 1000, 1000 })
	for range 40 {
		w.arrive(0, "a", 20)
		w.advance(700*ms, true)
		w.finishAll(0)
	}
	w.trace.Reset()
	w.arrive(0, "a", 4)
	golden.Check(t, w.trace.String())
}

// TestEachRequestGetsOneFinalAnswer: one final answer each: passed, late, left by the client, nowhere to go.
func TestEachRequestGetsOneFinalAnswer(t *testing.T) {
	w := newSimulation(1, 1, nil)
	w.arrive(0, "a", 1)
	w.advance(100*ms, true)
	w.finishAttempt(0, 0, gateway.Succeeded, true)
	w.arrive(0, "b", 1)
	w.advance(800*ms, true)
	w.finishAttempt(0, 0, gateway.TimedOut, false)
	w.arrive(0, "c", 1)
	w.deliver(0, gateway.Event{Kind: gateway.ClientGone, RequestID: "c900.0"})
	w.finishAttempt(0, 0, gateway.Succeeded, true)
	w.arrive(0, "d", 1)
	w.finishAttempt(0, 0, gateway.Unreachable, false)
	fmt.Fprintf(&w.trace, "reqs still held: %d\n", len(w.gateways[0].gateway.requests))
	golden.Check(t, w.trace.String())
}

// TestUnansweredCustomerGetsOneASecond: a customer whose requests go unanswered holds no places; others go on.
func TestUnansweredCustomerGetsOneASecond(t *testing.T) {
	w := newSimulation(1, 4, func(w *simulation) { w.plans[0].Rate, w.plans[0].Burst = 1000, 1000 })
	for range 5 {
		w.arrive(0, "poison", 2)
		w.arrive(0, "good", 1)
		w.advance(800*ms, true)
		for _, h := range w.gateways[0].gateway.endpoints.all {
			for len(h.inFlight) > 0 {
				res := gateway.TimedOut
				if strings.HasPrefix(h.inFlight[0].request.id, "good") {
					res = gateway.Succeeded
				}
				w.finishAttempt(0, h.id, res, res == gateway.Succeeded)
			}
		}
	}
	golden.Check(t, w.trace.String())
}

// TestRequestsAfterAStall: a gateway that stood still: the longest waits are denied, late answers cut no limit.
func TestRequestsAfterAStall(t *testing.T) {
	w := newSimulation(1, 4, func(w *simulation) { w.plans[0].Rate, w.plans[0].Burst = 100, 100 })
	w.arrive(0, "a", 2)
	limit := w.gateways[0].gateway.endpoints.limit.Limit()
	w.now = w.now.Add(2 * time.Second)
	var in []gateway.Event
	for _, h := range w.gateways[0].gateway.endpoints.all {
		for _, s := range h.inFlight {
			in = append(in, gateway.Event{Kind: gateway.AttemptEnded, RequestID: s.request.id, Host: h.id, Latency: 2 * time.Second, Closed: true})
		}
	}
	for k := range 6 {
		in = append(in, gateway.Event{Kind: gateway.RequestArrived, RequestID: fmt.Sprint("late", k), Customer: "b", Units: 1, Spread: 1,
			Deadline: w.now.Add(2 * time.Second)})
	}
	w.deliver(0, in...)
	w.gateways[0].record("limit moved by %.1f", w.gateways[0].gateway.endpoints.limit.Limit()-limit)
	golden.Check(t, w.trace.String())
}

// TestRetryBudget: connections break under one attempt in four: each is sent again, one in two is not.
func TestRetryBudget(t *testing.T) {
	for _, every := range []int{4, 2} {
		w := newSimulation(1, 4, func(w *simulation) { w.plans[0].Rate, w.plans[0].Burst = 1000, 1000 })
		for i := range 100 {
			w.now = w.now.Add(50 * ms)
			w.arrive(0, "a", 1)
			if i >= 20 && i%every == 0 {
				w.finishAttempt(0, 0, gateway.Disconnected, false)
			}
			w.finishAll(0)
		}
		if n := strings.Count(w.trace.String(), "deny"); (n > 0) != (every == 2) {
			t.Errorf("one in %d broken: %d denied", every, n)
		}
	}
}

// TestLateValue: a gateway that stood still waits for a late answer that earns a part for that part of the time left,
// 0.2 of 2.2 s; without a stall, or where a late answer earns nothing, until the target.
func TestLateValue(t *testing.T) {
	for _, x := range []struct {
		late  float64
		stood bool
		want  string
	}{{0.2, false, "timeout 800 ms"}, {0, true, "timeout 800 ms"}, {0.2, true, "timeout 1240 ms"}, {1, true, "timeout 2500 ms"}} {
		w := newSimulation(1, 2, func(w *simulation) { w.classes[0].LateValue = x.late })
		if x.stood {
			w.now = w.now.Add(2 * time.Second)
			w.deliver(0, gateway.Event{Kind: gateway.TimerFired})
			w.now = w.now.Add(100 * ms)
		}
		w.arrive(0, "a", 1) // its client gives up after 2.5 s
		if got := w.trace.String(); !strings.Contains(got, x.want) {
			t.Errorf("late answers earn %.1f, stood still %t: %q, want %s", x.late, x.stood, got, x.want)
		}
		w.advance(5*time.Second, true) // what was learned of the stall wears off
		w.finishAll(0)
		w.trace.Reset()
		if w.arrive(0, "b", 1); !strings.Contains(w.trace.String(), "timeout 800 ms") {
			t.Errorf("5 s after the stall: %q", w.trace.String())
		}
	}
}

// TestNoAttemptAfterDeadline: a request whose time is up when it comes, as near the end of a gateway that was told to stop, is denied at once. It
// was dispatched for a microsecond, and a non-replayable one then aborted, since it may have run.
func TestNoAttemptAfterDeadline(t *testing.T) {
	w := newSimulation(1, 3, nil)
	for i, left := range []time.Duration{time.Second, 0, -time.Second} {
		w.deliver(0, gateway.Event{Kind: gateway.RequestArrived, RequestID: fmt.Sprint("a", i), Customer: "a", Deadline: w.now.Add(left), Units: 1, Spread: 1})
	}
	golden.Check(t, w.trace.String())
}

// A gateway that is called to stop rejects a request at once if it is to end before the answer usually comes: the client still
// has the time to go to another. The same request at a gateway that goes on is sent to a host.
func TestRejectsWhatEndsWithGateway(t *testing.T) {
	for _, test := range []struct {
		name   string
		left   time.Duration // until the gateway ends; 0: it is not called to stop
		reject bool
	}{
		{"not called to stop", 0, false},
		{"ends long after the answer", 2000 * ms, false},
		{"ends before the answer", 20 * ms, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			w := newSimulation(1, 2, nil)
			request := gateway.Event{Kind: gateway.RequestArrived, RequestID: "r", Customer: "a", Deadline: w.now.Add(2500 * ms), Units: 1, Spread: 1}
			if test.left > 0 {
				request.StopAt = w.now.Add(test.left)
				request.Deadline = min(request.Deadline, request.StopAt)
			}
			w.trace.Reset()
			w.deliver(0, request)
			if rejected := strings.Contains(w.trace.String(), "deny r"); rejected != test.reject {
				t.Errorf("rejected %t:\n%s", rejected, w.trace.String())
			}
		})
	}
}
