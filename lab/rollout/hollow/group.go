package hollow

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"golang.org/x/sync/errgroup"

	"ravensill/internal/publisher"
	"ravensill/lab/fleet"
	"ravensill/lab/rollout"
)

const (
	publisherCount = 3
	electionMS     = 1000 // election timeout; the publishers' default
)

// Options describes a group of publishers and their followers.
type Options struct {
	Followers     int
	Configuration ConfigurationSize
	Settings      rollout.PublisherSettings
}

// Group is a group of publishers with their simulated followers. One goroutine at a time may call its methods.
type Group struct {
	Publishers *rollout.PublisherGroup
	Fleet      *Fleet

	configuration ConfigurationSize
	dir           string
	latest        publisher.Publication
	published     []rollout.PublishedChange // changes since the last call of takePublished
	changes       int                       // number of changes so far, without the first version
}

// NewGroup starts publishers and publishes the whole configuration as their first version. The followers are not
// started.
func NewGroup(ctx context.Context, options Options) (g *Group, err error) {
	g = &Group{configuration: options.Configuration}
	defer func() {
		if err != nil {
			g.Close()
			g = nil
		}
	}()
	g.dir, err = os.MkdirTemp("", "hollow-")
	if err != nil {
		return g, err
	}
	g.Publishers, err = rollout.NewPublisherGroup(ctx, rollout.PublisherGroupOptions{
		Count:             publisherCount,
		Dir:               filepath.Join(g.dir, "publishers"),
		ElectionTimeoutMS: electionMS,
		Settings:          options.Settings,
	})
	if err != nil {
		return g, err
	}
	g.Fleet, err = NewFleet(FleetOptions{Followers: options.Followers, Dir: g.dir, Publishers: g.addresses()})
	if err != nil {
		return g, err
	}
	request, err := g.configuration.firstVersionRequest()
	if err != nil {
		return g, err
	}
	return g, g.publish(ctx, request)
}

// addresses returns the addresses at which the publishers serve followers.
func (g *Group) addresses() (addresses []netip.AddrPort) {
	for i := range g.Publishers.Count() {
		addresses = append(addresses, g.Publishers.FollowerAddress(i))
	}
	return addresses
}

// Close stops the followers, kills the publishers and removes their directories.
func (g *Group) Close() {
	if g.Fleet != nil {
		g.Fleet.Close()
	}
	if g.Publishers != nil {
		g.Publishers.Close()
	}
	os.RemoveAll(g.dir)
}

// publish publishes a change and records it. It fails if the change did not result in a new version.
func (g *Group) publish(ctx context.Context, request rollout.Request) (err error) {
	sent := time.Now()
	g.latest, err = g.Publishers.Publish(ctx, g.changes, request)
	if err != nil {
		return err
	}
	if g.latest.Changes == 0 {
		return errors.New("the published change left the configuration as it was")
	}
	g.published = append(g.published, rollout.PublishedChange{Version: g.latest.Version, SentAt: sent})
	return nil
}

// publishChange publishes the next change of a quota plan.
func (g *Group) publishChange(ctx context.Context) error {
	request, err := g.configuration.changeRequest(g.changes)
	if err != nil {
		return err
	}
	g.changes++
	return g.publish(ctx, request)
}

// publishBurst publishes changes without a pause and does not wait until they are in force.
func (g *Group) publishBurst(ctx context.Context, changes int) error {
	for range changes {
		err := g.publishChange(ctx)
		if err != nil {
			return err
		}
	}
	return nil
}

// publishSpaced publishes one change per interval, then calls waitInForce to wait until the last one is in force. With
// an interval of 0, each change is published as soon as the previous one is in force.
func (g *Group) publishSpaced(ctx context.Context, changes int, interval time.Duration,
	waitInForce func(context.Context) error) error {
	start := time.Now()
	for i := range changes {
		err := waitUntil(ctx, start.Add(time.Duration(i)*interval))
		if err != nil {
			return err
		}
		err = g.publishChange(ctx)
		if err != nil {
			return err
		}
		if interval > 0 {
			continue
		}
		err = waitInForce(ctx)
		if err != nil {
			return err
		}
	}
	err := waitUntil(ctx, start.Add(time.Duration(changes)*interval))
	if err != nil {
		return err
	}
	return waitInForce(ctx)
}

// waitEverywhere waits until the latest version is in force at all followers and shown in their status.
func (g *Group) waitEverywhere(ctx context.Context) error {
	err := g.Fleet.WaitInForce(ctx, g.latest.Version, g.Fleet.members())
	if err != nil {
		return err
	}
	return g.Fleet.WaitStatus(ctx, g.latest.Version)
}

// takePublished returns the changes published since the previous call.
func (g *Group) takePublished() []rollout.PublishedChange {
	published := g.published
	g.published = nil
	return published
}

// killPublishers kills all publishers by SIGKILL.
func (g *Group) killPublishers() {
	for i := range g.Publishers.Count() {
		g.Publishers.Process(i).Kill()
	}
}

// restartPublishers starts all publishers with the state on their disks and waits until they serve followers.
func (g *Group) restartPublishers(ctx context.Context) error {
	var starts errgroup.Group
	for i := range g.Publishers.Count() {
		process := g.Publishers.Process(i)
		starts.Go(func() error { return errors.Join(process.Launch(), process.WaitServing(ctx)) })
	}
	return starts.Wait()
}

// Violations returns what is wrong once the latest version is in force everywhere: versions that did not increase,
// differing digests, publishers with other contents, versions that followers refused or could not store, invalid
// messages, and crashes of publishers.
func (g *Group) Violations(ctx context.Context) ([]string, error) {
	violations := g.Fleet.Violations(g.latest.Version, g.latest.Digest)
	totals := g.Fleet.Totals()
	if totals.RefusedVersions+totals.InvalidMessages > 0 || totals.UnsavedVersions > 0 {
		violations = append(violations, fmt.Sprintf(
			"%d versions refused, %d invalid messages, %d versions not stored on disk",
			totals.RefusedVersions, totals.InvalidMessages, totals.UnsavedVersions))
	}
	for i := range g.Publishers.Count() {
		violation, err := g.publisherViolation(ctx, i)
		if err != nil {
			return nil, err
		}
		if violation != "" {
			violations = append(violations, violation)
		}
	}
	return append(violations, g.Publishers.Crashes()...), nil
}

// publisherViolation waits until publisher i has the latest version and returns what is wrong with its status, or "".
func (g *Group) publisherViolation(ctx context.Context, i int) (violation string, err error) {
	var status publisher.Status
	err = fleet.WaitUntil(ctx, fmt.Sprintf("version %d at publisher %d", g.latest.Version, i), func() bool {
		status, err = g.Publishers.Status(ctx, i)
		return err == nil && status.Version >= g.latest.Version
	})
	if err != nil {
		return "", err
	}
	if status.Digest != g.latest.Digest || status.Log != g.latest.Log || status.Counters.MalformedMessages > 0 {
		violation = fmt.Sprintf("publisher %d: digest %s of log %s, %d malformed messages", i, status.Digest, status.Log,
			status.Counters.MalformedMessages)
	}
	return violation, nil
}

// waitUntil waits until a point in time or until ctx ends.
func waitUntil(ctx context.Context, at time.Time) error {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
