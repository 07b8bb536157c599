package publisher

import (
	"log/slog"
	"time"

	"ravensill/configsync"
)

const loggedDigestDigits = 16 // of the digest, in a log line

// Status is the status of a replica, and of the gateways that are or were connected to it.
type Status struct {
	Replica       int                `json:"replica"`
	Leader        int                `json:"leader"` // -1: not known
	IsLeader      bool               `json:"leads"`
	UpToDate      bool               `json:"current"` // in contact with a quorum, and all that is committed is applied
	Log           configsync.LogID   `json:"log"`
	Version       configsync.Version `json:"version"`
	Digest        string             `json:"digest"`
	OldestVersion configsync.Version `json:"oldest"` // the earliest version of the history, for deltas and rollbacks
	Connected     int                `json:"connected"`
	Counters      Counters           `json:"counters"`
	Followers     []Follower         `json:"followers,omitempty"`
}

// Counters count since the start of the replica.
type Counters struct {
	Connections         int64 `json:"connections"`
	RejectedConnections int64 `json:"turned_off"` // connections beyond max_followers
	MalformedMessages   int64 `json:"malformed"`  // messages that broke the protocol; each ended its connection
	BytesIn             int64 `json:"bytes_in"`   // from followers
	BytesOut            int64 `json:"bytes_out"`  // to followers
	PublishedVersions   int64 `json:"published"`
	RejectedRequests    int64 `json:"rejected"` // requests answered by an error
}

// Follower is the status of one gateway at a replica.
type Follower struct {
	Member             int                 `json:"member"`
	Name               string              `json:"name"`
	Connected          bool                `json:"connected"`
	InForce            configsync.Version  `json:"in_force"`
	RefusedVersion     configsync.Version  `json:"refused,omitempty"` // a later version that it could not apply
	RefusedResource    configsync.Resource `json:"resource,omitempty"`
	RefusalReason      string              `json:"reason,omitempty"`
	SinceLastMessageMS int64               `json:"heard_ms"` // milliseconds since its latest message
}

// Status returns the status of this replica. Each gateway is connected to one replica at a time.
func (p *Publisher) Status() *Status {
	status := &Status{
		Replica:   p.cfg.Index,
		Leader:    p.replica.LeaderIndex(),
		IsLeader:  p.replica.IsLeader(),
		UpToDate:  p.replica.IsUpToDate(),
		Followers: []Follower{},
		Counters: Counters{
			Connections:         p.counters.connected.Load(),
			RejectedConnections: p.counters.rejectedConnections.Load(),
			MalformedMessages:   p.counters.malformed.Load(),
			BytesIn:             p.counters.bytesIn.Load(),
			BytesOut:            p.counters.bytesOut.Load(),
			PublishedVersions:   p.counters.published.Load(),
			RejectedRequests:    p.counters.rejected.Load(),
		},
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	document := p.state.Document()
	digest := document.Digest()
	status.Log = document.Log()
	status.Version = document.Version()
	status.Digest = digest.Hex()
	status.OldestVersion = p.state.History().Oldest()
	status.Connected = p.sender.Len()
	now := time.Now()
	for _, member := range p.sender.Status() {
		status.Followers = append(status.Followers, newFollower(now, &member))
	}
	return status
}

func newFollower(now time.Time, member *configsync.MemberStatus) Follower {
	return Follower{
		Member:             member.Member,
		Name:               member.Name,
		Connected:          member.Connected,
		InForce:            member.InForce,
		RefusedVersion:     member.Refused,
		RefusedResource:    member.RefusedResource,
		RefusalReason:      member.RefusalReason,
		SinceLastMessageMS: now.Sub(member.LastMessage).Milliseconds(),
	}
}

// LogAttrs returns the status as the fields of a log line, the followers only as counts.
func (s *Status) LogAttrs() []slog.Attr {
	inForce := 0
	refused := 0
	for i := range s.Followers {
		follower := &s.Followers[i]
		if follower.Connected && follower.InForce == s.Version {
			inForce++
		}
		if follower.Connected && follower.RefusedVersion > 0 {
			refused++
		}
	}
	c := &s.Counters
	return []slog.Attr{
		slog.Bool("leading", s.IsLeader),
		slog.Int("leader", s.Leader),
		slog.Bool("current", s.UpToDate),
		slog.Uint64("version", uint64(s.Version)),
		slog.String("digest", s.Digest[:loggedDigestDigits]),
		slog.Int("followers", s.Connected),
		slog.Int("followers_current", inForce),
		slog.Int("followers_refusing", refused),
		slog.Int64("connections", c.Connections),
		slog.Int64("connections_rejected", c.RejectedConnections),
		slog.Int64("malformed", c.MalformedMessages),
		slog.Int64("bytes_in", c.BytesIn),
		slog.Int64("bytes_out", c.BytesOut),
		slog.Int64("published", c.PublishedVersions),
		slog.Int64("requests_rejected", c.RejectedRequests),
	}
}
