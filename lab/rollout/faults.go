package rollout

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"

	"ravensill/lab/emulator"
	"ravensill/lab/fleet"
	"ravensill/lab/relay"
)

// Disk is the state of a process's disk when the process is started again.
type Disk int

const (
	DiskKept     Disk = iota // as the previous incarnation left it
	DiskEmpty                // no stored state
	DiskRestored             // the copy made by CopyState; for publishers only
)

// diskNames are the names of disk states in the descriptions of steps.
var diskNames = map[Disk]string{
	DiskKept:     "its own disk",
	DiskEmpty:    "an empty disk",
	DiskRestored: "an earlier copy of its disk",
}

// KillLeader returns a step that kills the leading publisher by SIGKILL. StartPublishers restarts it.
func KillLeader() Step {
	return Step{"kill the leading publisher", func(ctx context.Context, r *Run) error {
		leader, err := r.Publishers.WaitLeader(ctx)
		if err != nil {
			return err
		}
		return r.Publishers.Process(leader).Kill()
	}}
}

// KillPublishers returns a step that kills publishers by SIGKILL. If these are all publishers, an outage begins at
// every gateway.
func KillPublishers(indexes ...int) Step {
	return Step{fmt.Sprintf("kill publishers %v", indexes), func(_ context.Context, r *Run) error {
		if len(indexes) == r.Publishers.Count() {
			r.startOutage(r.members())
		}
		return r.Publishers.forEach(func(process *fleet.Process) error {
			if !slices.Contains(indexes, process.Index) {
				return nil
			}
			return process.Kill()
		})
	}}
}

// StartPublishers returns a step that restarts all publishers that are down. It ends the outage of all gateways.
func StartPublishers(disk Disk) Step {
	return Step{"start publishers on " + diskNames[disk], func(ctx context.Context, r *Run) error {
		err := r.Publishers.forEach(func(process *fleet.Process) error {
			if process.Running() {
				return nil
			}
			return r.startPublisher(ctx, process, disk)
		})
		r.endOutage(r.members())
		return err
	}}
}

// startPublisher restarts one publisher with the given disk state.
func (r *Run) startPublisher(ctx context.Context, process *fleet.Process, disk Disk) error {
	if disk == DiskRestored {
		err := r.Publishers.RestoreState(process.Index)
		if err != nil {
			return err
		}
	}
	return process.Restart(ctx, disk == DiskEmpty)
}

// CopyState returns a step that copies a publisher's log for a later restart with DiskRestored. The publisher is killed
// before the copy and restarted afterwards.
func CopyState(publisher int) Step {
	return Step{fmt.Sprintf("copy the log of publisher %d", publisher), func(ctx context.Context, r *Run) error {
		process := r.Publishers.Process(publisher)
		return errors.Join(process.Kill(), r.Publishers.CopyState(publisher), process.Restart(ctx, false))
	}}
}

// PartitionLeader returns a step that blocks all traffic between the leading publisher and the other publishers until
// EndFaults is run with the same name. Gateways stay connected to the leader.
func PartitionLeader(name string) Step {
	return Step{"partition the leading publisher from the other publishers", func(ctx context.Context, r *Run) error {
		leader, err := r.Publishers.WaitLeader(ctx)
		if err != nil {
			return err
		}
		all := publisherNames(r.Publishers.Count())
		rest := slices.Delete(slices.Clone(all), leader, leader+1)
		r.Fleet.Relay.Partition(name, []string{publisherName(leader)}, rest)
		return nil
	}}
}

// EndFaults returns a step that ends the link faults set under a name. It ends the outage of all gateways.
func EndFaults(name string) Step {
	return Step{"end faults " + name, func(_ context.Context, r *Run) error {
		r.Fleet.Relay.SetRules(name)
		r.endOutage(r.members())
		return nil
	}}
}

// DrainHost returns a step that announces a host as leaving and waits until every gateway has logged it. From then on
// the gateways must send the host no requests, whichever versions they apply. ReactivateHost ends it.
func DrainHost(host int) Step {
	return Step{fmt.Sprintf("drain host %d", host), func(ctx context.Context, r *Run) error {
		logPositions := make([]int, r.Scenario.Size.Gateways)
		for member := range logPositions {
			logPositions[member] = r.Fleet.Gateway(member).LogEnd()
		}
		drained := r.Fleet.Host(host)
		r.Fleet.Agent.Push(drained.Entry(emulator.Leaving))
		return r.Fleet.ForEach(r.members(), func(g *fleet.Gateway) error {
			_, err := g.WaitLineAfter(ctx, logPositions[g.Index], "event=endpoint_state id="+drained.ID+" ")
			return err
		})
	}}
}

// ReactivateHost returns a step that announces to all gateways that a host accepts requests again.
func ReactivateHost(host int) Step {
	return Step{fmt.Sprintf("reactivate host %d", host), func(_ context.Context, r *Run) error {
		r.Fleet.Agent.Push(r.Fleet.Host(host).Entry(emulator.Active))
		return nil
	}}
}

// PartitionZone returns a step that blocks all traffic between some gateways and all publishers and other gateways, and
// waits until each of those gateways has logged that it lost its publisher. EndFaults with the same name ends it.
func PartitionZone(name string, members ...int) Step {
	return Step{fmt.Sprintf("partition %d gateways from the rest", len(members)), func(ctx context.Context, r *Run) error {
		zone := gatewayNames(members)
		rest := append(publisherNames(r.Publishers.Count()), gatewayNames(membersExcept(r.members(), members))...)
		r.startOutage(members)
		r.Fleet.Relay.Partition(name, zone, rest)
		return r.Fleet.ForEach(members, func(g *fleet.Gateway) error {
			_, err := g.WaitLine(ctx, `cause="nothing heard from the publisher"`)
			return err
		})
	}}
}

// BlockLink returns a step that blocks the link between one gateway and one publisher until EndFaults is run with the
// same name.
func BlockLink(name string, member, publisher int) Step {
	description := fmt.Sprintf("block the link between gateway %d and publisher %d", member, publisher)
	return Step{description, func(_ context.Context, r *Run) error {
		r.Fleet.Relay.Partition(name, gatewayNames([]int{member}), []string{publisherName(publisher)})
		return nil
	}}
}

// ResetLinks returns a step that resets the connections of all gateways to one publisher.
func ResetLinks(publisher int) Step {
	return Step{fmt.Sprintf("reset all connections to publisher %d", publisher), func(_ context.Context, r *Run) error {
		r.Fleet.Relay.ResetStreams(nil, []string{publisherName(publisher)})
		return nil
	}}
}

// DelayLink returns a step that delays everything that publishers send to a gateway until EndFaults is run with the
// same name.
func DelayLink(name string, member int, delay time.Duration) Step {
	return Step{fmt.Sprintf("delay the links of gateway %d by %v", member, delay), func(_ context.Context, r *Run) error {
		r.setInboundFaults(name, member, relay.Faults{Delay: delay})
		return nil
	}}
}

// StallLink returns a step that blocks everything that publishers send to a gateway until EndFaults is run with the
// same name. The connections stay open, but the gateway receives nothing.
func StallLink(name string, member int) Step {
	return Step{fmt.Sprintf("stall the links of gateway %d", member), func(_ context.Context, r *Run) error {
		r.startOutage([]int{member})
		r.setInboundFaults(name, member, relay.Faults{Blocked: true})
		return nil
	}}
}

// setInboundFaults sets the faults of everything that publishers send to a gateway.
func (r *Run) setInboundFaults(name string, member int, faults relay.Faults) {
	r.Fleet.Relay.SetRules(name, relay.Rule{
		From:   publisherNames(r.Publishers.Count()),
		To:     gatewayNames([]int{member}),
		Faults: faults,
	})
}

// RestartGateways returns a step that kills gateways by SIGKILL and starts them again, all at once. Gateways that keep
// their disk must start with the version stored there. Clients do not use these gateways during the restart.
func RestartGateways(disk Disk, members ...int) Step {
	description := fmt.Sprintf("restart %d gateways on %s", len(members), diskNames[disk])
	return Step{description, func(ctx context.Context, r *Run) error {
		r.Fleet.Clients.SetOutOfRotation(true, members...)
		r.startOutage(members)
		err := r.Fleet.ForEach(members, func(g *fleet.Gateway) error { return g.Restart(ctx, disk == DiskEmpty) })
		if err != nil {
			return err
		}
		r.endOutage(members)
		r.Fleet.Clients.SetOutOfRotation(false, members...)
		if disk == DiskEmpty {
			return nil
		}
		return r.checkStartedFromDisk(members)
	}}
}

// checkStartedFromDisk returns an error if the current incarnation of a gateway did not start with its stored version.
func (r *Run) checkStartedFromDisk(members []int) error {
	r.readLogs()
	for _, member := range members {
		history := r.Record.Histories[member]
		fromDisk := slices.ContainsFunc(history.Applied, func(applied AppliedVersion) bool {
			return applied.FromDisk && applied.Incarnation == history.incarnation()
		})
		if !fromDisk {
			return fmt.Errorf("%s did not start with the version stored on its disk", fleet.GatewayName(member))
		}
	}
	return nil
}

// endOutage records that gateways can reach a publisher from now on.
func (r *Run) endOutage(members []int) {
	now := time.Now()
	for _, member := range members {
		r.Record.Histories[member].endOutage(now)
	}
}

// startOutage records that gateways cannot reach any publisher from now on.
func (r *Run) startOutage(members []int) {
	now := time.Now()
	for _, member := range members {
		r.Record.Histories[member].startOutage(now)
	}
}

// gatewayNames returns the names of the gateways with these member indexes.
func gatewayNames(members []int) (names []string) {
	for _, member := range members {
		names = append(names, fleet.GatewayName(member))
	}
	return names
}

// BlockDisk returns a step that restarts gateways with a file in place of the directory of the stored version, so that
// the version can be neither read nor written. It waits until each gateway has logged that it could not store a
// version.
func BlockDisk(members ...int) Step {
	description := fmt.Sprintf("replace the stored version's directory by a file at gateways %v", members)
	return Step{description, func(ctx context.Context, r *Run) error {
		err := r.restartWithDisk(ctx, members, func(dir string) error {
			return errors.Join(os.RemoveAll(dir), os.WriteFile(dir, nil, 0o600))
		})
		if err != nil {
			return err
		}
		return r.Fleet.ForEach(members, func(g *fleet.Gateway) error {
			_, err := g.WaitLine(ctx, "event=configuration_save_failed")
			return err
		})
	}}
}

// DamageDisk returns a step that restarts gateways with one byte of their stored version changed, and waits until each
// has logged that the file is damaged.
func DamageDisk(members ...int) Step {
	return Step{fmt.Sprintf("damage the stored version of gateways %v", members), func(ctx context.Context, r *Run) error {
		err := r.restartWithDisk(ctx, members, func(dir string) error {
			file := filepath.Join(dir, "configuration")
			content, err := os.ReadFile(file)
			if err != nil {
				return err
			}
			content[len(content)-len(content)/4] ^= 0xff
			return os.WriteFile(file, content, 0o600)
		})
		if err != nil {
			return err
		}
		return r.Fleet.ForEach(members, func(g *fleet.Gateway) error {
			_, err := g.WaitLine(ctx, "event=configuration_damaged")
			return err
		})
	}}
}

// restartWithDisk kills gateways, modifies the directory of their stored version by change and starts them again.
// Clients do not use these gateways meanwhile.
func (r *Run) restartWithDisk(ctx context.Context, members []int, change func(dir string) error) error {
	r.Fleet.Clients.SetOutOfRotation(true, members...)
	r.startOutage(members)
	err := r.Fleet.ForEach(members, func(g *fleet.Gateway) error {
		return errors.Join(g.Kill(), change(filepath.Join(g.Dir, storedVersionDir)), g.Restart(ctx, false))
	})
	if err != nil {
		return err
	}
	r.endOutage(members)
	r.Fleet.Clients.SetOutOfRotation(false, members...)
	return nil
}
