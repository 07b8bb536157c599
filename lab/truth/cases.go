package truth

import (
	"context"
	"time"

	"ravensill/lab/fleet"
	"ravensill/lab/relay"
	"ravensill/lab/standin"
)

const second = time.Second

// Size is how large the cases are.
type Size struct {
	Gateways, Hosts int
	Rate            float64
	For             time.Duration
	Window          time.Duration
	Seed            uint64
}

func (z Size) base(name string, steps ...fleet.Step) Case {
	return Case{Name: name, Gateways: z.Gateways, Hosts: z.Hosts, Rate: z.Rate, For: z.For, Window: z.Window,
		Seed: z.Seed, Steps: steps}
}

// Cases are the hard cases with real processes.
func (z Size) Cases() []Case {
	noise := relay.Rule{Way: relay.Way{Loss: 0.2, Double: 0.2, Reorder: 0.2, Jitter: 50 * time.Millisecond}}
	some := max(z.Gateways/8, 1)
	cut := []relay.Rule{{From: fleet.Names(1, 1+some), To: fleet.Names(0, 1), Way: relay.Way{Cut: true}}}
	half := z.For / 2

	loaded := z.base("a host slow only under load, each customer at one gateway")
	loaded.Load = func(l *standin.Load) { l.Spread = 1 }
	loaded.Host = func(i int, h *standin.HostPlan) {
		if i == 1 {
			h.Model.Knee, h.Model.Slope = 0.75, 2
		}
	}
	faults := z.base("lost, doubled, out of order; a cut that heals; a gateway killed and back", fleet.Faults(0, "noise", noise),
		fleet.Faults(half/2, "cut", cut...), fleet.Faults(half/2+2*z.Window, "cut"),
		fleet.Kill(half, 1, "one", second/2), fleet.Restart(half+second, 1, "one", true))
	replaced := z.base("hosts replaced within the window", fleet.Join(half, z.Hosts))
	replaced.Late = 1
	replaced.Steps = append(replaced.Steps, fleet.Leave(half, second, 0)...)
	slow := z.base("a host that slows down fourfold and times out", fleet.Step{At: half, What: "slow",
		Do: func(_ context.Context, f *fleet.Fleet) error {
			f.Host(2).Slow(4)
			return nil
		}})
	gone := z.base("a third of the gateways killed for good", fleet.Step{At: half, What: "kill a third",
		Do: func(_ context.Context, f *fleet.Fleet) error {
			seats := fleet.Seats(1, 1+z.Gateways/3)
			f.Clients.Avoid(true, seats...)
			return f.Each(seats, (*fleet.Gateway).Kill)
		}})
	gone.Refused = "gateways missing"
	return []Case{loaded, faults, replaced, slow, gone}
}
