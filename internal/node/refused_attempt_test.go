package node

import (
	"testing"
	"time"

	"ravensill/gateway"
	"ravensill/internal/golden"
)

// Guards against sending a request on after its client left or its host began to drain (incident 0016). Under a
// connection quota, the store turns a request away as its first answer on a connection, once either has happened.
func TestRefusedRequestIsNotSentAgain(t *testing.T) {
	for _, test := range []struct {
		name  string
		drain bool // the host begins to drain; otherwise the client leaves
	}{
		{"client gone", false},
		{"host draining", true},
	} {
		t.Run(test.name, func(t *testing.T) {
			g := newTestGateway(t)
			received := make(chan struct{})
			turnAway := make(chan struct{})
			g.refuse = func() {
				received <- struct{}{}
				<-turnAway
			}
			g.runOnLoop(func() {
				g.transport.LimitConnections(0, connectionLimit, func(gateway.Time) int { return 1 }, func(time.Duration) {})
			})
			conn := g.sendRequest("a")
			<-received
			events := <-g.events + "\n" + <-g.events + "\n"
			if test.drain {
				g.updateHostState(2, "leaving")
			} else {
				conn.Close()
			}
			events += <-g.events + "\n"
			close(turnAway)
			events += <-g.events + "\n" // the end of the attempt
			if test.drain {
				g.updateHostState(3, "active")
			}
			golden.Check(t, events+g.serveLastRequest())
		})
	}
}
