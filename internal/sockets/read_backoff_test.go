package sockets

import (
	"testing"
	"time"
)

// A loop whose reads all fail must not use up the processor: the pauses after 20 failures add up to at least 50 ms,
// whatever their random part.
func TestReadBackoffGrows(t *testing.T) {
	var backoff readBackoff
	start := time.Now()
	for range 20 {
		backoff.waitAfterFailure()
	}
	if took := time.Since(start); took < 50*time.Millisecond {
		t.Errorf("the pauses after 20 failures took %v, want at least 50 ms", took)
	}
	backoff.reset()
	backoff.waitAfterFailure() // after reset, the readBackoff is a zero value again, which must not panic
}
