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

// Setup describes publishers and their followers.
type Setup struct {
	Followers int
	Content   Content
	Settings  rollout.PublisherSettings
}

// Group is publishers with their followers.
type Group struct {
	Publishers *rollout.Publishers
	Fleet      *Fleet

	content   Content
	dir       string
	last      publisher.Publication
	published []rollout.Published // since the last call of take
	changes   int                 // made so far
}

// NewGroup starts publishers with the whole content as their first version. No follower runs yet.
func NewGroup(ctx context.Context, setup Setup) (g *Group, err error) {
	g = &Group{content: setup.Content}
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
	g.Publishers, err = rollout.NewPublishers(ctx, rollout.GroupPlan{
		Count:      publisherCount,
		Dir:        filepath.Join(g.dir, "publishers"),
		ElectionMS: electionMS,
		Settings:   setup.Settings,
	})
	if err != nil {
		return g, err
	}
	g.Fleet, err = NewFleet(Plan{Followers: setup.Followers, Dir: g.dir, Publishers: g.addresses()})
	if err != nil {
		return g, err
	}
	request, err := g.content.whole()
	if err != nil {
		return g, err
	}
	return g, g.publish(ctx, request)
}

// addresses are where the publishers serve followers.
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

func (g *Group) publish(ctx context.Context, request rollout.Request) (err error) {
	sent := time.Now()
	g.last, err = g.Publishers.Change(ctx, g.changes, request)
	if err != nil {
		return err
	}
	if g.last.Changes == 0 {
		return errors.New("a change changed nothing")
	}
	g.published = append(g.published, rollout.Published{Version: g.last.Version, Sent: sent})
	return nil
}

// change publishes the next change.
func (g *Group) change(ctx context.Context) error {
	request, err := g.content.change(g.changes)
	if err != nil {
		return err
	}
	g.changes++
	return g.publish(ctx, request)
}

// burst publishes changes one right after the other.
func (g *Group) burst(ctx context.Context, changes int) error {
	for range changes {
		err := g.change(ctx)
		if err != nil {
			return err
		}
	}
	return nil
}

// spaced publishes a change each pace and waits until the last one is in force by a function. Where the pace is 0, a change
// follows as soon as the one before is in force.
func (g *Group) spaced(ctx context.Context, changes int, pace time.Duration, inForce func(context.Context) error) error {
	begin := time.Now()
	for i := range changes {
		err := waitUntil(ctx, begin.Add(time.Duration(i)*pace))
		if err != nil {
			return err
		}
		err = g.change(ctx)
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

// everywhere waits until the last version is in force at all followers, and their counters tell so.
func (g *Group) everywhere(ctx context.Context) error {
	err := g.Fleet.Wait(ctx, g.last.Version, g.Fleet.members())
	if err != nil {
		return err
	}
	return g.Fleet.Settled(ctx, g.last.Version)
}

// take gives what was published since the last call.
func (g *Group) take() []rollout.Published {
	published := g.published
	g.published = nil
	return published
}

// killPublishers ends all publishers abruptly.
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

// Faults lists what does not hold, once the last version is in force everywhere: versions twice or backwards, digests that
// differ, publishers with other content, and what followers refused, could not keep or found broken.
func (g *Group) Faults(ctx context.Context) ([]string, error) {
	faults := g.Fleet.Faults(g.last.Version, g.last.Digest)
	totals := g.Fleet.Totals()
	if totals.Refused+totals.Broken > 0 || totals.Unsaved > 0 {
		faults = append(faults, fmt.Sprintf("%d versions refused, %d messages broken, %d versions not kept on disk",
			totals.Refused, totals.Broken, totals.Unsaved))
	}
	for i := range g.Publishers.Count() {
		fault, err := g.publisherFault(ctx, i)
		if err != nil {
			return nil, err
		}
		if fault != "" {
			faults = append(faults, fault)
		}
	}
	return append(faults, g.Publishers.Unhealthy()...), nil
}

// publisherFault waits until a publisher has the last version, and tells what is wrong with it.
func (g *Group) publisherFault(ctx context.Context, i int) (fault string, err error) {
	var status publisher.Status
	err = fleet.WaitUntil(ctx, fmt.Sprintf("version %d at publisher %d", g.last.Version, i), func() bool {
		status, err = g.Publishers.Status(ctx, i)
		return err == nil && status.Version >= g.last.Version
	})
	if err != nil {
		return "", err
	}
	if status.Digest != g.last.Digest || status.Log != g.last.Log || status.Counters.Malformed > 0 {
		fault = fmt.Sprintf("publisher %d: digest %s of log %s, %d malformed messages", i, status.Digest, status.Log,
			status.Counters.Malformed)
	}
	return fault, nil
}

// waitUntil waits for a time.
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
