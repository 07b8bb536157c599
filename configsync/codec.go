package configsync

import (
	"encoding/binary"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Layout of a frame: a header with the length of the rest of the frame (4 bytes, big endian), one byte for the kind of
// the message, and the message as a CBOR map (RFC 8949) with integer keys.
const (
	FrameHeaderBytes = 4 // the length field
	kindBytes        = 1
)

// Decoder limits, which protect memory against malformed input. A message has three levels of nesting: the message, its
// list of changes, and a change. A snapshot of the state has six: the state, its history, an entry, the entry's delta,
// the delta's list of changes, and a change.
const (
	maxMessageNesting    = 4
	maxFileNesting       = 8
	maxMapPairs          = 16      // pairs in one CBOR map
	maxFileArrayElements = 1 << 20 // elements in one CBOR array of a file, a command or a state snapshot
)

var (
	encoder        = newEncoder()
	messageDecoder = newDecoder(maxMessageNesting, MaxDeltaChanges)
	fileDecoder    = newDecoder(maxFileNesting, maxFileArrayElements)
)

// newEncoder returns an encoder that writes nil slices as empty ones, so that equal states encode to equal bytes.
func newEncoder() cbor.EncMode {
	mode, err := cbor.EncOptions{NilContainers: cbor.NilContainerAsEmpty}.EncMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}

func newDecoder(nesting, elements int) cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
		MaxNestedLevels:  nesting,
		MaxMapPairs:      maxMapPairs,
		MaxArrayElements: elements,
	}.DecMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}

// marshal encodes a value of one of this package's types as CBOR. It panics on failure, which none of them can cause.
func marshal(value any) []byte {
	body, err := encoder.Marshal(value)
	if err != nil {
		panic(fmt.Sprintf("configsync: encoding a %T as CBOR: %v", value, err))
	}
	return body
}

// Encode returns a message as a frame. It doesn't check the message: Decode rejects one that exceeds the limits of this
// package.
func Encode(message Message) []byte {
	body := marshal(message)
	frame := make([]byte, 0, FrameHeaderBytes+kindBytes+len(body))
	frame = binary.BigEndian.AppendUint32(frame, uint32(kindBytes+len(body)))
	frame = append(frame, byte(message.kind()))
	return append(frame, body...)
}

// FrameSize reads a frame's header, its first FrameHeaderBytes, and returns the number of bytes that follow it. It
// returns a *MalformedError if the frame would be longer than MaxFrameBytes, so that the caller reserves no memory for
// it, or too short to hold a message.
func FrameSize(header []byte) (int, error) {
	if len(header) < FrameHeaderBytes {
		return 0, &MalformedError{Reason: "truncated frame header"}
	}
	size := binary.BigEndian.Uint32(header)
	if size <= kindBytes || size > MaxFrameBytes-FrameHeaderBytes {
		return 0, &MalformedError{Reason: fmt.Sprintf("invalid frame length of %d bytes", size)}
	}
	return int(size), nil
}

// Decode decodes one complete frame and checks its message against the limits of this package. The error is a
// *MalformedError, or a *VersionNotIncreasingError for a delta whose target version is not later than its start.
func Decode(frame []byte) (Message, error) {
	size, err := FrameSize(frame)
	if err != nil {
		return nil, err
	}
	if len(frame) != FrameHeaderBytes+size {
		return nil, &MalformedError{Reason: "frame length differs from the length in its header"}
	}
	message := newMessage(messageKind(frame[FrameHeaderBytes]))
	if message == nil {
		return nil, &MalformedError{Reason: "unknown message kind"}
	}
	err = messageDecoder.Unmarshal(frame[FrameHeaderBytes+kindBytes:], message)
	if err != nil {
		return nil, &MalformedError{Reason: err.Error()}
	}
	if err := message.check(); err != nil {
		return nil, err
	}
	return message, nil
}
