package configsync

import (
	"fmt"
	"testing"
)

// The parts of a snapshot stay within the limits for messages and assemble to the same document.
func TestSnapshotPartsRoundTripWithinBounds(t *testing.T) {
	document := NewDocument(testLog)
	var changes []Change
	for i := range MaxSnapshotPartChanges + 10 {
		changes = append(changes, set(Resource(fmt.Sprintf("classes/%05d", i)), "1"))
	}
	changes = append(changes, maxSizePlans("", 9)...)
	if err := document.Apply(nextDelta(document, changes...)); err != nil {
		t.Fatal(err)
	}
	parts := SplitSnapshot(document)
	if len(parts) != 8+9 { // eight with the short values, and one for each long value
		t.Errorf("the snapshot has %d parts, want 17", len(parts))
	}
	assembler := &SnapshotAssembler{}
	for i, part := range parts {
		frame := Encode(part)
		message, err := Decode(frame)
		if err != nil || len(frame) > TargetSnapshotPartBytes+200 && len(part.Changes) > 1 ||
			len(frame) > MaxSnapshotPartBytes {
			t.Fatal(len(frame), err)
		}
		got, err := assembler.Add(message.(*SnapshotPart))
		if err != nil || (got != nil) != (i == len(parts)-1) {
			t.Fatal(i, got, err)
		}
		if got != nil && formatDocument(got) != formatDocument(document) {
			t.Error("the assembled document differs")
		}
	}
	empty := newTestDocument(t)
	if got, err := (&SnapshotAssembler{}).Add(SplitSnapshot(empty)[0]); err != nil ||
		formatDocument(got) != formatDocument(empty) {
		t.Error(err)
	}
}

// The assembler rejects parts that don't belong together, parts out of order and snapshots beyond the limits.
func TestAssemblerRefusesWrongParts(t *testing.T) {
	for name, corrupt := range map[string]func(parts []*SnapshotPart){
		"not the first": func(parts []*SnapshotPart) { parts[0].Index = 1 },
		"repeated":      func(parts []*SnapshotPart) { parts[1].Index = 0 },
		"left out":      func(parts []*SnapshotPart) { parts[1].Index = 2 },
		"other log":     func(parts []*SnapshotPart) { parts[1].Log = "log-b" },
		"other version": func(parts []*SnapshotPart) { parts[1].Version = 2 },
		"other digest":  func(parts []*SnapshotPart) { parts[1].Digest[0]++ },
		"other count":   func(parts []*SnapshotPart) { parts[1].PartCount = 4 },
		"order of parts": func(parts []*SnapshotPart) {
			parts[0].Changes, parts[1].Changes = parts[1].Changes, parts[0].Changes
		},
		"content":       func(parts []*SnapshotPart) { parts[1].Changes[0].Value = []byte("9") },
		"negative part": func(parts []*SnapshotPart) { parts[0].Index = -1 },
	} {
		document := newTestDocument(t, set("limits", "1"), set("plans/a", "2"), set("plans/b", "3"))
		parts := SplitSnapshot(document)
		parts = []*SnapshotPart{parts[0], new(*parts[0]), new(*parts[0])}
		all := parts[0].Changes
		for i, part := range parts {
			part.Index = i
			part.PartCount = len(parts)
			part.Changes = all[i : i+1]
		}
		corrupt(parts)
		assembler := &SnapshotAssembler{}
		var err error
		for _, part := range parts {
			_, err = assembler.Add(part)
			if err != nil {
				break
			}
		}
		if err == nil {
			t.Errorf("%s: the parts were accepted", name)
		}
	}
	for _, full := range []*SnapshotAssembler{{size: MaxDocumentBytes}, {changes: make([]Change, MaxDocumentResources)}} {
		part := &SnapshotPart{Log: testLog, Version: 1, PartCount: 2, Changes: []Change{set("limits", "1")}}
		if _, err := full.Add(part); err == nil {
			t.Error("a snapshot beyond the document limits was accepted")
		}
	}
	wide := maxSizePlans("", 5)
	document := newTestDocument(t, wide...)
	part := &SnapshotPart{Log: testLog, Version: 1, Digest: document.Digest(), PartCount: 1, Changes: wide}
	if _, err := (&SnapshotAssembler{}).Add(part); err == nil {
		t.Error("a part beyond the size limit was accepted")
	}
}
