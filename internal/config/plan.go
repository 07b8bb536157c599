package config

import "ravensill/gateway"

// DecodePlan reads one quota plan from its JSON object, by the same code as DecodeSettings reads the list of them: with
// the same keys, checks and adjustments. path is the place of the object under the key settings, such as "plans.3";
// errors and adjustments name keys by it.
func DecodePlan(path, raw string) (plan gateway.Plan, name string, adjusted []Adjustment, err error) {
	reader, err := newObjectReader(path, raw)
	if err != nil {
		return gateway.Plan{}, "", nil, err
	}
	plan, name, adjusted = reader.plan()
	if reader.err == nil {
		reader.err = keyError(path+".name", checkPlan(name))
	}
	return plan, name, adjusted, reader.err
}

// plan reads the object as one quota plan and adjusts it. The keys that it reads are in planKeys.
func (r *objectReader) plan() (plan gateway.Plan, name string, adjusted []Adjustment) {
	name = r.text("name")
	plan = gateway.Plan{
		Rate:           r.number("rate"),
		Burst:          r.number("burst"),
		MaxInFlight:    r.integer("parallel"),
		CeilingRate:    r.number("ceiling_rate"),
		CeilingBurst:   r.number("cap_depth"),
		CeilingSlack:   r.number("ceiling_slack"),
		PriorityWeight: r.number("worth_factor"),
		OverQuotaValue: r.number("extra_worth"),
		OverQuotaCost:  r.number("beyond_costs"),
	}
	return plan, name, r.resolvePlan(&plan)
}

// resolvePlan adjusts keys of a plan that contradict each other, and reports a plan that limits nothing.
func (r *objectReader) resolvePlan(plan *gateway.Plan) (adjusted []Adjustment) {
	adjust := func(key, meaning string) {
		adjusted = append(adjusted, Adjustment{Key: r.prefix + key, Meaning: meaning})
	}
	if plan.Rate == 0 && plan.Burst > 0 {
		adjust("burst", "ignored: without a rate there is no such quota")
		plan.Burst = 0
	}
	if plan.CeilingRate == 0 && plan.CeilingBurst > 0 {
		adjust("cap_depth", "ignored: without a ceiling_rate there is no ceiling")
		plan.CeilingBurst = 0
	}
	if r.valueIs("rate", "0") && plan.MaxInFlight == 0 && plan.CeilingRate == 0 {
		adjust("rate", "0 is no quota, and neither parallel nor ceiling_rate is set: the plan is not bounded")
	}
	return adjusted
}

// checkPlan returns an error for a plan without a name: commands refer to plans by name.
func checkPlan(name string) error {
	if name == "" {
		return errMissing
	}
	return nil
}
