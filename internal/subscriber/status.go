package subscriber

import (
	"cmp"
	"context"
	"log/slog"
	"time"

	"ravensill/configsync"
)

// Status is the status of a subscriber.
type Status struct {
	Version         configsync.Version // in force
	Digest          configsync.Digest  // of its content
	LatestVersion   configsync.Version // as the publisher followed last announced it
	RefusedVersion  configsync.Version // a later version that the gateway could not apply; 0: none
	Publisher       string             // the address connected to; empty: none
	BytesIn         int64              // since the start
	BytesOut        int64              // since the start
	UnsavedVersions int                // versions in force that could not be saved to disk
	Counters        configsync.FollowerCounters
}

// Status returns the status after the latest event.
func (s *Subscriber) Status() Status { return *s.status.Load() }

func (s *Subscriber) updateStatus() {
	document := s.follower.Document()
	status := &Status{
		Version:         document.Version(),
		Digest:          document.Digest(),
		LatestVersion:   s.latest,
		Publisher:       s.publisher,
		BytesIn:         s.in.Load(),
		BytesOut:        s.out.Load(),
		UnsavedVersions: s.store.unsaved,
		Counters:        s.follower.Counters(),
	}
	if refused := s.follower.Refused(); refused != nil {
		status.RefusedVersion = refused.Version
	}
	s.status.Store(status)
}

// logStatus logs the status if the latest line is older than lineInterval. It is called after each event, and there
// is one every few seconds, connected or not.
func (s *Subscriber) logStatus() {
	now := time.Now()
	if now.Sub(s.lineAt) < lineInterval {
		return
	}
	s.lineAt = now
	slog.LogAttrs(context.Background(), slog.LevelInfo, "configuration_status", s.Status().LogAttrs()...)
}

// LogAttrs returns the state as the fields of a log line.
func (s Status) LogAttrs() []slog.Attr {
	c := &s.Counters
	return []slog.Attr{
		slog.Uint64("version", uint64(s.Version)),
		slog.String("digest", s.Digest.Short()),
		slog.Uint64("latest_version", uint64(s.LatestVersion)),
		slog.Uint64("refused_version", uint64(s.RefusedVersion)),
		slog.String("publisher", cmp.Or(s.Publisher, "none")),
		slog.Int64("bytes_in", s.BytesIn),
		slog.Int64("bytes_out", s.BytesOut),
		slog.Uint64("versions_accepted", c.Accepted),
		slog.Uint64("versions_refused", c.Refused),
		slog.Uint64("connections_lost", c.ConnectionsLost),
		slog.Uint64("malformed", c.MalformedMessages),
		slog.Uint64("snapshots_deferred", c.SnapshotsDeferred),
		slog.Int("versions_unsaved", s.UnsavedVersions),
	}
}
