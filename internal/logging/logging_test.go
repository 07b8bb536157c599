package logging_test

import (
	"errors"
	"log/slog"
	"strings"
	"testing"
	"time"

	"ravensill/internal/logging"
)

// TestLineBeginsWithTimeLevelAndEvent checks the format of a line and its time, and that restore stops the output.
func TestLineBeginsWithTimeLevelAndEvent(t *testing.T) {
	var lines strings.Builder
	restore := logging.SetOutput(&lines)
	before := time.Now().Truncate(time.Microsecond)
	slog.Warn("endpoint_watch_lost", "error", errors.New("i/o timeout"), "version", 43)
	restore()
	slog.Info("not here")
	stamp, rest, found := strings.Cut(strings.TrimPrefix(lines.String(), "time="), " ")
	if want := "level=WARN event=endpoint_watch_lost error=\"i/o timeout\" version=43\n"; !found || rest != want {
		t.Errorf("line %q, want one that ends with %q", lines.String(), want)
	}
	at, err := time.Parse(logging.TimeLayout, stamp)
	if err != nil || at.Before(before) || at.After(time.Now()) {
		t.Errorf("time %q was parsed as %v with error %v, want the time of the call", stamp, at, err)
	}
}
