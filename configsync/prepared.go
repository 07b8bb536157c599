package configsync

// preparedSnapshot has the frames of a document, which are shared by all followers that get it.
type preparedSnapshot struct {
	version Version
	digest  Digest
	frames  [][]byte
	size    int // bytes of all frames
}

// deltaCache has the deltas to the latest version, which are shared by all followers with the same version in force.
type deltaCache struct {
	latest Version
	byFrom map[Version]preparedDelta // by the version that the delta starts from
	size   int                       // bytes of all frames
}

// maxCachedBytes bounds the frames of a deltaCache. A delta beyond it is encoded for each follower.
const maxCachedBytes = 16 << 20

// preparedDelta is the frame of a delta. A nil frame records that there is none, since the search for one is as costly.
type preparedDelta struct {
	to     Version
	digest Digest
	frame  []byte
}

// prepareDelta returns a delta that starts from a version. ok is false where there is none.
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

func (c *deltaCache) add(from Version, prepared preparedDelta) {
	if c.size+len(prepared.frame) > maxCachedBytes {
		return
	}
	c.byFrom[from] = prepared
	c.size += len(prepared.frame)
}

// resetIfOutdated empties the cache if there is another latest version.
func (c *deltaCache) resetIfOutdated(latest Version) {
	if c.byFrom != nil && c.latest == latest {
		return
	}
	c.latest = latest
	c.byFrom = map[Version]preparedDelta{}
	c.size = 0
}

// prepareSnapshot returns the latest prepared snapshot as long as one delta leads from it to the latest version, so
// that the document isn't encoded again for each version. Otherwise it prepares a new one.
func (s *Sender) prepareSnapshot(follower *followerSession) *preparedSnapshot {
	if s.snapshot == nil || !s.isUsable(s.snapshot, follower) {
		s.snapshot = newPreparedSnapshot(s.state.document)
	}
	return s.snapshot
}

// isUsable reports whether a snapshot brings a follower to the latest version, with one delta after it at most.
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
