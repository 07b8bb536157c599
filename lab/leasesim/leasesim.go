// Package leasesim simulates package pool, the quota of connections, in simulated time: gateways with clocks that run
// apart, a network that loses, doubles, delays and reorders, an agreed ledger whose leader changes and whose deposed
// leaders go on, processes that die, freeze and start anew, and a store that counts. It stands in for the agreement
// (a library's in the program) by its promise alone: one order of batches, none from a leader after its successor's election.
package leasesim

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

// Simulation is the simulated environment. Its time is true time; every process has a clock of its own.
type Simulation struct {
	Terms         pool.Terms
	Faults        Faults
	Now           int64
	Gateways      []*Gateway
	Agreed        *pool.Ledger
	Leader        *Leader
	Closed        int // connections that the store has not yet seen to be closed
	Steps         int
	rng           *rand.Rand
	formerLeaders []*Leader
	messages      deliveries
	incarnations  uint64
	Notes         []pool.Note
	Noted         map[string]int
	Sent          int            // reports and grants sent
	cut           map[int]string // up, down, both: what does not pass
}

type clock struct {
	rate   float64
	offset int64
}

func (c clock) at(now int64) int64 { return c.offset + int64(float64(now)*c.rate) }

// Gateway is one gateway: its lease holder, and its connections by when their request ends, 0 for idle ones.
type Gateway struct {
	Leaseholder *pool.Leaseholder
	Conns       []int64
	Demand      func(now int64) float64 // requests that it would have open
	Longest     int64                   // that a request takes
	Frozen      int64                   // until then
	Down        int64
	Since       int64 // of the freeze
	Old         int   // connections held by a process that has been frozen past all bounds
	Incarnation uint64
	Shares      int // changes of what it may hold
	member      int
	clock
}

// Leader is a voter that leads, or believes that it does.
type Leader struct {
	Grantor *pool.Grantor
	clock
	electedAt int64
	pending   *pool.Batch
	until     int64 // of the agreement
	deposed   bool
}

// delivery is a message on its way: to is called at a time.
type delivery struct {
	at int64
	to func()
}
type deliveries []delivery

func (m deliveries) Len() int           { return len(m) }
func (m deliveries) Less(a, b int) bool { return m[a].at < m[b].at }
func (m deliveries) Swap(a, b int)      { m[a], m[b] = m[b], m[a] }
func (m *deliveries) Push(x any)        { *m = append(*m, x.(delivery)) }
func (m *deliveries) Pop() any          { x := (*m)[len(*m)-1]; *m = (*m)[:len(*m)-1]; return x }

// New returns a simulation of gateways that start now.
func New(seed uint64, t pool.Terms, capacity int, f Faults) *Simulation {
	w := &Simulation{Terms: t, Faults: f, Now: 1e9, rng: rand.New(rand.NewPCG(seed, 1)), Agreed: pool.NewLedger(&t),
		Noted: map[string]int{}, cut: map[int]string{}}
	w.Agreed.Apply(&pool.Batch{Serial: 1, Capacity: capacity})
	for i := range t.Members {
		g := &Gateway{member: i, Demand: func(int64) float64 { return 0 }, Longest: 100 * Ms}
		w.Gateways = append(w.Gateways, g)
		w.Start(i)
	}
	w.Elect()
	return w
}

func (w *Simulation) clock() clock {
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
func (w *Simulation) Start(i int) {
	g := w.Gateways[i]
	w.Kill(i, 0)
	w.incarnations++
	g.clock, g.Incarnation = w.clock(), w.incarnations
	g.Leaseholder = pool.NewLeaseholder(&w.Terms, i, g.Incarnation, 1, 1, w.Agreed.Capacity, g.at(w.Now))
}

// Worst gives a gateway the slowest clock allowed and the leader the fastest.
func (w *Simulation) Worst(i int) {
	w.Leader.rate = 1 + w.Faults.Drift
	w.Start(i)
	w.Gateways[i].rate = 1 - w.Faults.Drift
	w.Gateways[i].Leaseholder = pool.NewLeaseholder(&w.Terms, i, w.Gateways[i].Incarnation, 1, 1, w.Agreed.Capacity, w.Gateways[i].at(w.Now))
}

// Kill ends a gateway's process for so long.
func (w *Simulation) Kill(i int, long int64) {
	g := w.Gateways[i]
	g.Conns, g.Frozen, g.Since, g.Leaseholder, g.Down = nil, 0, 0, nil, w.Now+long
}

// Freeze stops a gateway's process for so long; its connections stay.
func (w *Simulation) Freeze(i int, long int64) {
	if g := w.Gateways[i]; g.Frozen == 0 {
		g.Frozen, g.Since = w.Now+long, w.Now
	}
}

// Cut takes a gateway off the network: what it tells (up), what it is told (down), or both; "" takes it back.
func (w *Simulation) Cut(i int, what string) { w.cut[i] = what }

func (w *Simulation) passes(seat int, way string) bool {
	return w.cut[seat] != "both" && w.cut[seat] != way
}

// Elect makes another leader. What the one before proposed is agreed on before, or never; it goes on for a while
// without knowing.
func (w *Simulation) Elect() {
	if o := w.Leader; o != nil {
		if o.pending != nil && w.rng.IntN(2) == 0 {
			w.commit(o, 500*Ms) // after it was deposed
		}
		o.deposed = true
		w.formerLeaders = append(w.formerLeaders, o)
	}
	l := &Leader{clock: w.clock(), electedAt: w.Now + int64(w.rng.Uint64N(uint64(100*Ms)))}
	w.Leader = l
}

// Lower has the store take fewer connections, as the agreed ledger is told.
func (w *Simulation) Lower(serial uint64, capacity int) {
	w.Agreed.Apply(&pool.Batch{Serial: serial, Capacity: capacity})
	for _, g := range w.Gateways {
		if g.Leaseholder != nil {
			g.Leaseholder.SetCapacity(serial, capacity)
		}
	}
}

func (w *Simulation) schedule(at int64, to func()) { heap.Push(&w.messages, delivery{at, to}) }

func (w *Simulation) send(seat int, way string, to func()) {
	w.Sent++
	for {
		if w.passes(seat, way) && w.rng.Float64() >= w.Faults.Loss {
			w.schedule(w.Now+int64(w.rng.Uint64N(uint64(w.Faults.Delay+1))), func() {
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

// commit commits a proposal; its leader is told within a time.
func (w *Simulation) commit(l *Leader, late int64) {
	w.Agreed.Apply(l.pending)
	l.pending = nil
	ledger := w.Agreed.Clone()
	w.schedule(w.Now+int64(w.rng.Uint64N(uint64(late))), func() { w.execute(l, l.Grantor.Step(l.at(w.Now), pool.Committed{Ledger: ledger})) })
}

func (w *Simulation) execute(l *Leader, out []any) {
	for _, m := range out {
		switch m := m.(type) {
		case pool.Propose:
			l.pending, l.until = &m.Batch, w.Now+int64(w.rng.Uint64N(uint64(20*Ms)))
		case pool.Note:
			w.Noted[m.Event]++
		case *pool.Grant:
			g := w.Gateways[m.Member]
			w.send(m.Member, "down", func() { w.deliver(g, m) })
		}
	}
}

func (w *Simulation) deliver(g *Gateway, m *pool.Grant) {
	if g.Leaseholder == nil {
		return
	}
	if g.Frozen > w.Now { // it lies in the socket
		w.schedule(g.Frozen+1, func() { w.deliver(g, m) })
		return
	}
	was := g.Leaseholder.Allowed(g.at(w.Now))
	g.Leaseholder.Receive(g.at(w.Now), m)
	if g.Leaseholder.Allowed(g.at(w.Now)) != was {
		g.Shares++
	}
}

// Step plays so much time.
func (w *Simulation) Step(dt int64) {
	w.Now += dt
	w.Steps++
	for len(w.messages) > 0 && w.messages[0].at <= w.Now {
		heap.Pop(&w.messages).(delivery).to()
	}
	for _, g := range w.Gateways {
		w.stepGateway(g, dt)
	}
	leads := w.formerLeaders
	if w.Leader != nil {
		leads = append(leads[:len(leads):len(leads)], w.Leader)
	}
	for _, l := range leads {
		switch {
		case l.Grantor == nil && w.Now >= l.electedAt && !l.deposed:
			l.Grantor = pool.NewGrantor(&w.Terms, l.at(w.Now), w.Agreed.Clone())
		case l.Grantor == nil:
		case l.pending != nil && w.Now >= l.until && !l.deposed:
			w.commit(l, 20*Ms)
		case l.pending == nil && w.Steps%5 == 0:
			w.execute(l, l.Grantor.Step(l.at(w.Now), pool.Tick{}))
		}
	}
	if len(w.formerLeaders) > 2 {
		w.formerLeaders = w.formerLeaders[1:]
	}
}

// stepGateway lets a gateway act: requests end, connections are closed and dialed, and it reports.
func (w *Simulation) stepGateway(g *Gateway, dt int64) {
	if g.Frozen > 0 && w.Now >= g.Frozen {
		g.Frozen, g.Since = 0, 0
	}
	if g.Frozen > 0 || w.Now < g.Down {
		return
	}
	if g.Leaseholder == nil {
		w.Start(g.member)
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
	allowed := g.Leaseholder.Allowed(now)
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
	g.Leaseholder.SetUsage(now, len(g.Conns), max(busy, want))
	if r := g.Leaseholder.Report(now); r != nil {
		to := w.Leader
		if len(w.formerLeaders) > 0 && w.rng.IntN(8) == 0 { // it still believes in an earlier one
			to = w.formerLeaders[w.rng.IntN(len(w.formerLeaders))]
		}
		w.send(g.member, "up", func() {
			if to.Grantor != nil {
				to.Grantor.Step(to.at(w.Now), r)
			}
		})
	}
}

// Open gives the connections that the store has.
func (w *Simulation) Open() (all int) {
	for _, g := range w.Gateways {
		all += len(g.Conns)
	}
	return all
}

// Safe tells what is wrong: the connections there are, or those that might be opened now by all that are running.
func (w *Simulation) Safe(most int) error {
	may := 0
	for _, g := range w.Gateways {
		n := len(g.Conns)
		if g.Leaseholder != nil && g.Frozen == 0 {
			n = max(n, g.Leaseholder.Allowed(g.at(w.Now)))
		}
		may += n
	}
	if may > most {
		return fmt.Errorf("at %d ms: %d open, %d may be, of %d", w.Now/Ms, w.Open(), may, most)
	}
	return nil
}
