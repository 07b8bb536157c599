package hollow

import (
	"context"

	"ravensill/configsync"
)

// RestartResult is the result of restarting many followers at once, until the latest version was in force at all of
// them.
type RestartResult struct {
	Description         string            `json:"what"`
	Followers           int               `json:"followers"`
	Configuration       ConfigurationSize `json:"content"`
	MissedVersions      int               `json:"missed"`     // versions published while they were stopped
	Seconds             float64           `json:"seconds"`    // from the first start of a follower, or of a publisher if these were down
	FromDisk            int               `json:"from_disk"`  // followers that started with a stored version
	Snapshots           int               `json:"snapshots"`  // put in force
	Deltas              int               `json:"deltas"`     // put in force
	OlderVersions       int               `json:"old"`        // put in force, older than the latest at the restart
	DeferredSnapshots   int               `json:"deferred"`   // snapshots
	PublisherBytesOut   float64           `json:"bytes_out"`  // of all publishers
	CPUSeconds          float64           `json:"processor"`  // seconds, all followers
	PublisherCPUSeconds float64           `json:"publishers"` // processor seconds, all publishers
	Violations          []string          `json:"faults"`
}

// restartOptions describe a restart of many followers at once.
type restartOptions struct {
	Description       string
	Followers         int
	EmptyDisks        bool // their disks are empty afterwards
	Missed            int  // versions published meanwhile
	WithoutPublishers bool // all publishers are killed before the restart and come back after it
}

// restartFollowers restarts followers and returns the result.
func (g *Group) restartFollowers(ctx context.Context, options restartOptions) (*RestartResult, error) {
	members := indexes(0, options.Followers)
	g.Fleet.Stop(members)
	if options.EmptyDisks {
		err := g.Fleet.ClearDisks(members)
		if err != nil {
			return nil, err
		}
	}
	err := g.publishBurst(ctx, options.Missed)
	if err != nil {
		return nil, err
	}
	g.Fleet.TakeApplied()
	result := &RestartResult{Description: options.Description, Followers: options.Followers, Configuration: g.content,
		MissedVersions: options.Missed}
	latest := g.latest.Version
	begin := g.startFollowers
	if options.WithoutPublishers {
		begin = g.startWithoutPublishers
	}
	measured, err := begin(ctx, members)
	if err != nil {
		return nil, err
	}
	result.measure(g, measured, latest)
	result.Violations, err = g.Violations(ctx)
	return result, err
}

// startFollowers starts followers while the publishers run.
func (g *Group) startFollowers(ctx context.Context, members []int) (window, error) {
	return g.measure(ctx, func() error {
		err := g.Fleet.Start(members)
		if err != nil {
			return err
		}
		return g.waitEverywhere(ctx)
	})
}

// startWithoutPublishers starts followers while no publisher runs, then all publishers, and publishes a change.
func (g *Group) startWithoutPublishers(ctx context.Context, members []int) (w window, err error) {
	g.killPublishers()
	err = g.Fleet.Start(members)
	if err != nil {
		return w, err
	}
	err = g.restartPublishers(ctx)
	if err != nil {
		return w, err
	}
	return g.measure(ctx, func() error {
		err := g.publishChange(ctx)
		if err != nil {
			return err
		}
		return g.waitEverywhere(ctx)
	})
}

// measure records what happened since the restart, before which a version was the latest.
func (r *RestartResult) measure(g *Group, measured window, latest configsync.Version) {
	for _, history := range g.Fleet.TakeApplied() {
		for _, applied := range history {
			if applied.To < latest {
				r.OlderVersions++
			}
			if applied.Snapshot {
				r.Snapshots++
			} else {
				r.Deltas++
			}
		}
	}
	r.FromDisk = g.Fleet.countFromDisk(r.Followers)
	r.Seconds = measured.Seconds
	r.DeferredSnapshots = int(measured.Deferred)
	r.PublisherBytesOut = measured.PublisherBytesOut
	r.CPUSeconds = measured.Processor
	r.PublisherCPUSeconds = measured.PublisherProcessor
}
