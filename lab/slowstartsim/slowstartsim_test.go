package slowstartsim

import (
	"fmt"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"ravensill/gateway"
	"ravensill/internal/golden"
)

// All gateways together keep to what the settings allow a cold host, though each saves an allowance of its own: in
// even traffic, at skewed gateways, when they are told of many starts at once or seconds apart, when a surge finds what
// a lull let them save, over a cut, and when other hosts fail and reqs are repeated. Hundreds hold a host by the dozen;
// three, twenty or thirty gateways all hold most hosts, and the windows there are narrower.
func TestFleetKeepsColdBudget(t *testing.T) {
	const s = time.Second
	wide := gateway.SlowStart{InitialFraction: 0.2, Duration: 10 * s, OverloadFactor: 3, OverloadWindow: 2 * s}
	narrow := gateway.SlowStart{InitialFraction: 0.16, Duration: 10 * s, OverloadFactor: 2, OverloadWindow: s}
	var all strings.Builder
	var plays []Config
	for _, z := range []struct {
		gateways, hosts int
		perSecond       float64
		settings        gateway.SlowStart
	}{{300, 60, 600, wide}, {300, 200, 600, wide}, {3, 6, 60, narrow}, {20, 13, 40, narrow}, {30, 8, 20, narrow}, {30, 60, 180, narrow}} {
		for _, c := range []Config{
			{Cold: 1},
			{Cold: z.hosts / 2},
			{Cold: 3, Skew: 10},
			{Cold: 3, Lull: 6 * s, Surge: 2},
			{Cold: 3, Lull: 3 * s, Surge: 3, Skew: 10},
			{Cold: z.hosts / 3, Cut: 6 * s},
			{Cold: z.hosts / 2, Apart: 4 * s, Skew: 10},
			{Cold: 1, Failing: 0.6, Lull: 3 * s, Surge: 1.5, InTurn: true},
			{Cold: z.hosts * 6 / 10, Failing: 0.3, Skew: 10},
			{Cold: 1, Failing: 1, Lull: s, Surge: 1, InTurn: true}, // all others, when it has just started
		} {
			seeds := uint64(2)
			if z.gateways >= 300 {
				seeds = uint64(1 + min(c.Surge, 1)) // two where it comes near the bound
			}
			for seed := range seeds {
				c.Seed, c.Gateways, c.Hosts, c.PerSecond, c.Load, c.Length = seed+1, z.gateways, z.hosts, z.perSecond, 0.6, 10*s
				c.Settings, c.Gossip = z.settings, z.gateways < 100
				plays = append(plays, c)
			}
		}
	}
	// All other hosts fail under a surge, and each request is tried at two. Retries once let allowances grow, too: the first
	// of these rows stood at 1.11 of its budget, four of them above it.
	for _, z := range []struct {
		seed     uint64
		lull     time.Duration
		settings gateway.SlowStart
	}{{3, s, wide}, {1, 3 * s, wide}, {3, 3 * s, wide}, {3, s, narrow}} {
		plays = append(plays, Config{Seed: z.seed, Gateways: 300, Hosts: 200, PerSecond: 600, Load: 0.6, Length: 10 * s, Settings: z.settings,
			Cold: 1, Failing: 1, Lull: z.lull, Surge: 3, Skew: 10})
	}
	// The smallest and the largest fleets that the operators' acceptance has.
	for _, z := range []struct {
		gateways, hosts int
		perSecond       float64
		settings        gateway.SlowStart
	}{{1, 4, 30, wide}, {1, 40, 60, narrow}, {900, 200, 1800, narrow}, {900, 3200, 1800, wide}} {
		for _, c := range []Config{
			{Cold: z.hosts / 2, Apart: 4 * s, Skew: 10},
			{Cold: z.hosts / 3, Cut: 6 * s},
			{Cold: 1, Failing: 1, Lull: 3 * s, Surge: 3, Skew: 10},
		} {
			c.Seed, c.Gateways, c.Hosts, c.PerSecond, c.Load, c.Length, c.Settings = 1, z.gateways, z.hosts, z.perSecond, 0.6, 10*s, z.settings
			plays = append(plays, c)
		}
	}
	reports := make([]Report, len(plays))
	var done sync.WaitGroup
	turns := make(chan struct{}, runtime.NumCPU()) // the largest fleets take 100 MB each
	for i, c := range plays {
		done.Go(func() {
			turns <- struct{}{}
			defer func() { <-turns }()
			reports[i] = Run(c)
		})
	}
	done.Wait()
	for i, c := range plays {
		r := reports[i]
		fmt.Fprintf(&all, "gateways %d hosts %d cold %d skew %.0f lull %v surge %.1f cut %v apart %v failing %.1f seed %d: %v\n",
			c.Gateways, c.Hosts, c.Cold, c.Skew, c.Lull, c.Surge, c.Cut, c.Apart, c.Failing, c.Seed, r)
		if r.Sent == 0 || r.Sent > r.Bound {
			t.Errorf("%+v: %v", c, r)
		}
	}
	golden.Check(t, all.String())
}
