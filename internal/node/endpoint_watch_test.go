package node

import "testing"

// A list that the module has decided on is kept neither in the configuration nor in the loop's events: it may be
// as large as everything else together.
func TestEndpointListsAreReleased(t *testing.T) {
	g := newTestGateway(t)
	<-g.events // the list of the configuration
	keepers := make(chan []string, 1)
	g.runOnLoop(func() {
		var kept []string
		if g.cfg.InitialEndpointList != "" {
			kept = append(kept, "the configuration")
		}
		for _, event := range g.listEvents[:cap(g.listEvents)] {
			if event.Endpoints != nil {
				kept = append(kept, "the list events")
			}
		}
		for _, event := range g.batch.Events[:cap(g.batch.Events)] {
			if event.Endpoints != nil {
				kept = append(kept, "the batch")
			}
		}
		keepers <- kept
	})
	if kept := <-keepers; len(kept) > 0 {
		t.Errorf("kept by %q", kept)
	}
}
