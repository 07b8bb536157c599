package hollow

import (
	"maps"
	"sync"

	"ravensill/lab/logline"
)

// Lines counts the lines of a log by their events and causes, in place of printing the lines of thousands of followers.
type Lines struct {
	mu     sync.Mutex
	events map[string]int
}

// Write counts one line, as package logging writes it.
func (l *Lines) Write(line []byte) (int, error) {
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

// Events gives the counts so far.
func (l *Lines) Events() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.events)
}
