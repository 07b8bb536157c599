package counterfactual

import (
	"maps"
	"slices"
)

const cacheSize = 512 // cells

// Summarizer folds the records of one gateway into the summary of the current window.
type Summarizer struct {
	maxCells    int
	zone        uint8
	cells       map[CellKey]*Cell
	attempts    uint32
	lostRecords uint32
	shares      ruleShares       // scratch
	cache       [cacheSize]*Cell // cells used recently, by a hash of their key
}

// NewSummarizer returns a folder for a gateway in a zone. It has at most maxCells cells; records that need more are counted
// as lost.
func NewSummarizer(zone, maxCells int) *Summarizer {
	return &Summarizer{maxCells: maxCells, zone: uint8(zone), cells: map[CellKey]*Cell{}}
}

// Add folds a record. One that is invalid, or may need more cells than there are, is counted as lost.
func (f *Summarizer) Add(record *Record) {
	f.attempts++
	if len(f.cells)+len(record.Candidates) > f.maxCells || !f.shares.compute(record.Candidates) {
		f.lostRecords++
		return
	}
	for i := range record.Candidates {
		candidate := &record.Candidates[i]
		cell := f.cell(CellKey{
			Class:       uint16(record.Class),
			GatewayZone: f.zone,
			Host:        candidate.Host,
			Incarnation: candidate.Incarnation,
			LoadBand:    uint8(loadBand(candidate.Load)),
		})
		f.addMass(cell, i, candidate.Probability > 0)
		if i == 0 {
			f.addOutcome(cell, record)
		}
	}
}

// addMass adds the fraction of the attempt that each rule would have sent to a candidate.
func (f *Summarizer) addMass(cell *Cell, candidate int, eligible bool) {
	for rule := range NumRules {
		mass := scaled(f.shares.mass[rule][candidate])
		cell.Mass[rule] += mass
		if !eligible {
			cell.Unreachable[rule] += mass
		}
	}
}

// addOutcome adds the outcome at the chosen host.
func (f *Summarizer) addOutcome(cell *Cell, record *Record) {
	row := Row{
		Group:    uint8(customerGroup(record.Customer)),
		Bucket:   uint16(LatencyBucket(record.Latency)),
		Censored: record.End == Censored,
		Count:    1,
	}
	if record.End == Failed {
		row.Bucket = neverBucket
	}
	for rule := range NumRules {
		weight := f.shares.weight[rule]
		row.Weights[rule] = scaled(weight)
		cell.SquaredWeights[rule] += scaled(weight * weight)
	}
	cell.addRow(row)
}

// scaled returns a value in units of 1/scale.
func scaled(value float64) uint64 { return uint64(value*scale + 0.5) }

// cell returns the cell of a key, a new one if there is none.
func (f *Summarizer) cell(key CellKey) *Cell {
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

// AddLost counts records that the queue had no capacity for.
func (f *Summarizer) AddLost(n int) {
	f.attempts += uint32(n)
	f.lostRecords += uint32(n)
}

// Flush ends the window, returns its summary and starts the next one. The cells are in the order of their keys.
func (f *Summarizer) Flush() (cells []Cell, attempts, lost uint32) {
	for _, key := range slices.SortedFunc(maps.Keys(f.cells), CellKey.compare) {
		cells = append(cells, *f.cells[key])
	}
	attempts = f.attempts
	lost = f.lostRecords
	f.attempts = 0
	f.lostRecords = 0
	f.cells = make(map[CellKey]*Cell, len(cells))
	clear(f.cache[:])
	return cells, attempts, lost
}
