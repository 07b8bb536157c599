package logline

import (
	"errors"
	"log/slog"
	"strings"
	"testing"
	"time"

	"ravensill/internal/logging"
)

// The test rigs read the gateways' log lines. So every value that package logging writes must be read back unchanged,
// also if it is quoted.
func TestValuesOfWrittenLineAreReadBack(t *testing.T) {
	var lines strings.Builder
	restore := logging.SetOutput(&lines)
	before := time.Now().Truncate(time.Microsecond)
	slog.Warn("disk_full", "error", errors.New(`write "a b=c": no space`), "free", 12, "dir", "", "last", "x")
	restore()
	line := lines.String()
	if event, ok := Event(line); event != "disk_full" || !ok {
		t.Errorf("event %q, %t", event, ok)
	}
	for key, want := range map[string]string{
		"error": `write "a b=c": no space`,
		"free":  "12",
		"dir":   "",
		"last":  "x",
		"level": "WARN",
		"b":     "", // appears only within a quoted value
		"fre":   "",
	} {
		if got := Value(line, key); got != want {
			t.Errorf("%s is %q, want %q", key, got, want)
		}
	}
	if free := Int(line, "free"); free != 12 {
		t.Errorf("free is %d", free)
	}
	if at := Time(line); at.Before(before) || at.After(time.Now()) {
		t.Errorf("time is %v, want one after %v", at, before)
	}
}

// Lines of a panic or of another program must not be taken for log lines.
func TestLineWithoutPairsHasNoEvent(t *testing.T) {
	for _, line := range []string{"", "goroutine 1 [running]:", "panic: event", "main.main()\n", `quote="open`, "="} {
		if event, ok := Event(line); ok {
			t.Errorf("%q has event %q", line, event)
		}
		if Int(line, "quote") != 0 || !Time(line).IsZero() {
			t.Errorf("%q has a number or a time", line)
		}
	}
}
