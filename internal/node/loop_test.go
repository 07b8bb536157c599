package node

import "testing"

// Goroutines that Run waits for must not block in runOnLoop once nobody reads the inbox.
func TestRunOnLoopDropsFunctionAfterLoopEnded(t *testing.T) {
	n := &Node{inbox: make(chan func()), loopEnded: make(chan struct{})}
	close(n.loopEnded)
	n.runOnLoop(func() { t.Error("the function was run") })
}
