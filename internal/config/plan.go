package config

import "ravensill/gateway"

// DecodePlan reads one quota plan from its own JSON object, by the same code as the list of a whole configuration: same
// keys, same checks, and the same meaning where keys contradict each other. path is the plan's place among the settings,
// such as "plans.3"; errors and adjustments name keys by it.
func DecodePlan(path, raw string) (plan gateway.Plan, name string, adjusted []Adjustment, err error) {
	item, err := newSettings(path, raw)
	if err != nil {
		return gateway.Plan{}, "", nil, err
	}
	plan, name, adjusted = item.plan()
	if item.err == nil {
		item.err = keyError(path+".name", checkPlan(name))
	}
	return plan, name, adjusted, item.err
}

// plan reads the object as one quota plan.
func (s *settings) plan() (plan gateway.Plan, name string, adjusted []Adjustment) {
	name = s.text("name")
	plan = gateway.Plan{
		Rate:           s.num("rate"),
		Burst:          s.num("burst"),
		MaxInFlight:    s.whole("parallel"),
		CeilingRate:    s.num("ceiling_rate"),
		CeilingBurst:   s.num("cap_depth"),
		CeilingSlack:   s.num("ceiling_slack"),
		PriorityWeight: s.num("worth_factor"),
		OverQuotaValue: s.num("extra_worth"),
		OverQuotaCost:  s.num("beyond_costs"),
	}
	return plan, name, s.shapePlan(&plan)
}

// shapePlan gives keys of a plan that contradict each other their one meaning.
func (s *settings) shapePlan(plan *gateway.Plan) (adjusted []Adjustment) {
	if plan.Rate == 0 && plan.Burst > 0 {
		adjusted = append(adjusted, adjustment(s.prefix+"burst", "ignored: without a rate there is no such quota"))
		plan.Burst = 0
	}
	if plan.CeilingRate == 0 && plan.CeilingBurst > 0 {
		adjusted = append(adjusted, adjustment(s.prefix+"cap_depth", "ignored: without a ceiling_rate there is no ceiling"))
		plan.CeilingBurst = 0
	}
	if s.says("rate", "0") && plan.MaxInFlight == 0 && plan.CeilingRate == 0 {
		adjusted = append(adjusted, adjustment(s.prefix+"rate",
			"0 is no quota, and neither parallel nor ceiling_rate is told: the plan is not bounded"))
	}
	return adjusted
}

// checkPlan looks for what a gateway on sockets can't do without: a name, by which commands know the plan.
func checkPlan(name string) error {
	if name == "" {
		return errMissing
	}
	return nil
}
