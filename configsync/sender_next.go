package configsync

import "time"

// Action is what the owner of the Sender has to do for a follower.
type Action struct {
	// Frame has to be written; nil: nothing. Followers share it, so it must not be changed.
	Frame []byte

	// Close means that the connection has to be closed after Frame is written, and Disconnect called.
	Close bool

	// Wake is when Next has to be called again, unless an event comes first.
	Wake time.Time
}

// Next returns what to send to a follower now.
func (s *Sender) Next(now time.Time, id ConnectionID) Action {
	follower := s.followers[id]
	if follower == nil {
		return Action{Close: true}
	}
	if s.paused {
		return s.nextWhilePaused(now, follower)
	}
	if mismatch := s.mismatch(follower); mismatch != nil {
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

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// nextWhilePaused sends a heartbeat if one is due, and nothing else.
func (s *Sender) nextWhilePaused(now time.Time, follower *followerSession) Action {
	if now.Before(follower.nextHeartbeat) {
		return Action{Wake: follower.nextHeartbeat}
	}
	return s.sendHeartbeat(now, follower)
}

// mismatch returns the message that ends the connection of a follower of another log or with a later version, or nil.
func (s *Sender) mismatch(follower *followerSession) Message {
	log := s.state.document.log
	switch {
	case follower.log != "" && log != "" && follower.log != log:
		return &LogMismatch{Log: log}
	case follower.inForce > s.state.document.version:
		return &PublisherBehind{Latest: s.state.document.version}
	}
	return nil
}

func (s *Sender) sendHeartbeat(now time.Time, follower *followerSession) Action {
	follower.nextHeartbeat = now.Add(HeartbeatInterval)
	heartbeat := &Heartbeat{}
	if !s.paused {
		heartbeat.Log = s.state.document.log
		heartbeat.Latest = s.state.document.version
		heartbeat.HasQuorum = s.current
	}
	return Action{Frame: Encode(heartbeat), Wake: follower.nextHeartbeat}
}

// continueTransfer sends the next part of a snapshot, or waits for the acknowledgement.
func (s *Sender) continueTransfer(now time.Time, follower *followerSession) Action {
	inFlight := follower.inFlight
	if len(inFlight.parts) > 0 {
		frame := inFlight.parts[0]
		inFlight.parts = inFlight.parts[1:]
		inFlight.deadline = now.Add(AcknowledgeTimeout)
		return Action{Frame: frame, Wake: follower.nextHeartbeat}
	}
	if !now.Before(inFlight.deadline) {
		return Action{Close: true}
	}
	return Action{Wake: follower.nextHeartbeat}
}

// needsVersion reports whether a version has to be sent: a follower that refused the latest one waits for a later one.
func (s *Sender) needsVersion(follower *followerSession) bool {
	document := s.state.document
	if document.version <= follower.refused {
		return false
	}
	return follower.wantSnapshot || follower.inForce < document.version || follower.digest != document.digest
}

// deltaFor returns the delta from the version in force at a follower. ok is false where the follower needs a snapshot.
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

func (s *Sender) startDelta(now time.Time, follower *followerSession, delta preparedDelta) Action {
	follower.nextVersion = now.Add(s.interval)
	follower.inFlight = &transfer{
		version:  delta.to,
		digest:   delta.digest,
		deadline: now.Add(AcknowledgeTimeout),
	}
	return Action{Frame: delta.frame, Wake: follower.nextHeartbeat}
}

// startSnapshot sends the first part of a snapshot, or defers the follower while the rate limit is used up.
func (s *Sender) startSnapshot(now time.Time, follower *followerSession) Action {
	snapshot := s.prepareSnapshot(follower)
	if s.limiter.Burst() < snapshot.size {
		s.limiter.SetBurstAt(now, snapshot.size) // a document beyond the burst would never be sent
	}
	if !s.limiter.AllowN(now, snapshot.size) {
		deferral := &SnapshotDeferral{After: s.deferral(now, snapshot.size)}
		return Action{Frame: Encode(deferral), Close: true}
	}
	follower.inFlight = &transfer{
		version: snapshot.version,
		digest:  snapshot.digest,
		parts:   snapshot.frames,
	}
	return s.continueTransfer(now, follower)
}

// deferral returns how long a follower has to wait for its snapshot. Each deferred follower gets a later time than
// the one before, by the time that a snapshot takes, up to MaxDeferral.
func (s *Sender) deferral(now time.Time, size int) time.Duration {
	if s.nextReturn.Before(now) {
		s.nextReturn = now
	}
	seconds := float64(size) / float64(s.limiter.Limit())
	s.nextReturn = s.nextReturn.Add(time.Duration(seconds * float64(time.Second)))
	s.nextReturn = earlier(s.nextReturn, now.Add(MaxDeferral))
	return s.nextReturn.Sub(now)
}
