package configsync

import (
	"errors"
	"time"
)

// Receive handles a message from the publisher. Without a connection it does nothing and returns the zero Decision.
func (f *Follower) Receive(now time.Time, message Message) Decision {
	if f.connection == nil {
		return Decision{}
	}
	f.connection.lastReceived = now
	switch message := message.(type) {
	case *Delta:
		return f.receiveDelta(now, message)
	case *SnapshotPart:
		return f.receiveSnapshotPart(now, message)
	case *Heartbeat:
		return f.receiveHeartbeat(now, message)
	case *SnapshotDeferral:
		f.counters.SnapshotsDeferred++
		return f.reconnectAfterDeferral(now, message.After)
	case *PublisherBehind:
		f.counters.Behind++
		return f.reconnect(now, CausePublisherBehind, nil)
	case *LogMismatch:
		return f.reconnectForLogMismatch(now, message.Log)
	}
	return f.ReceiveMalformed(now, &MalformedError{Reason: "unexpected message: publishers don't send this kind"})
}

func (f *Follower) reconnectForLogMismatch(now time.Time, log LogID) Decision {
	f.counters.LogMismatches++
	return f.reconnect(now, CauseLogMismatch, &LogMismatchError{Current: f.document.Log(), Got: log})
}

// isLogMismatch reports whether a log differs from that of the version in force, so that their versions can't be
// compared. A follower that belongs to no log yet accepts any.
func (f *Follower) isLogMismatch(log LogID) bool {
	current := f.document.Log()
	return current != "" && log != current
}

func (f *Follower) receiveHeartbeat(now time.Time, heartbeat *Heartbeat) Decision {
	if heartbeat.Log != "" && f.isLogMismatch(heartbeat.Log) {
		return f.reconnectForLogMismatch(now, heartbeat.Log)
	}
	c := f.connection
	if !f.expectsVersion() {
		c.lastProgress = now
	}
	c.announced = heartbeat.Latest
	if heartbeat.HasQuorum {
		c.lastQuorum = now
	}
	if heartbeat.HasQuorum && now.Sub(c.connectedAt) >= SilenceTimeout {
		f.failures = 0
	}
	return Decision{}
}

func (f *Follower) receiveDelta(now time.Time, delta *Delta) Decision {
	if f.isLogMismatch(delta.Log) {
		return f.reconnectForLogMismatch(now, delta.Log)
	}
	if decision, known := f.receiveKnownVersion(delta.Log, delta.To); known {
		return decision
	}
	if f.pending != nil || delta.From != f.document.Version() {
		f.counters.VersionGaps++
		return f.reconnect(now, CauseVersionGap, &VersionMismatchError{Current: f.document.Version(), From: delta.From})
	}
	if err := f.document.Check(delta); err != nil {
		return f.reconnectForInvalidContent(now, err)
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

// receiveKnownVersion handles a version that is in force, older, pending or already refused; known is false for any
// other version. The reply is an acknowledgement of the version in force, or the refusal again, so that the publisher
// doesn't wait for an answer. A pending version gets no reply yet: Accept or Refuse returns the answer to it.
func (f *Follower) receiveKnownVersion(log LogID, version Version) (decision Decision, known bool) {
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

// reconnectForInvalidContent closes a connection on which an invalid delta or snapshot was received. After a digest
// mismatch the next connection asks for a snapshot, since another delta would not repair the content.
func (f *Follower) reconnectForInvalidContent(now time.Time, err error) Decision {
	if _, isDigest := errors.AsType[*DigestMismatchError](err); isDigest {
		f.counters.DigestMismatches++
		f.wantSnapshot = true
		return f.reconnect(now, CauseDigestMismatch, err)
	}
	return f.ReceiveMalformed(now, err)
}

func (f *Follower) receiveSnapshotPart(now time.Time, part *SnapshotPart) Decision {
	if f.isLogMismatch(part.Log) {
		return f.reconnectForLogMismatch(now, part.Log)
	}
	c := f.connection
	c.lastProgress = now
	if c.assembler == nil {
		c.assembler = &SnapshotAssembler{}
	}
	document, err := c.assembler.Add(part)
	if err != nil {
		return f.reconnectForInvalidContent(now, err)
	}
	if document == nil {
		return Decision{}
	}
	c.assembler = nil
	f.wantSnapshot = false
	return f.receiveSnapshot(now, document)
}

// receiveSnapshot handles a complete snapshot. A snapshot of the version in force is applied only if its content
// differs, which repairs the follower's content.
func (f *Follower) receiveSnapshot(now time.Time, document *Document) Decision {
	sameVersion := document.Version() == f.document.Version()
	repairs := sameVersion && document.Digest() != f.document.Digest()
	if !repairs {
		decision, known := f.receiveKnownVersion(document.Log(), document.Version())
		if known {
			return decision
		}
	}
	if f.pending != nil {
		f.counters.VersionGaps++
		return f.reconnect(now, CauseVersionGap, nil)
	}
	f.pending = &pendingUpdate{document: document, log: document.Log(), to: document.Version()}
	return Decision{Kind: Apply, Update: &Update{
		Log:     document.Log(),
		From:    f.document.Version(),
		To:      document.Version(),
		Changes: f.document.Diff(document.resources),
	}}
}
