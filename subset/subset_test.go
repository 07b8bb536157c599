package subset

import (
	"math"
	"testing"

	"pgregory.net/rapid"
)

// hashes is a set of endpoints, identified by their hashes.
type hashes map[uint64]bool

// subsets returns the subset of each member, as AssignSubset computes it at that member.
func subsets(members int, list []Endpoint) []hashes {
	all := make([]hashes, members)
	for member := range members {
		var endpoints []*Endpoint
		for _, endpoint := range list {
			endpoints = append(endpoints, &endpoint)
		}
		AssignSubset(member, members, endpoints)
		all[member] = hashes{}
		for _, endpoint := range endpoints {
			if endpoint.InSubset {
				all[member][endpoint.Hash] = true
			}
		}
	}
	return all
}

// subsetsWith returns the number of subsets that contain an endpoint.
func subsetsWith(all []hashes, endpoint Endpoint) (n int) {
	for _, subset := range all {
		if subset[endpoint.Hash] {
			n++
		}
	}
	return n
}

// drawFleet draws a number of members and a list of endpoints with well mixed hashes and some of the given weights.
func drawFleet(t *rapid.T, weights ...float64) (members int, list []Endpoint) {
	seed := rapid.Uint64().Draw(t, "seed")
	for range rapid.IntRange(2, 120).Draw(t, "endpoints") {
		seed += 0x9e3779b97f4a7c15
		x := (seed ^ seed>>30) * 0xbf58476d1ce4e5b9
		x = (x ^ x>>27) * 0x94d049bb133111eb
		list = append(list, Endpoint{Hash: x ^ x>>31, Weight: rapid.SampledFrom(weights).Draw(t, "weight")})
	}
	return rapid.IntRange(1, 150).Draw(t, "members"), list
}

// All subsets have the same size, and every endpoint is in at least one. Endpoints of equal weight are in about the
// same number of subsets: the mean, within 1 plus a tenth of it.
func TestSubsetsAreEven(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members, list := drawFleet(t, 1)
		all := subsets(members, list)
		size := min(max((12*len(list)+members-1)/members, 6), len(list))
		for member, subset := range all {
			if len(subset) != size {
				t.Fatalf("member %d of %d has %d of %d endpoints, want %d", member, members, len(subset), len(list), size)
			}
		}
		mean := float64(members*size) / float64(len(list))
		for _, endpoint := range list {
			n := subsetsWith(all, endpoint)
			if n == 0 || math.Abs(float64(n)-mean) > 1+mean/10 {
				t.Fatalf("an endpoint is in the subsets of %d of %d members, want %.2f", n, members, mean)
			}
		}
	})
}

// An endpoint with a quarter of the weight of another one is in a quarter as many subsets, within 1.5. This does
// not hold if the other one is in more than three quarters of the subsets, which it can't exceed by much.
func TestSubsetsFollowWeight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members, list := drawFleet(t, 1, 1, 1, 0.25)
		list[0].Weight = 1
		list[1].Weight = 0.25
		all := subsets(members, list)
		heavy := float64(subsetsWith(all, list[0]))
		light := float64(subsetsWith(all, list[1]))
		nearlyAll := heavy > 0.75*float64(members)
		if !nearlyAll && math.Abs(light-heavy/4) > 1.5 {
			t.Fatalf("%v of %d members have an endpoint of weight 1, %v one of weight 1/4", heavy, members, light)
		}
	})
	t.Run("no endpoint is left out", func(t *testing.T) {
		rapid.Check(t, func(t *rapid.T) {
			members, list := drawFleet(t, 1, 100, 0.25, 0, -1, 1e-9, math.Inf(1), math.NaN())
			all := subsets(members, list)
			for _, endpoint := range list {
				if subsetsWith(all, endpoint) == 0 {
					t.Fatalf("an endpoint of weight %v is in no subset", endpoint.Weight)
				}
			}
		})
	})
}

// addedEndpoints returns the number of endpoints that subsets gain by a change, over all subsets.
func addedEndpoints(before, after []hashes) (n int) {
	for member, subset := range after {
		for hash := range subset {
			if !before[member][hash] {
				n++
			}
		}
	}
	return n
}

// Adding or removing an endpoint makes the fleet open few connections: at most eight for each subset that the
// endpoint is in, and one for each member whose subset grows.
func TestListChangeMovesFewEndpoints(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members, list := drawFleet(t, 1)
		with := subsets(members, list)
		without := subsets(members, list[1:])
		for _, change := range []struct{ before, after []hashes }{{with, without}, {without, with}} {
			growth := max(len(change.after[0])-len(change.before[0]), 0)
			most := 8*subsetsWith(with, list[0]) + members*growth
			if n := addedEndpoints(change.before, change.after); n > most {
				t.Fatalf("%d members, %d endpoints: %d connections opened, want at most %d", members, len(list), n, most)
			}
		}
	})
}
