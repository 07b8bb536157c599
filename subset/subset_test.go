package subset

import (
	"math"
	"testing"

	"pgregory.net/rapid"
)

// dealt gives who holds what: by seat, the hashes of the hosts.
func dealt(seats int, list []Endpoint) []map[uint64]bool {
	held := make([]map[uint64]bool, seats)
	for seat := range seats {
		var hosts []*Endpoint
		for _, h := range list {
			hosts = append(hosts, &h)
		}
		AssignSubset(seat, seats, hosts)
		held[seat] = map[uint64]bool{}
		for _, h := range hosts {
			if h.InSubset {
				held[seat][h.Hash] = true
			}
		}
	}
	return held
}

func count(held []map[uint64]bool, host Endpoint) (n int) {
	for _, own := range held {
		if own[host.Hash] {
			n++
		}
	}
	return n
}

// draw gives a fleet of hosts with hashes as good as those of a mixer.
func draw(t *rapid.T, weights ...float64) (seats int, list []Endpoint) {
	h, n := rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 120).Draw(t, "hosts")
	for range n {
		h += 0x9e3779b97f4a7c15
		x := (h ^ h>>30) * 0xbf58476d1ce4e5b9
		x = (x ^ x>>27) * 0x94d049bb133111eb
		list = append(list, Endpoint{Hash: x ^ x>>31, Weight: rapid.SampledFrom(weights).Draw(t, "weight")})
	}
	return rapid.IntRange(1, 150).Draw(t, "gateways"), list
}

// TestGatewaysHoldEndpointsEvenly: gateways hold equally many and all that there are if they are few; every host
// is held; by weight held counts are within one of their parts and, where gateways hold nearly all, a tenth.
func TestGatewaysHoldEndpointsEvenly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seats, list := draw(t, 1)
		held := dealt(seats, list)
		want := min(max((12*len(list)+seats-1)/seats, 6), len(list))
		for seat, own := range held {
			if len(own) != want {
				t.Fatalf("gateway %d of %d holds %d of %d hosts, not %d", seat, seats, len(own), len(list), want)
			}
		}
		part := float64(seats*want) / float64(len(list))
		for _, h := range list {
			if n := count(held, h); n == 0 || math.Abs(float64(n)-part) > 1+part/10 {
				t.Fatalf("%d of %d gateways hold a host; its part is %.2f", n, seats, part)
			}
		}
	})
}

// TestEndpointsAreHeldByWeight: a host of a quarter of the weight is held by a quarter as many, within one and a
// half; nobody is left out, however light, and weights that make no sense count as light or, if none does, as
// even.
func TestEndpointsAreHeldByWeight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seats, list := draw(t, 1, 1, 1, 0.25)
		list[0].Weight, list[1].Weight = 1, 0.25
		held := dealt(seats, list)
		heavy, light := float64(count(held, list[0])), float64(count(held, list[1]))
		if full := heavy > 0.75*float64(seats); !full && math.Abs(light-heavy/4) > 1.5 {
			t.Fatalf("%v of %d gateways hold a host of weight 1, %v one of 1/4", heavy, seats, light)
		}
	})
	rapid.Check(t, func(t *rapid.T) {
		seats, list := draw(t, 1, 100, 0.25, 0, -1, 1e-9, math.Inf(1), math.NaN())
		held := dealt(seats, list)
		for _, h := range list {
			if count(held, h) == 0 {
				t.Fatalf("a host of weight %v is held by none", h.Weight)
			}
		}
	})
}

// TestListChangeMovesFewEndpoints: a host that comes or goes makes the fleet open at most eight connections for
// each that it holds, and one at each gateway where the number that they hold grows.
func TestListChangeMovesFewEndpoints(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seats, list := draw(t, 1)
		with, without := dealt(seats, list), dealt(seats, list[1:])
		for _, way := range [][2][]map[uint64]bool{{with, without}, {without, with}} {
			n, most := 0, 8*count(with, list[0])+seats*max(len(way[1][0])-len(way[0][0]), 0)
			for seat, own := range way[1] {
				for h := range own {
					if !way[0][seat][h] {
						n++
					}
				}
			}
			if n > most {
				t.Fatalf("%d gateways, %d hosts: %d connections opened, more than %d", seats, len(list), n, most)
			}
		}
	})
}
