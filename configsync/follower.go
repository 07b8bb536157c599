// The gateway's side of a connection.

package configsync

import (
	"math/rand/v2"
	"time"
)

// FollowerConfig says who a gateway is.
type FollowerConfig struct {
	Member      int    // member index
	Name        string // cut to MaxNameBytes
	Incarnation uint64 // grows with each start of the gateway
	Publishers  int    // number of publishers, 1 or more
}

// Follower is a gateway's side: what it holds, which publisher it follows, and what it makes of each message. The task that
// owns the connection tells it of events with their times and does what it says. It is not safe for concurrent use.
//
// The task waits until NextAttempt, connects to Publisher within ConnectTimeout, and sends what Connected gives. It calls
// ReceivedBytes for bytes and Receive for messages, and Tick at Deadline. After an Update, it calls Accept or Refuse once the
// gateway has taken it or not.
type Follower struct {
	config FollowerConfig
	random *rand.Rand

	document   *Document // the version in force
	refused    *Refusal  // the last version refused; nil: none
	refusedLog LogID     // that the version refused counts in
	pending    *pendingUpdate
	whole      bool // a delta didn't fit, so the next connection asks for a snapshot

	publisher int // index of the one to connect to, or connected to
	failures  int // attempts in a row that led to nothing
	attempt   time.Time

	connection *connection // nil: not connected
	counters   FollowerCounters
}

// connection is what a follower knows about its connection.
type connection struct {
	since     time.Time
	heard     time.Time // last bytes
	current   time.Time // last time that the publisher was in contact with a quorum
	progress  time.Time // last time that nothing was due, or that a part of it came
	announced Version   // the latest version of the publisher
	assembler *Assembler
}

// pendingUpdate is a later version that the gateway has been asked to take.
type pendingUpdate struct {
	delta    *Delta    // nil: document is set
	document *Document // from a snapshot
	log      LogID
	to       Version
}

// FollowerCounters count what happened since the start.
type FollowerCounters struct {
	Accepted         uint64 // versions put in force
	Refused          uint64 // versions that the gateway couldn't take
	Ignored          uint64 // deltas and snapshots that were repeated or older
	OtherLog         uint64 // messages of another log than the one held
	Gaps             uint64 // deltas that start from a version that isn't held
	DigestMismatches uint64 // deltas that lead to another content than announced
	Malformed        uint64 // messages that break the protocol
	Silent           uint64 // connections given up after SilenceTimeout
	Stale            uint64 // connections given up after StaleTimeout
	Stalled          uint64 // connections given up after StallTimeout
	Behind           uint64 // publishers that had less than is held
	Deferred         uint64 // snapshots put off by a publisher
	Lost             uint64 // connections that failed or were ended by the other side
}

// DecisionKind says what the task has to do.
type DecisionKind int

// What the task has to do.
const (
	Ignore    DecisionKind = iota // nothing, beside sending Reply where it is set
	Apply                         // hand Update to the gateway, then call Accept or Refuse
	Reconnect                     // close the connection, then wait until NextAttempt
)

// Cause is the reason of a Reconnect, for the log.
type Cause string

// The reasons of a Reconnect; FollowerCounters has a count for each.
const (
	CauseOtherLog  Cause = "the publisher has another log"
	CauseGap       Cause = "a delta from a version that is not held"
	CauseDigest    Cause = "a version's content differs from its digest"
	CauseMalformed Cause = "a malformed message"
	CauseSilent    Cause = "nothing heard from the publisher"
	CauseStale     Cause = "the publisher has no contact with a quorum"
	CauseStalled   Cause = "an announced version doesn't come"
	CauseBehind    Cause = "the publisher is behind"
	CauseDeferred  Cause = "the publisher put a snapshot off"
	CauseLost      Cause = "the connection failed"
)

// Decision is the answer to an event.
type Decision struct {
	Kind   DecisionKind
	Cause  Cause   // of Reconnect
	Err    error   // of Reconnect, where there is more to say than Cause
	Reply  Message // to be sent; nil: none
	Update *Update // of Apply
}

// Update is a later version to put in force.
type Update struct {
	Log     LogID
	From    Version // 0: the gateway goes by its own file
	To      Version
	Changes []Change // sorted, from the content held
	Delta   *Delta   // to be appended to the gateway's file; nil: the file has to be written anew
}

// NewFollower gives the follower of a gateway that holds a document: the one of its file, or NewDocument(""). The document
// belongs to the follower from now on. Start positions are spread over the publishers by the member index.
func NewFollower(config FollowerConfig, held *Document, random *rand.Rand) *Follower {
	config.Publishers = max(config.Publishers, 1)
	config.Name = cutText(config.Name, MaxNameBytes)
	return &Follower{
		config:    config,
		random:    random,
		document:  held,
		publisher: config.Member % config.Publishers,
	}
}

// Document is the version in force. It must not be changed, and changes with Accept.
func (f *Follower) Document() *Document { return f.document }

// Refused is the last version that the gateway couldn't take, or nil.
func (f *Follower) Refused() *Refusal { return f.refused }

// Counters gives the counts so far.
func (f *Follower) Counters() FollowerCounters { return f.counters }

// Publisher is the index of the publisher to connect to.
func (f *Follower) Publisher() int { return f.publisher }

// NextAttempt is the time to connect; the zero time is now.
func (f *Follower) NextAttempt() time.Time { return f.attempt }

// Connected starts a connection and gives the messages to send on it, in order.
func (f *Follower) Connected(now time.Time) []Message {
	f.connection = &connection{since: now, heard: now, current: now, progress: now}
	hello := &Hello{
		Protocol:     Protocol,
		Member:       f.config.Member,
		Name:         f.config.Name,
		Incarnation:  f.config.Incarnation,
		Log:          f.document.Log(),
		InForce:      f.document.Version(),
		Digest:       f.document.Digest(),
		WantSnapshot: f.whole,
	}
	// Where the first version ever was refused, no log is held, and a version without its log tells nothing.
	if f.refused == nil || f.refusedLog != hello.Log {
		return []Message{hello}
	}
	hello.Refused = f.refused.Version
	return []Message{hello, f.refused}
}

// Lost tells that connecting failed or that the connection has ended without a Reconnect.
func (f *Follower) Lost(now time.Time) Decision {
	f.counters.Lost++
	return f.reconnect(now, CauseLost, nil)
}

// Malformed tells of bytes that Decode or FrameSize refused.
func (f *Follower) Malformed(now time.Time, err error) Decision {
	f.counters.Malformed++
	return f.reconnect(now, CauseMalformed, err)
}

// ReceivedBytes tells that bytes came in, of whole messages or not, so that a slow connection isn't taken for a silent one.
func (f *Follower) ReceivedBytes(now time.Time) {
	if f.connection != nil {
		f.connection.heard = now
	}
}

// Deadline is when Tick has to be called at the latest; ok is false while there is no connection.
func (f *Follower) Deadline() (deadline time.Time, ok bool) {
	if f.connection == nil {
		return time.Time{}, false
	}
	deadline = f.connection.heard.Add(SilenceTimeout)
	if stale := f.connection.current.Add(StaleTimeout); stale.Before(deadline) {
		deadline = stale
	}
	if stalled := f.connection.progress.Add(StallTimeout); f.waiting() && stalled.Before(deadline) {
		deadline = stalled
	}
	return deadline, true
}

// Tick gives up a connection on which nothing useful comes.
func (f *Follower) Tick(now time.Time) Decision {
	c := f.connection
	switch {
	case c == nil:
		return Decision{}
	case now.Sub(c.heard) >= SilenceTimeout:
		f.counters.Silent++
		return f.reconnect(now, CauseSilent, nil)
	case now.Sub(c.current) >= StaleTimeout:
		f.counters.Stale++
		return f.reconnect(now, CauseStale, nil)
	case f.waiting() && now.Sub(c.progress) >= StallTimeout:
		f.counters.Stalled++
		return f.reconnect(now, CauseStalled, nil)
	}
	return Decision{}
}

// waiting tells whether the publisher has announced a version that it should send.
func (f *Follower) waiting() bool {
	announced := f.connection.announced
	return f.pending == nil && announced > f.document.Version() && announced > f.refusedVersion()
}

func (f *Follower) refusedVersion() Version {
	if f.refused == nil {
		return 0
	}
	return f.refused.Version
}

// Receive decides about a message.
func (f *Follower) Receive(now time.Time, message Message) Decision {
	if f.connection == nil {
		return Decision{}
	}
	f.connection.heard = now
	switch message := message.(type) {
	case *Delta:
		return f.receiveDelta(now, message)
	case *SnapshotPart:
		return f.receivePart(now, message)
	case *Heartbeat:
		return f.receiveHeartbeat(now, message)
	case *Deferral:
		f.counters.Deferred++
		return f.deferred(now, message.After)
	case *Behind:
		f.counters.Behind++
		return f.reconnect(now, CauseBehind, nil)
	case *OtherLog:
		return f.otherLog(now, message.Log)
	}
	return f.Malformed(now, &MalformedError{Reason: "a message that no publisher sends"})
}

func (f *Follower) otherLog(now time.Time, log LogID) Decision {
	f.counters.OtherLog++
	return f.reconnect(now, CauseOtherLog, &WrongLogError{Current: f.document.Log(), Got: log})
}

// isOtherLog tells whether a log can't be compared with the one held.
func (f *Follower) isOtherLog(log LogID) bool {
	held := f.document.Log()
	return held != "" && log != held
}

func (f *Follower) receiveHeartbeat(now time.Time, heartbeat *Heartbeat) Decision {
	if heartbeat.Log != "" && f.isOtherLog(heartbeat.Log) {
		return f.otherLog(now, heartbeat.Log)
	}
	c := f.connection
	if !f.waiting() {
		c.progress = now
	}
	c.announced = heartbeat.Latest
	if heartbeat.Current {
		c.current = now
	}
	if heartbeat.Current && now.Sub(c.since) >= SilenceTimeout {
		f.failures = 0
	}
	return Decision{}
}

func (f *Follower) receiveDelta(now time.Time, delta *Delta) Decision {
	if f.isOtherLog(delta.Log) {
		return f.otherLog(now, delta.Log)
	}
	if decision, done := f.known(delta.Log, delta.To); done {
		return decision
	}
	if f.pending != nil || delta.From != f.document.Version() {
		f.counters.Gaps++
		return f.reconnect(now, CauseGap, &WrongFromError{Current: f.document.Version(), From: delta.From})
	}
	err := f.document.Check(delta)
	if _, isDigest := err.(*DigestError); isDigest {
		return f.digestDiffers(now, err)
	}
	if err != nil {
		return f.Malformed(now, err)
	}
	f.pending = &pendingUpdate{delta: delta, log: delta.Log, to: delta.To}
	return Decision{Kind: Apply, Update: &Update{
		Log:     delta.Log,
		From:    delta.From,
		To:      delta.To,
		Changes: delta.Changes,
		Delta:   delta,
	}}
}

// known decides about a version that is held, older, pending or refused already. The publisher is told what is held, so
// that it doesn't wait for the answer to a version that isn't needed.
func (f *Follower) known(log LogID, version Version) (decision Decision, done bool) {
	switch {
	case version <= f.document.Version():
		f.counters.Ignored++
		return Decision{Reply: f.acknowledge()}, true
	case f.pending != nil && version == f.pending.to:
		f.counters.Ignored++
		return Decision{}, true
	case log == f.refusedLog && version == f.refusedVersion():
		return Decision{Reply: f.refused}, true
	}
	return Decision{}, false
}

func (f *Follower) digestDiffers(now time.Time, err error) Decision {
	f.counters.DigestMismatches++
	f.whole = true
	return f.reconnect(now, CauseDigest, err)
}

func (f *Follower) receivePart(now time.Time, part *SnapshotPart) Decision {
	if f.isOtherLog(part.Log) {
		return f.otherLog(now, part.Log)
	}
	c := f.connection
	c.progress = now
	if c.assembler == nil {
		c.assembler = &Assembler{}
	}
	document, err := c.assembler.Add(part)
	if _, isDigest := err.(*DigestError); isDigest {
		return f.digestDiffers(now, err)
	}
	if err != nil {
		return f.Malformed(now, err)
	}
	if document == nil {
		return Decision{}
	}
	c.assembler = nil
	f.whole = false
	return f.receiveDocument(now, document)
}

func (f *Follower) receiveDocument(now time.Time, document *Document) Decision {
	repaired := document.Version() == f.document.Version() && document.Digest() != f.document.Digest()
	if !repaired {
		if decision, done := f.known(document.Log(), document.Version()); done {
			return decision
		}
	}
	if f.pending != nil {
		f.counters.Gaps++
		return f.reconnect(now, CauseGap, nil)
	}
	f.pending = &pendingUpdate{document: document, log: document.Log(), to: document.Version()}
	return Decision{Kind: Apply, Update: &Update{
		Log:     document.Log(),
		From:    f.document.Version(),
		To:      document.Version(),
		Changes: f.document.Diff(document.resources),
	}}
}

// Accept tells that the pending update is in force at the gateway, and gives the answer to send where there is a
// connection.
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
		f.connection.progress = now
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
		panic(err) // Check passed, and nothing changes the document while an update is pending
	}
}

// Refuse tells that the gateway can't take the pending update, and gives the answer to send where there is a connection.
// The version in force stays. resource is the one at fault, where it is known.
func (f *Follower) Refuse(now time.Time, resource Resource, reason string) *Refusal {
	if f.pending == nil {
		return nil
	}
	f.refused = NewRefusal(f.pending.to, resource, reason)
	f.refusedLog = f.pending.log
	f.pending = nil
	f.counters.Refused++
	if f.connection != nil {
		f.connection.progress = now
	}
	return f.refused
}

// reconnect moves on to the next publisher after a wait.
func (f *Follower) reconnect(now time.Time, cause Cause, err error) Decision {
	f.leave(now.Add(f.backoff()))
	return Decision{Kind: Reconnect, Cause: cause, Err: err}
}

// deferred moves on to the next publisher after the wait that this one asks for. The jitter keeps those apart that were
// put off at once.
func (f *Follower) deferred(now time.Time, after time.Duration) Decision {
	after = min(max(after, BackoffBase), MaxDeferral)
	f.leave(now.Add(after + f.jitter(BackoffBase)))
	return Decision{Kind: Reconnect, Cause: CauseDeferred}
}

func (f *Follower) leave(attempt time.Time) {
	f.connection = nil
	f.publisher = (f.publisher + 1) % f.config.Publishers
	f.attempt = attempt
}

// backoff is exponential with full jitter ("Exponential Backoff and Jitter", AWS Architecture Blog, 2015): any wait up to a
// bound that doubles with each failure in a row.
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

// jitter is anything from 0 up to a bound, the bound excluded.
func (f *Follower) jitter(bound time.Duration) time.Duration {
	return time.Duration(f.random.Int64N(int64(bound)))
}
