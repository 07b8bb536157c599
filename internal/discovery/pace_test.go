package discovery

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"ravensill/internal/golden"
)

// told gives when news come that a watch misses which falls silent at 0, right after a line. Until back the agent does
// not answer: new connections hang or stand mute. One that stands may be answered once the agent is back.
func told(call, hang, pends bool, rest, back, slow time.Duration) time.Duration {
	p := NewPace(call)
	p.Connected()
	p.Heard()
	for t := p.Wait() + look; ; {
		t += rest
		if p = NewPace(call); t < back && hang {
			t += p.Wait()
			continue
		}
		if p.Connected(); t >= back {
			return t + slow
		} else if back-t < p.Wait() && pends {
			return back
		}
		t += p.Wait() + look
	}
}

// What a silent watch misses counts as told after 6 s, or 2 s after the wait of a call is over: the news are there by
// then on the worst path, also if the agent answers again only most of a second before.
func TestWorstPath(t *testing.T) {
	var all strings.Builder
	const asks = 1500*time.Millisecond + 40*time.Millisecond // the module's longest first wait, and its beat
	for _, x := range []struct {
		path              string
		call, hang, pends bool
		rest, until, slow time.Duration
		most              time.Duration
	}{
		{"pushed, the watch alone is silent", false, false, false, Again, 0, 0, 6 * time.Second},
		{"pushed, connections hang until", false, true, false, Again, 5 * time.Second, 0, 6 * time.Second},
		{"pushed, calls stand mute until", false, false, false, Again, 5 * time.Second, 0, 6 * time.Second},
		{"pushed, calls are answered at", false, false, true, Again, 5 * time.Second, 0, 6 * time.Second},
		{"asked for, the watch alone is silent", true, false, false, asks, 0, 0, 6 * time.Second},
		{"asked for, a call that waits 2 s", true, false, false, asks, 0, 2 * time.Second, 8 * time.Second},
	} {
		var worst time.Duration
		for back := time.Duration(0); back <= x.until; back += 10 * time.Millisecond {
			worst = max(worst, told(x.call, x.hang, x.pends, x.rest, back, x.slow))
		}
		fmt.Fprintf(&all, "%s %v: told by %v\n", x.path, x.until, worst)
		if worst > x.most {
			t.Errorf("%s: told by %v", x.path, worst)
		}
	}
	golden.Check(t, all.String())
}
