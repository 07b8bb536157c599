package counterfactual

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Limits of an encoded SummaryPart. Decode rejects a message that exceeds one.
const (
	MaxMessageBytes       = 1400    // keeps a datagram below the usual MTU, so that it is not fragmented
	maxHeaderBytes        = 64      // space reserved for all fields but the cells
	maxRowsPerCell        = 16      // a cell with more rows is split
	maxPartsPerWindow     = 4096    // parts of one gateway's summary of a window
	maxAttemptsPerWindow  = 1 << 24 // attempts of one gateway in a window
	maxWindowMilliseconds = 3600e3  // longest window: one hour
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

// encodedPart has the layout of SummaryPart on the wire. Its cells are encoded already, so that a part can be sent
// again with another age at little cost.
type encodedPart struct {
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

// newEncodedPart returns a part without cells that has the fields of header. The caller sets Total and Age.
func newEncodedPart(header *SummaryPart, index int) *encodedPart {
	return &encodedPart{
		Version:      formatVersion,
		Gateway:      header.Gateway,
		Zone:         header.Zone,
		Incarnation:  header.Incarnation,
		Window:       header.Window,
		Index:        uint16(index),
		WindowLength: header.WindowLength,
		Attempts:     header.Attempts,
		LostRecords:  header.LostRecords,
	}
}

// Encode splits the cells of a window into parts of at most MaxMessageBytes each. Every returned function encodes one
// part, given the milliseconds since the window's end, so that the part can be sent again later. A window without
// attempts has one part without cells, by which collectors distinguish an idle gateway from a silent one.
func Encode(header SummaryPart, cells []Cell) (encoders []func(age uint32) []byte) {
	if len(cells) == 0 {
		header.Version = formatVersion
		header.Total = 1
		return []func(uint32) []byte{func(age uint32) []byte {
			header.Age = age
			return marshal(&header)
		}}
	}
	parts := packCells(&header, cells)
	for _, part := range parts {
		part.Total = uint16(len(parts))
		encoders = append(encoders, func(age uint32) []byte {
			part.Age = age
			return marshal(part)
		})
	}
	return encoders
}

// packCells encodes the cells and distributes them over parts in order. A cell with more than maxRowsPerCell rows
// becomes several cells of the same key, which the collector adds up again.
func packCells(header *SummaryPart, cells []Cell) (parts []*encodedPart) {
	free := 0 // bytes left in the latest part
	add := func(c *Cell) {
		encoded := marshal(c)
		if len(parts) == 0 || len(encoded) > free {
			parts = append(parts, newEncodedPart(header, len(parts)))
			free = MaxMessageBytes - maxHeaderBytes
		}
		free -= len(encoded)
		part := parts[len(parts)-1]
		part.Cells = append(part.Cells, encoded)
	}
	for i := range cells {
		cell := cells[i]
		for len(cell.Rows) > maxRowsPerCell {
			add(&Cell{Key: cell.Key, Rows: cell.Rows[:maxRowsPerCell]})
			cell.Rows = cell.Rows[maxRowsPerCell:]
		}
		add(&cell)
	}
	return parts
}

// marshal encodes a part or a cell as CBOR.
func marshal(v any) []byte {
	b, err := encoder.Marshal(v)
	if err != nil {
		panic(err) // can't happen: the types consist of numbers and booleans
	}
	return b
}

// Decode decodes a message and checks that all values are within their ranges. It returns an error that names the first
// invalid field.
func Decode(message []byte) (*SummaryPart, error) {
	if len(message) > MaxMessageBytes {
		return nil, fmt.Errorf("message of %d bytes is longer than %d bytes", len(message), MaxMessageBytes)
	}
	part := &SummaryPart{}
	if err := decoder.Unmarshal(message, part); err != nil {
		return nil, err
	}
	switch {
	case part.Version != formatVersion:
		return nil, fmt.Errorf("format version %d is not supported", part.Version)
	case part.Total == 0 || part.Total > maxPartsPerWindow || part.Index >= part.Total:
		return nil, fmt.Errorf("invalid part number: %d of %d", part.Index, part.Total)
	case part.WindowLength == 0 || part.WindowLength > maxWindowMilliseconds:
		return nil, fmt.Errorf("window length of %d ms is out of range", part.WindowLength)
	case part.LostRecords > part.Attempts || part.Attempts > maxAttemptsPerWindow:
		return nil, fmt.Errorf("%d lost records among %d attempts are out of range", part.LostRecords, part.Attempts)
	}
	for i := range part.Cells {
		if err := part.Cells[i].check(part); err != nil {
			return nil, fmt.Errorf("cell %d: %w", i, err)
		}
	}
	return part, nil
}

// check returns an error if the cell has values that no correct gateway can send in part.
func (c *Cell) check(part *SummaryPart) error {
	if c.Key.LoadBand >= numLoadBands || c.Key.GatewayZone != part.Zone {
		return errors.New("key: load band or gateway zone is invalid")
	}
	limit := uint64(part.Attempts) * fixedPointScale * 2 // twice the attempts, because each mass is rounded
	for rule := range NumRules {
		if c.Mass[rule] > limit || c.Unreachable[rule] > c.Mass[rule] ||
			c.SquaredWeights[rule] > limit*maxWeight*maxWeight {
			return fmt.Errorf("masses or weights of rule %q are out of range", rule)
		}
	}
	if len(c.Rows) > maxRowsPerCell {
		return errors.New("the cell has too many rows")
	}
	for i := range c.Rows {
		if err := c.Rows[i].check(part.Attempts); err != nil {
			return err
		}
	}
	return nil
}

// check returns an error if the row has values that no correct gateway with this number of attempts can send.
func (r *Row) check(attempts uint32) error {
	if r.Group >= NumCustomerGroups || r.Bucket > noResponseBucket || r.Count == 0 || r.Count > attempts {
		return errors.New("row: group, bucket or count is out of range")
	}
	if r.Censored && r.Bucket == noResponseBucket {
		return errors.New("row: an attempt without a response can't be censored")
	}
	for _, weight := range r.Weights {
		if weight > uint64(r.Count)*maxWeight*fixedPointScale {
			return errors.New("row: weight is too large for the count")
		}
	}
	return nil
}
