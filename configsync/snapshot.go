package configsync

// maxChangeOverheadBytes is the largest number of bytes that CBOR adds to the name and the value of one change.
const maxChangeOverheadBytes = 16

// SplitSnapshot splits a document into the parts of its snapshot. A part has at most MaxSnapshotPartChanges changes and
// at most TargetSnapshotPartBytes of encoded changes, unless it is a single longer change. The empty document yields
// one empty part. The cost is proportional to the number of resources.
func SplitSnapshot(document *Document) []*SnapshotPart {
	var groups [][]Change
	var group []Change
	size := 0
	for _, change := range document.Changes() {
		added := change.size() + maxChangeOverheadBytes
		if len(group) > 0 && size+added > TargetSnapshotPartBytes || len(group) == MaxSnapshotPartChanges {
			groups = append(groups, group)
			group = nil
			size = 0
		}
		group = append(group, change)
		size += added
	}
	groups = append(groups, group)

	parts := make([]*SnapshotPart, len(groups))
	for i, changes := range groups {
		parts[i] = &SnapshotPart{
			Log:       document.Log(),
			Version:   document.Version(),
			Digest:    document.Digest(),
			Index:     i,
			PartCount: len(groups),
			Changes:   changes,
		}
	}
	return parts
}

// SnapshotAssembler builds a document from the parts of one snapshot. The zero value is ready for the first part. It is
// not safe for concurrent use.
type SnapshotAssembler struct {
	first     *SnapshotPart // nil: none added yet
	nextIndex int           // index of the part that has to come next
	size      int           // bytes of names and values added so far
	changes   []Change
}

// Add adds the next part. It returns the document once the last part is added, and nil before. The error is a
// *MalformedError or a *DigestMismatchError, after which the SnapshotAssembler can't be used any more.
func (a *SnapshotAssembler) Add(part *SnapshotPart) (*Document, error) {
	if a.first == nil {
		a.first = part
	}
	if err := a.checkPart(part); err != nil {
		return nil, err
	}
	a.nextIndex++
	a.size += changesSize(part.Changes)
	a.changes = append(a.changes, part.Changes...)
	if a.size > MaxDocumentBytes || len(a.changes) > MaxDocumentResources {
		return nil, &MalformedError{Reason: "the document would exceed the limit for its size or its number of resources"}
	}
	if a.nextIndex < part.PartCount {
		return nil, nil
	}
	return buildDocument(part.Log, part.Version, part.Digest, a.changes)
}

// checkPart returns a *MalformedError unless a part is valid and the next one of the same snapshot.
func (a *SnapshotAssembler) checkPart(part *SnapshotPart) error {
	if err := part.check(); err != nil {
		return err
	}
	first := a.first
	if part.Log != first.Log || part.Version != first.Version || part.Digest != first.Digest ||
		part.PartCount != first.PartCount {
		return &MalformedError{Reason: "snapshot part belongs to another snapshot"}
	}
	if part.Index != a.nextIndex {
		return &MalformedError{Reason: "snapshot part out of order"}
	}
	return nil
}

// buildDocument returns the document with the given content and checks its digest. The changes have to be sorted.
func buildDocument(log LogID, version Version, digest Digest, changes []Change) (*Document, error) {
	if err := checkOptionalLogID(log); err != nil {
		return nil, err
	}
	document := NewDocument(log)
	if version == 0 && len(changes) == 0 && digest == (Digest{}) {
		return document, nil
	}
	delta := &Delta{Log: log, From: 0, To: version, Changes: changes, Digest: digest}
	if err := document.Apply(delta); err != nil {
		return nil, err
	}
	return document, nil
}
