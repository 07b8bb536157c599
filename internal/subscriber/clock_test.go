package subscriber

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"ravensill/internal/clock"
)

// wallSteps are the distances by which tests set the wall clock forward or back.
var wallSteps = []time.Duration{time.Hour, -time.Hour, 5 * time.Second, -5 * time.Second}

// Guards against a live publisher that seems silent, or a silent one that seems live, after the wall clock was set: the
// time since the latest bytes must not depend on such a step.
func TestLastReadIgnoresWallClockSteps(t *testing.T) {
	const silence = 700 * time.Millisecond
	for _, step := range wallSteps {
		t.Run(fmt.Sprint(step), func(t *testing.T) {
			fake := clock.NewFake(time.Now())
			fake.Advance(time.Minute)
			near, far := net.Pipe()
			var in, out atomic.Int64
			c := newConnection(near, fake, &in, &out)
			defer c.close()
			if _, err := far.Write([]byte{0}); err != nil {
				t.Fatal(err)
			}
			eventually(t, "the byte to be read", c.hasNewBytes)
			fake.StepWall(step)
			fake.Advance(silence)
			now := time.Now()
			if got := now.Sub(c.lastReadTime(now)); got != silence {
				t.Errorf("the publisher counts as silent for %v, want %v", got, silence)
			}
		})
	}
}

// Guards against a gateway that publishers reject after its wall clock was set back. Each start must have a higher
// incarnation than the one before, whichever way the clock was set in between.
func TestNextIncarnationGrows(t *testing.T) {
	for _, step := range wallSteps {
		t.Run(fmt.Sprint(step), func(t *testing.T) {
			fake := clock.NewFake(time.Now())
			dir := filepath.Join(t.TempDir(), "configuration")
			previous := uint64(0)
			for start := range 4 {
				number, err := NextIncarnation(dir, fake)
				if err != nil {
					t.Fatal(err)
				}
				if number <= previous {
					t.Errorf("start %d has the incarnation %d after %d", start, number, previous)
				}
				previous = number
				fake.StepWall(step)
			}
		})
	}
}

// The incarnation is the wall clock if the stored one is damaged, which is no error, or if the directory can't be used,
// which is one.
func TestNextIncarnationWithoutStoredNumber(t *testing.T) {
	fake := clock.NewFake(time.Now())
	dir := t.TempDir()
	for _, text := range []string{"", "12ab", "99999999999999999999999"} {
		if err := os.WriteFile(filepath.Join(dir, incarnationFile), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		number, err := NextIncarnation(dir, fake)
		if want := uint64(fake.Wall().UnixNano()); number != want || err != nil {
			t.Errorf("stored %q: incarnation %d, want %d; error %v", text, number, want, err)
		}
	}
	file := filepath.Join(dir, "file")
	if err := os.WriteFile(file, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	number, err := NextIncarnation(file, fake) // the path is that of a file, not of a directory
	if err == nil || number != uint64(fake.Wall().UnixNano()) {
		t.Errorf("directory that can't be created: incarnation %d, error %v", number, err)
	}
}
