package gateway

import "ravensill/internal/clock"

// Time is an instant of a gateway's clock, which starts at the Unix time of the wall clock and runs evenly from there.
type Time = clock.Instant
