package configsync

// preparedSnapshot holds the encoded frames of a snapshot. All followers that get the snapshot share them.
type preparedSnapshot struct {
	version Version
	digest  Digest
	frames  [][]byte
	size    int // total bytes of the frames
}

// deltaCache holds encoded deltas towards the latest version. All followers with the same version in force share one.
type deltaCache struct {
	latest Version                   // the version that the cache is valid for
	byFrom map[Version]preparedDelta // by the version that a delta starts from
	size   int                       // total bytes of the frames
}

// maxDeltaCacheBytes bounds the total bytes of the frames in a deltaCache. A delta that doesn't fit is encoded for each
// follower.
const maxDeltaCacheBytes = 16 << 20

// preparedDelta is an encoded delta. A nil frame caches the result that there is no delta, since finding that out costs
// as much as finding one.
type preparedDelta struct {
	to     Version
	digest Digest
	frame  []byte
}

// prepareDelta returns the encoded delta that starts from a version, from the cache if possible. It leads to the latest
// version, or to an earlier one if it would be too long for one message. ok is false if there is no such delta.
func (s *Sender) prepareDelta(from Version) (prepared preparedDelta, ok bool) {
	s.deltas.resetIfOutdated(s.state.document.version)
	prepared, found := s.deltas.byFrom[from]
	if found {
		return prepared, prepared.frame != nil
	}
	delta, ok := s.state.history.BoundedDeltaSince(from)
	if ok {
		prepared = preparedDelta{to: delta.To, digest: delta.Digest, frame: Encode(&delta)}
	}
	s.deltas.add(from, prepared)
	return prepared, ok
}

// add caches a delta, or its absence, unless the cache is full.
func (c *deltaCache) add(from Version, prepared preparedDelta) {
	if c.size+len(prepared.frame) > maxDeltaCacheBytes {
		return
	}
	c.byFrom[from] = prepared
	c.size += len(prepared.frame)
}

// resetIfOutdated empties the cache if it was filled for another latest version.
func (c *deltaCache) resetIfOutdated(latest Version) {
	if c.byFrom != nil && c.latest == latest {
		return
	}
	c.latest = latest
	c.byFrom = map[Version]preparedDelta{}
	c.size = 0
}

// prepareSnapshot returns the snapshot to send to a follower. It reuses the last one prepared as long as a single delta
// leads from that to the latest version, so that not every new version causes the whole document to be encoded again.
func (s *Sender) prepareSnapshot(follower *followerSession) *preparedSnapshot {
	if s.snapshot == nil || !s.isUsable(s.snapshot, follower) {
		s.snapshot = newPreparedSnapshot(s.state.document)
	}
	return s.snapshot
}

// isUsable reports whether a snapshot, followed by at most one delta, brings a follower to the latest version. It has
// to be later than the version that the follower refused. It also has to be later than the follower's version in force,
// unless it is of the latest version, which repairs wrong content.
func (s *Sender) isUsable(snapshot *preparedSnapshot, follower *followerSession) bool {
	document := s.state.document
	if snapshot.version <= follower.refused {
		return false
	}
	if snapshot.version == document.version {
		return true
	}
	if snapshot.version <= follower.inForce {
		return false
	}
	delta, ok := s.prepareDelta(snapshot.version)
	return ok && delta.to == document.version
}

// newPreparedSnapshot encodes a document as the frames of a snapshot.
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
