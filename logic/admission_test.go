package logic

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"ravensill/gateway"
	"ravensill/internal/golden"
)

// TestOrdinaryPath: spend, deny with a time to come back, refill, forget.
func TestOrdinaryPath(t *testing.T) {
	w := newSimulation(2, 4, nil)
	w.arrive(0, "a", 11)
	w.finishAll(0)
	w.advance(300*ms, true)
	w.arrive(0, "a", 1)
	w.finishAll(0)
	w.recordLevels("a")
	w.advance(5*time.Second, true)
	w.recordLevels("a")
	golden.Check(t, w.trace.String())
}

// TestDebtIsBounded: two gateways spend a burst each before they hear: one half burst of debt, then refill.
func TestDebtIsBounded(t *testing.T) {
	w := newSimulation(2, 4, nil)
	w.arrive(0, "a", 10)
	w.arrive(1, "a", 10)
	w.finishAll(0)
	w.finishAll(1)
	w.trace.Reset()
	w.advance(40*ms, true)
	w.recordLevels("a")
	w.arrive(0, "a", 1)
	w.advance(800*ms, true)
	w.arrive(0, "a", 1)
	w.arrive(1, "b", 1)
	golden.Check(t, w.trace.String())
}

// TestCopyWithoutPeersKeepsItsShare: no peer heard for four intervals: half of rate and burst; heard again: all.
func TestCopyWithoutPeersKeepsItsShare(t *testing.T) {
	w := newSimulation(2, 4, nil)
	w.advance(time.Second, true)
	w.advance(2*time.Second, false)
	w.arrive(0, "a", 6)
	w.finishAll(0)
	w.advance(400*ms, false)
	w.recordLevels("a")
	w.advance(600*ms, true)
	w.advance(400*ms, true)
	w.recordLevels("a")
	golden.Check(t, w.trace.String())
}

// TestCeilingIsSplitAmongGateways: half the ceiling each; a started gateway owns nothing yet.
func TestCeilingIsSplitAmongGateways(t *testing.T) {
	w := newSimulation(2, 4, func(w *simulation) {
		w.plans[0] = gateway.Plan{Rate: 100, Burst: 100, CeilingRate: 8, CeilingBurst: 8, PriorityWeight: 1}
	})
	w.arrive(0, "a", 1)
	w.advance(500*ms, true)
	w.arrive(0, "a", 3)
	w.advance(5*time.Second, true)
	w.arrive(0, "a", 5)
	w.restart(0, 4, 2)
	w.arrive(0, "a", 1)
	golden.Check(t, w.trace.String())
}

// TestConcurrencyCapIsEstimated: no more out than the plan's cap, and fewer when a peer admits much.
func TestConcurrencyCapIsEstimated(t *testing.T) {
	w := newSimulation(2, 4, func(w *simulation) { w.plans[0].MaxInFlight, w.plans[0].Rate, w.plans[0].Burst = 2, 100, 100 })
	w.arrive(0, "a", 3)
	w.finishAll(0)
	for range 50 {
		w.gateways[1].gateway.customerFor(hashText("a"), 0, 2, 0).counters[0]++
	}
	w.arrive(1, "a", 1)
	w.advance(60*ms, true)
	w.arrive(0, "a", 1)
	golden.Check(t, w.trace.String())
}

// TestLowValueIsShedFirst: near the limit, the class that earns less for its time is denied first.
func TestLowValueIsShedFirst(t *testing.T) {
	w := newSimulation(1, 2, func(w *simulation) {
		w.plans[0].Rate, w.plans[0].Burst = 1000, 1000
		w.classes = append(w.classes, gateway.RequestClass{LatencyObjective: 800 * ms, Value: 5})
	})
	for i := range 15 {
		for f := range 2 {
			w.deliver(0, gateway.Event{Kind: gateway.RequestArrived, RequestID: fmt.Sprintf("worth%.0f.%d", w.classes[f].Value, i),
				Customer: "a", Deadline: w.now.Add(2500 * ms), Units: 1, Spread: 1, Class: f})
		}
	}
	golden.Check(t, w.trace.String())
}

// TestDemandRatioLowersSpendableLevel: a customer that asks five times its rate at 100 gateways, with totals a second old.
func TestDemandRatioLowersSpendableLevel(t *testing.T) {
	w := newSimulation(100, 100, nil)
	said := ""
	for s := range 8 {
		w.trace.Reset()
		for i := range 100 {
			w.arrive(i, "a", 1)
			w.advance(timerInterval/2, true)
			for k := range w.gateways {
				w.finishAll(k)
			}
		}
		said += fmt.Sprintf("2 s from %d: %d of 100 reqs sent, the rate holds 20\n", 2*s, strings.Count(w.trace.String(), "dispatch a"))
	}
	golden.Check(t, said)
}

// TestDecisionCounts: each deny is counted under its reason, each send once.
func TestDecisionCounts(t *testing.T) {
	w := newSimulation(1, 2, nil)
	w.arrive(0, "a", 12) // a burst of 10: two lack the units
	g := w.gateways[0].gateway
	var got strings.Builder
	for _, count := range g.DecisionCounts() {
		fmt.Fprintf(&got, "%s=%d ", count.Outcome, count.Count)
	}
	if want := "admitted=10 over_quota=2 over_ceiling=0 customer_unanswered=0 too_late=0 " +
		"over_concurrency_cap=0 no_endpoint=0 attempt_failed=0 "; got.String() != want {
		t.Fatalf("counts %q, want %q", got.String(), want)
	}
	w.finishAttempt(0, 0, gateway.Unreachable, false) // never ran: sent again, not denied
	if x := g.Gauges(); x.Admitted != 10 || x.Rejected != [Reasons]int{OverQuota: 2} || x.InFlight != 10 {
		t.Fatalf("after a dispatch that never ran: %+v", x)
	}
	for k := 0; g.endpoints.inFlight > 0 && k < 40; k++ { // every attempt fails: each request ends denied, once
		w.finishAttempt(0, 0, gateway.Errored, false)
	}
	if x := g.Gauges(); x.Admitted != 10 || x.Rejected != [Reasons]int{OverQuota: 2, AttemptFailed: 10} || x.OpenRequests != 0 {
		t.Fatalf("after failures: %+v", x)
	}
}

// TestPeersCutOff: in incident i4c236e 39 gateways heard nobody for 10 s. A thirtieth of a burst is less than a request, so that
// copies which could hold no more denied everyone, whatever their part of the rate.
func TestPeersCutOff(t *testing.T) {
	w := newSimulation(30, 4, nil)
	w.arrive(0, "a", 1)
	w.finishAll(0)
	w.advance(8*time.Second, false)
	w.trace.Reset()
	for range 30 { // 0.33 units a second are its due
		w.arrive(0, "a", 1)
		w.finishAll(0)
		w.advance(500*ms, false)
	}
	if n := strings.Count(w.trace.String(), "dispatch"); n < 4 || n > 7 {
		t.Errorf("cut off for 15 s, a gateway of 30 let %d reqs go, its due is 5", n)
	}
}

// answerCounter ends the earliest call of gateway i to the shared counter.
func (w *simulation) answerCounter(i int, res gateway.Result, total float64) {
	s := w.gateways[i]
	name := s.counterNames[0]
	s.counterNames = s.counterNames[1:]
	w.deliver(i, gateway.Event{Kind: gateway.CounterReplied, CounterName: name, Result: res, CounterTotal: total, Latency: 5 * ms})
}

// TestSharedCounterDecidesCap: a plan with an open cap and no rate asks the counter; without an answer the guess decides, and a counter
// that stays silent is left alone for a second. What was admitted leaves no debt behind: there is no store.
func TestSharedCounterDecidesCap(t *testing.T) {
	w := newSimulation(2, 4, func(w *simulation) {
		w.plans[0] = gateway.Plan{MaxInFlight: 2, PriorityWeight: 1, OverQuotaCost: 0.5}
		w.limits.SharedCounter, w.limits.CounterTimeout = true, 50*ms
	})
	w.arrive(0, "within", 1)
	w.answerCounter(0, gateway.Succeeded, 2)
	w.arrive(0, "beyond", 1)
	w.answerCounter(0, gateway.Succeeded, 3)
	w.arrive(0, "busy", 1)
	w.answerCounter(0, gateway.Busy, 0)
	w.arrive(0, "left", 1)
	w.deliver(0, gateway.Event{Kind: gateway.ClientGone, RequestID: "left0.0"})
	w.deliver(0, gateway.Event{Kind: gateway.CounterReplied, CounterName: 77, CounterTotal: 1}) // nobody asked
	w.finishAll(0)
	w.deliver(0, gateway.Event{Kind: gateway.RequestArrived, RequestID: "hasty", Customer: "hasty", Deadline: w.now.Add(90 * ms), Units: 1, Spread: 2})
	for len(w.gateways[0].counterNames) > 0 {
		w.answerCounter(0, gateway.TimedOut, 0)
	}
	w.arrive(0, "deaf", 1)
	w.finishAll(0)
	w.advance(time.Second+timerInterval, true)
	w.arrive(0, "again", 1)
	w.answerCounter(0, gateway.Succeeded, 1) // a lower total than any before
	w.finishAll(0)
	g := w.gateways[0].gateway
	fmt.Fprintf(&w.trace, "reqs still held: %d; copy of within holds %.1f units\n", len(g.requests), g.customerFor(hashText("within"), 0, 2, 0).level)
	golden.Check(t, w.trace.String())
}

// TestPartitionIsPresumedFromSilence: the network between 100 gateways is cut under a customer that asks four times its rate: what they send on while
// nobody is heard stays near what it was. Copies refilled at the full rate and sent on all that was asked, 38% beyond quotas.
func TestPartitionIsPresumedFromSilence(t *testing.T) {
	w := newSimulation(100, 400, nil)
	var all strings.Builder
	n := 0
	for half := range 20 { // half seconds
		sent := 0
		for range 20 {
			w.trace.Reset()
			n++
			w.arrive(n*37%100, "a", 1)
			sent += strings.Count(w.trace.String(), "dispatch")
			w.finishAll(n * 37 % 100)
			w.advance(timerInterval*5/8, half < 8 || half >= 14)
		}
		if half%2 == 0 {
			fmt.Fprintf(&all, "%d s", half/2)
		}
		fmt.Fprintf(&all, " %d of 20", sent)
		if half%2 == 1 {
			fmt.Fprintf(&all, ", cut %t\n", half >= 8 && half < 14)
		}
	}
	golden.Check(t, all.String())
}
