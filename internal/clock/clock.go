// Package clock reads the time of the process and of the machine. The two differ: the machine's wall clock may be set
// forward or back by an hour at any moment, also between two starts of a process, while monotonic time advances evenly
// (clock_gettime(2), CLOCK_REALTIME and CLOCK_MONOTONIC). Durations, deadlines and ages are measured in monotonic time.
// Wall time is compared with times from other machines, and numbers the starts of a process where nothing is stored.
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

// System is the clock of the process and of its machine.
type System struct{}

// processStart is the moment from which monotonic time counts.
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

// NewFake returns a clock with the given wall time. Its time changes by Advance and StepWall only.
func NewFake(wall time.Time) *Fake { return &Fake{wall: wall.Round(0)} }

// Wall returns the wall time of the fake.
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

// Advance sets both times forward.
func (f *Fake) Advance(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.wall = f.wall.Add(d)
	f.monotonic += d
}

// StepWall sets the wall clock forward, or back if step is negative.
func (f *Fake) StepWall(step time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.wall = f.wall.Add(step)
}
