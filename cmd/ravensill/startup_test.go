package main

import (
	"errors"
	"net"
	"os/exec"
	"strings"
	"syscall"
	"testing"
)

// The addresses are held by a former life that drains: the start waits for each, told once, and serves when they are
// free. Called to stop meanwhile, it ends as one that serves nobody; an address of another machine ends the start at once.
func TestFormerLife(t *testing.T) {
	for _, end := range []string{"free", "stop", "strange"} {
		datagrams, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			t.Fatal(err)
		}
		defer datagrams.Close()
		former, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer former.Close()
		section, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			t.Fatal(err)
		}
		defer section.Close()
		peer, records := datagrams.LocalAddr().String(), section.LocalAddr().String()
		w := start(t, func(cfg, settings map[string]any) {
			if cfg["listen"] = former.Addr().String(); end == "strange" {
				cfg["listen"] = "192.0.2.1:6379"
				datagrams.Close()
			}
			settings["balancers"], cfg["peer_listen"], cfg["peers"] = 2, peer, []string{peer, "127.0.0.1:1"}
			cfg["counterfactual"] = map[string]any{"listen": records, "peers": []string{records, "127.0.0.1:1"}, "collectors": []int{1}}
		}, newHost(t, func([]string) string { return passed("v") }))
		if end == "strange" {
			w.line(`event=failed error="listen: listen tcp4 192.0.2.1:6379: bind`)
			if take(w, w.exit) == nil {
				t.Error("it ended well")
			}
			continue
		}
		w.line("event=address_taken key=peer_listen addr=" + peer)
		datagrams.Close()
		w.line("event=address_taken key=listen addr=" + former.Addr().String())
		if end == "stop" {
			w.cmd.Process.Signal(syscall.SIGTERM)
			w.line("event=stopped")
			if err := take(w, w.exit); err != nil {
				t.Error(err)
			}
			continue
		}
		former.Close()
		w.line("event=address_taken key=counterfactual addr=" + records)
		section.Close()
		w.line("event=serving")
		w.addr = former.Addr().String()
		if a := w.client().ask(call("lookup", 1)); a != "v" {
			t.Error(a)
		}
	}
}

// A faulty configuration ends the start with a message that names the key.
func TestFaultyConfig(t *testing.T) {
	w := start(t, func(_, settings map[string]any) {
		settings["plans"] = []any{map[string]any{"rate": "many"}}
	}, newHost(t, nil))
	if !strings.Contains(w.addr, "settings: plans.0.rate: unexpected value") {
		t.Errorf("the line does not name the key: %s", w.addr)
	}
	var exit *exec.ExitError
	if err := take(w, w.exit); !errors.As(err, &exit) || exit.ExitCode() != 2 {
		t.Error(err)
	}
}
