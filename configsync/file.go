package configsync

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
)

// Layout of a gateway's file: a record with a complete document, followed by one record for each delta that has been
// applied to it since. A record consists of
//
//	magic (8 bytes), format (1), kind (1), length of the body (4, big endian),
//	SHA-256 of these 14 bytes and the body (32), body (CBOR)
//
// The length and the checksum reveal a record that was truncated or altered.
const (
	fileMagic              = "RAVENCFG"
	fileFormat             = 1
	checksummedHeaderBytes = len(fileMagic) + 1 + 1 + 4 // bytes of the header that the checksum covers
	recordHeaderBytes      = checksummedHeaderBytes + sha256.Size
)

// recordKind is the kind of a record's body. Its values are part of the file format.
type recordKind byte

const (
	recordDocument recordKind = iota + 1
	recordDelta
	recordState // complete state of a publisher, in a snapshot of State; not used in files of gateways
)

// fileDocument is the body of a record of kind recordDocument.
type fileDocument struct {
	Log     LogID    `cbor:"1,keyasint,omitempty"`
	Version Version  `cbor:"2,keyasint"`
	Digest  Digest   `cbor:"3,keyasint"`
	Changes []Change `cbor:"4,keyasint"`
}

// EncodeFile returns the content of a file that holds a document. The caller has to write it to a temporary file, sync
// and rename that, so that a crash leaves either the old file or the new one.
func EncodeFile(document *Document) []byte {
	return encodeRecord(recordDocument, marshal(newFileDocument(document)))
}

// EncodeFileDelta returns the record to append to the file of a document after a delta is applied to the document.
func EncodeFileDelta(delta *Delta) []byte {
	return encodeRecord(recordDelta, marshal(delta))
}

// NeedsCompaction reports whether a file has to be rewritten with EncodeFile because its appended deltas have grown as
// long as its document. Rewriting at that length at most doubles the number of bytes written in total. Both lengths are
// in bytes; appended deltas below minCompactionBytes never need it.
func NeedsCompaction(documentBytes, appendedBytes int64) bool {
	return appendedBytes >= max(documentBytes, minCompactionBytes)
}

// DecodeFile returns the document that a file holds. If the file is truncated or altered, the error is a
// *CorruptFileError whose Offset is the length of the intact part. The document is then that of the intact part, or nil
// if the first record is damaged.
func DecodeFile(file []byte) (*Document, error) {
	kind, body, size, err := decodeRecord(file, 0)
	if err != nil {
		return nil, err
	}
	if kind != recordDocument {
		return nil, &CorruptFileError{Reason: "the first record is not a document"}
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
		return nil, &CorruptFileError{Reason: "decoding a document", Err: err}
	}
	document, err := content.document()
	if err != nil {
		return nil, &CorruptFileError{Reason: "invalid content of a document", Err: err}
	}
	return document, nil
}

// applyRecord applies the delta in the record at an offset of the file and returns the length of the record in bytes.
func applyRecord(document *Document, file []byte, offset int) (size int, err error) {
	kind, body, size, err := decodeRecord(file, offset)
	if err != nil {
		return 0, err
	}
	if kind != recordDelta {
		return 0, &CorruptFileError{Offset: offset, Reason: "not a delta record"}
	}
	var delta Delta
	if err := fileDecoder.Unmarshal(body, &delta); err != nil {
		return 0, &CorruptFileError{Offset: offset, Reason: "decoding a delta", Err: err}
	}
	if err := document.Apply(&delta); err != nil {
		return 0, &CorruptFileError{Offset: offset, Reason: "a delta can't be applied to the document", Err: err}
	}
	return size, nil
}

func newFileDocument(document *Document) *fileDocument {
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
	record := make([]byte, 0, recordHeaderBytes+len(body))
	record = append(record, fileMagic...)
	record = append(record, fileFormat, byte(kind))
	record = binary.BigEndian.AppendUint32(record, uint32(len(body)))
	sum := recordSum(record, body)
	record = append(record, sum[:]...)
	return append(record, body...)
}

// recordSum returns the SHA-256 checksum over the first checksummedHeaderBytes of a record's header and its body.
func recordSum(header, body []byte) [sha256.Size]byte {
	hash := sha256.New()
	hash.Write(header[:checksummedHeaderBytes])
	hash.Write(body)
	return [sha256.Size]byte(hash.Sum(nil))
}

// decodeRecord reads the record at an offset of a file and verifies its checksum. size is the length of the record in
// bytes, header included. The error is a *CorruptFileError.
func decodeRecord(file []byte, offset int) (kind recordKind, body []byte, size int, err error) {
	record := file[offset:]
	fail := func(reason string) (recordKind, []byte, int, error) {
		return 0, nil, 0, &CorruptFileError{Offset: offset, Reason: reason}
	}
	if len(record) < recordHeaderBytes {
		return fail("truncated record header")
	}
	if !bytes.HasPrefix(record, []byte(fileMagic)) {
		return fail("no magic number of a record")
	}
	if record[len(fileMagic)] != fileFormat {
		return fail("unknown format version")
	}
	length := binary.BigEndian.Uint32(record[checksummedHeaderBytes-4:])
	if uint64(length) > uint64(len(record)-recordHeaderBytes) {
		return fail("truncated record body")
	}
	size = recordHeaderBytes + int(length)
	body = record[recordHeaderBytes:size]
	sum := recordSum(record, body)
	if !bytes.Equal(sum[:], record[checksummedHeaderBytes:recordHeaderBytes]) {
		return fail("altered: the checksum doesn't match")
	}
	kind = recordKind(record[len(fileMagic)+1])
	return kind, body, size, nil
}
