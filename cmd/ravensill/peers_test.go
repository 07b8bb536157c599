package main

import (
	"fmt"
	"net"
	"strings"
	"testing"

	"ravensill/internal/gossip"
)

// TestPeers checks that the quota holds across gateways: one rejects what the other has admitted. Datagrams from unknown
// addresses are dropped.
func TestPeers(t *testing.T) {
	h := newHost(t, func([]string) string { return successReply("v") })
	var relays [2]*net.UDPConn // relays[i] stands for gateway i to its peer
	var addrs []string
	for i := range relays {
		c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		relays[i], addrs = c, append(addrs, c.LocalAddr().String())
	}
	var gateway [2]*gatewayProcess
	for i := range gateway {
		gateway[i] = startGateway(t, func(config, settings map[string]any) {
			settings["balancers"], settings["position"] = 2, i
			config["peer_listen"], config["peers"] = "127.0.0.1:0", addrs
		}, h)
	}
	peerAddr, _ := net.ResolveUDPAddr("udp4", gateway[1].peerAddr)
	reported := make(chan struct{}, 99)
	go func() { // from 0 to 1; nothing goes back
		buf := make([]byte, 300)
		for {
			n, err := relays[1].Read(buf)
			if err != nil {
				return
			}
			relays[0].WriteToUDP(buf[:n], peerAddr)
			gossip.Format{Plans: 1, Members: 2}.Decode(buf[:n], func(uint64, uint64) bool { return true }, func(uint16) {},
				func(_, _ uint32, _, _ int, total, _ uint64) {
					if total == 8*16 { // all of it, in parts of a unit
						reported <- struct{}{}
					}
				})
		}
	}()
	spread := func(cmd string) string { return strings.Replace(cmd, "spread=1", "spread=2", 1) }
	c := gateway[0].connect()
	for range 8 {
		if a := c.roundTrip(spread(requestCommand("lookup", 5))); a != "v" {
			t.Fatal(a)
		}
	}
	receive(gateway[0], reported)
	stranger, err := net.Dial("udp4", gateway[1].peerAddr)
	if err != nil {
		t.Fatal(err)
	}
	defer stranger.Close()
	stranger.Write(gossip.Format{}.Header(1, 1, nil)) // well-formed, but from an unknown address
	relays[0].WriteToUDP([]byte("hello"), peerAddr)
	for n, all := 0, 0; all < 2; all += n {
		l := gateway[1].waitForLog("event=datagrams_dropped")
		fmt.Sscanf(l[strings.Index(l, "count="):], "count=%d", &n)
	}
	if a := gateway[1].connect().roundTrip(spread(requestCommand("lookup", 5))); !strings.HasPrefix(a, "-BUSY") {
		t.Errorf("spent at the peer, yet %s", a)
	}
}
