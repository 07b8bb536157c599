package fleetsim

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"
)

func TestRunIsDeterministic(t *testing.T) {
	config := SteadyTraffic(20, 12, 3*time.Second, 7)
	first := Run(config)
	second := Run(config)
	if first.String() != second.String() {
		t.Errorf("two runs of the same configuration differ:\n%v\n%v", first, second)
	}
	if first.Requests == 0 || first.Succeeded == 0 || first.Messages == 0 {
		t.Errorf("no requests, no successes or no gossip: %v", first)
	}
}

// Logs the reports of SteadyTraffic for several fleet sizes if FLEETSIM=1. It takes too long for CI.
func TestMassLogsReports(t *testing.T) {
	if os.Getenv("FLEETSIM") != "1" {
		t.Skip("set FLEETSIM=1 to log the reports of SteadyTraffic")
	}
	// 80 is the fleet size of the benchmark's runs in which the fleet grows.
	for _, gateways := range []int{3, 60, 80, referenceGateways} {
		start := time.Now()
		report := Run(SteadyTraffic(gateways, hostsFor(gateways), 20*time.Second, 3))
		t.Logf("%d gateways (%.1f s): %v", gateways, time.Since(start).Seconds(), report)
	}
}

// Logs the tables of UnevenTraffic for the fleet sizes in QUOTA, as in QUOTA=80,300, with as many seeds as SEEDS has
// characters. It takes too long for CI.
func TestRoughLogsQuotaTables(t *testing.T) {
	sizes := os.Getenv("QUOTA")
	if sizes == "" {
		t.Skip("set QUOTA to fleet sizes, as in QUOTA=80,300, to log the tables of UnevenTraffic")
	}
	seeds := max(len(os.Getenv("SEEDS")), 1)
	for _, size := range strings.Split(sizes, ",") {
		gateways := 0
		fmt.Sscan(size, &gateways)
		for seed := range seeds {
			t.Run(fmt.Sprintf("%d/%d", gateways, seed+1), func(t *testing.T) {
				t.Parallel()
				report := Run(UnevenTraffic(gateways, hostsFor(gateways), 30*time.Second, uint64(seed+1)))
				t.Logf("%s", report.Table())
				t.Log("windows", report.Windows)
			})
		}
	}
}
