package hollow

import (
	"bytes"
	"maps"
	"strconv"
	"strings"
	"sync"
)

// Lines counts the lines of a log by their events and causes, in place of printing the lines of thousands of followers.
type Lines struct {
	mu     sync.Mutex
	events map[string]int
}

// Write counts one line, as package logging writes it.
func (l *Lines) Write(line []byte) (int, error) {
	_, rest, found := bytes.Cut(line, []byte("event="))
	event, rest, _ := bytes.Cut(rest, []byte(" "))
	if !found {
		event = line
	}
	name := string(event)
	_, rest, found = bytes.Cut(rest, []byte("cause="))
	if found {
		name += ": " + firstValue(string(rest))
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.events == nil {
		l.events = map[string]int{}
	}
	l.events[name]++
	return len(line), nil
}

// firstValue returns the value that a text begins with, without its quotes if it has any.
func firstValue(text string) string {
	quoted, err := strconv.QuotedPrefix(text)
	if err != nil {
		word, _, _ := strings.Cut(text, " ")
		return strings.TrimSpace(word)
	}
	unquoted, err := strconv.Unquote(quoted)
	if err != nil {
		return ""
	}
	return unquoted
}

// Events gives the counts so far.
func (l *Lines) Events() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.events)
}
