package logic

import (
	"fmt"
	"testing"
	"time"

	"ravensill/gateway"
	"ravensill/internal/gossip"
)

// fleetOf starts n gateways with quota plans that are named by ID.
func fleetOf(n int, plans ...gateway.Plan) *simulation {
	return newSimulation(n, 4, func(sim *simulation) { sim.plans = plans })
}

func (sim *simulation) reconfigure(u gateway.SettingsUpdate) {
	for _, s := range sim.gateways {
		s.gateway.Reconfigure(sim.now, &u)
	}
}

// request sends a request of a customer on a plan to gateway i, and reports whether it was admitted.
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

// A raised plan adds no units at once; its rate applies from then on.
func TestRaisedPlanGivesNoBurst(t *testing.T) {
	sim := fleetOf(1, gateway.Plan{ID: 7, Rate: 10, Burst: 10, PriorityWeight: 1})
	sim.request(0, "c", 0, 8)
	sim.reconfigure(setPlan(0, gateway.Plan{ID: 7, Rate: 1000, Burst: 1000, PriorityWeight: 1}))
	if got := sim.level(0, "c"); got > 2.1 {
		t.Errorf("a raise gave units at once: %.1f, 2 were left", got)
	}
	sim.advance(time.Second, true)
	if got := sim.level(0, "c"); got < 900 {
		t.Errorf("the raised rate is not in force after a second: %.1f units", got)
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
		t.Error("20 units were admitted under a burst of 10")
	}
	if sim.request(0, "c", 1, 20) {
		t.Error("20 units were admitted under a ceiling of 5")
	}
	if c := sim.gateways[0].gateway.customers[hashText("c")]; c.ceilingLevel > 5 || c.ceilingRate != 5 {
		t.Errorf("the old ceiling is kept: %.1f units, %.1f a second", c.ceilingLevel, c.ceilingRate)
	}
}

// Gateways with different versions of the plans charge no plan's admissions to another, also if a customer
// changes plans.
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
		t.Error("a counter of an unknown plan was charged, or was not counted")
	}
	if got := sim.level(1, "on-b"); got > 5 {
		t.Errorf("the copy of the plan that both know holds %.1f, 4 and what was refilled wanted", got)
	}
	sim.request(1, "moves", 0, 1)
	before := sim.level(1, "moves")
	sim.request(0, "moves", 0, 5)
	sim.advance(time.Second, true)
	if got := sim.level(1, "moves"); got < before {
		t.Errorf("plan a's admissions were charged to plan b's copy: %.1f of %.1f", got, before)
	}
	sim.request(0, "moves", 1, 2) // it is on plan b at both now
	sim.advance(time.Second, true)
	if got := sim.level(1, "moves"); got < before-3 || got > before-0.5 {
		t.Errorf("of plan b's 2 units and none of plan a's 5 the copy holds %.1f of %.1f", got, before)
	}
}

// A request in flight keeps its class: it is not repeated if the class becomes idempotent meanwhile.
func TestInFlightKeepsClass(t *testing.T) {
	sim := newSimulation(1, 4, func(sim *simulation) { sim.classes[0].Effect = gateway.NonIdempotent })
	sim.gateways[0].gateway.retryBudget = 5
	sim.arrive(0, "c", 1)
	safe := sim.classes[0]
	safe.Effect = gateway.Idempotent
	sim.reconfigure(gateway.SettingsUpdate{Classes: []gateway.ClassUpdate{{Index: 0, Class: safe}, {Index: 1, Class: safe}}})
	sim.finishAttempt(0, 0, gateway.Disconnected, false)
	if sim.gateways[0].gateway.endpoints.inFlight != 0 {
		t.Error("a request was sent again that was unsafe when it was sent")
	}
	sim.advance(time.Second/10, true)
	sim.arrive(0, "c", 1)
	sim.finishAttempt(0, 0, gateway.Disconnected, false)
	if sim.gateways[0].gateway.endpoints.inFlight != 1 {
		t.Error("the class's new effect is not in force")
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
		t.Error("the added class is not served")
	}
}

// When a fleet grows from 3 to 4 gateways, unsent admissions are sent and nothing is subtracted twice.
func TestFleetGrowthSubtractsAdmissionsOnce(t *testing.T) {
	sim := fleetOf(3, gateway.Plan{ID: 7, Rate: 1, Burst: 100, PriorityWeight: 1})
	sim.advance(3*time.Second, true)
	sim.request(0, "c", 0, 40)
	sim.advance(3*time.Second, true)
	if got := sim.level(1, "c"); got < 60 || got > 67 {
		t.Fatalf("copy holds %.1f, 60 and what was refilled wanted", got)
	}
	sim.request(0, "c", 0, 10) // unsent when the change comes
	sim.gateways[0].gateway.Reconfigure(sim.now, &gateway.SettingsUpdate{Members: 4})
	sim.deliver(0, gateway.Event{Kind: gateway.TimerFired})
	for _, body := range sim.gateways[0].messages {
		sound := false
		format := gossip.Format{Members: 3, PlansByID: true}
		format.Decode(body, func(uint64, uint64) bool { sound = true; return false }, nil, nil)
		if sound {
			t.Error("a message of a fleet of 4 is read in one of 3")
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
		t.Errorf("copy holds %.1f after the change: 60 less 5 or 15, and 6 refilled, wanted", got)
	}
	sim.request(1, "c", 0, 10)
	sim.advance(time.Second, true)
	if got, here := sim.level(2, "c"), sim.level(1, "c"); got > here+1 || got < here-1 {
		t.Errorf("copies differ after the change: %.1f and %.1f", got, here)
	}
}
