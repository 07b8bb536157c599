package config_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"
	"time"

	"ravensill/gateway"
	"ravensill/internal/config"
	"ravensill/logic"
)

type writer struct{ gateway.Actions }

func (writer) StartAttempt(string, uint32, time.Duration)  {}
func (writer) Reject(string, time.Duration)                {}
func (writer) Fail(string)                                 {}
func (writer) CancelAttempt(string, int)                   {}
func (writer) LogNote(string)                              {}
func (writer) SendProbe(uint32)                            {}
func (writer) SetTimer(time.Duration)                      {}
func (writer) WatchEndpoints()                             {}
func (writer) SendGossip(int, []byte)                      {}
func (writer) AddToCounter(uint64, float64, time.Duration) {}

// Draws of all that the operators' pages say the settings may hold start, and a request of each class and plan is decided.
func TestDrawnSettingsNeverRefuseStart(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	one := func(of ...any) any { return of[r.IntN(len(of))] }
	yes := func() bool { return r.IntN(2) == 0 }
	file := filepath.Join(t.TempDir(), "config.json")
	for i := range 400 {
		some := func(m map[string]any) map[string]any { // now and then a key is absent, null or one nobody knows
			for k := range m {
				if k != "name" && k != "hard_limit_us" && k != "balancers" && k != "profiles" && k != "plans" && k != "limits" && r.IntN(40) == 0 {
					if m[k] = nil; yes() {
						delete(m, k)
					}
				}
			}
			m["later_key"] = one(1, "x", nil, []int{1}, map[string]any{})
			return m
		}
		var profiles, plans, peers []any
		for j := range 1 + r.IntN(4) {
			profiles = append(profiles, some(map[string]any{"name": fmt.Sprint("c", j), "effect": one("safe", "keyed", "unsafe"), "group": one("all", "zone", "cell"),
				"window_us": one(0, 1, 200000, 5000000), "target_us": one(0, 1, 80000, 800000, 9000000), "hard_limit_us": one(1, 100000, 300000, 3000000),
				"late_worth": one(0, 0.2, 1, 1.5), "points": one(0, 1, 20.5), "stream": yes(), "aim_stretch": one(0, 3.5)}))
		}
		for j := range 1 + r.IntN(4) {
			plans = append(plans, some(map[string]any{"name": fmt.Sprint("p", j), "rate": one(0, 0.86, 20), "burst": one(0, 0.5, 4), "cap_depth": one(0, 55), "ceiling_rate": one(0, 45),
				"ceiling_slack": one(0, 6), "parallel": one(0, 2), "beyond_costs": one(0, 0.8), "extra_worth": one(0, 0.3), "worth_factor": one(0, 0.45, 1.4)}))
		}
		n := one(1, 2, 3, 30).(int)
		for j := range n {
			peers = append(peers, fmt.Sprint("10.3.0.1:", 7000+j))
		}
		settings := some(map[string]any{"balancers": n, "position": n - 1, "locality": r.IntN(3), "zones": one([]string{"a", "b", "c"}, []string{"a"}, []string{}),
			"skus": one([]string{"m"}, []string{}), "tiers": []string{"x"}, "layer": 0, "step_us": 4000, "domain_type": "gate", "clients": map[string]any{"marks_retry": yes()},
			"membership_mode": one("pushed", "on_request"), "weights": one("off", "nominal", "rough", "live"), "profiles": profiles, "plans": plans,
			"report": some(map[string]any{"how": one("off", "inline", "on_probe"), "names": one([]string{}, []string{"utilization", "outstanding", "recent_ms", "odd"})}),
			"limits": some(map[string]any{"cancelling": yes(), "conn_idle_us": one(0, 15000000), "connect_timeout_us": one(0, 250000, 2000000), "cpu_us_per_request": 0.5,
				"cpu_us_per_s": 400000, "max_attempts": one(0, 1, 3), "max_open": 20000, "max_retry_after_us": one(0, 500000), "parallel_tries": yes(),
				"peer_messages": yes(), "probes": yes(), "retry_after": yes(), "streams_per_conn": one(1, 32)}),
			"family_info": some(map[string]any{"shared_counter": yes(), "call_price": 0.1, "count_wait_us": one(0, 50000, 500000), "metering_us": one(0, 1000000), "units_top": one(1, 5),
				"mail_per_s": one(0, 0.5, 40), "settles": yes()}),
			"rules": some(map[string]any{"answer_slack_us": 16000, "ask_within_us": 1, "drain_grace_us": 500000, "fall_multiple": one(0, 1, 2.5), "fall_us": one(0, 3000000),
				"start_capacity": one(0, 0.19, 1), "warm_up_us": one(0, 15000000)}),
			"penalties": map[string]any{"peer": 0.1}, "goal": map[string]any{"whole": 1}})
		cfg := some(map[string]any{"name": "n", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "limits": map[string]any{"cores": 0.5, "memory_mb": one(32, 64, 192, 2048.5), "sockets": one(64, 384, 4096)},
			"peer_listen": "127.0.0.1:3", "peers": peers, "peers_all": "10.3.255.1:1", "settings": settings})
		cfg["listen"], cfg["discovery"], cfg["settings"], cfg["peers"], cfg["peer_listen"] = "127.0.0.1:1", "127.0.0.1:2", settings, peers, "127.0.0.1:3"
		if yes() {
			cfg["counter"] = "10.4.0.1:1"
		}
		if k := one("", "{}", `{"version":0,"full":true,"servers":[]}`, "null").(string); k != "" {
			cfg["known"] = json.RawMessage(k)
		}
		text, err := json.Marshal(cfg)
		if err != nil {
			t.Fatal(err)
		}
		os.WriteFile(file, text, 0o600)
		c, err := config.Load(func(name string) string { return map[string]string{"GW_CONFIG": file}[name] })
		if err != nil {
			t.Fatalf("draw %d: %v\n%s", i, err, text)
		}
		g := logic.New(c.Seed, c.Membership, c.Classes, c.Plans, c.Limits, c.SlowStart, c.LoadReport)
		round := gateway.Batch{Now: 1e9, Events: []gateway.Event{{Kind: gateway.EndpointsListed, ListKind: gateway.ListCached, Endpoints: []gateway.Endpoint{{Host: 1, State: gateway.Running, Weight: 1}, {Host: 2, State: gateway.Running, StartedAt: 9e8}}}}}
		for f := range c.Classes {
			for p := range c.Plans {
				round.Events = append(round.Events, gateway.Event{Kind: gateway.RequestArrived, RequestID: fmt.Sprint(f, p), Customer: "0000000000000001", Class: f, Plan: p, Deadline: gateway.Time(1e9).Add(c.Classes[f].Timeout),
					Units: 1, Spread: 1 + r.IntN(n), FirstGateway: r.IntN(n)})
			}
		}
		g.Decide(&round, writer{})
		for k := range 60 {
			g.Decide(&gateway.Batch{Now: 1e9 + gateway.Time(k)*4e7, Events: []gateway.Event{{Kind: gateway.TimerFired}}}, writer{})
		}
	}
}
