package logic

import "ravensill/gateway"

// Reconfigure applies a new version of the settings that may change while a gateway runs. It is called between
// two batches. A request in flight keeps its class; a customer is moved to its plan's new version by the next
// refill, within a second.
func (g *Gateway) Reconfigure(now gateway.Time, update *gateway.SettingsUpdate) {
	for i := range update.Plans {
		g.setPlan(&update.Plans[i])
	}
	for i := range update.Classes {
		g.setClass(&update.Classes[i])
	}
	if update.Limits != nil {
		g.limits = *update.Limits
	}
	if update.Members > 0 && update.Members != len(g.peers) {
		g.setFleetSize(update.Members)
		g.resizedAt = now
		g.endpoints.chooseSubset()
	}
}

// setPlan sets or removes a plan. An index belongs to one plan for good.
func (g *Gateway) setPlan(update *gateway.PlanUpdate) {
	missing := max(update.Index+1-len(g.plans), 0)
	g.plans = append(g.plans, make([]*gateway.Plan, missing)...)
	if update.Removed {
		g.plans[update.Index] = nil
		delete(g.planByID, update.Plan.ID)
		return
	}
	g.plans[update.Index] = &update.Plan
	g.planByID[update.Plan.ID] = update.Index
}

// setClass sets a request class. A class that changes keeps what was measured of its answers.
func (g *Gateway) setClass(update *gateway.ClassUpdate) {
	next := &class{
		RequestClass:   update.Class,
		index:          update.Index,
		typicalLatency: float64(update.Class.LatencyObjective) / 6,
		typicalUnits:   1,
	}
	missing := max(update.Index+1-len(g.classes), 0)
	g.classes = append(g.classes, make([]*class, missing)...)
	if previous := g.classes[update.Index]; previous != nil {
		next.typicalLatency = previous.typicalLatency
		next.typicalUnits = previous.typicalUnits
	}
	g.classes[update.Index] = next
}
