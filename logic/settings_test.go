package logic

import (
	"fmt"
	"testing"
	"time"

	"ravensill/gateway"
	"ravensill/internal/gossip"
)

// fleetOf starts gateways whose quota plans are named by ID, one customer's request at each possible.
func fleetOf(n int, plans ...gateway.Plan) *simulation {
	return newSimulation(n, 4, func(w *simulation) { w.plans = plans })
}

func (w *simulation) reconfigure(u gateway.Update) {
	for _, s := range w.gateways {
		s.gateway.Reconfigure(w.now, &u)
	}
}

// request lets one of a customer in, on a plan; it tells whether it was sent on.
func (w *simulation) request(i int, customer string, plan int, units float64) bool {
	g := w.gateways[i].gateway
	passed := g.admitted
	w.deliver(i, gateway.Event{Kind: gateway.RequestArrived, RequestID: fmt.Sprintf("%s %d %d", customer, w.now, passed), Customer: customer,
		Plan: plan, Deadline: w.now.Add(2500 * ms), Units: units, Spread: len(w.gateways)})
	w.finishAll(i)
	return g.admitted > passed
}

func (w *simulation) level(i int, customer string) float64 {
	g := w.gateways[i].gateway
	c := g.customers[hashText(customer)]
	g.refill(c)
	return c.level
}

func setPlan(index int, p gateway.Plan) gateway.Update {
	return gateway.Update{Plans: []gateway.PlanUpdate{{Index: index, Plan: p}}}
}

func TestRaisedPlanGivesNoBurst(t *testing.T) {
	w := fleetOf(1, gateway.Plan{ID: 7, Rate: 10, Burst: 10, PriorityWeight: 1})
	w.request(0, "c", 0, 8)
	w.reconfigure(setPlan(0, gateway.Plan{ID: 7, Rate: 1000, Burst: 1000, PriorityWeight: 1}))
	if got := w.level(0, "c"); got > 2.1 {
		t.Errorf("a raise gave units at once: %.1f, 2 were left", got)
	}
	w.advance(time.Second, true)
	if got := w.level(0, "c"); got < 900 {
		t.Errorf("the raised rate is not in force after a second: %.1f units", got)
	}
}

func TestLoweredPlanBindsAtOnce(t *testing.T) {
	w := fleetOf(1, gateway.Plan{ID: 7, Rate: 1000, Burst: 1000, PriorityWeight: 1},
		gateway.Plan{ID: 9, Rate: 1000, Burst: 1000, PriorityWeight: 1, CeilingRate: 1000, CeilingBurst: 1000})
	w.advance(2*time.Second, true)
	w.request(0, "quota", 0, 1)
	w.request(0, "c", 1, 1)
	w.reconfigure(setPlan(0, gateway.Plan{ID: 7, Rate: 10, Burst: 10, PriorityWeight: 1}))
	w.reconfigure(setPlan(1, gateway.Plan{ID: 9, Rate: 1000, Burst: 1000, PriorityWeight: 1, CeilingRate: 5, CeilingBurst: 5}))
	if w.request(0, "quota", 0, 20) {
		t.Error("20 units were admitted under a burst of 10")
	}
	if w.request(0, "c", 1, 20) {
		t.Error("20 units were admitted under a ceiling of 5")
	}
	if c := w.gateways[0].gateway.customers[hashText("c")]; c.ceilingLevel > 5 || c.ceilingRate != 5 {
		t.Errorf("the old ceiling is kept: %.1f units, %.1f a second", c.ceilingLevel, c.ceilingRate)
	}
}

// Two gateways whose versions differ: one has the plans in another order and lacks one. No plan's admissions are charged to
// another, also when a customer moves from plan to plan.
func TestTotalsNamePlansByID(t *testing.T) {
	a, b := gateway.Plan{ID: 7, Rate: 0.1, Burst: 10, PriorityWeight: 1}, gateway.Plan{ID: 9, Rate: 0.1, Burst: 10, PriorityWeight: 1}
	w := fleetOf(2, a, b)
	w.gateways[1].gateway = New(2, gateway.Membership{Index: 1, Count: 2, Gossip: true, MessageRate: 40}, w.classes,
		[]gateway.Plan{b}, w.limits, w.cold, gateway.LoadReportForm{})
	w.deliver(1, gateway.Event{Kind: gateway.EndpointsListed, Endpoints: []gateway.Endpoint{{Host: 1}}})
	w.advance(time.Second, true)
	w.request(0, "on-a", 0, 6)
	w.request(0, "on-b", 1, 6)
	w.advance(time.Second, true)
	other := w.gateways[1].gateway
	if other.customers[hashText("on-a")] != nil || other.unmatchedCounters == 0 {
		t.Error("a total of an unknown plan was charged, or was not counted")
	}
	if got := w.level(1, "on-b"); got > 5 {
		t.Errorf("the copy of the plan that both know holds %.1f, 4 and what was refilled wanted", got)
	}
	w.request(1, "moves", 0, 1)
	before := w.level(1, "moves")
	w.request(0, "moves", 0, 5)
	w.advance(time.Second, true)
	if got := w.level(1, "moves"); got < before {
		t.Errorf("plan a's admissions were charged to plan b's copy: %.1f of %.1f", got, before)
	}
	w.request(0, "moves", 1, 2) // it is on plan b at both now
	w.advance(time.Second, true)
	if got := w.level(1, "moves"); got < before-3 || got > before-0.5 {
		t.Errorf("of plan b's 2 units and none of plan a's 5 the copy holds %.1f of %.1f", got, before)
	}
}

// What is in flight under a class keeps it: a class that becomes safe must not make a request repeat that was sent as unsafe.
func TestInFlightKeepsClass(t *testing.T) {
	w := newSimulation(1, 4, func(w *simulation) { w.classes[0].Effect = gateway.NonIdempotent })
	w.gateways[0].gateway.retryBudget = 5
	w.arrive(0, "c", 1)
	safe := w.classes[0]
	safe.Effect = gateway.Idempotent
	w.reconfigure(gateway.Update{Classes: []gateway.ClassUpdate{{Index: 0, Class: safe}, {Index: 1, Class: safe}}})
	w.finishAttempt(0, 0, gateway.Disconnected, false)
	if w.gateways[0].gateway.endpoints.inFlight != 0 {
		t.Error("a request was sent again that was unsafe when it was sent")
	}
	w.advance(time.Second/10, true)
	w.arrive(0, "c", 1)
	w.finishAttempt(0, 0, gateway.Disconnected, false)
	if w.gateways[0].gateway.endpoints.inFlight != 1 {
		t.Error("the class's new effect is not in force")
	}
	w.finishAll(0)
	w.deliver(0, gateway.Event{Kind: gateway.RequestArrived, RequestID: "new class", Customer: "d", Class: 1, Deadline: w.now.Add(time.Second), Units: 1, Spread: 1})
	if w.gateways[0].gateway.endpoints.inFlight != 1 {
		t.Error("the added class is not served")
	}
}

// The fleet grows from 3 to 4 gateways, one after the other. What was admitted and not told is told, nothing is charged twice.
func TestMembersJoin(t *testing.T) {
	w := fleetOf(3, gateway.Plan{ID: 7, Rate: 1, Burst: 100, PriorityWeight: 1})
	w.advance(3*time.Second, true)
	w.request(0, "c", 0, 40)
	w.advance(3*time.Second, true)
	if got := w.level(1, "c"); got < 60 || got > 67 {
		t.Fatalf("copy holds %.1f, 60 and what was refilled wanted", got)
	}
	w.request(0, "c", 0, 10) // not told when the change comes
	w.gateways[0].gateway.Reconfigure(w.now, &gateway.Update{Members: 4})
	w.deliver(0, gateway.Event{Kind: gateway.TimerFired})
	for _, body := range w.gateways[0].messages {
		sound := false
		format := gossip.Format{Members: 3, ByID: true}
		format.Decode(body, func(uint64, uint64) bool { sound = true; return false }, nil, nil)
		if sound {
			t.Error("a message of a fleet of 4 is read in one of 3")
		}
	}
	for _, s := range w.gateways[1:] {
		s.gateway.Reconfigure(w.now, &gateway.Update{Members: 4})
	}
	w.gateways = append(w.gateways, &simulatedGateway{simulation: w, index: 3})
	w.restart(3, 4, 4)
	w.request(0, "c", 0, 5)
	w.advance(3*time.Second, true)
	if got := w.level(1, "c"); got < 48 || got > 65 {
		t.Errorf("copy holds %.1f after the change: 60 less 5 or 15, and 6 refilled, wanted", got)
	}
	w.request(1, "c", 0, 10)
	w.advance(time.Second, true)
	if got, here := w.level(2, "c"), w.level(1, "c"); got > here+1 || got < here-1 {
		t.Errorf("copies differ after the change: %.1f and %.1f", got, here)
	}
}
