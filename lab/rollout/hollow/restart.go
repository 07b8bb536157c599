package hollow

import (
	"context"

	"ravensill/configsync"
)

// RestartResult holds what was measured while many followers restarted at once, until the latest version was in force
// at all of them.
type RestartResult struct {
	Description    string            `json:"what"`
	Followers      int               `json:"followers"`
	Configuration  ConfigurationSize `json:"content"`
	MissedVersions int               `json:"missed"` // versions published while they were stopped
	// Seconds counts from the followers' start, or from the change published after it if no publisher ran.
	Seconds             float64  `json:"seconds"`
	FromDisk            int      `json:"from_disk"`  // followers that started with a stored version
	Snapshots           int      `json:"snapshots"`  // that came in force
	Deltas              int      `json:"deltas"`     // that came in force
	OlderVersions       int      `json:"old"`        // came in force though older than the latest at the restart
	DeferredSnapshots   int      `json:"deferred"`   // by the publishers
	PublisherBytesOut   float64  `json:"bytes_out"`  // sent to followers, all publishers
	CPUSeconds          float64  `json:"processor"`  // all followers
	PublisherCPUSeconds float64  `json:"publishers"` // all publishers
	Violations          []string `json:"faults"`
}

// restartOptions describes a restart of many followers at once.
type restartOptions struct {
	Description       string
	Followers         int
	EmptyDisks        bool // remove the stored versions before the start
	MissedVersions    int  // versions published while the followers are stopped
	WithoutPublishers bool // kill all publishers before the followers' start and restart them after it
}

// restartFollowers stops the first followers, publishes the changes that they miss, starts them again and returns the
// result.
func (g *Group) restartFollowers(ctx context.Context, options restartOptions) (*RestartResult, error) {
	members := indexes(0, options.Followers)
	g.Fleet.Stop(members)
	if options.EmptyDisks {
		err := g.Fleet.ClearDisks(members)
		if err != nil {
			return nil, err
		}
	}
	err := g.publishBurst(ctx, options.MissedVersions)
	if err != nil {
		return nil, err
	}
	g.Fleet.TakeApplied()
	result := &RestartResult{
		Description:    options.Description,
		Followers:      options.Followers,
		Configuration:  g.configuration,
		MissedVersions: options.MissedVersions,
	}
	latestBefore := g.latest.Version
	start := g.startFollowers
	if options.WithoutPublishers {
		start = g.startWithoutPublishers
	}
	measured, err := start(ctx, members)
	if err != nil {
		return nil, err
	}
	result.addMeasurement(g, measured, latestBefore)
	result.Violations, err = g.Violations(ctx)
	return result, err
}

// startFollowers starts followers while the publishers are running.
func (g *Group) startFollowers(ctx context.Context, members []int) (window, error) {
	return g.measure(ctx, func() error {
		err := g.Fleet.Start(members)
		if err != nil {
			return err
		}
		return g.waitEverywhere(ctx)
	})
}

// startWithoutPublishers kills all publishers, starts the followers, restarts the publishers and publishes a change.
// The returned window begins after the publishers serve followers again.
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

// addMeasurement adds what happened since the restart. latestBefore is the version that was the latest before it.
func (r *RestartResult) addMeasurement(g *Group, measured window, latestBefore configsync.Version) {
	for _, history := range g.Fleet.TakeApplied() {
		for _, applied := range history {
			if applied.To < latestBefore {
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
	r.DeferredSnapshots = int(measured.DeferredSnapshots)
	r.PublisherBytesOut = measured.PublisherBytesOut
	r.CPUSeconds = measured.CPUSeconds
	r.PublisherCPUSeconds = measured.PublisherCPUSeconds
}
