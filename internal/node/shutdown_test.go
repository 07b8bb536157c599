package node

import (
	"fmt"
	"io"
	"testing"

	"ravensill/gateway"
)

// passiveDecider decides nothing.
type passiveDecider struct{}

func (passiveDecider) Decide(*gateway.Batch, gateway.Actions)            {}
func (passiveDecider) Reconfigure(gateway.Time, *gateway.SettingsUpdate) {}

// A client that never gets its answer and never closes does not hold up the shutdown.
func TestShutdownIsBounded(t *testing.T) {
	running := serve(t, passiveDecider{}, nil, "connections_aborted clients=1", "stopped")
	conn := dial(t, running.addr)
	roundTrip(t, conn, "", 0)
	io.WriteString(conn, command("a", 1))
	running.stop()
	if got := fmt.Sprint(running.ended()); got != "[connections_aborted clients=1 stopped]" {
		t.Error(got)
	}
}
