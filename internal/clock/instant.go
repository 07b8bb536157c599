package clock

import "time"

// Instant is a time of a monotonic clock, in nanoseconds since the moment from which that clock counts. Instants of
// different clocks can't be compared.
type Instant int64

// Add returns the instant that is d later than i.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Sub returns the duration from earlier to i, which is negative if earlier is the later one.
func (i Instant) Sub(earlier Instant) time.Duration { return time.Duration(i - earlier) }
