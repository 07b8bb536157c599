package logic

import (
	"fmt"
	"testing"
	"time"

	"ravensill/gateway"
	"ravensill/internal/gossip"
)

// fleetOf starts n gateways with the given quota plans, which gossip names by ID.
func fleetOf(n int, plans ...gateway.Plan) *simulation {
	return newSimulation(n, 4, func(sim *simulation) { sim.plans = plans })
}

func (sim *simulation) reconfigure(u gateway.SettingsUpdate) {
	for _, s := range sim.gateways {
		s.gateway.Reconfigure(sim.now, &u)
	}
}

// request sends gateway i a request of a customer on a plan, ends its attempt, and reports whether it was admitted.
func (sim *simulation) request(i int, customer string, plan int, units float64) bool {
	g := sim.gateways[i].gateway
	before := g.admitted
	sim.deliver(i, gateway.Event{
		Kind:      gateway.RequestArrived,
		RequestID: fmt.Sprintf("%s %d %d", customer, sim.now, before),
		Customer:  customer,
		Plan:      plan,
		Deadline:  sim.now.Add(2500 * ms),
		Units:     units,
		Spread:    len(sim.gateways),
	})
	sim.finishAll(i)
	return g.admitted > before
}

func (sim *simulation) level(i int, customer string) float64 {
	g := sim.gateways[i].gateway
	c := g.customers[hashText(customer)]
	g.refill(c)
	return c.level
}

func setPlan(index int, p gateway.Plan) gateway.SettingsUpdate {
	return gateway.SettingsUpdate{Plans: []gateway.PlanUpdate{{Index: index, Plan: p}}}
}

// Raising the rate and the burst of a plan adds no units at once. The raised rate applies from then on.
func TestRaisedPlanGivesNoBurst(t *testing.T) {
	sim := fleetOf(1, gateway.Plan{ID: 7, Rate: 10, Burst: 10, PriorityWeight: 1})
	sim.request(0, "c", 0, 8)
	sim.reconfigure(setPlan(0, gateway.Plan{ID: 7, Rate: 1000, Burst: 1000, PriorityWeight: 1}))
	if got := sim.level(0, "c"); got > 2.1 {
		t.Errorf("the raised plan added units at once: level %.1f, want 2", got)
	}
	sim.advance(time.Second, true)
	if got := sim.level(0, "c"); got < 900 {
		t.Errorf("the raised rate is not in force after a second: level %.1f, want 900 or more", got)
	}
}

// A lowered burst or ceiling applies to the next request.
func TestLoweredPlanBindsAtOnce(t *testing.T) {
	sim := fleetOf(1, gateway.Plan{ID: 7, Rate: 1000, Burst: 1000, PriorityWeight: 1},
		gateway.Plan{ID: 9, Rate: 1000, Burst: 1000, PriorityWeight: 1, CeilingRate: 1000, CeilingBurst: 1000})
	sim.advance(2*time.Second, true)
	sim.request(0, "quota", 0, 1)
	sim.request(0, "c", 1, 1)
	sim.reconfigure(setPlan(0, gateway.Plan{ID: 7, Rate: 10, Burst: 10, PriorityWeight: 1}))
	sim.reconfigure(setPlan(1, gateway.Plan{
		ID:             9,
		Rate:           1000,
		Burst:          1000,
		PriorityWeight: 1,
		CeilingRate:    5,
		CeilingBurst:   5,
	}))
	if sim.request(0, "quota", 0, 20) {
		t.Error("a request of 20 units was admitted under a burst of 10")
	}
	if sim.request(0, "c", 1, 20) {
		t.Error("a request of 20 units was admitted under a ceiling of 5")
	}
	if c := sim.gateways[0].gateway.customers[hashText("c")]; c.ceilingLevel > 5 || c.ceilingRate != 5 {
		t.Errorf("the former ceiling is still in force: level %.1f, rate %.1f; want at most 5, and 5", c.ceilingLevel,
			c.ceilingRate)
	}
}

// Gateways may have different versions of the plans, and a customer may change plans. Units admitted under one plan
// must never be subtracted under another one.
func TestCountersNamePlansByID(t *testing.T) {
	a, b := gateway.Plan{
		ID:             7,
		Rate:           0.1,
		Burst:          10,
		PriorityWeight: 1,
	}, gateway.Plan{ID: 9, Rate: 0.1, Burst: 10, PriorityWeight: 1}
	sim := fleetOf(2, a, b)
	sim.gateways[1].gateway = New(2, gateway.Membership{Index: 1, Count: 2, Gossip: true, MessageRate: 40}, sim.classes,
		[]gateway.Plan{b}, sim.limits, sim.slowStart, gateway.LoadReportFormat{})
	sim.list(1, gateway.ListChanges, []gateway.Endpoint{{Host: 1}})
	sim.advance(time.Second, true)
	sim.request(0, "on-a", 0, 6)
	sim.request(0, "on-b", 1, 6)
	sim.advance(time.Second, true)
	other := sim.gateways[1].gateway
	if other.customers[hashText("on-a")] != nil || other.unmatchedCounters == 0 {
		t.Error("a counter of an unknown plan was subtracted, or not counted as unmatched")
	}
	if got := sim.level(1, "on-b"); got > 5 {
		t.Errorf("plan b, which both gateways have: level %.1f, want 4 and what was refilled", got)
	}
	sim.request(1, "moves", 0, 1)
	before := sim.level(1, "moves")
	sim.request(0, "moves", 0, 5)
	sim.advance(time.Second, true)
	if got := sim.level(1, "moves"); got < before {
		t.Errorf("units of plan a were subtracted under plan b: level %.1f, was %.1f", got, before)
	}
	sim.request(0, "moves", 1, 2) // now the customer is on plan b at both gateways
	sim.advance(time.Second, true)
	if got := sim.level(1, "moves"); got < before-3 || got > before-0.5 {
		t.Errorf("level %.1f, was %.1f; want the 2 units of plan b subtracted, and none of the 5 of plan a", got, before)
	}
}

// A request in flight keeps its class: it is not sent again if its class becomes idempotent in the meantime,
// because it was sent as non-idempotent.
func TestInFlightKeepsClass(t *testing.T) {
	sim := newSimulation(1, 4, func(sim *simulation) { sim.classes[0].Effect = gateway.NonIdempotent })
	sim.gateways[0].gateway.retryBudget = 5
	sim.arrive(0, "c", 1)
	safe := sim.classes[0]
	safe.Effect = gateway.Idempotent
	sim.reconfigure(gateway.SettingsUpdate{
		Classes: []gateway.ClassUpdate{{Index: 0, Class: safe}, {Index: 1, Class: safe}},
	})
	sim.finishAttempt(0, 0, gateway.Disconnected, false)
	if sim.gateways[0].gateway.endpoints.inFlight != 0 {
		t.Error("a request was retried that was non-idempotent when it was sent")
	}
	sim.advance(time.Second/10, true)
	sim.arrive(0, "c", 1)
	sim.finishAttempt(0, 0, gateway.Disconnected, false)
	if sim.gateways[0].gateway.endpoints.inFlight != 1 {
		t.Error("a new request was not retried: the new effect of the class is not in force")
	}
	sim.finishAll(0)
	sim.deliver(0, gateway.Event{
		Kind:      gateway.RequestArrived,
		RequestID: "new class",
		Customer:  "d",
		Class:     1,
		Deadline:  sim.now.Add(time.Second),
		Units:     1,
		Spread:    1,
	})
	if sim.gateways[0].gateway.endpoints.inFlight != 1 {
		t.Error("a request of the added class was not sent")
	}
}

// When a fleet grows from 3 to 4 gateways, admissions that were not sent before are sent, and none is subtracted
// twice.
func TestFleetGrowthSubtractsAdmissionsOnce(t *testing.T) {
	sim := fleetOf(3, gateway.Plan{ID: 7, Rate: 1, Burst: 100, PriorityWeight: 1})
	sim.advance(3*time.Second, true)
	sim.request(0, "c", 0, 40)
	sim.advance(3*time.Second, true)
	if got := sim.level(1, "c"); got < 60 || got > 67 {
		t.Fatalf("level %.1f, want 60 and what was refilled", got)
	}
	sim.request(0, "c", 0, 10) // not sent before the change
	sim.gateways[0].gateway.Reconfigure(sim.now, &gateway.SettingsUpdate{Members: 4})
	sim.deliver(0, gateway.Event{Kind: gateway.TimerFired})
	for _, message := range sim.gateways[0].messages {
		decoded := false
		format := gossip.Format{Members: 3, PlansByID: true}
		format.Decode(message, func(uint64, uint64) bool { decoded = true; return false }, nil, nil)
		if decoded {
			t.Error("a message of a fleet of 4 was decoded by a gateway in a fleet of 3")
		}
	}
	for _, s := range sim.gateways[1:] {
		s.gateway.Reconfigure(sim.now, &gateway.SettingsUpdate{Members: 4})
	}
	sim.gateways = append(sim.gateways, &simulatedGateway{simulation: sim, index: 3})
	sim.restart(3, 4, 4)
	sim.request(0, "c", 0, 5)
	sim.advance(3*time.Second, true)
	if got := sim.level(1, "c"); got < 48 || got > 65 {
		t.Errorf("level %.1f after the change, want 60 less 5 or 15, and 6 refilled", got)
	}
	sim.request(1, "c", 0, 10)
	sim.advance(time.Second, true)
	if got, want := sim.level(2, "c"), sim.level(1, "c"); got > want+1 || got < want-1 {
		t.Errorf("levels differ after the change: %.1f and %.1f", got, want)
	}
}
