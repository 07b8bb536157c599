package scale

import (
	"context"
	"os"
)

// Comparison is a measurement that compares real and hollow gateways: they run in one fleet, at the same time, with
// the same load at each. Some hollow gateways have a process each, the others share one process.
type Comparison struct {
	Gateways  [gatewayKinds]int // number of each kind; at least one each
	Hosts     int               // emulated hosts that listen on sockets
	Customers int
	Rate      float64 // requests a second at each gateway under load
	Seed      uint64
	// MinMessages is the number of messages that all gateways together send in a measurement window. It determines how
	// long the window lasts.
	MinMessages int
}

// GatewayKind says whether a gateway of a comparison is real or hollow, and in which process it runs.
type GatewayKind int

// Kinds of gateways.
const (
	Real                GatewayKind = iota // a gateway process of the program
	HollowOwnProcess                       // a hollow gateway in a process of its own
	HollowSharedProcess                    // a hollow gateway in one process with all others of this kind
	gatewayKinds
)

func (k GatewayKind) String() string {
	return [...]string{"real", "hollow, a process each", "hollow, one process"}[k]
}

// KindFigures holds means over the gateways of one kind, at rest (no requests) and under load.
type KindFigures struct {
	RestMessages   float64 `json:"rest_messages_out"` // sent, a second
	RestBytes      float64 `json:"rest_bytes_out"`    // sent, a second
	RestCPU        float64 `json:"rest_processor"`    // processor time as a fraction of one core
	LoadMessages   float64 `json:"load_messages_out"` // sent, a second
	LoadBytes      float64 `json:"load_bytes_out"`    // sent, a second
	LoadCPU        float64 `json:"load_processor"`    // processor time as a fraction of one core
	LiveHeap       float64 `json:"live_heap"`         // bytes with all customers known, the Go runtime's own included
	LoadMessagesIn float64 `json:"messages_in"`       // received, a second; for real gateways as delivered by the relay
}

// AddedLatency is the time that real gateways add to a request: from the write of the client to its read of the
// answer, less the response time of the hosts. It is wall time, which includes sockets, queues and delays by other
// work on the machine.
type AddedLatency struct {
	Requests         int     `json:"requests"`        // successful requests that ran at a host
	P50              float64 `json:"p50_ms"`          // milliseconds
	P99              float64 `json:"p99_ms"`          // milliseconds
	MaxClientDelayMS float64 `json:"clients_late_ms"` // longest delay of a write because the client did not get to run
}

// ComparisonResult holds the figures of a comparison. Its maps have the names of the gateway kinds as keys.
type ComparisonResult struct {
	Comparison  `json:"-"`
	Fleet       map[string]int         `json:"gateways"`       // number of gateways
	RequestRate float64                `json:"requests_per_s"` // a second at each gateway under load
	Customers   int                    `json:"customers"`
	Figures     map[string]KindFigures `json:"figures"`
	Added       AddedLatency           `json:"added_by_real_gateways"`
}

// Run starts a fleet with gateways of all kinds, measures it at rest and then under load, and stops it.
func (c Comparison) Run(ctx context.Context) (result ComparisonResult, err error) {
	directory, err := os.MkdirTemp("", "scale-compare-")
	if err != nil {
		return result, err
	}
	defer os.RemoveAll(directory)
	m := &mixedFleet{Comparison: c}
	defer m.close()
	if err := m.start(ctx, directory); err != nil {
		return result, err
	}
	result = ComparisonResult{
		Comparison:  c,
		Fleet:       map[string]int{},
		RequestRate: c.Rate,
		Customers:   c.Customers,
		Figures:     map[string]KindFigures{},
	}
	rest, err := m.measureWindow(ctx)
	if err != nil {
		return result, err
	}
	run, err := m.startLoad()
	if err != nil {
		return result, err
	}
	if err := m.fleet.WaitSent(ctx, 4*c.Customers); err != nil { // four a customer on average: almost all have sent one
		return result, err
	}
	load, err := m.measureWindow(ctx)
	if err != nil {
		return result, err
	}
	run.Stop()
	result.Added = m.addedLatency()
	heaps, err := m.meanHeaps(ctx)
	if err != nil {
		return result, err
	}
	for kind := range gatewayKinds {
		result.Figures[kind.String()] = KindFigures{
			RestMessages:   rest[kind].messagesOut,
			RestBytes:      rest[kind].bytesOut,
			RestCPU:        rest[kind].cpu,
			LoadMessages:   load[kind].messagesOut,
			LoadBytes:      load[kind].bytesOut,
			LoadCPU:        load[kind].cpu,
			LoadMessagesIn: load[kind].messagesIn,
			LiveHeap:       heaps[kind],
		}
		result.Fleet[kind.String()] = c.Gateways[kind]
	}
	return result, nil
}
