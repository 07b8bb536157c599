package node

import "testing"

// Guards against endpoint lists that stay in memory after the module has decided on them. A list may need as much
// memory as the rest of the gateway.
func TestEndpointListsAreReleased(t *testing.T) {
	g := newTestGateway(t)
	<-g.events // the module has decided on the list of the configuration
	result := make(chan []string, 1)
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
		result <- kept
	})
	if kept := <-result; len(kept) > 0 {
		t.Errorf("the list is still referenced by %q", kept)
	}
}
