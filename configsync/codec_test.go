package configsync

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

var testMessages = []Message{
	&Hello{Protocol: Protocol, Member: 7, Name: "gateway-7", Incarnation: 3, Log: testLog, InForce: 5, Digest: Digest{1}, Refused: 6, WantSnapshot: true},
	&Delta{Log: testLog, From: 1, To: 3, Changes: []Change{set("limits", "1"), remove("plans/a")}, Digest: Digest{2}},
	&SnapshotPart{Log: testLog, Version: 4, Digest: Digest{3}, Part: 1, Parts: 2, Changes: []Change{set("plans/b", "2")}},
	&Heartbeat{Log: testLog, Latest: 9, Current: true},
	&Deferral{After: BackoffBase},
	&Behind{Latest: 8},
	&OtherLog{Log: testLog},
	&Acknowledge{Version: 7, Digest: Digest{4}},
	NewRefusal(6, "plans/a", "rate: not a number"),
}

func TestMessagesSurviveTheWire(t *testing.T) {
	for _, message := range testMessages {
		got, err := Decode(Encode(message))
		if err != nil || !cmp.Equal(got, message) {
			t.Errorf("%T: %v, %v", message, err, cmp.Diff(got, message))
		}
	}
}

// frameOf makes a frame of a kind and a body in hexadecimal or plain bytes.
func frameOf(k kind, body string) []byte {
	frame := binary.BigEndian.AppendUint32(nil, uint32(1+len(body)))
	return append(append(frame, byte(k)), body...)
}

func TestDecodeRefuses(t *testing.T) {
	good := Encode(&Heartbeat{Log: testLog, Latest: 9})
	var many, wide []Change
	for i := range MaxDeltaChanges + 1 {
		many = append(many, set(Resource(fmt.Sprintf("plans/%05d", i)), "1"))
	}
	for i := range 9 {
		wide = append(wide, Change{Resource(fmt.Sprintf("plans/%d", i)), make([]byte, MaxValueBytes)})
	}
	longLog := LogID(strings.Repeat("x", MaxLogBytes+1))
	for name, frame := range map[string][]byte{
		"empty":              {},
		"cut":                good[:len(good)-1],
		"longer":             append(bytes.Clone(good), 0),
		"more in the body":   frameOf(kindBehind, "\xa1\x01\x05\x00"),
		"length 0":           {0, 0, 0, 0},
		"length of another":  append([]byte{0, 0, 0, 9}, good[FrameHeaderBytes:]...),
		"unknown kind":       frameOf(99, "\xa0"),
		"no kind":            frameOf(0, "\xa0"),
		"no body":            {0, 0, 0, 1, byte(kindBehind)},
		"not CBOR":           frameOf(kindBehind, "\xff"),
		"duplicate key":      frameOf(kindBehind, "\xa2\x01\x05\x01\x06"),
		"indefinite length":  frameOf(kindBehind, "\xbf\x01\x05\xff"),
		"tag":                frameOf(kindBehind, "\xa1\x01\xc0\x05"),
		"nested":             frameOf(kindBehind, "\xa1\x02\x81\x81\x81\x81\x81\x05"),
		"many fields":        frameOf(kindBehind, "\xb1\x01\x00\x02\x00\x03\x00\x04\x00\x05\x00\x06\x00\x07\x00\x08\x00\x09\x00\x0a\x00\x0b\x00\x0c\x00\x0d\x00\x0e\x00\x0f\x00\x10\x00\x11\x00"),
		"huge array":         frameOf(kindDelta, "\xa1\x04\x9a\x7f\xff\xff\xff"),
		"many changes":       Encode(&Delta{Log: testLog, To: 1, Changes: many}),
		"wide delta":         Encode(&Delta{Log: testLog, To: 1, Changes: wide}),
		"delta of no log":    Encode(&Delta{To: 1}),
		"delta backwards":    Encode(&Delta{Log: testLog, From: 2, To: 1}),
		"delta unsorted":     Encode(&Delta{Log: testLog, To: 1, Changes: []Change{set("plans/b", "1"), set("plans/a", "1")}}),
		"long log":           Encode(&Heartbeat{Log: longLog}),
		"log of other":       Encode(&OtherLog{Log: longLog}),
		"member":             Encode(&Hello{Member: MaxMembers}),
		"negative member":    Encode(&Hello{Member: -1}),
		"long name":          Encode(&Hello{Name: strings.Repeat("x", MaxNameBytes+1)}),
		"held of no log":     Encode(&Hello{InForce: 1}),
		"refused of no log":  Encode(&Hello{Refused: 1}),
		"deferral backwards": Encode(&Deferral{After: -1}),
		"long reason":        Encode(&Refusal{Reason: strings.Repeat("x", MaxReasonBytes+1)}),
		"resource":           Encode(&Refusal{Resource: "routes/a"}),
		"part of none":       Encode(&SnapshotPart{Log: testLog, Version: 1}),
		"part beyond":        Encode(&SnapshotPart{Log: testLog, Version: 1, Part: 1, Parts: 1}),
		"negative part":      Encode(&SnapshotPart{Log: testLog, Version: 1, Part: -1, Parts: 1}),
		"many in a part":     Encode(&SnapshotPart{Log: testLog, Version: 1, Parts: 1, Changes: many}),
		"many parts":         Encode(&SnapshotPart{Log: testLog, Version: 1, Parts: MaxSnapshotParts + 1}),
		"part of version 0":  Encode(&SnapshotPart{Log: testLog, Parts: 1}),
		"part of no log":     Encode(&SnapshotPart{Version: 1, Parts: 1}),
		"wide part":          Encode(&SnapshotPart{Log: testLog, Version: 1, Parts: 1, Changes: wide[:5]}),
		"removal in a part":  Encode(&SnapshotPart{Log: testLog, Version: 1, Parts: 1, Changes: []Change{remove("limits")}}),
		"unsorted part":      Encode(&SnapshotPart{Log: testLog, Version: 1, Parts: 1, Changes: []Change{set("plans/a", "1"), set("limits", "1")}}),
	} {
		if message, err := Decode(frame); err == nil {
			t.Errorf("%s: taken as %+v", name, message)
		}
	}
	for _, size := range []uint32{0, 1, MaxFrameBytes - FrameHeaderBytes + 1, 1 << 31} {
		if _, err := FrameSize(binary.BigEndian.AppendUint32(nil, size)); err == nil {
			t.Errorf("a frame of %d bytes", size)
		}
	}
	if size, err := FrameSize(binary.BigEndian.AppendUint32(nil, MaxFrameBytes-FrameHeaderBytes)); err != nil || size+FrameHeaderBytes != MaxFrameBytes {
		t.Error(size, err)
	}
}

func TestRefusalFitsItsBounds(t *testing.T) {
	refusal := NewRefusal(6, "routes/a", "x"+strings.Repeat("ü", MaxReasonBytes)+"\xff")
	if got, err := Decode(Encode(refusal)); err != nil || !cmp.Equal(got, Message(refusal)) || refusal.Resource != "" {
		t.Error(err, refusal)
	}
	if refusal := NewRefusal(6, "", "a\xff"); refusal.Reason != "a?" {
		t.Error(refusal)
	}
}

func TestSnapshotPartsAreBoundedAndAssembled(t *testing.T) {
	document := NewDocument(testLog)
	var changes []Change
	for i := range MaxPartChanges + 10 {
		changes = append(changes, set(Resource(fmt.Sprintf("classes/%05d", i)), "1"))
	}
	for i := range 9 {
		changes = append(changes, Change{Resource(fmt.Sprintf("plans/%d", i)), make([]byte, MaxValueBytes)})
	}
	if err := document.Apply(next(document, changes...)); err != nil {
		t.Fatal(err)
	}
	parts := SplitSnapshot(document)
	if len(parts) != 8+9 { // the small ones, and each long value by itself
		t.Errorf("%d parts", len(parts))
	}
	assembler := &Assembler{}
	for i, part := range parts {
		frame := Encode(part)
		message, err := Decode(frame)
		if err != nil || len(frame) > PartBytes+200 && len(part.Changes) > 1 || len(frame) > MaxPartBytes {
			t.Fatal(len(frame), err)
		}
		got, err := assembler.Add(message.(*SnapshotPart))
		if err != nil || (got != nil) != (i == len(parts)-1) {
			t.Fatal(i, got, err)
		}
		if got != nil && describe(got) != describe(document) {
			t.Error("another document")
		}
	}
	empty := newTestDocument(t)
	if got, err := (&Assembler{}).Add(SplitSnapshot(empty)[0]); err != nil || describe(got) != describe(empty) {
		t.Error(err)
	}
}

func TestAssemblerRefuses(t *testing.T) {
	for name, spoil := range map[string]func(parts []*SnapshotPart){
		"not the first":  func(parts []*SnapshotPart) { parts[0].Part = 1 },
		"repeated":       func(parts []*SnapshotPart) { parts[1].Part = 0 },
		"left out":       func(parts []*SnapshotPart) { parts[1].Part = 2 },
		"other log":      func(parts []*SnapshotPart) { parts[1].Log = "log-b" },
		"other version":  func(parts []*SnapshotPart) { parts[1].Version = 2 },
		"other digest":   func(parts []*SnapshotPart) { parts[1].Digest[0]++ },
		"other count":    func(parts []*SnapshotPart) { parts[1].Parts = 4 },
		"order of parts": func(parts []*SnapshotPart) { parts[0].Changes, parts[1].Changes = parts[1].Changes, parts[0].Changes },
		"content":        func(parts []*SnapshotPart) { parts[1].Changes[0].Value = []byte("9") },
		"negative part":  func(parts []*SnapshotPart) { parts[0].Part = -1 },
	} {
		document := newTestDocument(t, set("limits", "1"), set("plans/a", "2"), set("plans/b", "3"))
		parts := SplitSnapshot(document)
		parts = []*SnapshotPart{parts[0], new(*parts[0]), new(*parts[0])}
		all := parts[0].Changes
		for i, part := range parts {
			part.Part, part.Parts, part.Changes = i, len(parts), all[i:i+1]
		}
		spoil(parts)
		assembler := &Assembler{}
		var err error
		for _, part := range parts {
			if _, err = assembler.Add(part); err != nil {
				break
			}
		}
		if err == nil {
			t.Errorf("%s: taken", name)
		}
	}
	for _, full := range []*Assembler{{size: MaxDocumentBytes}, {changes: make([]Change, MaxDocumentResources)}} {
		if _, err := full.Add(&SnapshotPart{Log: testLog, Version: 1, Parts: 2, Changes: []Change{set("limits", "1")}}); err == nil {
			t.Error("a snapshot of any size")
		}
	}
	var wide []Change
	for i := range 5 {
		wide = append(wide, Change{Resource(fmt.Sprintf("plans/%d", i)), make([]byte, MaxValueBytes)})
	}
	document := newTestDocument(t, wide...)
	part := &SnapshotPart{Log: testLog, Version: 1, Digest: document.Digest(), Parts: 1, Changes: wide}
	if _, err := (&Assembler{}).Add(part); err == nil {
		t.Error("a part of any size")
	}
}

// testFile gives a document of version 3, its file with two deltas appended, and where its records end.
func testFile(t testing.TB) (document *Document, file []byte, ends []int) {
	document = newTestDocument(t, set("limits", "1"), set("plans/a", "2"))
	file = EncodeFile(document)
	ends = append(ends, len(file))
	for _, change := range []Change{remove("limits"), set("plans/b", "3")} {
		delta := next(document, change)
		if err := document.Apply(delta); err != nil {
			t.Fatal(err)
		}
		file = append(file, EncodeFileDelta(delta)...)
		ends = append(ends, len(file))
	}
	return document, file, ends
}

// A file that was cut or altered anywhere gives its sound part and a typed error that tells where that ends.
func TestFile(t *testing.T) {
	document, file, ends := testFile(t)
	if got, err := DecodeFile(file); err != nil || describe(got) != describe(document) {
		t.Fatal(err)
	}
	check := func(name string, file []byte, sound int) {
		got, err := DecodeFile(file)
		var fault *FileError
		if !errors.As(err, &fault) {
			t.Fatalf("%s: %v", name, err)
		}
		records := 0
		for _, end := range ends {
			if end <= sound {
				records++
			}
		}
		wantOffset := 0
		if records > 0 {
			wantOffset = ends[records-1]
		}
		if fault.Offset != wantOffset || (got == nil) != (records == 0) || got != nil && got.Version() != Version(records) {
			t.Fatalf("%s: sound up to %d, %v", name, fault.Offset, got)
		}
	}
	for at := range file {
		altered := bytes.Clone(file)
		altered[at] ^= 0x10
		check(fmt.Sprintf("altered at %d", at), altered, at)
		if at != ends[0] && at != ends[1] {
			check(fmt.Sprintf("cut at %d", at), file[:at], at)
		}
	}
	check("a delta repeated", append(bytes.Clone(file), file[ends[1]:]...), len(file))
	check("a document appended", append(bytes.Clone(file), EncodeFile(document)...), len(file))
	check("a delta first", EncodeFileDelta(next(document, set("limits", "1"))), 0)
	asDelta := encodeRecord(recordDelta, marshal(fileDocumentOf(document)))
	check("a document that says delta", asDelta, 0)
	last := next(document, set("limits", "4"))
	check("a delta that says document", append(bytes.Clone(file), encodeRecord(recordDocument, marshal(last))...), len(file))
	for _, position := range []int{0, len(fileMagic)} { // another magic or format, with its checksum
		other := EncodeFile(document)
		other[position]++
		sum := recordSum(other, other[fileHeader:])
		copy(other[checkedHeader:], sum[:])
		check("another format", other, 0)
	}
	check("a state", NewState(testLimits).Snapshot(), 0)
	wrong := fileDocumentOf(document)
	wrong.Digest[0]++
	check("a document of another digest", encodeRecord(recordDocument, marshal(wrong)), 0)
	for _, none := range []*fileDocument{{Log: LogID(make([]byte, MaxLogBytes+1))}, {Digest: Digest{1}}, {Log: testLog, Changes: []Change{set("limits", "1")}}} {
		check("content of version 0", encodeRecord(recordDocument, marshal(none)), 0)
	}
	check("not a document", encodeRecord(recordDocument, []byte("x")), 0)
	if empty, err := DecodeFile(EncodeFile(NewDocument(""))); err != nil || empty.Version() != 0 {
		t.Error(err)
	}
}

func TestNeedsCompaction(t *testing.T) {
	for _, test := range []struct {
		document, appended int64
		want               bool
	}{{10, minCompactedBytes - 1, false}, {10, minCompactedBytes, true}, {8 << 20, 8<<20 - 1, false}, {8 << 20, 8 << 20, true}} {
		if NeedsCompaction(test.document, test.appended) != test.want {
			t.Errorf("%+v", test)
		}
	}
}

func TestAnyDeltaSurvivesTheWire(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		document := NewDocument(testLog)
		delta := next(document, drawChanges(t)...)
		got, err := Decode(Encode(delta))
		if err != nil {
			t.Fatal(err)
		}
		if err := document.Apply(got.(*Delta)); err != nil {
			t.Fatal(err)
		}
	})
}

// What is decoded can be encoded and decoded again to the same.
func FuzzDecode(f *testing.F) {
	for _, message := range testMessages {
		f.Add(Encode(message))
	}
	f.Fuzz(func(t *testing.T, frame []byte) {
		message, err := Decode(frame)
		if err != nil {
			return
		}
		again, err := Decode(Encode(message))
		if err != nil || printed(again) != printed(message) {
			t.Fatalf("%v: %+v, then %+v", err, message, again)
		}
		if part, isPart := message.(*SnapshotPart); isPart {
			_, _ = (&Assembler{}).Add(part)
		}
	})
}

// printed makes no difference between nil and empty slices.
func printed(message Message) string { return fmt.Sprintf("%+v", message) }

func FuzzDecodeFile(f *testing.F) {
	_, file, ends := testFile(f)
	f.Add(file)
	f.Add(file[:ends[1]+5])
	f.Fuzz(func(t *testing.T, file []byte) {
		checkDecodedFile(t, file)
		if len(file) > fileHeader { // past the checksum, which the fuzzer can't guess
			checkDecodedFile(t, encodeRecord(recordDocument, file[fileHeader:]))
			checkDecodedFile(t, append(EncodeFile(NewDocument("")), encodeRecord(recordDelta, file[fileHeader:])...))
		}
	})
}

func checkDecodedFile(t *testing.T, file []byte) {
	document, err := DecodeFile(file)
	var fault *FileError
	if err != nil && (!errors.As(err, &fault) || fault.Offset > len(file)) {
		t.Fatal(err)
	}
	if document == nil {
		return
	}
	again, err := DecodeFile(EncodeFile(document))
	if err != nil || describe(again) != describe(document) {
		t.Fatal(err)
	}
}
