package main

import (
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"testing"
	"time"
)

// TestRoom checks that, short of descriptors, the longest idle client makes room for the next.
func TestRoom(t *testing.T) {
	gateway := startGateway(t, func(config, _ map[string]any) { config["limits"] = map[string]any{"sockets": 64} },
		newHost(t, func([]string) string { return "" }))
	first := gateway.connect()
	first.roundTrip(respArray("PING"))
	for range 31 {
		gateway.connect().roundTrip(respArray("PING"))
	}
	next := gateway.connect()
	next.send(respArray("PING"))
	if a := first.readAnswer(); a != "EOF" {
		t.Errorf("the longest idle: %s", a)
	}
	first.Close()
	if a := next.readAnswer(); a != "+PONG" {
		t.Errorf("the next: %s", a)
	}
}

// TestBadClients checks that malformed input gets an error line and a close in time, that none of it reaches a host, and that
// other clients are served.
func TestBadClients(t *testing.T) {
	h := newHost(t, func([]string) string { return successReply("v") })
	gateway := startGateway(t, nil, h)
	validCommand := requestCommand("lookup", 1)
	var clients []*testClient
	began := time.Now()
	for _, text := range []string{"", validCommand[:40], "*4\r\n$8\r\nCALL.GET\r\n$60000000\r\n" + strings.Repeat("v", 1<<20), strings.Repeat("x", 9000), "*" + strings.Repeat("9", 9000),
		strings.Repeat(strings.Replace(validCommand, "lookup", "lookus", 1), 600)} {
		c := gateway.connect()
		clients = append(clients, c)
		go c.send(text)
	}
	for i, c := range clients {
		a := c.readAnswer()
		if !strings.HasPrefix(a, "-ERR ") {
			t.Errorf("bad client %d: %s", i, a)
		}
		for strings.HasPrefix(a, "-ERR ") {
			a = c.readAnswer()
		}
		if a != "EOF" && !strings.Contains(a, "reset") {
			t.Errorf("bad client %d, at its end: %s", i, a)
		}
	}
	if d := time.Since(began); d < 1500*time.Millisecond { // the silent one had its time
		t.Errorf("all turned away after %v", d)
	}
	if cmds := h.takeReceived(); len(cmds) > 0 {
		t.Errorf("passed on: %q", cmds)
	}
	if a := gateway.connect().roundTrip(validCommand); a != "v" {
		t.Errorf("a usual client: %s", a)
	}
}

// TestStayingCrowd connects many more clients than there are places; each asks once and stays connected, also when the gateway
// closes its side: none waits for another's end.
func TestStayingCrowd(t *testing.T) {
	retryWhenSlow(t, func() string {
		gateway := startGateway(t, func(config, _ map[string]any) { config["limits"] = map[string]any{"sockets": 64} },
			newHost(t, func([]string) string { return successReply("v") }))
		var waits []time.Duration
		for i := range 150 {
			began := time.Now()
			if a := gateway.connect().roundTrip(requestCommand("lookup", i)); a != "v" {
				t.Fatal(a)
			}
			waits = append(waits, time.Since(began))
		}
		slices.Sort(waits[:20]) // places were free
		slices.Sort(waits[20:])
		if free, slow := waits[10], waits[85]; slow > 10*free+5*time.Millisecond { // none waits for another to close
			return fmt.Sprintf("half of them waited %v and more, with places free %v", slow, free)
		}
		return ""
	})
}

// TestRegularClient checks that a client that asked before is kept when a crowd asks once and stays, and that an idle
// connection ends.
func TestRegularClient(t *testing.T) {
	retryWhenSlow(t, func() string {
		gateway := startGateway(t, func(config, _ map[string]any) { config["limits"] = map[string]any{"sockets": 64} },
			newHost(t, func([]string) string { return successReply("v") }))
		regular := gateway.connect()
		regular.roundTrip(respArray("PING"))
		said := time.Now()
		regular.roundTrip(respArray("PING"))
		for i := range 60 { // three times the places
			gateway.connect().roundTrip(requestCommand("lookup", i))
		}
		if a := regular.roundTrip(requestCommand("lookup", 100)); a != "v" {
			if d := time.Since(said); d > 2*time.Second { // idle for too long by then
				return fmt.Sprintf("%s after %v", a, d)
			}
			t.Errorf("gave way to the crowd: %s", a)
		}
		if a := regular.readAnswer(); a != "EOF" { // without a line
			t.Errorf("left idle: %s", a)
		}
		return ""
	})
}

// TestSilentCrowd fills all places with silent clients: they make room for one that asks, and it is served at once.
func TestSilentCrowd(t *testing.T) {
	retryWhenSlow(t, func() string {
		gateway := startGateway(t, func(config, _ map[string]any) { config["limits"] = map[string]any{"sockets": 64} },
			newHost(t, func([]string) string { return successReply("v") }))
		var crowd []*testClient
		for range 80 {
			crowd = append(crowd, gateway.connect())
		}
		began := time.Now()
		if a := gateway.connect().roundTrip(requestCommand("lookup", 1)); a != "v" {
			t.Error(a)
		}
		if d := time.Since(began); d > 1500*time.Millisecond { // the crowd's own time was not up
			return fmt.Sprintf("served after %v", d)
		}
		if a := crowd[0].readAnswer(); a != "EOF" && !strings.Contains(a, "reset") {
			t.Errorf("the first of the crowd: %s", a)
		}
		return ""
	})
}

// TestDescriptorsFilled fills the descriptors with silent clients while discovery is down and the system allows fewer
// descriptors than configured: the watch returns with the agent, its updates count, and clients that ask are served.
func TestDescriptorsFilled(t *testing.T) {
	answer := func([]string) string { return successReply("v") }
	a, b := newHost(t, answer), newHost(t, answer)
	gateway := startGateway(t, func(config, _ map[string]any) { config["ulimit"] = 64 }, a, b)
	gateway.waitForLog("event=descriptor_limit_low limit=64 sockets=1024")
	receive(gateway, gateway.watchRequests)
	watch := receive(gateway, gateway.watches)
	gateway.discoveryAgent.Close()
	watch.Close()
	gateway.waitForLog("event=endpoint_watch_lost")
	for range 100 {
		gateway.connect()
	}
	gateway.waitForLog("event=client_limit_reached") // of their own part, far below the configuration's
	if a := gateway.connect().roundTrip(respArray("PING")); a != "+PONG" {
		t.Errorf("with the descriptors filled: %s", a)
	}
	agent, err := net.Listen("tcp4", gateway.discoveryAgent.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer agent.Close()
	go gateway.serveDiscovery(agent)
	receive(gateway, gateway.watchRequests)
	sendHostList(receive(gateway, gateway.watches), 42, hostEntry("h0", a.Addr().String(), "leaving"))
	gateway.waitForLog("event=endpoint_state id=h0 state=draining version=42")
	for i := range 8 {
		gateway.connect() // one that is silent before each that asks
		if got := gateway.connect().roundTrip(requestCommand("lookup", i)); got != "v" || len(a.takeReceived()) > 0 {
			t.Errorf("%s, or sent to the host that leaves", got)
		}
	}
}

// TestSlowClient checks that a client that reads nothing is disconnected once too much waits for it, and costs no other client
// anything.
func TestSlowClient(t *testing.T) {
	large := successReply(strings.Repeat("v", 60<<10))
	gateway := startGateway(t, func(_, settings map[string]any) {
		settings["plans"] = []any{map[string]any{"name": "team", "worth_factor": 1}} // no quota
	}, newHost(t, func([]string) string { return large }))
	slow := gateway.connect()
	go func() {
		for err := error(nil); err == nil; {
			_, err = io.WriteString(slow.Conn, requestCommand("lookup", 1))
		}
	}()
	gateway.waitForLog(`event=client_fault error="answers are read too slowly"`)
	if a := gateway.connect().roundTrip(respArray("PING")); a != "+PONG" {
		t.Error(a)
	}
}
