// Package clock reads the wall clock of the machine and the monotonic clock of the process. The two differ: the wall
// clock may be set forward or back by an hour at any moment, also between two starts of a process, while monotonic time
// advances evenly (CLOCK_REALTIME and CLOCK_MONOTONIC of clock_gettime(2)). Durations, deadlines and ages are measured
// in monotonic time. Wall time serves only for comparisons with times from other machines, and to number the starts of
// a process that has no stored number.
package clock

import (
	"sync"
	"time"
)

// Clock reads wall time and monotonic time. It is safe for concurrent use.
type Clock interface {
	Wall() time.Time          // the wall time, without Go's monotonic reading
	Monotonic() time.Duration // the time since a moment that stays the same for the life of the process
}

// System is the Clock that reads the clocks of the operating system.
type System struct{}

// processStart is the moment from which monotonic time counts.
var processStart = time.Now()

// Wall returns the time of the machine's wall clock.
func (System) Wall() time.Time { return time.Now().Round(0) }

// Monotonic returns the time since the start of the process.
func (System) Monotonic() time.Duration { return time.Since(processStart) }

// Fake is a Clock for tests, whose time stands still until the test changes it. It is safe for concurrent use.
type Fake struct {
	mu        sync.Mutex
	wall      time.Time
	monotonic time.Duration
}

// NewFake returns a Fake with the given wall time and a monotonic time of 0.
func NewFake(wall time.Time) *Fake { return &Fake{wall: wall.Round(0)} }

// Wall returns the wall time, which Advance and StepWall change.
func (f *Fake) Wall() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.wall
}

// Monotonic returns the sum of the durations passed to Advance.
func (f *Fake) Monotonic() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.monotonic
}

// Advance sets wall time and monotonic time forward by d.
func (f *Fake) Advance(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.wall = f.wall.Add(d)
	f.monotonic += d
}

// StepWall sets only the wall time forward by step, or back if step is negative.
func (f *Fake) StepWall(step time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.wall = f.wall.Add(step)
}
