package gateway

import "time"

// Time is an instant in nanoseconds. A gateway's clock starts at the Unix time of its wall clock and runs evenly from there.
type Time int64

// Add returns the instant a duration later.
func (t Time) Add(d time.Duration) Time { return t + Time(d) }

// Sub returns the duration from an earlier instant to this one.
func (t Time) Sub(earlier Time) time.Duration { return time.Duration(t - earlier) }
