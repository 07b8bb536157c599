package counterfactual

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Limits of a message; one beyond them is rejected whole.
const (
	MaxBytes    = 1400    // of a message, so that no datagram is fragmented
	maxRows     = 16      // of a cell in a message; a cell with more is split
	maxParts    = 4096    // of a window
	maxAttempts = 1 << 24 // of a window
)

var (
	encoder, _ = cbor.EncOptions{}.EncMode()
	decoder, _ = cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF, MaxNestedLevels: 8, MaxArrayElements: 512,
		MaxMapPairs: 16, IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField}.DecMode()
)

// wirePart is a Part with its cells encoded.
type wirePart struct {
	_            struct{} `cbor:",toarray"`
	Version      uint8
	Gateway      uint32
	Zone         uint8
	Incarnation  uint64
	Window       uint32
	Index        uint16
	Total        uint16
	WindowLength uint32
	Age          uint32
	Attempts     uint32
	LostRecords  uint32
	Cells        []cbor.RawMessage
}

// newWirePart returns a part without cells.
func newWirePart(head *Part, index int) *wirePart {
	return &wirePart{
		Version:      version,
		Gateway:      head.Gateway,
		Zone:         head.Zone,
		Incarnation:  head.Incarnation,
		Window:       head.Window,
		Index:        uint16(index),
		WindowLength: head.WindowLength,
		Attempts:     head.Attempts,
		LostRecords:  head.LostRecords,
	}
}

// Encode splits a window's cells into parts of at most MaxBytes each, and returns each as a function of its age, so that it can be
// sent again later. There is at least one part: a window without attempts is reported, too.
func Encode(head Part, cells []Cell) (out []func(age uint32) []byte) {
	var parts []*wirePart
	room := 0
	add := func(c *Cell) {
		encoded := marshal(c)
		if len(parts) == 0 || len(encoded) > room {
			parts = append(parts, newWirePart(&head, len(parts)))
			room = MaxBytes - 64 // the header takes less
		}
		room -= len(encoded)
		part := parts[len(parts)-1]
		part.Cells = append(part.Cells, encoded)
	}
	for i := range cells {
		c := cells[i]
		for len(c.Rows) > maxRows { // the receiver adds the rows up again
			add(&Cell{Key: c.Key, Rows: c.Rows[:maxRows]})
			c.Rows = c.Rows[maxRows:]
		}
		add(&c)
	}
	if len(parts) == 0 {
		head.Version, head.Total = version, 1
		return []func(uint32) []byte{func(age uint32) []byte {
			head.Age = age
			return marshal(&head)
		}}
	}
	for _, part := range parts {
		part.Total = uint16(len(parts))
		out = append(out, func(age uint32) []byte {
			part.Age = age
			return marshal(part)
		})
	}
	return out
}

// marshal encodes a value.
func marshal(v any) []byte {
	b, err := encoder.Marshal(v)
	if err != nil {
		panic(err) // plain numbers always encode
	}
	return b
}

// Decode decodes a message and checks all its figures; an error names the field.
func Decode(b []byte) (*Part, error) {
	if len(b) > MaxBytes {
		return nil, fmt.Errorf("%d bytes, %d at most", len(b), MaxBytes)
	}
	part := &Part{}
	if err := decoder.Unmarshal(b, part); err != nil {
		return nil, err
	}
	switch {
	case part.Version != version:
		return nil, fmt.Errorf("version %d", part.Version)
	case part.Total == 0 || part.Total > maxParts || part.Index >= part.Total:
		return nil, fmt.Errorf("part %d of %d", part.Index, part.Total)
	case part.WindowLength == 0 || part.WindowLength > 3600e3:
		return nil, fmt.Errorf("length of %d ms", part.WindowLength)
	case part.LostRecords > part.Attempts || part.Attempts > maxAttempts:
		return nil, fmt.Errorf("lost %d of %d", part.LostRecords, part.Attempts)
	}
	for i := range part.Cells {
		if err := part.Cells[i].check(part); err != nil {
			return nil, fmt.Errorf("cell %d: %w", i, err)
		}
	}
	return part, nil
}

// check looks for figures that no correct gateway can send.
func (c *Cell) check(part *Part) error {
	if c.Key.LoadBand >= loadBands || c.Key.GatewayZone != part.Zone {
		return errors.New("key")
	}
	limit := uint64(part.Attempts) * scale * 2 // rounding of masses included
	for r := range Rules {
		if c.Mass[r] > limit || c.Unreachable[r] > c.Mass[r] || c.SquaredWeights[r] > limit*maxWeight*maxWeight {
			return fmt.Errorf("masses of rule %s", r)
		}
	}
	if len(c.Rows) > maxRows {
		return errors.New("rows")
	}
	for i := range c.Rows {
		r := &c.Rows[i]
		if r.Group >= Groups || r.Bucket > neverBucket || r.Censored && r.Bucket == neverBucket || r.Count == 0 || r.Count > part.Attempts {
			return errors.New("row")
		}
		for _, w := range r.Weight {
			if w > uint64(r.Count)*maxWeight*scale {
				return errors.New("weight")
			}
		}
	}
	return nil
}
