package subscriber

import (
	"cmp"
	"context"
	"log/slog"
	"time"

	"ravensill/configsync"
)

// Status is the status of a subscriber as of its latest event.
type Status struct {
	Version         configsync.Version // version in force; 0: that of the gateway's own configuration file
	Digest          configsync.Digest  // digest of the content of Version
	LatestVersion   configsync.Version // latest version that a publisher has announced; 0: none is known
	RefusedVersion  configsync.Version // a later version that the gateway could not apply; 0: none
	Publisher       string             // the address of the publisher connected to; empty: none
	BytesIn         int64              // bytes received from publishers since the start
	BytesOut        int64              // bytes sent to publishers since the start
	UnsavedVersions int                // number of versions that were put in force but not saved to disk
	Counters        configsync.FollowerCounters
}

// Status returns the status after the latest event. It may be called from any goroutine, also after Close.
func (s *Subscriber) Status() Status { return *s.status.Load() }

// updateStatus makes the present state visible to Status. It is called after each event.
func (s *Subscriber) updateStatus() {
	document := s.follower.Document()
	status := &Status{
		Version:         document.Version(),
		Digest:          document.Digest(),
		LatestVersion:   s.latestVersion,
		Publisher:       s.publisher,
		BytesIn:         s.bytesIn.Load(),
		BytesOut:        s.bytesOut.Load(),
		UnsavedVersions: s.store.unsavedVersions,
		Counters:        s.follower.Counters(),
	}
	if refused := s.follower.Refused(); refused != nil {
		status.RefusedVersion = refused.Version
	}
	s.status.Store(status)
}

// logStatus logs the status if the latest status line is at least statusLogInterval old. It is called after each event.
// Heartbeats, timeouts and connection attempts make an event every few seconds, so no timer is needed.
func (s *Subscriber) logStatus() {
	now := time.Now()
	if now.Sub(s.statusLoggedAt) < statusLogInterval {
		return
	}
	s.statusLoggedAt = now
	slog.LogAttrs(context.Background(), slog.LevelInfo, "configuration_status", s.Status().LogAttrs()...)
}

// LogAttrs returns the status as the fields of a log line.
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
