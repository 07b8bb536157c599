package node

import "testing"

// TestEndpointListsAreReleased: a list that the module has taken in stays neither in the configuration nor in
// the loop's events: it may be as large as all else together.
func TestEndpointListsAreReleased(t *testing.T) {
	r := newTestGateway(t)
	<-r.events // the list of the configuration
	left := make(chan []string, 1)
	r.runOnLoop(func() {
		var held []string
		if r.cfg.KnownEndpoints != "" {
			held = append(held, "the configuration")
		}
		for _, e := range r.listEvents[:cap(r.listEvents)] {
			if e.Endpoints != nil {
				held = append(held, "the news")
			}
		}
		for _, e := range r.batch.Events[:cap(r.batch.Events)] {
			if e.Endpoints != nil {
				held = append(held, "the batch of events")
			}
		}
		left <- held
	})
	if held := <-left; len(held) > 0 {
		t.Errorf("held by %q", held)
	}
}
