package counterfactual

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Limits of a message; one beyond them is rejected.
const (
	MaxMessageBytes = 1400    // so that no datagram is fragmented
	maxHeadBytes    = 64      // of all fields but the cells
	maxRows         = 16      // of a cell; one with more is split
	maxParts        = 4096    // of a window
	maxAttempts     = 1 << 24 // of a window
	maxWindowLength = 3600e3  // milliseconds
)

var (
	encoder, _ = cbor.EncOptions{}.EncMode()
	decoder, _ = cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		MaxNestedLevels:   8,
		MaxArrayElements:  512,
		MaxMapPairs:       16,
		IndefLength:       cbor.IndefLengthForbidden,
		TagsMd:            cbor.TagsForbidden,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
	}.DecMode()
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
func newWirePart(head *SummaryPart, index int) *wirePart {
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

// Encode splits the cells of a window into parts of at most MaxBytes each. It returns each part as a function of its
// age, so that it can be sent again later. There is at least one part: a window without attempts is reported as such.
func Encode(head SummaryPart, cells []Cell) (encoders []func(age uint32) []byte) {
	if len(cells) == 0 {
		head.Version = version
		head.Total = 1
		return []func(uint32) []byte{func(age uint32) []byte {
			head.Age = age
			return marshal(&head)
		}}
	}
	parts := splitCells(&head, cells)
	for _, part := range parts {
		part.Total = uint16(len(parts))
		encoders = append(encoders, func(age uint32) []byte {
			part.Age = age
			return marshal(part)
		})
	}
	return encoders
}

// splitCells encodes cells and distributes them over parts. A cell with many rows is split: its receiver adds it up
// again.
func splitCells(head *SummaryPart, cells []Cell) (parts []*wirePart) {
	free := 0 // bytes of the latest part
	add := func(c *Cell) {
		encoded := marshal(c)
		if len(parts) == 0 || len(encoded) > free {
			parts = append(parts, newWirePart(head, len(parts)))
			free = MaxMessageBytes - maxHeadBytes
		}
		free -= len(encoded)
		part := parts[len(parts)-1]
		part.Cells = append(part.Cells, encoded)
	}
	for i := range cells {
		cell := cells[i]
		for len(cell.Rows) > maxRows {
			add(&Cell{Key: cell.Key, Rows: cell.Rows[:maxRows]})
			cell.Rows = cell.Rows[maxRows:]
		}
		add(&cell)
	}
	return parts
}

// marshal encodes a value.
func marshal(v any) []byte {
	b, err := encoder.Marshal(v)
	if err != nil {
		panic(err) // plain numbers always encode
	}
	return b
}

// Decode decodes a message and checks all its values; an error names the field.
func Decode(message []byte) (*SummaryPart, error) {
	if len(message) > MaxMessageBytes {
		return nil, fmt.Errorf("%d bytes, %d at most", len(message), MaxMessageBytes)
	}
	part := &SummaryPart{}
	if err := decoder.Unmarshal(message, part); err != nil {
		return nil, err
	}
	switch {
	case part.Version != version:
		return nil, fmt.Errorf("version %d", part.Version)
	case part.Total == 0 || part.Total > maxParts || part.Index >= part.Total:
		return nil, fmt.Errorf("part %d of %d", part.Index, part.Total)
	case part.WindowLength == 0 || part.WindowLength > maxWindowLength:
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

// check returns an error for values that no correct gateway can send.
func (c *Cell) check(part *SummaryPart) error {
	if c.Key.LoadBand >= loadBands || c.Key.GatewayZone != part.Zone {
		return errors.New("key")
	}
	limit := uint64(part.Attempts) * scale * 2 // twice the attempts: masses are rounded
	for rule := range NumRules {
		if c.Mass[rule] > limit || c.Unreachable[rule] > c.Mass[rule] ||
			c.SquaredWeights[rule] > limit*maxWeight*maxWeight {
			return fmt.Errorf("masses of rule %s", rule)
		}
	}
	if len(c.Rows) > maxRows {
		return errors.New("rows")
	}
	for i := range c.Rows {
		if err := c.Rows[i].check(part.Attempts); err != nil {
			return err
		}
	}
	return nil
}

// check returns an error for values that no correct gateway with a number of attempts can send.
func (r *Row) check(attempts uint32) error {
	if r.Group >= NumCustomerGroups || r.Bucket > neverBucket || r.Count == 0 || r.Count > attempts {
		return errors.New("row")
	}
	if r.Censored && r.Bucket == neverBucket {
		return errors.New("row")
	}
	for _, weight := range r.Weights {
		if weight > uint64(r.Count)*maxWeight*scale {
			return errors.New("weight")
		}
	}
	return nil
}
