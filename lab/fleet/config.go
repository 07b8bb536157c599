package fleet

import (
	"fmt"
	"net/netip"
	"slices"
	"time"

	"ravensill/lab/emulator"
	"ravensill/lab/gatewayconfig"
)

const (
	machineType = "m"
	cells       = 3
	reportField = "utilization"
	seedFactor  = 1_000_003 // between the seeds of two fleets, so that those of their gateways differ
)

// gatewayFile returns the configuration of gateway i.
func (f *Fleet) gatewayFile(i int) (*gatewayconfig.File, error) {
	file := &gatewayconfig.File{
		Name:      GatewayName(i),
		Listen:    netip.AddrPortFrom(emulator.LoopbackAddr(gatewayNetwork, i), 0).String(),
		Discovery: f.Agent.Addr(i),
		Seed:      fmt.Sprintf("%016x", f.Options.Seed*seedFactor+uint64(i)+1),
		Resources: gatewayconfig.Resources{MemoryMB: 192, Sockets: 1024},
		Known:     f.Agent.FullList(i),
		Settings:  f.settings(i),
	}
	if f.Gossip != nil {
		file.PeerListen = "127.0.0.1:0"
		file.Peers = f.Gossip.PeerAddrs(i)
	}
	if f.Counter != nil {
		file.Counter = f.Counter.Addr()
	}
	if f.Options.ConfigureGateway != nil {
		if err := f.Options.ConfigureGateway(f, i, file); err != nil {
			return nil, err
		}
	}
	return file, nil
}

// settings returns the settings of gateway i. No two gateways share a value that may be changed.
func (f *Fleet) settings(i int) gatewayconfig.Settings {
	settings := gatewayconfig.Settings{
		Gateways:     f.Options.Gateways,
		Index:        i,
		Zone:         i % len(f.Options.Zones),
		Zones:        slices.Clone(f.Options.Zones),
		MachineTypes: []string{machineType},
		Limits: gatewayconfig.Limits{
			RuntimeLimits:    RuntimeLimits(),
			Gossip:           f.Gossip != nil,
			IdleTimeoutUS:    (30 * time.Second).Microseconds(),
			ConnectTimeoutUS: (250 * time.Millisecond).Microseconds(),
		},
		Classes: Classes(),
		QuotaPlans: []gatewayconfig.QuotaPlan{
			{Name: "team", Rate: 1e6, Burst: 1e6, PriorityWeight: 1},
			{Name: "small", Rate: 20, Burst: 40, PriorityWeight: 1},
		},
		LoadReport: gatewayconfig.InlineLoadReport(reportField),
		SlowStart: gatewayconfig.SlowStart{
			StartCapacity: 0.2,
			WarmUpUS:      (10 * time.Second).Microseconds(),
			FallMultiple:  3,
			FallUS:        time.Second.Microseconds(),
		},
		Fleet: gatewayconfig.Fleet{
			MessagesPerSecond: f.Options.MessagesPerSecond,
			SharedCounter:     f.Options.SharedCounter,
		},
	}
	if f.Options.ChangeSettings != nil {
		f.Options.ChangeSettings(&settings)
	}
	return settings
}

// Classes returns the request classes of a fleet's gateways.
func Classes() []gatewayconfig.Class {
	return []gatewayconfig.Class{
		newClass("lookup", gatewayconfig.Idempotent),
		newClass("order", gatewayconfig.IdempotentWithKey),
		newClass("pay", gatewayconfig.NonIdempotent),
	}
}

// newClass returns a request class of a fleet's gateways.
func newClass(name, effect string) gatewayconfig.Class {
	return gatewayconfig.Class{
		Name:          name,
		Effect:        effect,
		ObjectiveUS:   (2 * time.Second).Microseconds(),
		TimeoutUS:     (8 * time.Second).Microseconds(),
		Value:         1,
		DedupWindowUS: (3 * time.Second).Microseconds(),
		Group:         "all",
	}
}

// RuntimeLimits returns the limits of a fleet's gateways that may change in a running gateway.
func RuntimeLimits() gatewayconfig.RuntimeLimits {
	return gatewayconfig.RuntimeLimits{
		MaxAttempts:     3,
		Cancellation:    true,
		RetryAfter:      true,
		MaxRetryAfterUS: (10 * time.Second).Microseconds(),
	}
}
