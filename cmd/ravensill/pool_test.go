package main

import (
	"os"
	"strings"
	"testing"
)

// TestPool checks that without its section the pool has no socket and logs nothing, and that an invalid section ends the start.
// With it, a single gateway is its own raft voter and comes to hold the leases that its requests need.
func TestPool(t *testing.T) {
	h := newHost(t, func([]string) string { return successReply("v") })
	gateway := startGateway(t, nil, h)
	if a := gateway.connect().roundTrip(requestCommand("lookup", 1)); a != "v" {
		t.Error(a)
	}
	if n := gateway.countUDPSockets(); n != 0 {
		t.Errorf("%d sockets for datagrams", n)
	}
	gateway.cmd.Process.Signal(os.Interrupt)
	for l := range gateway.log {
		if strings.Contains(l, "pool") {
			t.Error(l)
		}
	}
	section := map[string]any{"capacity": 9, "floor": 1, "voters": []string{"127.0.0.1:9"}, "voter_seats": []int{0}, "listen": "127.0.0.1:0",
		"dir": t.TempDir(), "key": strings.Repeat("0f", 16)}
	gateway = startGateway(t, func(config, _ map[string]any) { config["pool"] = section }, h)
	if a := gateway.connect().roundTrip(requestCommand("lookup", 1)); a != "v" {
		t.Error(a)
	}
	if n := gateway.countUDPSockets(); n != 2 {
		t.Errorf("%d sockets for datagrams, of a holder and a voter", n)
	}
	section["floor"] = 10
	gateway = startGateway(t, func(config, _ map[string]any) { config["pool"] = section }, h)
	if !strings.Contains(gateway.addr, "pool: floor: 10 for each of 1 gateways is more than capacity less reserve, 9") {
		t.Errorf("the line does not name the key: %s", gateway.addr)
	}
}
