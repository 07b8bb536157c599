package configsync

import (
	"bytes"
	"cmp"
	"slices"
)

// entryOverhead is the number of bytes that an entry of a history counts beside its names and values.
const entryOverhead = 128

// HistoryLimits bounds a History, which drops its oldest deltas first.
type HistoryLimits struct {
	Deltas int // number of deltas
	Bytes  int // names, new values and previous values
}

// History keeps the most recent deltas of a log with the values that they replaced. It is not safe for concurrent use.
type History struct {
	limits  HistoryLimits
	oldest  Version // the earliest version that a delta starts from
	digest  Digest  // of the document at oldest
	latest  Version
	entries []historyEntry
	size    int
}

// historyEntry is one delta with the previous value of each changed resource, empty where there was none.
type historyEntry struct {
	Delta    Delta    `cbor:"1,keyasint"`
	Previous []Change `cbor:"2,keyasint"`
}

// NewHistory returns a history without deltas that starts at the version of a document.
func NewHistory(limits HistoryLimits, start *Document) *History {
	return &History{
		limits: limits,
		oldest: start.Version(),
		digest: start.Digest(),
		latest: start.Version(),
	}
}

// Oldest returns the earliest version that Since and ContentAt know.
func (h *History) Oldest() Version { return h.oldest }

// Latest returns the version that the latest delta leads to.
func (h *History) Latest() Version { return h.latest }

// DigestAt returns the digest of the document at a version. ok is false where the history doesn't reach it.
func (h *History) DigestAt(version Version) (digest Digest, ok bool) {
	if version == h.oldest {
		return h.digest, true
	}
	index, found := slices.BinarySearchFunc(h.entries, version, func(entry historyEntry, version Version) int {
		return cmp.Compare(entry.Delta.To, version)
	})
	if !found {
		return Digest{}, false
	}
	return h.entries[index].Delta.Digest, true
}

// append adds the delta that was just applied to the document.
func (h *History) append(delta *Delta, previous []Change) error {
	if delta.From != h.latest {
		return &VersionMismatchError{Current: h.latest, From: delta.From}
	}
	entry := historyEntry{Delta: *delta, Previous: previous}
	h.entries = append(h.entries, entry)
	h.size += entry.size()
	h.latest = delta.To
	for len(h.entries) > h.limits.Deltas || h.size > h.limits.Bytes {
		h.dropOldest()
	}
	return nil
}

func (h *History) dropOldest() {
	first := &h.entries[0]
	h.size -= first.size()
	h.oldest = first.Delta.To
	h.digest = first.Delta.Digest
	*first = historyEntry{} // releases its values
	h.entries = h.entries[1:]
}

func (e *historyEntry) size() int {
	return entryOverhead + changesSize(e.Delta.Changes) + changesSize(e.Previous)
}

// DeltaSince merges all deltas after a version into one: each resource has its latest value, and one whose value is the
// same as at the version is left out. ok is false where there is no later version or the history doesn't reach back
// to it.
func (h *History) DeltaSince(version Version) (delta Delta, ok bool) {
	entries, _ := h.after(version)
	if len(entries) == 0 {
		return Delta{}, false
	}
	return merge(entries).delta(version, &entries[len(entries)-1].Delta), true
}

// BoundedDeltaSince merges as many deltas after a version as the bounds of a delta on the wire allow, and at least one. ok is
// false where Since has none, or where the first delta alone exceeds the bounds.
func (h *History) BoundedDeltaSince(version Version) (delta Delta, ok bool) {
	entries, _ := h.after(version)
	end := 0
	merger := newMerger()
	for i := range entries {
		merger.add(&entries[i])
		if merger.size > MaxDeltaBytes || len(merger.last) > MaxDeltaChanges {
			merger = merge(entries[:end])
			break
		}
		end++
	}
	if end == 0 {
		return Delta{}, false
	}
	return merger.delta(version, &entries[end-1].Delta), true
}

func fitsWire(changes []Change) bool {
	return len(changes) <= MaxDeltaChanges && changesSize(changes) <= MaxDeltaBytes
}

// RollbackChanges returns the sorted changes from the latest content back to the content of a version, for a rollback by a
// new version. ok is false where the history doesn't reach back to it.
func (h *History) RollbackChanges(version Version) (changes []Change, ok bool) {
	entries, ok := h.after(version)
	if !ok {
		return nil, false
	}
	return merge(entries).undo(), true
}

// after returns the entries from a version on.
func (h *History) after(version Version) (entries []historyEntry, ok bool) {
	if version == h.latest {
		return nil, true
	}
	index, found := slices.BinarySearchFunc(h.entries, version, func(entry historyEntry, version Version) int {
		return cmp.Compare(entry.Delta.From, version)
	})
	if !found {
		return nil, false
	}
	return h.entries[index:], true
}

// merger collects the value of each resource before the first delta added and after the last one; empty: absent.
type merger struct {
	first map[Resource][]byte
	last  map[Resource][]byte
	size  int // bytes of the names and values in last
}

func newMerger() *merger {
	return &merger{first: map[Resource][]byte{}, last: map[Resource][]byte{}}
}

func merge(entries []historyEntry) *merger {
	merger := newMerger()
	for i := range entries {
		merger.add(&entries[i])
	}
	return merger
}

func (m *merger) add(entry *historyEntry) {
	for i, change := range entry.Delta.Changes {
		if old, found := m.last[change.Resource]; found {
			m.size -= len(change.Resource) + len(old)
		} else {
			m.first[change.Resource] = entry.Previous[i].Value
		}
		m.last[change.Resource] = change.Value
		m.size += change.size()
	}
}

// delta returns the merged delta from a version to the one that the last delta leads to.
func (m *merger) delta(from Version, last *Delta) Delta {
	changes := netChanges(m.first, m.last)
	return Delta{Log: last.Log, From: from, To: last.To, Changes: changes, Digest: last.Digest}
}

// undo returns the changes from the values after the last delta to those before the first one.
func (m *merger) undo() []Change { return netChanges(m.last, m.first) }

// netChanges returns the sorted changes between two states of the same resources.
func netChanges(before, after map[Resource][]byte) []Change {
	changes := []Change{}
	for resource, value := range after {
		if !bytes.Equal(before[resource], value) {
			changes = append(changes, Change{resource, value})
		}
	}
	sortChanges(changes)
	return changes
}
