package publisher

import (
	"log/slog"
	"time"

	"ravensill/configsync"
)

const loggedDigestDigits = 16 // hexadecimal digits of a digest that a log line has

// Status is the status of a replica, and of the gateways that are or were connected to it since its start. Operators
// get it as JSON.
type Status struct {
	Replica       int                `json:"replica"`   // index of this replica
	Leader        int                `json:"leader"`    // index of the leader; -1: not known
	IsLeader      bool               `json:"leads"`     // this replica is the leader, as far as it knows
	UpToDate      bool               `json:"current"`   // in contact with a quorum, all entries applied, serving followers
	Log           configsync.LogID   `json:"log"`       // id of the log of versions; empty: the log is not created yet
	Version       configsync.Version `json:"version"`   // the latest version applied at this replica
	Digest        string             `json:"digest"`    // digest of the content of Version, in hexadecimal
	OldestVersion configsync.Version `json:"oldest"`    // oldest in the history, which limits deltas and rollbacks
	Connected     int                `json:"connected"` // number of gateways connected now
	Counters      Counters           `json:"counters"`
	Followers     []Follower         `json:"followers,omitempty"`
}

// Counters counts events since the start of the replica.
type Counters struct {
	Connections         int64 `json:"connections"` // connections accepted from followers
	RejectedConnections int64 `json:"turned_off"`  // connections beyond max_followers
	MalformedMessages   int64 `json:"malformed"`   // messages that violated the protocol; each ended its connection
	BytesIn             int64 `json:"bytes_in"`    // bytes received from followers
	BytesOut            int64 `json:"bytes_out"`   // bytes sent to followers
	PublishedVersions   int64 `json:"published"`   // versions published by this replica as the leader
	RejectedRequests    int64 `json:"rejected"`    // requests for a change that this replica answered with an error
}

// Follower is the status of one gateway that is or was connected to a replica.
type Follower struct {
	Member             int                 `json:"member"` // member index
	Name               string              `json:"name"`
	Connected          bool                `json:"connected"`
	InForce            configsync.Version  `json:"in_force"`           // the latest that it reported; 0: none
	RefusedVersion     configsync.Version  `json:"refused,omitempty"`  // a later version that it could not apply; 0: none
	RefusedResource    configsync.Resource `json:"resource,omitempty"` // the resource at fault; empty: none was named
	RefusalReason      string              `json:"reason,omitempty"`
	SinceLastMessageMS int64               `json:"heard_ms"` // time since its latest message
}

// Status returns the status of this replica. Followers has only the gateways that are or were connected to this
// replica, since each gateway connects to one replica at a time; FleetStatus has all.
func (p *Publisher) Status() *Status {
	status := &Status{
		Replica:   p.cfg.Index,
		Leader:    p.replica.LeaderIndex(),
		IsLeader:  p.replica.IsLeader(),
		UpToDate:  p.replica.IsUpToDate(),
		Followers: []Follower{},
		Counters: Counters{
			Connections:         p.counters.acceptedConnections.Load(),
			RejectedConnections: p.counters.rejectedConnections.Load(),
			MalformedMessages:   p.counters.malformedMessages.Load(),
			BytesIn:             p.counters.bytesIn.Load(),
			BytesOut:            p.counters.bytesOut.Load(),
			PublishedVersions:   p.counters.publishedVersions.Load(),
			RejectedRequests:    p.counters.rejectedRequests.Load(),
		},
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	status.UpToDate = status.UpToDate && !p.replaying // no follower is served before
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

// newFollower converts the sender's status of a gateway. now is the time from which SinceLastMessageMS counts.
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

// LogAttrs returns the status as the fields of a log line. Of the followers it has only counts: those connected, those
// with the latest version in force, and those that refused a version.
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
