package publisher

import (
	"testing"
	"time"

	"ravensill/configsync"
	"ravensill/internal/config"
)

// The first version of a burst wakes the writers at once, and the others wake them once after the interval.
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
		t.Fatal("the first version wakes no writer")
	}
	p.mu.Lock()
	first := p.lastWake
	p.mu.Unlock()
	announce()
	announce()
	<-c.wake
	p.mu.Lock()
	defer p.mu.Unlock()
	if late := p.lastWake.Sub(first); late < interval {
		t.Errorf("woken again after %v", late)
	}
}
