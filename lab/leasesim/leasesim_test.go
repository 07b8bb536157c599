package leasesim

import (
	"math"
	"testing"

	"pgregory.net/rapid"

	"ravensill/pool"
)

func newTerms(seats, floor, reserve int) pool.Terms {
	return pool.Terms{Members: seats, Floor: floor, Reserve: reserve, Lease: 1500 * Ms, Drain: 3000 * Ms, Drift: 0.02,
		TargetHold: 500 * Ms, ReportInterval: 100 * Ms, CloseDelay: 0}
}

// Whatever the network, the processes, the leaders and the clocks do, those in good faith never hold more than there is.
func TestSafety(t *testing.T) {
	steps := 0
	rapid.Check(t, func(t *rapid.T) {
		seats := rapid.IntRange(2, 9).Draw(t, "seats")
		floor := rapid.IntRange(0, 2).Draw(t, "floor")
		most := seats*floor + rapid.IntRange(5, 40).Draw(t, "lendable")
		faults := Faults{Loss: rapid.Float64Range(0, 0.5).Draw(t, "loss"), Double: rapid.Float64Range(0, 0.4).Draw(t, "double"),
			Delay: rapid.Int64Range(0, 2000).Draw(t, "delay") * Ms, Drift: 0.1}
		tm := newTerms(seats, floor, 3)
		tm.Drift = 0.1
		stops := rapid.Bool().Draw(t, "stops")
		if !stops { // the quarantine needs to outlast the longest req only
			tm.Drain = 300 * Ms
		}
		w := New(rapid.Uint64().Draw(t, "seed"), tm, most+3, faults)
		for i, g := range w.Gateways {
			g.Longest = 290 * Ms
			if stops {
				g.Longest = 1450 * Ms
			}
			g.Demand = func(now int64) float64 {
				return float64((now/(700*Ms)*int64(i+3))%5) * float64(most) / float64(4*seats) * 2
			}
		}
		for range 150 {
			seat := rapid.IntRange(0, seats-1).Draw(t, "seat")
			switch rapid.IntRange(0, 30).Draw(t, "event") {
			case 1:
				w.Kill(seat, rapid.Int64Range(0, 3000).Draw(t, "down")*Ms)
			case 2, 3:
				if !stops {
					continue
				}
				w.Freeze(seat, rapid.Int64Range(0, 1400).Draw(t, "long")*Ms)
			case 4:
				w.Elect()
			case 5, 6:
				w.Cut(seat, rapid.SampledFrom([]string{"up", "down", "both"}).Draw(t, "way"))
			case 7, 8, 9:
				w.Cut(seat, "")
			}
			for range 10 {
				w.Step(10 * Ms)
				if err := w.Safe(most); err != nil {
					t.Fatal(err)
				}
			}
		}
		steps += w.Steps
	})
	if steps < 100_000 && !t.Failed() {
		t.Errorf("%d steps only", steps)
	}
}

// The worst that each bound is for: the slowest holder and the fastest lender, cut off with all it has on reqs, by
// a network that still brings old grants, and with another leader from then on.
func TestWorst(t *testing.T) {
	for seed := range uint64(40) {
		tm := newTerms(3, 1, 0)
		tm.Drift, tm.Drain = 0.1, 300*Ms
		w := New(seed, tm, 33, Faults{Delay: []int64{5, 900}[seed/2%2] * Ms, Double: 0.3, Drift: tm.Drift})
		w.Worst(0)
		for i, g := range w.Gateways {
			g.Longest, g.Demand = 295*Ms, func(now int64) float64 { return []float64{20, 30}[min(i, 1)] }
		}
		w.advance(4000 * Ms)
		w.Cut(0, []string{"both", "up"}[seed%2])
		if seed%3 == 0 {
			w.Elect()
		}
		for range 600 {
			if w.Step(10 * Ms); w.Safe(33) != nil {
				t.Fatalf("seed %d: %v", seed, w.Safe(33))
			}
		}
		if len(w.Gateways[0].Conns) != 1 || seed/2%2 == 0 && w.Open() < 30 {
			t.Fatalf("seed %d: %d at the one cut off, %d of 33 in all", seed, len(w.Gateways[0].Conns), w.Open())
		}
	}
}

// A report that comes after a batch was proposed is answered with the next one: this one may be agreed on although its
// leader has been deposed since.
func TestAnswersTheBatch(t *testing.T) {
	tm := newTerms(1, 1, 0)
	l := pool.NewGrantor(&tm, 1, pool.NewLedger(&tm))
	l.Step(2, &pool.Report{Incarnation: 1, Sent: 10, Weight: 1})
	b := l.Step(3, pool.Tick{})[0].(pool.Propose).Batch
	l.Step(4, &pool.Report{Incarnation: 1, Sent: 20, Weight: 1})
	ledger := pool.NewLedger(&tm)
	ledger.Apply(&b)
	if g := l.Step(5, pool.Committed{Ledger: ledger})[0].(*pool.Grant); g.Sent != 10 {
		t.Errorf("answered the report of %d", g.Sent)
	}
}

func calm(seats, floor, capacity int, seed uint64) *Simulation {
	return New(seed, newTerms(seats, floor, 2), capacity, Faults{Delay: 5 * Ms, Drift: 0.01})
}

func (w *Simulation) advance(long int64) {
	for end := w.Now + long; w.Now < end; {
		w.Step(10 * Ms)
	}
}

// From demands to others, 99 in 100 fleets at least have everyone within one connection of the fair share after 2 s.
func TestFairSoon(t *testing.T) {
	steps, late := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		seats := rapid.IntRange(2, 24).Draw(t, "seats")
		w := calm(seats, 2, 2+seats*rapid.IntRange(3, 12).Draw(t, "each"), rapid.Uint64().Draw(t, "seed"))
		for range 3 {
			demand, wants := make([]int, seats), make([]pool.Claim, seats)
			for i, g := range w.Gateways {
				demand[i] = rapid.IntRange(0, 40).Draw(t, "demand")
				wants[i] = pool.Claim{Demand: demand[i], Weight: 1}
				g.Demand = func(int64) float64 { return float64(demand[i]) }
			}
			shares := pool.Shares(wants, 2, w.Agreed.Capacity-2-2*seats)
			w.advance(2000 * Ms)
			steps++
			for i, g := range w.Gateways {
				if g.Leaseholder.Allowed(g.at(w.Now)) < min(shares[i]+2, demand[i])-1 {
					late++
					break
				}
			}
			w.advance(rapid.Int64Range(0, 1000).Draw(t, "pause") * Ms)
		}
	})
	if late > steps/100 {
		t.Errorf("%d of %d not fair after 2 s", late, steps)
	}
	t.Logf("%d of %d not fair after 2 s", late, steps)
}

// Noise of a fifth changes a share at most once in the hold time, and hardly ever.
func TestNoFlapping(t *testing.T) {
	changes, seconds := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		seats := rapid.IntRange(2, 12).Draw(t, "seats")
		w := calm(seats, 1, 2+8*seats, rapid.Uint64().Draw(t, "seed"))
		for _, g := range w.Gateways {
			mean := rapid.Float64Range(2, 16).Draw(t, "mean")
			part, at := 0.0, int64(-1)
			g.Demand = func(now int64) float64 { // a new draw for each report
				if slot := now / w.Terms.ReportInterval; slot != at {
					part, at = 0.8+0.4*w.rng.Float64(), slot
				}
				return mean * part
			}
		}
		w.advance(5000 * Ms)
		last, at := w.Leader.Grantor.Targets(), make([]int64, seats)
		for range 1000 {
			w.Step(10 * Ms)
			for i, x := range w.Leader.Grantor.Targets() {
				if x == last[i] {
					continue
				}
				changes++
				if at[i] > 0 && w.Now-at[i] < w.Terms.TargetHold*97/100 {
					t.Fatalf("share of %d changed twice in %d ms", i, (w.Now-at[i])/Ms)
				}
				last[i], at[i] = x, w.Now
			}
		}
		seconds += 10 * seats
	})
	if changes > seconds/5 {
		t.Fatalf("%d changes in %d s of noise, summed over shares", changes, seconds)
	}
	t.Logf("%d changes in %d s of noise, summed over shares", changes, seconds)
}

// A gateway that hears nothing has its floor, and one that wants little gets it whoever else wants more.
func TestFloorsAndStarvation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := calm(8, 2, 66, rapid.Uint64().Draw(t, "seed"))
		cut := rapid.IntRange(0, 7).Draw(t, "cut")
		for i, g := range w.Gateways {
			g.Demand = func(int64) float64 { return 100 }
			if i == (cut+1)%8 {
				g.Demand = func(int64) float64 { return 5 }
			}
		}
		w.Cut(cut, "both")
		w.advance(10_000 * Ms)
		for i, g := range w.Gateways {
			has, want := len(g.Conns), 9
			if i == cut {
				want = 2
			} else if i == (cut+1)%8 {
				want = 5
			}
			if has < want-1 || i == cut && has != 2 {
				t.Fatalf("gateway %d has %d connections, cut is %d", i, has, cut)
			}
		}
		if open := w.Open(); open < 60 {
			t.Fatalf("%d of 64 in use with demand for all", open)
		}
	})
}

// A smaller store: under its number once the open reqs have ended, and none of them was cut.
func TestLowered(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := calm(6, 1, 62, rapid.Uint64().Draw(t, "seed"))
		for _, g := range w.Gateways {
			g.Demand = func(int64) float64 { return 30 }
		}
		w.advance(4000 * Ms)
		full := w.Open()
		w.Lower(2, 32)
		w.advance(1500 * Ms)
		if err := w.Safe(30); err != nil || full < 57 {
			t.Fatalf("%v; %d before", err, full)
		}
	})
}

// What a frozen process holds past its lease and the quarantine comes on top, by what it was lent and no more; it is
// reported, and goes when the process goes on.
func TestFrozenPastTheLease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := calm(4, 1, 42, rapid.Uint64().Draw(t, "seed"))
		for _, g := range w.Gateways {
			g.Demand = func(int64) float64 { return 50 }
		}
		w.advance(3000 * Ms)
		held := len(w.Gateways[2].Conns)
		w.Freeze(2, 15_000*Ms)
		most := 0
		for range 1400 {
			w.Step(10 * Ms)
			most = max(most, w.Open())
		}
		if most > 40+held-1 || most <= 40 || w.Noted[pool.EventQuotaExceeded] == 0 {
			t.Fatalf("%d open of 40, %d of them frozen, noted %v", most, held, w.Noted)
		}
		w.advance(2000 * Ms)
		if err := w.Safe(40); err != nil {
			t.Fatal(err)
		}
	})
}

// Words of an old life, and words said twice, change nothing.
func TestOldLives(t *testing.T) {
	tm := newTerms(2, 1, 0)
	l := pool.NewLedger(&tm)
	l.Apply(&pool.Batch{Serial: 1, Capacity: 20})
	say := func(c pool.Change) { l.Apply(&pool.Batch{Changes: []pool.Change{c}}) }
	say(pool.Change{Member: 0, Incarnation: 5})
	say(pool.Change{Member: 0, Number: 1, Units: 10})
	say(pool.Change{Member: 0, Number: 2, Units: 4}) // given back
	say(pool.Change{Member: 0, Number: 2, Units: 0}) // the same words again
	say(pool.Change{Member: 0, Number: 3, Incarnation: 6})
	say(pool.Change{Member: 0, Number: 3, Units: 18})
	say(pool.Change{Member: 0, Number: 4, Units: 15}) // more than there is
	if e := l.Entries[0]; e.Units != 0 || e.Stranded != 4 || l.Free() != 14 {
		t.Fatalf("%+v, %d free", e, l.Free())
	}
	now := int64(1e9)
	h := pool.NewLeaseholder(&tm, 0, 6, 1, 1, 20, now)
	h.Receive(now, &pool.Grant{Incarnation: 5, Number: 9, Units: 9, Sent: now})
	if n := h.Allowed(now); n != 1 {
		t.Errorf("%d allowed by words to another life", n)
	}
	h.Receive(now, &pool.Grant{Incarnation: 6, Number: 4, Units: 8, Sent: now})
	h.Receive(now, &pool.Grant{Incarnation: 6, Number: 4, Units: 3, Sent: now})
	h.Receive(now, &pool.Grant{Incarnation: 6, Number: 4, Units: 8, Sent: now})
	if n := h.Allowed(now); n != 4 || math.MaxInt < n {
		t.Errorf("%d allowed after a recall and an old grant", n)
	}
	if n := h.Allowed(now + tm.Lease); n != 1 {
		t.Errorf("%d allowed past the lease", n)
	}
}
