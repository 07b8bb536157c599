package main

import (
	"encoding/json"
	"fmt"
	"testing"
)

// gatewayConfig is the JSON object that a test writes to the configuration file of a gateway.
type gatewayConfig struct {
	Name           string                 `json:"name"`
	Listen         string                 `json:"listen"`
	PeerListen     string                 `json:"peer_listen,omitempty"`
	Peers          []string               `json:"peers,omitempty"`
	Discovery      string                 `json:"discovery"`
	Counter        string                 `json:"counter,omitempty"`
	Seed           string                 `json:"seed"`
	Resources      resourceLimits         `json:"limits"`
	Known          hostList               `json:"known"`
	Settings       gatewaySettings        `json:"settings"`
	Configuration  *configurationSection  `json:"configuration,omitempty"`
	Counterfactual *counterfactualSection `json:"counterfactual,omitempty"`
	Pool           *poolSection           `json:"pool,omitempty"`

	// The remaining fields are for the test harness. The gateway ignores their keys.

	AgentHosts      []hostEntry `json:"agent,omitempty"`  // sent by the discovery agent in its first answer
	DescriptorLimit int         `json:"ulimit,omitempty"` // limit of the process; 0: as in the test's process

	// editText, if not nil, changes the text of the file to one that the types can't express.
	editText func(text []byte) []byte
}

// resourceLimits limit the memory and descriptors that a gateway uses.
type resourceLimits struct {
	MemoryMB int `json:"memory_mb,omitempty"`
	Sockets  int `json:"sockets,omitempty"`
}

// hostList is a list of hosts or a delta of one, as the discovery agent sends it.
type hostList struct {
	Version int         `json:"version"`
	Full    bool        `json:"full"`
	Hosts   []hostEntry `json:"servers"`
}

// hostEntry is one host of a host list.
type hostEntry struct {
	ID          string `json:"id"`
	Address     string `json:"addr"`
	Zone        string `json:"zone"`
	MachineType string `json:"kind"`
	Cell        int    `json:"cell"`
	State       string `json:"state"`
	Weight      int    `json:"weight"`
	StartedMS   int    `json:"started_ms"`
}

// gatewaySettings are the settings that the gateways of a deployment share.
type gatewaySettings struct {
	Members        int            `json:"balancers"`
	MemberIndex    int            `json:"position"`
	Zones          []string       `json:"zones"`
	MachineTypes   []string       `json:"skus"`
	MembershipMode string         `json:"membership_mode,omitempty"`
	Limits         requestLimits  `json:"limits"`
	Classes        []requestClass `json:"profiles"`
	Plans          []quotaPlan    `json:"plans"`
	LoadReport     loadReport     `json:"report"`
	Gossip         gossipSettings `json:"family_info"`
}

// requestLimits are the limits of the work that a gateway does for a request.
type requestLimits struct {
	MaxAttempts      int  `json:"max_attempts"`
	Cancellation     bool `json:"cancelling"`
	RetryAfter       bool `json:"retry_after"`
	ConnIdleUS       int  `json:"conn_idle_us"`
	ConnectTimeoutUS int  `json:"connect_timeout_us"`
	Gossip           bool `json:"peer_messages"`
}

type requestClass struct {
	Name               string `json:"name"`
	Effect             string `json:"effect"`
	LatencyObjectiveUS int    `json:"target_us"`
	TimeoutUS          int    `json:"hard_limit_us"`
	Points             int    `json:"points"`
	WindowUS           int    `json:"window_us"`
}

type quotaPlan struct {
	Name           string  `json:"name"`
	Rate           float64 `json:"rate,omitempty"`
	Burst          float64 `json:"burst,omitempty"`
	MaxInFlight    int     `json:"parallel,omitempty"`
	OverCapCost    float64 `json:"beyond_costs,omitempty"`
	PriorityWeight float64 `json:"worth_factor"`
}

// loadReport is the form of the load reports of hosts.
type loadReport struct {
	Mode   string   `json:"how"`
	Fields []string `json:"names"`
}

type gossipSettings struct {
	MessagesPerSecond int  `json:"mail_per_s"`
	SharedCounter     bool `json:"shared_counter,omitempty"`
	CounterTimeoutUS  int  `json:"count_wait_us,omitempty"`
}

// configurationSection makes a gateway follow the publishers of the configuration.
type configurationSection struct {
	Publishers []string `json:"publishers"`
	Directory  string   `json:"dir"`
}

// counterfactualSection turns the counterfactual observer on.
type counterfactualSection struct {
	Listen     string   `json:"listen"`
	Peers      []string `json:"peers,omitempty"`
	Collectors []int    `json:"collectors,omitempty"` // member indices
	Fraction   float64  `json:"part,omitempty"`       // fraction of the batches of events that is observed
	WindowMS   int      `json:"window_ms,omitempty"`
	GraceMS    int      `json:"grace_ms,omitempty"`
	QueueSize  int      `json:"queue,omitempty"`
}

// poolSection turns the connection quota on: gateways lease connections from a shared capacity.
type poolSection struct {
	Capacity     int      `json:"capacity"`
	Floor        int      `json:"floor"`
	Voters       []string `json:"voters"`
	VoterMembers []int    `json:"voter_seats"` // member indices
	Listen       string   `json:"listen"`
	Directory    string   `json:"dir"`
	Key          string   `json:"key"`
}

// newGatewayConfig returns the configuration of a gateway that runs alone and knows the given hosts.
func newGatewayConfig(discovery string, hosts []*testHost) *gatewayConfig {
	return &gatewayConfig{
		Name:      "n0",
		Listen:    "127.0.0.1:0",
		Discovery: discovery,
		Seed:      "8c1f30d27a5be964",
		Resources: resourceLimits{MemoryMB: 192, Sockets: 1024},
		Known:     hostList{Version: 41, Full: true, Hosts: activeHosts(hosts)},
		Settings:  defaultSettings(),
	}
}

// defaultSettings returns the settings of a gateway that runs alone, with four request classes and one quota plan.
func defaultSettings() gatewaySettings {
	return gatewaySettings{
		Members:      1,
		Zones:        []string{"a"},
		MachineTypes: []string{"m"},
		Limits: requestLimits{
			MaxAttempts:      3,
			Cancellation:     true,
			RetryAfter:       true,
			ConnIdleUS:       30000000,
			ConnectTimeoutUS: 250000,
			Gossip:           true,
		},
		Classes: []requestClass{
			newRequestClass("lookup", "safe", 4000000),
			newRequestClass("order", "keyed", 4000000),
			newRequestClass("pay", "unsafe", 4000000),
			newRequestClass("quick", "safe", 300000),
		},
		Plans:      []quotaPlan{{Name: "team", Rate: 0.01, Burst: 8, PriorityWeight: 1}},
		LoadReport: loadReport{Mode: "inline", Fields: []string{"utilization"}},
		Gossip:     gossipSettings{MessagesPerSecond: 40},
	}
}

func newRequestClass(name, effect string, latencyObjectiveUS int) requestClass {
	return requestClass{
		Name:               name,
		Effect:             effect,
		LatencyObjectiveUS: latencyObjectiveUS,
		TimeoutUS:          5000000,
		Points:             1,
		WindowUS:           5000000,
	}
}

// activeHosts returns the entries of hosts, with the ids h0, h1, ...
func activeHosts(hosts []*testHost) (entries []hostEntry) {
	for i, host := range hosts {
		entries = append(entries, newHostEntry(fmt.Sprint("h", i), host.Addr().String(), "active"))
	}
	return entries
}

func newHostEntry(id, address, state string) hostEntry {
	return hostEntry{
		ID:          id,
		Address:     address,
		Zone:        "a",
		MachineType: "m",
		State:       state,
		Weight:      1,
	}
}

// ampleBurst is more units than any test spends.
const ampleBurst = 1e6

// configureAmpleBurst gives the quota plan a burst that no test spends.
func configureAmpleBurst(config *gatewayConfig) { config.Settings.Plans[0].Burst = ampleBurst }

// configureShortDeadlines sets client timeouts of 0.3 s, with which a gateway ends all connections 0.8 s after SIGTERM.
func configureShortDeadlines(config *gatewayConfig) {
	for i := range config.Settings.Classes {
		class := &config.Settings.Classes[i]
		class.LatencyObjectiveUS = 200000
		class.TimeoutUS = 300000
	}
}

// configureTwoMembers makes a gateway the first of two members that gossip. peers are the gossip addresses of both.
func configureTwoMembers(config *gatewayConfig, peers ...string) {
	config.Settings.Members = 2
	config.PeerListen = "127.0.0.1:0"
	config.Peers = peers
}

// setKey returns the text of a JSON object in which a key has the given value.
func setKey(t *testing.T, object []byte, key, value string) []byte {
	t.Helper()
	values := map[string]json.RawMessage{}
	if err := json.Unmarshal(object, &values); err != nil {
		t.Fatal(err)
	}
	values[key] = json.RawMessage(value)
	return encodeJSON(t, values)
}

func encodeJSON(t *testing.T, value any) []byte {
	t.Helper()
	text, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	return text
}
