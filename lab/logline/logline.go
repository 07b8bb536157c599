// Package logline parses log lines in the format of package internal/logging: key=value pairs separated by spaces. A
// value that contains spaces is quoted.
package logline

import (
	"log/slog"
	"strconv"
	"strings"
	"time"

	"ravensill/internal/logging"
)

// Event returns the event of a line. ok is false if the line has none, such as a line of a stack trace.
func Event(line string) (event string, ok bool) { return lookUp(line, logging.MessageKey) }

// Value returns the unquoted value of a key, or "" if the line does not have the key.
func Value(line, key string) string {
	value, _ := lookUp(line, key)
	return value
}

// Int returns the value of a key as an integer, or 0 if the line does not have the key or the value is no integer.
func Int(line, key string) int {
	number, err := strconv.Atoi(Value(line, key))
	if err != nil {
		return 0
	}
	return number
}

// Time returns the time at which a line was logged, or the zero time if the line has none.
func Time(line string) time.Time {
	at, err := time.Parse(logging.TimeLayout, Value(line, slog.TimeKey))
	if err != nil {
		return time.Time{}
	}
	return at
}

// lookUp returns the value of the first pair with a key.
func lookUp(line, key string) (value string, ok bool) {
	for line != "" {
		var name string
		name, value, line = nextPair(line)
		if name == key {
			return value, true
		}
	}
	return "", false
}

// nextPair returns the first key=value pair of a line and the rest of the line. The name is empty for a word that is
// not a pair.
func nextPair(line string) (name, value, rest string) {
	line = strings.TrimLeft(line, " ")
	end := strings.IndexAny(line, "= ")
	if end < 0 || line[end] == ' ' {
		_, rest, _ = strings.Cut(line, " ")
		return "", "", rest
	}
	name, line = line[:end], line[end+1:]
	quoted, err := strconv.QuotedPrefix(line)
	if err != nil {
		value, rest, _ = strings.Cut(line, " ")
		return name, strings.TrimRight(value, "\n"), rest
	}
	value, _ = strconv.Unquote(quoted) // cannot fail after QuotedPrefix
	return name, value, line[len(quoted):]
}
