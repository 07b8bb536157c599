// Package poolsim plays the quota of connections (package pool) in simulated time: gateways with clocks that run
// apart, a network that loses, doubles, delays and reorders, an agreed ledger whose leader changes and whose deposed
// leaders go on, processes that die, freeze and start anew, and a store that counts. It stands in for the agreement
// (a library's in the program) by its promise alone: one order of batches, none from a leader after its successor's election.
package poolsim

import (
	"container/heap"
	"fmt"
	"math/rand/v2"

	"ravensill/pool"
)

const Ms = int64(1e6)

// Faults are chances for each message, and delays.
type Faults struct {
	Loss, Double float64
	Delay        int64 // up to
	Drift        float64
}

// World is all of it. Its time is true time; every process has its own.
type World struct {
	Terms  pool.Terms
	Faults Faults
	Now    int64
	Gates  []*Gate
	Agreed *pool.Ledger
	Leader *Lead
	Closed int // connections that the store has not yet seen to be closed
	Steps  int
	rng    *rand.Rand
	old    []*Lead
	mail   mails
	lives  uint64
	Notes  []pool.Note
	Noted  map[string]int
	Told   int            // reports and grants sent
	cut    map[int]string // up, down, both: what does not pass
}

type clock struct {
	rate   float64
	offset int64
}

func (c clock) at(now int64) int64 { return c.offset + int64(float64(now)*c.rate) }

// Gate is one gateway: its holder, and its connections by when their req ends, 0 for idle ones.
type Gate struct {
	Holder  *pool.Holder
	Conns   []int64
	Demand  func(now int64) float64 // reqs it would have open
	Longest int64                   // a req takes at most
	Frozen  int64                   // until then
	Down    int64
	Since   int64 // of the freeze
	Old     int   // connections held by a process that has been frozen past all bounds
	Life    uint64
	Shares  int // changes of what it may hold
	seat    int
	clock
}

// Lead is a voter that leads, or believes it.
type Lead struct {
	Lender *pool.Lender
	clock
	office  int64
	pending *pool.Batch
	until   int64 // of the agreement
	deposed bool
}

type mail struct {
	at int64
	to func()
}
type mails []mail

func (m mails) Len() int           { return len(m) }
func (m mails) Less(a, b int) bool { return m[a].at < m[b].at }
func (m mails) Swap(a, b int)      { m[a], m[b] = m[b], m[a] }
func (m *mails) Push(x any)        { *m = append(*m, x.(mail)) }
func (m *mails) Pop() any          { x := (*m)[len(*m)-1]; *m = (*m)[:len(*m)-1]; return x }

// New makes a world of gateways that start now.
func New(seed uint64, t pool.Terms, capacity int, f Faults) *World {
	w := &World{Terms: t, Faults: f, Now: 1e9, rng: rand.New(rand.NewPCG(seed, 1)), Agreed: pool.NewLedger(&t),
		Noted: map[string]int{}, cut: map[int]string{}}
	w.Agreed.Apply(&pool.Batch{Serial: 1, Capacity: capacity})
	for i := range t.Seats {
		g := &Gate{seat: i, Demand: func(int64) float64 { return 0 }, Longest: 100 * Ms}
		w.Gates = append(w.Gates, g)
		w.Start(i)
	}
	w.Elect()
	return w
}

func (w *World) clock() clock {
	drift := w.Faults.Drift * (2*w.rng.Float64() - 1)
	switch w.rng.IntN(3) { // the extremes are where bounds are missed
	case 0:
		drift = w.Faults.Drift
	case 1:
		drift = -w.Faults.Drift
	}
	return clock{1 + drift, int64(w.rng.Uint64N(1e15))}
}

// Start starts a gateway's process anew; the one before is dead and its connections end.
func (w *World) Start(i int) {
	g := w.Gates[i]
	w.Kill(i, 0)
	w.lives++
	g.clock, g.Life = w.clock(), w.lives
	g.Holder = pool.NewHolder(&w.Terms, i, g.Life, 1, 1, w.Agreed.Capacity, g.at(w.Now))
}

// Worst gives a gateway the slowest clock allowed and the leader the fastest.
func (w *World) Worst(i int) {
	w.Leader.rate = 1 + w.Faults.Drift
	w.Start(i)
	w.Gates[i].rate = 1 - w.Faults.Drift
	w.Gates[i].Holder = pool.NewHolder(&w.Terms, i, w.Gates[i].Life, 1, 1, w.Agreed.Capacity, w.Gates[i].at(w.Now))
}

// Kill ends a gateway's process for so long.
func (w *World) Kill(i int, long int64) {
	g := w.Gates[i]
	g.Conns, g.Frozen, g.Since, g.Holder, g.Down = nil, 0, 0, nil, w.Now+long
}

// Freeze stops a gateway's process for so long; its connections stay.
func (w *World) Freeze(i int, long int64) {
	if g := w.Gates[i]; g.Frozen == 0 {
		g.Frozen, g.Since = w.Now+long, w.Now
	}
}

// Cut takes a gateway off the network: what it tells (up), what it is told (down), or both; "" takes it back.
func (w *World) Cut(i int, what string) { w.cut[i] = what }

func (w *World) passes(seat int, way string) bool { return w.cut[seat] != "both" && w.cut[seat] != way }

// Elect makes another leader. What the one before proposed is agreed on before, or never; it goes on for a while
// without knowing.
func (w *World) Elect() {
	if o := w.Leader; o != nil {
		if o.pending != nil && w.rng.IntN(2) == 0 {
			w.agree(o, 500*Ms) // after it was deposed
		}
		o.deposed = true
		w.old = append(w.old, o)
	}
	l := &Lead{clock: w.clock(), office: w.Now + int64(w.rng.Uint64N(uint64(100*Ms)))}
	w.Leader = l
}

// Lower has the store take fewer connections, as the agreed ledger is told.
func (w *World) Lower(serial uint64, capacity int) {
	w.Agreed.Apply(&pool.Batch{Serial: serial, Capacity: capacity})
	for _, g := range w.Gates {
		if g.Holder != nil {
			g.Holder.Capacity(serial, capacity)
		}
	}
}

func (w *World) post(at int64, to func()) { heap.Push(&w.mail, mail{at, to}) }

func (w *World) send(seat int, way string, to func()) {
	w.Told++
	for {
		if w.passes(seat, way) && w.rng.Float64() >= w.Faults.Loss {
			w.post(w.Now+int64(w.rng.Uint64N(uint64(w.Faults.Delay+1))), func() {
				if w.passes(seat, way) {
					to()
				}
			})
		}
		if w.rng.Float64() >= w.Faults.Double {
			return
		}
	}
}

// agree writes a proposal down; its leader hears of it within a time.
func (w *World) agree(l *Lead, late int64) {
	w.Agreed.Apply(l.pending)
	l.pending = nil
	ledger := w.Agreed.Clone()
	w.post(w.Now+int64(w.rng.Uint64N(uint64(late))), func() { w.done(l, l.Lender.Step(l.at(w.Now), pool.Written{Ledger: ledger})) })
}

func (w *World) done(l *Lead, out []any) {
	for _, m := range out {
		switch m := m.(type) {
		case pool.Propose:
			l.pending, l.until = &m.Batch, w.Now+int64(w.rng.Uint64N(uint64(20*Ms)))
		case pool.Note:
			w.Noted[m.What]++
		case *pool.Grant:
			g := w.Gates[m.Seat]
			w.send(m.Seat, "down", func() { w.hear(g, m) })
		}
	}
}

func (w *World) hear(g *Gate, m *pool.Grant) {
	if g.Holder == nil {
		return
	}
	if g.Frozen > w.Now { // it lies in the socket
		w.post(g.Frozen+1, func() { w.hear(g, m) })
		return
	}
	was := g.Holder.Allowed(g.at(w.Now))
	g.Holder.Hear(g.at(w.Now), m)
	if g.Holder.Allowed(g.at(w.Now)) != was {
		g.Shares++
	}
}

// Step plays so much time.
func (w *World) Step(dt int64) {
	w.Now += dt
	w.Steps++
	for len(w.mail) > 0 && w.mail[0].at <= w.Now {
		heap.Pop(&w.mail).(mail).to()
	}
	for _, g := range w.Gates {
		w.play(g, dt)
	}
	leads := w.old
	if w.Leader != nil {
		leads = append(leads[:len(leads):len(leads)], w.Leader)
	}
	for _, l := range leads {
		switch {
		case l.Lender == nil && w.Now >= l.office && !l.deposed:
			l.Lender = pool.NewLender(&w.Terms, l.at(w.Now), w.Agreed.Clone())
		case l.Lender == nil:
		case l.pending != nil && w.Now >= l.until && !l.deposed:
			w.agree(l, 20*Ms)
		case l.pending == nil && w.Steps%5 == 0:
			w.done(l, l.Lender.Step(l.at(w.Now), pool.Tick{}))
		}
	}
	if len(w.old) > 2 {
		w.old = w.old[1:]
	}
}

// play lets a gateway act: reqs end, connections are closed and dialed, and it tells.
func (w *World) play(g *Gate, dt int64) {
	if g.Frozen > 0 && w.Now >= g.Frozen {
		g.Frozen, g.Since = 0, 0
	}
	if g.Frozen > 0 || w.Now < g.Down {
		return
	}
	if g.Holder == nil {
		w.Start(g.seat)
	}
	now := g.at(w.Now)
	busy := 0
	for i, end := range g.Conns {
		if end > 0 && end <= w.Now {
			g.Conns[i] = 0
		} else if end > 0 {
			busy++
		}
	}
	allowed := g.Holder.Allowed(now)
	close := func(keep int) {
		left := g.Conns[:0]
		for i, end := range g.Conns {
			if end == 0 && len(left)+len(g.Conns)-i > keep {
				continue
			}
			left = append(left, end)
		}
		g.Conns = left
	}
	close(allowed)
	want := int(g.Demand(w.Now) + w.rng.Float64())
	for i, end := range g.Conns {
		if end == 0 && busy < want {
			g.Conns[i] = w.Now + g.Longest/2 + int64(w.rng.Uint64N(uint64(g.Longest/2)))
			busy++
		}
	}
	for busy < want && len(g.Conns) < allowed {
		g.Conns = append(g.Conns, w.Now+g.Longest/2+int64(w.rng.Uint64N(uint64(g.Longest/2))))
		busy++
	}
	g.Holder.Use(now, len(g.Conns), max(busy, want))
	if r := g.Holder.Report(now); r != nil {
		to := w.Leader
		if len(w.old) > 0 && w.rng.IntN(8) == 0 { // it still believes in an earlier one
			to = w.old[w.rng.IntN(len(w.old))]
		}
		w.send(g.seat, "up", func() {
			if to.Lender != nil {
				to.Lender.Step(to.at(w.Now), r)
			}
		})
	}
}

// Open gives the connections that the store has.
func (w *World) Open() (all int) {
	for _, g := range w.Gates {
		all += len(g.Conns)
	}
	return all
}

// Safe tells what is wrong: the connections there are, or those that might be opened now by all that are running.
func (w *World) Safe(most int) error {
	may := 0
	for _, g := range w.Gates {
		n := len(g.Conns)
		if g.Holder != nil && g.Frozen == 0 {
			n = max(n, g.Holder.Allowed(g.at(w.Now)))
		}
		may += n
	}
	if may > most {
		return fmt.Errorf("at %d ms: %d open, %d may be, of %d", w.Now/Ms, w.Open(), may, most)
	}
	return nil
}
