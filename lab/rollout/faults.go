package rollout

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"

	"ravensill/lab/fleet"
	"ravensill/lab/relay"
)

// Disk says what a process finds on its disk when it starts again.
type Disk int

const (
	DiskKept   Disk = iota // what it left there
	DiskEmpty              // nothing
	DiskCopied             // an earlier copy, as of CopyState; for publishers alone
)

var diskNames = map[Disk]string{DiskKept: "its own disk", DiskEmpty: "an empty disk", DiskCopied: "an old copy of its disk"}

// KillLeader is the step that ends the leading publisher by SIGKILL. StartPublishers starts it again.
func KillLeader() Step {
	return Step{"kill the leading publisher", func(ctx context.Context, r *Run) error {
		leader, err := r.Publishers.Leader(ctx)
		if err != nil {
			return err
		}
		return r.Publishers.Process(leader).Kill()
	}}
}

// KillPublishers is the step that ends publishers by SIGKILL.
func KillPublishers(indices ...int) Step {
	return Step{fmt.Sprintf("kill publishers %v", indices), func(_ context.Context, r *Run) error {
		if len(indices) == r.Publishers.Count() {
			r.leave(r.members())
		}
		return r.Publishers.each(func(process *fleet.Process) error {
			if !slices.Contains(indices, process.Index) {
				return nil
			}
			return process.Kill()
		})
	}}
}

// StartPublishers is the step that starts all publishers that are down.
func StartPublishers(disk Disk) Step {
	return Step{"start publishers on " + diskNames[disk], func(ctx context.Context, r *Run) error {
		err := r.Publishers.each(func(process *fleet.Process) error {
			if process.Running() {
				return nil
			}
			return r.startPublisher(ctx, process, disk)
		})
		r.comeBack(r.members())
		return err
	}}
}

func (r *Run) startPublisher(ctx context.Context, process *fleet.Process, disk Disk) error {
	if disk == DiskCopied {
		err := r.Publishers.RestoreState(process.Index)
		if err != nil {
			return err
		}
	}
	return process.Restart(ctx, disk == DiskEmpty)
}

// CopyState is the step that keeps a copy of a publisher's log as of now. The publisher is down meanwhile.
func CopyState(publisher int) Step {
	return Step{fmt.Sprintf("copy the log of publisher %d", publisher), func(ctx context.Context, r *Run) error {
		process := r.Publishers.Process(publisher)
		return errors.Join(process.Kill(), r.Publishers.CopyState(publisher), process.Restart(ctx, false))
	}}
}

// CutLeader is the step that cuts the leading publisher off from the others, under a name that Heal ends. Its followers
// stay connected to it.
func CutLeader(name string) Step {
	return Step{"cut the leading publisher off from the others", func(ctx context.Context, r *Run) error {
		leader, err := r.Publishers.Leader(ctx)
		if err != nil {
			return err
		}
		all := publisherNames(r.Publishers.Count())
		rest := slices.Delete(slices.Clone(all), leader, leader+1)
		r.Fleet.Relay.Cut(name, []string{publisherName(leader)}, rest)
		return nil
	}}
}

// Heal is the step that ends the faults of links under a name.
func Heal(name string) Step {
	return Step{"heal " + name, func(_ context.Context, r *Run) error {
		r.Fleet.Relay.Set(name)
		r.comeBack(r.members())
		return nil
	}}
}

// Drain is the step that tells all gateways that a host leaves, and waits until each has logged it: from then on nothing may
// go there, whatever version comes. Undrain ends it.
func Drain(host int) Step {
	return Step{fmt.Sprintf("drain host %d", host), func(ctx context.Context, r *Run) error {
		marks := make([]int, r.Scenario.Size.Gateways)
		for member := range marks {
			marks[member] = r.Fleet.Gateway(member).Mark()
		}
		h := r.Fleet.Host(host)
		r.Fleet.Agent.Push(h.Entry("leaving"))
		return r.Fleet.ForEach(r.members(), func(g *fleet.Gateway) error {
			_, err := g.WaitLineAfter(ctx, marks[g.Index], "event=host id="+h.ID+" ")
			return err
		})
	}}
}

// Undrain is the step that tells all gateways that a host takes requests again.
func Undrain(host int) Step {
	return Step{fmt.Sprintf("host %d is back", host), func(_ context.Context, r *Run) error {
		r.Fleet.Agent.Push(r.Fleet.Host(host).Entry("active"))
		return nil
	}}
}

// CutZone is the step that cuts gateways off from all publishers and all other gateways, and waits until each of those that
// were connected has noticed.
func CutZone(name string, members ...int) Step {
	return Step{fmt.Sprintf("cut off %d gateways", len(members)), func(ctx context.Context, r *Run) error {
		zone := namesOf(members)
		rest := append(publisherNames(r.Publishers.Count()), namesOf(others(r.members(), members))...)
		r.leave(members)
		r.Fleet.Relay.Cut(name, zone, rest)
		return r.Fleet.ForEach(members, func(g *fleet.Gateway) error {
			_, err := g.WaitLine(ctx, `cause="nothing heard from the publisher"`)
			return err
		})
	}}
}

// CutLink is the step that cuts the link of one gateway to one publisher.
func CutLink(name string, member, publisher int) Step {
	return Step{fmt.Sprintf("cut gateway %d off from publisher %d", member, publisher), func(_ context.Context, r *Run) error {
		r.Fleet.Relay.Cut(name, namesOf([]int{member}), []string{publisherName(publisher)})
		return nil
	}}
}

// ResetLinks is the step that ends the connections of all gateways to one publisher abruptly.
func ResetLinks(publisher int) Step {
	return Step{fmt.Sprintf("reset all connections to publisher %d", publisher), func(_ context.Context, r *Run) error {
		r.Fleet.Relay.Reset(nil, []string{publisherName(publisher)})
		return nil
	}}
}

// SlowLink is the step that delays all that publishers send to a gateway, under a name that Heal ends.
func SlowLink(name string, member int, delay time.Duration) Step {
	return Step{fmt.Sprintf("delay the links of gateway %d by %v", member, delay), func(_ context.Context, r *Run) error {
		r.fromPublishers(name, member, relay.Way{Delay: delay})
		return nil
	}}
}

// StopLink is the step that holds still all that publishers send to a gateway, under a name that Heal ends: the gateway
// reads nothing, and its connections stay open.
func StopLink(name string, member int) Step {
	return Step{fmt.Sprintf("hold the links of gateway %d still", member), func(_ context.Context, r *Run) error {
		r.leave([]int{member})
		r.fromPublishers(name, member, relay.Way{Cut: true})
		return nil
	}}
}

// fromPublishers sets what happens to all that publishers send to a gateway.
func (r *Run) fromPublishers(name string, member int, way relay.Way) {
	r.Fleet.Relay.Set(name, relay.Rule{
		From: publisherNames(r.Publishers.Count()),
		To:   namesOf([]int{member}),
		Way:  way,
	})
}

// Restart is the step that ends gateways by SIGKILL and starts them again, all at once. Those that keep their disk have to
// start from it. Clients avoid them meanwhile.
func Restart(disk Disk, members ...int) Step {
	what := fmt.Sprintf("restart %d gateways on %s", len(members), diskNames[disk])
	return Step{what, func(ctx context.Context, r *Run) error {
		r.Fleet.Clients.SetOutOfUse(true, members...)
		r.leave(members)
		err := r.Fleet.ForEach(members, func(g *fleet.Gateway) error { return g.Restart(ctx, disk == DiskEmpty) })
		if err != nil {
			return err
		}
		r.comeBack(members)
		r.Fleet.Clients.SetOutOfUse(false, members...)
		if disk == DiskEmpty {
			return nil
		}
		return r.startedFromDisk(members)
	}}
}

// startedFromDisk tells which gateways did not start from their disk.
func (r *Run) startedFromDisk(members []int) error {
	r.read()
	for _, member := range members {
		history := r.Record.Histories[member]
		held := slices.ContainsFunc(history.Applied, func(a Applied) bool { return a.FromDisk && a.Life == history.life+1 })
		if !held {
			return fmt.Errorf("%s did not start from its disk", fleet.GatewayName(member))
		}
	}
	return nil
}

// comeBack notes that gateways have a way to a publisher from now on.
func (r *Run) comeBack(members []int) {
	now := time.Now()
	for _, member := range members {
		r.Record.Histories[member].comeBack(now)
	}
}

// leave notes that gateways have no way to any publisher from now on.
func (r *Run) leave(members []int) {
	now := time.Now()
	for _, member := range members {
		r.Record.Histories[member].leave(now)
	}
}

func namesOf(members []int) (names []string) {
	for _, member := range members {
		names = append(names, fleet.GatewayName(member))
	}
	return names
}

// BlockDisk is the step that restarts gateways with a file in the place of the folder of the last good version: nothing
// can be read or written there. Each has to say so once.
func BlockDisk(members ...int) Step {
	return Step{fmt.Sprintf("a file in the place of the folder at gateways %v", members), func(ctx context.Context, r *Run) error {
		err := r.replaceDisk(ctx, members, func(folder string) error {
			return errors.Join(os.RemoveAll(folder), os.WriteFile(folder, nil, 0o600))
		})
		if err != nil {
			return err
		}
		return r.Fleet.ForEach(members, func(g *fleet.Gateway) error {
			_, err := g.WaitLine(ctx, "event=configuration_not_saved")
			return err
		})
	}}
}

// DamageDisk is the step that restarts gateways with the second half of their file cut off or altered.
func DamageDisk(members ...int) Step {
	return Step{fmt.Sprintf("a damaged file at gateways %v", members), func(ctx context.Context, r *Run) error {
		err := r.replaceDisk(ctx, members, func(folder string) error {
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

// replaceDisk ends gateways, changes the folder of their last good version and starts them again.
func (r *Run) replaceDisk(ctx context.Context, members []int, change func(folder string) error) error {
	r.Fleet.Clients.SetOutOfUse(true, members...)
	r.leave(members)
	err := r.Fleet.ForEach(members, func(g *fleet.Gateway) error {
		return errors.Join(g.Kill(), change(filepath.Join(g.Dir, diskFolder)), g.Restart(ctx, false))
	})
	if err != nil {
		return err
	}
	r.comeBack(members)
	r.Fleet.Clients.SetOutOfUse(false, members...)
	return nil
}
