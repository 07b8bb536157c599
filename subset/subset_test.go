package subset

import (
	"slices"
	"testing"
)

func hosts(n int, weight func(i int) float64) []Host {
	hs := make([]Host, n)
	for i := range hs {
		hs[i] = Host{Key: mix(uint64(i) + 1), Weight: weight(i)}
	}
	return hs
}

func one(int) float64 { return 1 }

func TestSize(t *testing.T) {
	for _, c := range []struct{ gateways, hosts, want int }{
		{3, 10, 10},   // a small fleet keeps all hosts
		{273, 179, 8}, // a mass day: 12 gateways a host
		{60, 60, 12},
		{1000, 10, 6}, // never below Least
		{2, 3, 3},     // nor above the hosts there are
		{0, 5, 0},
		{5, 0, 0},
	} {
		if got := Size(c.gateways, c.hosts); got != c.want {
			t.Errorf("Size(%d, %d) = %d, want %d", c.gateways, c.hosts, got, c.want)
		}
	}
}

func TestChooseAll(t *testing.T) {
	hs := hosts(5, one)
	if got := Choose(7, hs, 5); !slices.Equal(got, []int{0, 1, 2, 3, 4}) {
		t.Errorf("k = len: got %v, want all in order", got)
	}
	if got := Choose(7, hs, 0); len(got) != 0 {
		t.Errorf("k = 0: got %v", got)
	}
	a, b := Choose(7, hs, 3), Choose(7, hs, 3)
	if !slices.Equal(a, b) || len(a) != 3 {
		t.Errorf("not the same choice twice: %v, %v", a, b)
	}
	seen := map[int]bool{}
	for _, i := range a {
		if seen[i] || i < 0 || i >= 5 {
			t.Fatalf("bad or repeated position in %v", a)
		}
		seen[i] = true
	}
}

// counts gives how many gateways' subsets hold each host.
func counts(gateways int, hs []Host) []int {
	k := Size(gateways, len(hs))
	n := make([]int, len(hs))
	for g := range gateways {
		for _, i := range Choose(g, hs, k) {
			n[i]++
		}
	}
	return n
}

// TestBalance: at the mass days' size every host is used, and none by more than twice the mean.
func TestBalance(t *testing.T) {
	hs := hosts(179, one)
	n := counts(273, hs)
	mean := float64(273*Size(273, 179)) / 179
	if least, most := slices.Min(n), slices.Max(n); least < 3 || float64(most) > 2*mean {
		t.Errorf("gateways a host from %d to %d, mean %.1f", least, most, mean)
	}
}

// TestWeights: hosts of twice the weight are in about twice as many subsets.
func TestWeights(t *testing.T) {
	hs := hosts(200, func(i int) float64 { return float64(1 + i%2) })
	n := counts(300, hs)
	var light, heavy int
	for i, c := range n {
		if i%2 == 0 {
			light += c
		} else {
			heavy += c
		}
	}
	if r := float64(heavy) / float64(light); r < 1.6 || r > 2.4 {
		t.Errorf("heavy to light hosts %.2f, want about 2", r)
	}
}

// TestStable: a host that goes leaves only the subsets it was in, each of which takes one other; one that
// comes enters few subsets and pushes one out of each.
func TestStable(t *testing.T) {
	hs := hosts(100, one)
	k := Size(300, len(hs))
	key := func(hs []Host, pos []int) map[uint64]bool {
		m := map[uint64]bool{}
		for _, i := range pos {
			m[hs[i].Key] = true
		}
		return m
	}
	less := slices.Delete(slices.Clone(hs), 40, 41)
	more := append(slices.Clone(hs), Host{Key: mix(1000), Weight: 1})
	entered := 0
	for g := range 300 {
		was := key(hs, Choose(g, hs, k))
		after := key(less, Choose(g, less, k))
		moved := 0
		for x := range after {
			if !was[x] {
				moved++
			}
		}
		if had := was[hs[40].Key]; had && moved != 1 || !had && moved != 0 {
			t.Errorf("gateway %d: %d hosts moved in when host 40 (held: %t) went", g, moved, had)
		}
		now := key(more, Choose(g, more, k))
		moved = 0
		for x := range now {
			if !was[x] {
				moved++
			}
		}
		if moved > 1 {
			t.Errorf("gateway %d: %d hosts moved in when one came", g, moved)
		}
		entered += moved
	}
	if mean := 300 * k / 100; entered > 2*mean {
		t.Errorf("a new host entered %d subsets, mean %d", entered, mean)
	}
}

func BenchmarkChoose(b *testing.B) {
	hs := hosts(179, one)
	k := Size(273, len(hs))
	for i := 0; b.Loop(); i++ {
		Choose(i%273, hs, k)
	}
}
