package counterfactual

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

const second = int64(1e9)

func settings(gateways int) Settings {
	return Settings{Gateways: gateways, Window: second, Grace: 3 * second, KeptBins: 60, MaxCells: 1 << 16, MaxMissing: 0.05,
		Objectives: []int64{second}, Classes: []string{"a"}}
}

// seen returns the messages of a gateway's window with n attempts.
func seen(seat, life, number, n int) (out []func(uint32) []byte) {
	f, rnd := NewFolder(0, 1000), rand.New(rand.NewPCG(uint64(seat), uint64(number)))
	for range n {
		hosts := rnd.Perm(3)
		r := Record{Customer: rnd.Uint32(), Latency: int64(20e6 * (1 + rnd.Float64()) * float64(1+hosts[0]))}
		for _, h := range hosts {
			r.Candidates = append(r.Candidates, Candidate{Host: uint32(h), Probability: 1. / 3, Load: 1})
		}
		f.Add(&r)
	}
	cells, n0, lost := f.Close()
	return Encode(Part{Gateway: uint32(seat), Incarnation: uint64(life), Window: uint32(number), WindowLength: 1000, Attempts: n0,
		LostRecords: lost}, cells)
}

func hear(t interface{ Fatal(...any) }, l *Ledger, body []byte, now int64) {
	p, err := Decode(body)
	if err != nil {
		t.Fatal(err)
	}
	l.Receive(p, now)
}

// TestOrder checks that the answers are the same to the last bit in whatever order, and however often, the parts arrive.
func TestOrder(t *testing.T) {
	type message struct {
		encode func(uint32) []byte
		end    int64
	}
	var all []message
	set := settings(4)
	set.Grace = 20 * second
	straight := NewLedger(set)
	for number := range 6 {
		for seat := range 4 {
			for _, e := range seen(seat, 1, number, 60) {
				m := message{e, int64(100+number) * second}
				all = append(all, m)
				hear(t, straight, e(0), m.end)
			}
		}
	}
	text := func(l *Ledger) string {
		b, err := json.Marshal(l.Panel(0, 100, 105))
		if err != nil {
			t.Fatal(err)
		}
		return string(b)
	}
	want := text(straight)
	if a := straight.Panel(0, 100, 105)[NextInRank]; !a.Mean.Given() || a.Requests != 4*6*60 || len(a.Missing) > 0 {
		t.Fatalf("%+v", a)
	}
	rapid.Check(t, func(t *rapid.T) {
		l := NewLedger(set)
		for _, m := range rapid.Permutation(all).Draw(t, "order") {
			for range 1 + rapid.IntRange(0, 1).Draw(t, "again") {
				late := rapid.Int64Range(0, 1000).Draw(t, "age")
				hear(t, l, m.encode(uint32((105*second-m.end)/1e6+late)), 105*second+late*1e6)
			}
		}
		if d := cmp.Diff(want, text(l)); d != "" {
			t.Fatal(d)
		}
	})
}

// TestMissing checks that messages that are duplicate, late, invalid or of an old incarnation change nothing and are counted, and
// that missing gateways are named.
func TestMissing(t *testing.T) {
	l := NewLedger(settings(3))
	tell := func(seat, life, number int, end, now int64) {
		for _, e := range seen(seat, life, number, 200) {
			hear(t, l, e(uint32((now-end)/1e6)), now)
		}
	}
	for i := range 10 {
		end := int64(100+i) * second
		tell(0, 7, i, end, end)
		tell(0, 7, i, end, end+second/2)
		if i != 4 {
			tell(1, 7, i, end, end)
		}
		if i < 6 {
			tell(2, 7, i, end, end)
		} else { // a new life, with what it saw in two windows untold
			tell(2, 8, i-4, end, end)
			tell(2, 7, i, end, end)
		}
		tell(9, 7, i, end, end)
	}
	a := l.Panel(0, 100, 109)[Logged]
	if got, want := fmt.Sprintf("%d %v", len(a.Missing), a.Refused), "2 gateways missing: about 12% of the dispatches"; got != want {
		t.Errorf("%s, not %s: %+v", got, want, a.Missing)
	}
	for _, m := range a.Missing {
		if want := map[uint32]int{1: 1, 2: 3}[m.Gateway]; m.Windows != want {
			t.Errorf("gateway %d misses %d windows, not %d", m.Gateway, m.Windows, want)
		}
	}
	before := l.Counts
	tell(1, 7, 4, 104*second, 108*second) // sealed since
	if before.Duplicates == 0 || before.OldIncarnation == 0 || before.Invalid == 0 || l.Counts.Late == 0 || l.Counts.Merged != before.Merged {
		t.Errorf("%+v, then %+v", before, l.Counts)
	}
}

// TestMissingAfterIdle checks that idle windows before the traffic do not hide that a gateway fell silent during it.
func TestMissingAfterIdle(t *testing.T) {
	l := NewLedger(settings(2))
	for i := range 50 {
		for seat := range 2 {
			n := 0
			if i >= 40 {
				n = 100
			}
			if seat == 1 && i >= 44 {
				continue
			}
			for _, e := range seen(seat, 1, i, n) {
				hear(t, l, e(0), int64(100+i)*second)
			}
		}
	}
	if a := l.Panel(0, 100, 149)[Logged]; !strings.HasPrefix(a.Refused, GatewaysMissing) || a.MissingShare < 0.15 {
		t.Errorf("%.2f missing, %q", a.MissingShare, a.Refused)
	}
}

// TestBounds checks that memory is bounded and released.
func TestBounds(t *testing.T) {
	set := settings(1)
	set.MaxCells, set.KeptBins = 3, 5
	l := NewLedger(set)
	for i := range 100 {
		for _, e := range seen(0, 1, i, 50) {
			hear(t, l, e(0), int64(100+i)*second)
		}
	}
	if l.Counts.OutOfCapacity == 0 || l.cells > 3 || len(l.bins) > 6 || len(l.gateways[0].windows) > 6 {
		t.Errorf("%+v: %d cells, %d bins", l.Counts, l.cells, len(l.bins))
	}
	f := NewFolder(0, 4)
	for i := range 10 {
		f.Add(&Record{Candidates: []Candidate{{Host: uint32(i), Probability: 1, Load: 1}}})
	}
	f.AddLost(2)
	f.Add(&Record{Candidates: []Candidate{{Probability: 0.5, Load: 1}}})
	if cells, seen, lost := f.Close(); len(cells) != 4 || seen != 13 || lost != 9 {
		t.Errorf("%d cells, %d of %d lost", len(cells), lost, seen)
	}
}

// TestBadChances checks that no figure is given if gateways report other probabilities than those in force.
func TestBadChances(t *testing.T) {
	l := NewLedger(settings(1))
	f, rnd := NewFolder(0, 1000), rand.New(rand.NewPCG(1, 1))
	for range 4000 { // host 0 gets all, it says: each a half
		f.Add(&Record{Customer: rnd.Uint32(), Latency: 1e6 + rnd.Int64N(1e6),
			Candidates: []Candidate{{Host: 0, Probability: 0.5, Load: 1}, {Host: 1, Probability: 0.5, Load: 2}}})
	}
	cells, seen, _ := f.Close()
	for _, e := range Encode(Part{Incarnation: 1, WindowLength: 1000, Attempts: seen}, cells) {
		hear(t, l, e(0), 100*second)
	}
	for _, r := range []Rule{LeastLoaded, Random} {
		if a := l.Panel(0, 100, 100)[r]; a.Mean.Given() {
			t.Errorf("%+v", a)
		}
	}
}

// FuzzHear checks that no message causes a panic, and that what is merged can be asked about.
func FuzzHear(f *testing.F) {
	for _, e := range seen(1, 1, 1, 5) {
		f.Add(e(5))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		p, err := Decode(body)
		if err != nil {
			return
		}
		l := NewLedger(settings(4))
		l.Receive(p, 100*second)
		if l.Counts.Merged > 0 {
			l.Panel(0, 40, 101)
			l.Replaced(0, Random, 1, 40, 101)
		}
	})
}
