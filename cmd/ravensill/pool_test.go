package main

import (
	"os"
	"strings"
	"testing"
)

// Without the section there is no socket and no line of it; a faulty one ends the start. With it, one gateway alone is its
// own voter and comes to hold what its reqs need.
func TestPool(t *testing.T) {
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
		if strings.Contains(l, "pool") {
			t.Error(l)
		}
	}
	section := map[string]any{"capacity": 9, "floor": 1, "voters": []string{"127.0.0.1:9"}, "voter_seats": []int{0}, "listen": "127.0.0.1:0",
		"dir": t.TempDir(), "key": strings.Repeat("0f", 16)}
	w = start(t, func(cfg, _ map[string]any) { cfg["pool"] = section }, h)
	if a := w.client().ask(call("lookup", 1)); a != "v" {
		t.Error(a)
	}
	if n := w.udp(); n != 2 {
		t.Errorf("%d sockets for datagrams, of a holder and a voter", n)
	}
	section["floor"] = 10
	w = start(t, func(cfg, _ map[string]any) { cfg["pool"] = section }, h)
	if !strings.Contains(w.addr, "pool: floor: 10 for each of 1 gateways is more than capacity less reserve, 9") {
		t.Errorf("the line does not name the key: %s", w.addr)
	}
}
