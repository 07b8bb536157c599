package clients

// logLimiter limits log lines that any client can cause by the thousand to one in logInterval, and counts the others.
type logLimiter struct {
	suppressed int   // events since the last line
	loggedAt   int64 // time of the last line, ns; 0: none yet
}

// due counts an event and reports whether a line may be logged now.
func (l *logLimiter) due(now int64) bool {
	l.suppressed++
	return l.loggedAt == 0 || now-l.loggedAt >= logInterval
}

// logged notes that a line is logged now and returns the number of events that it stands for.
func (l *logLimiter) logged(now int64) (count int) {
	count = l.suppressed
	l.suppressed = 0
	l.loggedAt = now
	return count
}
