package logic

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"ravensill/concurrency"
	"ravensill/gateway"
	"ravensill/internal/golden"
)

// TestNothingNewToDrainingEndpoint: nothing new to a draining or removed host, from the round it is told.
func TestNothingNewToDrainingEndpoint(t *testing.T) {
	w := newSimulation(1, 2, nil)
	w.deliver(0, gateway.Event{Kind: gateway.EndpointsListed, ListKind: gateway.ListChanges,
		Endpoints: []gateway.Endpoint{{Host: 1, State: gateway.Draining}}})
	w.arrive(0, "a", 2)
	w.deliver(0, gateway.Event{Kind: gateway.EndpointsListed, ListKind: gateway.ListComplete, Endpoints: []gateway.Endpoint{{Host: 3}}})
	w.arrive(0, "b", 2)
	golden.Check(t, w.trace.String())
}

// TestEndpointWarmingUpGetsItsShare: a started host gets its part of all attempts, by its surely warm part.
func TestEndpointWarmingUpGetsItsShare(t *testing.T) {
	w := newSimulation(1, 3, func(w *simulation) { w.plans[0].Rate, w.plans[0].Burst = 1000, 1000 })
	w.deliver(0, gateway.Event{Kind: gateway.EndpointsListed, ListKind: gateway.ListChanges,
		Endpoints: []gateway.Endpoint{{Host: 3, StartedAt: w.now}}})
	for s := range 6 {
		w.trace.Reset()
		for range 100 {
			w.arrive(0, "a", 3)
			w.advance(timerInterval, true)
			w.finishAll(0)
		}
		fmt.Fprintf(&w.trace, "%d s after its start host 3 had %d of 300 dispatches\n", 2*s+2,
			strings.Count(w.trace.String(), "host 3,"))
		out := w.trace.String()
		t.Run(fmt.Sprint(2*s+2), func(t *testing.T) { golden.Check(t, out[strings.LastIndex(out[:len(out)-1], "\n")+1:]) })
	}
}

// TestSilentEndpointIsEjectedAndReturns: a host that answers nothing is set aside, what it holds moves, it comes back.
func TestSilentEndpointIsEjectedAndReturns(t *testing.T) {
	w := newSimulation(2, 2, nil)
	w.gateways[0].gateway.retryBudget = 10
	w.arrive(0, "a", 4)
	for range 2 {
		w.advance(360*ms, true)
		w.finishAttempt(0, 2, gateway.Succeeded, true)
	}
	for range 2 {
		w.finishAttempt(0, 1, gateway.Canceled, false)
	}
	w.arrive(0, "b", 2)
	w.gateways[1].gateway.endpoints.all[0].healthFor(w.gateways[1].gateway.classes[0]).lastGood = w.now // the peer hears well of it
	w.advance(600*ms, true)
	w.arrive(0, "c", 2)
	golden.Check(t, w.trace.String())
}

// TestAllEndpointsSilentAreStillUsed: the cause is shared: they stay in use.
func TestAllEndpointsSilentAreStillUsed(t *testing.T) {
	w := newSimulation(1, 2, nil)
	w.arrive(0, "a", 2)
	w.advance(700*ms, true)
	w.arrive(0, "b", 2)
	golden.Check(t, w.trace.String())
}

// TestErrorsMarkEndpointSuspected: a host that fails at once looks idle; it must not draw the requests.
func TestErrorsMarkEndpointSuspected(t *testing.T) {
	w := newSimulation(2, 2, func(w *simulation) { w.plans[0].Rate, w.plans[0].Burst = 1000, 1000 })
	for range 3 {
		w.arrive(0, "a", 2)
		w.finishAttempt(0, 1, gateway.Errored, false)
		w.advance(100*ms, true)
		w.finishAttempt(0, 2, gateway.Succeeded, true)
	}
	golden.Check(t, w.trace.String())
}

// TestReplacedEndpointsAreForgotten: hosts are replaced one by one under new ids: records and the limit stay with those there are.
func TestReplacedEndpointsAreForgotten(t *testing.T) {
	w := newSimulation(1, 4, nil)
	f := &w.gateways[0].gateway.endpoints
	f.limit = concurrency.Limiter{Start: 2.5}
	f.limit.SetEndpoints(4) // 10, as if learned
	tell := func() {
		fmt.Fprintf(&w.trace, "%d hosts, limit %.1f\n", len(f.all), f.limit.Limit())
	}
	tell()
	w.arrive(0, "a", 1)
	for i := range 200 {
		w.deliver(0, gateway.Event{Kind: gateway.EndpointsListed, Endpoints: []gateway.Endpoint{{Host: uint32(i + 1), State: gateway.Gone}}})
		w.deliver(0, gateway.Event{Kind: gateway.EndpointsListed, Endpoints: []gateway.Endpoint{{Host: uint32(i + 5)}}})
	}
	tell()
	w.deliver(0, gateway.Event{Kind: gateway.AttemptEnded, RequestID: "a0.0", Host: 1, Result: gateway.Succeeded, Latency: ms, Closed: true}) // by one that is gone
	fmt.Fprintf(&w.trace, "%d out\n", f.inFlight)
	w.deliver(0, gateway.Event{Kind: gateway.EndpointsListed, ListKind: gateway.ListComplete})
	tell()
	w.deliver(0, gateway.Event{Kind: gateway.EndpointsListed, Endpoints: []gateway.Endpoint{{Host: 1}, {Host: 2}}})
	tell()
	golden.Check(t, w.trace.String())
}

// TestMalformedAnswersMarkEndpointSuspected: a spoilt answer among good ones may have run, and sets nobody aside: they come from any host.
func TestMalformedAnswersMarkEndpointSuspected(t *testing.T) {
	w := newSimulation(1, 2, nil)
	w.arrive(0, "a", 1)
	w.finishAll(0)
	w.arrive(0, "b", 1)
	w.gateways[0].gateway.retryBudget = 1
	w.finishAttempt(0, 0, gateway.Malformed, false)
	w.finishAll(0)
	for _, h := range w.gateways[0].gateway.endpoints.all {
		if h.healthFor(w.gateways[0].gateway.classes[0]).unansweredFraction != 0 {
			t.Errorf("host %d is set aside", h.id)
		}
	}
	golden.Check(t, w.trace.String())
}

// TestSubsetAtScale: among 300 gateways and 180 hosts each gateway sends to its own few hosts, so that each host
// holds connections of a few gateways, not of all. Without subsets 200 customers' requests reach nearly every host.
func TestSubsetAtScale(t *testing.T) {
	w := newSimulation(300, 180, func(w *simulation) { w.plans[0].Rate, w.plans[0].Burst = 1000, 1000 })
	used := map[int]map[uint32]bool{}
	for _, i := range []int{0, 137, 299} {
		used[i] = map[uint32]bool{}
		for c := range 200 {
			w.arrive(i, fmt.Sprintf("c%d", c), 1)
			for _, h := range w.gateways[i].gateway.endpoints.all {
				if len(h.inFlight) > 0 {
					used[i][h.id] = true
				}
			}
			w.finishAll(i)
		}
		if n, k := len(used[i]), (12*180+299)/300; n > k || n < 2 {
			t.Errorf("gateway %d sent to %d hosts, subset of %d", i, n, k)
		}
	}
	if maps.Equal(used[0], used[137]) && maps.Equal(used[0], used[299]) {
		t.Error("three gateways use the same hosts: the load is not spread")
	}
}

// TestFleetPollsListAtDifferentTimes: in on_request mode, a fleet that loses the list at once (discovery overbooked) asks again after pauses from
// call to call that double up to 3.9 s and are drawn by chance, not all in the same tick; a list that comes ends the
// doubling, and what was still to be asked: the watch that brought it goes on.
func TestFleetPollsListAtDifferentTimes(t *testing.T) {
	w := newSimulation(20, 4, func(w *simulation) { w.limits.PollEndpoints = true })
	lose := func() gateway.Time {
		for i, s := range w.gateways {
			s.listRequestedAt = nil
			w.deliver(i, gateway.Event{Kind: gateway.EndpointsListed, ListKind: gateway.ListUnavailable})
		}
		return w.now
	}
	spans := [][2]time.Duration{{150 * ms, 450 * ms}, {300 * ms, 900 * ms}, {600 * ms, 1800 * ms}, {1200 * ms, 3600 * ms}, {2400 * ms, 3900 * ms}, {2400 * ms, 3900 * ms}}
	t0 := lose()
	for w.now < t0.Add(16*time.Second) { // each call is turned away at once
		var asked [20]int
		for i, s := range w.gateways {
			asked[i] = len(s.listRequestedAt)
		}
		w.advance(timerInterval, false)
		for i, s := range w.gateways {
			if len(s.listRequestedAt) > asked[i] {
				w.deliver(i, gateway.Event{Kind: gateway.EndpointsListed, ListKind: gateway.ListUnavailable})
			}
		}
	}
	for k, span := range spans {
		distinct := map[gateway.Time]bool{}
		for i, s := range w.gateways {
			if len(s.listRequestedAt) <= k {
				t.Fatalf("gateway %d asked %d times only", i, len(s.listRequestedAt))
			}
			last := t0
			if k > 0 {
				last = s.listRequestedAt[k-1]
			}
			if gap := s.listRequestedAt[k].Sub(last); gap < span[0] || gap > span[1]+timerInterval {
				t.Errorf("loss %d: gateway %d asked after %v, want %v to %v", k+1, i, gap, span[0], span[1])
			}
			distinct[s.listRequestedAt[k]] = true
		}
		if beats := (span[1] - span[0]) / timerInterval; len(distinct) < int(min(beats/2, 8)) { // in half of those there are, or in eight
			t.Errorf("loss %d: 20 gateways asked in %d beats only", k+1, len(distinct))
		}
	}
	for i := range w.gateways { // a list comes: the next loss waits the shortest again
		w.deliver(i, gateway.Event{Kind: gateway.EndpointsListed, ListKind: gateway.ListChanges})
	}
	t0 = lose()
	w.advance(450*ms+timerInterval, false)
	for i, s := range w.gateways {
		if len(s.listRequestedAt) != 1 || s.listRequestedAt[0].Sub(t0) > 450*ms+timerInterval {
			t.Fatalf("after a list: gateway %d asked %d times, first %v", i, len(s.listRequestedAt), s.listRequestedAt)
		}
	}
	lose()
	for i := range w.gateways { // an ask is due, and a list comes after all (SIGHUP has its own watch): that one is not ended
		w.deliver(i, gateway.Event{Kind: gateway.EndpointsListed, ListKind: gateway.ListComplete})
	}
	w.advance(2000*ms, false)
	for i, s := range w.gateways {
		if len(s.listRequestedAt) != 0 {
			t.Fatalf("with a list: gateway %d asked at %v", i, s.listRequestedAt)
		}
	}
}

// TestHealthIsKeptByClass: hosts 1 and 2 leave one class's requests unanswered and serve the other (class_fail). Requests of the first
// go elsewhere, those of the second still go there, and the time-outs cut no limit.
func TestHealthIsKeptByClass(t *testing.T) {
	w := newSimulation(1, 4, func(w *simulation) {
		w.plans[0].Rate, w.plans[0].Burst = 1000, 1000
		w.classes = append(w.classes, w.classes[0])
		w.classes[0].Effect = gateway.NonIdempotent
	})
	sent := func(rounds int) (n [2]int) { // to hosts 1 and 2, by class
		for k := range rounds {
			for f := range 6 {
				w.deliver(0, gateway.Event{Kind: gateway.RequestArrived, RequestID: fmt.Sprintf("f%d.%d.%d", f, w.now, k), Customer: fmt.Sprint(k, f),
					Deadline: w.now.Add(2500 * ms), Units: 1, Spread: 1, Class: f % 2})
			}
			w.advance(80*ms, true)
			for _, h := range w.gateways[0].gateway.endpoints.all {
				for i := 0; i < len(h.inFlight); {
					s := h.inFlight[i]
					f, res, lag := s.request.class.index, gateway.Succeeded, 80*ms
					if h.id <= 2 {
						n[f]++
						if f == 0 {
							res, lag = gateway.TimedOut, 800*ms
						}
					}
					w.deliver(0, gateway.Event{Kind: gateway.AttemptEnded, RequestID: s.request.id, Host: h.id, Attempt: s.number, Result: res,
						Latency: lag, Closed: res == gateway.Succeeded})
				}
			}
		}
		return n
	}
	first, later := sent(30), sent(30)
	if first[0] < 2 || later[0] > 9 || later[1] < 45 {
		t.Errorf("of 90 reqs of each hosts 1 and 2 got %v, then %v by frontend; want a tenth of the first and half of the second", first, later)
	}
	if l := w.gateways[0].gateway.endpoints.limit.Limit(); l < 20 {
		t.Errorf("limit %.1f: time-outs of hosts in doubt cut it", l)
	}
}

// TestListUpdatesAreHandledBeforeRequests: a batch of events is decided on all that is known. A drain that follows an arrival in the batch takes effect before it.
func TestListUpdatesAreHandledBeforeRequests(t *testing.T) {
	for k := range 8 {
		w := newSimulation(1, 2, nil)
		w.deliver(0, gateway.Event{Kind: gateway.RequestArrived, RequestID: "r", Customer: fmt.Sprint(k), Units: 1, Spread: 1, Deadline: w.now.Add(time.Second)},
			gateway.Event{Kind: gateway.EndpointsListed, Endpoints: []gateway.Endpoint{{Host: 1, State: gateway.Draining}}})
		if got := w.trace.String(); !strings.Contains(got, "to host 2,") {
			t.Errorf("host 1 drains, yet: %s", got)
		}
	}
}

// TestSubset: of 180 hosts every gateway of 300 holds 8, and in whatever order lists come all deal alike: hosts of twice
// the size are held by twice as many, within one, and when a host goes few gateways take in another.
func TestSubset(t *testing.T) {
	w := newSimulation(300, 180, nil)
	var all []gateway.Endpoint
	for h := range 180 {
		all = append(all, gateway.Endpoint{Host: uint32(h + 1), Weight: float64(1 + h%2)})
	}
	held, came := map[uint32]int{}, 0
	for i, s := range w.gateways {
		w.deliver(i, gateway.Event{Kind: gateway.EndpointsListed, ListKind: gateway.ListComplete, Endpoints: all})
		slices.Reverse(all)
		was, n := map[uint32]bool{}, 0
		for _, h := range s.gateway.endpoints.all {
			if was[h.id] = h.InSubset; h.InSubset {
				n++
				held[h.id]++
			}
		}
		if n != 8 {
			t.Errorf("gateway %d holds %d hosts, want 12*180/300 or a little more", i, n)
		}
		w.deliver(i, gateway.Event{Kind: gateway.EndpointsListed, Endpoints: []gateway.Endpoint{{Host: 40, State: gateway.Gone}}})
		for _, h := range s.gateway.endpoints.all {
			if h.InSubset && !was[h.id] {
				came++
			}
		}
	}
	for id, n := range held { // 2400 places, 270 units of size
		if part := float64(2-id%2) * 2400 / 270; math.Abs(float64(n)-part) > 1 {
			t.Errorf("host %d is held by %d gateways, its part is %.1f", id, n, part)
		}
	}
	if came < held[40] || came > 5*held[40] {
		t.Errorf("%d hosts came in when one went that %d held", came, held[40])
	}
}
