package configsync

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

var testMessages = []Message{
	&Hello{
		Protocol:     Protocol,
		Member:       7,
		Name:         "gateway-7",
		Incarnation:  3,
		Log:          testLog,
		InForce:      5,
		Digest:       Digest{1},
		Refused:      6,
		WantSnapshot: true,
	},
	&Delta{Log: testLog, From: 1, To: 3, Changes: []Change{set("limits", "1"), remove("plans/a")}, Digest: Digest{2}},
	&SnapshotPart{Log: testLog, Version: 4, Digest: Digest{3}, Index: 1, PartCount: 2, Changes: []Change{set("plans/b", "2")}},
	&Heartbeat{Log: testLog, Latest: 9, HasQuorum: true},
	&SnapshotDeferral{After: BackoffBase},
	&PublisherBehind{Latest: 8},
	&LogMismatch{Log: testLog},
	&Acknowledge{Version: 7, Digest: Digest{4}},
	NewRefusal(6, "plans/a", "rate: not a number"),
}

func TestMessagesRoundTrip(t *testing.T) {
	for _, message := range testMessages {
		got, err := Decode(Encode(message))
		if err != nil || !cmp.Equal(got, message) {
			t.Errorf("%T: %v, %v", message, err, cmp.Diff(got, message))
		}
	}
}

// frameOf returns a frame with a kind and the bytes of a body.
func frameOf(k kind, body string) []byte {
	frame := binary.BigEndian.AppendUint32(nil, uint32(1+len(body)))
	return append(append(frame, byte(k)), body...)
}

// A frame that breaks a rule of its format, or a bound that protects memory, is refused.
func TestDecodeRefusesMalformedFrames(t *testing.T) {
	good := Encode(&Heartbeat{Log: testLog, Latest: 9})
	wide := longPlans("", 9)
	var many []Change
	for i := range MaxDeltaChanges + 1 {
		many = append(many, set(Resource(fmt.Sprintf("plans/%05d", i)), "1"))
	}
	manyFields := string([]byte{0xa0 | (maxFields + 1)}) // CBOR: a map with that many pairs
	for key := range maxFields + 1 {
		manyFields += string([]byte{byte(key + 1), 0})
	}
	unsorted := []Change{set("plans/a", "1"), set("limits", "1")}
	longLog := LogID(strings.Repeat("x", MaxLogIDBytes+1))
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
		"many fields":        frameOf(kindBehind, manyFields),
		"huge array":         frameOf(kindDelta, "\xa1\x04\x9a\x7f\xff\xff\xff"),
		"many changes":       Encode(&Delta{Log: testLog, To: 1, Changes: many}),
		"wide delta":         Encode(&Delta{Log: testLog, To: 1, Changes: wide}),
		"delta of no log":    Encode(&Delta{To: 1}),
		"delta backwards":    Encode(&Delta{Log: testLog, From: 2, To: 1}),
		"delta unsorted":     Encode(&Delta{Log: testLog, To: 1, Changes: unsorted}),
		"long log":           Encode(&Heartbeat{Log: longLog}),
		"log of other":       Encode(&LogMismatch{Log: longLog}),
		"member":             Encode(&Hello{Member: MaxMembers}),
		"negative member":    Encode(&Hello{Member: -1}),
		"long name":          Encode(&Hello{Name: strings.Repeat("x", MaxGatewayNameBytes+1)}),
		"version of no log":  Encode(&Hello{InForce: 1}),
		"refused of no log":  Encode(&Hello{Refused: 1}),
		"deferral backwards": Encode(&SnapshotDeferral{After: -1}),
		"long reason":        Encode(&Refusal{Reason: strings.Repeat("x", MaxRefusalReasonBytes+1)}),
		"resource":           Encode(&Refusal{Resource: "routes/a"}),
		"part of none":       Encode(&SnapshotPart{Log: testLog, Version: 1}),
		"part beyond":        Encode(&SnapshotPart{Log: testLog, Version: 1, Index: 1, PartCount: 1}),
		"negative part":      Encode(&SnapshotPart{Log: testLog, Version: 1, Index: -1, PartCount: 1}),
		"many in a part":     Encode(&SnapshotPart{Log: testLog, Version: 1, PartCount: 1, Changes: many}),
		"many parts":         Encode(&SnapshotPart{Log: testLog, Version: 1, PartCount: MaxSnapshotParts + 1}),
		"part of version 0":  Encode(&SnapshotPart{Log: testLog, PartCount: 1}),
		"part of no log":     Encode(&SnapshotPart{Version: 1, PartCount: 1}),
		"wide part":          Encode(&SnapshotPart{Log: testLog, Version: 1, PartCount: 1, Changes: wide[:5]}),
		"removal in a part":  Encode(&SnapshotPart{Log: testLog, Version: 1, PartCount: 1, Changes: []Change{remove("limits")}}),
		"unsorted part":      Encode(&SnapshotPart{Log: testLog, Version: 1, PartCount: 1, Changes: unsorted}),
	} {
		if message, err := Decode(frame); err == nil {
			t.Errorf("%s: decoded as %+v", name, message)
		}
	}
	for _, size := range []uint32{0, 1, MaxFrameBytes - FrameHeaderBytes + 1, 1 << 31} {
		if _, err := FrameSize(binary.BigEndian.AppendUint32(nil, size)); err == nil {
			t.Errorf("a frame of %d bytes", size)
		}
	}
	size, err := FrameSize(binary.BigEndian.AppendUint32(nil, MaxFrameBytes-FrameHeaderBytes))
	if err != nil || size+FrameHeaderBytes != MaxFrameBytes {
		t.Error(size, err)
	}
}

func TestNewRefusalKeepsWithinBounds(t *testing.T) {
	refusal := NewRefusal(6, "routes/a", "x"+strings.Repeat("ü", MaxRefusalReasonBytes)+"\xff")
	got, err := Decode(Encode(refusal))
	if err != nil || !cmp.Equal(got, Message(refusal)) || refusal.Resource != "" {
		t.Error(err, refusal)
	}
	if refusal := NewRefusal(6, "", "a\xff"); refusal.Reason != "a?" {
		t.Error(refusal)
	}
}

func TestDrawnDeltasRoundTrip(t *testing.T) {
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

// A decoded message can be encoded and decoded again to the same message.
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
			_, _ = (&SnapshotAssembler{}).Add(part)
		}
	})
}

// printed returns a message as text, in which nil and empty slices are the same.
func printed(message Message) string { return fmt.Sprintf("%+v", message) }
