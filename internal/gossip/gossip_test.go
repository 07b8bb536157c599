package gossip

import (
	"fmt"
	"slices"
	"strings"
	"testing"
)

// describeDecoded decodes a message and describes its parts in the order in which Decode passes them on. It returns an
// empty string for a message that Decode ignores.
func describeDecoded(f Format, message []byte) string {
	var parts []string
	add := func(format string, args ...any) { parts = append(parts, fmt.Sprintf(format, args...)) }
	header := func(incarnation, sequence uint64) bool {
		add("header %d %d", incarnation, sequence)
		return true
	}
	tag := func(tag uint16) { add("tag %d", tag) }
	counter := func(hash, plan uint32, spread, firstGateway int, total, initialDebt uint64) {
		add("counter %x %d %d %d %d %d", hash, plan, spread, firstGateway, total, initialDebt)
	}
	f.Decode(message, header, tag, counter)
	return strings.Join(parts, ", ")
}

func TestDecodeReadsEncodedMessage(t *testing.T) {
	const want = "header 7 300, tag 1, tag 65535, counter beef 1 3 2 1000 0, counter cafe 0 1 0 5 2"
	for _, f := range []Format{
		{Plans: 2, Members: 3},
		{Members: 3, PlansByID: true},
	} {
		message := slices.Concat(
			f.EncodeHeader(7, 300, []uint16{1, 65535}),
			f.EncodeCounter(0xbeef, 1, 3, 2, 1000, 0),
			f.EncodeCounter(0xcafe, 0, 1, 0, 5, 2),
		)
		if got := describeDecoded(f, message); got != want {
			t.Errorf("%+v: decoded %s, want %s", f, got, want)
		}
	}
}

// Decode must ignore an invalid message as a whole: a gateway that applied a part of it would count wrong units.
func TestDecodeIgnoresInvalidMessage(t *testing.T) {
	byIndex := Format{Plans: 2, Members: 3}
	byID := Format{Members: 3, PlansByID: true}
	header := byIndex.EncodeHeader(7, 300, []uint16{1})
	counter := byIndex.EncodeCounter(0xbeef, 1, 3, 2, 1000, 4)
	message := slices.Concat(header, counter)
	for length := range len(message) {
		if length == len(header) {
			continue // a valid message without counters
		}
		if got := describeDecoded(byIndex, message[:length]); got != "" {
			t.Errorf("a message truncated to %d bytes is decoded as %s", length, got)
		}
	}
	for name, test := range map[string]struct {
		format  Format
		message []byte
	}{
		"version of messages by ID":    {byIndex, byID.EncodeHeader(7, 300, nil)},
		"version of messages by index": {byID, header},
		"another number of gateways":   {byID, Format{Members: 4, PlansByID: true}.EncodeHeader(7, 300, nil)},
		"unknown plan":                 {byIndex, append(slices.Clone(header), byIndex.EncodeCounter(1, 2, 3, 2, 9, 0)...)},
		"more gateways than there are": {byIndex, append(slices.Clone(header), byIndex.EncodeCounter(1, 1, 4, 2, 9, 0)...)},
		"first gateway does not exist": {byIndex, append(slices.Clone(header), byIndex.EncodeCounter(1, 1, 3, 3, 9, 0)...)},
		"more tags than a message has": {byIndex, byIndex.EncodeHeader(7, 300, make([]uint16, MaxTags+1))},
		"longer than the largest":      {byIndex, append(slices.Clone(header), make([]byte, MaxMessageBytes)...)},
	} {
		if got := describeDecoded(test.format, test.message); got != "" {
			t.Errorf("%s: decoded as %s, want no call", name, got)
		}
	}
}
