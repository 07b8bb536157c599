package config

import (
	"fmt"
	"testing"

	"ravensill/gateway"
)

// newLiveWithPlans returns a Live with a number of plans.
func newLiveWithPlans(t testing.TB, plans int) *Live {
	live := NewLiveChecker()
	changes := changesOf(`classes/lookup {"hard_limit_us":2500}`)
	for i := range plans {
		changes = append(changes, changesOf(fmt.Sprintf(`plans/tenant-%d {"rate":2,"burst":4}`, i))...)
	}
	if _, err := live.Apply(changes, true); err != nil {
		t.Fatal(err)
	}
	return live
}

// applyPlanChange changes the rate of one plan. Consecutive iterations set different rates, so that each has an effect.
func applyPlanChange(t testing.TB, live *Live, iteration int) {
	change := changesOf(fmt.Sprintf(`plans/tenant-7 {"rate":%d,"burst":4}`, 1+iteration%2))
	if _, err := live.Apply(change, false); err != nil {
		t.Fatal(err)
	}
}

// The cost of a change must not grow with the size of the configuration: one change makes as many allocations among
// 20,000 plans as among 50.
func TestLiveApplyAllocationsIndependentOfSize(t *testing.T) {
	var allocations [2]float64
	for i, plans := range []int{50, 20_000} {
		live := newLiveWithPlans(t, plans)
		iteration := 0
		allocations[i] = testing.AllocsPerRun(100, func() {
			applyPlanChange(t, live, iteration)
			iteration++
		})
	}
	if allocations[0] != allocations[1] {
		t.Errorf("allocations of one change: %v among 50 plans, %v among 20,000", allocations[0], allocations[1])
	}
}

func BenchmarkLiveApply(b *testing.B) {
	for _, plans := range []int{1000, 54_000} {
		live := newLiveWithPlans(b, plans)
		b.Run(fmt.Sprint("plans=", plans), func(b *testing.B) {
			b.ReportAllocs()
			for iteration := range b.N {
				applyPlanChange(b, live, iteration)
			}
		})
	}
}

func BenchmarkRestore(b *testing.B) {
	base := &Config{Settings: &Settings{Membership: gateway.Membership{Count: 1}}}
	changes := changesOf(`classes/lookup {"hard_limit_us":2500}`)
	for i := range 54_000 {
		changes = append(changes, changesOf(fmt.Sprintf(`plans/tenant-%d {"rate":2,"burst":4}`, i))...)
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, _, err := Restore(base, changes); err != nil {
			b.Fatal(err)
		}
	}
}
