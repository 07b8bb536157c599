package configsync

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"golang.org/x/time/rate"
)

// ConnectionID identifies one connection of a follower. The owner of the Sender assigns a new ID, above 0, to each
// connection.
type ConnectionID uint64

// SenderLimits bounds what one publisher sends to its followers.
type SenderLimits struct {
	SnapshotRate  int // bytes per second, over all followers; 0: DefaultSnapshotRate
	SnapshotBurst int // bytes; 0: DefaultSnapshotBurst

	// VersionInterval is the minimum time from a delta to a follower until the next version to it. Versions published
	// in between are merged into that one. 0 means no minimum.
	VersionInterval time.Duration
}

// Sender is the publisher's side of the protocol, for all of its connections. It keeps track of the version in force at
// each follower and decides what to send to it next. There are no queues: at most one version is in flight to a
// follower, and once that is acknowledged the next one leads from there to the latest. A Sender is not safe for
// concurrent use, and must not be used while its State is being changed.
//
// The owner calls Connect for each Hello and Receive for each later message. Whenever no frame is being written to a
// follower, the owner calls Next after a message from it, after a change of the state, and at the Wake time of the
// latest Action.
type Sender struct {
	state           *State
	limiter         *rate.Limiter
	versionInterval time.Duration // SenderLimits.VersionInterval
	hasQuorum       bool          // the publisher has contact with a quorum of publishers
	paused          bool          // only heartbeats are sent
	followers       map[ConnectionID]*followerSession
	members         map[int]*memberRecord // by member index
	deltas          deltaCache
	snapshot        *preparedSnapshot // the last one prepared; nil: none

	latestDeferredUntil time.Time // when the follower deferred last is to reconnect
}

// followerSession is the state of one connection of a follower.
type followerSession struct {
	member        int
	log           LogID
	inForce       Version
	digest        Digest // digest of the content in force
	refused       Version
	wantSnapshot  bool // the follower can't use a delta
	inFlight      *transfer
	nextHeartbeat time.Time // when the next heartbeat is due
	nextVersion   time.Time // earliest time to send the next version
}

// transfer is a version that is being sent to a follower, or that was sent and is not answered yet.
type transfer struct {
	version             Version
	digest              Digest
	remainingFrames     [][]byte  // frames that Next has not returned yet
	acknowledgeDeadline time.Time // latest time for the follower's answer
}

// MemberStatus is the status of a gateway that is or was connected to the publisher.
type MemberStatus struct {
	Member          int
	Name            string
	Incarnation     uint64
	Connected       bool
	InForce         Version   // version in force that the gateway reported last
	Refused         Version   // version later than InForce that the gateway refused; 0: none
	RefusedResource Resource  // resource at fault in the refused version; empty: unknown
	RefusalReason   string    // empty if no version is refused
	LastMessage     time.Time // when the latest message was received
}

// memberRecord is the status of a gateway with the id of its connection.
type memberRecord struct {
	MemberStatus
	id ConnectionID // valid while Connected is true
}

// ProtocolVersionError reports that a follower uses a version of the protocol other than Protocol.
type ProtocolVersionError struct {
	Protocol uint32
}

func (e *ProtocolVersionError) Error() string {
	return fmt.Sprintf("follower uses protocol version %d, want %d", e.Protocol, Protocol)
}

// SupersededError reports that a connection is refused because a later incarnation of the same gateway is connected.
type SupersededError struct {
	Member      int
	Incarnation uint64
	Connected   uint64 // the later incarnation
}

func (e *SupersededError) Error() string {
	return fmt.Sprintf("member %d: connected as incarnation %d after incarnation %d", e.Member, e.Incarnation, e.Connected)
}

// NewSender returns a sender without followers that sends the versions of a state.
func NewSender(state *State, limits SenderLimits) *Sender {
	bytesPerSecond := cmp.Or(limits.SnapshotRate, DefaultSnapshotRate)
	burst := cmp.Or(limits.SnapshotBurst, DefaultSnapshotBurst)
	return &Sender{
		state:           state,
		limiter:         rate.NewLimiter(rate.Limit(bytesPerSecond), burst),
		versionInterval: limits.VersionInterval,
		followers:       map[ConnectionID]*followerSession{},
		members:         map[int]*memberRecord{},
	}
}

// SetHasQuorum sets whether the publisher has contact with a quorum of publishers. Heartbeats report it to followers.
func (s *Sender) SetHasQuorum(hasQuorum bool) { s.hasQuorum = hasQuorum }

// SetPaused sets whether followers get nothing but heartbeats without a version. A publisher pauses its sender while
// its state may be older than what the publishers have committed: versions sent from it would revert gateways, and
// followers with later versions would be disconnected.
func (s *Sender) SetPaused(paused bool) { s.paused = paused }

// Len returns the number of connected followers.
func (s *Sender) Len() int { return len(s.followers) }

// Connect registers a follower's connection. If the same gateway has an older connection, replaced is the ID of that
// one, which the caller has to close; otherwise replaced is 0. If the error is a *ProtocolVersionError or a
// *SupersededError, the caller has to close the new connection.
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

// Disconnect unregisters a connection. Status goes on reporting its gateway, as not connected. Unknown IDs are ignored.
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

// Receive handles a message that a follower sent after its Hello. If it returns an error, the message violates the
// protocol and the caller has to close the connection. Messages of an unknown connection are ignored.
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
	return &MalformedError{Reason: "unexpected message: followers don't send this kind after their hello"}
}

func (s *Sender) receiveAcknowledge(follower *followerSession, record *memberRecord, message *Acknowledge) error {
	if message.Version < follower.inForce {
		return nil // late: the follower has reported a later version since
	}
	want, known := s.digestOf(follower, message.Version)
	if !known {
		return &MalformedError{Reason: "acknowledgement of a version that was not sent"}
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

// digestOf returns the expected digest of a version that a follower may have in force. known is false if the version is
// not in flight, in force or in the history.
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
		return &MalformedError{Reason: "refusal of a version that was not sent"}
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

// Status returns the status of each gateway that is or was connected, sorted by member index.
func (s *Sender) Status() []MemberStatus {
	status := make([]MemberStatus, 0, len(s.members))
	for _, record := range s.members {
		status = append(status, record.MemberStatus)
	}
	slices.SortFunc(status, func(a, b MemberStatus) int { return cmp.Compare(a.Member, b.Member) })
	return status
}
