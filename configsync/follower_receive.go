package configsync

import (
	"errors"
	"time"
)

// Receive handles a message of the publisher.
func (f *Follower) Receive(now time.Time, message Message) Decision {
	if f.connection == nil {
		return Decision{}
	}
	f.connection.lastReceived = now
	switch message := message.(type) {
	case *Delta:
		return f.receiveDelta(now, message)
	case *SnapshotPart:
		return f.receivePart(now, message)
	case *Heartbeat:
		return f.receiveHeartbeat(now, message)
	case *SnapshotDeferral:
		f.counters.SnapshotsDeferred++
		return f.deferred(now, message.After)
	case *PublisherBehind:
		f.counters.Behind++
		return f.reconnect(now, CausePublisherBehind, nil)
	case *LogMismatch:
		return f.otherLog(now, message.Log)
	}
	return f.ReceiveMalformed(now, &MalformedError{Reason: "a message that no publisher sends"})
}

func (f *Follower) otherLog(now time.Time, log LogID) Decision {
	f.counters.LogMismatches++
	return f.reconnect(now, CauseLogMismatch, &LogMismatchError{Current: f.document.Log(), Got: log})
}

// isOtherLog reports whether versions of a log can't be compared with the one in force.
func (f *Follower) isOtherLog(log LogID) bool {
	current := f.document.Log()
	return current != "" && log != current
}

func (f *Follower) receiveHeartbeat(now time.Time, heartbeat *Heartbeat) Decision {
	if heartbeat.Log != "" && f.isOtherLog(heartbeat.Log) {
		return f.otherLog(now, heartbeat.Log)
	}
	c := f.connection
	if !f.expectsVersion() {
		c.lastProgress = now
	}
	c.announced = heartbeat.Latest
	if heartbeat.HasQuorum {
		c.lastCurrent = now
	}
	if heartbeat.HasQuorum && now.Sub(c.since) >= SilenceTimeout {
		f.failures = 0
	}
	return Decision{}
}

func (f *Follower) receiveDelta(now time.Time, delta *Delta) Decision {
	if f.isOtherLog(delta.Log) {
		return f.otherLog(now, delta.Log)
	}
	if decision, known := f.receiveKnown(delta.Log, delta.To); known {
		return decision
	}
	if f.pending != nil || delta.From != f.document.Version() {
		f.counters.VersionGaps++
		return f.reconnect(now, CauseVersionGap, &VersionMismatchError{Current: f.document.Version(), From: delta.From})
	}
	if err := f.document.Check(delta); err != nil {
		return f.refuseContent(now, err)
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

// receiveKnown handles a version that is in force, older, pending or already refused; known is false for any other
// one. It replies with the version in force, so that the publisher doesn't wait for an answer to a version that isn't
// needed.
func (f *Follower) receiveKnown(log LogID, version Version) (decision Decision, known bool) {
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

// refuseContent ends a connection on which a delta or a snapshot was not valid.
func (f *Follower) refuseContent(now time.Time, err error) Decision {
	if _, isDigest := errors.AsType[*DigestMismatchError](err); isDigest {
		f.counters.DigestMismatches++
		f.wantSnapshot = true
		return f.reconnect(now, CauseDigestMismatch, err)
	}
	return f.ReceiveMalformed(now, err)
}

func (f *Follower) receivePart(now time.Time, part *SnapshotPart) Decision {
	if f.isOtherLog(part.Log) {
		return f.otherLog(now, part.Log)
	}
	c := f.connection
	c.lastProgress = now
	if c.assembler == nil {
		c.assembler = &SnapshotAssembler{}
	}
	document, err := c.assembler.Add(part)
	if err != nil {
		return f.refuseContent(now, err)
	}
	if document == nil {
		return Decision{}
	}
	c.assembler = nil
	f.wantSnapshot = false
	return f.receiveDocument(now, document)
}

func (f *Follower) receiveDocument(now time.Time, document *Document) Decision {
	sameVersion := document.Version() == f.document.Version()
	repairs := sameVersion && document.Digest() != f.document.Digest()
	if !repairs {
		decision, known := f.receiveKnown(document.Log(), document.Version())
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
