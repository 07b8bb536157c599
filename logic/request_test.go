package logic

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"ravensill/gateway"
	"ravensill/internal/golden"
)

// A request that may have run is retried only as the effect of its class allows: if it is idempotent, or
// deduplicated by all hosts and within the window.
func TestRetriesKeepTheClassEffect(t *testing.T) {
	for _, kind := range []struct {
		name  string
		class gateway.RequestClass
	}{
		{"idempotent", gateway.RequestClass{}},
		{"deduplicated_all_hosts", gateway.RequestClass{Effect: gateway.Deduplicated, DedupWindow: 600 * ms}},
		{"deduplicated_same_cell", gateway.RequestClass{
			Effect:      gateway.Deduplicated,
			Group:       gateway.SameCell,
			DedupWindow: 600 * ms,
		}},
		{"non_idempotent", gateway.RequestClass{Effect: gateway.NonIdempotent}},
	} {
		t.Run(kind.name, func(t *testing.T) {
			kind.class.LatencyObjective, kind.class.Timeout = 2000*ms, 3000*ms
			sim := newSimulation(1, 4, func(sim *simulation) { sim.classes[0] = kind.class })
			sim.gateways[0].gateway.retryBudget = 10
			sim.arrive(0, "a", 1)
			sim.finishAttempt(0, 0, gateway.Busy, false) // it never ran, so every class allows a retry
			sim.finishAttempt(0, 0, gateway.Errored, false)
			sim.advance(500*ms, true)
			sim.finishAttempt(0, 0, gateway.Errored, false)
			golden.Check(t, sim.trace.String())
		})
	}
}

// Guards against rejections that tell clients to come back while no connection can be opened (incident 0016). The time
// that the connection quota expects is the retry-after time, up to the longest time that clients wait.
func TestRejectionTellsTimeUntilConnection(t *testing.T) {
	for _, test := range []struct {
		expected, longest time.Duration
		want              string
	}{
		{300 * ms, 0, "retry after 300 ms"},
		{300 * ms, 200 * ms, "retry after 200 ms"},
	} {
		sim := newSimulation(1, 1, func(sim *simulation) { sim.limits.MaxRetryAfter = test.longest })
		sim.arrive(0, "a", 1)
		sim.finishAttemptWith(0, 0, gateway.Event{Result: gateway.Busy, RetryAfter: test.expected})
		if got := sim.trace.String(); !strings.Contains(got, test.want) {
			t.Errorf("expected %v, longest wait %v: %q, want %s", test.expected, test.longest, got, test.want)
		}
	}
}

// Guards against a rejection that calls a repeat harmless once hosts no longer discard it (incident 0017). A request
// whose retry gets no connection is rejected only if a repeat after the retry-after time is still safe.
func TestThrottledRequestIsRejectedOnlyWithinWindow(t *testing.T) {
	deduplicated := gateway.RequestClass{Effect: gateway.Deduplicated, DedupWindow: 1000 * ms}
	for _, test := range []struct {
		name       string
		class      gateway.RequestClass
		first      gateway.Result // of the first attempt
		waited     time.Duration  // by the second attempt
		retryAfter time.Duration
		want       string
	}{
		{"within the window", deduplicated, gateway.Disconnected, 400 * ms, 100 * ms, "reject a0.0, retry after 100 ms"},
		{"to be repeated after the window", deduplicated, gateway.Disconnected, 400 * ms, 500 * ms, "fail a0.0"},
		{"after the window", deduplicated, gateway.Disconnected, 1200 * ms, 50 * ms, "fail a0.0"},
		{"after the window, an error", deduplicated, gateway.Errored, 1200 * ms, 50 * ms, "fail a0.0"},
		{"never ran", deduplicated, gateway.Busy, 1200 * ms, 50 * ms, "reject a0.0, retry after 50 ms"},
		{"idempotent", gateway.RequestClass{}, gateway.Disconnected, 1200 * ms, 50 * ms, "reject a0.0, retry after 50 ms"},
		{"non-idempotent, never ran", gateway.RequestClass{Effect: gateway.NonIdempotent}, gateway.Busy, 1200 * ms, 50 * ms,
			"reject a0.0, retry after 50 ms"},
	} {
		t.Run(test.name, func(t *testing.T) {
			test.class.LatencyObjective, test.class.Timeout = 2000*ms, 3000*ms
			sim := newSimulation(1, 4, func(sim *simulation) { sim.classes[0] = test.class })
			sim.gateways[0].gateway.retryBudget = maxRetryBudget
			sim.arrive(0, "a", 1)
			sim.finishAttempt(0, 0, test.first, false)
			sim.now = sim.now.Add(test.waited)
			sim.trace.Reset()
			sim.finishAttemptWith(0, 0, gateway.Event{Result: gateway.Throttled, RetryAfter: test.retryAfter})
			if got := sim.trace.String(); !strings.HasSuffix(got, test.want+"\n") || strings.Count(got, "\n") != 1 {
				t.Errorf("%q, want only %s", got, test.want)
			}
		})
	}
}

// Guards against rejections that tell clients to repeat a request after its deduplication window (incident 0017). Where
// no connection quota sets it, the retry-after time ends with the window, less its margin.
func TestRejectionTellsTimeWithinWindow(t *testing.T) {
	for _, test := range []struct {
		name  string
		first gateway.Result
		want  string
	}{
		{"may have run", gateway.Disconnected, "reject a0.0, retry after 200 ms"},
		{"never ran", gateway.Busy, "reject a0.0, retry after 333 ms"},
	} {
		t.Run(test.name, func(t *testing.T) {
			sim := newSimulation(1, 1, func(sim *simulation) {
				sim.classes[0] = gateway.RequestClass{
					Effect:           gateway.Deduplicated,
					DedupWindow:      1000 * ms,
					LatencyObjective: 2000 * ms, // a typical latency of 333 ms at the start
					Timeout:          3000 * ms,
				}
			})
			sim.arrive(0, "a", 1)
			sim.now = sim.now.Add(600 * ms)
			sim.finishAttempt(0, 0, test.first, false)
			if got := sim.trace.String(); !strings.HasSuffix(got, test.want+"\n") {
				t.Errorf("%q, want %s at the end", got, test.want)
			}
		})
	}
}

// Late answers lower the limit on attempts in flight. Requests beyond the limit are rejected at once.
func TestOverloadIsShed(t *testing.T) {
	sim := newSimulation(1, 2, func(sim *simulation) { sim.setQuota(1000) })
	for range 40 {
		sim.arrive(0, "a", 20)
		sim.advance(700*ms, true)
		sim.finishAll(0)
	}
	sim.trace.Reset()
	sim.arrive(0, "a", 4)
	golden.Check(t, sim.trace.String())
}

// Every request gets exactly one final answer, whether it succeeds, times out, loses its client or finds no
// endpoint, and its record is dropped.
func TestEachRequestGetsOneFinalAnswer(t *testing.T) {
	sim := newSimulation(1, 1, nil)
	sim.arrive(0, "a", 1)
	sim.advance(100*ms, true)
	sim.finishAttempt(0, 0, gateway.Succeeded, true)
	sim.arrive(0, "b", 1)
	sim.advance(800*ms, true)
	sim.finishAttempt(0, 0, gateway.TimedOut, false)
	sim.arrive(0, "c", 1)
	sim.deliver(0, gateway.Event{Kind: gateway.ClientGone, RequestID: "c900.0"})
	sim.finishAttempt(0, 0, gateway.Succeeded, true)
	sim.arrive(0, "d", 1)
	sim.finishAttempt(0, 0, gateway.Unreachable, false)
	fmt.Fprintf(&sim.trace, "requests still open: %d\n", len(sim.gateways[0].gateway.requests))
	golden.Check(t, sim.trace.String())
}

// A customer whose requests time out is admitted once a second, so that it takes no capacity from others.
func TestUnansweredCustomerGetsOneASecond(t *testing.T) {
	sim := newSimulation(1, 4, func(sim *simulation) { sim.setQuota(1000) })
	for range 5 {
		sim.arrive(0, "poison", 2)
		sim.arrive(0, "good", 1)
		sim.advance(800*ms, true)
		for _, e := range sim.gateways[0].gateway.endpoints.all {
			for len(e.inFlight) > 0 {
				result := gateway.TimedOut
				if strings.HasPrefix(e.inFlight[0].request.id, "good") {
					result = gateway.Succeeded
				}
				sim.finishAttempt(0, e.number, result, result == gateway.Succeeded)
			}
		}
	}
	golden.Check(t, sim.trace.String())
}

// During a stall requests queue. After it those that waited longest are rejected. Answers that were read late
// because of the stall do not lower the limit on attempts in flight.
func TestRequestsAfterAStall(t *testing.T) {
	sim := newSimulation(1, 4, func(sim *simulation) { sim.setQuota(100) })
	sim.arrive(0, "a", 2)
	limit := sim.gateways[0].gateway.endpoints.limit.Limit()
	sim.now = sim.now.Add(2 * time.Second)
	var events []gateway.Event
	for _, e := range sim.gateways[0].gateway.endpoints.all {
		for _, a := range e.inFlight {
			events = append(events, gateway.Event{
				Kind:      gateway.AttemptEnded,
				RequestID: a.request.id,
				Host:      e.number,
				Latency:   2 * time.Second,
				Closed:    true,
			})
		}
	}
	for k := range 6 {
		events = append(events, gateway.Event{
			Kind:      gateway.RequestArrived,
			RequestID: fmt.Sprint("late", k),
			Customer:  "b",
			Units:     1,
			Spread:    1,
			Deadline:  sim.now.Add(2 * time.Second),
		})
	}
	sim.deliver(0, events...)
	sim.gateways[0].record("limit moved by %.1f", sim.gateways[0].gateway.endpoints.limit.Limit()-limit)
	golden.Check(t, sim.trace.String())
}

// The retry budget allows a retry for one admitted request in four. If the connection breaks under one attempt in
// four, each request is retried; under one in two, some are rejected.
func TestRetryBudget(t *testing.T) {
	for _, every := range []int{4, 2} {
		sim := newSimulation(1, 4, func(sim *simulation) { sim.setQuota(1000) })
		for i := range 100 {
			sim.now = sim.now.Add(50 * ms)
			sim.arrive(0, "a", 1)
			if i >= 20 && i%every == 0 {
				sim.finishAttempt(0, 0, gateway.Disconnected, false)
			}
			sim.finishAll(0)
		}
		if n := strings.Count(sim.trace.String(), "reject"); (n > 0) != (every == 2) {
			t.Errorf("connection broken under one attempt in %d: %d requests rejected", every, n)
		}
	}
}

// For a while after a stall the gateway waits beyond the latency objective, in proportion to the value of late
// answers. Without a stall it does not.
func TestLateValue(t *testing.T) {
	for _, test := range []struct {
		lateValue float64
		stalled   bool
		want      string
	}{
		{0.2, false, "timeout 800 ms"},
		{0, true, "timeout 800 ms"},
		{0.2, true, "timeout 1240 ms"},
		{1, true, "timeout 2500 ms"},
	} {
		sim := newSimulation(1, 2, func(sim *simulation) { sim.classes[0].LateValue = test.lateValue })
		if test.stalled {
			sim.now = sim.now.Add(2 * time.Second)
			sim.deliver(0, gateway.Event{Kind: gateway.TimerFired})
			sim.now = sim.now.Add(100 * ms)
		}
		sim.arrive(0, "a", 1) // its client gives up after 2.5 s
		if got := sim.trace.String(); !strings.Contains(got, test.want) {
			t.Errorf("value of late answers %.1f, stalled %t: %q, want %s", test.lateValue, test.stalled, got, test.want)
		}
		sim.advance(5*time.Second, true) // the stall is past
		sim.finishAll(0)
		sim.trace.Reset()
		if sim.arrive(0, "b", 1); !strings.Contains(sim.trace.String(), "timeout 800 ms") {
			t.Errorf("5 s after the stall: %q, want timeout 800 ms", sim.trace.String())
		}
	}
}

// A request whose deadline has passed is rejected at once: an attempt could not be answered in time, and might run.
func TestNoAttemptAfterDeadline(t *testing.T) {
	sim := newSimulation(1, 3, nil)
	for i, left := range []time.Duration{time.Second, 0, -time.Second} {
		sim.deliver(0, gateway.Event{
			Kind:      gateway.RequestArrived,
			RequestID: fmt.Sprint("a", i),
			Customer:  "a",
			Deadline:  sim.now.Add(left),
			Units:     1,
			Spread:    1,
		})
	}
	golden.Check(t, sim.trace.String())
}

// A gateway that shuts down rejects a request that it could not answer before its end. The client can still send it
// to another gateway.
func TestRejectsWhatEndsWithGateway(t *testing.T) {
	for _, test := range []struct {
		name   string
		left   time.Duration // time until the gateway ends; 0: it does not shut down
		reject bool
	}{
		{"not called to stop", 0, false},
		{"ends long after the answer", 2000 * ms, false},
		{"ends before the answer", 20 * ms, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			sim := newSimulation(1, 2, nil)
			request := gateway.Event{
				Kind:      gateway.RequestArrived,
				RequestID: "r",
				Customer:  "a",
				Deadline:  sim.now.Add(2500 * ms),
				Units:     1,
				Spread:    1,
			}
			if test.left > 0 {
				request.StopAt = sim.now.Add(test.left)
				request.Deadline = min(request.Deadline, request.StopAt)
			}
			sim.trace.Reset()
			sim.deliver(0, request)
			if rejected := strings.Contains(sim.trace.String(), "reject r"); rejected != test.reject {
				t.Errorf("rejected %t, want the opposite:\n%s", rejected, sim.trace.String())
			}
		})
	}
}
