package main

import (
	"net"
	"strings"
	"syscall"
	"testing"
)

// TestReload checks SIGHUP: the new address of discovery is followed at once, though the environment names the first one; host
// list, requests and connections stay; an invalid file changes nothing; the old address is no longer heard.
func TestReload(t *testing.T) {
	received, release := make(chan struct{}), make(chan struct{})
	a := newHost(t, func(cmd []string) string {
		if cmd[1] == "0000000000000001" {
			close(received)
			<-release
		}
		return successReply("v")
	})
	b := newHost(t, func([]string) string { return successReply("of b") })
	gateway := startGateway(t, nil, a)
	receive(gateway, gateway.watchRequests)
	old := receive(gateway, gateway.watches)
	c := gateway.connect()
	c.send(requestCommand("order", 1))
	receive(gateway, received)
	good := gateway.config["discovery"]
	for _, bad := range []any{"nowhere", 7} {
		gateway.config["discovery"] = bad
		gateway.writeConfig()
		gateway.cmd.Process.Signal(syscall.SIGHUP)
		if l := gateway.waitForLog("event=reload_failed"); !strings.Contains(l, `error="discovery: `) {
			t.Errorf("the line does not name the key: %s", l)
		}
	}
	next, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer next.Close()
	go gateway.serveDiscovery(next)
	gateway.config["discovery"] = next.Addr().String()
	gateway.writeConfig()
	gateway.cmd.Process.Signal(syscall.SIGHUP)
	gateway.waitForLog("event=reloaded discovery=" + next.Addr().String() + " version=41 other_keys_changed=false")
	if ask := receive(gateway, gateway.watchRequests); !strings.Contains(ask, "after=41 ") {
		t.Errorf("asked for the list with %q", ask)
	}
	watch := receive(gateway, gateway.watches)
	sendHostList(old, 42, hostEntry("h0", "", "left"))
	sendHostList(watch, 43, hostEntry("h0", a.Addr().String(), "leaving"), hostEntry("h1", b.Addr().String(), "active"))
	if l := gateway.waitForLog("event=endpoint_state id="); !strings.Contains(l, "id=h0 state=draining version=43") {
		t.Errorf("the old address was heard: %s", l)
	}
	if a := gateway.connect().roundTrip(requestCommand("lookup", 2)); a != "of b" {
		t.Errorf("after the list came from the new address: %s", a)
	}
	close(release)
	if a := c.readAnswer(); a != "v" {
		t.Errorf("open during the reload: %s", a)
	}
	gateway.config["discovery"] = good
	gateway.config["limits"] = map[string]any{"memory_mb": 64}
	gateway.writeConfig()
	gateway.cmd.Process.Signal(syscall.SIGHUP)
	gateway.waitForLog("other_keys_changed=true")
	if ask := receive(gateway, gateway.watchRequests); !strings.Contains(ask, "after=43 ") {
		t.Errorf("asked for the list with %q", ask)
	}
	sendHostList(receive(gateway, gateway.watches), 42, hostEntry("h0", a.Addr().String(), "active")) // it is behind
	gateway.waitForLog("event=endpoint_list_stale version=42 previous=43")
	gateway.waitForLog("event=endpoint_state id=h0 state=draining version=42")
	for i := range 8 {
		if a := gateway.connect().roundTrip(requestCommand("lookup", 10+i)); a != "of b" {
			t.Errorf("a list older than had put the host back that leaves: %s", a)
		}
	}
}
