package clock

import "time"

// Instant is a moment of a monotonic clock, in nanoseconds since the moment from which that clock counts.
type Instant int64

// Add returns the moment that is d later.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Sub returns the time from earlier to i.
func (i Instant) Sub(earlier Instant) time.Duration { return time.Duration(i - earlier) }
