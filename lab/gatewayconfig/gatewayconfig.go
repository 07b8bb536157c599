// Package gatewayconfig has the gateway's configuration file as types, for tests that write such files. The keys are
// those of the operators' pages; package internal/config reads them.
package gatewayconfig

import "encoding/json"

// Effects of a request class.
const (
	Idempotent        = "safe"
	IdempotentWithKey = "keyed"
	NonIdempotent     = "unsafe"
)

// File is a gateway's configuration file.
type File struct {
	Name           string          `json:"name,omitempty"`
	Listen         string          `json:"listen"`
	Discovery      string          `json:"discovery"`
	Seed           string          `json:"seed,omitempty"`
	Resources      Resources       `json:"limits"`
	Known          json.RawMessage `json:"known,omitempty"` // host list to start with
	Settings       Settings        `json:"settings"`
	PeerListen     string          `json:"peer_listen,omitempty"`
	Peers          []string        `json:"peers,omitempty"`
	Counter        string          `json:"counter,omitempty"`
	Pool           *Pool           `json:"pool,omitempty"`
	Counterfactual *Counterfactual `json:"counterfactual,omitempty"`
	Configuration  *Configuration  `json:"configuration,omitempty"`
}

// SetListen sets the address at which the gateway listens for clients.
func (f *File) SetListen(addr string) { f.Listen = addr }

// Resources are what the process may use of its machine.
type Resources struct {
	MemoryMB int `json:"memory_mb,omitempty"`
	Sockets  int `json:"sockets,omitempty"`
}

// Settings are those of the deployment and of one gateway in it.
type Settings struct {
	Gateways     int         `json:"balancers"`
	Index        int         `json:"position,omitempty"`
	Zone         int         `json:"locality,omitempty"` // index in Zones
	Zones        []string    `json:"zones"`
	MachineTypes []string    `json:"skus"`
	Limits       Limits      `json:"limits"`
	Classes      []Class     `json:"profiles"`
	QuotaPlans   []QuotaPlan `json:"plans"`
	LoadReport   LoadReport  `json:"report,omitzero"`
	SlowStart    SlowStart   `json:"rules,omitzero"`
	Fleet        Fleet       `json:"family_info,omitzero"`
}

// Limits are the settings that bound attempts and connections. Those of RuntimeLimits may change in a running gateway.
type Limits struct {
	RuntimeLimits
	Gossip           bool  `json:"peer_messages,omitempty"`
	IdleTimeoutUS    int64 `json:"conn_idle_us,omitempty"`
	ConnectTimeoutUS int64 `json:"connect_timeout_us,omitempty"`
}

// RuntimeLimits are the limits that a published configuration may change.
type RuntimeLimits struct {
	MaxAttempts     int   `json:"max_attempts"`
	Cancellation    bool  `json:"cancelling,omitempty"`
	RetryAfter      bool  `json:"retry_after"`
	MaxRetryAfterUS int64 `json:"max_retry_after_us,omitempty"`
}

// Class is a request class.
type Class struct {
	Name          string  `json:"name"`
	Effect        string  `json:"effect"`
	ObjectiveUS   int64   `json:"target_us"`
	TimeoutUS     int64   `json:"hard_limit_us"`
	Value         float64 `json:"points"`
	DedupWindowUS int64   `json:"window_us,omitempty"`
	Group         string  `json:"group,omitempty"`
}

// QuotaPlan is a plan of customers' quotas.
type QuotaPlan struct {
	Name           string  `json:"name,omitempty"` // none in a resource of a published configuration
	Rate           float64 `json:"rate"`
	Burst          float64 `json:"burst"`
	PriorityWeight float64 `json:"worth_factor"`
}

// LoadReport says how hosts report their load.
type LoadReport struct {
	Delivery string   `json:"how,omitempty"`
	Fields   []string `json:"names,omitempty"`
}

// InlineLoadReport returns the settings of a load report of one field with each answer.
func InlineLoadReport(field string) LoadReport {
	return LoadReport{Delivery: "inline", Fields: []string{field}}
}

// SlowStart are the settings of hosts' warm-up and of their recovery.
type SlowStart struct {
	StartCapacity float64 `json:"start_capacity"`
	WarmUpUS      int64   `json:"warm_up_us"`
	FallMultiple  float64 `json:"fall_multiple"`
	FallUS        int64   `json:"fall_us"`
}

// Fleet are the settings of what gateways share.
type Fleet struct {
	MessagesPerSecond float64 `json:"mail_per_s,omitempty"` // that a gateway accepts from its peers
	SharedCounter     bool    `json:"shared_counter,omitempty"`
}

// Pool is the section of a store whose connections the gateways share by negotiated quotas.
type Pool struct {
	Capacity     int      `json:"capacity"`
	Serial       uint64   `json:"serial,omitempty"` // of Capacity, raised with each change
	Reserve      int      `json:"reserve"`
	Floor        int      `json:"floor"`
	Voters       []string `json:"voters"`
	VoterMembers []int    `json:"voter_seats"`
	Key          string   `json:"key"`
	LeaseMS      int64    `json:"lease_ms"`
	Urgent       []string `json:"urgent"`
	Listen       string   `json:"listen,omitempty"`  // of a voter
	Dir          string   `json:"dir,omitempty"`     // of a voter
	Streams      []string `json:"streams,omitempty"` // of a voter, to the others
}

// Counterfactual is the section of the observers and their collectors.
type Counterfactual struct {
	Listen         string   `json:"listen"`
	Peers          []string `json:"peers"`
	Collectors     []int    `json:"collectors"`
	WindowMS       int64    `json:"window_ms"`
	RecordsFile    string   `json:"records,omitempty"` // file
	SampleFraction float64  `json:"part"`              // of the attempts that are recorded
	QueryListen    string   `json:"ask,omitempty"`     // address of a collector
}

// Configuration is the section of the publishers of the configuration.
type Configuration struct {
	Publishers []string `json:"publishers"`
	Dir        string   `json:"dir"`
}
