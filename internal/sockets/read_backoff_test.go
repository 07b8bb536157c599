package sockets

import (
	"testing"
	"time"
)

// TestReadBackoffGrows checks that a loop whose reads all fail is slowed down: the pauses of 20 failures add up to
// 50 ms, whatever their random part.
func TestReadBackoffGrows(t *testing.T) {
	var backoff readBackoff
	start := time.Now()
	for range 20 {
		backoff.waitAfterFailure()
	}
	if took := time.Since(start); took < 50*time.Millisecond {
		t.Errorf("20 failures took %v", took)
	}
	backoff.reset()
	backoff.waitAfterFailure() // the zero value again
}
