package logic

import "ravensill/gateway"

// The settings that may change while a gateway runs. What a change means for a customer's copy stands in customer.go.

// Reconfigure puts a new version of the settings in force, between two rounds. What is in flight keeps its class;
// a customer comes under its plan's new version when it is next looked at (refill), in a second at the latest.
func (g *Gateway) Reconfigure(now int64, u *gateway.Update) {
	for i := range u.Plans {
		g.quota(&u.Plans[i])
	}
	for i := range u.Classes {
		g.class(&u.Classes[i])
	}
	if u.Limits != nil {
		g.limits = *u.Limits
	}
	if u.Members > 0 && u.Members != len(g.peers) {
		g.resize(u.Members)
		g.joined = now
		g.fleet.choose()
	}
}

// quota sets or removes a plan. An index is of one plan for good.
func (g *Gateway) quota(u *gateway.PlanUpdate) {
	g.plans = append(g.plans, make([]*gateway.Plan, max(u.Index+1-len(g.plans), 0))...)
	g.plans[u.Index], g.byID[u.Plan.ID] = &u.Plan, u.Index
	if u.Removed {
		g.plans[u.Index] = nil
		delete(g.byID, u.Plan.ID)
	}
}

// class sets a class of requests. One that changes keeps what was learned of its answers.
func (g *Gateway) class(u *gateway.ClassUpdate) {
	next := &front{u.Class, u.Index, float64(u.Class.Target) / 6, 1}
	g.fronts = append(g.fronts, make([]*front, max(u.Index+1-len(g.fronts), 0))...)
	if last := g.fronts[u.Index]; last != nil {
		next.usual, next.units = last.usual, last.units
	}
	g.fronts[u.Index] = next
}
