package hollow

import (
	"context"

	"ravensill/configsync"
)

// Storm is many followers restarted at once, and what it took until the latest version was in force at all of them.
type Storm struct {
	What       string   `json:"what"`
	Followers  int      `json:"followers"`
	Content    Content  `json:"content"`
	Missed     int      `json:"missed"`     // versions published while they were down
	Seconds    float64  `json:"seconds"`    // from the start of the first follower, or of the publishers where these were down
	FromDisk   int      `json:"from_disk"`  // followers that began with the version of their disk
	Snapshots  int      `json:"snapshots"`  // documents that came as a whole
	Deltas     int      `json:"deltas"`     // put in force
	Old        int      `json:"old"`        // versions put in force that were older than the latest at the restart
	Deferred   int      `json:"deferred"`   // snapshots put off
	BytesOut   float64  `json:"bytes_out"`  // of all publishers
	Processor  float64  `json:"processor"`  // seconds, all followers
	Publishers float64  `json:"publishers"` // processor seconds, all publishers
	Faults     []string `json:"faults"`
}

// storm describes a restart.
type storm struct {
	What      string
	Followers int
	Empty     bool // their disks are empty afterwards
	Missed    int  // versions published meanwhile
	Alone     bool // all publishers are killed before the restart and come back after it
}

// restart carries a storm out.
func (g *Group) restart(ctx context.Context, s storm) (*Storm, error) {
	members := between(0, s.Followers)
	g.Fleet.Stop(members)
	if s.Empty {
		err := g.Fleet.ClearDisks(members)
		if err != nil {
			return nil, err
		}
	}
	err := g.burst(ctx, s.Missed)
	if err != nil {
		return nil, err
	}
	g.Fleet.Take()
	result := &Storm{What: s.What, Followers: s.Followers, Content: g.content, Missed: s.Missed}
	latest := g.last.Version
	begin := g.begin
	if s.Alone {
		begin = g.beginAlone
	}
	w, err := begin(ctx, members)
	if err != nil {
		return nil, err
	}
	result.measure(g, w, latest)
	result.Faults, err = g.Faults(ctx)
	return result, err
}

// begin starts followers while the publishers run.
func (g *Group) begin(ctx context.Context, members []int) (window, error) {
	return g.during(ctx, func() error {
		err := g.Fleet.Start(members)
		if err != nil {
			return err
		}
		return g.everywhere(ctx)
	})
}

// beginAlone starts followers while no publisher runs, then all publishers, and publishes a change.
func (g *Group) beginAlone(ctx context.Context, members []int) (w window, err error) {
	g.killPublishers()
	err = g.Fleet.Start(members)
	if err != nil {
		return w, err
	}
	err = g.restartPublishers(ctx)
	if err != nil {
		return w, err
	}
	return g.during(ctx, func() error {
		err := g.change(ctx)
		if err != nil {
			return err
		}
		return g.everywhere(ctx)
	})
}

// measure takes in what happened since the restart, at which a version was the latest.
func (s *Storm) measure(g *Group, w window, latest configsync.Version) {
	for _, history := range g.Fleet.Take() {
		for _, applied := range history {
			if applied.To < latest {
				s.Old++
			}
			if applied.Snapshot {
				s.Snapshots++
			} else {
				s.Deltas++
			}
		}
	}
	s.FromDisk = g.Fleet.fromDisk(s.Followers)
	s.Seconds = w.Seconds
	s.Deferred = int(w.Deferred)
	s.BytesOut = w.PublisherBytesOut
	s.Processor = w.Processor
	s.Publishers = w.PublisherProcessor
}
