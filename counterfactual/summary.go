package counterfactual

import (
	"cmp"
	"maps"
	"slices"
)

// Key names a cell: attempts of one request class, from gateways in one zone, at one process of a host, under about one estimated
// load.
type Key struct {
	_           struct{} `cbor:",toarray"`
	Class       uint16
	GatewayZone uint8
	Host        uint32
	Incarnation uint32
	LoadBand    uint8
}

// compare orders keys.
func (k Key) compare(o Key) int {
	return cmp.Or(cmp.Compare(k.Class, o.Class), cmp.Compare(k.GatewayZone, o.GatewayZone), cmp.Compare(k.Host, o.Host),
		cmp.Compare(k.Incarnation, o.Incarnation), cmp.Compare(k.LoadBand, o.LoadBand))
}

// Row counts the outcomes of one customer group in one bucket of response time.
type Row struct {
	_        struct{} `cbor:",toarray"`
	Group    uint8
	Bucket   uint16
	Censored bool // longer than the bucket's time by an unknown amount
	Count    uint32
	Weight   [Rules]uint64 // sums of the weights under each rule, in 1/scale
}

// key names the row within its cell.
func (r *Row) key() uint32 {
	p := uint32(r.Group)<<11 | uint32(r.Bucket)<<1
	if r.Censored {
		p |= 1
	}
	return p
}

// add adds the counts of another row.
func (r *Row) add(o *Row) {
	r.Count += o.Count
	for k := range r.Weight {
		r.Weight[k] += o.Weight[k]
	}
}

// Cell is what is known of a key. All its figures are sums of whole numbers, so that cells merge to the same in any order.
type Cell struct {
	_              struct{} `cbor:",toarray"`
	Key            Key
	Mass           [Rules]uint64 // attempts that each rule would have sent here, in 1/scale
	Unreachable    [Rules]uint64 // of these, the ones that could not have come here as it was done
	SquaredWeights [Rules]uint64 // sums of the squared weights of what came here, in 1/scale
	Rows           []Row
}

// addRow adds a row.
func (c *Cell) addRow(r Row) {
	for i := range c.Rows {
		if x := &c.Rows[i]; x.key() == r.key() {
			x.add(&r)
			return
		}
	}
	c.Rows = append(c.Rows, r)
}

// Part is one message: a part of a gateway's summary of a window. (Gateway, Incarnation, Window, Index) names it: a duplicate does
// not count.
type Part struct {
	_            struct{} `cbor:",toarray"`
	Version      uint8
	Gateway      uint32 // member index
	Zone         uint8
	Incarnation  uint64 // start time; a later incarnation has a greater one
	Window       uint32 // counted from 0 in each incarnation
	Index        uint16 // of this part, from 0
	Total        uint16 // number of parts of the window
	WindowLength uint32 // milliseconds
	Age          uint32 // milliseconds since the window's end, by the sender's clock, so that clocks need not agree
	Attempts     uint32 // that ended in the window at this gateway
	LostRecords  uint32 // of attempts that were not folded: the queue or the table was full
	Cells        []Cell
}

// version of the messages.
const version = 1

const cacheSize = 512 // cells

// Folder folds the records of one gateway into the summary of the window under way.
type Folder struct {
	maxCells    int
	zone        uint8
	cells       map[Key]*Cell
	attempts    uint32
	lostRecords uint32
	shares      ruleShares       // scratch
	cache       [cacheSize]*Cell // cells used lately, by a hash of their key
}

// NewFolder returns a folder for a gateway in a zone. It holds at most maxCells cells; records that need more are counted as lost.
func NewFolder(zone, maxCells int) *Folder {
	return &Folder{maxCells: maxCells, zone: uint8(zone), cells: map[Key]*Cell{}}
}

// Add folds a record. One that contradicts itself or finds no room is counted as lost.
func (f *Folder) Add(record *Record) {
	f.attempts++
	if len(f.cells)+len(record.Candidates) > f.maxCells || !f.shares.compute(record.Candidates) {
		f.lostRecords++
		return
	}
	shares := &f.shares
	for i := range record.Candidates {
		candidate := &record.Candidates[i]
		key := Key{Class: uint16(record.Class), GatewayZone: f.zone, Host: candidate.Host, Incarnation: candidate.Incarnation, LoadBand: uint8(loadBand(candidate.Load))}
		cell := f.cell(key)
		for rule := range Rules {
			mass := uint64(shares.mass[rule][i]*scale + 0.5)
			if cell.Mass[rule] += mass; candidate.Probability == 0 {
				cell.Unreachable[rule] += mass
			}
		}
		if i > 0 {
			continue
		}
		row := Row{Group: uint8(customerGroup(record.Customer)), Bucket: uint16(Bucket(record.Latency)), Censored: record.End == Censored, Count: 1}
		if record.End == Failed {
			row.Bucket = neverBucket
		}
		for rule := range Rules {
			row.Weight[rule] = uint64(shares.weight[rule]*scale + 0.5)
			cell.SquaredWeights[rule] += uint64(shares.weight[rule]*shares.weight[rule]*scale + 0.5)
		}
		cell.addRow(row)
	}
}

// cell returns the cell of a key, and adds it if it is new.
func (f *Folder) cell(key Key) *Cell {
	cached := &f.cache[(key.Host*0x9e3779b1>>20+uint32(key.LoadBand)*7+uint32(key.Class)*31)%cacheSize]
	if cell := *cached; cell != nil && cell.Key == key {
		return cell
	}
	cell := f.cells[key]
	if cell == nil {
		cell = &Cell{Key: key}
		f.cells[key] = cell
	}
	*cached = cell
	return cell
}

// AddLost counts records that did not arrive, as the queue was full.
func (f *Folder) AddLost(n int) {
	f.attempts += uint32(n)
	f.lostRecords += uint32(n)
}

// Close ends the window, returns its summary and starts the next one. The cells are in the order of their keys.
func (f *Folder) Close() (cells []Cell, attempts, lost uint32) {
	for _, key := range slices.SortedFunc(maps.Keys(f.cells), Key.compare) {
		cells = append(cells, *f.cells[key])
	}
	attempts, lost = f.attempts, f.lostRecords
	f.cells, f.attempts, f.lostRecords = make(map[Key]*Cell, len(cells)), 0, 0
	clear(f.cache[:])
	return cells, attempts, lost
}
