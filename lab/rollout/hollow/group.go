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
	electionMS     = 1000 // the publishers' default
)

// Options describe publishers and their followers.
type Options struct {
	Followers     int
	Configuration ConfigurationSize
	Settings      rollout.PublisherSettings
}

// Group is publishers with their followers.
type Group struct {
	Publishers *rollout.PublisherGroup
	Fleet      *Fleet

	content   ConfigurationSize
	dir       string
	latest    publisher.Publication
	published []rollout.PublishedChange // since the last call of take
	changes   int                       // made so far
}

// NewGroup starts publishers and publishes all content as their first version. No follower runs yet.
func NewGroup(ctx context.Context, options Options) (g *Group, err error) {
	g = &Group{content: options.Configuration}
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
	request, err := g.content.request()
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

// Close ends followers and publishers and removes their folders.
func (g *Group) Close() {
	if g.Fleet != nil {
		g.Fleet.Close()
	}
	if g.Publishers != nil {
		g.Publishers.Close()
	}
	os.RemoveAll(g.dir)
}

// publish publishes a change.
func (g *Group) publish(ctx context.Context, request rollout.Request) (err error) {
	sent := time.Now()
	g.latest, err = g.Publishers.Publish(ctx, g.changes, request)
	if err != nil {
		return err
	}
	if g.latest.Changes == 0 {
		return errors.New("a change changed nothing")
	}
	g.published = append(g.published, rollout.PublishedChange{Version: g.latest.Version, SentAt: sent})
	return nil
}

// publishChange publishes the next change.
func (g *Group) publishChange(ctx context.Context) error {
	request, err := g.content.changeRequest(g.changes)
	if err != nil {
		return err
	}
	g.changes++
	return g.publish(ctx, request)
}

// publishBurst publishes changes without a pause.
func (g *Group) publishBurst(ctx context.Context, changes int) error {
	for range changes {
		err := g.publishChange(ctx)
		if err != nil {
			return err
		}
	}
	return nil
}

// publishSpaced publishes a change each interval and waits with a function until the last one is in force. With an
// interval of 0, a change follows as soon as the one before is in force.
func (g *Group) publishSpaced(ctx context.Context, changes int, pace time.Duration,
	inForce func(context.Context) error) error {
	begin := time.Now()
	for i := range changes {
		err := waitUntil(ctx, begin.Add(time.Duration(i)*pace))
		if err != nil {
			return err
		}
		err = g.publishChange(ctx)
		if err != nil {
			return err
		}
		if pace > 0 {
			continue
		}
		err = inForce(ctx)
		if err != nil {
			return err
		}
	}
	err := waitUntil(ctx, begin.Add(time.Duration(changes)*pace))
	if err != nil {
		return err
	}
	return inForce(ctx)
}

// waitEverywhere waits until the latest version is in force at all followers and shown in their status.
func (g *Group) waitEverywhere(ctx context.Context) error {
	err := g.Fleet.WaitInForce(ctx, g.latest.Version, g.Fleet.members())
	if err != nil {
		return err
	}
	return g.Fleet.WaitStatus(ctx, g.latest.Version)
}

// takePublished returns what was published since the call before.
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

// restartPublishers starts all publishers with their disks and waits until they serve followers.
func (g *Group) restartPublishers(ctx context.Context) error {
	var starts errgroup.Group
	for i := range g.Publishers.Count() {
		process := g.Publishers.Process(i)
		starts.Go(func() error { return errors.Join(process.Launch(), process.WaitServing(ctx)) })
	}
	return starts.Wait()
}

// Violations returns what does not hold once the latest version is in force everywhere: versions twice or backwards,
// digests that differ, publishers with other content, and what followers refused, could not store or found malformed.
func (g *Group) Violations(ctx context.Context) ([]string, error) {
	violations := g.Fleet.Violations(g.latest.Version, g.latest.Digest)
	totals := g.Fleet.Totals()
	if totals.RefusedVersions+totals.InvalidMessages > 0 || totals.UnsavedVersions > 0 {
		violations = append(violations, fmt.Sprintf("%d versions refused, %d messages broken, %d versions not kept on disk",
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

// publisherViolation waits until a publisher has the latest version, and returns what is wrong with it.
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

// waitUntil waits until a time.
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
