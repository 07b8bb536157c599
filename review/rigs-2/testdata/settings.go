package main

import "fmt"

// settings returns the settings of a small deployment for the gateway with an index.
func settings(members, index int, profiles, plans []object) object {
	return object{
		"balancers": members,
		"position":  index,
		"zones":     []string{"a"},
		"skus":      []string{"m"},
		"limits": object{"max_attempts": 3, "retry_after": true, "max_retry_after_us": 2000000, "cancelling": true,
			"peer_messages": true, "conn_idle_us": 30000000, "connect_timeout_us": 250000},
		"profiles":    profiles,
		"plans":       plans,
		"report":      object{"how": "inline", "names": []string{"utilization"}},
		"rules":       object{"start_capacity": 0.2, "warm_up_us": 12000000, "fall_multiple": 3, "fall_us": 3000000},
		"family_info": object{"mail_per_s": 60},
	}
}

// gatewayFile returns the configuration file of the gateway with an index.
func gatewayFile(listen, discovery string, peers []string, index int, profiles, plans []object) object {
	return object{
		"name":        fmt.Sprintf("n%d", index),
		"listen":      listen,
		"discovery":   discovery,
		"seed":        fmt.Sprintf("%016x", 77+index),
		"limits":      object{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"peer_listen": peers[index],
		"peers":       peers,
		"settings":    settings(len(peers), index, profiles, plans),
	}
}

// profile returns a request class; times are in milliseconds.
func profile(name, effect string, objective, timeout int) object {
	return object{"name": name, "effect": effect, "target_us": objective * 1000, "hard_limit_us": timeout * 1000,
		"points": 1, "late_worth": 0.2}
}

// openPlan is a quota plan that the load of a case stays far below.
func openPlan() object {
	return object{"name": "team", "rate": 4000, "burst": 8000, "worth_factor": 1}
}
