package configsync

import (
	"math/rand/v2"
	"time"
)

// FollowerConfig identifies a gateway to its publishers and says how many publishers it can choose from.
type FollowerConfig struct {
	Member      int    // member index
	Name        string // cut to MaxGatewayNameBytes
	Incarnation uint64 // greater at each start of the gateway than at the one before
	Publishers  int    // number of publishers, 1 or more
}

// Follower is the gateway's side of the protocol. It holds the version in force, chooses the publisher to connect to,
// and decides about each message. The goroutine that owns the connection passes in events with their times and executes
// the decisions. A Follower is not safe for concurrent use.
//
// The owner waits until NextAttempt, connects to Publisher within ConnectTimeout, and sends the messages that
// Connected returns. It calls ReceivedBytes when bytes arrive, Receive for each message, and Tick at Deadline. After a
// decision to Apply it calls Accept if the gateway applied the update, and Refuse if it couldn't.
type Follower struct {
	config FollowerConfig
	random *rand.Rand

	document     *Document // the version in force
	refused      *Refusal  // refusal of the latest refused version; nil: none
	refusedLog   LogID     // log of the refused version
	pending      *pendingUpdate
	wantSnapshot bool // ask for a snapshot on the next connection, since a delta led to a wrong digest

	publisher   int // index of the publisher that is or will be connected
	failures    int // consecutive failures, for the backoff; no longer counted once the backoff is at its cap
	nextAttempt time.Time

	connection *connection // nil: not connected
	counters   FollowerCounters
}

// connection is the state of a follower's connection to a publisher.
type connection struct {
	connectedAt  time.Time
	lastReceived time.Time          // when any bytes were last received
	lastQuorum   time.Time          // when the publisher last reported contact with a quorum
	lastProgress time.Time          // when a part or an outcome of a version last arrived, or none was due
	announced    Version            // the latest version that the publisher announced
	assembler    *SnapshotAssembler // nil: no snapshot is being received
}

// pendingUpdate is a version that the gateway was asked to apply and has neither accepted nor refused yet.
type pendingUpdate struct {
	delta    *Delta    // nil if the version came as a snapshot
	document *Document // content of a snapshot; nil if the version came as a delta
	log      LogID
	to       Version
}

// FollowerCounters counts the events of a Follower since it was created.
type FollowerCounters struct {
	Accepted          uint64 // versions put in force
	Refused           uint64 // versions that the gateway couldn't apply and refused
	Ignored           uint64 // deltas and snapshots of a version that was in force, older or already pending
	LogMismatches     uint64 // messages of a log other than that of the version in force
	VersionGaps       uint64 // deltas from a version not in force, and versions while one was pending
	DigestMismatches  uint64 // versions whose content doesn't match their digest
	MalformedMessages uint64 // messages that violate the protocol
	Silent            uint64 // connections closed after SilenceTimeout
	NoQuorum          uint64 // connections closed after QuorumTimeout
	Stalled           uint64 // connections closed after StallTimeout
	Behind            uint64 // connections closed because the publisher had only versions older than the one in force
	SnapshotsDeferred uint64 // snapshots that a publisher deferred
	ConnectionsLost   uint64 // failed attempts to connect, and connections that failed or were closed by the publisher
}

// NewFollower returns the follower of a gateway that starts with the document of its file, or with NewDocument("") if
// it has none. The follower takes ownership of the document. The member index determines the first publisher, which
// spreads the gateways over the publishers. random is the source of jitter.
func NewFollower(config FollowerConfig, document *Document, random *rand.Rand) *Follower {
	config.Publishers = max(config.Publishers, 1)
	config.Name = truncateUTF8(config.Name, MaxGatewayNameBytes)
	return &Follower{
		config:    config,
		random:    random,
		document:  document,
		publisher: config.Member % config.Publishers,
	}
}

// Document returns the content of the version in force. Accept changes or replaces it; the caller must not change it.
func (f *Follower) Document() *Document { return f.document }

// Refused returns the refusal of the latest version that the gateway couldn't apply. It is nil if there is none, or if
// that version or a later one is in force by now.
func (f *Follower) Refused() *Refusal { return f.refused }

// Counters returns a copy of the counters.
func (f *Follower) Counters() FollowerCounters { return f.counters }

// Publisher returns the index of the publisher to connect to, from 0 up to FollowerConfig.Publishers - 1.
func (f *Follower) Publisher() int { return f.publisher }

// NextAttempt returns the earliest time to connect. The zero time means immediately.
func (f *Follower) NextAttempt() time.Time { return f.nextAttempt }

// Connected records that a connection to Publisher was established and returns the messages to send on it, in order.
func (f *Follower) Connected(now time.Time) []Message {
	f.connection = &connection{connectedAt: now, lastReceived: now, lastQuorum: now, lastProgress: now}
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
	// A refused version is reported only together with its log. Before the first accepted version the hello names no log.
	if f.refused == nil || f.refusedLog != hello.Log {
		return []Message{hello}
	}
	hello.Refused = f.refused.Version
	return []Message{hello, f.refused}
}

// ConnectionLost handles a failed attempt to connect, or the end of a connection that no Reconnect decision asked for.
func (f *Follower) ConnectionLost(now time.Time) Decision {
	f.counters.ConnectionsLost++
	return f.reconnect(now, CauseConnectionLost, nil)
}

// ReceiveMalformed handles received bytes that Decode or FrameSize rejected with err.
func (f *Follower) ReceiveMalformed(now time.Time, err error) Decision {
	f.counters.MalformedMessages++
	return f.reconnect(now, CauseMalformed, err)
}

// ReceivedBytes records that bytes were received, even if they don't complete a message yet, so that a slow connection
// isn't closed as a silent one.
func (f *Follower) ReceivedBytes(now time.Time) {
	if f.connection != nil {
		f.connection.lastReceived = now
	}
}

// Deadline returns the time at which the owner has to call Tick. ok is false while there is no connection.
func (f *Follower) Deadline() (deadline time.Time, ok bool) {
	if f.connection == nil {
		return time.Time{}, false
	}
	silent := f.connection.lastReceived.Add(SilenceTimeout)
	stale := f.connection.lastQuorum.Add(QuorumTimeout)
	deadline = earlier(silent, stale)
	if f.expectsVersion() {
		stalled := f.connection.lastProgress.Add(StallTimeout)
		deadline = earlier(deadline, stalled)
	}
	return deadline, true
}

// Tick decides to reconnect if nothing was received for SilenceTimeout, if the publisher had no contact with a quorum
// for QuorumTimeout, or if an announced version made no progress for StallTimeout.
func (f *Follower) Tick(now time.Time) Decision {
	c := f.connection
	switch {
	case c == nil:
		return Decision{}
	case now.Sub(c.lastReceived) >= SilenceTimeout:
		f.counters.Silent++
		return f.reconnect(now, CauseSilent, nil)
	case now.Sub(c.lastQuorum) >= QuorumTimeout:
		f.counters.NoQuorum++
		return f.reconnect(now, CauseNoQuorum, nil)
	case f.expectsVersion() && now.Sub(c.lastProgress) >= StallTimeout:
		f.counters.Stalled++
		return f.reconnect(now, CauseStalled, nil)
	}
	return Decision{}
}

// expectsVersion reports whether the publisher has announced a version that it still has to send: one later than the
// version in force and the refused one, while no update is pending.
func (f *Follower) expectsVersion() bool {
	announced := f.connection.announced
	return f.pending == nil && announced > f.document.Version() && announced > f.refusedVersion()
}

// refusedVersion returns the latest refused version, or 0 if there is none.
func (f *Follower) refusedVersion() Version {
	if f.refused == nil {
		return 0
	}
	return f.refused.Version
}

// Accept records that the gateway applied the pending update, which is then in force. It returns the message to send if
// there is a connection, or nil if no update is pending.
func (f *Follower) Accept(now time.Time) *Acknowledge {
	if f.pending == nil {
		return nil
	}
	f.applyPending()
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

// applyPending makes the pending update the document in force.
func (f *Follower) applyPending() {
	pending := f.pending
	f.pending = nil
	if pending.document != nil {
		f.document = pending.document
		return
	}
	if err := f.document.Apply(pending.delta); err != nil {
		panic(err) // Check succeeded before, and nothing changes the document while an update is pending
	}
}

// Refuse records that the gateway couldn't apply the pending update, which is dropped. It returns the message to send
// if there is a connection, or nil if no update is pending. resource is the one at fault, or empty if that isn't known.
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

// reconnect decides to close the connection and to try the next publisher after the backoff.
func (f *Follower) reconnect(now time.Time, cause Cause, err error) Decision {
	f.disconnect(now.Add(f.backoff()))
	return Decision{Kind: Reconnect, Cause: cause, Err: err}
}

// reconnectAfterDeferral decides to close the connection and to try the next publisher after the wait that the current
// one asked for, within BackoffBase and MaxDeferral. The jitter spreads followers that were deferred at the same time.
func (f *Follower) reconnectAfterDeferral(now time.Time, after time.Duration) Decision {
	after = min(max(after, BackoffBase), MaxDeferral)
	f.disconnect(now.Add(after + f.jitter(BackoffBase)))
	return Decision{Kind: Reconnect, Cause: CauseSnapshotDeferred}
}

// disconnect drops the state of the connection and selects the next publisher.
func (f *Follower) disconnect(nextAttempt time.Time) {
	f.connection = nil
	f.publisher = (f.publisher + 1) % f.config.Publishers
	f.nextAttempt = nextAttempt
}

// backoff counts a failure and returns the wait before the next attempt. It implements exponential backoff with full
// jitter ("Exponential Backoff and Jitter", AWS Architecture Blog, 2015): a random wait below a bound that doubles with
// each consecutive failure, from BackoffBase up to BackoffCap.
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

// jitter returns a random duration in [0, bound).
func (f *Follower) jitter(bound time.Duration) time.Duration {
	return time.Duration(f.random.Int64N(int64(bound)))
}
