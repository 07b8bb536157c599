package publisher

import (
	"testing"
	"time"

	"ravensill/configsync"
	"ravensill/internal/config"
)

// Guards against wake-ups of all writers for each version of a burst, which delay the next change. The first version
// wakes the writers at once; the later ones wake them together, once, at the end of the version interval.
func TestAnnounceWakesWritersOncePerInterval(t *testing.T) {
	const interval = 50 * time.Millisecond
	c := &connection{wake: make(chan struct{}, 1)}
	p := &Publisher{
		cfg:         &config.Publisher{SenderLimits: configsync.SenderLimits{VersionInterval: interval}},
		connections: map[configsync.ConnectionID]*connection{1: c},
	}
	announce := func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.announce()
	}
	announce()
	select {
	case <-c.wake:
	default:
		t.Fatal("the first version did not wake the writer at once")
	}
	p.mu.Lock()
	firstWake := p.lastWake
	p.mu.Unlock()
	announce()
	announce()
	<-c.wake
	p.mu.Lock()
	defer p.mu.Unlock()
	if delay := p.lastWake.Sub(firstWake); delay < interval {
		t.Errorf("the writer was woken again after %v, want at least the version interval", delay)
	}
}
