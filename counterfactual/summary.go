package counterfactual

import "cmp"

// CellKey identifies a cell: attempts of one request class that gateways in one zone could send, or have sent, to one
// process of a host while its estimated load was in one band.
type CellKey struct {
	_           struct{} `cbor:",toarray"`
	Class       uint16   // index of the request class
	GatewayZone uint8
	Host        uint32 // number of the host
	Incarnation uint32 // of the host's process, as in Candidate
	LoadBand    uint8  // result of loadBand
}

// compare compares the fields in the order of their declaration. Its result is that of cmp.Compare.
func (k CellKey) compare(other CellKey) int {
	return cmp.Or(
		cmp.Compare(k.Class, other.Class),
		cmp.Compare(k.GatewayZone, other.GatewayZone),
		cmp.Compare(k.Host, other.Host),
		cmp.Compare(k.Incarnation, other.Incarnation),
		cmp.Compare(k.LoadBand, other.LoadBand),
	)
}

// Row counts the outcomes of one customer group in one bucket of response time, censored and others apart.
type Row struct {
	_        struct{}         `cbor:",toarray"`
	Group    uint8            // result of customerGroup
	Bucket   uint16           // result of LatencyBucket, or noResponseBucket
	Censored bool             // the response times are longer than the bucket's by an unknown amount
	Count    uint32           // number of attempts, at least 1
	Weights  [NumRules]uint64 // sums of the attempts' importance weights by rule, in units of 1/fixedPointScale
}

// key identifies the row within its cell. Keys order rows by group, bucket and Censored.
func (r *Row) key() uint32 {
	key := uint32(r.Group)<<11 | uint32(r.Bucket)<<1
	if r.Censored {
		key |= 1
	}
	return key
}

// add adds the counts and weights of another row with the same key.
func (r *Row) add(other *Row) {
	r.Count += other.Count
	for rule := range r.Weights {
		r.Weights[rule] += other.Weights[rule]
	}
}

// Cell contains the sums over the attempts with a key. They are sums of integers, so that the order in which cells are
// merged does not matter. Mass, Unreachable and SquaredWeights are in units of 1/fixedPointScale, by rule.
type Cell struct {
	_              struct{} `cbor:",toarray"`
	Key            CellKey
	Mass           [NumRules]uint64 // number of attempts that the rule would have sent to the host
	Unreachable    [NumRules]uint64 // part of Mass for which the gateway could not have chosen the host
	SquaredWeights [NumRules]uint64 // sum of the squared importance weights of the attempts sent to the host
	Rows           []Row            // outcomes of the attempts sent to the host
}

// addRow adds a row to the one with the same key, or appends it.
func (c *Cell) addRow(r Row) {
	for i := range c.Rows {
		if c.Rows[i].key() == r.key() {
			c.Rows[i].add(&r)
			return
		}
	}
	c.Rows = append(c.Rows, r)
}

// SummaryPart is one message: a part of a gateway's summary of a window. Gateway, Incarnation, Window and Index
// identify it; a ledger ignores duplicates.
type SummaryPart struct {
	_            struct{} `cbor:",toarray"`
	Version      uint8    // formatVersion
	Gateway      uint32   // member index
	Zone         uint8    // zone index of the gateway
	Incarnation  uint64   // start time of the gateway; a later incarnation has a greater one
	Window       uint32   // number of the window, from 0 in each incarnation
	Index        uint16   // number of this part, from 0
	Total        uint16   // number of parts of the window
	WindowLength uint32   // milliseconds
	Age          uint32   // milliseconds from the window's end to the sending, by the gateway's clock
	Attempts     uint32   // attempts that ended in the window, with those of LostRecords
	LostRecords  uint32   // attempts that are not in the cells: invalid, or the queue or the summary was full
	Cells        []Cell
}

// formatVersion is the only message version that Decode accepts.
const formatVersion = 1
