package counterfactual

import (
	"maps"
	"slices"
)

const cellCacheSize = 512 // entries; a hash of the cell's key is the index

// Summarizer adds up the records of one gateway into the summary of the current window. It is not safe for concurrent
// use.
type Summarizer struct {
	maxCells    int
	zone        uint8
	cells       map[CellKey]*Cell
	attempts    uint32
	lostRecords uint32
	shares      ruleShares           // shares of the record that Add handles; kept to reuse its slices
	cache       [cellCacheSize]*Cell // recently used cells, to save lookups in the cells map; nil: unused
}

// NewSummarizer returns a summarizer for a gateway in a zone. A window has at most maxCells cells; records that may
// need more are counted as lost.
func NewSummarizer(zone, maxCells int) *Summarizer {
	return &Summarizer{maxCells: maxCells, zone: uint8(zone), cells: map[CellKey]*Cell{}}
}

// Add adds a record to the current window. A record is counted as lost if it is invalid, or if a new cell for each of
// its candidates might exceed the maximum number of cells.
func (s *Summarizer) Add(record *Record) {
	s.attempts++
	if len(s.cells)+len(record.Candidates) > s.maxCells || !s.shares.compute(record.Candidates) {
		s.lostRecords++
		return
	}
	for i := range record.Candidates {
		candidate := &record.Candidates[i]
		cell := s.cell(CellKey{
			Class:       uint16(record.Class),
			GatewayZone: s.zone,
			Host:        candidate.Host,
			Incarnation: candidate.Incarnation,
			LoadBand:    uint8(loadBand(candidate.Load)),
		})
		s.addMass(cell, i, candidate.Probability > 0)
		if i == 0 {
			s.addOutcome(cell, record)
		}
	}
}

// addMass adds to the candidate's cell the fraction of the attempt that each rule would have sent to the candidate,
// given by its index.
func (s *Summarizer) addMass(cell *Cell, candidate int, eligible bool) {
	for rule := range NumRules {
		mass := toFixedPoint(s.shares.mass[rule][candidate])
		cell.Mass[rule] += mass
		if !eligible {
			cell.Unreachable[rule] += mass
		}
	}
}

// addOutcome adds the outcome of the attempt to the cell of the chosen host.
func (s *Summarizer) addOutcome(cell *Cell, record *Record) {
	row := Row{
		Group:    uint8(customerGroup(record.Customer)),
		Bucket:   uint16(LatencyBucket(record.Latency)),
		Censored: record.End == Censored,
		Count:    1,
	}
	if record.End == Failed {
		row.Bucket = noResponseBucket
	}
	for rule := range NumRules {
		weight := s.shares.weight[rule]
		row.Weights[rule] = toFixedPoint(weight)
		cell.SquaredWeights[rule] += toFixedPoint(weight * weight)
	}
	cell.addRow(row)
}

// toFixedPoint returns a value in units of 1/fixedPointScale, rounded to the nearest integer.
func toFixedPoint(value float64) uint64 { return uint64(value*fixedPointScale + 0.5) }

// cell returns the cell of a key. It creates the cell if there is none.
func (s *Summarizer) cell(key CellKey) *Cell {
	cached := &s.cache[(key.Host*0x9e3779b1>>20+uint32(key.LoadBand)*7+uint32(key.Class)*31)%cellCacheSize]
	if cell := *cached; cell != nil && cell.Key == key {
		return cell
	}
	cell := s.cells[key]
	if cell == nil {
		cell = &Cell{Key: key}
		s.cells[key] = cell
	}
	*cached = cell
	return cell
}

// AddLost counts n records as lost that were dropped before Add, because the queue was full.
func (s *Summarizer) AddLost(n int) {
	s.attempts += uint32(n)
	s.lostRecords += uint32(n)
}

// Flush ends the window, returns its summary and starts the next window. The cells are sorted by key. attempts counts
// all records of the window, of which lost are not in the cells.
func (s *Summarizer) Flush() (cells []Cell, attempts, lost uint32) {
	for _, key := range slices.SortedFunc(maps.Keys(s.cells), CellKey.compare) {
		cells = append(cells, *s.cells[key])
	}
	attempts = s.attempts
	lost = s.lostRecords
	s.attempts = 0
	s.lostRecords = 0
	s.cells = make(map[CellKey]*Cell, len(cells))
	clear(s.cache[:])
	return cells, attempts, lost
}
