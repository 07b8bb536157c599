package counterfactual

import (
	"iter"
	"maps"
	"slices"
	"time"

	"ravensill/internal/clock"
)

// Settings describes the gateways that report to a Ledger, and limits what the ledger keeps.
type Settings struct {
	Gateways        int             // number of gateways that are expected to report
	Window          time.Duration   // length of a bin and of the gateways' windows
	Grace           time.Duration   // time from a bin's end until the bin is sealed; later messages for it are ignored
	KeptBins        int             // number of bins that are kept, besides the current one
	MaxCells        int             // number of cells in all bins and incomplete windows together
	MaxMissingShare float64         // estimated fraction of all attempts; if more are not reported, answers are refused
	Objectives      []time.Duration // latency objective by request class; longer times count as the objective
	Classes         []string        // names of the request classes, by index

	HostID func(uint32) string // returns a host's id, or an empty string if it is unknown; may be nil
	Yield  func()              // called between the steps of long computations to let other goroutines run; may be nil
}

// MessageCounts counts the messages that a Ledger received by what became of them. Only merged ones count in estimates.
// Its JSON names are those in answers to queries.
type MessageCounts struct {
	Merged         int
	Duplicates     int `json:"Twice"`
	Late           int // the bin was sealed already
	OldIncarnation int `json:"OldLife"` // sent by an earlier incarnation of the gateway than the latest
	Invalid        int `json:"Strange"` // contradicting the settings or other parts of the window
	OutOfCapacity  int `json:"Full"`    // not merged because of Settings.MaxCells
}

// Ledger merges the summaries of the gateways' windows into bins: intervals of one window length by the ledger's own
// clock. The age in a message says in which bin its window ended, so that clocks need not agree. A sealed bin, that is,
// one that ended more than Settings.Grace ago, never changes. A Ledger is not safe for concurrent use.
type Ledger struct {
	Counts    MessageCounts // counts since NewLedger; callers must not change them
	settings  Settings
	bins      map[BinNumber]*bin
	gateways  map[uint32]*reporter // gateways that have reported, by member index
	cellCount int                  // cells in all bins and incomplete windows
}

// BinNumber is the number of a bin. The bin starts that many window lengths after the zero of the ledger's clock.
type BinNumber int64

// bin contains the merged cells of all complete windows that ended in it.
type bin struct{ cells map[CellKey]*mergedCell }

// mergedCell is the sum of all Cells with one key in a bin. Its rows are indexed by Row.key.
type mergedCell struct {
	mass           [NumRules]uint64
	unreachable    [NumRules]uint64
	squaredWeights [NumRules]uint64
	rows           map[uint32]*Row
}

// reporter is a gateway of which a message has arrived.
type reporter struct {
	zone        uint8
	incarnation uint64    // the latest one of which a message has arrived
	windows     []*window // windows of all incarnations, as long as their bins are kept
}

// window is one window of a gateway. It is merged into its bin when all of its parts have arrived.
type window struct {
	incarnation uint64
	number      uint32
	bin         BinNumber         // the bin in which the window ended
	total       int               // number of its parts
	parts       map[uint16][]Cell // cells of the parts received so far, by SummaryPart.Index; nil once complete
	complete    bool              // all parts are merged
	attempts    uint32            // SummaryPart.Attempts of its parts
	lostRecords uint32            // SummaryPart.LostRecords of its parts
}

// NewLedger returns an empty ledger.
func NewLedger(settings Settings) *Ledger {
	return &Ledger{settings: settings, bins: map[BinNumber]*bin{}, gateways: map[uint32]*reporter{}}
}

// Receive merges a part, or ignores it and counts why. now is the time of arrival by the ledger's clock. Receive
// returns false if the ledger is full, so that the gateway should send the part again later.
func (l *Ledger) Receive(part *SummaryPart, now clock.Instant) bool {
	l.dropOldBins(now)
	if !l.matchesSettings(part) {
		l.Counts.Invalid++
		return true
	}
	windowEnd := now.Add(-time.Duration(part.Age) * time.Millisecond)
	if windowEnd < 0 { // before the zero of the ledger's clock
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
	if w.hasPart(part) {
		l.Counts.Duplicates++
		return true
	}
	if l.sealed(w.bin, now) {
		l.Counts.Late++
		return true
	}
	if l.cellCount+len(part.Cells) > l.settings.MaxCells {
		l.Counts.OutOfCapacity++
		return false
	}
	l.addPart(gateway, w, part)
	return true
}

// matchesSettings reports whether a part is from an expected gateway with the same window length.
func (l *Ledger) matchesSettings(part *SummaryPart) bool {
	windowLength := time.Duration(part.WindowLength) * time.Millisecond
	return part.Gateway < uint32(l.settings.Gateways) && windowLength == l.settings.Window
}

// reporter returns the reporter of a gateway. It creates the reporter if there is none.
func (l *Ledger) reporter(gateway uint32) *reporter {
	r := l.gateways[gateway]
	if r == nil {
		r = &reporter{}
		l.gateways[gateway] = r
	}
	return r
}

// addPart adds a part to its window, and merges the window into its bin once it is complete.
func (l *Ledger) addPart(gateway *reporter, w *window, part *SummaryPart) {
	if len(w.parts) == 0 {
		gateway.windows = append(gateway.windows, w)
	}
	w.parts[part.Index] = part.Cells
	l.cellCount += len(part.Cells)
	l.Counts.Merged++
	if len(w.parts) == w.total {
		l.mergeWindow(w)
	}
}

// window returns the window of a part, or nil if no other part of the window has arrived.
func (r *reporter) window(part *SummaryPart) *window {
	for _, w := range r.windows {
		if w.incarnation == part.Incarnation && w.number == part.Window {
			return w
		}
	}
	return nil
}

// newWindow returns the window of the first part that arrives, without the part's cells.
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

// hasPart reports whether the part has arrived before.
func (w *window) hasPart(part *SummaryPart) bool {
	_, received := w.parts[part.Index]
	return received || w.complete
}

// contradicts reports whether a part has other totals than the parts of the window that arrived before. A correct
// gateway never sends such a part.
func (w *window) contradicts(part *SummaryPart) bool {
	return w.total != int(part.Total) || w.attempts != part.Attempts || w.lostRecords != part.LostRecords
}

// mergeWindow adds the cells of a window to its bin and marks the window as complete.
func (l *Ledger) mergeWindow(w *window) {
	b := l.bins[w.bin]
	if b == nil {
		b = &bin{cells: map[CellKey]*mergedCell{}}
		l.bins[w.bin] = b
	}
	for _, cells := range w.parts {
		l.cellCount -= len(cells)
		for i := range cells {
			cell := &cells[i]
			merged := b.cells[cell.Key]
			if merged == nil {
				merged = &mergedCell{rows: map[uint32]*Row{}}
				b.cells[cell.Key] = merged
				l.cellCount++
			}
			merged.add(cell)
		}
	}
	w.parts = nil
	w.complete = true
}

// add adds the sums and rows of a cell with the same key.
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

// BinAt returns the bin that contains an instant of the ledger's clock.
func (l *Ledger) BinAt(instant clock.Instant) BinNumber {
	return BinNumber(instant / clock.Instant(l.settings.Window))
}

// binEnd returns the instant of the ledger's clock at which a bin ends and the next one starts.
func (l *Ledger) binEnd(bin BinNumber) clock.Instant {
	return clock.Instant(bin+1) * clock.Instant(l.settings.Window)
}

// sealed reports whether a bin no longer changes at the instant now.
func (l *Ledger) sealed(bin BinNumber, now clock.Instant) bool {
	return now >= l.binEnd(bin).Add(l.settings.Grace)
}

// LastSealedBin returns the newest bin that no longer changes at the instant now.
func (l *Ledger) LastSealedBin(now clock.Instant) BinNumber {
	return l.BinAt(now.Add(-l.settings.Grace)) - 1
}

// FirstBin returns the oldest bin of any window that is kept, or 0 if there is none.
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

// Hosts returns the numbers of the hosts to which attempts of a request class in the bins from..to could have gone, in
// ascending order.
func (l *Ledger) Hosts(class int, from, to BinNumber) []uint32 {
	from, to = l.limitRange(from, to)
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

// binsBetween iterates over the bins from..to that have a complete window, in ascending order of their numbers.
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

// dropOldBins drops the bins that are more than Settings.KeptBins older than the current one, with their windows.
func (l *Ledger) dropOldBins(now clock.Instant) {
	oldest := l.BinAt(now) - BinNumber(l.settings.KeptBins)
	for number, bin := range l.bins {
		if number < oldest {
			l.cellCount -= len(bin.cells)
			delete(l.bins, number)
		}
	}
	for _, gateway := range l.gateways {
		gateway.windows = slices.DeleteFunc(gateway.windows, func(w *window) bool {
			if w.bin >= oldest {
				return false
			}
			for _, cells := range w.parts {
				l.cellCount -= len(cells)
			}
			return true
		})
	}
}
