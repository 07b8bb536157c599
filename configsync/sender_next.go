package configsync

import "time"

// Action is what the owner of the Sender has to do next for a follower.
type Action struct {
	// Frame is to be written to the follower; nil means nothing. Several followers share it, so that it must not be
	// changed.
	Frame []byte

	// Close asks the owner to close the connection once Frame is written, and to call Disconnect.
	Close bool

	// Wake is the time at which Next has to be called again, unless an event leads to a call before.
	Wake time.Time
}

// Next returns what to do next for a follower. It must not be called again before the frame of the previous Action is
// written. For an unknown connection the Action is to close it.
func (s *Sender) Next(now time.Time, id ConnectionID) Action {
	follower := s.followers[id]
	if follower == nil {
		return Action{Close: true}
	}
	if s.paused {
		return s.nextWhilePaused(now, follower)
	}
	if mismatch := s.mismatchMessage(follower); mismatch != nil {
		return Action{Frame: Encode(mismatch), Close: true}
	}
	if !now.Before(follower.nextHeartbeat) {
		return s.sendHeartbeat(now, follower)
	}
	if follower.inFlight != nil {
		return s.continueTransfer(now, follower)
	}
	if !s.needsVersion(follower) {
		return Action{Wake: follower.nextHeartbeat}
	}
	if now.Before(follower.nextVersion) {
		return Action{Wake: earlier(follower.nextVersion, follower.nextHeartbeat)}
	}
	delta, ok := s.deltaFor(follower)
	if !ok {
		return s.startSnapshot(now, follower)
	}
	return s.startDelta(now, follower, delta)
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// nextWhilePaused returns the next heartbeat if it is due. A paused sender sends nothing else.
func (s *Sender) nextWhilePaused(now time.Time, follower *followerSession) Action {
	if now.Before(follower.nextHeartbeat) {
		return Action{Wake: follower.nextHeartbeat}
	}
	return s.sendHeartbeat(now, follower)
}

// mismatchMessage returns the message with which to close the connection of a follower that has another log or a later
// version than the publisher. It returns nil for any other follower.
func (s *Sender) mismatchMessage(follower *followerSession) Message {
	log := s.state.document.log
	switch {
	case follower.log != "" && log != "" && follower.log != log:
		return &LogMismatch{Log: log}
	case follower.inForce > s.state.document.version:
		return &PublisherBehind{Latest: s.state.document.version}
	}
	return nil
}

// sendHeartbeat returns a heartbeat. It names no log, version or quorum while the sender is paused.
func (s *Sender) sendHeartbeat(now time.Time, follower *followerSession) Action {
	follower.nextHeartbeat = now.Add(HeartbeatInterval)
	heartbeat := &Heartbeat{}
	if !s.paused {
		heartbeat.Log = s.state.document.log
		heartbeat.Latest = s.state.document.version
		heartbeat.HasQuorum = s.hasQuorum
	}
	return Action{Frame: Encode(heartbeat), Wake: follower.nextHeartbeat}
}

// continueTransfer sends the next frame of the transfer. After the last one it waits for the answer, and closes the
// connection at the deadline for that.
func (s *Sender) continueTransfer(now time.Time, follower *followerSession) Action {
	inFlight := follower.inFlight
	if len(inFlight.remainingFrames) > 0 {
		frame := inFlight.remainingFrames[0]
		inFlight.remainingFrames = inFlight.remainingFrames[1:]
		inFlight.acknowledgeDeadline = now.Add(AcknowledgeTimeout)
		return Action{Frame: frame, Wake: follower.nextHeartbeat}
	}
	if !now.Before(inFlight.acknowledgeDeadline) {
		return Action{Close: true}
	}
	return Action{Wake: follower.nextHeartbeat}
}

// needsVersion reports whether a follower has to get a version: it asked for a snapshot, its version in force is older
// than the latest, or its content is wrong. One that refused the latest version gets nothing until a later one exists.
func (s *Sender) needsVersion(follower *followerSession) bool {
	document := s.state.document
	if document.version <= follower.refused {
		return false
	}
	return follower.wantSnapshot || follower.inForce < document.version || follower.digest != document.digest
}

// deltaFor returns the delta from the version in force at a follower. ok is false if the follower needs a snapshot.
func (s *Sender) deltaFor(follower *followerSession) (delta preparedDelta, ok bool) {
	digest, known := s.state.history.DigestAt(follower.inForce)
	if follower.wantSnapshot || !known || digest != follower.digest {
		return preparedDelta{}, false
	}
	delta, ok = s.prepareDelta(follower.inForce)
	if !ok || delta.to <= follower.refused {
		return preparedDelta{}, false
	}
	return delta, true
}

// startDelta sends a delta and starts to wait for the answer.
func (s *Sender) startDelta(now time.Time, follower *followerSession, delta preparedDelta) Action {
	follower.nextVersion = now.Add(s.versionInterval)
	follower.inFlight = &transfer{
		version:             delta.to,
		digest:              delta.digest,
		acknowledgeDeadline: now.Add(AcknowledgeTimeout),
	}
	return Action{Frame: delta.frame, Wake: follower.nextHeartbeat}
}

// startSnapshot sends the first part of a snapshot. If the rate limit doesn't allow the snapshot now, it defers the
// follower and closes the connection.
func (s *Sender) startSnapshot(now time.Time, follower *followerSession) Action {
	snapshot := s.prepareSnapshot(follower)
	if s.limiter.Burst() < snapshot.size {
		s.limiter.SetBurstAt(now, snapshot.size) // a document larger than the burst could never be sent
	}
	if !s.limiter.AllowN(now, snapshot.size) {
		deferral := &SnapshotDeferral{After: s.deferralDelay(now, snapshot.size)}
		return Action{Frame: Encode(deferral), Close: true}
	}
	follower.inFlight = &transfer{
		version:         snapshot.version,
		digest:          snapshot.digest,
		remainingFrames: snapshot.frames,
	}
	return s.continueTransfer(now, follower)
}

// deferralDelay returns how long a follower has to wait until it reconnects for a snapshot of size bytes. Each deferred
// follower gets a time later than the one before by the time that a snapshot takes at the rate limit, up to MaxDeferral
// from now.
func (s *Sender) deferralDelay(now time.Time, size int) time.Duration {
	if s.latestDeferredUntil.Before(now) {
		s.latestDeferredUntil = now
	}
	seconds := float64(size) / float64(s.limiter.Limit())
	s.latestDeferredUntil = s.latestDeferredUntil.Add(time.Duration(seconds * float64(time.Second)))
	s.latestDeferredUntil = earlier(s.latestDeferredUntil, now.Add(MaxDeferral))
	return s.latestDeferredUntil.Sub(now)
}
