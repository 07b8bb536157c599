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

// Quota plans of the first version that steps use beside those of the clients' load.
const (
	planKept    = "kept"    // stays as it is
	planLowered = "lowered" // its burst is lowered
	planRemoved = "removed"
	planAdded   = "added"  // by a later version
	planRaised  = "raised" // its burst and rate are raised
)

const (
	unlimited              = 1e6  // rate and burst that no run uses up
	slowRate               = 0.01 // units a second, so that a burst is all that a run can use
	highBurst              = 40
	loweredBurst           = 3
	requestsBeforeLowering = 2 // requests of a customer before the burst is lowered
	requestsAfterLowering  = 6 // and after
	burstBeforeRaising     = 2 // used up before it is raised
	requestsAfterRaising   = 3 // requests of a customer after that
)

// publishFirstVersion returns the step that publishes the first version to a fleet that serves by its configuration files.
func publishFirstVersion() Step {
	return Step{"first version", func(ctx context.Context, r *Run) error {
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

// startChanges returns the step from which on routine changes are published.
func startChanges() Step {
	return Step{"changes begin", func(ctx context.Context, r *Run) error {
		r.changes.startRoutineChanges(ctx)
		return nil
	}}
}

// stopChangesAndWait returns the step that ends the routine changes and waits until the latest version is in force everywhere and
// stored on every disk.
func stopChangesAndWait() Step {
	return Step{"the latest version in force everywhere", func(ctx context.Context, r *Run) error {
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

// waitStoredAndShown waits until all publishers have a version, show it in force at all gateways, and all disks have it:
// these follow the gateways by a moment.
func (r *Run) waitStoredAndShown(ctx context.Context, last *publisher.Publication) error {
	description := fmt.Sprintf("version %d at the publishers and on the disks", last.Version)
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
			saved := disk.Version == last.Version || disk.Err != nil // what can't be written is the checks' matter
			if !saved || !record.shownInForce(member, last.Version) {
				return false
			}
		}
		return true
	})
}

// members returns all member indexes.
func (r *Run) members() []int { return fleet.Indexes(0, r.Scenario.Size.Gateways) }

// waitInForce waits until a version or a later one is in force at some gateways.
func (r *Run) waitInForce(ctx context.Context, version configsync.Version, members []int) error {
	description := fmt.Sprintf("version %d at members %v", version, members)
	return r.waitUntil(ctx, description, func() bool {
		for _, member := range members {
			if r.Record.Histories[member].InForce() < version {
				return false
			}
		}
		return true
	})
}

// latestVersion returns the latest version that a publisher has answered.
func (r *Run) latestVersion() configsync.Version {
	record := Record{Published: r.changes.publications()}
	return record.latest()
}

// WaitVersions returns a step that waits until a number of further versions were published and are in force at all
// gateways but some.
func WaitVersions(versions int, except ...int) Step {
	description := fmt.Sprintf("%d more versions in force at all but %d gateways", versions, len(except))
	return Step{description, func(ctx context.Context, r *Run) error {
		version := r.latestVersion() + configsync.Version(versions)
		published := func() bool { return r.latestVersion() >= version }
		err := r.waitUntil(ctx, fmt.Sprintf("version %d published", version), published)
		if err != nil {
			return err
		}
		return r.waitInForce(ctx, version, membersExcept(r.members(), except))
	}}
}

// membersExcept returns the members that are not among some.
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

// PublishBurst returns a step that publishes the size's burst of changes without a pause and waits until the last one
// is in force everywhere.
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

// Pause returns a step that lets a fault last.
func Pause(length time.Duration) Step {
	return Step{fmt.Sprintf("hold for %v", length), func(ctx context.Context, _ *Run) error {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(length):
			return nil
		}
	}}
}
