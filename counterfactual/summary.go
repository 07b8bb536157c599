package counterfactual

import "cmp"

// CellKey identifies a cell: attempts of one request class, from gateways in one zone, at one process of a host, with
// estimated loads in one band.
type CellKey struct {
	_           struct{} `cbor:",toarray"`
	Class       uint16
	GatewayZone uint8
	Host        uint32
	Incarnation uint32
	LoadBand    uint8
}

// compare orders keys.
func (k CellKey) compare(other CellKey) int {
	return cmp.Or(
		cmp.Compare(k.Class, other.Class),
		cmp.Compare(k.GatewayZone, other.GatewayZone),
		cmp.Compare(k.Host, other.Host),
		cmp.Compare(k.Incarnation, other.Incarnation),
		cmp.Compare(k.LoadBand, other.LoadBand),
	)
}

// Row counts the outcomes of one customer group in one bucket of response time.
type Row struct {
	_        struct{} `cbor:",toarray"`
	Group    uint8
	Bucket   uint16
	Censored bool // longer than the bucket's time by an unknown amount
	Count    uint32
	Weights  [NumRules]uint64 // sums of the weights by rule, in 1/scale
}

// key identifies the row within its cell.
func (r *Row) key() uint32 {
	key := uint32(r.Group)<<11 | uint32(r.Bucket)<<1
	if r.Censored {
		key |= 1
	}
	return key
}

// add adds the counts of another row.
func (r *Row) add(other *Row) {
	r.Count += other.Count
	for rule := range r.Weights {
		r.Weights[rule] += other.Weights[rule]
	}
}

// Cell contains the sums of the attempts with a key. They are sums of integers, so that the order in which cells are
// merged does not matter.
type Cell struct {
	_              struct{} `cbor:",toarray"`
	Key            CellKey
	Mass           [NumRules]uint64 // attempts that each rule would have sent to the host, in 1/scale
	Unreachable    [NumRules]uint64 // of these, the ones for which the gateway could not have chosen the host
	SquaredWeights [NumRules]uint64 // sums of the squared weights of the attempts at the host, in 1/scale
	Rows           []Row
}

// addRow adds a row.
func (c *Cell) addRow(r Row) {
	for i := range c.Rows {
		if c.Rows[i].key() == r.key() {
			c.Rows[i].add(&r)
			return
		}
	}
	c.Rows = append(c.Rows, r)
}

// SummaryPart is one message: a part of a gateway's summary of a window. (Gateway, Incarnation, Window, Index) identify it: a
// duplicate does not count.
type SummaryPart struct {
	_            struct{} `cbor:",toarray"`
	Version      uint8
	Gateway      uint32 // member index
	Zone         uint8
	Incarnation  uint64 // start time; a later incarnation has a greater one
	Window       uint32 // from 0 in each incarnation
	Index        uint16 // of this part, from 0
	Total        uint16 // number of parts of the window
	WindowLength uint32 // milliseconds
	Age          uint32 // milliseconds since the window's end, so that clocks need not agree
	Attempts     uint32 // that ended in the window
	LostRecords  uint32 // attempts that were not folded: the queue or the table was full
	Cells        []Cell
}

// version of the messages.
const version = 1
