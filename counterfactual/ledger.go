package counterfactual

import (
	"cmp"
	"maps"
	"slices"
)

// Settings of a Ledger.
type Settings struct {
	Gateways int     // seats 0 to Gateways-1 are expected to tell
	Window   int64   // length of a bin, the gateways' windows' too
	Grace    int64   // after a bin's end; what comes later changes nothing
	Bins     int     // kept
	Cells    int     // in all bins together
	Missing  float64 // part of the fleet's dispatches that may be missing from a figure
	Targets  []int64 // by frontend: figures are of times up to here
	Names    []string
	Host     func(uint32) string // a host's id, for answers; nil: its number
	Pause    func()              // called between steps of a long computation; may be nil
}

// Counts tells what became of the messages, since the start.
type Counts struct {
	Merged, Twice, Late, OldLife, Strange, Full int
}

// Ledger merges what the gateways tell, in bins of its own clock. A message names its place by its age, so that
// clocks need not agree. A sealed bin never changes.
type Ledger struct {
	Counts   Counts
	set      Settings
	bins     map[int64]*bin
	gateways map[uint32]*teller
	cells    int
}

type bin struct{ cells map[Key]*pile }

// pile is a cell with its rows by their places.
type pile struct {
	want, none, sq [Rules]uint64
	rows           map[uint32]*Row
}

// teller is a gateway that tells.
type teller struct {
	zone    uint8
	life    uint64
	windows []*window // of all lives that have a bin kept
}

type window struct {
	life       uint64
	number     uint32
	bin        int64
	of         int
	parts      map[uint16][]Cell // until it is whole; a window counts whole or not at all
	whole      bool
	seen, lost uint32
}

func NewLedger(set Settings) *Ledger {
	return &Ledger{set: set, bins: map[int64]*bin{}, gateways: map[uint32]*teller{}}
}

// Hear merges a part that came at now. It tells whether the part need not be sent again.
func (l *Ledger) Hear(p *Part, now int64) bool {
	l.sweep(now)
	age := int64(p.Age) * 1e6
	at := (now - age) / l.set.Window
	switch {
	case p.Gateway >= uint32(l.set.Gateways) || int64(p.Length)*1e6 != l.set.Window:
		l.Counts.Strange++
		return true
	case age > now:
		l.Counts.Late++
		return true
	}
	t := l.gateways[p.Gateway]
	if t == nil {
		t = &teller{}
		l.gateways[p.Gateway] = t
	}
	if p.Life < t.life {
		l.Counts.OldLife++
		return true
	}
	t.life, t.zone = p.Life, p.Zone
	var w *window
	for _, x := range t.windows {
		if x.life == p.Life && x.number == p.Window {
			w = x
		}
	}
	switch {
	case w != nil && (w.of != int(p.Of) || w.seen != p.Seen || w.lost != p.Lost):
		l.Counts.Strange++
		return true
	case w != nil:
		if _, told := w.parts[p.Nth]; told || w.whole {
			l.Counts.Twice++
			return true
		}
		at = w.bin
	}
	if l.sealed(at, now) {
		l.Counts.Late++
		return true
	}
	if l.cells+len(p.Cells) > l.set.Cells {
		l.Counts.Full++
		return false
	}
	if w == nil {
		w = &window{life: p.Life, number: p.Window, bin: at, of: int(p.Of), parts: map[uint16][]Cell{},
			seen: p.Seen, lost: p.Lost}
		t.windows = append(t.windows, w)
	}
	w.parts[p.Nth] = p.Cells
	l.cells += len(p.Cells)
	l.Counts.Merged++
	if len(w.parts) == w.of {
		l.merge(w)
	}
	return true
}

func (l *Ledger) merge(w *window) {
	b := l.bins[w.bin]
	if b == nil {
		b = &bin{cells: map[Key]*pile{}}
		l.bins[w.bin] = b
	}
	for _, cells := range w.parts {
		l.cells -= len(cells)
		for i := range cells {
			c := &cells[i]
			x := b.cells[c.Key]
			if x == nil {
				x = &pile{rows: map[uint32]*Row{}}
				b.cells[c.Key] = x
				l.cells++
			}
			x.add(c)
		}
	}
	w.parts, w.whole = nil, true
}

func (x *pile) add(c *Cell) {
	for r := range Rules {
		x.want[r] += c.Want[r]
		x.none[r] += c.None[r]
		x.sq[r] += c.Sq[r]
	}
	for _, r := range c.Rows {
		if y := x.rows[r.place()]; y != nil {
			y.add(&r)
		} else {
			x.rows[r.place()] = &r
		}
	}
}

func (l *Ledger) sealed(bin, now int64) bool { return now >= (bin+1)*l.set.Window+l.set.Grace }

// Sealed gives the newest bin that no longer changes.
func (l *Ledger) Sealed(now int64) int64 { return (now-l.set.Grace)/l.set.Window - 1 }

// First gives the oldest bin that holds anything; what has none is asked from 0.
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

// Hosts gives the hosts that a frontend's dispatches of the bins from..to could have gone to.
func (l *Ledger) Hosts(frontend int, from, to int64) []uint32 {
	from, to = l.span(from, to)
	seen := map[uint32]bool{}
	for at := from; at <= to; at++ {
		if b := l.bins[at]; b != nil {
			for k, x := range b.cells {
				if int(k.Frontend) == frontend && x.want[Single] > 0 {
					seen[k.Host] = true
				}
			}
		}
	}
	return slices.Sorted(maps.Keys(seen))
}

// sweep forgets the bins that are too old.
func (l *Ledger) sweep(now int64) {
	oldest := now/l.set.Window - int64(l.set.Bins)
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

// Missing names a gateway of which not all is told.
type Missing struct {
	Gateway uint32  `json:"gateway"`
	Windows int     `json:"windows"`        // of its own that are not whole, or all of them
	Lost    int     `json:"lost,omitempty"` // dispatches that it counted and did not fold
	Part    float64 `json:"part"`           // estimated, of the fleet's dispatches in the span
	reqs    float64
}

// missing names the gateways that are not heard whole in the bins from..to, and the part of the dispatches, at a
// guess by what they told otherwise, that is missing with them. A gateway tells each window, also one without
// dispatches, so that silence and idleness differ. The bounds of windows and bins may differ by one.
func (l *Ledger) missing(from, to int64) (all []Missing, part float64) {
	span := int(to - from + 1)
	told, heard := 0.0, 0
	at := map[int64]float64{} // dispatches that the fleet told of, by bin
	for _, t := range l.gateways {
		for _, w := range t.windows {
			if w.whole && from <= w.bin && w.bin <= to {
				at[w.bin] += float64(w.seen - w.lost)
			}
		}
	}
	silent := func(t *teller, seen float64) float64 { // its part, when it was heard, of what was told when it was not
		with, without := 0.0, 0.0
		for bin, n := range at {
			if slices.ContainsFunc(t.windows, func(w *window) bool { return w.whole && w.bin == bin }) {
				with += n
			} else {
				without += n
			}
		}
		return seen / max(with, 1) * without
	}
	for seat := range uint32(l.set.Gateways) {
		m, seen, whole := Missing{Gateway: seat}, 0.0, 0
		if t := l.gateways[seat]; t != nil {
			lives := map[uint64][]*window{}
			first, last := int64(1)<<62, int64(-1)
			for _, w := range t.windows {
				if w.bin < from || w.bin > to {
					continue
				}
				lives[w.life] = append(lives[w.life], w)
				first, last = min(first, w.bin), max(last, w.bin)
				if w.whole {
					whole++
					seen += float64(w.seen - w.lost)
				}
				m.Lost += int(w.lost)
			}
			for i, life := range slices.Sorted(maps.Keys(lives)) {
				ws := lives[life]
				slices.SortFunc(ws, func(a, b *window) int { return cmp.Compare(a.number, b.number) })
				m.Windows += int(ws[len(ws)-1].number-ws[0].number) + 1
				if i > 0 { // what the life before had not told, and what this one had not yet told first
					m.Windows += 1 + int(ws[0].number)
				} else if ws[0].number > 0 { // it ran before
					m.Windows += max(int(min(first-from, int64(ws[0].number)))-1, 0)
				}
			}
			m.Windows += max(int(to-last)-1, 0) - whole
			if len(lives) == 0 {
				m.Windows = span
			}
		} else {
			m.Windows = span
		}
		m.reqs = float64(m.Lost)
		if whole > 0 {
			if m.Windows > 0 { // idle times before or after must not make it look small
				m.reqs += max(float64(m.Windows)*seen/float64(whole), silent(l.gateways[seat], seen))
			}
			told += seen
			heard++
		} else {
			m.reqs = unknown // by what the others saw, below
		}
		if m.Windows > 0 || m.Lost > 0 {
			all = append(all, m)
		}
	}
	total := told
	for i := range all {
		if all[i].reqs == unknown && heard > 0 {
			all[i].reqs = told / float64(heard)
		}
		total += max(all[i].reqs, 0)
	}
	for i := range all {
		if total > 0 {
			all[i].Part = max(all[i].reqs, 0) / total
		}
		part += all[i].Part
	}
	return all, part
}

const unknown = -1 // no guess of its own
