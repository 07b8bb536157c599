// The publisher's side of all connections.

package configsync

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"golang.org/x/time/rate"
)

// FollowerID names a connection of a follower; the publisher's task gives each a number of its own.
type FollowerID uint64

// SenderLimits bounds what one publisher sends as snapshots to all of its followers. Zero values mean the defaults.
type SenderLimits struct {
	SnapshotRate  int // bytes a second
	SnapshotBurst int // bytes

	// VersionInterval is the least time between two versions on their way to one follower; what is published meanwhile
	// comes with the next one. 0: none.
	VersionInterval time.Duration
}

// Sender is a publisher's side: what each follower holds and what it gets next. There is no queue: a follower has one
// version on its way at most, and the next one leads from there to the latest. It is not safe for concurrent use, nor with
// the State that it reads.
//
// The task calls Connect for each Hello, Receive for each later message, and Next whenever nothing is being written to the
// follower and a message came from it, the state changed, or the time of the last Action's Wake has come.
type Sender struct {
	state     *State
	limiter   *rate.Limiter
	interval  time.Duration // the least between two versions for a follower
	current   bool
	paused    bool // no version is sent
	followers map[FollowerID]*followerSession
	members   map[int]*memberRecord
	deltas    deltaCache
	snapshot  *preparedSnapshot // the last one made; nil: none
	comeBack  time.Time         // when the last follower that was put off is expected
}

// followerSession is the state of one connection.
type followerSession struct {
	member    int
	log       LogID
	held      Version
	digest    Digest // of held
	refused   Version
	whole     bool // wants a snapshot whatever it holds
	inFlight  *transfer
	heartbeat time.Time // when the next one is due
	version   time.Time // before which no further one is sent
}

// transfer is a version on its way to a follower.
type transfer struct {
	version  Version
	digest   Digest
	parts    [][]byte  // frames that haven't been handed out yet
	deadline time.Time // for the answer
}

// preparedSnapshot holds the frames of a document, shared by all followers that get it.
type preparedSnapshot struct {
	version Version
	digest  Digest
	frames  [][]byte
	size    int // bytes of all frames
}

// deltaCache holds the deltas to the latest version, shared by all followers that hold the same version.
type deltaCache struct {
	version Version // the latest
	byHeld  map[Version]preparedDelta
	size    int // bytes of all frames
}

// maxCachedBytes bounds the frames of a deltaCache; what goes beyond is encoded for each follower.
const maxCachedBytes = 16 << 20

type preparedDelta struct {
	to     Version
	digest Digest
	frame  []byte // nil: no delta leads on, which takes as long to find out
}

// Action is what a publisher does for a follower.
type Action struct {
	Frame []byte    // to be written; nil: nothing. It is shared and must not be changed
	Close bool      // the connection is to be closed once Frame is written, and Disconnect called
	Wake  time.Time // when Next is to be called again, where no event comes before
}

// MemberStatus is what a publisher knows about a gateway that is or was connected to it.
type MemberStatus struct {
	Member      int
	Name        string
	Incarnation uint64
	Connected   bool
	InForce     Version // the last version that the gateway said to hold
	Refused     Version // a later version that it couldn't take; 0: none
	Resource    Resource
	Reason      string
	LastMessage time.Time // the last message
}

type memberRecord struct {
	MemberStatus
	id FollowerID // of its connection, where Connected
}

// ProtocolError tells that a follower speaks another version of the protocol.
type ProtocolError struct {
	Protocol uint32
}

func (e *ProtocolError) Error() string {
	return fmt.Sprintf("protocol %d, not %d", e.Protocol, Protocol)
}

// SupersededError tells that a later start of the same gateway is connected.
type SupersededError struct {
	Member      int
	Incarnation uint64
	Connected   uint64 // the later incarnation
}

func (e *SupersededError) Error() string {
	return fmt.Sprintf("member %d: incarnation %d after %d", e.Member, e.Incarnation, e.Connected)
}

// NewSender gives the sender of a publisher without followers.
func NewSender(state *State, limits SenderLimits) *Sender {
	bytesPerSecond := cmp.Or(limits.SnapshotRate, DefaultSnapshotRate)
	burst := cmp.Or(limits.SnapshotBurst, DefaultSnapshotBurst)
	return &Sender{
		state:     state,
		limiter:   rate.NewLimiter(rate.Limit(bytesPerSecond), burst),
		interval:  limits.VersionInterval,
		followers: map[FollowerID]*followerSession{},
		members:   map[int]*memberRecord{},
	}
}

// SetCurrent tells whether the publisher is in contact with a quorum of publishers.
func (s *Sender) SetCurrent(current bool) { s.current = current }

// SetPaused has followers get heartbeats alone, as long as the state may be an earlier one than was agreed on: a version of it
// would lead a gateway back to what is no longer in force, and a follower of a later one would be sent away.
func (s *Sender) SetPaused(paused bool) { s.paused = paused }

// Len is the number of connected followers.
func (s *Sender) Len() int { return len(s.followers) }

// Connect takes in a follower. Where the same gateway has another connection, replaced is that one, which has to be closed;
// else it is 0. The error is a *ProtocolError or a *SupersededError; the new connection is to be closed then.
func (s *Sender) Connect(now time.Time, id FollowerID, hello *Hello) (replaced FollowerID, err error) {
	if hello.Protocol != Protocol {
		return 0, &ProtocolError{hello.Protocol}
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
		member:    hello.Member,
		log:       hello.Log,
		held:      hello.InForce,
		digest:    hello.Digest,
		refused:   hello.Refused,
		whole:     hello.WantSnapshot,
		heartbeat: now,
	}
	return replaced, nil
}

func newMemberRecord(now time.Time, id FollowerID, hello *Hello) *memberRecord {
	return &memberRecord{id: id, MemberStatus: MemberStatus{
		Member:      hello.Member,
		Name:        hello.Name,
		Incarnation: hello.Incarnation,
		Connected:   true,
		InForce:     hello.InForce,
		Refused:     hello.Refused,
		LastMessage: now,
	}}
}

// Disconnect forgets a connection. The status of its gateway stays.
func (s *Sender) Disconnect(id FollowerID) {
	follower := s.followers[id]
	if follower == nil {
		return
	}
	delete(s.followers, id)
	if record := s.members[follower.member]; record.id == id {
		record.Connected = false
	}
}

// Receive takes in a message of a follower after its Hello. On an error, which breaks the protocol, the connection is to be
// closed.
func (s *Sender) Receive(now time.Time, id FollowerID, message Message) error {
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
	if message.Version < follower.held {
		return nil // of before the connection
	}
	want, known := s.digestOf(follower, message.Version)
	if !known {
		return &MalformedError{Reason: "acknowledges a version that wasn't sent"}
	}
	if want != message.Digest {
		return &DigestError{Version: message.Version, Want: want, Got: message.Digest}
	}
	follower.held = message.Version
	follower.digest = message.Digest
	record.InForce = message.Version
	if record.Refused <= message.Version {
		record.clearRefusal()
	}
	if follower.inFlight != nil && follower.inFlight.version <= message.Version {
		follower.inFlight = nil
		follower.whole = false
	}
	return nil
}

// digestOf gives the digest of a version that a follower may hold.
func (s *Sender) digestOf(follower *followerSession, version Version) (Digest, bool) {
	if follower.inFlight != nil && follower.inFlight.version == version {
		return follower.inFlight.digest, true
	}
	if follower.held == version {
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
	record.Resource = message.Resource
	record.Reason = message.Reason
	if sent {
		follower.inFlight = nil
	}
	return nil
}

func (r *memberRecord) clearRefusal() {
	r.Refused = 0
	r.Resource = ""
	r.Reason = ""
}

// Next decides what a follower gets now.
func (s *Sender) Next(now time.Time, id FollowerID) Action {
	follower := s.followers[id]
	if follower == nil {
		return Action{Close: true}
	}
	if s.paused {
		return s.heartbeatAlone(now, follower)
	}
	if farewell := s.farewell(follower); farewell != nil {
		return Action{Frame: Encode(farewell), Close: true}
	}
	if !now.Before(follower.heartbeat) {
		return s.sendHeartbeat(now, follower)
	}
	if follower.inFlight != nil {
		return s.goOn(now, follower)
	}
	if !s.wantsNext(follower) {
		return Action{Wake: follower.heartbeat}
	}
	if now.Before(follower.version) {
		return Action{Wake: earlier(follower.version, follower.heartbeat)}
	}
	if delta, ok := s.deltaFor(follower); ok {
		follower.version = now.Add(s.interval)
		follower.inFlight = &transfer{version: delta.to, digest: delta.digest, deadline: now.Add(AcknowledgeTimeout)}
		return Action{Frame: delta.frame, Wake: follower.heartbeat}
	}
	return s.startSnapshot(now, follower)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// heartbeatAlone sends a heartbeat where one is due.
func (s *Sender) heartbeatAlone(now time.Time, follower *followerSession) Action {
	if now.Before(follower.heartbeat) {
		return Action{Wake: follower.heartbeat}
	}
	return s.sendHeartbeat(now, follower)
}

// farewell is what a follower is told that can't be served, or nil.
func (s *Sender) farewell(follower *followerSession) Message {
	log := s.state.document.log
	switch {
	case follower.log != "" && log != "" && follower.log != log:
		return &OtherLog{Log: log}
	case follower.held > s.state.document.version:
		return &Behind{Latest: s.state.document.version}
	}
	return nil
}

func (s *Sender) sendHeartbeat(now time.Time, follower *followerSession) Action {
	follower.heartbeat = now.Add(HeartbeatInterval)
	heartbeat := &Heartbeat{
		Log:     s.state.document.log,
		Latest:  s.state.document.version,
		Current: s.current,
	}
	if s.paused {
		heartbeat = &Heartbeat{}
	}
	return Action{Frame: Encode(heartbeat), Wake: follower.heartbeat}
}

// goOn hands out the next part of a snapshot, or waits for the answer.
func (s *Sender) goOn(now time.Time, follower *followerSession) Action {
	inFlight := follower.inFlight
	if len(inFlight.parts) > 0 {
		frame := inFlight.parts[0]
		inFlight.parts = inFlight.parts[1:]
		inFlight.deadline = now.Add(AcknowledgeTimeout)
		return Action{Frame: frame, Wake: follower.heartbeat}
	}
	if !now.Before(inFlight.deadline) {
		return Action{Close: true}
	}
	return Action{Wake: follower.heartbeat}
}

// wantsNext tells whether there is anything to send: a follower that refused a version waits for a later one.
func (s *Sender) wantsNext(follower *followerSession) bool {
	document := s.state.document
	if document.version <= follower.refused {
		return false
	}
	return follower.whole || follower.held < document.version || follower.digest != document.digest
}

// deltaFor gives the delta that leads a follower on, where there is one.
func (s *Sender) deltaFor(follower *followerSession) (preparedDelta, bool) {
	digest, known := s.state.history.DigestAt(follower.held)
	if follower.whole || !known || digest != follower.digest {
		return preparedDelta{}, false
	}
	delta, ok := s.prepareDelta(follower.held)
	if !ok || delta.to <= follower.refused {
		return preparedDelta{}, false
	}
	return delta, true
}

func (s *Sender) prepareDelta(held Version) (preparedDelta, bool) {
	s.deltas.renew(s.state.document)
	prepared, found := s.deltas.byHeld[held]
	if found {
		return prepared, prepared.frame != nil
	}
	delta, ok := s.state.history.SinceWithin(held)
	if ok {
		prepared = preparedDelta{to: delta.To, digest: delta.Digest, frame: Encode(&delta)}
	}
	s.deltas.add(held, prepared)
	return prepared, ok
}

func (c *deltaCache) add(held Version, prepared preparedDelta) {
	if c.size+len(prepared.frame) > maxCachedBytes {
		return
	}
	c.byHeld[held] = prepared
	c.size += len(prepared.frame)
}

// renew empties the cache where the latest version is another one.
func (c *deltaCache) renew(document *Document) {
	if c.byHeld != nil && c.version == document.version {
		return
	}
	c.version = document.version
	c.byHeld = map[Version]preparedDelta{}
	c.size = 0
}

// startSnapshot begins to send a whole document, or puts the follower off where the token bucket hasn't the bytes.
func (s *Sender) startSnapshot(now time.Time, follower *followerSession) Action {
	snapshot := s.prepareSnapshot(follower)
	if s.limiter.Burst() < snapshot.size {
		s.limiter.SetBurstAt(now, snapshot.size) // else a document beyond the burst would never be sent
	}
	if !s.limiter.AllowN(now, snapshot.size) {
		deferral := &Deferral{After: s.deferral(now, snapshot.size)}
		return Action{Frame: Encode(deferral), Close: true}
	}
	follower.inFlight = &transfer{
		version: snapshot.version,
		digest:  snapshot.digest,
		parts:   snapshot.frames,
	}
	return s.goOn(now, follower)
}

// deferral gives each follower that is put off a time of its own, one snapshot after the other, up to MaxDeferral.
func (s *Sender) deferral(now time.Time, size int) time.Duration {
	if s.comeBack.Before(now) {
		s.comeBack = now
	}
	seconds := float64(size) / float64(s.limiter.Limit())
	s.comeBack = s.comeBack.Add(time.Duration(seconds * float64(time.Second)))
	if latest := now.Add(MaxDeferral); s.comeBack.After(latest) {
		s.comeBack = latest
	}
	return s.comeBack.Sub(now)
}

// prepareSnapshot gives the last snapshot as long as a delta can lead on from it, so that a document isn't encoded again
// for each version, and a new one else.
func (s *Sender) prepareSnapshot(follower *followerSession) *preparedSnapshot {
	if s.snapshot == nil || !s.serves(s.snapshot, follower) {
		s.snapshot = newPreparedSnapshot(s.state.document)
	}
	return s.snapshot
}

func (s *Sender) serves(snapshot *preparedSnapshot, follower *followerSession) bool {
	document := s.state.document
	if snapshot.version <= follower.refused {
		return false
	}
	if snapshot.version == document.version {
		return true
	}
	if snapshot.version <= follower.held {
		return false
	}
	delta, ok := s.prepareDelta(snapshot.version)
	return ok && delta.to == document.version
}

func newPreparedSnapshot(document *Document) *preparedSnapshot {
	snapshot := &preparedSnapshot{
		version: document.Version(),
		digest:  document.Digest(),
	}
	for _, part := range SplitSnapshot(document) {
		frame := Encode(part)
		snapshot.frames = append(snapshot.frames, frame)
		snapshot.size += len(frame)
	}
	return snapshot
}

// Status gives what is known about each gateway, by member index.
func (s *Sender) Status() []MemberStatus {
	status := make([]MemberStatus, 0, len(s.members))
	for _, record := range s.members {
		status = append(status, record.MemberStatus)
	}
	slices.SortFunc(status, func(a, b MemberStatus) int { return cmp.Compare(a.Member, b.Member) })
	return status
}
