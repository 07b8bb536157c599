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

// An update of the endpoint list applies from its batch on: no attempt is sent to an endpoint that drains or is
// removed.
func TestNothingNewToDrainingEndpoint(t *testing.T) {
	sim := newSimulation(1, 2, nil)
	sim.list(0, gateway.ListChanges, []gateway.Endpoint{{Host: 1, State: gateway.Draining}})
	sim.arrive(0, "a", 2)
	sim.list(0, gateway.ListComplete, []gateway.Endpoint{{Host: 3}})
	sim.arrive(0, "b", 2)
	golden.Check(t, sim.trace.String())
}

// An endpoint in slow start gets attempts in proportion to its capacity at that time.
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

// Attempts at an endpoint that doesn't answer become overdue and are canceled, their requests are retried
// elsewhere, and the endpoint is avoided. It is used again once gossip reports that another gateway gets answers
// from it.
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
	// the peer reports a success at host 1
	sim.gateways[1].gateway.endpoints.all[0].healthFor(sim.gateways[1].gateway.classes[0]).lastSuccess = sim.now
	sim.advance(600*ms, true)
	sim.arrive(0, "c", 2)
	golden.Check(t, sim.trace.String())
}

// If no endpoint answers, the cause is shared and no endpoint is at fault: they all stay in use.
func TestAllEndpointsSilentAreStillUsed(t *testing.T) {
	sim := newSimulation(1, 2, nil)
	sim.arrive(0, "a", 2)
	sim.advance(700*ms, true)
	sim.arrive(0, "b", 2)
	golden.Check(t, sim.trace.String())
}

// An endpoint that fails at once looks idle, since nothing is in flight there. It must become suspected, or it
// would attract requests.
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

// When endpoints are replaced one by one, the records and the limit on attempts in flight follow the endpoints that
// are listed.
func TestReplacedEndpointsAreForgotten(t *testing.T) {
	sim := newSimulation(1, 4, nil)
	set := &sim.gateways[0].gateway.endpoints
	set.limit = concurrency.Limiter{InitialLimitPerEndpoint: 2.5}
	set.limit.SetEndpoints(4) // a limit of 10, as if adjusted by answers
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
	sim.deliver(0, gateway.Event{ // an attempt at a host that is gone
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

// A request with a malformed answer may have run, so its retry takes one from the budget. One malformed answer
// among successes does not make the endpoint suspected.
func TestMalformedAnswersMarkEndpointSuspected(t *testing.T) {
	sim := newSimulation(1, 2, nil)
	sim.arrive(0, "a", 1)
	sim.finishAll(0)
	sim.arrive(0, "b", 1)
	sim.gateways[0].gateway.retryBudget = 1
	sim.finishAttempt(0, 0, gateway.Malformed, false)
	sim.finishAll(0)
	for _, e := range sim.gateways[0].gateway.endpoints.all {
		if e.healthFor(sim.gateways[0].gateway.classes[0]).unansweredFraction != 0 {
			t.Errorf("host %d is suspected", e.number)
		}
	}
	golden.Check(t, sim.trace.String())
}

// Each of 300 gateways sends requests only to the endpoints in its subset of 180, and gateways have different
// subsets.
func TestSubsetAtScale(t *testing.T) {
	sim := newSimulation(300, 180, func(sim *simulation) { sim.setQuota(1000) })
	used := map[int]map[uint32]bool{}
	for _, i := range []int{0, 137, 299} {
		used[i] = map[uint32]bool{}
		for c := range 200 {
			sim.arrive(i, fmt.Sprintf("c%d", c), 1)
			for _, e := range sim.gateways[i].gateway.endpoints.all {
				if len(e.inFlight) > 0 {
					used[i][e.number] = true
				}
			}
			sim.finishAll(i)
		}
		if usedHosts, subsetSize := len(used[i]), (12*180+299)/300; usedHosts > subsetSize || usedHosts < 2 {
			t.Errorf("gateway %d sent to %d hosts, want 2 to %d, the size of its subset", i, usedHosts, subsetSize)
		}
	}
	if maps.Equal(used[0], used[137]) && maps.Equal(used[0], used[299]) {
		t.Error("three gateways use the same hosts")
	}
}

// failAllLists reports to all gateways at once that the endpoint list is unavailable, and returns the time.
func (sim *simulation) failAllLists() gateway.Time {
	for i, s := range sim.gateways {
		s.listRequestedAt = nil
		sim.list(i, gateway.ListUnavailable, nil)
	}
	return sim.now
}

// failPolls advances the clock by one timer interval and fails every poll of the endpoint list that gateways make
// in it.
func (sim *simulation) failPolls() {
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

// Gateways that lose the endpoint list at the same time must not poll it at the same time. They poll with
// exponential backoff and jitter.
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
	lost := sim.failAllLists()
	for sim.now < lost.Add(16*time.Second) {
		sim.failPolls()
	}
	for k, pause := range pauses {
		distinct := map[gateway.Time]bool{}
		for i, s := range sim.gateways {
			if len(s.listRequestedAt) <= k {
				t.Fatalf("gateway %d polled only %d times", i, len(s.listRequestedAt))
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
		if len(distinct) < min(ticks/2, 8) { // in half of the timer intervals, or in eight
			t.Errorf("poll %d: 20 gateways polled in only %d different timer intervals", k+1, len(distinct))
		}
	}
	checkListResetsBackoff(t, sim)
	checkListCancelsPoll(t, sim)
}

// checkListResetsBackoff checks that the first poll after a received list has the shortest delay again.
func checkListResetsBackoff(t *testing.T, sim *simulation) {
	for i := range sim.gateways {
		sim.list(i, gateway.ListChanges, nil)
	}
	lost := sim.failAllLists()
	sim.advance(450*ms+timerInterval, false)
	for i, s := range sim.gateways {
		if len(s.listRequestedAt) != 1 || s.listRequestedAt[0].Sub(lost) > 450*ms+timerInterval {
			t.Fatalf("after a received list: gateway %d polled %d times, at %v", i, len(s.listRequestedAt), s.listRequestedAt)
		}
	}
}

// checkListCancelsPoll checks that a received list, such as that of a new watch after a SIGHUP, cancels a scheduled
// poll.
func checkListCancelsPoll(t *testing.T, sim *simulation) {
	sim.failAllLists()
	for i := range sim.gateways {
		sim.list(i, gateway.ListComplete, nil)
	}
	sim.advance(2000*ms, false)
	for i, s := range sim.gateways {
		if len(s.listRequestedAt) != 0 {
			t.Fatalf("the list was received, but gateway %d polled at %v", i, s.listRequestedAt)
		}
	}
}

// Endpoints that fail one class get few requests of that class and still their part of the other. The timeouts of
// that class do not lower the limit on attempts in flight.
func TestHealthIsKeptByClass(t *testing.T) {
	sim := newSimulation(1, 4, func(sim *simulation) {
		sim.setQuota(1000)
		sim.classes = append(sim.classes, sim.classes[0])
		sim.classes[0].Effect = gateway.NonIdempotent
	})
	sent := func(rounds int) (counts [2]int) { // attempts at hosts 1 and 2, by class
		for k := range rounds {
			for request := range 6 {
				sim.deliver(0, gateway.Event{
					Kind:      gateway.RequestArrived,
					RequestID: fmt.Sprintf("f%d.%d.%d", request, sim.now, k),
					Customer:  fmt.Sprint(k, request),
					Deadline:  sim.now.Add(2500 * ms),
					Units:     1,
					Spread:    1,
					Class:     request % 2,
				})
			}
			sim.advance(80*ms, true)
			for _, e := range sim.gateways[0].gateway.endpoints.all {
				for i := 0; i < len(e.inFlight); {
					a := e.inFlight[i]
					class, result, latency := a.request.class.index, gateway.Succeeded, 80*ms
					if e.number <= 2 {
						counts[class]++
						if class == 0 {
							result, latency = gateway.TimedOut, 800*ms
						}
					}
					sim.deliver(0, gateway.Event{
						Kind:      gateway.AttemptEnded,
						RequestID: a.request.id,
						Host:      e.number,
						Attempt:   a.number,
						Result:    result,
						Latency:   latency,
						Closed:    result == gateway.Succeeded,
					})
				}
			}
		}
		return counts
	}
	first, later := sent(30), sent(30)
	if first[0] < 2 || later[0] > 9 || later[1] < 45 {
		t.Errorf("hosts 1 and 2 got %v, then %v of 90 requests of each class; want at most 9 and at least 45 in the end",
			first, later)
	}
	if l := sim.gateways[0].gateway.endpoints.limit.Limit(); l < 20 {
		t.Errorf("limit %.1f, want at least 20: timeouts of suspected hosts lowered it", l)
	}
}

// An update of the endpoint list applies to all requests of its batch, also to those before it.
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
			t.Errorf("want an attempt at host 2, since host 1 drains; got: %s", got)
		}
	}
}

// All gateways assign the same subsets, whatever the order of the list. Endpoints are in subsets in proportion to
// their weight, and removing one of them changes few subsets otherwise.
func TestSubsetsAreEvenByWeight(t *testing.T) {
	sim := newSimulation(300, 180, nil)
	var all []gateway.Endpoint
	for h := range 180 {
		all = append(all, gateway.Endpoint{Host: uint32(h + 1), Weight: float64(1 + h%2)})
	}
	members := map[uint32]int{} // number of gateways with a host in their subset
	added := 0
	for i, s := range sim.gateways {
		sim.list(i, gateway.ListComplete, all)
		slices.Reverse(all)
		before, subsetSize := map[uint32]bool{}, 0
		for _, e := range s.gateway.endpoints.all {
			if before[e.number] = e.InSubset; e.InSubset {
				subsetSize++
				members[e.number]++
			}
		}
		if subsetSize != 8 {
			t.Errorf("gateway %d has a subset of %d hosts, want 8 (12*180/300 rounded up)", i, subsetSize)
		}
		sim.list(i, gateway.ListChanges, []gateway.Endpoint{{Host: 40, State: gateway.Gone}})
		for _, e := range s.gateway.endpoints.all {
			if e.InSubset && !before[e.number] {
				added++
			}
		}
	}
	for host, memberCount := range members { // 300 subsets of 8 over a total weight of 270
		if want := float64(2-host%2) * 2400 / 270; math.Abs(float64(memberCount)-want) > 1 {
			t.Errorf("host %d is in the subset of %d gateways, want %.1f", host, memberCount, want)
		}
	}
	if added < members[40] || added > 5*members[40] {
		t.Errorf("%d subsets got another host when a host in %d subsets was removed", added, members[40])
	}
}
