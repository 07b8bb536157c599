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

// Without the section there is no socket, no goroutine and no line of it; a faulty one ends the start.
func TestCounterfactualOff(t *testing.T) {
	h := newHost(t, func([]string) string { return passed("v") })
	w := start(t, nil, h)
	if a := w.client().ask(call("lookup", 1)); a != "v" {
		t.Error(a)
	}
	if n := w.udp(); n != 0 {
		t.Errorf("%d sockets for datagrams", n)
	}
	w.cmd.Process.Signal(os.Interrupt)
	for l := range w.log {
		if strings.Contains(l, "witness") {
			t.Error(l)
		}
	}
	w = start(t, func(cfg, _ map[string]any) {
		cfg["counterfactual"] = map[string]any{"listen": "127.0.0.1:0", "queue": -1}
	}, h)
	if !strings.Contains(w.addr, "counterfactual: queue: -1 is not from 1 to") {
		t.Errorf("the line does not name the key: %s", w.addr)
	}
}

// A collector folds its own dispatches and those told by a peer; malformed, oversized and forged datagrams and
// questions are counted or turned away, and end nothing.
func TestCounterfactual(t *testing.T) {
	peer, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	w := start(t, func(cfg, settings map[string]any) {
		settings["balancers"] = 2
		settings["limits"].(map[string]any)["peer_messages"] = false
		cfg["counterfactual"] = map[string]any{"listen": "127.0.0.1:0", "peers": []string{"127.0.0.1:9", peer.LocalAddr().String()},
			"collectors": []int{0}, "part": 1, "window_ms": 100, "grace_ms": 100}
	}, newHost(t, func([]string) string { return passed("v") }))
	w2 := w.client()
	if n := w.udp(); n != 1 {
		t.Errorf("%d sockets for datagrams", n)
	}
	ask := func(q string) string {
		at := w.witnessing[strings.Index(w.witnessing, "ask=")+4:]
		c, err := net.Dial("tcp4", at)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		c.SetDeadline(time.Now().Add(patience))
		fmt.Fprintln(c, q)
		line, err := bufio.NewReader(c).ReadString('\n')
		if err != nil {
			t.Fatal(err)
		}
		return line
	}
	far, _ := net.ResolveUDPAddr("udp4", strings.Fields(w.witnessing[strings.Index(w.witnessing, "listen=")+7:])[0])
	part := func(seat uint32) []byte {
		return append([]byte{'S'}, counterfactual.Encode(counterfactual.Part{Gateway: seat, Life: 1, Length: 100}, nil)[0](0)...)
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
		l := w.line("event=witness_dropped")
		fmt.Sscanf(l[strings.Index(l, "datagrams="):], "datagrams=%d", &n)
		dropped += n
	}
	peer.WriteToUDP(part(1), far)
	peer.SetReadDeadline(time.Now().Add(patience))
	buf := make([]byte, 100)
	if n, err := peer.Read(buf); err != nil || buf[0] != 'A' || n < 3 {
		t.Errorf("not confirmed: %v", err)
	}
	for i := range 5 {
		if a := w2.ask(call("lookup", i)); a != "v" {
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
