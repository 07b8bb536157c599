package main

import (
	"os"
	"strings"
	"testing"
)

// poolSection returns a section pool of a gateway that is its own raft voter.
func poolSection(t *testing.T, floor int) map[string]any {
	return map[string]any{
		"capacity":    9,
		"floor":       floor,
		"voters":      []string{"127.0.0.1:9"},
		"voter_seats": []int{0},
		"listen":      "127.0.0.1:0",
		"dir":         t.TempDir(),
		"key":         strings.Repeat("0f", 16),
	}
}

// TestPoolOffOpensNoSocketAndLogsNothing checks a gateway without the section pool.
func TestPoolOffOpensNoSocketAndLogsNothing(t *testing.T) {
	gateway := startGateway(t, nil, valueHost(t))
	if a := gateway.connect().roundTrip(requestCommand("lookup", 1)); a != "v" {
		t.Error(a)
	}
	if n := gateway.countUDPSockets(); n != 0 {
		t.Errorf("%d UDP sockets", n)
	}
	gateway.cmd.Process.Signal(os.Interrupt)
	for line := range gateway.log {
		if strings.Contains(line, "pool") {
			t.Error(line)
		}
	}
}

// TestPoolOfOneGatewayLeasesConnections checks that a gateway alone, its own raft voter, gets the leases for its
// requests.
func TestPoolOfOneGatewayLeasesConnections(t *testing.T) {
	section := poolSection(t, 1)
	gateway := startGateway(t, func(config, _ map[string]any) { config["pool"] = section }, valueHost(t))
	if a := gateway.connect().roundTrip(requestCommand("lookup", 1)); a != "v" {
		t.Error(a)
	}
	if n := gateway.countUDPSockets(); n != 2 {
		t.Errorf("%d UDP sockets, want one of the lease holder and one of the voter", n)
	}
}

func TestInvalidPoolSectionEndsStart(t *testing.T) {
	section := poolSection(t, 10)
	gateway := startGateway(t, func(config, _ map[string]any) { config["pool"] = section }, valueHost(t))
	const want = "pool: floor: 10 for each of 1 gateways is more than capacity less reserve, 9"
	if !strings.Contains(gateway.startError, want) {
		t.Errorf("the line does not name the key: %s", gateway.startError)
	}
}
