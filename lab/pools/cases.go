package pools

import (
	"context"
	"fmt"
	"time"

	"ravensill/lab/fleet"
	"ravensill/lab/relay"
)

// KillMembers returns a step that kills gateways with SIGKILL. Clients stop using them immediately, as behind a load
// balancer that has noticed.
func (g *Group) KillMembers(at time.Duration, members ...int) fleet.Step {
	return fleet.Step{
		At:          at,
		Description: fmt.Sprintf("kill members %v", members),
		Run: func(ctx context.Context, f *fleet.Fleet) error {
			f.Clients.SetOutOfRotation(true, members...)
			return f.ForEach(members, func(gateway *fleet.Gateway) error { return gateway.Kill() })
		},
	}
}

// StartMembers returns a step that starts killed gateways, with their previous disks or with empty ones, and lets
// clients use them again.
func (g *Group) StartMembers(at time.Duration, emptyDisk bool, members ...int) fleet.Step {
	return fleet.Step{
		At:          at,
		Description: fmt.Sprintf("start members %v, empty disk %t", members, emptyDisk),
		Run: func(ctx context.Context, f *fleet.Fleet) error {
			err := f.ForEach(members, func(gateway *fleet.Gateway) error { return gateway.Restart(ctx, emptyDisk) })
			f.Clients.SetOutOfRotation(false, members...)
			return err
		},
	}
}

// KillLeader returns a step that kills the leading voter, and one that starts the same voter with an empty disk and
// waits for a leader.
func (g *Group) KillLeader(at, startAt time.Duration) []fleet.Step {
	leader := 0
	kill := func(ctx context.Context, f *fleet.Fleet) (err error) {
		leader, err = g.WaitLeader(ctx, f)
		if err != nil {
			return err
		}
		return g.KillMembers(0, leader).Run(ctx, f)
	}
	start := func(ctx context.Context, f *fleet.Fleet) error {
		if err := g.StartMembers(0, true, leader).Run(ctx, f); err != nil {
			return err
		}
		_, err := g.WaitLeader(ctx, f)
		return err
	}
	return []fleet.Step{
		{At: at, Description: "kill the leading voter", Run: kill},
		{At: startAt, Description: "start it with an empty disk", Run: start},
	}
}

// ChangeCapacity returns a step that changes the store's capacity as operators do: it writes the new capacity, with a
// higher serial, to the configuration files of all gateways and reloads those that run.
func (g *Group) ChangeCapacity(at time.Duration, capacity int, serial uint64) fleet.Step {
	change := func(gateway *fleet.Gateway) error {
		gateway.Config.Pool.Capacity = capacity
		gateway.Config.Pool.Serial = serial
		if !gateway.Running() {
			return nil
		}
		return gateway.Reload()
	}
	return fleet.Step{
		At:          at,
		Description: capacityDescription(capacity),
		Run: func(ctx context.Context, f *fleet.Fleet) error {
			for _, gateway := range f.Gateways() {
				if err := change(gateway); err != nil {
					return err
				}
			}
			return nil
		},
	}
}

// NetworkFaults returns steps with faults of the network between the gateways, and with processes that are killed and
// restarted or frozen for less than the lease.
func (g *Group) NetworkFaults() []fleet.Step {
	count := g.Gateways
	left := fleet.GatewayNames(count/2, count/2+count/4)
	right := fleet.GatewayNames(0, count/2)
	noise := relay.Rule{Faults: relay.Faults{Loss: 0.3, Duplicate: 0.2, Reorder: 0.2, Jitter: 40 * time.Millisecond}}
	partition := func(ctx context.Context, f *fleet.Fleet) error {
		f.Relay.Partition("cut", left, right)
		return nil
	}
	return []fleet.Step{
		fleet.SetRelayRules(3*second, "rough", noise),
		fleet.KillGateways(5*second, count/6, "crash", 0),
		fleet.RestartGateways(6*second, count/6, "crash", false),
		fleet.FreezeGateways(7*second, count/8, "short"),
		fleet.ThawGateways(8500*time.Millisecond, count/8, "short"),
		{At: 9 * second, Description: "cut", Run: partition},
		fleet.KillGateways(10*second, count/6, "again", 0),
		fleet.RestartGateways(10500*time.Millisecond, count/6, "again", true),
		fleet.SetRelayRules(17*second, "cut"),
		fleet.SetRelayRules(18*second, "rough"),
	}
}

// VoterFaults returns steps with faults of the voters, of which there must be five. They kill and restart the leader,
// then two voters at a time, then three, then all gateways of the fleet.
func (g *Group) VoterFaults() []fleet.Step {
	all := fleet.Indexes(0, g.Gateways)
	return append(g.KillLeader(3*second, 6*second),
		g.KillMembers(9*second, 0, 1),
		g.StartMembers(12*second, false, 0, 1),
		g.KillMembers(14*second, 1, 2, 3),
		g.StartMembers(18*second, false, 1, 2, 3),
		g.KillMembers(21*second, all...),
		g.StartMembers(22*second, false, all...))
}

// CrashStore returns steps that kill the store's processes, so that their connections are reset and new ones are
// refused, and start them again after a time.
func CrashStore(at, down time.Duration) []fleet.Step {
	kill := func(ctx context.Context, f *fleet.Fleet) error {
		for _, host := range f.Hosts() {
			host.Kill()
		}
		return nil
	}
	start := func(ctx context.Context, f *fleet.Fleet) error {
		for _, host := range f.Hosts() {
			if _, err := host.Start(); err != nil {
				return err
			}
		}
		return nil
	}
	return []fleet.Step{
		{At: at, Description: "the store crashes", Run: kill},
		{At: at + down, Description: "the store is back", Run: start},
	}
}

// FreezePastLease returns steps that freeze one gateway in twelve, and at least one, for longer than the lease and the
// quarantine.
func (g *Group) FreezePastLease(at time.Duration) []fleet.Step {
	count := max(1, g.Gateways/12)
	frozen := 2*g.Lease + clientTimeout
	frozen += frozen/4 + second
	return []fleet.Step{
		fleet.FreezeGateways(at, count, "long"),
		fleet.ThawGateways(at+frozen, count, "long"),
	}
}

// Checks returns the checks for all runs in which no gateway is frozen for longer than the lease and the quarantine.
func (s Size) Checks() []fleet.Check {
	withinCapacity := fleet.Check{
		Name: "the store never has more connections than its capacity",
		FindViolation: func(report *fleet.Report) string {
			log := &report.Hosts[0].HostLog
			if log.RefusedConns == 0 && log.PeakConns <= s.Capacity {
				return ""
			}
			return fmt.Sprintf("%d connections at once, %d refused, capacity %d", log.PeakConns, log.RefusedConns, s.Capacity)
		},
	}
	return append([]fleet.Check{withinCapacity}, fleet.CommonChecks...)
}
