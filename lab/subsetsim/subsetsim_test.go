package subsetsim

import (
	"fmt"
	"os"
	"testing"
	"time"

	"ravensill/internal/golden"
	"ravensill/subset"
)

// The figures of the rules are those of docs/spread.md, with fewer lists.
func TestTableOfRulesIsUnchanged(t *testing.T) {
	fleets := []Fleet{{300, 200, 0}, {300, 190, 0}, {300, 60, 0.25}, {80, 60, 0}, {24, 200, 0.25}}
	golden.Check(t, Table(fleets, 2, 1))
}

// With 24 gateways of unequal traffic and 60 hosts, no host is idle, and over 10 s each has 0.6 to 1.4 of its share.
// Two runs of a day are the same.
func TestDayUsesHostsEvenly(t *testing.T) {
	day := Days(3, 24, 60)[1]
	result := Run(day)
	sent, chance := result.Windows(stepAt, day.Duration, 10*time.Second)
	idle, _, _ := result.IdleHosts(stepAt, day.Duration)
	if idle > 0 || sent.Most > 1.4 || sent.Least < 0.6 {
		t.Errorf("%d idle hosts; over 10 s %v, by chance %v", idle, sent, chance)
	}
	if first, second := Row(day, ""), Row(day, ""); first != second {
		t.Errorf("two runs of one day differ:\n%s%s", first, second)
	}
}

// The days at full size are measured, without a verdict, if SPREADSIM names a file.
func TestFullSizeDays(t *testing.T) {
	file := os.Getenv("SPREADSIM")
	if file == "" {
		t.Skip("SPREADSIM=FILE writes the days at full size there")
	}
	if err := os.WriteFile(file, []byte(Measure([]uint64{1, 2})), 0o644); err != nil {
		t.Fatal(err)
	}
}

// BenchmarkAssignSubset measures what a gateway computes at a change of the list, beside the previous rule.
func BenchmarkAssignSubset(b *testing.B) {
	for _, fleet := range []Fleet{{3, 10, 0}, {80, 60, 0}, {300, 60, 0.25}, {300, 200, 0}, {300, 200, 0.25}} {
		b.Run(fmt.Sprintf("%d x %d", fleet.Gateways, fleet.Hosts), func(b *testing.B) {
			hosts := make([]subset.Endpoint, fleet.Hosts)
			endpoints := make([]*subset.Endpoint, fleet.Hosts)
			for i := range hosts {
				hosts[i] = subset.Endpoint{Hash: mix(uint64(i + 1)), Weight: 1}
				if float64(i) < fleet.LightFraction*float64(fleet.Hosts) {
					hosts[i].Weight = lightWeight
				}
				endpoints[i] = &hosts[i]
			}
			var previous, current time.Duration
			for i := range b.N {
				start := time.Now()
				rendezvous(i%fleet.Gateways, fleet.Gateways, hosts)
				previous += time.Since(start)
				start = time.Now()
				subset.AssignSubset(i%fleet.Gateways, fleet.Gateways, endpoints)
				current += time.Since(start)
			}
			b.ReportMetric(float64(current)/float64(b.N), "ns/deal")
			b.ReportMetric(float64(current)/float64(previous), "of-landed")
		})
	}
}
