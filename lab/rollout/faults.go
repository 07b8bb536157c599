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

// Disk says what a process finds on its disk when it is started again.
type Disk int

const (
	DiskKept     Disk = iota // what it left there
	DiskEmpty                // nothing
	DiskRestored             // the earlier copy of CopyState; for publishers alone
)

// diskNames are shown in descriptions of steps.
var diskNames = map[Disk]string{
	DiskKept:     "its own disk",
	DiskEmpty:    "an empty disk",
	DiskRestored: "an old copy of its disk",
}

// KillLeader returns a step that kills the leading publisher by SIGKILL. StartPublishers starts it again.
func KillLeader() Step {
	return Step{"kill the leading publisher", func(ctx context.Context, r *Run) error {
		leader, err := r.Publishers.WaitLeader(ctx)
		if err != nil {
			return err
		}
		return r.Publishers.Process(leader).Kill()
	}}
}

// KillPublishers returns a step that kills publishers by SIGKILL.
func KillPublishers(indices ...int) Step {
	return Step{fmt.Sprintf("kill publishers %v", indices), func(_ context.Context, r *Run) error {
		if len(indices) == r.Publishers.Count() {
			r.startAbsence(r.members())
		}
		return r.Publishers.forEach(func(process *fleet.Process) error {
			if !slices.Contains(indices, process.Index) {
				return nil
			}
			return process.Kill()
		})
	}}
}

// StartPublishers returns a step that starts all publishers that are down.
func StartPublishers(disk Disk) Step {
	return Step{"start publishers on " + diskNames[disk], func(ctx context.Context, r *Run) error {
		err := r.Publishers.forEach(func(process *fleet.Process) error {
			if process.Running() {
				return nil
			}
			return r.startPublisher(ctx, process, disk)
		})
		r.endAbsence(r.members())
		return err
	}}
}

// startPublisher starts one publisher again.
func (r *Run) startPublisher(ctx context.Context, process *fleet.Process, disk Disk) error {
	if disk == DiskRestored {
		err := r.Publishers.RestoreState(process.Index)
		if err != nil {
			return err
		}
	}
	return process.Restart(ctx, disk == DiskEmpty)
}

// CopyState returns a step that copies a publisher's log. The publisher is down meanwhile.
func CopyState(publisher int) Step {
	return Step{fmt.Sprintf("copy the log of publisher %d", publisher), func(ctx context.Context, r *Run) error {
		process := r.Publishers.Process(publisher)
		return errors.Join(process.Kill(), r.Publishers.CopyState(publisher), process.Restart(ctx, false))
	}}
}

// PartitionLeader returns a step that cuts the leading publisher off from the others, under a name that EndFaults
// ends. Its followers stay connected to it.
func PartitionLeader(name string) Step {
	return Step{"cut the leading publisher off from the others", func(ctx context.Context, r *Run) error {
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

// EndFaults returns a step that ends the faults of links under a name.
func EndFaults(name string) Step {
	return Step{"heal " + name, func(_ context.Context, r *Run) error {
		r.Fleet.Relay.SetRules(name)
		r.endAbsence(r.members())
		return nil
	}}
}

// DrainHost returns a step that announces a host as leaving to all gateways and waits until each has logged it: from
// then on no request may be sent there, whatever version comes. ReactivateHost ends it.
func DrainHost(host int) Step {
	return Step{fmt.Sprintf("drain host %d", host), func(ctx context.Context, r *Run) error {
		marks := make([]int, r.Scenario.Size.Gateways)
		for member := range marks {
			marks[member] = r.Fleet.Gateway(member).LogEnd()
		}
		drained := r.Fleet.Host(host)
		r.Fleet.Agent.Push(drained.Entry(emulator.Leaving))
		return r.Fleet.ForEach(r.members(), func(g *fleet.Gateway) error {
			_, err := g.WaitLineAfter(ctx, marks[g.Index], "event=endpoint_state id="+drained.ID+" ")
			return err
		})
	}}
}

// ReactivateHost returns a step that announces to all gateways that a host accepts requests again.
func ReactivateHost(host int) Step {
	return Step{fmt.Sprintf("host %d is back", host), func(_ context.Context, r *Run) error {
		r.Fleet.Agent.Push(r.Fleet.Host(host).Entry(emulator.Active))
		return nil
	}}
}

// PartitionZone returns a step that cuts gateways off from all publishers and all other gateways, and waits until
// each of those that were connected has noticed.
func PartitionZone(name string, members ...int) Step {
	return Step{fmt.Sprintf("cut off %d gateways", len(members)), func(ctx context.Context, r *Run) error {
		zone := namesOf(members)
		rest := append(publisherNames(r.Publishers.Count()), namesOf(others(r.members(), members))...)
		r.startAbsence(members)
		r.Fleet.Relay.Partition(name, zone, rest)
		return r.Fleet.ForEach(members, func(g *fleet.Gateway) error {
			_, err := g.WaitLine(ctx, `cause="nothing heard from the publisher"`)
			return err
		})
	}}
}

// BlockLink returns a step that cuts the link of one gateway to one publisher.
func BlockLink(name string, member, publisher int) Step {
	what := fmt.Sprintf("cut gateway %d off from publisher %d", member, publisher)
	return Step{what, func(_ context.Context, r *Run) error {
		r.Fleet.Relay.Partition(name, namesOf([]int{member}), []string{publisherName(publisher)})
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

// DelayLink returns a step that delays all that publishers send to a gateway, under a name that EndFaults ends.
func DelayLink(name string, member int, delay time.Duration) Step {
	return Step{fmt.Sprintf("delay the links of gateway %d by %v", member, delay), func(_ context.Context, r *Run) error {
		r.setFaultsFromPublishers(name, member, relay.Faults{Delay: delay})
		return nil
	}}
}

// StallLink returns a step that blocks all that publishers send to a gateway, under a name that EndFaults ends: the
// gateway reads nothing, and its connections stay open.
func StallLink(name string, member int) Step {
	return Step{fmt.Sprintf("stall the links of gateway %d", member), func(_ context.Context, r *Run) error {
		r.startAbsence([]int{member})
		r.setFaultsFromPublishers(name, member, relay.Faults{Blocked: true})
		return nil
	}}
}

// setFaultsFromPublishers sets the faults of all that publishers send to a gateway.
func (r *Run) setFaultsFromPublishers(name string, member int, way relay.Faults) {
	r.Fleet.Relay.SetRules(name, relay.Rule{
		From:   publisherNames(r.Publishers.Count()),
		To:     namesOf([]int{member}),
		Faults: way,
	})
}

// RestartGateways returns a step that kills gateways by SIGKILL and starts them again, all at once. Those that keep
// their disk have to start from it. Clients do not use them meanwhile.
func RestartGateways(disk Disk, members ...int) Step {
	what := fmt.Sprintf("restart %d gateways on %s", len(members), diskNames[disk])
	return Step{what, func(ctx context.Context, r *Run) error {
		r.Fleet.Clients.SetOutOfRotation(true, members...)
		r.startAbsence(members)
		err := r.Fleet.ForEach(members, func(g *fleet.Gateway) error { return g.Restart(ctx, disk == DiskEmpty) })
		if err != nil {
			return err
		}
		r.endAbsence(members)
		r.Fleet.Clients.SetOutOfRotation(false, members...)
		if disk == DiskEmpty {
			return nil
		}
		return r.checkStartedFromDisk(members)
	}}
}

// checkStartedFromDisk returns an error if a gateway did not start from its disk.
func (r *Run) checkStartedFromDisk(members []int) error {
	r.readLogs()
	for _, member := range members {
		history := r.Record.Histories[member]
		fromDisk := slices.ContainsFunc(history.Applied, func(applied AppliedVersion) bool {
			return applied.FromDisk && applied.Incarnation == history.incarnation()
		})
		if !fromDisk {
			return fmt.Errorf("%s did not start from its disk", fleet.GatewayName(member))
		}
	}
	return nil
}

// endAbsence records that gateways can reach a publisher from now on.
func (r *Run) endAbsence(members []int) {
	now := time.Now()
	for _, member := range members {
		r.Record.Histories[member].endAbsence(now)
	}
}

// startAbsence records that gateways can reach no publisher from now on.
func (r *Run) startAbsence(members []int) {
	now := time.Now()
	for _, member := range members {
		r.Record.Histories[member].startAbsence(now)
	}
}

// namesOf returns the names of gateways.
func namesOf(members []int) (names []string) {
	for _, member := range members {
		names = append(names, fleet.GatewayName(member))
	}
	return names
}

// BlockDisk returns a step that restarts gateways with a file in place of the folder of the stored version, so that
// nothing can be read or written there. Each has to log that once.
func BlockDisk(members ...int) Step {
	what := fmt.Sprintf("a file in place of the folder at gateways %v", members)
	return Step{what, func(ctx context.Context, r *Run) error {
		err := r.restartWithDisk(ctx, members, func(folder string) error {
			return errors.Join(os.RemoveAll(folder), os.WriteFile(folder, nil, 0o600))
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

// DamageDisk returns a step that restarts gateways with one byte of their stored file altered.
func DamageDisk(members ...int) Step {
	return Step{fmt.Sprintf("a damaged file at gateways %v", members), func(ctx context.Context, r *Run) error {
		err := r.restartWithDisk(ctx, members, func(folder string) error {
			file := filepath.Join(folder, "configuration")
			text, err := os.ReadFile(file)
			if err != nil {
				return err
			}
			text[len(text)-len(text)/4] ^= 0xff
			return os.WriteFile(file, text, 0o600)
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

// restartWithDisk kills gateways, changes the folder of their stored version and starts them again.
func (r *Run) restartWithDisk(ctx context.Context, members []int, change func(folder string) error) error {
	r.Fleet.Clients.SetOutOfRotation(true, members...)
	r.startAbsence(members)
	err := r.Fleet.ForEach(members, func(g *fleet.Gateway) error {
		return errors.Join(g.Kill(), change(filepath.Join(g.Dir, diskFolder)), g.Restart(ctx, false))
	})
	if err != nil {
		return err
	}
	r.endAbsence(members)
	r.Fleet.Clients.SetOutOfRotation(false, members...)
	return nil
}
