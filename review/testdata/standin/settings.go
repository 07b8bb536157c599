package main

// Settings of small days of the deployments, as the operators' site files give them. Where a site file gives a range,
// the figure lies in it.

// eastMids returns the settings of a gateway of east-mids-checkin.toml.
func eastMids(gateways, position int) map[string]any {
	settings := commonSettings(gateways, position)
	settings["zones"] = []string{"derby-dc1"}
	settings["skus"] = []string{"std-3core"}
	settings["tiers"] = []string{"checkin-nodes"}
	settings["profiles"] = []map[string]any{
		profile("lookup", "safe", 1, 600, 2500, 0.2),
		profile("check-in", "keyed", 3, 1500, 5000, 0),
	}
	settings["plans"] = []map[string]any{plan("standard", 5, 20, 1.3)}
	settings["rules"] = map[string]any{
		"answer_slack_us": 16000, "ask_within_us": 10000000, "drain_grace_us": 1000000, "fall_multiple": 3,
		"fall_us": 3000000, "start_capacity": 0.16, "warm_up_us": 18000000,
	}
	return settings
}

// joburgPanels returns the settings of a gateway of joburg-panels.toml.
func joburgPanels(gateways, position int) map[string]any {
	settings := commonSettings(gateways, position)
	settings["zones"] = []string{"hall-a", "hall-b", "hall-c"}
	settings["skus"] = []string{"small-2core"}
	settings["tiers"] = []string{"page-servers"}
	settings["profiles"] = []map[string]any{profile("page-fetch", "safe", 1, 1500, 6000, 0.2)}
	settings["plans"] = []map[string]any{plan("premium", 6, 16, 1.6)}
	settings["rules"] = map[string]any{
		"answer_slack_us": 16000, "ask_within_us": 10000000, "drain_grace_us": 1000000, "fall_multiple": 4,
		"fall_us": 3000000, "start_capacity": 0.25, "warm_up_us": 17000000,
	}
	return settings
}

// commonSettings returns what the deployments above have in common.
func commonSettings(gateways, position int) map[string]any {
	return map[string]any{
		"balancers": gateways, "position": position, "locality": 0, "membership_mode": "pushed", "weights": "nominal",
		"family_info": map[string]any{
			"mail_per_s": 60, "metering_us": 0, "settles": false, "shared_counter": false, "units_top": 8,
		},
		"limits": map[string]any{
			"cancelling": true, "conn_idle_us": 30000000, "connect_timeout_us": 250000, "max_attempts": 3,
			"max_retry_after_us": 1000000, "parallel_tries": true, "peer_messages": gateways > 1, "probes": false,
			"retry_after": true, "streams_per_conn": 32,
		},
		"report": map[string]any{"how": "off", "names": []string{}},
	}
}

// profile returns the settings of a request class. Times are in milliseconds.
func profile(name, effect string, points float64, target, limit int, lateWorth float64) map[string]any {
	return map[string]any{
		"name": name, "effect": effect, "group": "all", "points": points, "late_worth": lateWorth, "stream": false,
		"target_us": target * 1000, "hard_limit_us": limit * 1000, "window_us": 5000000,
	}
}

// plan returns the settings of a quota plan without a ceiling or a cap.
func plan(name string, rate, burst, worth float64) map[string]any {
	return map[string]any{
		"name": name, "rate": rate, "burst": burst, "worth_factor": worth, "beyond_costs": 0.5, "extra_worth": 0,
		"parallel": 0, "cap_depth": 0, "ceiling_rate": 0, "ceiling_slack": 0,
	}
}
