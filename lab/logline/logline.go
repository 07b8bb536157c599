// Package logline parses log lines as package internal/logging writes them: key=value pairs, where a value with
// spaces is quoted.
package logline

import (
	"log/slog"
	"strconv"
	"strings"
	"time"

	"ravensill/internal/logging"
)

// Event returns the event of a line. ok is false for a line without one, such as one of a stack trace.
func Event(line string) (event string, ok bool) { return lookUp(line, logging.MessageKey) }

// Value returns the value of a key, without quotes; "" if the line does not have the key.
func Value(line, key string) string {
	value, _ := lookUp(line, key)
	return value
}

// Int returns the value of a key that is a number; 0 if the line has no such number.
func Int(line, key string) int {
	number, err := strconv.Atoi(Value(line, key))
	if err != nil {
		return 0
	}
	return number
}

// Time returns the time of a line; the zero time if the line has none.
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

// nextPair returns the pair that a line begins with and the rest of the line. A word without a value has an empty name.
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
	value, _ = strconv.Unquote(quoted) // a quoted prefix is well formed
	return name, value, line[len(quoted):]
}
