package clients

import (
	"time"

	"ravensill/internal/clock"
)

// logInterval is the time between log lines of one kind.
const logInterval = time.Second

// logLimiter limits log lines that any client can cause by the thousand to one in logInterval, and counts the others.
type logLimiter struct {
	suppressed int           // events since the latest line
	loggedAt   clock.Instant // of the latest line; 0: none yet
}

// recordEvent counts an event and reports whether a line may be logged now.
func (l *logLimiter) recordEvent(now clock.Instant) bool {
	l.suppressed++
	return l.loggedAt == 0 || now.Sub(l.loggedAt) >= logInterval
}

// takeCount notes that a line is logged now and returns the number of events that it stands for.
func (l *logLimiter) takeCount(now clock.Instant) (count int) {
	count = l.suppressed
	l.suppressed = 0
	l.loggedAt = now
	return count
}
