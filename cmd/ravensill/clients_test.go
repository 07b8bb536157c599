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

// configureFewSockets limits the descriptors so that about 20 clients can be connected at a time.
func configureFewSockets(config *gatewayConfig) { config.Resources = resourceLimits{Sockets: 64} }

// TestLongestIdleClientIsEvictedForNext guards against a new client that is not served because idle ones hold all
// descriptors: more clients connect than the descriptors allow.
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
		t.Errorf("the longest idle client reads %s, want EOF", a)
	}
	first.Close()
	if a := next.readAnswer(); a != "+PONG" {
		t.Errorf("the next client reads %s, want +PONG", a)
	}
}

// TestMalformedInputEndsOnlyItsConnection guards against malformed input that affects other clients or reaches a host.
// Each input gets an error line, and its connection is closed in time.
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
			t.Errorf("input %d is answered %s, want -ERR", i, a)
		}
		for strings.HasPrefix(a, "-ERR ") {
			a = c.readAnswer()
		}
		if a != "EOF" && !strings.Contains(a, "reset") {
			t.Errorf("input %d: the connection ends with %s, want EOF or a reset", i, a)
		}
	}
	if d := time.Since(began); d < 1500*time.Millisecond { // the client that sends nothing has 2 s for a command
		t.Errorf("all connections ended too early, after %v", d)
	}
	if commands := host.takeReceived(); len(commands) > 0 {
		t.Errorf("malformed input was sent to the host: %q", commands)
	}
	if a := gateway.connect().roundTrip(validCommand); a != "v" {
		t.Errorf("another client reads %s, want v", a)
	}
}

// TestClientsThatStayConnectedDelayNoOther guards against new clients that wait until others close. Many more clients
// connect than there are descriptors. Each sends one command and stays connected, even after the gateway has closed its
// side of the connection.
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
		slices.Sort(waits[:20]) // waits of the clients for which descriptors were free
		slices.Sort(waits[20:])
		free, full := waits[10], waits[85]
		if full > 10*free+5*time.Millisecond {
			return fmt.Sprintf("half of the clients waited %v or longer, but %v while descriptors were free", full, free)
		}
		return ""
	})
}

// TestRegularClientIsKeptBesideOneTimeClients guards against the eviction of a client that has sent several commands in
// favor of clients that send one command and stay connected. It also checks that an idle connection ends.
func TestRegularClientIsKeptBesideOneTimeClients(t *testing.T) {
	retryWhenSlow(t, func() string {
		gateway := startGateway(t, configureFewSockets, valueHost(t))
		regular := gateway.connect()
		regular.roundTrip(respArray("PING"))
		lastCommand := time.Now()
		regular.roundTrip(respArray("PING"))
		for i := range 60 { // three times as many as can be connected at a time
			gateway.connect().roundTrip(requestCommand("lookup", i))
		}
		if a := regular.roundTrip(requestCommand("lookup", 100)); a != "v" {
			if d := time.Since(lastCommand); d > 2*time.Second { // it was idle for too long
				return fmt.Sprintf("the regular client reads %s after %v", a, d)
			}
			t.Errorf("the regular client was evicted for one-time clients: it reads %s", a)
		}
		if a := regular.readAnswer(); a != "EOF" { // an idle connection ends without an error line
			t.Errorf("the idle client reads %s, want EOF", a)
		}
		return ""
	})
}

// TestSilentClientsAreEvictedForOneWithCommand guards against a client with a command that waits while clients that
// have sent nothing hold all descriptors.
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
			return fmt.Sprintf("the client with a command was served after %v", d)
		}
		if a := silent[0].readAnswer(); a != "EOF" && !strings.Contains(a, "reset") {
			t.Errorf("the first silent client reads %s, want EOF or a reset", a)
		}
		return ""
	})
}

// TestWatchAndClientsServedWithDescriptorsExhausted guards against silent clients that take the descriptors which the
// watch and other clients need. The system allows fewer descriptors than the configuration, and silent clients connect
// while the discovery agent is down. Once it is up, the watch is restored and its updates apply.
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
	gateway.waitForLog("event=client_limit_reached") // at the system's limit, far below the configured one
	if a := gateway.connect().roundTrip(respArray("PING")); a != "+PONG" {
		t.Errorf("PING with the descriptors exhausted is answered %s", a)
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
			t.Errorf("the answer is %s, or the request was sent to the draining host", got)
		}
	}
}

// TestClientThatReadsNothingIsDisconnected guards against memory that is held without end for a client that reads no
// answers. It is disconnected once it has read nothing for too long, and other clients are served.
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
