// The content of one version and its digest.

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

// Document is the content of one version: named resources with their values. Values are shared between documents, deltas
// and histories, and are never changed in place. It is not safe for concurrent use.
type Document struct {
	log       LogID
	version   Version
	digest    Digest
	resources map[Resource][]byte
	size      int // bytes of names and values
}

// NewDocument gives the empty document, version 0 of a log. Where log is empty, the document belongs to none yet and
// takes the log of the first delta that is applied.
func NewDocument(log LogID) *Document {
	return &Document{log: log, resources: map[Resource][]byte{}}
}

// Log is the log that the document's version counts in; empty where it belongs to none yet.
func (d *Document) Log() LogID { return d.log }

// Version is the version of the content.
func (d *Document) Version() Version { return d.version }

// Digest identifies the content. It is kept up to date by each change, so asking costs nothing.
func (d *Document) Digest() Digest { return d.digest }

// Len is the number of resources.
func (d *Document) Len() int { return len(d.resources) }

// Bytes is the number of bytes of all names and values.
func (d *Document) Bytes() int { return d.size }

// Get gives the value of a resource, which must not be changed.
func (d *Document) Get(resource Resource) (value []byte, found bool) {
	value, found = d.resources[resource]
	return value, found
}

// All iterates over the resources in the order of their names.
func (d *Document) All() iter.Seq2[Resource, []byte] {
	return func(yield func(Resource, []byte) bool) {
		for _, resource := range slices.Sorted(maps.Keys(d.resources)) {
			if !yield(resource, d.resources[resource]) {
				return
			}
		}
	}
}

// Changes gives the whole content as sorted changes from the empty document.
func (d *Document) Changes() []Change {
	changes := make([]Change, 0, len(d.resources))
	for resource, value := range d.All() {
		changes = append(changes, Change{resource, value})
	}
	return changes
}

// Clone copies the document. It costs as much as the document has resources; values are shared.
func (d *Document) Clone() *Document {
	clone := *d
	clone.resources = maps.Clone(d.resources)
	return &clone
}

// Diff gives the sorted changes that lead from the document to the whole content wanted. An empty value there counts as no
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

// Check tells whether Apply would succeed and changes nothing. Its cost goes with the delta, not with the document.
func (d *Document) Check(delta *Delta) error {
	_, err := d.effect(delta)
	return err
}

// Apply leads the document to a later version. The error is a *WrongLogError, *WrongFromError, *NotIncreasingError,
// *MalformedError or *DigestError, and then nothing has changed. Its cost goes with the delta, not with the document.
func (d *Document) Apply(delta *Delta) error {
	after, err := d.effect(delta)
	if err != nil {
		return err
	}
	for _, change := range delta.Changes {
		if change.Removed() {
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

// totals are what a document keeps about all of its resources.
type totals struct {
	digest Digest
	size   int
	count  int
}

// effect gives the totals that a delta leads to, or why it can't be applied.
func (d *Document) effect(delta *Delta) (totals, error) {
	if err := d.checkPosition(delta); err != nil {
		return totals{}, err
	}
	if err := checkChanges(delta.Changes); err != nil {
		return totals{}, err
	}
	after := d.totalsAfter(delta.Changes)
	if err := after.check(); err != nil {
		return totals{}, err
	}
	if after.digest != delta.Digest {
		return totals{}, &DigestError{Version: delta.To, Want: delta.Digest, Got: after.digest}
	}
	return after, nil
}

func (d *Document) checkPosition(delta *Delta) error {
	if err := checkLog(delta.Log); err != nil {
		return err
	}
	if d.log != "" && d.log != delta.Log {
		return &WrongLogError{Current: d.log, Got: delta.Log}
	}
	if d.version != delta.From {
		return &WrongFromError{Current: d.version, From: delta.From}
	}
	if delta.To <= delta.From {
		return &NotIncreasingError{From: delta.From, To: delta.To}
	}
	return nil
}

func (d *Document) totalsAfter(changes []Change) totals {
	after := totals{digest: d.digest, size: d.size, count: len(d.resources)}
	for i := range changes {
		change := &changes[i]
		if old, found := d.resources[change.Resource]; found {
			after.digest.toggle(change.Resource, old)
			after.size -= len(change.Resource) + len(old)
			after.count--
		}
		if !change.Removed() {
			after.digest.toggle(change.Resource, change.Value)
			after.size += change.size()
			after.count++
		}
	}
	return after
}

func (t *totals) check() error {
	if t.size > MaxDocumentBytes || t.count > MaxDocumentResources {
		return &MalformedError{Reason: "the document would be too large"}
	}
	return nil
}

// previous gives, for each change, the value that its resource has now; empty where it has none.
func (d *Document) previous(changes []Change) []Change {
	previous := make([]Change, len(changes))
	for i, change := range changes {
		previous[i] = Change{change.Resource, d.resources[change.Resource]}
	}
	return previous
}

// toggle adds a resource to the digest, or takes it out again. The exclusive or tells apart what faults produce, which is
// what it is for; it doesn't withstand somebody who chooses values to make two documents agree.
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
