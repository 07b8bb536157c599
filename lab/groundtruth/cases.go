package groundtruth

import (
	"context"
	"time"

	"ravensill/lab/emulator"
	"ravensill/lab/fleet"
	"ravensill/lab/relay"
)

const second = time.Second

// Size is the size of a case's fleet, load and run.
type Size struct {
	Gateways    int
	Hosts       int
	RequestRate float64 // requests per second over the whole fleet
	Duration    time.Duration
	Window      time.Duration // length of the window that an observer's summary covers
	Seed        uint64
}

// newCase returns a case of this size without changes to hosts or load.
func (s Size) newCase(name string, steps ...fleet.Step) Case {
	return Case{
		Name:        name,
		Gateways:    s.Gateways,
		Hosts:       s.Hosts,
		RequestRate: s.RequestRate,
		Duration:    s.Duration,
		Window:      s.Window,
		Seed:        s.Seed,
		Steps:       steps,
	}
}

// Cases returns the cases in which estimates are most likely to be wrong: load-dependent hosts, network faults,
// replaced hosts, a slow host and killed gateways.
func (s Size) Cases() []Case {
	noisy := relay.Rule{Faults: relay.Faults{Loss: 0.2, Duplicate: 0.2, Reorder: 0.2, Jitter: 50 * time.Millisecond}}
	partitioned := max(s.Gateways/8, 1)
	partition := []relay.Rule{{From: fleet.GatewayNames(1, 1+partitioned), To: fleet.GatewayNames(0, 1),
		Faults: relay.Faults{Blocked: true}}}
	half := s.Duration / 2

	loadedHost := s.newCase("a host slow only under load, each customer at one gateway")
	loadedHost.ConfigureLoad = func(l *emulator.Load) { l.SubsetSize = 1 }
	loadedHost.ConfigureHost = func(i int, h *emulator.HostOptions) {
		if i == 1 {
			h.Model.Knee, h.Model.Slope = 0.75, 2
		}
	}
	faults := s.newCase("lost, doubled, out of order; a cut that heals; a gateway killed and back",
		fleet.SetRelayRules(0, "noise", noisy),
		fleet.SetRelayRules(half/2, "cut", partition...),
		fleet.SetRelayRules(half/2+2*s.Window, "cut"),
		fleet.KillGateways(half, 1, "one", second/2),
		fleet.RestartGateways(half+second, 1, "one", true))
	replaced := s.newCase("hosts replaced within the window", fleet.StartHosts(half, s.Hosts))
	replaced.ReplacementHosts = 1
	replaced.Steps = append(replaced.Steps, fleet.RemoveHosts(half, second, 0)...)
	slowHost := s.newCase("a host that slows down fourfold and times out", fleet.Step{At: half, Description: "slow",
		Run: func(_ context.Context, f *fleet.Fleet) error {
			f.Host(2).SetSlowdown(4)
			return nil
		}})
	killedGateways := s.newCase("a third of the gateways killed for good", fleet.Step{At: half,
		Description: "kill a third",
		Run: func(_ context.Context, f *fleet.Fleet) error {
			killed := fleet.Indexes(1, 1+s.Gateways/3)
			f.Clients.SetOutOfRotation(true, killed...)
			return f.ForEach(killed, (*fleet.Gateway).Kill)
		}})
	killedGateways.ExpectedRefusal = "gateways missing"
	return []Case{loadedHost, faults, replaced, slowHost, killedGateways}
}
