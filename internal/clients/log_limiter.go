package clients

import (
	"time"

	"ravensill/internal/clock"
)

// logInterval is the shortest time between two log lines of one logLimiter.
const logInterval = time.Second

// logLimiter limits a kind of log line, which a client could cause thousands of times, to one per logInterval. It
// counts the events, so that the next line can report their number.
type logLimiter struct {
	suppressed int           // events since the latest line
	loggedAt   clock.Instant // time of the latest line; 0: none yet
}

// recordEvent counts an event and reports whether a line may be logged now.
func (l *logLimiter) recordEvent(now clock.Instant) bool {
	l.suppressed++
	return l.loggedAt == 0 || now.Sub(l.loggedAt) >= logInterval
}

// takeCount records that a line is logged now. It returns the number of events since the previous line and resets it.
func (l *logLimiter) takeCount(now clock.Instant) (count int) {
	count = l.suppressed
	l.suppressed = 0
	l.loggedAt = now
	return count
}
