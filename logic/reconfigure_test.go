package logic

import (
	"fmt"
	"testing"

	"ravensill/gateway"
	"ravensill/internal/mail"
)

// fleetOf starts gateways whose quota plans are named by ID, one customer's request at each possible.
func fleetOf(n int, plans ...gateway.Plan) *world {
	return start(n, 4, func(w *world) { w.plans = plans })
}

func (w *world) reconfigure(u gateway.Update) {
	for _, s := range w.seats {
		s.g.Reconfigure(w.now, &u)
	}
}

// request lets one of a customer in, on a plan; it tells whether it was sent on.
func (w *world) request(i int, customer string, plan int, units float64) bool {
	g := w.seats[i].g
	passed := g.passed
	w.in(i, gateway.Event{Kind: gateway.Arrived, Req: fmt.Sprintf("%s %d %d", customer, w.now, passed), Customer: customer,
		Plan: plan, Until: w.now + 2500*ms, Units: units, Spread: len(w.seats)})
	w.pass(i)
	return g.passed > passed
}

func (w *world) level(i int, customer string) float64 {
	g := w.seats[i].g
	c := g.customers[hashText(customer)]
	g.refill(c)
	return c.level
}

func setPlan(index int, p gateway.Plan) gateway.Update {
	return gateway.Update{Plans: []gateway.PlanUpdate{{Index: index, Plan: p}}}
}

func TestRaisedPlanGivesNoBurst(t *testing.T) {
	w := fleetOf(1, gateway.Plan{ID: 7, Rate: 10, Burst: 10, Price: 1})
	w.request(0, "c", 0, 8)
	w.reconfigure(setPlan(0, gateway.Plan{ID: 7, Rate: 1000, Burst: 1000, Price: 1}))
	if got := w.level(0, "c"); got > 2.1 {
		t.Errorf("a raise gave units at once: %.1f, 2 were left", got)
	}
	w.wait(second, true)
	if got := w.level(0, "c"); got < 900 {
		t.Errorf("the raised rate is not in force after a second: %.1f units", got)
	}
}

func TestLoweredPlanBindsAtOnce(t *testing.T) {
	w := fleetOf(1, gateway.Plan{ID: 7, Rate: 1000, Burst: 1000, Price: 1},
		gateway.Plan{ID: 9, Rate: 1000, Burst: 1000, Price: 1, CeilingRate: 1000, CeilingBurst: 1000})
	w.wait(2*second, true)
	w.request(0, "quota", 0, 1)
	w.request(0, "c", 1, 1)
	w.reconfigure(setPlan(0, gateway.Plan{ID: 7, Rate: 10, Burst: 10, Price: 1}))
	w.reconfigure(setPlan(1, gateway.Plan{ID: 9, Rate: 1000, Burst: 1000, Price: 1, CeilingRate: 5, CeilingBurst: 5}))
	if w.request(0, "quota", 0, 20) {
		t.Error("20 units were admitted under a burst of 10")
	}
	if w.request(0, "c", 1, 20) {
		t.Error("20 units were admitted under a ceiling of 5")
	}
	if c := w.seats[0].g.customers[hashText("c")]; c.ceiling > 5 || c.ceilRate != 5 {
		t.Errorf("the old ceiling is kept: %.1f units, %.1f a second", c.ceiling, c.ceilRate)
	}
}

// Two gateways whose versions differ: one has the plans in another order and lacks one. No plan's admissions are charged to
// another, also when a customer moves from plan to plan.
func TestTotalsNamePlansByID(t *testing.T) {
	a, b := gateway.Plan{ID: 7, Rate: 0.1, Burst: 10, Price: 1}, gateway.Plan{ID: 9, Rate: 0.1, Burst: 10, Price: 1}
	w := fleetOf(2, a, b)
	w.seats[1].g = New(2, gateway.Seat{Index: 1, Count: 2, Messages: true, PerSecond: 40}, w.fronts,
		[]gateway.Plan{b}, w.limits, w.cold, gateway.Report{})
	w.in(1, gateway.Event{Kind: gateway.Listed, Hosts: []gateway.Listing{{Host: 1}}})
	w.wait(second, true)
	w.request(0, "on-a", 0, 6)
	w.request(0, "on-b", 1, 6)
	w.wait(second, true)
	other := w.seats[1].g
	if other.customers[hashText("on-a")] != nil || other.unmatched == 0 {
		t.Error("a total of an unknown plan was charged, or was not counted")
	}
	if got := w.level(1, "on-b"); got > 5 {
		t.Errorf("the copy of the plan that both know holds %.1f, 4 and what was refilled wanted", got)
	}
	w.request(1, "moves", 0, 1)
	before := w.level(1, "moves")
	w.request(0, "moves", 0, 5)
	w.wait(second, true)
	if got := w.level(1, "moves"); got < before {
		t.Errorf("plan a's admissions were charged to plan b's copy: %.1f of %.1f", got, before)
	}
	w.request(0, "moves", 1, 2) // it is on plan b at both now
	w.wait(second, true)
	if got := w.level(1, "moves"); got < before-3 || got > before-0.5 {
		t.Errorf("of plan b's 2 units and none of plan a's 5 the copy holds %.1f of %.1f", got, before)
	}
}

// What is in flight under a class keeps it: a class that becomes safe must not make a request repeat that was sent as unsafe.
func TestInFlightKeepsClass(t *testing.T) {
	w := start(1, 4, func(w *world) { w.fronts[0].Effect = gateway.NonReplayable })
	w.seats[0].g.retryBudget = 5
	w.arrive(0, "c", 1)
	safe := w.fronts[0]
	safe.Effect = gateway.Replayable
	w.reconfigure(gateway.Update{Classes: []gateway.ClassUpdate{{Index: 0, Class: safe}, {Index: 1, Class: safe}}})
	w.end(0, 0, gateway.Broken, false)
	if w.seats[0].g.pool.inFlight != 0 {
		t.Error("a request was sent again that was unsafe when it was sent")
	}
	w.wait(second/10, true)
	w.arrive(0, "c", 1)
	w.end(0, 0, gateway.Broken, false)
	if w.seats[0].g.pool.inFlight != 1 {
		t.Error("the class's new effect is not in force")
	}
	w.pass(0)
	w.in(0, gateway.Event{Kind: gateway.Arrived, Req: "new class", Customer: "d", Frontend: 1, Until: w.now + second, Units: 1, Spread: 1})
	if w.seats[0].g.pool.inFlight != 1 {
		t.Error("the added class is not served")
	}
}

// The fleet grows from 3 to 4 gateways, one after the other. What was admitted and not told is told, nothing is charged twice.
func TestMembersJoin(t *testing.T) {
	w := fleetOf(3, gateway.Plan{ID: 7, Rate: 1, Burst: 100, Price: 1})
	w.wait(3*second, true)
	w.request(0, "c", 0, 40)
	w.wait(3*second, true)
	if got := w.level(1, "c"); got < 60 || got > 67 {
		t.Fatalf("copy holds %.1f, 60 and what was refilled wanted", got)
	}
	w.request(0, "c", 0, 10) // not told when the change comes
	w.seats[0].g.Reconfigure(w.now, &gateway.Update{Members: 4})
	w.in(0, gateway.Event{Kind: gateway.Woke})
	for _, body := range w.seats[0].mail {
		sound := false
		mail.Form{Members: 3, ByID: true}.Read(body, func(uint64, uint64) bool { sound = true; return false }, nil, nil)
		if sound {
			t.Error("a message of a fleet of 4 is read in one of 3")
		}
	}
	for _, s := range w.seats[1:] {
		s.g.Reconfigure(w.now, &gateway.Update{Members: 4})
	}
	w.seats = append(w.seats, &seat{w: w, i: 3})
	w.boot(3, 4, 4)
	w.request(0, "c", 0, 5)
	w.wait(3*second, true)
	if got := w.level(1, "c"); got < 48 || got > 65 {
		t.Errorf("copy holds %.1f after the change: 60 less 5 or 15, and 6 refilled, wanted", got)
	}
	w.request(1, "c", 0, 10)
	w.wait(second, true)
	if got, here := w.level(2, "c"), w.level(1, "c"); got > here+1 || got < here-1 {
		t.Errorf("copies differ after the change: %.1f and %.1f", got, here)
	}
}
