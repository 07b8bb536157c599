package counterfactual

import (
	"iter"
	"maps"
	"slices"
	"time"

	"ravensill/internal/clock"
)

// Settings of a Ledger.
type Settings struct {
	Gateways        int             // number of gateways that are expected to report
	Window          time.Duration   // length of a bin and of the gateways' windows
	Grace           time.Duration   // after a bin's end; a message that arrives later does not count
	KeptBins        int             // number of bins kept
	MaxCells        int             // in all bins together
	MaxMissingShare float64         // fraction of all attempts that may be missing from a figure
	Objectives      []time.Duration // latency objective by request class: longer times count as the objective
	Classes         []string        // names of the request classes

	HostID func(uint32) string // returns a host's id; nil: its number is used
	Yield  func()              // called between steps of a long computation; may be nil
}

// MessageCounts counts messages by what became of them.
type MessageCounts struct {
	Merged         int
	Duplicates     int `json:"Twice"`
	Late           int // for a bin that no longer changes
	OldIncarnation int `json:"OldLife"` // of an earlier incarnation than the latest
	Invalid        int `json:"Strange"`
	OutOfCapacity  int `json:"Full"` // for which the ledger had no capacity
}

// Ledger merges the summaries of the gateways in bins of its own clock. The age of a message leads to its bin, so that
// clocks need not agree. A sealed bin never changes.
type Ledger struct {
	Counts   MessageCounts
	settings Settings
	bins     map[BinNumber]*bin
	gateways map[uint32]*reporter
	cells    int // in all bins and incomplete windows
}

// BinNumber is the number of a bin: the bin starts that many window lengths after the zero of the ledger's clock.
type BinNumber int64

// bin contains the cells of one window length.
type bin struct{ cells map[CellKey]*mergedCell }

// mergedCell is a Cell with its rows by key.
type mergedCell struct {
	mass           [NumRules]uint64
	unreachable    [NumRules]uint64
	squaredWeights [NumRules]uint64
	rows           map[uint32]*Row
}

// reporter is a gateway that has reported.
type reporter struct {
	zone        uint8
	incarnation uint64    // the latest one
	windows     []*window // of all incarnations, in bins that are kept
}

// window is one window of a gateway. It counts once all its parts are received.
type window struct {
	incarnation uint64
	number      uint32
	bin         BinNumber
	total       int               // number of its parts
	parts       map[uint16][]Cell // received so far, until it is complete
	complete    bool
	attempts    uint32
	lostRecords uint32
}

// NewLedger returns an empty ledger.
func NewLedger(settings Settings) *Ledger {
	return &Ledger{settings: settings, bins: map[BinNumber]*bin{}, gateways: map[uint32]*reporter{}}
}

// Receive merges a part that arrived at an instant. It returns false if the part should be sent again.
func (l *Ledger) Receive(part *SummaryPart, now clock.Instant) bool {
	l.dropOldBins(now)
	if !l.valid(part) {
		l.Counts.Invalid++
		return true
	}
	windowEnd := now.Add(-time.Duration(part.Age) * time.Millisecond)
	if windowEnd < 0 { // before the clock's zero
		l.Counts.Late++
		return true
	}
	gateway := l.reporter(part.Gateway)
	if part.Incarnation < gateway.incarnation {
		l.Counts.OldIncarnation++
		return true
	}
	gateway.incarnation = part.Incarnation
	gateway.zone = part.Zone
	w := gateway.window(part)
	if w == nil {
		w = newWindow(part, l.BinAt(windowEnd))
	}
	if w.contradicts(part) {
		l.Counts.Invalid++
		return true
	}
	if w.received(part) {
		l.Counts.Duplicates++
		return true
	}
	if l.sealed(w.bin, now) {
		l.Counts.Late++
		return true
	}
	if l.cells+len(part.Cells) > l.settings.MaxCells {
		l.Counts.OutOfCapacity++
		return false
	}
	l.add(gateway, w, part)
	return true
}

// valid reports whether a part can be from a gateway with the same settings.
func (l *Ledger) valid(part *SummaryPart) bool {
	windowLength := time.Duration(part.WindowLength) * time.Millisecond
	return part.Gateway < uint32(l.settings.Gateways) && windowLength == l.settings.Window
}

// reporter returns the reporter of a gateway, a new one if there is none.
func (l *Ledger) reporter(gateway uint32) *reporter {
	r := l.gateways[gateway]
	if r == nil {
		r = &reporter{}
		l.gateways[gateway] = r
	}
	return r
}

// add adds a part to its window, and the window to its bin once it is complete.
func (l *Ledger) add(gateway *reporter, w *window, part *SummaryPart) {
	if len(w.parts) == 0 {
		gateway.windows = append(gateway.windows, w)
	}
	w.parts[part.Index] = part.Cells
	l.cells += len(part.Cells)
	l.Counts.Merged++
	if len(w.parts) == w.total {
		l.merge(w)
	}
}

// window returns the window of a part, or nil if no other part of it was received.
func (r *reporter) window(part *SummaryPart) *window {
	for _, w := range r.windows {
		if w.incarnation == part.Incarnation && w.number == part.Window {
			return w
		}
	}
	return nil
}

// newWindow returns the window of a first part.
func newWindow(part *SummaryPart, bin BinNumber) *window {
	return &window{
		incarnation: part.Incarnation,
		number:      part.Window,
		bin:         bin,
		total:       int(part.Total),
		parts:       map[uint16][]Cell{},
		attempts:    part.Attempts,
		lostRecords: part.LostRecords,
	}
}

// received reports whether a part is a duplicate.
func (w *window) received(part *SummaryPart) bool {
	_, received := w.parts[part.Index]
	return received || w.complete
}

// contradicts reports whether a part does not belong to the same window as the others.
func (w *window) contradicts(part *SummaryPart) bool {
	return w.total != int(part.Total) || w.attempts != part.Attempts || w.lostRecords != part.LostRecords
}

// merge adds a complete window to its bin.
func (l *Ledger) merge(w *window) {
	b := l.bins[w.bin]
	if b == nil {
		b = &bin{cells: map[CellKey]*mergedCell{}}
		l.bins[w.bin] = b
	}
	for _, cells := range w.parts {
		l.cells -= len(cells)
		for i := range cells {
			cell := &cells[i]
			merged := b.cells[cell.Key]
			if merged == nil {
				merged = &mergedCell{rows: map[uint32]*Row{}}
				b.cells[cell.Key] = merged
				l.cells++
			}
			merged.add(cell)
		}
	}
	w.parts = nil
	w.complete = true
}

// add adds a cell.
func (m *mergedCell) add(cell *Cell) {
	for rule := range NumRules {
		m.mass[rule] += cell.Mass[rule]
		m.unreachable[rule] += cell.Unreachable[rule]
		m.squaredWeights[rule] += cell.SquaredWeights[rule]
	}
	for _, row := range cell.Rows {
		merged := m.rows[row.key()]
		if merged == nil {
			m.rows[row.key()] = &row
			continue
		}
		merged.add(&row)
	}
}

// BinAt returns the bin of an instant.
func (l *Ledger) BinAt(instant clock.Instant) BinNumber {
	return BinNumber(instant / clock.Instant(l.settings.Window))
}

// binEnd returns the instant at which a bin ends.
func (l *Ledger) binEnd(bin BinNumber) clock.Instant {
	return clock.Instant(bin+1) * clock.Instant(l.settings.Window)
}

// sealed reports whether a bin no longer changes.
func (l *Ledger) sealed(bin BinNumber, now clock.Instant) bool {
	return now >= l.binEnd(bin).Add(l.settings.Grace)
}

// LastSealedBin returns the newest bin that no longer changes.
func (l *Ledger) LastSealedBin(now clock.Instant) BinNumber {
	return l.BinAt(now.Add(-l.settings.Grace)) - 1
}

// FirstBin returns the oldest bin of any window, or 0 if there is none.
func (l *Ledger) FirstBin() (first BinNumber) {
	for _, gateway := range l.gateways {
		for _, w := range gateway.windows {
			if first == 0 || w.bin < first {
				first = w.bin
			}
		}
	}
	return first
}

// Hosts returns the hosts to which attempts of a request class in the bins from..to could have gone.
func (l *Ledger) Hosts(class int, from, to BinNumber) []uint32 {
	from, to = l.boundSpan(from, to)
	hosts := map[uint32]bool{}
	for _, bin := range l.binsBetween(from, to) {
		for key, cell := range bin.cells {
			if int(key.Class) == class && cell.mass[OneHost] > 0 {
				hosts[key.Host] = true
			}
		}
	}
	return slices.Sorted(maps.Keys(hosts))
}

// binsBetween returns the bins from..to that have any cells, with their numbers in ascending order.
func (l *Ledger) binsBetween(from, to BinNumber) iter.Seq2[BinNumber, *bin] {
	return func(yield func(BinNumber, *bin) bool) {
		for number := from; number <= to; number++ {
			bin := l.bins[number]
			if bin != nil && !yield(number, bin) {
				return
			}
		}
	}
}

// dropOldBins drops bins that are too old to keep.
func (l *Ledger) dropOldBins(now clock.Instant) {
	oldest := l.BinAt(now) - BinNumber(l.settings.KeptBins)
	for number, bin := range l.bins {
		if number < oldest {
			l.cells -= len(bin.cells)
			delete(l.bins, number)
		}
	}
	for _, gateway := range l.gateways {
		gateway.windows = slices.DeleteFunc(gateway.windows, func(w *window) bool {
			if w.bin >= oldest {
				return false
			}
			for _, cells := range w.parts {
				l.cells -= len(cells)
			}
			return true
		})
	}
}
