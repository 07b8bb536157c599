package configsync

import (
	"encoding/binary"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// A frame is the length of what follows (four bytes, big endian), one byte for the kind of the message, and the message
// as CBOR (RFC 8949) with integer keys.
const (
	FrameHeaderBytes = 4
	kindBytes        = 1
)

// Limits of the decoder. Messages nest three deep: the message, its changes, a change. A snapshot of the state nests
// six deep: the state, its history, an entry, its delta, its changes, a change.
const (
	messageNesting  = 4
	fileNesting     = 8
	maxFields       = 16      // of one CBOR map
	maxFileElements = 1 << 20 // of one CBOR array in a file, a command or a snapshot of the state
)

var (
	encoder        = newEncoder()
	messageDecoder = newDecoder(messageNesting, MaxDeltaChanges)
	fileDecoder    = newDecoder(fileNesting, maxFileElements)
)

// newEncoder returns an encoder that writes a nil slice as an empty one, so that equal states have equal bytes.
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
		MaxMapPairs:      maxFields,
		MaxArrayElements: elements,
	}.DecMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}

// marshal encodes a type of this package; all of them can be encoded.
func marshal(value any) []byte {
	body, err := encoder.Marshal(value)
	if err != nil {
		panic(fmt.Sprintf("configsync: %T can't be encoded: %v", value, err))
	}
	return body
}

// Encode returns the frame of a message. Decode refuses the frame of a message beyond the bounds of this package.
func Encode(message Message) []byte {
	body := marshal(message)
	frame := make([]byte, 0, FrameHeaderBytes+kindBytes+len(body))
	frame = binary.BigEndian.AppendUint32(frame, uint32(kindBytes+len(body)))
	frame = append(frame, byte(message.kind()))
	return append(frame, body...)
}

// FrameSize reads the first FrameHeaderBytes of a frame and returns the number of bytes that follow them. The error
// is a *MalformedError where the frame is longer than MaxFrameBytes, so that no memory is reserved for it.
func FrameSize(header []byte) (int, error) {
	if len(header) < FrameHeaderBytes {
		return 0, &MalformedError{Reason: "frame cut short"}
	}
	size := binary.BigEndian.Uint32(header)
	if size <= kindBytes || size > MaxFrameBytes-FrameHeaderBytes {
		return 0, &MalformedError{Reason: fmt.Sprintf("a frame of %d bytes", size)}
	}
	return int(size), nil
}

// Decode reads one complete frame and checks the bounds of its message. The error is a *MalformedError, or a
// *NotIncreasingError for a delta that leads backwards.
func Decode(frame []byte) (Message, error) {
	size, err := FrameSize(frame)
	if err != nil {
		return nil, err
	}
	if len(frame) != FrameHeaderBytes+size {
		return nil, &MalformedError{Reason: "frame of another length than it says"}
	}
	message := newMessage(kind(frame[FrameHeaderBytes]))
	if message == nil {
		return nil, &MalformedError{Reason: "unknown kind of message"}
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
