package node

import "testing"

// Goroutines that Run waits for must not block in runOnLoop once nobody reads the inbox.
func TestRunOnLoopDropsFunctionAfterLoopEnded(t *testing.T) {
	n := &Node{work: make(chan func()), ended: make(chan struct{})}
	close(n.ended)
	n.runOnLoop(func() { t.Error("the function was run") })
}
