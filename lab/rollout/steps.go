package rollout

import (
	"context"
	"fmt"
	"time"

	"ravensill/configsync"
	"ravensill/internal/publisher"
	"ravensill/lab/fleet"
	"ravensill/lab/gatewayconfig"
)

// Quota plans for probes. All but planAdded are part of the first version.
const (
	planKept    = "kept"    // never changes
	planLowered = "lowered" // a later version lowers its burst
	planRemoved = "removed" // a later version removes it
	planAdded   = "added"   // a later version adds it
	planRaised  = "raised"  // a later version raises its burst and rate
)

const (
	unlimited              = 1e6  // rate and burst that no run exhausts
	slowRate               = 0.01 // units per second; so little that a run can use no more than the burst
	highBurst              = 40
	loweredBurst           = 3
	requestsBeforeLowering = 2 // requests of a customer before planLowered changes
	requestsAfterLowering  = 6 // requests of the customer after that, beside the one of checkServed
	burstBeforeRaising     = 2 // first burst of planRaised, used up before it is raised
	requestsAfterRaising   = 3 // requests of the customer after planRaised changes
)

// publishFirstVersion returns the step that publishes the first version. Until then the gateways use their
// configuration files.
func publishFirstVersion() Step {
	return Step{"publish the first version", func(ctx context.Context, r *Run) error {
		r.publishersBefore = r.Publishers.usage()
		r.changes = &changePublisher{
			publishers:         r.Publishers,
			interval:           r.Scenario.Size.ChangeInterval,
			preferredPublisher: anyPublisher,
		}
		request, err := firstContentRequest(map[string]gatewayconfig.QuotaPlan{
			"team":      quotaPlan(unlimited, unlimited),
			"small":     quotaPlan(20, 40),
			planKept:    quotaPlan(unlimited, unlimited),
			planLowered: quotaPlan(slowRate, highBurst),
			planRemoved: quotaPlan(unlimited, unlimited),
			planRaised:  quotaPlan(slowRate, burstBeforeRaising),
		})
		if err != nil {
			return err
		}
		publication, err := r.changes.publish(ctx, request)
		if err != nil {
			return err
		}
		return r.waitInForce(ctx, publication.Version, r.members())
	}}
}

// startChanges returns the step that starts the routine changes.
func startChanges() Step {
	return Step{"start routine changes", func(ctx context.Context, r *Run) error {
		r.changes.startRoutineChanges(ctx)
		return nil
	}}
}

// stopChangesAndWait returns the step that stops the routine changes, publishes one last version and waits until it is
// in force everywhere and stored on every disk.
func stopChangesAndWait() Step {
	return Step{"stop routine changes and wait for the last version", func(ctx context.Context, r *Run) error {
		err := r.changes.stopRoutineChanges()
		if err != nil {
			return err
		}
		publication, err := r.changes.patch(ctx, Resources{planResource("last"): quotaPlan(unlimited, unlimited)})
		if err != nil {
			return err
		}
		err = r.waitInForce(ctx, publication.Version, r.members())
		if err != nil {
			return err
		}
		return r.waitStoredAndShown(ctx, &publication)
	}}
}

// waitStoredAndShown waits until all publishers have a version and show it in force at all gateways, and all disks hold
// it. This happens shortly after the version came in force.
func (r *Run) waitStoredAndShown(ctx context.Context, last *publisher.Publication) error {
	description := fmt.Sprintf("version %d to be at all publishers and on all disks", last.Version)
	return r.waitUntil(ctx, description, func() bool {
		states, err := r.Publishers.states(ctx)
		if err != nil {
			return false
		}
		record := Record{Publishers: states}
		for i := range states {
			if states[i].Version < last.Version {
				return false
			}
		}
		for member, g := range r.Fleet.Gateways() {
			disk := readDisk(g)
			saved := disk.Version == last.Version || disk.Err != nil // EqualDigests reports disks that cannot be read
			if !saved || !record.shownInForce(member, last.Version) {
				return false
			}
		}
		return true
	})
}

// members returns the member indexes of all gateways.
func (r *Run) members() []int { return fleet.Indexes(0, r.Scenario.Size.Gateways) }

// waitInForce waits until this version or a later one is in force at the given members.
func (r *Run) waitInForce(ctx context.Context, version configsync.Version, members []int) error {
	description := fmt.Sprintf("version %d to be in force at members %v", version, members)
	return r.waitUntil(ctx, description, func() bool {
		for _, member := range members {
			if r.Record.Histories[member].InForce() < version {
				return false
			}
		}
		return true
	})
}

// latestVersion returns the latest version that a publisher has confirmed, or 0 if there is none.
func (r *Run) latestVersion() configsync.Version {
	record := Record{Published: r.changes.publications()}
	return record.latest()
}

// WaitVersions returns a step that waits until a number of further versions have been published and are in force at all
// gateways, except for the given members.
func WaitVersions(versions int, except ...int) Step {
	description := fmt.Sprintf("wait for %d more versions at all but %d gateways", versions, len(except))
	return Step{description, func(ctx context.Context, r *Run) error {
		version := r.latestVersion() + configsync.Version(versions)
		published := func() bool { return r.latestVersion() >= version }
		err := r.waitUntil(ctx, fmt.Sprintf("version %d to be published", version), published)
		if err != nil {
			return err
		}
		return r.waitInForce(ctx, version, membersExcept(r.members(), except))
	}}
}

// membersExcept returns those members that are not in except, in the same order.
func membersExcept(members, except []int) (rest []int) {
	excluded := make(map[int]bool, len(except))
	for _, member := range except {
		excluded[member] = true
	}
	for _, member := range members {
		if !excluded[member] {
			rest = append(rest, member)
		}
	}
	return rest
}

// PublishBurst returns a step that publishes Size.Burst changes without a pause, by the leading publisher first, and
// waits until the last one is in force everywhere.
func PublishBurst() Step {
	return Step{"burst", func(ctx context.Context, r *Run) error {
		leader, err := r.Publishers.WaitLeader(ctx)
		if err != nil {
			return err
		}
		r.changes.setPreferredPublisher(leader)
		var last publisher.Publication
		for range r.Scenario.Size.Burst {
			publication, err := r.changes.publishRoutine(ctx)
			if err != nil {
				return err
			}
			last = publication
		}
		r.changes.setPreferredPublisher(anyPublisher)
		return r.waitInForce(ctx, last.Version, r.members())
	}}
}

// Pause returns a step that waits for a duration, such as to let a fault last.
func Pause(length time.Duration) Step {
	return Step{fmt.Sprintf("pause for %v", length), func(ctx context.Context, _ *Run) error {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(length):
			return nil
		}
	}}
}
