// Package gatewayconfig declares the gateway's configuration file as Go types, for tests that write such files. The
// JSON keys are those that package internal/config reads.
package gatewayconfig

import "encoding/json"

// Values of Class.Effect: whether a request may be sent again after a host may have executed it.
const (
	Idempotent        = "safe"   // always
	IdempotentWithKey = "keyed"  // with the same idempotency key, by which hosts drop repeats
	NonIdempotent     = "unsafe" // never
)

// File is the content of a gateway's configuration file.
type File struct {
	Name           string          `json:"name,omitempty"`
	Listen         string          `json:"listen"`         // address for clients
	Discovery      string          `json:"discovery"`      // address of the discovery agent
	Seed           string          `json:"seed,omitempty"` // of the gateway's random decisions, hexadecimal
	Resources      Resources       `json:"limits"`
	Known          json.RawMessage `json:"known,omitempty"` // host list to start with, before the discovery agent answers
	Settings       Settings        `json:"settings"`
	PeerListen     string          `json:"peer_listen,omitempty"` // address for gossip
	Peers          []string        `json:"peers,omitempty"`       // gossip addresses by member index
	Counter        string          `json:"counter,omitempty"`     // address of the shared counter
	Pool           *Pool           `json:"pool,omitempty"`
	Counterfactual *Counterfactual `json:"counterfactual,omitempty"`
	Configuration  *Configuration  `json:"configuration,omitempty"`
}

// SetListen sets the address at which the gateway listens for clients.
func (f *File) SetListen(addr string) { f.Listen = addr }

// Resources limits what the process may use of its machine.
type Resources struct {
	MemoryMB int `json:"memory_mb,omitempty"` // memory in MB
	Sockets  int `json:"sockets,omitempty"`   // number of open sockets
}

// Settings are the settings that all gateways of a deployment share, and the place of this gateway among them.
type Settings struct {
	Gateways     int         `json:"balancers"`          // number of gateways
	Index        int         `json:"position,omitempty"` // member index of this gateway
	Zone         int         `json:"locality,omitempty"` // of this gateway, as an index in Zones
	Zones        []string    `json:"zones"`
	MachineTypes []string    `json:"skus"`
	Limits       Limits      `json:"limits"`
	Classes      []Class     `json:"profiles"`
	QuotaPlans   []QuotaPlan `json:"plans"`
	LoadReport   LoadReport  `json:"report,omitzero"`
	SlowStart    SlowStart   `json:"rules,omitzero"`
	Fleet        Fleet       `json:"family_info,omitzero"`
}

// Limits bounds attempts and connections. A running gateway can change only those in RuntimeLimits.
type Limits struct {
	RuntimeLimits
	Gossip           bool  `json:"peer_messages,omitempty"` // whether gateways exchange gossip
	IdleTimeoutUS    int64 `json:"conn_idle_us,omitempty"`  // after which an unused connection is closed, in microseconds
	ConnectTimeoutUS int64 `json:"connect_timeout_us,omitempty"`
}

// RuntimeLimits are the limits that a published configuration can change.
type RuntimeLimits struct {
	MaxAttempts     int   `json:"max_attempts"`         // for one request
	Cancellation    bool  `json:"cancelling,omitempty"` // whether attempts may be canceled
	RetryAfter      bool  `json:"retry_after"`          // whether rejected clients are told when to retry
	MaxRetryAfterUS int64 `json:"max_retry_after_us,omitempty"`
}

// Class is the configuration of a request class. Times are in microseconds.
type Class struct {
	Name          string  `json:"name"`
	Effect        string  `json:"effect"`              // Idempotent, IdempotentWithKey or NonIdempotent
	ObjectiveUS   int64   `json:"target_us"`           // latency objective
	TimeoutUS     int64   `json:"hard_limit_us"`       // client timeout, for all attempts together
	Value         float64 `json:"points"`              // of a request answered in time
	DedupWindowUS int64   `json:"window_us,omitempty"` // for IdempotentWithKey: how long hosts drop repeats
	Group         string  `json:"group,omitempty"`     // hosts among which repeats are recognized: all, zone or cell
}

// QuotaPlan is the quota of each customer on a plan, over all gateways together.
type QuotaPlan struct {
	Name           string  `json:"name,omitempty"` // empty in a resource of a published configuration
	Rate           float64 `json:"rate"`           // units per second
	Burst          float64 `json:"burst"`          // units
	PriorityWeight float64 `json:"worth_factor"`   // factor of the value of the plan's requests
}

// LoadReport sets how hosts report their load.
type LoadReport struct {
	Delivery string   `json:"how,omitempty"`   // such as inline: with each answer
	Fields   []string `json:"names,omitempty"` // names of the report's fields
}

// InlineLoadReport returns the settings for a load report with one field that hosts send with each answer.
func InlineLoadReport(field string) LoadReport {
	return LoadReport{Delivery: "inline", Fields: []string{field}}
}

// SlowStart are the settings for the warm-up of new hosts and for the recovery of overloaded ones.
type SlowStart struct {
	StartCapacity float64 `json:"start_capacity"` // fraction of its capacity with which a host starts, at least
	WarmUpUS      int64   `json:"warm_up_us"`     // time until a host has all of its capacity, at most
	// A host that gets more than FallMultiple times its capacity for FallUS microseconds counts as failed.
	FallMultiple float64 `json:"fall_multiple"`
	FallUS       int64   `json:"fall_us"`
}

// Fleet are the settings about communication between gateways.
type Fleet struct {
	MessagesPerSecond float64 `json:"mail_per_s,omitempty"`     // gossip messages that a gateway accepts
	SharedCounter     bool    `json:"shared_counter,omitempty"` // whether the gateways use the shared counter
}

// Pool is the section about a store whose connections the gateways share by leases that voters grant.
type Pool struct {
	Capacity     int      `json:"capacity"`          // connections that the store accepts
	Serial       uint64   `json:"serial,omitempty"`  // version of Capacity, raised with each change
	Reserve      int      `json:"reserve"`           // connections that are never leased
	Floor        int      `json:"floor"`             // connections that each gateway may have without a lease
	Voters       []string `json:"voters"`            // addresses of the voters
	VoterMembers []int    `json:"voter_seats"`       // member indexes of the voters
	Key          string   `json:"key"`               // signs all messages about the leases
	LeaseMS      int64    `json:"lease_ms"`          // duration of a lease
	Urgent       []string `json:"urgent"`            // request classes that are served first within the floor
	Listen       string   `json:"listen,omitempty"`  // address at which this voter listens; empty if it is none
	Dir          string   `json:"dir,omitempty"`     // directory with the state of this voter
	Streams      []string `json:"streams,omitempty"` // TCP addresses of the voters, as this voter reaches them
}

// Counterfactual is the section about observers, which summarize the gateway's decisions, and collectors, which merge
// the summaries and answer queries.
type Counterfactual struct {
	Listen         string   `json:"listen"`            // address for summaries
	Peers          []string `json:"peers"`             // such addresses by member index
	Collectors     []int    `json:"collectors"`        // member indexes of the collectors
	WindowMS       int64    `json:"window_ms"`         // time covered by one summary
	RecordsFile    string   `json:"records,omitempty"` // file to which records are appended; empty: none
	SampleFraction float64  `json:"part"`              // fraction of the attempts that are recorded
	QueryListen    string   `json:"ask,omitempty"`     // address at which a collector answers queries
}

// Configuration is the section about the publishers of the configuration.
type Configuration struct {
	Publishers []string `json:"publishers"` // their addresses
	Dir        string   `json:"dir"`        // where the gateway saves the configuration
}
