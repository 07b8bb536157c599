package counterfactual

import (
	"maps"
	"slices"
)

// Settings of a Ledger.
type Settings struct {
	Gateways   int                 // number of gateways that are expected to report
	Window     int64               // length of a bin and of the gateways' windows, ns
	Grace      int64               // ns after a bin's end; what arrives later does not count
	KeptBins   int                 // number of bins kept
	MaxCells   int                 // in all bins together
	MaxMissing float64             // fraction of the fleet's attempts that may be missing from a figure
	Objectives []int64             // latency objective by request class, ns: figures are of times up to it
	Classes    []string            // names of the request classes
	HostID     func(uint32) string // returns a host's id; nil: its number is used
	Yield      func()              // called between steps of a long computation; may be nil
}

// Counts counts messages by what became of them.
type Counts struct {
	Merged         int
	Duplicates     int `json:"Twice"`
	Late           int // for a bin that no longer changes
	OldIncarnation int `json:"OldLife"` // of an earlier incarnation than the latest
	Invalid        int `json:"Strange"`
	OutOfCapacity  int `json:"Full"` // for which the ledger had no capacity
}

// Ledger merges the summaries of the gateways, in bins of its own clock. A message names its bin by its age, so that clocks need
// not agree. A sealed bin never changes.
type Ledger struct {
	Counts   Counts
	settings Settings
	bins     map[int64]*bin
	gateways map[uint32]*reporter
	cells    int // in all bins and incomplete windows
}

// bin holds the cells of one window length.
type bin struct{ cells map[Key]*mergedCell }

// mergedCell is a Cell with its rows by their keys.
type mergedCell struct {
	mass           [Rules]uint64
	unreachable    [Rules]uint64
	squaredWeights [Rules]uint64
	rows           map[uint32]*Row
}

// reporter is a gateway that has reported.
type reporter struct {
	zone        uint8
	incarnation uint64    // the latest one
	windows     []*window // of all incarnations that have a bin kept
}

// window is one window of a gateway. It counts whole or not at all.
type window struct {
	incarnation uint64
	number      uint32
	bin         int64
	total       int               // number of its parts
	parts       map[uint16][]Cell // received so far, until it is complete
	complete    bool
	attempts    uint32
	lostRecords uint32
}

// NewLedger returns an empty ledger.
func NewLedger(settings Settings) *Ledger {
	return &Ledger{settings: settings, bins: map[int64]*bin{}, gateways: map[uint32]*reporter{}}
}

// Receive merges a part that arrived at a time. It returns false if the part should be sent again.
func (l *Ledger) Receive(part *Part, now int64) bool {
	l.dropOldBins(now)
	age := int64(part.Age) * 1e6
	bin := (now - age) / l.settings.Window
	switch {
	case part.Gateway >= uint32(l.settings.Gateways) || int64(part.WindowLength)*1e6 != l.settings.Window:
		l.Counts.Invalid++
		return true
	case age > now:
		l.Counts.Late++
		return true
	}
	gateway := l.gateways[part.Gateway]
	if gateway == nil {
		gateway = &reporter{}
		l.gateways[part.Gateway] = gateway
	}
	if part.Incarnation < gateway.incarnation {
		l.Counts.OldIncarnation++
		return true
	}
	gateway.incarnation = part.Incarnation
	gateway.zone = part.Zone
	w := gateway.window(part)
	if w != nil {
		if w.contradicts(part) {
			l.Counts.Invalid++
			return true
		}
		if _, received := w.parts[part.Index]; received || w.complete {
			l.Counts.Duplicates++
			return true
		}
		bin = w.bin
	}
	if l.sealed(bin, now) {
		l.Counts.Late++
		return true
	}
	if l.cells+len(part.Cells) > l.settings.MaxCells {
		l.Counts.OutOfCapacity++
		return false
	}
	if w == nil {
		w = newWindow(part, bin)
		gateway.windows = append(gateway.windows, w)
	}
	w.parts[part.Index] = part.Cells
	l.cells += len(part.Cells)
	l.Counts.Merged++
	if len(w.parts) == w.total {
		l.merge(w)
	}
	return true
}

// window returns the window that a part belongs to, or nil if this is its first part.
func (r *reporter) window(part *Part) *window {
	for _, w := range r.windows {
		if w.incarnation == part.Incarnation && w.number == part.Window {
			return w
		}
	}
	return nil
}

// newWindow returns the window of its first part.
func newWindow(part *Part, bin int64) *window {
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

// contradicts reports whether a part does not belong to the same window as the others.
func (w *window) contradicts(part *Part) bool {
	return w.total != int(part.Total) || w.attempts != part.Attempts || w.lostRecords != part.LostRecords
}

// merge adds a complete window to its bin.
func (l *Ledger) merge(w *window) {
	b := l.bins[w.bin]
	if b == nil {
		b = &bin{cells: map[Key]*mergedCell{}}
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
func (m *mergedCell) add(c *Cell) {
	for r := range Rules {
		m.mass[r] += c.Mass[r]
		m.unreachable[r] += c.Unreachable[r]
		m.squaredWeights[r] += c.SquaredWeights[r]
	}
	for _, r := range c.Rows {
		if y := m.rows[r.key()]; y != nil {
			y.add(&r)
		} else {
			m.rows[r.key()] = &r
		}
	}
}

// sealed reports whether a bin no longer changes.
func (l *Ledger) sealed(bin, now int64) bool {
	return now >= (bin+1)*l.settings.Window+l.settings.Grace
}

// Sealed returns the newest bin that no longer changes.
func (l *Ledger) Sealed(now int64) int64 { return (now-l.settings.Grace)/l.settings.Window - 1 }

// First returns the oldest bin that holds anything, or 0 if none does.
func (l *Ledger) First() (first int64) {
	for _, t := range l.gateways {
		for _, w := range t.windows {
			if first == 0 || w.bin < first {
				first = w.bin
			}
		}
	}
	return first
}

// Hosts returns the hosts that attempts of a request class in the bins from..to could have gone to.
func (l *Ledger) Hosts(class int, from, to int64) []uint32 {
	from, to = l.boundSpan(from, to)
	seen := map[uint32]bool{}
	for at := from; at <= to; at++ {
		if b := l.bins[at]; b != nil {
			for k, x := range b.cells {
				if int(k.Class) == class && x.mass[OneHost] > 0 {
					seen[k.Host] = true
				}
			}
		}
	}
	return slices.Sorted(maps.Keys(seen))
}

// dropOldBins drops bins that are too old to keep.
func (l *Ledger) dropOldBins(now int64) {
	oldest := now/l.settings.Window - int64(l.settings.KeptBins)
	for at, b := range l.bins {
		if at < oldest {
			l.cells -= len(b.cells)
			delete(l.bins, at)
		}
	}
	for _, t := range l.gateways {
		t.windows = slices.DeleteFunc(t.windows, func(w *window) bool {
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
