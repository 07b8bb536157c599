package configsync

import (
	"bytes"
	"cmp"
	"slices"
)

// entryOverheadBytes is what each entry of a history counts towards HistoryLimits.Bytes besides its names and values.
const entryOverheadBytes = 128

// HistoryLimits bounds a History. When it exceeds either limit, it drops its oldest deltas.
type HistoryLimits struct {
	Deltas int // maximum number of deltas
	Bytes  int // maximum size of names, new values and previous values, with the overhead of each delta
}

// History keeps the most recent deltas of a log, together with the values that they replaced, to serve deltas and
// rollbacks. It is not safe for concurrent use.
type History struct {
	limits       HistoryLimits
	oldest       Version // version from which the oldest delta starts
	oldestDigest Digest  // of the document at version oldest
	latest       Version
	entries      []historyEntry
	size         int // size of all entries together, in bytes
}

// historyEntry is one delta with the previous value of each changed resource, in the same order. The value is empty if
// the resource was absent.
type historyEntry struct {
	Delta    Delta    `cbor:"1,keyasint"`
	Previous []Change `cbor:"2,keyasint"`
}

// NewHistory returns a history without deltas. Its oldest and latest version is that of the document start.
func NewHistory(limits HistoryLimits, start *Document) *History {
	return &History{
		limits:       limits,
		oldest:       start.Version(),
		oldestDigest: start.Digest(),
		latest:       start.Version(),
	}
}

// Oldest returns the earliest version that DeltaSince and RollbackChanges accept.
func (h *History) Oldest() Version { return h.oldest }

// Latest returns the version that the latest delta leads to, which is Oldest without any delta.
func (h *History) Latest() Version { return h.latest }

// DigestAt returns the digest of the document at a version. ok is false if the version is not in the history.
func (h *History) DigestAt(version Version) (digest Digest, ok bool) {
	if version == h.oldest {
		return h.oldestDigest, true
	}
	index, found := slices.BinarySearchFunc(h.entries, version, func(entry historyEntry, version Version) int {
		return cmp.Compare(entry.Delta.To, version)
	})
	if !found {
		return Digest{}, false
	}
	return h.entries[index].Delta.Digest, true
}

// append adds a delta that was just applied to the document and drops old ones beyond the limits. previous holds the
// values that the delta replaced. The error is a *VersionMismatchError if the delta doesn't start from the latest
// version.
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
	h.oldestDigest = first.Delta.Digest
	*first = historyEntry{} // lets the garbage collector free its values
	h.entries = h.entries[1:]
}

func (e *historyEntry) size() int {
	return entryOverheadBytes + changesSize(e.Delta.Changes) + changesSize(e.Previous)
}

// DeltaSince merges all deltas after a version into one, in which each resource has its latest value. Resources whose
// value is the same as at that version are left out. ok is false if there is no later version, or if the history
// doesn't reach back to the given one.
func (h *History) DeltaSince(version Version) (delta Delta, ok bool) {
	entries, _ := h.entriesAfter(version)
	if len(entries) == 0 {
		return Delta{}, false
	}
	return mergeEntries(entries).delta(version, &entries[len(entries)-1].Delta), true
}

// BoundedDeltaSince merges as many deltas after a version, oldest first, as MaxDeltaBytes and MaxDeltaChanges allow, so
// that the result can be sent. ok is false if DeltaSince has none, or if the first delta alone exceeds the limits.
func (h *History) BoundedDeltaSince(version Version) (delta Delta, ok bool) {
	entries, _ := h.entriesAfter(version)
	end := 0
	merger := newDeltaMerger()
	for i := range entries {
		merger.add(&entries[i])
		if merger.size > MaxDeltaBytes || len(merger.after) > MaxDeltaChanges {
			merger = mergeEntries(entries[:end])
			break
		}
		end++
	}
	if end == 0 {
		return Delta{}, false
	}
	return merger.delta(version, &entries[end-1].Delta), true
}

// fitsDeltaLimits reports whether a delta with these changes may be sent.
func fitsDeltaLimits(changes []Change) bool {
	return len(changes) <= MaxDeltaChanges && changesSize(changes) <= MaxDeltaBytes
}

// RollbackChanges returns the sorted changes that lead from the latest content back to the content of a version.
// Publishing them as a new version rolls the configuration back. ok is false if the history doesn't reach back to that
// version.
func (h *History) RollbackChanges(version Version) (changes []Change, ok bool) {
	entries, ok := h.entriesAfter(version)
	if !ok {
		return nil, false
	}
	return mergeEntries(entries).rollback(), true
}

// entriesAfter returns the entries whose deltas follow a version, oldest first. ok is false if the history doesn't
// reach back to the version.
func (h *History) entriesAfter(version Version) (entries []historyEntry, ok bool) {
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

// deltaMerger merges consecutive deltas. It collects the values of the changed resources before the first delta and
// after the last one. An empty value means that the resource is absent.
type deltaMerger struct {
	before map[Resource][]byte
	after  map[Resource][]byte
	size   int // bytes of the names and values in after
}

func newDeltaMerger() *deltaMerger {
	return &deltaMerger{before: map[Resource][]byte{}, after: map[Resource][]byte{}}
}

// mergeEntries returns a deltaMerger to which the deltas of consecutive entries are added.
func mergeEntries(entries []historyEntry) *deltaMerger {
	merger := newDeltaMerger()
	for i := range entries {
		merger.add(&entries[i])
	}
	return merger
}

// add adds the delta of the next entry.
func (m *deltaMerger) add(entry *historyEntry) {
	for i, change := range entry.Delta.Changes {
		if old, found := m.after[change.Resource]; found {
			m.size -= len(change.Resource) + len(old)
		} else {
			m.before[change.Resource] = entry.Previous[i].Value
		}
		m.after[change.Resource] = change.Value
		m.size += change.size()
	}
}

// delta returns the merged delta. from is the version that the first delta starts from; last is the last delta added.
func (m *deltaMerger) delta(from Version, last *Delta) Delta {
	changes := netChanges(m.before, m.after)
	return Delta{Log: last.Log, From: from, To: last.To, Changes: changes, Digest: last.Digest}
}

// rollback returns the changes that restore the values from before the first delta.
func (m *deltaMerger) rollback() []Change { return netChanges(m.after, m.before) }

// netChanges returns the sorted changes that lead from one state to another. Both have the same resources as keys.
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
