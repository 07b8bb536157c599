package emulator

import (
	"fmt"
	"testing"
	"time"

	"ravensill/internal/golden"
)

// During a planned restart a load balancer stops using the gateway soon after the shutdown signal. A refused connection
// right after the signal counts against the gateway; long after it, clients must choose another gateway.
func TestClientsOpenNoConnectionToRestartingGateway(t *testing.T) {
	stopped, err := NewHost(HostOptions{ID: "s-0001", Listen: "127.0.0.1:0"})
	if err != nil {
		t.Fatal(err)
	}
	defer stopped.Close()
	stopped.Kill()
	running, err := NewHost(HostOptions{ID: "s-0002", Listen: "127.0.0.1:0", Model: Model{Slots: 1}})
	if err != nil {
		t.Fatal(err)
	}
	defer running.Close()
	clients := NewClients([]string{stopped.Addr(), running.Addr()})
	defer clients.Close()
	var text string
	for _, sinceSignal := range []time.Duration{-time.Hour, time.Hour} {
		clients.SetRestarting(true, 0)
		clients.Ask(func() { clients.restartingSince[0] -= int64(sinceSignal) })
		var unavailable bool
		clients.Ask(func() { unavailable = clients.unavailable(0) })
		template := Request{ID: "a", Customer: "0000000000000001", Gateway: 0}
		request := clients.Send(template, callArguments, "", false, waitTimeout)
		text += fmt.Sprintf("unavailable %t, %s at %d\n", unavailable, request.Result, request.Gateway)
	}
	golden.Check(t, text)
}
