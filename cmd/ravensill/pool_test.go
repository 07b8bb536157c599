package main

import (
	"strings"
	"testing"
)

// newPoolSection returns a section pool in which the gateway is the only Raft voter.
func newPoolSection(t *testing.T, floor int) *poolSection {
	return &poolSection{
		Capacity:     9,
		Floor:        floor,
		Voters:       []string{"127.0.0.1:9"},
		VoterMembers: []int{0},
		Listen:       "127.0.0.1:0",
		Directory:    t.TempDir(),
		Key:          strings.Repeat("0f", 16),
	}
}

// TestPoolOffOpensNoSocketAndLogsNothing guards against sockets and log lines of the connection quota in a gateway that
// does not configure it.
func TestPoolOffOpensNoSocketAndLogsNothing(t *testing.T) {
	checkSectionOff(t, "pool")
}

// TestPoolOfOneGatewayLeasesConnections guards against a gateway that can't serve because it gets no leases: it is
// alone and the only Raft voter.
func TestPoolOfOneGatewayLeasesConnections(t *testing.T) {
	section := newPoolSection(t, 1)
	gateway := startGateway(t, func(config *gatewayConfig) { config.Pool = section }, valueHost(t))
	if a := gateway.connect().roundTrip(requestCommand("lookup", 1)); a != "v" {
		t.Error(a)
	}
	if n := gateway.countUDPSockets(); n != 2 {
		t.Errorf("%d UDP sockets are open, want 1 of the lease holder and 1 of the voter", n)
	}
}

func TestInvalidPoolSectionEndsStart(t *testing.T) {
	section := newPoolSection(t, 10)
	gateway := startGateway(t, func(config *gatewayConfig) { config.Pool = section }, valueHost(t))
	const want = "pool: floor: 10 for each of 1 gateways is more than capacity less reserve, 9"
	if !strings.Contains(gateway.startError, want) {
		t.Errorf("the error does not name the key: %s", gateway.startError)
	}
}
