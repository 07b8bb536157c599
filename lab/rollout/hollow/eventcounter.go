package hollow

import (
	"maps"
	"sync"

	"ravensill/lab/logline"
)

// EventCounter is the log of thousands of followers, whose lines are counted by event and cause and not printed.
type EventCounter struct {
	mu     sync.Mutex
	events map[string]int
}

// Write counts one line, as package logging writes it.
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

// Events returns the counts so far.
func (l *EventCounter) Events() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.events)
}
