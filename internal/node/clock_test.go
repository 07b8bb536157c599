package node

import (
	"testing"
	"time"

	"ravensill/gateway"
	"ravensill/internal/clock"
)

// Steps of the wall clock while the gateway runs change no time that it measures.
func TestNowIgnoresWallClockSteps(t *testing.T) {
	fake := clock.NewFake(time.Date(2026, 12, 2, 0, 0, 0, 0, time.UTC))
	n := NewOnPlatform(Platform{Clock: fake}, testConfig(testSettings()), &retryingDecider{})
	want := gateway.Time(fake.Wall().UnixNano())
	for _, step := range []time.Duration{time.Hour, -time.Hour, 5 * time.Second, -5 * time.Second} {
		fake.StepWall(step)
		fake.Advance(time.Second)
		want = want.Add(time.Second)
		if got := n.now(); got != want {
			t.Errorf("after a step by %v: %v off", step, got.Sub(want))
		}
	}
}
