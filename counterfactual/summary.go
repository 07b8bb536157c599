package counterfactual

import (
	"cmp"
	"maps"
	"slices"
)

// Key names a cell: dispatches of one frontend, from gateways in one zone, to one process of a host, at about one
// believed load.
type Key struct {
	_        struct{} `cbor:",toarray"`
	Frontend uint16
	From     uint8 // zone of the gateway
	Host     uint32
	Born     uint32
	Band     uint8
}

func (k Key) compare(o Key) int {
	return cmp.Or(cmp.Compare(k.Frontend, o.Frontend), cmp.Compare(k.From, o.From), cmp.Compare(k.Host, o.Host),
		cmp.Compare(k.Born, o.Born), cmp.Compare(k.Band, o.Band))
}

// Row counts outcomes of one group of customers in one bucket of time.
type Row struct {
	_      struct{} `cbor:",toarray"`
	Group  uint8
	Bucket uint16
	Cut    bool // longer than the bucket's time; how much longer is not known
	N      uint32
	Weight [Rules]uint64 // sums, in parts of scale
}

// place names the row within its cell.
func (r *Row) place() uint32 {
	p := uint32(r.Group)<<11 | uint32(r.Bucket)<<1
	if r.Cut {
		p |= 1
	}
	return p
}

func (r *Row) add(o *Row) {
	r.N += o.N
	for k := range r.Weight {
		r.Weight[k] += o.Weight[k]
	}
}

// Cell is what is known of a key. All its figures are sums of whole numbers: cells merge in any order, to the same.
type Cell struct {
	_    struct{} `cbor:",toarray"`
	Key  Key
	Want [Rules]uint64 // dispatches that each rule would have sent here, in parts of scale
	None [Rules]uint64 // of these, those that could not have come here as it was done
	Sq   [Rules]uint64 // sums of the squares of the weights of what came here, in parts of scale
	Rows []Row
}

func (c *Cell) row(r Row) {
	for i := range c.Rows {
		if x := &c.Rows[i]; x.place() == r.place() {
			x.add(&r)
			return
		}
	}
	c.Rows = append(c.Rows, r)
}

// Part is one message: a piece of what a gateway saw in one of its windows. (Gateway, Life, Window, Nth) names it:
// told twice it counts once.
type Part struct {
	_       struct{} `cbor:",toarray"`
	Version uint8
	Gateway uint32 // its seat
	Zone    uint8
	Life    uint64 // its start; a later life has a greater one
	Window  uint32 // counted from 0 in each life
	Nth, Of uint16 // piece Nth of so many, from 0
	Length  uint32 // of the window, milliseconds
	Age     uint32 // milliseconds since the window's end, by the sender's clock when sent: clocks need not agree
	Seen    uint32 // dispatches that ended in the window at this gateway
	Lost    uint32 // of these, those that were not folded: the queue or the table was full
	Cells   []Cell
}

const version = 1

// Folder folds the records of one gateway into the summary of the window that is under way.
type Folder struct {
	most       int // cells
	from       uint8
	cells      map[Key]*Cell
	seen, lost uint32
	policy     policy
	near       [512]*Cell // cells lately used, each at the one place that its key allows
}

// NewFolder makes one for a gateway in a zone. It holds at most so many cells; what needs more is counted as lost.
func NewFolder(zone, most int) *Folder {
	return &Folder{most: most, from: uint8(zone), cells: map[Key]*Cell{}}
}

// Add takes in a record. One that contradicts itself or finds no room is counted as lost.
func (f *Folder) Add(r *Record) {
	f.seen++
	if len(f.cells)+len(r.Options) > f.most || !f.policy.of(r.Options) {
		f.lost++
		return
	}
	p := &f.policy
	for i := range r.Options {
		o := &r.Options[i]
		k := Key{Frontend: uint16(r.Frontend), From: f.from, Host: o.Host, Born: o.Born, Band: uint8(band(o.Load))}
		c := f.cell(k)
		for q := range Rules {
			mass := uint64(p.want[q][i]*scale + 0.5)
			if c.Want[q] += mass; o.Chance == 0 {
				c.None[q] += mass
			}
		}
		if i > 0 {
			continue
		}
		row := Row{Group: uint8(group(r.Customer)), Bucket: uint16(Bucket(r.Lag)), Cut: r.End == Cut, N: 1}
		if r.End == Failed {
			row.Bucket = never
		}
		for q := range Rules {
			row.Weight[q] = uint64(p.weight[q]*scale + 0.5)
			c.Sq[q] += uint64(p.weight[q]*p.weight[q]*scale + 0.5)
		}
		c.row(row)
	}
}

// cell finds a cell or makes it.
func (f *Folder) cell(k Key) *Cell {
	at := &f.near[(k.Host*0x9e3779b1>>20+uint32(k.Band)*7+uint32(k.Frontend)*31)%512]
	if c := *at; c != nil && c.Key == k {
		return c
	}
	c := f.cells[k]
	if c == nil {
		c = &Cell{Key: k}
		f.cells[k] = c
	}
	*at = c
	return c
}

// Miss counts records that never came here: the queue was full.
func (f *Folder) Miss(n int) { f.seen, f.lost = f.seen+uint32(n), f.lost+uint32(n) }

// Close ends the window: it gives what was seen and starts anew. The cells are in the order of their keys.
func (f *Folder) Close() (cells []Cell, seen, lost uint32) {
	for _, k := range slices.SortedFunc(maps.Keys(f.cells), Key.compare) {
		cells = append(cells, *f.cells[k])
	}
	seen, lost = f.seen, f.lost
	f.cells, f.seen, f.lost = make(map[Key]*Cell, len(cells)), 0, 0
	clear(f.near[:])
	return cells, seen, lost
}
