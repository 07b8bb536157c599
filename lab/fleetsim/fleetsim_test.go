package fleetsim

import (
	"os"
	"testing"
	"time"
)

// TestDeterministic checks that the same configuration gives the same report.
func TestDeterministic(t *testing.T) {
	cfg := Mass(20, 12, 3*time.Second, 7)
	a, b := Run(cfg), Run(cfg)
	if a.String() != b.String() {
		t.Errorf("two runs differ:\n%v\n%v", a, b)
	}
	if a.Requests == 0 || a.Succeeded == 0 || a.Messages == 0 {
		t.Errorf("nothing happened: %v", a)
	}
}

// TestMassReport reports Mass at several sizes if FLEETSIM=1: a measurement, not a test for CI.
func TestMassReport(t *testing.T) {
	if os.Getenv("FLEETSIM") != "1" {
		t.Skip("set FLEETSIM=1 to play the mass day")
	}
	for _, n := range []int{3, 60, 80, 273} { // 80: the fleet-growth days
		start := time.Now()
		r := Run(Mass(n, max(10, n*179/273), 20*time.Second, 3))
		t.Logf("%d gateways (%.1f s): %v", n, time.Since(start).Seconds(), r)
	}
}
