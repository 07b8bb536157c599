package configsync

// encodedChangeBytes bounds the bytes that CBOR adds to the name and the value of one change.
const encodedChangeBytes = 16

// SplitSnapshot returns the parts of a document, each with at most PartBytes of encoded changes, or one value. Its
// cost is proportional to the number of resources.
func SplitSnapshot(document *Document) []*SnapshotPart {
	var groups [][]Change
	var group []Change
	size := 0
	for _, change := range document.Changes() {
		added := change.size() + encodedChangeBytes
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

// SnapshotAssembler joins the parts of one snapshot. The zero value is ready for the first part.
type SnapshotAssembler struct {
	first   *SnapshotPart
	next    int // index of the next part
	size    int // bytes of names and values so far
	changes []Change
}

// Add adds the next part. It returns the document after the last part, and nil before. The error is a *MalformedError
// or a *DigestError; the Assembler can't be used after an error.
func (a *SnapshotAssembler) Add(part *SnapshotPart) (*Document, error) {
	if a.first == nil {
		a.first = part
	}
	if err := a.check(part); err != nil {
		return nil, err
	}
	a.next++
	a.size += changesSize(part.Changes)
	a.changes = append(a.changes, part.Changes...)
	if a.size > MaxDocumentBytes || len(a.changes) > MaxDocumentResources {
		return nil, &MalformedError{Reason: "the document would be too large"}
	}
	if a.next < part.PartCount {
		return nil, nil
	}
	return buildDocument(part.Log, part.Version, part.Digest, a.changes)
}

func (a *SnapshotAssembler) check(part *SnapshotPart) error {
	if err := part.check(); err != nil {
		return err
	}
	first := a.first
	if part.Log != first.Log || part.Version != first.Version || part.Digest != first.Digest || part.PartCount != first.PartCount {
		return &MalformedError{Reason: "a part of another snapshot"}
	}
	if part.Index != a.next {
		return &MalformedError{Reason: "a part of a snapshot out of order"}
	}
	return nil
}

// buildDocument returns the document with the given content, which has to be sorted.
func buildDocument(log LogID, version Version, digest Digest, changes []Change) (*Document, error) {
	if err := checkOptionalLog(log); err != nil {
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
