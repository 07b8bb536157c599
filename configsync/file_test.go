package configsync

import (
	"bytes"
	"errors"
	"fmt"
	"testing"
)

// testFile returns a document of version 3, a file that holds it as version 1 and two deltas, and the offsets at which
// the three records of the file end.
func testFile(t testing.TB) (document *Document, file []byte, ends []int) {
	document = newTestDocument(t, set("limits", "1"), set("plans/a", "2"))
	file = EncodeFile(document)
	ends = append(ends, len(file))
	for _, change := range []Change{remove("limits"), set("plans/b", "3")} {
		delta := nextDelta(document, change)
		if err := document.Apply(delta); err != nil {
			t.Fatal(err)
		}
		file = append(file, EncodeFileDelta(delta)...)
		ends = append(ends, len(file))
	}
	return document, file, ends
}

// checkDamagedFile checks that decoding a file whose bytes from the offset intact on are damaged stops after the last
// record that ends at or before that offset.
func checkDamagedFile(t *testing.T, name string, file []byte, ends []int, intact int) {
	t.Helper()
	document, err := DecodeFile(file)
	var fault *CorruptFileError
	if !errors.As(err, &fault) {
		t.Fatalf("%s: not a *CorruptFileError: %v", name, err)
	}
	records := 0
	wantOffset := 0
	for _, end := range ends {
		if end <= intact {
			records++
			wantOffset = end
		}
	}
	if fault.Offset != wantOffset || (document == nil) != (records == 0) {
		t.Fatalf("%s: reported intact up to %d, document %v", name, fault.Offset, document)
	}
	if document != nil && document.Version() != Version(records) {
		t.Fatalf("%s: version %d after %d intact records", name, document.Version(), records)
	}
}

// A file that is truncated or altered at any byte, as after a crash or a disk fault, yields the document of its intact
// part and an error with the offset at which that part ends.
func TestDecodeFileFindsDamage(t *testing.T) {
	document, file, ends := testFile(t)
	if got, err := DecodeFile(file); err != nil || formatDocument(got) != formatDocument(document) {
		t.Fatal(err)
	}
	check := func(name string, file []byte, intact int) {
		t.Helper()
		checkDamagedFile(t, name, file, ends, intact)
	}
	for at := range file {
		altered := bytes.Clone(file)
		altered[at] ^= 0x10
		check(fmt.Sprintf("altered at %d", at), altered, at)
		if at != ends[0] && at != ends[1] {
			check(fmt.Sprintf("truncated at %d", at), file[:at], at)
		}
	}
}

// A record with a valid checksum is rejected if its kind, its format or its content is wrong.
func TestDecodeFileRefusesWrongRecords(t *testing.T) {
	document, file, ends := testFile(t)
	check := func(name string, file []byte, intact int) {
		t.Helper()
		checkDamagedFile(t, name, file, ends, intact)
	}
	check("a delta repeated", append(bytes.Clone(file), file[ends[1]:]...), len(file))
	check("a document appended", append(bytes.Clone(file), EncodeFile(document)...), len(file))
	check("a delta first", EncodeFileDelta(nextDelta(document, set("limits", "1"))), 0)
	asDelta := encodeRecord(recordDelta, marshal(newFileDocument(document)))
	check("a document with the kind of a delta", asDelta, 0)
	last := nextDelta(document, set("limits", "4"))
	asDocument := encodeRecord(recordDocument, marshal(last))
	check("a delta with the kind of a document", append(bytes.Clone(file), asDocument...), len(file))
	for _, position := range []int{0, len(fileMagic)} { // another magic or format version, with a valid checksum
		other := EncodeFile(document)
		other[position]++
		sum := recordSum(other, other[recordHeaderBytes:])
		copy(other[checksummedHeaderBytes:], sum[:])
		check("another format", other, 0)
	}
	check("a state", NewState(testLimits).Snapshot(), 0)
	wrong := newFileDocument(document)
	wrong.Digest[0]++
	check("a document of another digest", encodeRecord(recordDocument, marshal(wrong)), 0)
	for _, none := range []*fileDocument{
		{Log: LogID(make([]byte, MaxLogIDBytes+1))},
		{Digest: Digest{1}},
		{Log: testLog, Changes: []Change{set("limits", "1")}},
	} {
		check("content of version 0", encodeRecord(recordDocument, marshal(none)), 0)
	}
	check("not a document", encodeRecord(recordDocument, []byte("x")), 0)
	if empty, err := DecodeFile(EncodeFile(NewDocument(""))); err != nil || empty.Version() != 0 {
		t.Error(err)
	}
}

func TestNeedsCompactionAtDocumentLength(t *testing.T) {
	for _, test := range []struct {
		document int64
		appended int64
		want     bool
	}{
		{10, minCompactionBytes - 1, false},
		{10, minCompactionBytes, true},
		{8 << 20, 8<<20 - 1, false},
		{8 << 20, 8 << 20, true},
	} {
		if NeedsCompaction(test.document, test.appended) != test.want {
			t.Errorf("NeedsCompaction returned the opposite of want: %+v", test)
		}
	}
}

// Any file decodes without a panic, and a document that is decoded survives being encoded again.
func FuzzDecodeFile(f *testing.F) {
	_, file, ends := testFile(f)
	f.Add(file)
	f.Add(file[:ends[1]+5])
	f.Fuzz(func(t *testing.T, file []byte) {
		checkDecodedFile(t, file)
		if len(file) > recordHeaderBytes { // adds a valid checksum, which the fuzzer can't guess
			checkDecodedFile(t, encodeRecord(recordDocument, file[recordHeaderBytes:]))
			checkDecodedFile(t, append(EncodeFile(NewDocument("")), encodeRecord(recordDelta, file[recordHeaderBytes:])...))
		}
	})
}

func checkDecodedFile(t *testing.T, file []byte) {
	document, err := DecodeFile(file)
	var fault *CorruptFileError
	if err != nil && (!errors.As(err, &fault) || fault.Offset > len(file)) {
		t.Fatal(err)
	}
	if document == nil {
		return
	}
	again, err := DecodeFile(EncodeFile(document))
	if err != nil || formatDocument(again) != formatDocument(document) {
		t.Fatal(err)
	}
}
