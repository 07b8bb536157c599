package counterfactual

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Bounds of what is taken in; a message beyond them is turned away whole.
const (
	MaxBytes = 1400 // of a message: no datagram is cut into fragments
	mostRows = 16   // of a cell in a message; one with more goes in several
	maxParts = 4096 // of a window
	maxUnits = 1 << 24
)

var (
	encoder, _ = cbor.EncOptions{}.EncMode()
	decoder, _ = cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF, MaxNestedLevels: 8, MaxArrayElements: 512,
		MaxMapPairs: 16, IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField}.DecMode()
)

// wire is a Part with its cells encoded.
type wire struct {
	_       struct{} `cbor:",toarray"`
	Version uint8
	Gateway uint32
	Zone    uint8
	Life    uint64
	Window  uint32
	Nth, Of uint16
	Length  uint32
	Age     uint32
	Seen    uint32
	Lost    uint32
	Cells   []cbor.RawMessage
}

// Encode cuts a window's cells into parts of at most MaxBytes each, and gives each as a function of its age, so
// that it can be sent again later. There is at least one: a window in which nothing was seen is told, too.
func Encode(head Part, cells []Cell) (out []func(age uint32) []byte) {
	var parts []*wire
	room := 0
	add := func(c *Cell) {
		b := marshal(c)
		if len(parts) == 0 || len(b) > room {
			parts = append(parts, &wire{Version: version, Gateway: head.Gateway, Zone: head.Zone, Life: head.Life,
				Window: head.Window, Length: head.Length, Seen: head.Seen, Lost: head.Lost, Nth: uint16(len(parts))})
			room = MaxBytes - 64 // the head takes less
		}
		room -= len(b)
		p := parts[len(parts)-1]
		p.Cells = append(p.Cells, b)
	}
	for i := range cells {
		c := cells[i]
		for len(c.Rows) > mostRows { // sums: the cell is whole again at the other end
			add(&Cell{Key: c.Key, Rows: c.Rows[:mostRows]})
			c.Rows = c.Rows[mostRows:]
		}
		add(&c)
	}
	if len(parts) == 0 {
		head.Version, head.Of = version, 1
		return []func(uint32) []byte{func(age uint32) []byte {
			head.Age = age
			return marshal(&head)
		}}
	}
	for _, p := range parts {
		p.Of = uint16(len(parts))
		out = append(out, func(age uint32) []byte {
			p.Age = age
			return marshal(p)
		})
	}
	return out
}

func marshal(v any) []byte {
	b, err := encoder.Marshal(v)
	if err != nil {
		panic(err) // plain numbers always encode
	}
	return b
}

// Decode reads a message and checks all its figures; a fault names the field.
func Decode(b []byte) (*Part, error) {
	if len(b) > MaxBytes {
		return nil, fmt.Errorf("%d bytes, %d at most", len(b), MaxBytes)
	}
	p := &Part{}
	if err := decoder.Unmarshal(b, p); err != nil {
		return nil, err
	}
	switch {
	case p.Version != version:
		return nil, fmt.Errorf("version %d", p.Version)
	case p.Of == 0 || p.Of > maxParts || p.Nth >= p.Of:
		return nil, fmt.Errorf("part %d of %d", p.Nth, p.Of)
	case p.Length == 0 || p.Length > 3600e3:
		return nil, fmt.Errorf("length of %d ms", p.Length)
	case p.Lost > p.Seen || p.Seen > maxUnits:
		return nil, fmt.Errorf("lost %d of %d", p.Lost, p.Seen)
	}
	for i := range p.Cells {
		if err := p.Cells[i].check(p); err != nil {
			return nil, fmt.Errorf("cell %d: %w", i, err)
		}
	}
	return p, nil
}

// check looks for figures that no gateway in good faith can have seen.
func (c *Cell) check(p *Part) error {
	if c.Key.Band >= bands || c.Key.From != p.Zone {
		return errors.New("key")
	}
	most := uint64(p.Seen) * scale * 2 // rounding of masses included
	for r := range Rules {
		if c.Want[r] > most || c.None[r] > c.Want[r] || c.Sq[r] > most*mostWeight*mostWeight {
			return fmt.Errorf("masses of rule %s", r)
		}
	}
	if len(c.Rows) > mostRows {
		return errors.New("rows")
	}
	for i := range c.Rows {
		r := &c.Rows[i]
		if r.Group >= Groups || r.Bucket > never || r.Cut && r.Bucket == never || r.N == 0 || r.N > p.Seen {
			return errors.New("row")
		}
		for _, w := range r.Weight {
			if w > uint64(r.N)*mostWeight*scale {
				return errors.New("weight")
			}
		}
	}
	return nil
}
