package node

import "testing"

// Guards against a gateway that never ends: Run waits for goroutines that call runOnLoop, which must not block once the
// loop no longer reads the inbox.
func TestRunOnLoopDropsFunctionAfterLoopEnded(t *testing.T) {
	n := &Node{inbox: make(chan func()), loopEnded: make(chan struct{})}
	close(n.loopEnded)
	n.runOnLoop(func() { t.Error("the function was run") })
}
