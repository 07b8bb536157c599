package pools

import (
	"context"
	"fmt"

	"time"

	"ravensill/lab/fleet"
	"ravensill/lab/logline"
	"ravensill/lab/relay"
)

const second = time.Second

// Kill is a step that ends some seats by SIGKILL; clients avoid them at once, as a front that has noticed does.
func (r *Rig) Kill(at time.Duration, seats ...int) fleet.Step {
	return fleet.Step{At: at, Description: fmt.Sprintf("kill seats %v", seats), Run: func(ctx context.Context, f *fleet.Fleet) error {
		f.Clients.SetOutOfUse(true, seats...)
		return f.ForEach(seats, (*fleet.Gateway).Kill)
	}}
}

// Start is a step that brings them back, with what they kept on disk or without.
func (r *Rig) Start(at time.Duration, empty bool, seats ...int) fleet.Step {
	return fleet.Step{At: at, Description: fmt.Sprintf("start seats %v, empty disk %t", seats, empty), Run: func(ctx context.Context, f *fleet.Fleet) error {
		err := f.ForEach(seats, func(g *fleet.Gateway) error { return g.Restart(ctx, empty) })
		f.Clients.SetOutOfUse(false, seats...)
		return err
	}}
}

// Behead is a step that kills the voter that leads, and another that brings it back with an empty disk.
func (r *Rig) Behead(at, back time.Duration) []fleet.Step {
	seat := 0
	return []fleet.Step{{At: at, Description: "kill the leading voter", Run: func(ctx context.Context, f *fleet.Fleet) (err error) {
		if seat, err = r.Leading(ctx, f); err != nil {
			return err
		}
		return r.Kill(0, seat).Run(ctx, f)
	}}, {At: back, Description: "it comes back with an empty disk", Run: func(ctx context.Context, f *fleet.Fleet) error {
		if err := r.Start(0, true, seat).Run(ctx, f); err != nil {
			return err
		}
		_, err := r.Leading(ctx, f)
		return err
	}}}
}

// Network are faults between the gateways, and processes killed, stopped for less than the lease and started anew.
func (r *Rig) Network() []fleet.Step {
	g := r.Gateways
	some := fleet.GatewayNames(g/2, g/2+g/4)
	return []fleet.Step{
		fleet.SetRelayRules(3*second, "rough", relay.Rule{Way: relay.Way{Loss: 0.3, Double: 0.2, Reorder: 0.2, Jitter: 40 * time.Millisecond}}),
		fleet.KillGateways(5*second, g/6, "crash", 0),
		fleet.RestartGateways(6*second, g/6, "crash", false),
		fleet.FreezeGateways(7*second, g/8, "short"),
		fleet.ThawGateways(8500*time.Millisecond, g/8, "short"),
		{At: 9 * second, Description: "cut", Run: func(ctx context.Context, f *fleet.Fleet) error {
			f.Relay.Cut("cut", some, fleet.GatewayNames(0, g/2))
			return nil
		}},
		fleet.KillGateways(10*second, g/6, "again", 0),
		fleet.RestartGateways(10500*time.Millisecond, g/6, "again", true),
		fleet.SetRelayRules(17*second, "cut"),
		fleet.SetRelayRules(18*second, "rough"),
	}
}

// Ballots are faults of the voters, of which there are five: the leader, then two, then three at a time, then all
// processes at once.
func (r *Rig) Ballots() []fleet.Step {
	steps := r.Behead(3*second, 6*second)
	all := fleet.Indexes(0, r.Gateways)
	return append(steps, r.Kill(9*second, 0, 1), r.Start(12*second, false, 0, 1), r.Kill(14*second, 1, 2, 3), r.Start(18*second, false, 1, 2, 3),
		r.Kill(21*second, all...), r.Start(22*second, false, all...))
}

// Holds are the checks of every run but those that freeze for longer than lease and quarantine: the store never sees more
// than it takes.
func (z Size) Holds() []fleet.Check {
	return append([]fleet.Check{{Name: "the store never has more than it takes", FindViolation: func(r *fleet.Report) string {
		if h := r.Hosts[0].HostLog; h.Refused > 0 || h.PeakConns > z.Capacity {
			return fmt.Sprintf("%d connections at once, %d refused, capacity %d", h.PeakConns, h.Refused, z.Capacity)
		}
		return ""
	}}}, fleet.CommonChecks...)
}

// Stuck freezes some gateways for longer than lease and quarantine, and lets them go on.
func (r *Rig) Stuck(at time.Duration) []fleet.Step {
	n := max(1, r.Gateways/12)
	over := 2*r.Lease + r.Longest()
	return []fleet.Step{fleet.FreezeGateways(at, n, "long"), fleet.ThawGateways(at+over+over/4+second, n, "long")}
}

// NotGivenBack sums what the lenders reported as taken back from gateways that had not given it back.
func NotGivenBack(f *fleet.Fleet) (units int) {
	for _, g := range f.Gateways() {
		for _, line := range g.Lines("pool_not_given_back") {
			units += logline.Int(line, "units")
		}
	}
	return units
}

// Above tells from when on the store had no more than so many connections, counted from a moment; -1 never.
func Above(r *fleet.Report, since int64, most int) (long time.Duration) {
	last := since
	over := false
	for _, s := range r.Hosts[0].Steps {
		if s.At < since {
			continue
		}
		if over = s.OpenConns > most; over {
			last = s.At
		}
	}
	if over {
		return -1
	}
	return time.Duration(last - since)
}

// When gives the time at which a step was injected.
func When(r *fleet.Report, what string) int64 {
	for _, i := range r.Injected {
		if i.Description == what {
			return i.At
		}
	}
	return 0
}
