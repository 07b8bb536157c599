package node

import (
	"fmt"
	"io"
	"testing"

	"ravensill/gateway"
)

// idleDecider makes no decisions, so that requests stay unanswered.
type idleDecider struct{}

func (idleDecider) Decide(*gateway.Batch, gateway.Actions)            {}
func (idleDecider) Reconfigure(gateway.Time, *gateway.SettingsUpdate) {}

// Guards against a shutdown that never ends because a client waits for an answer and never closes its connection.
func TestShutdownIsBounded(t *testing.T) {
	running := serve(t, idleDecider{}, nil, "connections_aborted clients=1", "stopped")
	conn := dial(t, running.addr)
	roundTrip(t, conn, "", 0)
	io.WriteString(conn, command("a", 1))
	running.stop()
	if got := fmt.Sprint(running.wait()); got != "[connections_aborted clients=1 stopped]" {
		t.Error(got)
	}
}
