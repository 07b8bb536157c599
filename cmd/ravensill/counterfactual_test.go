package main

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"ravensill/counterfactual"
)

// TestCounterfactualOff checks that without its section the observer has no socket and logs nothing, and that an invalid
// section ends the start.
func TestCounterfactualOff(t *testing.T) {
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
		if strings.Contains(l, "witness") {
			t.Error(l)
		}
	}
	gateway = startGateway(t, func(config, _ map[string]any) {
		config["counterfactual"] = map[string]any{"listen": "127.0.0.1:0", "queue": -1}
	}, h)
	if !strings.Contains(gateway.addr, "counterfactual: queue: -1 is not from 1 to") {
		t.Errorf("the line does not name the key: %s", gateway.addr)
	}
}

// TestCounterfactual checks that a collector folds its own attempts and those reported by a peer; malformed, oversized and
// forged datagrams and queries are counted or rejected, and end nothing.
func TestCounterfactual(t *testing.T) {
	peer, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	gateway := startGateway(t, func(config, settings map[string]any) {
		settings["balancers"] = 2
		settings["limits"].(map[string]any)["peer_messages"] = false
		config["counterfactual"] = map[string]any{"listen": "127.0.0.1:0", "peers": []string{"127.0.0.1:9", peer.LocalAddr().String()},
			"collectors": []int{0}, "part": 1, "window_ms": 100, "grace_ms": 100}
	}, newHost(t, func([]string) string { return successReply("v") }))
	client := gateway.connect()
	if n := gateway.countUDPSockets(); n != 1 {
		t.Errorf("%d sockets for datagrams", n)
	}
	ask := func(q string) string {
		_, at, _ := strings.Cut(gateway.observerLine, " query_listen=")
		c, err := net.Dial("tcp4", at)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		c.SetDeadline(time.Now().Add(waitLimit))
		fmt.Fprintln(c, q)
		line, err := bufio.NewReader(c).ReadString('\n')
		if err != nil {
			t.Fatal(err)
		}
		return line
	}
	far, _ := net.ResolveUDPAddr("udp4", strings.Fields(gateway.observerLine[strings.Index(gateway.observerLine, " listen=")+8:])[0])
	part := func(seat uint32) []byte {
		return append([]byte{'S'}, counterfactual.Encode(counterfactual.Part{Gateway: seat, Incarnation: 1, WindowLength: 100}, nil)[0](0)...)
	}
	stranger, err := net.Dial("udp4", far.String())
	if err != nil {
		t.Fatal(err)
	}
	defer stranger.Close()
	bad := [][]byte{{}, {'S'}, {'A'}, {'?', 1}, []byte("S\x9f\x9f\x9f"), bytes.Repeat([]byte{'S'}, 9000), part(0), append(part(1), 0)}
	for _, b := range bad {
		peer.WriteToUDP(b, far)
	}
	stranger.Write(part(1))
	dropped := 0
	for dropped < len(bad) { // an empty one counts for none; the stranger's does
		n := 0
		l := gateway.waitForLog("event=observer_dropped")
		fmt.Sscanf(l[strings.Index(l, "datagrams="):], "datagrams=%d", &n)
		dropped += n
	}
	peer.WriteToUDP(part(1), far)
	peer.SetReadDeadline(time.Now().Add(waitLimit))
	buf := make([]byte, 100)
	if n, err := peer.Read(buf); err != nil || buf[0] != 'A' || n < 3 {
		t.Errorf("not confirmed: %v", err)
	}
	for i := range 5 {
		if a := client.roundTrip(requestCommand("lookup", i)); a != "v" {
			t.Error(a)
		}
	}
	for _, x := range [][2]string{{"what", "error"}, {`{"last":-1}`, "error"}, {`{"frontend":"none"}`, "error"}, {`{"rule":"odd","part":1}`, "error"}, {`{"when":1}`, "error"},
		{`{"counts":true}`, `"Merged":`}, {`{"frontend":"lookup","rule":"chance","part":0.3}`, `"refused":`}, {`{"host":7}`, "error"}, {`{"host":"h9"}`, "error"}, {`{"host":"h0"}`, `"host":"h0"`}} {
		if a := ask(x[0]); !strings.Contains(a, x[1]) {
			t.Errorf("%s: %s", x[0], a)
		}
	}
	for a := ""; !strings.Contains(a, `"reqs":5,`); {
		a = ask(`{"frontend":"lookup"}`)
		if strings.Contains(a, `"mean_ms":{"value":0,"low":0,"high":0}`) {
			t.Fatal(a)
		}
	}
}
