package logic

import (
	"slices"
	"testing"
	"time"

	"ravensill/gateway"
	"ravensill/internal/gossip"
)

// A gateway of many holds few of the hosts. What a tick, a request and a peer's message cost must not grow with the list: at
// 87,000 hosts a tick that walked them all took 15% of a core at rest. A record that is not near is spoilt here, so that a
// walk that comes to it panics.
func TestRequestWalksOnlyNearbyEndpoints(t *testing.T) {
	const hosts = 5000
	w := newSimulation(1, 1, func(w *simulation) { w.limits.Cancellation = true })
	seat := gateway.Membership{Count: 300, Gossip: true, MessageRate: 40}
	g := New(1, seat, w.classes, w.plans, w.limits, gateway.SlowStart{}, gateway.LoadReportForm{})
	var list []gateway.Endpoint
	for i := range hosts {
		list = append(list, gateway.Endpoint{Host: uint32(hosts - i), Weight: 1})
	}
	round := func(at gateway.Time, events ...gateway.Event) {
		g.Decide(&gateway.Batch{Now: at, Events: events}, w.gateways[0])
	}
	round(gateway.Time(time.Second), gateway.Event{Kind: gateway.EndpointsListed, ListKind: gateway.ListComplete, Endpoints: list})
	if near := len(g.endpoints.nearby); near == 0 || near > hosts/10 {
		t.Fatalf("%d of %d hosts are near", near, hosts)
	}
	for i, h := range g.endpoints.all {
		if i > 0 && h.id <= g.endpoints.all[i-1].id {
			t.Fatal("hosts are not in the order of their ids")
		}
		if !h.InSubset {
			h.inFlight = []*attempt{nil}
			h.health = []health{{lastGood: gateway.Time(2 * time.Second), unansweredFraction: 0.2}} // a walk would tell peers of it, or heal it
		}
	}
	round(2*gateway.Time(time.Second), gateway.Event{Kind: gateway.TimerFired}, gateway.Event{Kind: gateway.RequestArrived, RequestID: "a", Customer: "c", Spread: 1,
		Units: 1, Deadline: gateway.Time(10 * time.Second)})
	if len(w.gateways[0].messages) == 0 {
		t.Fatal("no message to a peer")
	}
	for _, body := range w.gateways[0].messages {
		gossip.Format{Plans: 1, Members: 300}.Decode(body, func(uint64, uint64) bool { return true },
			func(uint16) { t.Error("a peer is told of a host that is not near") }, nil)
	}
	far := g.endpoints.all[slices.IndexFunc(g.endpoints.all, func(h *endpoint) bool { return !h.InSubset })]
	if g.endpoints.clearSuspicion(far.gossipTag(0)); far.health[0].unansweredFraction != 0.2 {
		t.Error("a peer's message walked to a host that is not near")
	}
	if len(g.endpoints.lastWeighed) != len(g.endpoints.nearby) || g.Gauges().InFlight != 1 {
		t.Errorf("%d hosts were weighed for a request, %d are near, %d requests are out", len(g.endpoints.lastWeighed), len(g.endpoints.nearby), g.Gauges().InFlight)
	}
}

// When all hosts near are busy the others serve: the first walk must not hide them.
func TestBusySubsetLeavesToOtherEndpoints(t *testing.T) {
	w := newSimulation(1, 1, nil)
	g := New(1, gateway.Membership{Count: 300}, w.classes, w.plans, w.limits, gateway.SlowStart{}, gateway.LoadReportForm{})
	var list []gateway.Endpoint
	for i := range 1000 {
		list = append(list, gateway.Endpoint{Host: uint32(i), Weight: 1})
	}
	g.Decide(&gateway.Batch{Now: gateway.Time(time.Second), Events: []gateway.Event{{Kind: gateway.EndpointsListed, Endpoints: list}}}, w.gateways[0])
	for _, h := range g.endpoints.nearby {
		h.relativeLatency = 1000
		h.healthFor(g.classes[0]).lastAnswer = gateway.Time(time.Second)
	}
	c := g.customerFor(1, 0, 1, 0)
	if h := g.endpoints.choose(c, g.classes[0], gateway.Time(time.Second), 1, nil); h == nil || h.InSubset {
		t.Fatalf("pick gave %v, not a host outside the subset", h)
	}
}

// To a gateway by itself all hosts are near. At rest its ticks must not walk them: with 87,000 they took 4.7% of a core.
func TestTimerAtRestWalksNoEndpoint(t *testing.T) {
	w := newSimulation(1, 1, nil)
	g := New(1, gateway.Membership{Count: 1}, w.classes, w.plans, w.limits, gateway.SlowStart{}, gateway.LoadReportForm{})
	var list []gateway.Endpoint
	for i := range 1000 {
		list = append(list, gateway.Endpoint{Host: uint32(i), Weight: 1})
	}
	g.Decide(&gateway.Batch{Now: gateway.Time(time.Second), Events: []gateway.Event{{Kind: gateway.EndpointsListed, Endpoints: list}}}, w.gateways[0])
	arrival := gateway.Event{Kind: gateway.RequestArrived, RequestID: "a", Customer: "c", Spread: 1, Units: 1, Deadline: gateway.Time(10 * time.Second)}
	g.Decide(&gateway.Batch{Now: gateway.Time(time.Second), Events: []gateway.Event{arrival}}, w.gateways[0])
	for _, h := range g.endpoints.all {
		if len(h.inFlight) == 0 {
			h.inFlight = []*attempt{nil}
		}
	}
	g.Decide(&gateway.Batch{Now: gateway.Time(2 * time.Second), Events: []gateway.Event{{Kind: gateway.TimerFired}}}, w.gateways[0])
	if len(g.endpoints.busy) != 1 {
		t.Errorf("%d hosts are walked by a tick, 1 has an attempt in flight", len(g.endpoints.busy))
	}
}
