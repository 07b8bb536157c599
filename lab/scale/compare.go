package scale

import (
	"context"
	"os"
)

// Comparison describes how real and hollow gateways are compared: in one fleet, at the same time, with the same load
// at each. There are two kinds of hollow gateways: each in its own process, and all in one process.
type Comparison struct {
	Gateways  [kinds]int // of each kind; some of each wanted
	Hosts     int        // simulated ones that listen
	Customers int
	Rate      float64 // requests a second at each gateway
	Seed      uint64
	// Enough is how many messages all gateways together send in a window, at least; a window lasts that long.
	MinMessages int
}

// GatewayKind is what a gateway of a comparison runs in.
type GatewayKind int

// Kinds of gateways.
const (
	Real                GatewayKind = iota // a process of the program
	HollowOwnProcess                       // a hollow gateway in a process of its own
	HollowSharedProcess                    // a hollow gateway in a process with all others of this kind
	kinds
)

func (k GatewayKind) String() string {
	return [...]string{"real", "hollow, a process each", "hollow, one process"}[k]
}

// KindFigures are means over the gateways of one kind.
type KindFigures struct {
	RestMessages   float64 `json:"rest_messages_out"` // a second
	RestBytes      float64 `json:"rest_bytes_out"`
	RestCPU        float64 `json:"rest_processor"` // of a core
	LoadMessages   float64 `json:"load_messages_out"`
	LoadBytes      float64 `json:"load_bytes_out"`
	LoadCPU        float64 `json:"load_processor"`
	LiveHeap       float64 `json:"live_heap"`   // bytes, with all customers known, the runtime's own included
	LoadMessagesIn float64 `json:"messages_in"` // a second, under load; of real ones what the relay passed to them
}

// AddedLatency is the time that real gateways add to a request, with sockets, queues and the busy machine: from the
// client's write to its read of the answer, without the host's response time. It is wall time.
type AddedLatency struct {
	Requests         int     `json:"requests"`
	P50              float64 `json:"p50_ms"`
	P99              float64 `json:"p99_ms"`
	MaxClientDelayMS float64 `json:"clients_late_ms"` // the longest that a client wrote after its time: the machine was busy
}

// ComparisonResult is the result of a comparison.
type ComparisonResult struct {
	Comparison  `json:"-"`
	Fleet       map[string]int         `json:"gateways"`
	RequestRate float64                `json:"requests_per_s"`
	Customers   int                    `json:"customers"`
	Figures     map[string]KindFigures `json:"figures"`
	Added       AddedLatency           `json:"added_by_real_gateways"`
}

// Run starts a fleet of all kinds, has clients send, and measures.
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
	rest, err := m.window(ctx)
	if err != nil {
		return result, err
	}
	run, err := m.load()
	if err != nil {
		return result, err
	}
	if err := m.fleet.WaitSent(ctx, 4*c.Customers); err != nil { // each customer has asked, but for a few by chance
		return result, err
	}
	load, err := m.window(ctx)
	if err != nil {
		return result, err
	}
	run.Stop()
	result.Added = m.added()
	heaps, err := m.heaps(ctx)
	if err != nil {
		return result, err
	}
	for kind := range kinds {
		result.Figures[kind.String()] = KindFigures{
			RestMessages:   rest[kind].messagesOut,
			RestBytes:      rest[kind].bytesOut,
			RestCPU:        rest[kind].share,
			LoadMessages:   load[kind].messagesOut,
			LoadBytes:      load[kind].bytesOut,
			LoadCPU:        load[kind].share,
			LoadMessagesIn: load[kind].messagesIn,
			LiveHeap:       heaps[kind],
		}
		result.Fleet[kind.String()] = c.Gateways[kind]
	}
	return result, nil
}
