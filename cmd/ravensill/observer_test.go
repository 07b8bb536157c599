package main

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"ravensill/counterfactual"
)

// TestObserverOffOpensNoSocketAndLogsNothing checks a gateway without the section counterfactual.
func TestObserverOffOpensNoSocketAndLogsNothing(t *testing.T) {
	checkSectionOff(t, "observer")
}

func TestInvalidObserverSectionEndsStart(t *testing.T) {
	gateway := startGateway(t, func(config *gatewayConfig) {
		config.Counterfactual = &counterfactualSection{Listen: "127.0.0.1:0", QueueSize: -1}
	}, valueHost(t))
	if !strings.Contains(gateway.startError, "counterfactual: queue: -1 is not from 1 to") {
		t.Errorf("the line does not name the key: %s", gateway.startError)
	}
}

// TestCollectorCountsOwnAndPeerAttempts checks that a collector folds its own attempts and the summaries of a peer,
// and that malformed, oversized and forged datagrams and queries are counted or rejected and end nothing.
func TestCollectorCountsOwnAndPeerAttempts(t *testing.T) {
	peer := listenUDP(t)
	gateway := startGateway(t, func(config *gatewayConfig) {
		config.Settings.Members = 2
		config.Settings.Limits.Gossip = false
		config.Counterfactual = &counterfactualSection{
			Listen:     "127.0.0.1:0",
			Peers:      []string{"127.0.0.1:9", peer.LocalAddr().String()},
			Collectors: []int{0},
			Fraction:   1,
			WindowMS:   100,
			GraceMS:    100,
		}
	}, valueHost(t))
	client := gateway.connect()
	if n := gateway.countUDPSockets(); n != 1 {
		t.Errorf("%d UDP sockets", n)
	}
	gateway.sendMalformedSummaries(peer)
	gateway.checkSummaryConfirmed(peer)
	for i := range 5 {
		if a := client.roundTrip(requestCommand("lookup", i)); a != "v" {
			t.Error(a)
		}
	}
	for _, test := range []struct{ query, want string }{
		{"what", "error"},
		{`{"last":-1}`, "error"},
		{`{"frontend":"none"}`, "error"},
		{`{"rule":"odd","part":1}`, "error"},
		{`{"when":1}`, "error"},
		{`{"counts":true}`, `"Merged":`},
		{`{"frontend":"lookup","rule":"chance","part":0.3}`, `"refused":`},
		{`{"host":7}`, "error"},
		{`{"host":"h9"}`, "error"},
		{`{"host":"h0"}`, `"host":"h0"`},
	} {
		if a := gateway.queryCollector(test.query); !strings.Contains(a, test.want) {
			t.Errorf("%s: %s", test.query, a)
		}
	}
	for a := ""; !strings.Contains(a, `"reqs":5,`); {
		a = gateway.queryCollector(`{"frontend":"lookup"}`)
		if strings.Contains(a, `"mean_ms":{"value":0,"low":0,"high":0}`) {
			t.Fatal(a)
		}
	}
}

// queryCollector sends the collector a query and returns its answer.
func (g *gatewayProcess) queryCollector(query string) string {
	_, addr, _ := strings.Cut(g.observerLine, " query_listen=")
	conn, err := net.Dial("tcp4", addr)
	if err != nil {
		g.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(waitLimit))
	fmt.Fprintln(conn, query)
	line, err := bufio.NewReader(conn).ReadString('\n')
	if err != nil {
		g.Fatal(err)
	}
	return line
}

// observerAddr returns the address of the observer's datagrams.
func (g *gatewayProcess) observerAddr() *net.UDPAddr {
	_, rest, _ := strings.Cut(g.observerLine, " listen=")
	text, _, _ := strings.Cut(rest, " ")
	addr, err := net.ResolveUDPAddr("udp4", text)
	if err != nil {
		g.Fatal(err)
	}
	return addr
}

// summaryOf returns a summary of a gateway, by its member index, that holds nothing.
func summaryOf(member uint32) []byte {
	part := counterfactual.SummaryPart{Gateway: member, Incarnation: 1, WindowLength: 100}
	return append([]byte{'S'}, counterfactual.Encode(part, nil)[0](0)...)
}

// sendMalformedSummaries sends malformed datagrams from the peer's address and a valid one from another address, and
// waits until all are counted as dropped.
func (g *gatewayProcess) sendMalformedSummaries(peer *net.UDPConn) {
	addr := g.observerAddr()
	malformed := [][]byte{
		{},
		{'S'},
		{'A'},
		{'?', 1},
		[]byte("S\x9f\x9f\x9f"),
		bytes.Repeat([]byte{'S'}, 9000),
		summaryOf(0),
		append(summaryOf(1), 0),
	}
	for _, datagram := range malformed {
		peer.WriteToUDP(datagram, addr)
	}
	unknownSender, err := net.Dial("udp4", addr.String())
	if err != nil {
		g.Fatal(err)
	}
	defer unknownSender.Close()
	unknownSender.Write(summaryOf(1))
	dropped := 0
	for dropped < len(malformed) { // the empty one is not counted, that of the unknown sender is
		n := 0
		line := g.waitForLog("event=observer_dropped")
		fmt.Sscanf(line[strings.Index(line, "datagrams="):], "datagrams=%d", &n)
		dropped += n
	}
}

// checkSummaryConfirmed sends a summary from the peer and waits for its confirmation.
func (g *gatewayProcess) checkSummaryConfirmed(peer *net.UDPConn) {
	peer.WriteToUDP(summaryOf(1), g.observerAddr())
	peer.SetReadDeadline(time.Now().Add(waitLimit))
	confirmation := make([]byte, 100)
	n, err := peer.Read(confirmation)
	if err != nil || confirmation[0] != 'A' || n < 3 {
		g.Errorf("not confirmed: %v", err)
	}
}
