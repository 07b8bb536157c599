package subsetsim

import (
	"fmt"
	"os"
	"testing"
	"time"

	"ravensill/internal/golden"
	"ravensill/subset"
)

// Guards the figures of all rules, as on docs/spread.md but over fewer lists, against unintended changes. The rule in
// use has the most even ones.
func TestTableHasFiguresOfAllRules(t *testing.T) {
	sizes := []FleetSize{{300, 200, 0}, {300, 190, 0}, {300, 60, 0.25}, {80, 60, 0}, {24, 200, 0.25}}
	golden.Check(t, RuleTable(sizes, 2, 1))
}

// With 24 gateways of unequal traffic and 60 hosts, no host is idle, and in windows of 10 s each host receives 0.6 to
// 1.4 times its share. The random baseline alone has 0.78 to 1.28.
func TestDayUsesHostsEvenly(t *testing.T) {
	scenario := Scenarios(3, 24, 60)[1]
	result := Run(scenario)
	sent, baseline := result.Evenness(firstStepAt, scenario.Length, 10*time.Second)
	idle, _, _ := result.IdleHosts(firstStepAt, scenario.Length)
	if idle > 0 || sent.MaxRatio > 1.4 || sent.MinRatio < 0.6 {
		t.Errorf("%d idle hosts; ratios to shares in windows of 10 s %v, random baseline %v", idle, sent, baseline)
	}
}

func TestDayIsDeterministic(t *testing.T) {
	scenario := Scenarios(3, 24, 60)[1]
	first := ScenarioRow(scenario, "")
	second := ScenarioRow(scenario, "")
	if first != second {
		t.Errorf("two runs of the same scenario differ:\n%s%s", first, second)
	}
}

// Writes the figures of the scenarios at full size to the file that SPREADSIM names. It takes too long for CI.
func TestMeasureWritesFullSizeDays(t *testing.T) {
	file := os.Getenv("SPREADSIM")
	if file == "" {
		t.Skip("set SPREADSIM=FILE to write the figures of the scenarios at full size to FILE")
	}
	if err := os.WriteFile(file, []byte(MeasureScenarios([]uint64{1, 2})), 0o644); err != nil {
		t.Fatal(err)
	}
}

// Measures the time that a gateway takes to compute its subset when the endpoint list changes, and its ratio to the
// time of rendezvous hashing in the same run.
func BenchmarkAssignSubset(b *testing.B) {
	for _, size := range []FleetSize{{3, 10, 0}, {80, 60, 0}, {300, 60, 0.25}, {300, 200, 0}, {300, 200, 0.25}} {
		b.Run(fmt.Sprintf("%d x %d", size.Gateways, size.Hosts), func(b *testing.B) {
			hosts := make([]subset.Endpoint, size.Hosts)
			endpoints := make([]*subset.Endpoint, size.Hosts)
			for i := range hosts {
				hosts[i] = subset.Endpoint{Hash: hashMix(uint64(i + 1)), Weight: 1}
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
