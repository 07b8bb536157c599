package subsetsim

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"

	"ravensill/subset"
)

// Fleet is a size to compute a rule for. Light is the part of the hosts with a quarter of the weight.
type Fleet struct {
	Gateways, Hosts int
	Light           float64
}

// Figures are a rule's for one fleet, over several lists. Parts are by weight: 1 is even.
type Figures struct {
	HeldLeast, HeldMost float64 // gateways that hold a host, over its part
	LoadLeast, LoadMost float64 // what a host gets if every gateway sends as much, evenly to those it holds
	SkewLeast, SkewMost float64 // the same with gateways of unequal traffic (log-normal, sigma 1)
	Fewest, Most        int     // hosts that a gateway holds
	All                 float64 // connections
	Leave, Join, Seat   float64 // opened when a host leaves, when one joins, when a gateway is added
	Worst               int     // opened, at most, at any host's coming or going
	MixLeast, MixMost   float64 // load while every second gateway lacks one host in twenty of the list
	Zone                int     // hosts left to the gateway worst off when one of three zones is lost
}

// Compute gives a rule's figures over some lists, drawn by seed.
func Compute(r Rule, f Fleet, lists int, seed uint64) Figures {
	rnd := rand.New(rand.NewPCG(seed, 7))
	draw := func() subset.Endpoint {
		h := subset.Endpoint{Hash: mix(rnd.Uint64()), Weight: 1}
		if rnd.Float64() < f.Light {
			h.Weight = 0.25
		}
		return h
	}
	inf := math.Inf(1)
	g := Figures{HeldLeast: inf, LoadLeast: inf, SkewLeast: inf, MixLeast: inf, Fewest: math.MaxInt, Zone: math.MaxInt}
	for range lists {
		var hosts []subset.Endpoint
		traffic, even := make([]float64, f.Gateways), make([]float64, f.Gateways)
		for range f.Hosts {
			hosts = append(hosts, draw())
		}
		for i := range traffic {
			traffic[i], even[i] = math.Exp(rnd.NormFloat64()), 1
		}
		held := r.Held(f.Gateways, hosts)
		for _, own := range held {
			g.Fewest, g.Most, g.All = min(g.Fewest, len(own)), max(g.Most, len(own)), g.All+float64(len(own))/float64(lists)
			left := 0
			for _, i := range own {
				if i%3 > 0 {
					left++
				}
			}
			g.Zone = min(g.Zone, left)
		}
		g.HeldLeast, g.HeldMost = extremes(parts(hosts, held, nil), g.HeldLeast, g.HeldMost)
		g.LoadLeast, g.LoadMost = extremes(parts(hosts, held, even), g.LoadLeast, g.LoadMost)
		g.SkewLeast, g.SkewMost = extremes(parts(hosts, held, traffic), g.SkewLeast, g.SkewMost)
		const tries = 4
		for i := range tries {
			less := append(append([]subset.Endpoint{}, hosts[:i]...), hosts[i+1:]...)
			more := append(append([]subset.Endpoint{}, hosts...), draw())
			a := opened(hosts, held, less, r.Held(f.Gateways, less))
			b := opened(hosts, held, more, r.Held(f.Gateways, more))
			g.Worst = max(g.Worst, a, b)
			g.Leave += float64(a) / float64(tries*lists)
			g.Join += float64(b) / float64(tries*lists)
		}
		g.Seat += float64(opened(hosts, held, hosts, r.Held(f.Gateways+1, hosts))) / float64(lists)
		old := r.Held(f.Gateways, hosts[f.Hosts/20:]) // the hosts that half of the fleet has not heard of come first
		for s := 1; s < f.Gateways; s += 2 {
			held[s] = nil
			for _, i := range old[s] {
				held[s] = append(held[s], i+f.Hosts/20)
			}
		}
		g.MixLeast, g.MixMost = extremes(parts(hosts, held, even)[f.Hosts/20:], g.MixLeast, g.MixMost)
	}
	return g
}

// parts gives what each host gets over its part by weight; traffic nil counts the gateways that hold it.
func parts(hosts []subset.Endpoint, held [][]int, traffic []float64) []float64 {
	got, sum, weight := make([]float64, len(hosts)), 0.0, 0.0
	for s, own := range held {
		for _, i := range own {
			t := 1.0
			if traffic != nil {
				t = traffic[s] / float64(len(own))
			}
			got[i] += t
			sum += t
		}
	}
	for _, h := range hosts {
		weight += h.Weight
	}
	for i, h := range hosts {
		got[i] /= sum * h.Weight / weight
	}
	return got
}

func extremes(x []float64, least, most float64) (float64, float64) {
	for _, v := range x {
		least, most = min(least, v), max(most, v)
	}
	return least, most
}

// opened counts the gateways' hosts that they did not hold before.
func opened(before []subset.Endpoint, held [][]int, after []subset.Endpoint, now [][]int) (n int) {
	for s, own := range now {
		was := map[uint64]bool{}
		if s < len(held) {
			for _, i := range held[s] {
				was[before[i].Hash] = true
			}
		}
		for _, i := range own {
			if !was[after[i].Hash] {
				n++
			}
		}
	}
	return n
}

// Table writes the figures of all rules for the fleets, as docs/spread.md shows them.
func Table(fleets []Fleet, lists int, seed uint64) string {
	var b strings.Builder
	for _, f := range fleets {
		fmt.Fprintf(&b, "%d gateways, %d hosts, %.0f%% of them with a quarter of the weight; %d lists\n\n", f.Gateways,
			f.Hosts, 100*f.Light, lists)
		fmt.Fprintln(&b, "| rule | held | even traffic | log-normal | lists differ | a gateway holds | zone lost | host leaves | joins | worst | seat added |")
		fmt.Fprintln(&b, "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
		for _, r := range Rules {
			g := Compute(r, f, lists, seed)
			fmt.Fprintf(&b, "| %s | %.2f..%.2f | %.2f..%.2f | %.2f..%.2f | %.2f..%.2f | %d..%d | %d | %.0f | %.0f | %d | %.0f of %.0f |\n",
				r.Name, g.HeldLeast, g.HeldMost, g.LoadLeast, g.LoadMost, g.SkewLeast, g.SkewMost, g.MixLeast, g.MixMost,
				g.Fewest, g.Most, g.Zone, g.Leave, g.Join, g.Worst, g.Seat, g.All)
		}
		fmt.Fprintln(&b)
	}
	return b.String()
}
