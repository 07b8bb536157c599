package subsetsim

import (
	"fmt"
	"os"
	"testing"
	"time"

	"ravensill/internal/golden"
	"ravensill/subset"
)

// The figures of the rules, as in docs/spread.md but over fewer lists: the rule in use has the most even rows.
func TestTableHasFiguresOfAllRules(t *testing.T) {
	sizes := []FleetSize{{300, 200, 0}, {300, 190, 0}, {300, 60, 0.25}, {80, 60, 0}, {24, 200, 0.25}}
	golden.Check(t, RuleTable(sizes, 2, 1))
}

// With 24 gateways of unequal traffic and 60 hosts, none is idle, and over 10 s each host receives 0.6 to 1.4 of its
// share; the random baseline alone has 0.78 to 1.28.
func TestDayUsesHostsEvenly(t *testing.T) {
	day := Scenarios(3, 24, 60)[1]
	result := Run(day)
	sent, baseline := result.Evenness(firstStep, day.Length, 10*time.Second)
	idle, _, _ := result.IdleHosts(firstStep, day.Length)
	if idle > 0 || sent.MaxRatio > 1.4 || sent.MinRatio < 0.6 {
		t.Errorf("%d idle hosts; over 10 s %v, random baseline %v", idle, sent, baseline)
	}
}

func TestDayIsDeterministic(t *testing.T) {
	day := Scenarios(3, 24, 60)[1]
	first := ScenarioRow(day, "")
	second := ScenarioRow(day, "")
	if first != second {
		t.Errorf("two runs of one day differ:\n%s%s", first, second)
	}
}

// Writes the figures of the days at full size if SPREADSIM names a file; it takes too long for CI.
func TestMeasureWritesFullSizeDays(t *testing.T) {
	file := os.Getenv("SPREADSIM")
	if file == "" {
		t.Skip("SPREADSIM=FILE writes the days at full size there")
	}
	if err := os.WriteFile(file, []byte(MeasureScenarios([]uint64{1, 2})), 0o644); err != nil {
		t.Fatal(err)
	}
}

// Measures what a gateway computes at a change of the list, and its ratio to rendezvous in the same run.
func BenchmarkAssignSubset(b *testing.B) {
	for _, size := range []FleetSize{{3, 10, 0}, {80, 60, 0}, {300, 60, 0.25}, {300, 200, 0}, {300, 200, 0.25}} {
		b.Run(fmt.Sprintf("%d x %d", size.Gateways, size.Hosts), func(b *testing.B) {
			hosts := make([]subset.Endpoint, size.Hosts)
			endpoints := make([]*subset.Endpoint, size.Hosts)
			for i := range hosts {
				hosts[i] = subset.Endpoint{Hash: mix(uint64(i + 1)), Weight: 1}
				if float64(i) < size.LightFraction*float64(size.Hosts) {
					hosts[i].Weight = lightWeight
				}
				endpoints[i] = &hosts[i]
			}
			var rendezvousTime, assignTime time.Duration
			for i := range b.N {
				start := time.Now()
				rendezvousSubset(i%size.Gateways, size.Gateways, hosts)
				rendezvousTime += time.Since(start)
				start = time.Now()
				subset.AssignSubset(i%size.Gateways, size.Gateways, endpoints)
				assignTime += time.Since(start)
			}
			b.ReportMetric(float64(assignTime)/float64(b.N), "ns/assign")
			b.ReportMetric(float64(assignTime)/float64(rendezvousTime), "of-rendezvous")
		})
	}
}
