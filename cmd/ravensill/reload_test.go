package main

import (
	"net"
	"strings"
	"syscall"
	"testing"
)

// reload writes g.config to the configuration file and sends SIGHUP.
func (g *gatewayProcess) reload() {
	g.writeConfig()
	g.cmd.Process.Signal(syscall.SIGHUP)
}

// TestReloadFollowsNewDiscoveryAddress checks that a gateway follows a new discovery address in its file after a
// SIGHUP, although the environment names the first address. It guards against a reload that loses the host list,
// requests or connections, that applies an invalid file, or that still applies lists from the old address.
func TestReloadFollowsNewDiscoveryAddress(t *testing.T) {
	a, received, release := newBlockingHost(t)
	b := newHost(t, func([]string) string { return successReply("of b") })
	gateway := startGateway(t, nil, a)
	receive(gateway, gateway.watchRequests)
	oldWatch := receive(gateway, gateway.watches)
	c := gateway.connect()
	c.send(requestCommand("order", 1))
	receive(gateway, received)
	firstAddress := gateway.config.Discovery
	gateway.checkInvalidReloads()
	agent, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer agent.Close()
	go gateway.serveDiscovery(agent)
	gateway.config.Discovery = agent.Addr().String()
	gateway.reload()
	gateway.waitForLog("event=reloaded discovery=" + agent.Addr().String() + " version=41 other_keys_changed=false")
	watch := gateway.checkWatchRequest("41")
	sendHostList(oldWatch, 42, newHostEntry("h0", "", "left"))
	sendHostList(watch, 43,
		newHostEntry("h0", a.Addr().String(), "leaving"),
		newHostEntry("h1", b.Addr().String(), "active"),
	)
	line := gateway.waitForLog("event=endpoint_state id=")
	if !strings.Contains(line, "id=h0 state=draining version=43") {
		t.Errorf("a list from the old address was applied: %s", line)
	}
	if a := gateway.connect().roundTrip(requestCommand("lookup", 2)); a != "of b" {
		t.Errorf("after the list from the new address, the answer is %s", a)
	}
	close(release)
	if a := c.readAnswer(); a != "v" {
		t.Errorf("the request in flight during the reload is answered %s", a)
	}
	gateway.config.Discovery = firstAddress
	gateway.config.Resources = resourceLimits{MemoryMB: 64}
	gateway.reload()
	gateway.waitForLog("other_keys_changed=true")
	watch = gateway.checkWatchRequest("43")
	sendHostList(watch, 42, newHostEntry("h0", a.Addr().String(), "active")) // an older version
	gateway.waitForLog("event=endpoint_list_stale version=42 previous=43")
	gateway.waitForLog("event=endpoint_state id=h0 state=draining version=42")
	for i := range 8 {
		if a := gateway.connect().roundTrip(requestCommand("lookup", 10+i)); a != "of b" {
			t.Errorf("after the stale list, the answer is %s, want of b", a)
		}
	}
}

// checkInvalidReloads reloads files with invalid discovery addresses, and checks that the error names the key.
func (g *gatewayProcess) checkInvalidReloads() {
	valid := encodeJSON(g.T, g.config)
	for _, invalid := range []string{`"nowhere"`, "7"} {
		g.writeConfigText(setKey(g.T, valid, "discovery", invalid))
		g.cmd.Process.Signal(syscall.SIGHUP)
		line := g.waitForLog("event=reload_failed")
		if !strings.Contains(line, `error="discovery: `) {
			g.Errorf("the error does not name the key: %s", line)
		}
	}
}
