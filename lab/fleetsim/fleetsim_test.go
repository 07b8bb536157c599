package fleetsim

import (
	"os"
	"testing"
	"time"
)

// Mass is a day like the mass bench's calm one, at the size given: customers of three plans whose sets hold
// half to all of the gateways, hosts at about 60% of their capacity for what is asked inside the quotas.
func Mass(gateways, hosts int, length time.Duration, seed uint64) Config {
	scale := float64(gateways) / 273
	n := func(x float64) int { return max(1, int(x*scale+0.5)) }
	return Config{Seed: seed, Gateways: gateways, Hosts: hosts, Slots: 12, Queue: 80,
		Work: 400 * time.Millisecond, Target: 2 * time.Second, Deadline: 8 * time.Second,
		Plans: []Plan{
			{Name: "basic", Rate: 1.2, Burst: 4, Customers: n(1621), Spread: [2]float64{0.5, 1}},
			{Name: "standard", Rate: 3.4, Burst: 17, Open: 2, Customers: n(502), Spread: [2]float64{0.5, 1}},
			{Name: "fleet", Rate: 14, Burst: 22, CeilingRate: 30, CeilingBurst: 50, Customers: n(89), Set: 7},
		},
		Demand: [2]float64{0.2, 0.9}, Heavy: 0.11, HeavyTimes: [2]float64{1.8, 4.9}, Retries: 1,
		MailPerSecond: 60, MailDelay: 5 * time.Millisecond, MailLoss: 0.007, NetDelay: 250 * time.Microsecond,
		Length: length}
}

// TestDeterministic: one config, one report.
func TestDeterministic(t *testing.T) {
	cfg := Mass(20, 12, 3*time.Second, 7)
	a, b := Run(cfg), Run(cfg)
	if a.String() != b.String() {
		t.Errorf("two runs differ:\n%v\n%v", a, b)
	}
	if a.Reqs == 0 || a.Passed == 0 || a.Messages == 0 {
		t.Errorf("nothing happened: %v", a)
	}
}

// TestMassReport plays a mass day when FLEETSIM=1: a measurement, not a test for CI.
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
