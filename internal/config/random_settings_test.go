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

// discardingActions implements the actions of a decision module and does nothing.
type discardingActions struct{ gateway.Actions }

func (discardingActions) StartAttempt(string, uint32, time.Duration)  {}
func (discardingActions) Reject(string, time.Duration)                {}
func (discardingActions) Fail(string)                                 {}
func (discardingActions) CancelAttempt(string, int)                   {}
func (discardingActions) LogNote(string)                              {}
func (discardingActions) SendProbe(uint32)                            {}
func (discardingActions) SetTimer(time.Duration)                      {}
func (discardingActions) WatchEndpoints()                             {}
func (discardingActions) SendGossip(int, []byte)                      {}
func (discardingActions) AddToCounter(uint64, float64, time.Duration) {}

// A gateway must start with any settings that the operators' documentation allows, and decide a request of each class
// and plan.
func TestRandomSettingsStartAndDecideRequests(t *testing.T) {
	r := randomSettings{rand.New(rand.NewPCG(1, 2))}
	file := filepath.Join(t.TempDir(), "config.json")
	getenv := func(name string) string { return map[string]string{"GW_CONFIG": file}[name] }
	for i := range 400 {
		text, err := json.Marshal(r.file())
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(file, text, 0o600); err != nil {
			t.Fatal(err)
		}
		cfg, err := config.Load(getenv)
		if err != nil {
			t.Fatalf("draw %d: %v\n%s", i, err, text)
		}
		decideRequests(r.Rand, cfg)
	}
}

// decideRequests has a decision module decide a request of each class and plan, and lets its timer fire several times.
func decideRequests(random *rand.Rand, cfg *config.Config) {
	const start = gateway.Time(time.Second)
	listed := gateway.Event{
		Kind:     gateway.EndpointsListed,
		ListKind: gateway.ListCached,
		Endpoints: []gateway.Endpoint{
			{Host: 1, State: gateway.Running, Weight: 1},
			{Host: 2, State: gateway.Running, StartedAt: start.Add(-100 * time.Millisecond)},
		},
	}
	batch := gateway.Batch{Now: start, Events: []gateway.Event{listed}}
	members := cfg.Membership.Count
	for class := range cfg.Classes {
		for plan := range cfg.Plans {
			batch.Events = append(batch.Events, gateway.Event{
				Kind:         gateway.RequestArrived,
				RequestID:    fmt.Sprint(class, plan),
				Customer:     "0000000000000001",
				Class:        class,
				Plan:         plan,
				Deadline:     start.Add(cfg.Classes[class].Timeout),
				Units:        1,
				Spread:       1 + random.IntN(members),
				FirstGateway: random.IntN(members),
			})
		}
	}
	module := logic.New(cfg.Seed, cfg.Membership, cfg.Classes, cfg.Plans, cfg.Limits, cfg.SlowStart, cfg.LoadReport)
	module.Decide(&batch, discardingActions{})
	for i := range 60 {
		now := start.Add(time.Duration(i) * 40 * time.Millisecond)
		timer := []gateway.Event{{Kind: gateway.TimerFired}}
		module.Decide(&gateway.Batch{Now: now, Events: timer}, discardingActions{})
	}
}

// randomSettings generates random configuration files.
type randomSettings struct{ *rand.Rand }

// object is a JSON object.
type object = map[string]any

func (r randomSettings) oneOf(values ...any) any { return values[r.IntN(len(values))] }

func (r randomSettings) boolean() bool { return r.IntN(2) == 0 }

// required has the keys that varied always keeps.
var required = map[string]bool{
	"name":          true,
	"hard_limit_us": true,
	"balancers":     true,
	"profiles":      true,
	"plans":         true,
	"limits":        true,
	"listen":        true,
	"discovery":     true,
	"settings":      true,
	"peers":         true,
	"peer_listen":   true,
}

// varied returns the object with a few keys removed or set to null, and with an unknown key.
func (r randomSettings) varied(keys object) object {
	for key := range keys {
		if required[key] || r.IntN(40) != 0 {
			continue
		}
		keys[key] = nil
		if r.boolean() {
			delete(keys, key)
		}
	}
	keys["later_key"] = r.oneOf(1, "x", nil, []int{1}, object{})
	return keys
}

// list returns a list of one to four elements.
func (r randomSettings) list(element func(i int) object) (elements []any) {
	for i := range 1 + r.IntN(4) {
		elements = append(elements, element(i))
	}
	return elements
}

func (r randomSettings) class(i int) object {
	return r.varied(object{
		"name":          fmt.Sprint("c", i),
		"effect":        r.oneOf("safe", "keyed", "unsafe"),
		"group":         r.oneOf("all", "zone", "cell"),
		"window_us":     r.oneOf(0, 1, 200000, 5000000),
		"target_us":     r.oneOf(0, 1, 80000, 800000, 9000000),
		"hard_limit_us": r.oneOf(1, 100000, 300000, 3000000),
		"late_worth":    r.oneOf(0, 0.2, 1, 1.5),
		"points":        r.oneOf(0, 1, 20.5),
		"stream":        r.boolean(),
		"aim_stretch":   r.oneOf(0, 3.5),
	})
}

func (r randomSettings) plan(i int) object {
	return r.varied(object{
		"name":          fmt.Sprint("p", i),
		"rate":          r.oneOf(0, 0.86, 20),
		"burst":         r.oneOf(0, 0.5, 4),
		"cap_depth":     r.oneOf(0, 55),
		"ceiling_rate":  r.oneOf(0, 45),
		"ceiling_slack": r.oneOf(0, 6),
		"parallel":      r.oneOf(0, 2),
		"beyond_costs":  r.oneOf(0, 0.8),
		"extra_worth":   r.oneOf(0, 0.3),
		"worth_factor":  r.oneOf(0, 0.45, 1.4),
	})
}

func (r randomSettings) limits() object {
	return r.varied(object{
		"cancelling":         r.boolean(),
		"conn_idle_us":       r.oneOf(0, 15000000),
		"connect_timeout_us": r.oneOf(0, 250000, 2000000),
		"cpu_us_per_request": 0.5,
		"cpu_us_per_s":       400000,
		"max_attempts":       r.oneOf(0, 1, 3),
		"max_open":           20000,
		"max_retry_after_us": r.oneOf(0, 500000),
		"parallel_tries":     r.boolean(),
		"peer_messages":      r.boolean(),
		"probes":             r.boolean(),
		"retry_after":        r.boolean(),
		"streams_per_conn":   r.oneOf(1, 32),
	})
}

func (r randomSettings) familyInfo() object {
	return r.varied(object{
		"shared_counter": r.boolean(),
		"call_price":     0.1,
		"count_wait_us":  r.oneOf(0, 50000, 500000),
		"metering_us":    r.oneOf(0, 1000000),
		"units_top":      r.oneOf(1, 5),
		"mail_per_s":     r.oneOf(0, 0.5, 40),
		"settles":        r.boolean(),
	})
}

func (r randomSettings) rules() object {
	return r.varied(object{
		"answer_slack_us": 16000,
		"ask_within_us":   1,
		"drain_grace_us":  500000,
		"fall_multiple":   r.oneOf(0, 1, 2.5),
		"fall_us":         r.oneOf(0, 3000000),
		"start_capacity":  r.oneOf(0, 0.19, 1),
		"warm_up_us":      r.oneOf(0, 15000000),
	})
}

func (r randomSettings) report() object {
	return r.varied(object{
		"how":   r.oneOf("off", "inline", "on_probe"),
		"names": r.oneOf([]string{}, []string{"utilization", "outstanding", "recent_ms", "odd"}),
	})
}

func (r randomSettings) settings(gateways int) object {
	return r.varied(object{
		"balancers":       gateways,
		"position":        gateways - 1,
		"locality":        r.IntN(3),
		"zones":           r.oneOf([]string{"a", "b", "c"}, []string{"a"}, []string{}),
		"skus":            r.oneOf([]string{"m"}, []string{}),
		"tiers":           []string{"x"},
		"layer":           0,
		"step_us":         4000,
		"domain_type":     "gate",
		"clients":         object{"marks_retry": r.boolean()},
		"membership_mode": r.oneOf("pushed", "on_request"),
		"weights":         r.oneOf("off", "nominal", "rough", "live"),
		"profiles":        r.list(r.class),
		"plans":           r.list(r.plan),
		"report":          r.report(),
		"limits":          r.limits(),
		"family_info":     r.familyInfo(),
		"rules":           r.rules(),
		"penalties":       object{"peer": 0.1},
		"goal":            object{"whole": 1},
	})
}

func (r randomSettings) file() object {
	gateways := r.oneOf(1, 2, 3, 30).(int)
	var peers []any
	for i := range gateways {
		peers = append(peers, fmt.Sprint("10.3.0.1:", 7000+i))
	}
	keys := r.varied(object{
		"name":      "n",
		"limits":    object{"cores": 0.5, "memory_mb": r.oneOf(32, 64, 192, 2048.5), "sockets": r.oneOf(64, 384, 4096)},
		"peers_all": "10.3.255.1:1",

		"listen":      "127.0.0.1:1",
		"discovery":   "127.0.0.1:2",
		"peer_listen": "127.0.0.1:3",
		"peers":       peers,
		"settings":    r.settings(gateways),
	})
	if r.boolean() {
		keys["counter"] = "10.4.0.1:1"
	}
	known := r.oneOf("", "{}", `{"version":0,"full":true,"servers":[]}`, "null").(string)
	if known != "" {
		keys["known"] = json.RawMessage(known)
	}
	return keys
}
