package logic

import "ravensill/gateway"

// The settings that may change while a gateway runs. What a change means for a customer's copy stands in customer.go.

// Reconfigure puts a new version of the settings in force, between two rounds. What is in flight keeps its class;
// a customer comes under its plan's new version when it is next looked at (refill), in a second at the latest.
func (g *Gateway) Reconfigure(now int64, u *gateway.Update) {
	for i := range u.Plans {
		g.setPlan(&u.Plans[i])
	}
	for i := range u.Classes {
		g.setClass(&u.Classes[i])
	}
	if u.Limits != nil {
		g.limits = *u.Limits
	}
	if u.Members > 0 && u.Members != len(g.peers) {
		g.setFleetSize(u.Members)
		g.resizedAt = now
		g.endpoints.chooseSubset()
	}
}

// setPlan sets or removes a plan. An index is of one plan for good.
func (g *Gateway) setPlan(u *gateway.PlanUpdate) {
	g.plans = append(g.plans, make([]*gateway.Plan, max(u.Index+1-len(g.plans), 0))...)
	g.plans[u.Index], g.byID[u.Plan.ID] = &u.Plan, u.Index
	if u.Removed {
		g.plans[u.Index] = nil
		delete(g.byID, u.Plan.ID)
	}
}

// setClass sets a class of requests. One that changes keeps what was learned of its answers.
func (g *Gateway) setClass(u *gateway.ClassUpdate) {
	next := &class{u.Class, u.Index, float64(u.Class.LatencyObjective) / 6, 1}
	g.classes = append(g.classes, make([]*class, max(u.Index+1-len(g.classes), 0))...)
	if last := g.classes[u.Index]; last != nil {
		next.typicalLatency, next.typicalUnits = last.typicalLatency, last.typicalUnits
	}
	g.classes[u.Index] = next
}
