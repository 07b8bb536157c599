package logic

import (
	"slices"
	"testing"
	"time"

	"ravensill/gateway"
	"ravensill/internal/gossip"
)

// anyArrival is a request with ample time until its deadline.
var anyArrival = gateway.Event{
	Kind:      gateway.RequestArrived,
	RequestID: "a",
	Customer:  "c",
	Spread:    1,
	Units:     1,
	Deadline:  gateway.Time(10 * time.Second),
}

// The cost of a timer, a request and a gossip message must not grow with the endpoint list. Records outside the
// subset are corrupted, so that iterating over them panics or changes them visibly.
func TestRequestWalksOnlyNearbyEndpoints(t *testing.T) {
	const hosts = 5000
	sim := newSimulation(1, 1, func(sim *simulation) { sim.limits.Cancellation = true })
	g := sim.newGateway(gateway.Membership{Count: 300, Gossip: true, MessageRate: 40})
	var list []gateway.Endpoint
	for i := range hosts {
		list = append(list, gateway.Endpoint{Host: uint32(hosts - i), Weight: 1})
	}
	decide := func(at gateway.Time, events ...gateway.Event) {
		g.Decide(&gateway.Batch{Now: at, Events: events}, sim.gateways[0])
	}
	decide(gateway.Time(time.Second), gateway.Event{
		Kind:      gateway.EndpointsListed,
		ListKind:  gateway.ListComplete,
		Endpoints: list,
	})
	if nearby := len(g.endpoints.inUse); nearby == 0 || nearby > hosts/10 {
		t.Fatalf("%d of %d hosts are in use", nearby, hosts)
	}
	for i, e := range g.endpoints.all {
		if i > 0 && e.number <= g.endpoints.all[i-1].number {
			t.Fatal("hosts are not ordered by number")
		}
		if !e.InSubset {
			e.inFlight = []*attempt{nil}
			// iterating over it would put it in gossip, or reduce its suspicion
			e.health = []health{{lastSuccess: gateway.Time(2 * time.Second), unansweredFraction: 0.2}}
		}
	}
	decide(2*gateway.Time(time.Second), gateway.Event{Kind: gateway.TimerFired}, anyArrival)
	if len(sim.gateways[0].messages) == 0 {
		t.Fatal("no gossip message was sent")
	}
	for _, message := range sim.gateways[0].messages {
		gossip.Format{Plans: 1, Members: 300}.Decode(message, func(uint64, uint64) bool { return true },
			func(uint16) { t.Error("gossip has the tag of a host that is not in use") }, nil)
	}
	outside := g.endpoints.all[slices.IndexFunc(g.endpoints.all, func(e *endpoint) bool { return !e.InSubset })]
	if g.endpoints.reduceSuspicion(outside.gossipTag(0)); outside.health[0].unansweredFraction != 0.2 {
		t.Error("a peer's message changed a host that is not in use")
	}
	if len(g.endpoints.candidates) != len(g.endpoints.inUse) || g.Gauges().InFlight != 1 {
		t.Errorf("%d hosts were candidates for a request, %d are in use, %d requests are in flight",
			len(g.endpoints.candidates), len(g.endpoints.inUse), g.Gauges().InFlight)
	}
}

// newGatewayWithEndpoints returns a gateway that has received a list of endpoints, in a fleet of a number of
// members, and the simulation that provides its settings.
func newGatewayWithEndpoints(members, endpoints int) (*simulation, *Gateway) {
	sim := newSimulation(1, 1, nil)
	g := sim.newGateway(gateway.Membership{Count: members})
	var list []gateway.Endpoint
	for i := range endpoints {
		list = append(list, gateway.Endpoint{Host: uint32(i), Weight: 1})
	}
	g.Decide(&gateway.Batch{
		Now:    gateway.Time(time.Second),
		Events: []gateway.Event{{Kind: gateway.EndpointsListed, Endpoints: list}},
	}, sim.gateways[0])
	return sim, g
}

// If all endpoints of the subset are overloaded, an endpoint outside the subset is chosen.
func TestBusySubsetLeavesToOtherEndpoints(t *testing.T) {
	_, g := newGatewayWithEndpoints(300, 1000)
	for _, e := range g.endpoints.inUse {
		e.relativeLatency = 1000
		e.healthFor(g.classes[0]).lastAnswer = gateway.Time(time.Second)
	}
	c := g.customerFor(1, 0, 1, 0)
	if e := g.endpoints.choose(c, g.classes[0], gateway.Time(time.Second), 1, nil); e == nil || e.InSubset {
		t.Fatalf("choose returned %v, not a host outside the subset", e)
	}
}

// A timer iterates only over endpoints with attempts in flight, even if every endpoint is in the subset. The others
// are corrupted, so that iterating over them panics.
func TestTimerAtRestWalksNoEndpoint(t *testing.T) {
	sim, g := newGatewayWithEndpoints(1, 1000)
	g.Decide(&gateway.Batch{Now: gateway.Time(time.Second), Events: []gateway.Event{anyArrival}}, sim.gateways[0])
	for _, h := range g.endpoints.all {
		if len(h.inFlight) == 0 {
			h.inFlight = []*attempt{nil}
		}
	}
	g.Decide(&gateway.Batch{
		Now:    gateway.Time(2 * time.Second),
		Events: []gateway.Event{{Kind: gateway.TimerFired}},
	}, sim.gateways[0])
	if len(g.endpoints.active) != 1 {
		t.Errorf("a timer iterates over %d hosts, want 1, the one with an attempt in flight", len(g.endpoints.active))
	}
}
