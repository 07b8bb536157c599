package fleet

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"ravensill/lab/emulator"
	"ravensill/lab/relay"
)

// DrawGateways draws some gateways at random and returns their member indexes in ascending order. The choice depends
// only on the fleet's seed, count and the name, so steps with the same name and count act on the same gateways.
func (f *Fleet) DrawGateways(count int, name string) []int {
	seed := uint64(emulator.UniformHash(name) * (1 << 53))
	drawn := rand.New(rand.NewPCG(f.Options.Seed, seed)).Perm(f.Options.Gateways)[:count]
	slices.Sort(drawn)
	return drawn
}

// ForEach calls a function for several gateways concurrently and returns the first error.
func (f *Fleet) ForEach(members []int, do func(g *Gateway) error) error {
	var group errgroup.Group
	group.SetLimit(maxConcurrentStarts * 2)
	for _, i := range members {
		group.Go(func() error { return do(f.gateways[i]) })
	}
	return group.Wait()
}

// KillGateways returns a step that kills count gateways, drawn under the name. Clients keep sending to them for
// detectionDelay, as behind a load balancer that notices a crash late.
func KillGateways(at time.Duration, count int, name string, detectionDelay time.Duration) Step {
	return Step{at, fmt.Sprintf("kill %d gateways (%s)", count, name), func(ctx context.Context, f *Fleet) error {
		members := f.DrawGateways(count, name)
		err := f.ForEach(members, func(g *Gateway) error { return g.Kill() })
		time.AfterFunc(detectionDelay, func() {
			down := slices.DeleteFunc(slices.Clone(members), func(i int) bool { return f.gateways[i].Running() })
			f.Clients.SetOutOfRotation(true, down...)
		})
		return err
	}}
}

// RestartGateways returns a step that restarts the gateways that KillGateways killed under the same name and count, and
// puts them back into the load balancer's rotation. With emptyDisk, their working directories are removed first.
func RestartGateways(at time.Duration, count int, name string, emptyDisk bool) Step {
	return Step{at, fmt.Sprintf("restart %d gateways (%s)", count, name), func(ctx context.Context, f *Fleet) error {
		members := f.DrawGateways(count, name)
		err := f.ForEach(members, func(g *Gateway) error { return g.Restart(ctx, emptyDisk) })
		f.Clients.SetOutOfRotation(false, members...)
		return err
	}}
}

// RollingRestart returns a step that restarts count gateways at once, as planned restarts: each gets SIGTERM, clients
// stop opening connections to it a moment later but use the open ones, and it is started again once it has ended by
// itself. The restart continues in the background while later steps run.
func RollingRestart(at time.Duration, count int, name string) Step {
	return Step{at, fmt.Sprintf("roll %d gateways (%s)", count, name), func(ctx context.Context, f *Fleet) error {
		members := f.DrawGateways(count, name)
		err := f.ForEach(members, func(g *Gateway) error {
			f.Clients.SetRestarting(true, g.Index)
			return g.Terminate()
		})
		if err != nil {
			return err
		}
		f.backgroundSteps.Go(func() error {
			err := f.ForEach(members, func(g *Gateway) error {
				return errors.Join(g.WaitExit(ctx), g.Restart(ctx, false))
			})
			f.Clients.SetRestarting(false, members...)
			return err
		})
		return nil
	}}
}

// FreezeGateways returns a step that stops count gateways, drawn under the name, by SIGSTOP.
func FreezeGateways(at time.Duration, count int, name string) Step {
	return Step{at, fmt.Sprintf("freeze %d gateways (%s)", count, name), func(ctx context.Context, f *Fleet) error {
		return f.ForEach(f.DrawGateways(count, name), func(g *Gateway) error { return g.Freeze() })
	}}
}

// ThawGateways returns a step that resumes the gateways that FreezeGateways stopped under the same name and count.
func ThawGateways(at time.Duration, count int, name string) Step {
	return Step{at, fmt.Sprintf("thaw %d gateways (%s)", count, name), func(ctx context.Context, f *Fleet) error {
		return f.ForEach(f.DrawGateways(count, name), func(g *Gateway) error { return g.Thaw() })
	}}
}

// SetRelayRules returns a step that replaces the relay's rules under a name. Without rules it removes them.
func SetRelayRules(at time.Duration, name string, rules ...relay.Rule) Step {
	return Step{at, fmt.Sprintf("relay: %d rules (%s)", len(rules), name), func(ctx context.Context, f *Fleet) error {
		f.Relay.SetRules(name, rules...)
		return nil
	}}
}

// Announce returns a step that sends a state of some hosts to the agents of some gateways; nil stands for all gateways.
func Announce(at time.Duration, gateways []int, state string, hosts ...int) Step {
	return Step{at, fmt.Sprintf("announce %d hosts as %s", len(hosts), state), func(ctx context.Context, f *Fleet) error {
		var entries []emulator.HostEntry
		for _, host := range hosts {
			entries = append(entries, f.hosts[host].Entry(state))
		}
		f.Agent.PushTo(gateways, entries...)
		return nil
	}}
}

// SetAgentMode returns a step that changes the behavior of the discovery agents of some gateways; nil stands for all.
func SetAgentMode(at time.Duration, gateways []int, description string, change func(*emulator.AgentMode)) Step {
	return Step{at, "agents: " + description, func(ctx context.Context, f *Fleet) error {
		f.Agent.SetMode(gateways, change)
		return nil
	}}
}

// StartHosts returns a step that starts hosts and announces them as active to all gateways at once. The hosts warm up
// if their model has a WarmUpFactor.
func StartHosts(at time.Duration, hosts ...int) Step {
	return Step{at, fmt.Sprintf("start %d hosts and list them", len(hosts)), func(ctx context.Context, f *Fleet) error {
		var entries []emulator.HostEntry
		for _, host := range hosts {
			if _, err := f.hosts[host].Start(); err != nil {
				return err
			}
			entries = append(entries, f.hosts[host].Entry(emulator.Active))
		}
		f.Agent.Push(entries...)
		return nil
	}}
}

// RemoveHosts returns the steps that remove hosts: they are announced as leaving, killed after the grace period, and
// then announced as left.
func RemoveHosts(at, grace time.Duration, hosts ...int) []Step {
	kill := Step{at + grace, fmt.Sprintf("kill %d hosts", len(hosts)), func(ctx context.Context, f *Fleet) error {
		for _, host := range hosts {
			f.hosts[host].Kill()
		}
		return nil
	}}
	return []Step{
		Announce(at, nil, emulator.Leaving, hosts...),
		kill,
		Announce(at+grace, nil, emulator.Left, hosts...),
	}
}
