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

// configureFewSockets leaves about 20 descriptors for clients.
func configureFewSockets(config *gatewayConfig) { config.Resources = resourceLimits{Sockets: 64} }

// TestLongestIdleClientIsEvictedForNext connects more clients than the descriptors allow.
func TestLongestIdleClientIsEvictedForNext(t *testing.T) {
	gateway := startGateway(t, configureFewSockets, newHost(t, func([]string) string { return "" }))
	first := gateway.connect()
	first.roundTrip(respArray("PING"))
	for range 31 {
		gateway.connect().roundTrip(respArray("PING"))
	}
	next := gateway.connect()
	next.send(respArray("PING"))
	if a := first.readAnswer(); a != "EOF" {
		t.Errorf("the longest idle client: %s", a)
	}
	first.Close()
	if a := next.readAnswer(); a != "+PONG" {
		t.Errorf("the next client: %s", a)
	}
}

// TestMalformedInputEndsOnlyItsConnection checks that malformed input gets an error line and a close in time, that none
// of it reaches a host, and that other clients are served.
func TestMalformedInputEndsOnlyItsConnection(t *testing.T) {
	host := valueHost(t)
	gateway := startGateway(t, nil, host)
	validCommand := requestCommand("lookup", 1)
	inputs := []string{
		"",
		validCommand[:40],
		"*4\r\n$8\r\nCALL.GET\r\n$60000000\r\n" + strings.Repeat("v", 1<<20),
		strings.Repeat("x", 9000),
		"*" + strings.Repeat("9", 9000),
		strings.Repeat(strings.Replace(validCommand, "lookup", "lookus", 1), 600),
	}
	var clients []*testClient
	began := time.Now()
	for _, input := range inputs {
		c := gateway.connect()
		clients = append(clients, c)
		go c.send(input)
	}
	for i, c := range clients {
		a := c.readAnswer()
		if !strings.HasPrefix(a, "-ERR ") {
			t.Errorf("input %d: %s", i, a)
		}
		for strings.HasPrefix(a, "-ERR ") {
			a = c.readAnswer()
		}
		if a != "EOF" && !strings.Contains(a, "reset") {
			t.Errorf("input %d, at the end: %s", i, a)
		}
	}
	if d := time.Since(began); d < 1500*time.Millisecond { // the silent client has 2 s for a command
		t.Errorf("all connections ended after %v", d)
	}
	if commands := host.takeReceived(); len(commands) > 0 {
		t.Errorf("sent to the host: %q", commands)
	}
	if a := gateway.connect().roundTrip(validCommand); a != "v" {
		t.Errorf("another client: %s", a)
	}
}

// TestClientsThatStayConnectedDelayNoOther connects many more clients than there are places. Each sends one command and
// stays connected, also when the gateway closes its side: none waits until another closes.
func TestClientsThatStayConnectedDelayNoOther(t *testing.T) {
	retryWhenSlow(t, func() string {
		gateway := startGateway(t, configureFewSockets, valueHost(t))
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
		free, full := waits[10], waits[85]
		if full > 10*free+5*time.Millisecond {
			return fmt.Sprintf("half of the clients waited %v and more, with places free %v", full, free)
		}
		return ""
	})
}

// TestRegularClientIsKeptBesideOneTimeClients checks that a client that sent several commands is not evicted for
// clients that send one and stay, and that an idle connection ends.
func TestRegularClientIsKeptBesideOneTimeClients(t *testing.T) {
	retryWhenSlow(t, func() string {
		gateway := startGateway(t, configureFewSockets, valueHost(t))
		regular := gateway.connect()
		regular.roundTrip(respArray("PING"))
		lastCommand := time.Now()
		regular.roundTrip(respArray("PING"))
		for i := range 60 { // three times the places
			gateway.connect().roundTrip(requestCommand("lookup", i))
		}
		if a := regular.roundTrip(requestCommand("lookup", 100)); a != "v" {
			if d := time.Since(lastCommand); d > 2*time.Second { // idle for too long by then
				return fmt.Sprintf("%s after %v", a, d)
			}
			t.Errorf("evicted for one-time clients: %s", a)
		}
		if a := regular.readAnswer(); a != "EOF" { // without an error line
			t.Errorf("idle: %s", a)
		}
		return ""
	})
}

// TestSilentClientsAreEvictedForOneWithCommand fills all places with silent clients: one that sends a command is served
// at once.
func TestSilentClientsAreEvictedForOneWithCommand(t *testing.T) {
	retryWhenSlow(t, func() string {
		gateway := startGateway(t, configureFewSockets, valueHost(t))
		var silent []*testClient
		for range 80 {
			silent = append(silent, gateway.connect())
		}
		began := time.Now()
		if a := gateway.connect().roundTrip(requestCommand("lookup", 1)); a != "v" {
			t.Error(a)
		}
		if d := time.Since(began); d > 1500*time.Millisecond { // a silent client has 2 s
			return fmt.Sprintf("served after %v", d)
		}
		if a := silent[0].readAnswer(); a != "EOF" && !strings.Contains(a, "reset") {
			t.Errorf("the first silent client: %s", a)
		}
		return ""
	})
}

// TestWatchAndClientsServedWithDescriptorsExhausted fills the descriptors with silent clients while discovery is down
// and the system allows fewer descriptors than configured: the watch is restored with the agent, its updates apply,
// and clients that send commands are served.
func TestWatchAndClientsServedWithDescriptorsExhausted(t *testing.T) {
	a, b := valueHost(t), valueHost(t)
	gateway := startGateway(t, func(config *gatewayConfig) { config.DescriptorLimit = 64 }, a, b)
	gateway.waitForLog("event=descriptor_limit_low limit=64 sockets=1024")
	receive(gateway, gateway.watchRequests)
	watch := receive(gateway, gateway.watches)
	gateway.discoveryAgent.Close()
	watch.Close()
	gateway.waitForLog("event=endpoint_watch_lost")
	for range 100 {
		gateway.connect()
	}
	gateway.waitForLog("event=client_limit_reached") // far below the configuration's
	if a := gateway.connect().roundTrip(respArray("PING")); a != "+PONG" {
		t.Errorf("with the descriptors exhausted: %s", a)
	}
	agent, err := net.Listen("tcp4", gateway.discoveryAgent.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer agent.Close()
	go gateway.serveDiscovery(agent)
	receive(gateway, gateway.watchRequests)
	sendHostList(receive(gateway, gateway.watches), 42, newHostEntry("h0", a.Addr().String(), "leaving"))
	gateway.waitForLog("event=endpoint_state id=h0 state=draining version=42")
	for i := range 8 {
		gateway.connect() // a silent one before each that sends a command
		if got := gateway.connect().roundTrip(requestCommand("lookup", i)); got != "v" || len(a.takeReceived()) > 0 {
			t.Errorf("%s, or sent to the draining host", got)
		}
	}
}

// TestClientThatReadsNothingIsDisconnected checks that a client is disconnected once too many bytes of answers wait for
// it, and that others are served.
func TestClientThatReadsNothingIsDisconnected(t *testing.T) {
	large := successReply(strings.Repeat("v", 60<<10))
	gateway := startGateway(t, func(config *gatewayConfig) {
		config.Settings.Plans = []quotaPlan{{Name: "team", PriorityWeight: 1}} // no quota
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
