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

// Document is the content of one version: named resources with their values. Values are shared between documents,
// deltas and histories, and are never changed in place. It is not safe for concurrent use.
type Document struct {
	log       LogID
	version   Version
	digest    Digest
	resources map[Resource][]byte
	size      int // bytes of names and values
}

// NewDocument returns the empty document, version 0 of a log. If log is empty, the document belongs to no log yet, and
// belongs to that of the first delta that is applied.
func NewDocument(log LogID) *Document {
	return &Document{log: log, resources: map[Resource][]byte{}}
}

// Log returns the log of the document's version, empty where it belongs to none yet.
func (d *Document) Log() LogID { return d.log }

// Version returns the version of the content.
func (d *Document) Version() Version { return d.version }

// Digest returns the digest of the content. Apply updates it, so a call costs nothing.
func (d *Document) Digest() Digest { return d.digest }

// Len returns the number of resources.
func (d *Document) Len() int { return len(d.resources) }

// Bytes returns the number of bytes of all names and values.
func (d *Document) Bytes() int { return d.size }

// Get returns the value of a resource, which must not be changed.
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

// Changes returns the complete content as sorted changes from the empty document.
func (d *Document) Changes() []Change {
	changes := make([]Change, 0, len(d.resources))
	for resource, value := range d.All() {
		changes = append(changes, Change{resource, value})
	}
	return changes
}

// Clone returns a copy of the document that shares its values. Its cost is proportional to the number of resources.
func (d *Document) Clone() *Document {
	clone := *d
	clone.resources = maps.Clone(d.resources)
	return &clone
}

// Diff returns the sorted changes from the document to the wanted content, in which an empty value counts as no
// resource.
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

// Check returns the error that Apply would return, and changes nothing. Its cost is proportional to the delta, not to
// the document.
func (d *Document) Check(delta *Delta) error {
	_, err := d.effect(delta)
	return err
}

// Apply applies a delta to the document. The error is a *WrongLogError, *WrongFromError, *NotIncreasingError,
// *MalformedError or *DigestError, and then nothing has changed. Its cost is proportional to the delta, not to the
// document.
func (d *Document) Apply(delta *Delta) error {
	after, err := d.effect(delta)
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

// summary is what a document records about all of its resources.
type summary struct {
	digest Digest
	size   int
	count  int
}

// effect returns the summary of the document after a delta, or an error if the delta can't be applied.
func (d *Document) effect(delta *Delta) (summary, error) {
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

func (d *Document) checkPosition(delta *Delta) error {
	if err := checkLog(delta.Log); err != nil {
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
		return &MalformedError{Reason: "the document would be too large"}
	}
	return nil
}

// previous returns the present value of each resource to be changed, empty where it has none.
func (d *Document) previous(changes []Change) []Change {
	previous := make([]Change, len(changes))
	for i, change := range changes {
		previous[i] = Change{change.Resource, d.resources[change.Resource]}
	}
	return previous
}

// toggle adds a resource to the digest, or removes one that was added. The exclusive or detects faults; it doesn't
// withstand an attacker who chooses values so that two documents agree.
func (d *Digest) toggle(resource Resource, value []byte) {
	text := make([]byte, 0, 4+len(resource)+len(value))
	text = binary.BigEndian.AppendUint32(text, uint32(len(resource)))
	text = append(text, resource...)
	text = append(text, value...)
	sum := sha256.Sum256(text)
	for i := range d {
		d[i] ^= sum[i]
	}
}

func sortChanges(changes []Change) {
	slices.SortFunc(changes, func(a, b Change) int {
		return strings.Compare(string(a.Resource), string(b.Resource))
	})
}
