package hollow

import (
	"maps"
	"sync"

	"ravensill/lab/logline"
)

// EventCounter counts the log lines of thousands of followers by event and cause instead of printing them. Its methods
// may be called concurrently.
type EventCounter struct {
	mu     sync.Mutex
	events map[string]int
}

// Write counts one log line in the format of package logging. A line without an event is counted under its whole text.
func (l *EventCounter) Write(line []byte) (int, error) {
	text := string(line)
	name, ok := logline.Event(text)
	if !ok {
		name = text
	}
	if cause := logline.Value(text, "cause"); cause != "" {
		name += ": " + cause
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.events == nil {
		l.events = map[string]int{}
	}
	l.events[name]++
	return len(line), nil
}

// Events returns the number of lines so far by event, or by "event: cause" for lines with a cause.
func (l *EventCounter) Events() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.events)
}
