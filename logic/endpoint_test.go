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

// No attempt is sent to a draining or removed endpoint from the batch of its update on.
func TestNothingNewToDrainingEndpoint(t *testing.T) {
	sim := newSimulation(1, 2, nil)
	sim.list(0, gateway.ListChanges, []gateway.Endpoint{{Host: 1, State: gateway.Draining}})
	sim.arrive(0, "a", 2)
	sim.list(0, gateway.ListComplete, []gateway.Endpoint{{Host: 3}})
	sim.arrive(0, "b", 2)
	golden.Check(t, sim.trace.String())
}

// An endpoint that warms up gets attempts in proportion to its capacity.
func TestEndpointWarmingUpGetsItsShare(t *testing.T) {
	sim := newSimulation(1, 3, func(sim *simulation) { sim.setQuota(1000) })
	sim.list(0, gateway.ListChanges, []gateway.Endpoint{{Host: 3, StartedAt: sim.now}})
	for s := range 6 {
		sim.trace.Reset()
		for range 100 {
			sim.arrive(0, "a", 3)
			sim.advance(timerInterval, true)
			sim.finishAll(0)
		}
		fmt.Fprintf(&sim.trace, "%d s after its start host 3 had %d of 300 attempts\n", 2*s+2,
			strings.Count(sim.trace.String(), "host 3,"))
		out := sim.trace.String()
		t.Run(fmt.Sprint(2*s+2), func(t *testing.T) { golden.Check(t, out[strings.LastIndex(out[:len(out)-1], "\n")+1:]) })
	}
}

// An endpoint that answers nothing is avoided, its requests are sent elsewhere, and it is used again later.
func TestSilentEndpointIsEjectedAndReturns(t *testing.T) {
	sim := newSimulation(2, 2, nil)
	sim.gateways[0].gateway.retryBudget = 10
	sim.arrive(0, "a", 4)
	for range 2 {
		sim.advance(360*ms, true)
		sim.finishAttempt(0, 2, gateway.Succeeded, true)
	}
	for range 2 {
		sim.finishAttempt(0, 1, gateway.Canceled, false)
	}
	sim.arrive(0, "b", 2)
	// the peer has good answers of it
	sim.gateways[1].gateway.endpoints.all[0].healthFor(sim.gateways[1].gateway.classes[0]).lastGood = sim.now
	sim.advance(600*ms, true)
	sim.arrive(0, "c", 2)
	golden.Check(t, sim.trace.String())
}

// If all endpoints are silent the cause is shared, and they stay in use.
func TestAllEndpointsSilentAreStillUsed(t *testing.T) {
	sim := newSimulation(1, 2, nil)
	sim.arrive(0, "a", 2)
	sim.advance(700*ms, true)
	sim.arrive(0, "b", 2)
	golden.Check(t, sim.trace.String())
}

// An endpoint that fails at once looks idle; it must not attract requests.
func TestErrorsMarkEndpointSuspected(t *testing.T) {
	sim := newSimulation(2, 2, func(sim *simulation) { sim.setQuota(1000) })
	for range 3 {
		sim.arrive(0, "a", 2)
		sim.finishAttempt(0, 1, gateway.Errored, false)
		sim.advance(100*ms, true)
		sim.finishAttempt(0, 2, gateway.Succeeded, true)
	}
	golden.Check(t, sim.trace.String())
}

// When endpoints are replaced one by one, records and the limit follow those that are listed.
func TestReplacedEndpointsAreForgotten(t *testing.T) {
	sim := newSimulation(1, 4, nil)
	set := &sim.gateways[0].gateway.endpoints
	set.limit = concurrency.Limiter{InitialLimitPerEndpoint: 2.5}
	set.limit.SetEndpoints(4) // 10, as if learned
	record := func() {
		fmt.Fprintf(&sim.trace, "%d hosts, limit %.1f\n", len(set.all), set.limit.Limit())
	}
	record()
	sim.arrive(0, "a", 1)
	for i := range 200 {
		sim.list(0, gateway.ListChanges, []gateway.Endpoint{{Host: uint32(i + 1), State: gateway.Gone}})
		sim.list(0, gateway.ListChanges, []gateway.Endpoint{{Host: uint32(i + 5)}})
	}
	record()
	sim.deliver(0, gateway.Event{ // at a host that is gone
		Kind:      gateway.AttemptEnded,
		RequestID: "a0.0",
		Host:      1,
		Result:    gateway.Succeeded,
		Latency:   ms,
		Closed:    true,
	})
	fmt.Fprintf(&sim.trace, "%d in flight\n", set.inFlight)
	sim.list(0, gateway.ListComplete, nil)
	record()
	sim.list(0, gateway.ListChanges, []gateway.Endpoint{{Host: 1}, {Host: 2}})
	record()
	golden.Check(t, sim.trace.String())
}

// A malformed answer among good ones may have run, and does not make its endpoint suspected.
func TestMalformedAnswersMarkEndpointSuspected(t *testing.T) {
	sim := newSimulation(1, 2, nil)
	sim.arrive(0, "a", 1)
	sim.finishAll(0)
	sim.arrive(0, "b", 1)
	sim.gateways[0].gateway.retryBudget = 1
	sim.finishAttempt(0, 0, gateway.Malformed, false)
	sim.finishAll(0)
	for _, h := range sim.gateways[0].gateway.endpoints.all {
		if h.healthFor(sim.gateways[0].gateway.classes[0]).unansweredFraction != 0 {
			t.Errorf("host %d is suspected", h.id)
		}
	}
	golden.Check(t, sim.trace.String())
}

// Each of 300 gateways sends to its own few of 180 endpoints.
func TestSubsetAtScale(t *testing.T) {
	sim := newSimulation(300, 180, func(sim *simulation) { sim.setQuota(1000) })
	used := map[int]map[uint32]bool{}
	for _, i := range []int{0, 137, 299} {
		used[i] = map[uint32]bool{}
		for c := range 200 {
			sim.arrive(i, fmt.Sprintf("c%d", c), 1)
			for _, h := range sim.gateways[i].gateway.endpoints.all {
				if len(h.inFlight) > 0 {
					used[i][h.id] = true
				}
			}
			sim.finishAll(i)
		}
		if n, k := len(used[i]), (12*180+299)/300; n > k || n < 2 {
			t.Errorf("gateway %d sent to %d hosts, subset of %d", i, n, k)
		}
	}
	if maps.Equal(used[0], used[137]) && maps.Equal(used[0], used[299]) {
		t.Error("three gateways use the same hosts: the load is not spread")
	}
}

// loseList fails the list of all gateways at once and returns the time.
func (sim *simulation) loseList() gateway.Time {
	for i, s := range sim.gateways {
		s.listRequestedAt = nil
		sim.list(i, gateway.ListUnavailable, nil)
	}
	return sim.now
}

// rejectPolls advances the clock by one tick and fails each poll of the list that it brings.
func (sim *simulation) rejectPolls() {
	polls := make([]int, len(sim.gateways))
	for i, s := range sim.gateways {
		polls[i] = len(s.listRequestedAt)
	}
	sim.advance(timerInterval, false)
	for i, s := range sim.gateways {
		if len(s.listRequestedAt) > polls[i] {
			sim.list(i, gateway.ListUnavailable, nil)
		}
	}
}

// Gateways that lose the list together poll it with exponential backoff and jitter.
func TestFleetPollsListAtDifferentTimes(t *testing.T) {
	sim := newSimulation(20, 4, func(sim *simulation) { sim.limits.PollEndpoints = true })
	pauses := [][2]time.Duration{
		{150 * ms, 450 * ms},
		{300 * ms, 900 * ms},
		{600 * ms, 1800 * ms},
		{1200 * ms, 3600 * ms},
		{2400 * ms, 3900 * ms},
		{2400 * ms, 3900 * ms},
	}
	lost := sim.loseList()
	for sim.now < lost.Add(16*time.Second) {
		sim.rejectPolls()
	}
	for k, pause := range pauses {
		distinct := map[gateway.Time]bool{}
		for i, s := range sim.gateways {
			if len(s.listRequestedAt) <= k {
				t.Fatalf("gateway %d polled %d times only", i, len(s.listRequestedAt))
			}
			previous := lost
			if k > 0 {
				previous = s.listRequestedAt[k-1]
			}
			if gap := s.listRequestedAt[k].Sub(previous); gap < pause[0] || gap > pause[1]+timerInterval {
				t.Errorf("poll %d: gateway %d waited %v, want %v to %v", k+1, i, gap, pause[0], pause[1])
			}
			distinct[s.listRequestedAt[k]] = true
		}
		ticks := int((pause[1] - pause[0]) / timerInterval)
		if len(distinct) < min(ticks/2, 8) { // in half of the ticks, or in eight
			t.Errorf("poll %d: 20 gateways polled in %d ticks only", k+1, len(distinct))
		}
	}
	checkListResetsBackoff(t, sim)
	checkListCancelsPoll(t, sim)
}

// checkListResetsBackoff checks that the first poll after a list has the shortest pause again.
func checkListResetsBackoff(t *testing.T, sim *simulation) {
	for i := range sim.gateways {
		sim.list(i, gateway.ListChanges, nil)
	}
	lost := sim.loseList()
	sim.advance(450*ms+timerInterval, false)
	for i, s := range sim.gateways {
		if len(s.listRequestedAt) != 1 || s.listRequestedAt[0].Sub(lost) > 450*ms+timerInterval {
			t.Fatalf("after a list: gateway %d polled %d times, first %v", i, len(s.listRequestedAt), s.listRequestedAt)
		}
	}
}

// checkListCancelsPoll checks that a list, as of the watch after a SIGHUP, cancels a poll that is due.
func checkListCancelsPoll(t *testing.T, sim *simulation) {
	sim.loseList()
	for i := range sim.gateways {
		sim.list(i, gateway.ListComplete, nil)
	}
	sim.advance(2000*ms, false)
	for i, s := range sim.gateways {
		if len(s.listRequestedAt) != 0 {
			t.Fatalf("with a list: gateway %d polled at %v", i, s.listRequestedAt)
		}
	}
}

// Endpoints that fail one class get few requests of it and still those of the other; their timeouts do not
// lower the limit.
func TestHealthIsKeptByClass(t *testing.T) {
	sim := newSimulation(1, 4, func(sim *simulation) {
		sim.setQuota(1000)
		sim.classes = append(sim.classes, sim.classes[0])
		sim.classes[0].Effect = gateway.NonIdempotent
	})
	sent := func(rounds int) (n [2]int) { // to hosts 1 and 2, by class
		for k := range rounds {
			for f := range 6 {
				sim.deliver(0, gateway.Event{
					Kind:      gateway.RequestArrived,
					RequestID: fmt.Sprintf("f%d.%d.%d", f, sim.now, k),
					Customer:  fmt.Sprint(k, f),
					Deadline:  sim.now.Add(2500 * ms),
					Units:     1,
					Spread:    1,
					Class:     f % 2,
				})
			}
			sim.advance(80*ms, true)
			for _, h := range sim.gateways[0].gateway.endpoints.all {
				for i := 0; i < len(h.inFlight); {
					s := h.inFlight[i]
					f, res, lag := s.request.class.index, gateway.Succeeded, 80*ms
					if h.id <= 2 {
						n[f]++
						if f == 0 {
							res, lag = gateway.TimedOut, 800*ms
						}
					}
					sim.deliver(0, gateway.Event{
						Kind:      gateway.AttemptEnded,
						RequestID: s.request.id,
						Host:      h.id,
						Attempt:   s.number,
						Result:    res,
						Latency:   lag,
						Closed:    res == gateway.Succeeded,
					})
				}
			}
		}
		return n
	}
	first, later := sent(30), sent(30)
	if first[0] < 2 || later[0] > 9 || later[1] < 45 {
		t.Errorf("of 90 requests of each class hosts 1 and 2 got %v, then %v; want a tenth and a half", first, later)
	}
	if l := sim.gateways[0].gateway.endpoints.limit.Limit(); l < 20 {
		t.Errorf("limit %.1f: timeouts of suspected hosts lowered it", l)
	}
}

// A drain that follows an arrival in a batch takes effect before it.
func TestListUpdatesAreHandledBeforeRequests(t *testing.T) {
	for k := range 8 {
		sim := newSimulation(1, 2, nil)
		sim.deliver(0, gateway.Event{
			Kind:      gateway.RequestArrived,
			RequestID: "r",
			Customer:  fmt.Sprint(k),
			Units:     1,
			Spread:    1,
			Deadline:  sim.now.Add(time.Second),
		},
			gateway.Event{Kind: gateway.EndpointsListed, Endpoints: []gateway.Endpoint{{Host: 1, State: gateway.Draining}}})
		if got := sim.trace.String(); !strings.Contains(got, "at host 2,") {
			t.Errorf("host 1 drains, yet: %s", got)
		}
	}
}

// Gateways assign the same subsets in whatever order the list comes, in proportion to weight, and the removal
// of an endpoint moves few others.
func TestSubsetsAreEvenByWeight(t *testing.T) {
	sim := newSimulation(300, 180, nil)
	var all []gateway.Endpoint
	for h := range 180 {
		all = append(all, gateway.Endpoint{Host: uint32(h + 1), Weight: float64(1 + h%2)})
	}
	members := map[uint32]int{} // gateways with a host in their subset
	added := 0
	for i, s := range sim.gateways {
		sim.list(i, gateway.ListComplete, all)
		slices.Reverse(all)
		was, n := map[uint32]bool{}, 0
		for _, h := range s.gateway.endpoints.all {
			if was[h.id] = h.InSubset; h.InSubset {
				n++
				members[h.id]++
			}
		}
		if n != 8 {
			t.Errorf("gateway %d has a subset of %d hosts, want 12*180/300 or a little more", i, n)
		}
		sim.list(i, gateway.ListChanges, []gateway.Endpoint{{Host: 40, State: gateway.Gone}})
		for _, h := range s.gateway.endpoints.all {
			if h.InSubset && !was[h.id] {
				added++
			}
		}
	}
	for id, n := range members { // 2400 places over a total weight of 270
		if part := float64(2-id%2) * 2400 / 270; math.Abs(float64(n)-part) > 1 {
			t.Errorf("host %d is in the subset of %d gateways, want %.1f", id, n, part)
		}
	}
	if added < members[40] || added > 5*members[40] {
		t.Errorf("%d subsets got another host when one of %d subsets was removed", added, members[40])
	}
}
