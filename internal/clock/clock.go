// Package clock reads the time of the process and of the machine. The two differ: the machine's wall clock may be set forward or
// back by an hour at any moment, also between two starts of a process, while monotonic time passes evenly (clock_gettime(2),
// CLOCK_REALTIME and CLOCK_MONOTONIC). Durations, deadlines and ages are measured in monotonic time. Wall time serves to compare
// with times that other machines tell, and to number the starts of a process where nothing is stored.
package clock

import (
	"sync"
	"time"
)

// Clock reads both times. It is safe for concurrent use.
type Clock interface {
	Wall() time.Time          // without a monotonic reading
	Monotonic() time.Duration // since a moment that is the same for all readings of the process
}

// System is the clock of the process.
type System struct{}

// processStart is what monotonic time counts from.
var processStart = time.Now()

// Wall returns the machine's wall clock.
func (System) Wall() time.Time { return time.Now().Round(0) }

// Monotonic returns the time since the start of the process.
func (System) Monotonic() time.Duration { return time.Since(processStart) }

// Fake is a clock that tests set.
type Fake struct {
	mu        sync.Mutex
	wall      time.Time
	monotonic time.Duration
}

// NewFake returns a clock that stands still at a wall time.
func NewFake(wall time.Time) *Fake { return &Fake{wall: wall.Round(0)} }

// Wall returns the wall time that was set.
func (f *Fake) Wall() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.wall
}

// Monotonic returns the sum of all advances.
func (f *Fake) Monotonic() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.monotonic
}

// Advance lets time pass on both clocks.
func (f *Fake) Advance(passed time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.wall = f.wall.Add(passed)
	f.monotonic += passed
}

// StepWall sets the wall clock forward, or back if step is negative.
func (f *Fake) StepWall(step time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.wall = f.wall.Add(step)
}
