package fleetsim

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"
)

// Fleets of the sizes in QUOTA (such as 80,300) are measured on the rough day, without a verdict.
func TestRoughDayFigures(t *testing.T) {
	sizes := os.Getenv("QUOTA")
	if sizes == "" {
		t.Skip("set QUOTA=80,300 to run these fleets")
	}
	for _, size := range strings.Split(sizes, ",") {
		n := 0
		fmt.Sscan(size, &n)
		for seed := uint64(1); seed <= max(uint64(len(os.Getenv("SEEDS"))), 1); seed++ {
			t.Run(fmt.Sprintf("%d/%d", n, seed), func(t *testing.T) {
				t.Parallel()
				r := Run(RoughDay(n, max(10, n*179/273), 30*time.Second, seed))
				t.Logf("%s", r.Table())
				t.Log("windows", r.Windows)
			})
		}
	}
}
