package configsync

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"iter"
	"maps"
	"slices"
	"strings"
)

// Document is the complete content of one version: resources with their values. Documents, deltas and histories share
// the byte slices of values, which must never be changed in place. A Document is not safe for concurrent use.
type Document struct {
	log       LogID
	version   Version
	digest    Digest
	resources map[Resource][]byte
	size      int // total bytes of names and values
}

// NewDocument returns the empty document, which is version 0 of a log. If log is empty, the document belongs to no log
// until the first delta is applied, and from then on to the log of that delta.
func NewDocument(log LogID) *Document {
	return &Document{log: log, resources: map[Resource][]byte{}}
}

// Log returns the log that the document belongs to, or "" if it belongs to none yet.
func (d *Document) Log() LogID { return d.log }

// Version returns the version number of the content within its log.
func (d *Document) Version() Version { return d.version }

// Digest returns the digest of the content. Apply keeps it up to date, so that this call computes nothing.
func (d *Document) Digest() Digest { return d.digest }

// Len returns the number of resources.
func (d *Document) Len() int { return len(d.resources) }

// Bytes returns the total size of all names and values, in bytes.
func (d *Document) Bytes() int { return d.size }

// Get returns the value of a resource. The caller must not change the value.
func (d *Document) Get(resource Resource) (value []byte, found bool) {
	value, found = d.resources[resource]
	return value, found
}

// All returns an iterator over the resources in the order of their names.
func (d *Document) All() iter.Seq2[Resource, []byte] {
	return func(yield func(Resource, []byte) bool) {
		for _, resource := range slices.Sorted(maps.Keys(d.resources)) {
			if !yield(resource, d.resources[resource]) {
				return
			}
		}
	}
}

// Changes returns the complete content as the sorted changes that build it from the empty document.
func (d *Document) Changes() []Change {
	changes := make([]Change, 0, len(d.resources))
	for resource, value := range d.All() {
		changes = append(changes, Change{resource, value})
	}
	return changes
}

// Clone returns an independent copy of the document that shares the values. Its cost is proportional to the number of
// resources.
func (d *Document) Clone() *Document {
	clone := *d
	clone.resources = maps.Clone(d.resources)
	return &clone
}

// Diff returns the sorted changes that lead from the document to the wanted content. An empty value in wanted means
// that the resource is absent.
func (d *Document) Diff(wanted map[Resource][]byte) []Change {
	var changes []Change
	for resource, value := range wanted {
		if !bytes.Equal(d.resources[resource], value) {
			changes = append(changes, Change{resource, value})
		}
	}
	for resource := range d.resources {
		if _, found := wanted[resource]; !found {
			changes = append(changes, Change{Resource: resource})
		}
	}
	sortChanges(changes)
	return changes
}

// Check returns the error that Apply would return for a delta, and changes nothing. Its cost is proportional to the
// size of the delta, not of the document.
func (d *Document) Check(delta *Delta) error {
	_, err := d.checkDelta(delta)
	return err
}

// Apply applies a delta to the document. If it fails, the document is unchanged and the error is a *LogMismatchError,
// *VersionMismatchError, *VersionNotIncreasingError, *MalformedError or *DigestMismatchError. Its cost is proportional
// to the size of the delta, not of the document.
func (d *Document) Apply(delta *Delta) error {
	after, err := d.checkDelta(delta)
	if err != nil {
		return err
	}
	for _, change := range delta.Changes {
		if change.IsRemoval() {
			delete(d.resources, change.Resource)
		} else {
			d.resources[change.Resource] = change.Value
		}
	}
	d.log = delta.Log
	d.version = delta.To
	d.digest = after.digest
	d.size = after.size
	return nil
}

// summary holds the digest, the total size of names and values in bytes, and the number of a document's resources.
type summary struct {
	digest Digest
	size   int
	count  int
}

// checkDelta returns the summary that the document would have after a delta, or an error if the delta can't be applied.
func (d *Document) checkDelta(delta *Delta) (summary, error) {
	if err := d.checkPosition(delta); err != nil {
		return summary{}, err
	}
	if err := checkChanges(delta.Changes); err != nil {
		return summary{}, err
	}
	after := d.summaryAfter(delta.Changes)
	if err := after.check(); err != nil {
		return summary{}, err
	}
	if after.digest != delta.Digest {
		return summary{}, &DigestMismatchError{Version: delta.To, Want: delta.Digest, Got: after.digest}
	}
	return after, nil
}

// checkPosition returns an error unless a delta belongs to the document's log and leads from its version to a later
// one.
func (d *Document) checkPosition(delta *Delta) error {
	if err := checkLogID(delta.Log); err != nil {
		return err
	}
	if d.log != "" && d.log != delta.Log {
		return &LogMismatchError{Current: d.log, Got: delta.Log}
	}
	if d.version != delta.From {
		return &VersionMismatchError{Current: d.version, From: delta.From}
	}
	if delta.To <= delta.From {
		return &VersionNotIncreasingError{From: delta.From, To: delta.To}
	}
	return nil
}

// summaryAfter returns the summary that the document would have after changes, at a cost proportional to the changes.
func (d *Document) summaryAfter(changes []Change) summary {
	after := summary{digest: d.digest, size: d.size, count: len(d.resources)}
	for i := range changes {
		change := &changes[i]
		if old, found := d.resources[change.Resource]; found {
			after.digest.toggle(change.Resource, old)
			after.size -= len(change.Resource) + len(old)
			after.count--
		}
		if !change.IsRemoval() {
			after.digest.toggle(change.Resource, change.Value)
			after.size += change.size()
			after.count++
		}
	}
	return after
}

func (s *summary) check() error {
	if s.size > MaxDocumentBytes || s.count > MaxDocumentResources {
		return &MalformedError{Reason: "the document would exceed the limit for its size or its number of resources"}
	}
	return nil
}

// previousValues returns the values that changes would replace, in the same order. The value of an absent resource is
// empty.
func (d *Document) previousValues(changes []Change) []Change {
	previous := make([]Change, len(changes))
	for i, change := range changes {
		previous[i] = Change{change.Resource, d.resources[change.Resource]}
	}
	return previous
}

// toggle adds a resource to the digest, or removes it if it was added before: the digest is the exclusive or of the
// SHA-256 hashes of all resources. It detects faults, but doesn't withstand an attacker who can choose values so that
// two documents have the same digest.
func (d *Digest) toggle(resource Resource, value []byte) {
	input := make([]byte, 0, 4+len(resource)+len(value))
	input = binary.BigEndian.AppendUint32(input, uint32(len(resource)))
	input = append(input, resource...)
	input = append(input, value...)
	sum := sha256.Sum256(input)
	for i := range d {
		d[i] ^= sum[i]
	}
}

func sortChanges(changes []Change) {
	slices.SortFunc(changes, func(a, b Change) int {
		return strings.Compare(string(a.Resource), string(b.Resource))
	})
}
