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
	unbounded   = 1e6  // rate and burst that no run uses up
	slowRate    = 0.01 // units a second, so that a burst is all that a run can use
	highBurst   = 40
	loweredTo   = 3
	beforeLower = 2 // requests of a customer before the burst is lowered
	afterLower  = 6 // and after
	lowBurst    = 2 // used up before it is raised
	afterRaise  = 3 // requests of a customer after that
)

// firstVersion returns the step that publishes the first version to a fleet that serves by its configuration files.
func firstVersion() Step {
	return Step{"first version", func(ctx context.Context, r *Run) error {
		r.publishersBefore = r.Publishers.usage()
		r.changes = &changePublisher{
			publishers: r.Publishers,
			interval:   r.Scenario.Size.ChangeInterval,
			preferred:  anyPublisher,
		}
		request, err := firstContentRequest(map[string]gatewayconfig.QuotaPlan{
			"team":      quotaPlan(unbounded, unbounded),
			"small":     quotaPlan(20, 40),
			planKept:    quotaPlan(unbounded, unbounded),
			planLowered: quotaPlan(slowRate, highBurst),
			planRemoved: quotaPlan(unbounded, unbounded),
			planRaised:  quotaPlan(slowRate, lowBurst),
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
		r.changes.start(ctx)
		return nil
	}}
}

// settle returns the step that ends the routine changes and waits until the latest version is in force everywhere and
// stored on every disk.
func settle() Step {
	return Step{"the latest version in force everywhere", func(ctx context.Context, r *Run) error {
		err := r.changes.stop()
		if err != nil {
			return err
		}
		publication, err := r.changes.patch(ctx, Resources{planResource("last"): quotaPlan(unbounded, unbounded)})
		if err != nil {
			return err
		}
		err = r.waitInForce(ctx, publication.Version, r.members())
		if err != nil {
			return err
		}
		return r.waitSettled(ctx, &publication)
	}}
}

// waitSettled waits until all publishers have a version, show it in force at all gateways, and all disks have it:
// these follow the gateways by a moment.
func (r *Run) waitSettled(ctx context.Context, last *publisher.Publication) error {
	what := fmt.Sprintf("version %d at the publishers and on the disks", last.Version)
	return r.waitUntil(ctx, what, func() bool {
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
	what := fmt.Sprintf("version %d at members %v", version, members)
	return r.waitUntil(ctx, what, func() bool {
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
func WaitVersions(versions int, without ...int) Step {
	what := fmt.Sprintf("%d more versions in force at all but %d gateways", versions, len(without))
	return Step{what, func(ctx context.Context, r *Run) error {
		version := r.latestVersion() + configsync.Version(versions)
		published := func() bool { return r.latestVersion() >= version }
		err := r.waitUntil(ctx, fmt.Sprintf("version %d published", version), published)
		if err != nil {
			return err
		}
		return r.waitInForce(ctx, version, others(r.members(), without))
	}}
}

// others returns the members that are not among some.
func others(members, without []int) (rest []int) {
	excluded := make(map[int]bool, len(without))
	for _, member := range without {
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
		r.changes.prefer(leader)
		var last publisher.Publication
		for range r.Scenario.Size.Burst {
			publication, err := r.changes.publishRoutine(ctx)
			if err != nil {
				return err
			}
			last = publication
		}
		r.changes.prefer(anyPublisher)
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
