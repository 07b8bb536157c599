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

var wallSteps = []time.Duration{time.Hour, -time.Hour, 5 * time.Second, -5 * time.Second}

// A step of the wall clock does not change how long a publisher counts as silent.
func TestLastReadIgnoresWallClockSteps(t *testing.T) {
	const silence = 700 * time.Millisecond
	for _, step := range wallSteps {
		t.Run(fmt.Sprint(step), func(t *testing.T) {
			fake := clock.NewFake(time.Now())
			fake.Advance(time.Minute)
			near, far := net.Pipe()
			var in, out atomic.Int64
			l := newLink(near, fake, &in, &out)
			defer l.close()
			if _, err := far.Write([]byte{0}); err != nil {
				t.Fatal(err)
			}
			eventually(t, "the byte is read", l.readSince)
			fake.StepWall(step)
			fake.Advance(silence)
			now := time.Now()
			if got := now.Sub(l.lastRead(now)); got != silence {
				t.Errorf("silent for %v, want %v", got, silence)
			}
		})
	}
}

// Each start has a higher incarnation than the one before, whichever way the wall clock was set between them.
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

// A gateway starts with the wall clock as its incarnation if the stored one can't be read or a new one can't be stored.
func TestNextIncarnationWithoutStoredNumber(t *testing.T) {
	fake := clock.NewFake(time.Now())
	dir := t.TempDir()
	for _, text := range []string{"", "12ab", "99999999999999999999999"} {
		if err := os.WriteFile(filepath.Join(dir, incarnationFile), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		number, err := NextIncarnation(dir, fake)
		if want := uint64(fake.Wall().UnixNano()); number != want || err != nil {
			t.Errorf("%q: %d, want %d; %v", text, number, want, err)
		}
	}
	file := filepath.Join(dir, "file")
	if err := os.WriteFile(file, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	number, err := NextIncarnation(file, fake) // not a directory
	if err == nil || number != uint64(fake.Wall().UnixNano()) {
		t.Errorf("%d, %v", number, err)
	}
}
