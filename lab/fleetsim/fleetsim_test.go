package fleetsim

import (
	"os"
	"testing"
	"time"
)

// The same configuration causes the same report.
func TestSameConfigCausesSameReport(t *testing.T) {
	cfg := CalmDay(20, 12, 3*time.Second, 7)
	a, b := Run(cfg), Run(cfg)
	if a.String() != b.String() {
		t.Errorf("two runs differ:\n%v\n%v", a, b)
	}
	if a.Requests == 0 || a.Succeeded == 0 || a.Messages == 0 {
		t.Errorf("nothing happened: %v", a)
	}
}

// The calm day is measured at several sizes, without a verdict, if FLEETSIM=1.
func TestCalmDayFigures(t *testing.T) {
	if os.Getenv("FLEETSIM") != "1" {
		t.Skip("set FLEETSIM=1 to run the calm day")
	}
	for _, n := range []int{3, 60, 80, 273} { // 80: the fleet-growth days
		start := time.Now()
		r := Run(CalmDay(n, max(10, n*179/273), 20*time.Second, 3))
		t.Logf("%d gateways (%.1f s): %v", n, time.Since(start).Seconds(), r)
	}
}
