package configsync

import (
	"math/rand/v2"
	"time"
)

// FollowerConfig is the identity of a gateway.
type FollowerConfig struct {
	Member      int    // member index
	Name        string // cut to MaxNameBytes
	Incarnation uint64 // increases with each start of the gateway
	Publishers  int    // number of publishers, 1 or more
}

// Follower is the gateway's side of a connection: the version in force, the publisher to follow, and a decision about
// each message. The goroutine that owns the connection passes it events with their times and executes its decisions.
// It is not safe for concurrent use.
//
// The owner waits until NextAttempt, connects to Publisher within ConnectTimeout, and sends the messages that
// Connected returns. It calls ReceivedBytes for bytes, Receive for messages, and Tick at Deadline. After an Update it
// calls Accept or Refuse, as the gateway did.
type Follower struct {
	config FollowerConfig
	random *rand.Rand

	document     *Document // the version in force
	refused      *Refusal  // the latest version refused; nil: none
	refusedLog   LogID     // log of the version refused
	pending      *pendingUpdate
	wantSnapshot bool // a delta led to another digest, so the next connection asks for a snapshot

	publisher   int // index of the one to connect to, or connected to
	failures    int // consecutive attempts without success
	nextAttempt time.Time

	connection *connection // nil: not connected
	counters   FollowerCounters
}

// connection is the state of a follower's connection.
type connection struct {
	since        time.Time
	lastReceived time.Time // when bytes were last received
	lastCurrent  time.Time // when the publisher last was in contact with a quorum
	lastProgress time.Time // when no version was due, or a part of one was received
	announced    Version   // the latest version of the publisher
	assembler    *SnapshotAssembler
}

// pendingUpdate is a later version that the gateway has been asked to apply.
type pendingUpdate struct {
	delta    *Delta    // nil: document is set
	document *Document // from a snapshot
	log      LogID
	to       Version
}

// FollowerCounters count events since the start.
type FollowerCounters struct {
	Accepted          uint64 // versions put in force
	Refused           uint64 // versions that the gateway couldn't apply
	Ignored           uint64 // deltas and snapshots that were repeated or not later
	LogMismatches     uint64 // messages of another log than that in force
	VersionGaps       uint64 // deltas that start from another version than that in force
	DigestMismatches  uint64 // versions whose content has another digest than announced
	MalformedMessages uint64 // messages that break the protocol
	Silent            uint64 // connections closed after SilenceTimeout
	NoQuorum          uint64 // connections closed after StaleTimeout
	Stalled           uint64 // connections closed after StallTimeout
	Behind            uint64 // publishers whose latest version was before that in force
	SnapshotsDeferred uint64 // snapshots deferred by a publisher
	ConnectionsLost   uint64 // connections that failed or were ended by the other side
}

// NewFollower returns the follower of a gateway that has a document in force: the one of its file, or
// NewDocument(""). The follower takes ownership of the document. The first publisher depends on the member index,
// which spreads the gateways.
func NewFollower(config FollowerConfig, document *Document, random *rand.Rand) *Follower {
	config.Publishers = max(config.Publishers, 1)
	config.Name = cutText(config.Name, MaxGatewayNameBytes)
	return &Follower{
		config:    config,
		random:    random,
		document:  document,
		publisher: config.Member % config.Publishers,
	}
}

// Document returns the version in force, which changes with Accept. The caller must not change it.
func (f *Follower) Document() *Document { return f.document }

// Refused returns the latest version that the gateway couldn't apply, or nil.
func (f *Follower) Refused() *Refusal { return f.refused }

// Counters returns the counts since the start.
func (f *Follower) Counters() FollowerCounters { return f.counters }

// Publisher returns the index of the publisher to connect to.
func (f *Follower) Publisher() int { return f.publisher }

// NextAttempt returns the time to connect; the zero time means at once.
func (f *Follower) NextAttempt() time.Time { return f.nextAttempt }

// Connected starts a connection and returns the messages to send on it, in order.
func (f *Follower) Connected(now time.Time) []Message {
	f.connection = &connection{since: now, lastReceived: now, lastCurrent: now, lastProgress: now}
	hello := &Hello{
		Protocol:     Protocol,
		Member:       f.config.Member,
		Name:         f.config.Name,
		Incarnation:  f.config.Incarnation,
		Log:          f.document.Log(),
		InForce:      f.document.Version(),
		Digest:       f.document.Digest(),
		WantSnapshot: f.wantSnapshot,
	}
	// A version has no meaning without its log, and before the first accepted version there is none to name in the hello.
	if f.refused == nil || f.refusedLog != hello.Log {
		return []Message{hello}
	}
	hello.Refused = f.refused.Version
	return []Message{hello, f.refused}
}

// ConnectionLost handles a failed attempt to connect, or the end of the connection without a Reconnect.
func (f *Follower) ConnectionLost(now time.Time) Decision {
	f.counters.ConnectionsLost++
	return f.reconnect(now, CauseConnectionLost, nil)
}

// ReceiveMalformed handles bytes that Decode or FrameSize refused.
func (f *Follower) ReceiveMalformed(now time.Time, err error) Decision {
	f.counters.MalformedMessages++
	return f.reconnect(now, CauseMalformed, err)
}

// ReceivedBytes notes that bytes were received, of complete messages or not, so that a slow connection doesn't count
// as a silent one.
func (f *Follower) ReceivedBytes(now time.Time) {
	if f.connection != nil {
		f.connection.lastReceived = now
	}
}

// Deadline returns the latest time for the next Tick. ok is false while there is no connection.
func (f *Follower) Deadline() (deadline time.Time, ok bool) {
	if f.connection == nil {
		return time.Time{}, false
	}
	silent := f.connection.lastReceived.Add(SilenceTimeout)
	stale := f.connection.lastCurrent.Add(QuorumTimeout)
	deadline = earlier(silent, stale)
	if f.expectsVersion() {
		stalled := f.connection.lastProgress.Add(StallTimeout)
		deadline = earlier(deadline, stalled)
	}
	return deadline, true
}

// Tick ends a connection that is silent, stale or stalled.
func (f *Follower) Tick(now time.Time) Decision {
	c := f.connection
	switch {
	case c == nil:
		return Decision{}
	case now.Sub(c.lastReceived) >= SilenceTimeout:
		f.counters.Silent++
		return f.reconnect(now, CauseSilent, nil)
	case now.Sub(c.lastCurrent) >= QuorumTimeout:
		f.counters.NoQuorum++
		return f.reconnect(now, CauseNoQuorum, nil)
	case f.expectsVersion() && now.Sub(c.lastProgress) >= StallTimeout:
		f.counters.Stalled++
		return f.reconnect(now, CauseStalled, nil)
	}
	return Decision{}
}

// expectsVersion reports whether the publisher has announced a version that it should send.
func (f *Follower) expectsVersion() bool {
	announced := f.connection.announced
	return f.pending == nil && announced > f.document.Version() && announced > f.refusedVersion()
}

func (f *Follower) refusedVersion() Version {
	if f.refused == nil {
		return 0
	}
	return f.refused.Version
}

// Accept puts the pending update in force, as the gateway did, and returns the message to send if there is a
// connection. It returns nil if no update is pending.
func (f *Follower) Accept(now time.Time) *Acknowledge {
	if f.pending == nil {
		return nil
	}
	f.commit()
	f.counters.Accepted++
	f.failures = 0
	if f.refusedVersion() <= f.document.Version() {
		f.refused = nil
	}
	if f.connection != nil {
		f.connection.lastProgress = now
	}
	return f.acknowledge()
}

func (f *Follower) acknowledge() *Acknowledge {
	return &Acknowledge{Version: f.document.Version(), Digest: f.document.Digest()}
}

func (f *Follower) commit() {
	pending := f.pending
	f.pending = nil
	if pending.document != nil {
		f.document = pending.document
		return
	}
	if err := f.document.Apply(pending.delta); err != nil {
		panic(err) // Check succeeded, and nothing changes the document while an update is pending
	}
}

// Refuse drops the pending update, which the gateway couldn't apply, and returns the message to send if there is a
// connection. It returns nil if no update is pending. resource is the one at fault, empty where it isn't known.
func (f *Follower) Refuse(now time.Time, resource Resource, reason string) *Refusal {
	if f.pending == nil {
		return nil
	}
	f.refused = NewRefusal(f.pending.to, resource, reason)
	f.refusedLog = f.pending.log
	f.pending = nil
	f.counters.Refused++
	if f.connection != nil {
		f.connection.lastProgress = now
	}
	return f.refused
}

// reconnect ends the connection and changes to the next publisher after a backoff.
func (f *Follower) reconnect(now time.Time, cause Cause, err error) Decision {
	f.disconnect(now.Add(f.backoff()))
	return Decision{Kind: Reconnect, Cause: cause, Err: err}
}

// deferred ends the connection and changes to the next publisher after the wait that this one asks for. The jitter
// spreads followers that were deferred at the same time.
func (f *Follower) deferred(now time.Time, after time.Duration) Decision {
	after = min(max(after, BackoffBase), MaxDeferral)
	f.disconnect(now.Add(after + f.jitter(BackoffBase)))
	return Decision{Kind: Reconnect, Cause: CauseSnapshotDeferred}
}

func (f *Follower) disconnect(nextAttempt time.Time) {
	f.connection = nil
	f.publisher = (f.publisher + 1) % f.config.Publishers
	f.nextAttempt = nextAttempt
}

// backoff returns the wait before the next attempt, and counts a failure. It is exponential with full jitter
// ("Exponential Backoff and Jitter", AWS Architecture Blog, 2015): any wait up to a bound that doubles with each
// consecutive failure.
func (f *Follower) backoff() time.Duration {
	bound := BackoffBase
	for range f.failures {
		bound = min(2*bound, BackoffCap)
	}
	if bound < BackoffCap {
		f.failures++
	}
	return f.jitter(bound)
}

// jitter returns a random duration from 0 up to a bound, the bound excluded.
func (f *Follower) jitter(bound time.Duration) time.Duration {
	return time.Duration(f.random.Int64N(int64(bound)))
}
