package main

import (
	"fmt"
	"net"
	"strings"
	"testing"

	"ravensill/internal/gossip"
)

// TestQuotaHoldsAcrossGateways guards against a customer that gets its burst at each of two gateways: one gateway must
// reject the customer after its peer has reported the whole burst as admitted. It also checks that datagrams from
// unknown addresses and malformed ones are dropped.
func TestQuotaHoldsAcrossGateways(t *testing.T) {
	host := valueHost(t)
	var relays [2]*net.UDPConn // relays[i] has the gossip address of gateway i in the configurations
	var addrs []string
	for i := range relays {
		relays[i] = listenUDP(t)
		addrs = append(addrs, relays[i].LocalAddr().String())
	}
	var gateways [2]*gatewayProcess
	for i := range gateways {
		gateways[i] = startGateway(t, func(config *gatewayConfig) {
			configureTwoMembers(config, addrs...)
			config.Settings.MemberIndex = i
		}, host)
	}
	peerAddr, _ := net.ResolveUDPAddr("udp4", gateways[1].peerAddr)
	reported := make(chan struct{}, 99)
	go func() { // relays messages from gateway 0 to 1, and none in the other direction
		message := make([]byte, 300)
		for {
			n, err := relays[1].Read(message)
			if err != nil {
				return
			}
			relays[0].WriteToUDP(message[:n], peerAddr)
			if reportsFullBurst(message[:n]) {
				reported <- struct{}{}
			}
		}
	}()
	spread := func(command string) string { return strings.Replace(command, "spread=1", "spread=2", 1) }
	c := gateways[0].connect()
	for range 8 {
		if a := c.roundTrip(spread(requestCommand("lookup", 5))); a != "v" {
			t.Fatal(a)
		}
	}
	receive(gateways[0], reported)
	unknownSender, err := net.Dial("udp4", gateways[1].peerAddr)
	if err != nil {
		t.Fatal(err)
	}
	defer unknownSender.Close()
	unknownSender.Write(gossip.Format{}.EncodeHeader(1, 1, nil)) // well-formed, but from an unknown address
	relays[0].WriteToUDP([]byte("hello"), peerAddr)
	for n, dropped := 0, 0; dropped < 2; dropped += n {
		line := gateways[1].waitForLog("event=datagrams_dropped")
		fmt.Sscanf(line[strings.Index(line, "count="):], "count=%d", &n)
	}
	a := gateways[1].connect().roundTrip(spread(requestCommand("lookup", 5)))
	if !strings.HasPrefix(a, "-BUSY") {
		t.Errorf("the burst is spent at the peer, but the answer is %s, want -BUSY", a)
	}
}

// reportsFullBurst reports whether a gossip message contains a counter of 8 units, the burst of the quota plan.
func reportsFullBurst(message []byte) (found bool) {
	const units, unitParts = 8, 16
	gossip.Format{Plans: 1, Members: 2}.Decode(message,
		func(uint64, uint64) bool { return true },
		func(uint16) {},
		func(_, _ uint32, _, _ int, counter, _ uint64) {
			if counter == units*unitParts {
				found = true
			}
		})
	return found
}
