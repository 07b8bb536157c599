package configsync

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"golang.org/x/time/rate"
)

// ConnectionID identifies a connection of a follower. The owner of the Sender assigns a new one to each connection.
type ConnectionID uint64

// SenderLimits bounds what one publisher sends to all of its followers. Zero values mean the defaults.
type SenderLimits struct {
	SnapshotRate  int // bytes a second
	SnapshotBurst int // bytes

	// VersionInterval is the least time between two versions to one follower. Versions published in between are
	// merged into the next one. 0: none.
	VersionInterval time.Duration
}

// Sender is the publisher's side of all connections: the version in force at each follower, and what is sent to it
// next. There is no queue: at most one version is in flight to a follower, and the next one leads from there to the
// latest. It is not safe for concurrent use, nor for use during a change of its State.
//
// The owner calls Connect for each Hello and Receive for each later message. While nothing is being written to a
// follower, it calls Next when a message was received from it, when the state changed, and at the Wake time of the
// latest Action.
type Sender struct {
	state     *State
	limiter   *rate.Limiter
	interval  time.Duration // the least between two versions to a follower
	current   bool          // in contact with a quorum of publishers
	paused    bool          // no version is sent
	followers map[ConnectionID]*followerSession
	members   map[int]*memberRecord
	deltas    deltaCache
	snapshot  *preparedSnapshot // the latest one prepared; nil: none

	nextReturn time.Time // when the follower deferred last is expected to reconnect
}

// followerSession is the state of one connection.
type followerSession struct {
	member        int
	log           LogID
	inForce       Version
	digest        Digest // of the version in force
	refused       Version
	wantSnapshot  bool // no delta is sent
	inFlight      *transfer
	nextHeartbeat time.Time // when the next heartbeat is due
	nextVersion   time.Time // the earliest time for the next version
}

// transfer is a version in flight to a follower.
type transfer struct {
	version  Version
	digest   Digest
	parts    [][]byte  // frames not returned by Next yet
	deadline time.Time // for the answer
}

// MemberStatus is the status of a gateway that is or was connected to the publisher.
type MemberStatus struct {
	Member          int
	Name            string
	Incarnation     uint64
	Connected       bool
	InForce         Version // the latest version in force that the gateway reported
	Refused         Version // a later version that it couldn't apply; 0: none
	RefusedResource Resource
	RefusalReason   string
	LastMessage     time.Time
}

type memberRecord struct {
	MemberStatus
	id ConnectionID // of its connection, if Connected
}

// ProtocolVersionError reports that a follower uses another version of the protocol.
type ProtocolVersionError struct {
	Protocol uint32
}

func (e *ProtocolVersionError) Error() string {
	return fmt.Sprintf("protocol %d, not %d", e.Protocol, Protocol)
}

// SupersededError reports that a later incarnation of the same gateway is connected.
type SupersededError struct {
	Member      int
	Incarnation uint64
	Connected   uint64 // the later incarnation
}

func (e *SupersededError) Error() string {
	return fmt.Sprintf("member %d: incarnation %d after %d", e.Member, e.Incarnation, e.Connected)
}

// NewSender returns the sender of a publisher without followers.
func NewSender(state *State, limits SenderLimits) *Sender {
	bytesPerSecond := cmp.Or(limits.SnapshotRate, DefaultSnapshotRate)
	burst := cmp.Or(limits.SnapshotBurst, DefaultSnapshotBurst)
	return &Sender{
		state:     state,
		limiter:   rate.NewLimiter(rate.Limit(bytesPerSecond), burst),
		interval:  limits.VersionInterval,
		followers: map[ConnectionID]*followerSession{},
		members:   map[int]*memberRecord{},
	}
}

// SetHasQuorum sets whether the publisher is in contact with a quorum of publishers, which heartbeats report.
func (s *Sender) SetHasQuorum(current bool) { s.current = current }

// SetPaused sets whether followers get only heartbeats. A publisher pauses its sender while its state may be older
// than what the group has committed: a version of it would revert gateways, and followers with a later one would be
// disconnected.
func (s *Sender) SetPaused(paused bool) { s.paused = paused }

// Len returns the number of connected followers.
func (s *Sender) Len() int { return len(s.followers) }

// Connect adds a follower. If the same gateway has another connection, replaced is the id of that one, which has to
// be closed; otherwise it is 0. The error is a *ProtocolError or a *SupersededError; the new connection has to be
// closed then.
func (s *Sender) Connect(now time.Time, id ConnectionID, hello *Hello) (replaced ConnectionID, err error) {
	if hello.Protocol != Protocol {
		return 0, &ProtocolVersionError{hello.Protocol}
	}
	record := s.members[hello.Member]
	if record != nil && record.Connected {
		if hello.Incarnation < record.Incarnation {
			return 0, &SupersededError{hello.Member, hello.Incarnation, record.Incarnation}
		}
		replaced = record.id
		delete(s.followers, replaced)
	}
	s.members[hello.Member] = newMemberRecord(now, id, hello)
	s.followers[id] = &followerSession{
		member:        hello.Member,
		log:           hello.Log,
		inForce:       hello.InForce,
		digest:        hello.Digest,
		refused:       hello.Refused,
		wantSnapshot:  hello.WantSnapshot,
		nextHeartbeat: now,
	}
	return replaced, nil
}

func newMemberRecord(now time.Time, id ConnectionID, hello *Hello) *memberRecord {
	return &memberRecord{
		id: id,
		MemberStatus: MemberStatus{
			Member:      hello.Member,
			Name:        hello.Name,
			Incarnation: hello.Incarnation,
			Connected:   true,
			InForce:     hello.InForce,
			Refused:     hello.Refused,
			LastMessage: now,
		},
	}
}

// Disconnect removes a connection. The status of its gateway stays.
func (s *Sender) Disconnect(id ConnectionID) {
	follower := s.followers[id]
	if follower == nil {
		return
	}
	delete(s.followers, id)
	record := s.members[follower.member]
	if record.id == id {
		record.Connected = false
	}
}

// Receive handles a message of a follower after its Hello. An error reports that the message breaks the protocol; the
// connection has to be closed then.
func (s *Sender) Receive(now time.Time, id ConnectionID, message Message) error {
	follower := s.followers[id]
	if follower == nil {
		return nil
	}
	record := s.members[follower.member]
	record.LastMessage = now
	switch message := message.(type) {
	case *Acknowledge:
		return s.receiveAcknowledge(follower, record, message)
	case *Refusal:
		return s.receiveRefusal(follower, record, message)
	}
	return &MalformedError{Reason: "a message that no follower sends"}
}

func (s *Sender) receiveAcknowledge(follower *followerSession, record *memberRecord, message *Acknowledge) error {
	if message.Version < follower.inForce {
		return nil // sent before the follower reconnected
	}
	want, known := s.digestOf(follower, message.Version)
	if !known {
		return &MalformedError{Reason: "acknowledges a version that wasn't sent"}
	}
	if want != message.Digest {
		return &DigestMismatchError{Version: message.Version, Want: want, Got: message.Digest}
	}
	follower.inForce = message.Version
	follower.digest = message.Digest
	record.InForce = message.Version
	if record.Refused <= message.Version {
		record.clearRefusal()
	}
	if follower.inFlight != nil && follower.inFlight.version <= message.Version {
		follower.inFlight = nil
		follower.wantSnapshot = false
	}
	return nil
}

// digestOf returns the digest of a version that may be in force at a follower. known is false where it isn't known.
func (s *Sender) digestOf(follower *followerSession, version Version) (digest Digest, known bool) {
	if follower.inFlight != nil && follower.inFlight.version == version {
		return follower.inFlight.digest, true
	}
	if follower.inForce == version {
		return follower.digest, true
	}
	return s.state.history.DigestAt(version)
}

func (s *Sender) receiveRefusal(follower *followerSession, record *memberRecord, message *Refusal) error {
	inFlight := follower.inFlight
	sent := inFlight != nil && inFlight.version == message.Version
	if !sent && message.Version != follower.refused {
		return &MalformedError{Reason: "refuses a version that wasn't sent"}
	}
	follower.refused = message.Version
	record.Refused = message.Version
	record.RefusedResource = message.Resource
	record.RefusalReason = message.Reason
	if sent {
		follower.inFlight = nil
	}
	return nil
}

func (r *memberRecord) clearRefusal() {
	r.Refused = 0
	r.RefusedResource = ""
	r.RefusalReason = ""
}

// Status returns the status of each gateway that has been connected, by member index.
func (s *Sender) Status() []MemberStatus {
	status := make([]MemberStatus, 0, len(s.members))
	for _, record := range s.members {
		status = append(status, record.MemberStatus)
	}
	slices.SortFunc(status, func(a, b MemberStatus) int { return cmp.Compare(a.Member, b.Member) })
	return status
}
