package hollow

import (
	"bytes"
	"maps"
	"sync"
)

// Lines counts the lines of a log by their events, in place of printing the lines of thousands of followers.
type Lines struct {
	mu     sync.Mutex
	events map[string]int
}

// Write takes in one line, as package log writes it.
func (l *Lines) Write(line []byte) (int, error) {
	_, rest, found := bytes.Cut(line, []byte("event="))
	event, _, _ := bytes.Cut(rest, []byte(" "))
	if !found {
		event = line
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.events == nil {
		l.events = map[string]int{}
	}
	l.events[string(event)]++
	return len(line), nil
}

// Events gives the counts so far.
func (l *Lines) Events() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.events)
}
