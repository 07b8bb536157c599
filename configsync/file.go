package configsync

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
)

// A file is a record with a document, followed by records with the deltas that have been appended since. A record is
//
//	magic (8 bytes), format (1), kind (1), length of the body (4, big endian),
//	SHA-256 of these 14 bytes and the body (32), body (CBOR)
//
// so that a record that was truncated or altered is detected.
const (
	fileMagic     = "RAVENCFG"
	fileFormat    = 1
	checkedHeader = len(fileMagic) + 1 + 1 + 4 // bytes of the header that the checksum covers
	fileHeader    = checkedHeader + sha256.Size
)

type recordKind byte

const (
	recordDocument recordKind = iota + 1
	recordDelta
	recordState
)

// fileDocument is the body of a record with a document.
type fileDocument struct {
	Log     LogID    `cbor:"1,keyasint,omitempty"`
	Version Version  `cbor:"2,keyasint"`
	Digest  Digest   `cbor:"3,keyasint"`
	Changes []Change `cbor:"4,keyasint"`
}

// EncodeFile returns the file of a document. It has to be written to a temporary file, synced and renamed.
func EncodeFile(document *Document) []byte {
	return encodeRecord(recordDocument, marshal(fileDocumentOf(document)))
}

// EncodeFileDelta returns the record to append to the file of a document when a delta is applied to the document.
func EncodeFileDelta(delta *Delta) []byte {
	return encodeRecord(recordDelta, marshal(delta))
}

// NeedsCompaction reports whether a file has to be rewritten by EncodeFile: its appended deltas are as long as its
// document, so that rewriting at most doubles the bytes written in all. Both lengths are in bytes.
func NeedsCompaction(documentBytes, appendedBytes int64) bool {
	return appendedBytes >= max(documentBytes, minCompactedBytes)
}

// DecodeFile reads a file. If it is truncated or altered, the error is a *FileError whose Offset is the length of the
// intact part. The document is then the one of that part, or nil where not even the first record is intact.
func DecodeFile(file []byte) (*Document, error) {
	kind, body, size, err := decodeRecord(file, 0)
	if err != nil {
		return nil, err
	}
	if kind != recordDocument {
		return nil, &CorruptFileError{Reason: "no document at its beginning"}
	}
	document, err := decodeFileDocument(body)
	if err != nil {
		return nil, err
	}
	for offset := size; offset < len(file); offset += size {
		size, err = applyRecord(document, file, offset)
		if err != nil {
			return document, err
		}
	}
	return document, nil
}

func decodeFileDocument(body []byte) (*Document, error) {
	var content fileDocument
	if err := fileDecoder.Unmarshal(body, &content); err != nil {
		return nil, &CorruptFileError{Reason: "not a document", Err: err}
	}
	document, err := content.document()
	if err != nil {
		return nil, &CorruptFileError{Reason: "not a document", Err: err}
	}
	return document, nil
}

// applyRecord applies the delta at an offset of the file to the document and returns the length of its record.
func applyRecord(document *Document, file []byte, offset int) (size int, err error) {
	kind, body, size, err := decodeRecord(file, offset)
	if err != nil {
		return 0, err
	}
	if kind != recordDelta {
		return 0, &CorruptFileError{Offset: offset, Reason: "not a delta"}
	}
	var delta Delta
	if err := fileDecoder.Unmarshal(body, &delta); err != nil {
		return 0, &CorruptFileError{Offset: offset, Reason: "not a delta", Err: err}
	}
	if err := document.Apply(&delta); err != nil {
		return 0, &CorruptFileError{Offset: offset, Reason: "a delta that doesn't fit", Err: err}
	}
	return size, nil
}

func fileDocumentOf(document *Document) *fileDocument {
	return &fileDocument{
		Log:     document.Log(),
		Version: document.Version(),
		Digest:  document.Digest(),
		Changes: document.Changes(),
	}
}

func (f *fileDocument) document() (*Document, error) {
	return buildDocument(f.Log, f.Version, f.Digest, f.Changes)
}

func encodeRecord(kind recordKind, body []byte) []byte {
	record := make([]byte, 0, fileHeader+len(body))
	record = append(record, fileMagic...)
	record = append(record, fileFormat, byte(kind))
	record = binary.BigEndian.AppendUint32(record, uint32(len(body)))
	sum := recordSum(record, body)
	record = append(record, sum[:]...)
	return append(record, body...)
}

// recordSum returns the checksum of a record, which covers the first checkedHeader bytes of its header and its body.
func recordSum(header, body []byte) [sha256.Size]byte {
	hash := sha256.New()
	hash.Write(header[:checkedHeader])
	hash.Write(body)
	return [sha256.Size]byte(hash.Sum(nil))
}

// decodeRecord reads the record at an offset of a file. size is the length of the record with its header.
func decodeRecord(file []byte, offset int) (kind recordKind, body []byte, size int, err error) {
	record := file[offset:]
	fail := func(reason string) (recordKind, []byte, int, error) {
		return 0, nil, 0, &CorruptFileError{Offset: offset, Reason: reason}
	}
	if len(record) < fileHeader {
		return fail("cut short")
	}
	if !bytes.HasPrefix(record, []byte(fileMagic)) {
		return fail("not a file of this kind")
	}
	if record[len(fileMagic)] != fileFormat {
		return fail("of an unknown format")
	}
	length := binary.BigEndian.Uint32(record[checkedHeader-4:])
	if uint64(length) > uint64(len(record)-fileHeader) {
		return fail("cut short")
	}
	size = fileHeader + int(length)
	body = record[fileHeader:size]
	sum := recordSum(record, body)
	if !bytes.Equal(sum[:], record[checkedHeader:fileHeader]) {
		return fail("altered: its checksum differs")
	}
	kind = recordKind(record[len(fileMagic)+1])
	return kind, body, size, nil
}
