package subsetsim

import (
	"fmt"
	"os"
	"testing"
	"time"

	"ravensill/internal/golden"
	"ravensill/subset"
)

// TestTable: the table of docs/spread.md, with fewer lists. That "deal" is the most even is read off its rows.
func TestTable(t *testing.T) {
	golden.Check(t, Table([]Fleet{{300, 200, 0}, {300, 190, 0}, {300, 60, 0.25}, {80, 60, 0}, {24, 200, 0.25}}, 2, 1))
}

// TestDay: 24 gateways of unequal traffic and 60 hosts: none idle, and over 10 s each takes 0.6 to 1.4 of its part, in
// each of two plays alike. With the landed subsets and loads it was 0.43 to 1.47, by chance alone 0.78 to 1.28.
func TestDay(t *testing.T) {
	day := Days(3, 24, 60)[1]
	r := Play(day)
	sent, chance := r.Windows(15*time.Second, day.Length, 10*time.Second)
	if idle, _, _ := r.Idle(15*time.Second, day.Length); idle > 0 || sent.Most > 1.4 || sent.Least < 0.6 {
		t.Errorf("%d idle hosts; over 10 s %v, by chance %v", idle, sent, chance)
	}
	if a, b := Row(day, ""), Row(day, ""); a != b {
		t.Errorf("two plays of one day differ:\n%s%s", a, b)
	}
}

// TestMeasure plays the days at full size if SPREADSIM names a file: a measurement, not a test for CI.
func TestMeasure(t *testing.T) {
	file := os.Getenv("SPREADSIM")
	if file == "" {
		t.Skip("SPREADSIM=FILE writes the days at full size there")
	}
	if err := os.WriteFile(file, []byte(Measure([]uint64{1, 2})), 0o644); err != nil {
		t.Fatal(err)
	}
}

// BenchmarkDeal: what a gateway computes at a change of the list, and its ratio to the landed rule in the same run.
func BenchmarkDeal(b *testing.B) {
	for _, f := range []Fleet{{3, 10, 0}, {80, 60, 0}, {300, 60, 0.25}, {300, 200, 0}, {300, 200, 0.25}} {
		b.Run(fmt.Sprintf("%d x %d", f.Gateways, f.Hosts), func(b *testing.B) {
			hosts, all := make([]subset.Endpoint, f.Hosts), make([]*subset.Endpoint, f.Hosts)
			for i := range hosts {
				hosts[i] = subset.Endpoint{Hash: mix(uint64(i + 1)), Weight: 1}
				if float64(i) < f.Light*float64(f.Hosts) {
					hosts[i].Weight = 0.25
				}
				all[i] = &hosts[i]
			}
			var landed, now time.Duration
			for i := range b.N {
				start := time.Now()
				rendezvous(i%f.Gateways, f.Gateways, hosts)
				landed += time.Since(start)
				start = time.Now()
				subset.AssignSubset(i%f.Gateways, f.Gateways, all)
				now += time.Since(start)
			}
			b.ReportMetric(float64(now)/float64(b.N), "ns/deal")
			b.ReportMetric(float64(now)/float64(landed), "of-landed")
		})
	}
}
