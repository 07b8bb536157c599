package main

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"
)

// counterServer is an emulated server of the shared counter.
type counterServer struct {
	*testHost
	mu    sync.Mutex
	reply string // reply to each command that adds to a number; empty: the server answers no command at all
}

// newCounterServer starts a server that replies 1 to each addition.
func newCounterServer(t *testing.T) *counterServer {
	server := &counterServer{reply: "$1\r\n1\r\n"}
	server.testHost = newHost(t, server.answer)
	server.inOrder = true
	return server
}

// answer returns the reply to a command. A number from which 1 is subtracted is 0 afterwards.
func (s *counterServer) answer(command []string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.reply == "":
		return ""
	case command[0] == "PEXPIRE":
		return ":1\r\n"
	case command[2] == "-1":
		return "$1\r\n0\r\n"
	}
	return s.reply
}

func (s *counterServer) setReply(reply string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reply = reply
}

// startGatewayWithCounter starts a gateway that uses a shared counter. Its quota plan has no rate and a cap of 2
// requests in flight.
func startGatewayWithCounter(t *testing.T, counter *counterServer) *gatewayProcess {
	gateway := startGateway(t, func(config *gatewayConfig) {
		configureTwoMembers(config, "127.0.0.1:1", "127.0.0.1:2")
		config.Counter = counter.Addr().String()
		config.Settings.Gossip.SharedCounter = true
		config.Settings.Gossip.CounterTimeoutUS = 50000
		config.Settings.Plans = []quotaPlan{{Name: "team", MaxInFlight: 2, OverCapCost: 0.5, PriorityWeight: 1}}
	}, valueHost(t))
	gateway.waitForLog("event=counter_restored")
	return gateway
}

// lookupAtTwoGateways encodes a request of a customer whose requests are spread over two gateways (spread=2).
func lookupAtTwoGateways(customer int) string {
	return strings.Replace(requestCommand("lookup", customer), "spread=1", "spread=2", 1)
}

// TestSharedCounterEnforcesCapOrFallsBackToEstimate checks that the shared counter decides on a quota plan with a cap
// on requests in flight and no rate. It guards against a counter that delays requests: if it refuses, is silent, sends
// malformed replies or is gone, the gateway decides by its local estimate.
func TestSharedCounterEnforcesCapOrFallsBackToEstimate(t *testing.T) {
	retryWhenSlow(t, func() string {
		counter := newCounterServer(t)
		gateway := startGatewayWithCounter(t, counter)
		c := gateway.connect()
		if slow := checkCapByCounter(t, c, counter); slow != "" {
			return slow
		}
		for i, reply := range []string{"-OOM no room\r\n", "", "$3\r\nnan\r\n", "what\r\n"} {
			counter.setReply(reply)
			began := time.Now()
			a := c.roundTrip(lookupAtTwoGateways(10 + i))
			if elapsed := time.Since(began); elapsed > time.Second {
				return fmt.Sprintf("the counter replies %q: %s after %v", reply, a, elapsed)
			}
			if a != "v" {
				t.Errorf("the counter replies %q: the answer is %s, want v", reply, a)
			}
		}
		counter.Close()
		gateway.waitForLog("event=counter_lost")
		if a := c.roundTrip(lookupAtTwoGateways(20)); a != "v" {
			t.Errorf("the counter is gone: the answer is %s, want v", a)
		}
		return ""
	})
}

// checkCapByCounter sends a request within the cap and one that the counter reports as beyond it, and checks the
// answers and the commands that the counter received. It returns a description of a delay, or "".
func checkCapByCounter(t *testing.T, c *testClient, counter *counterServer) (slow string) {
	began := time.Now()
	if a := c.roundTrip(lookupAtTwoGateways(1)); a != "v" {
		t.Errorf("the request within the cap is answered %s, want v", a)
	}
	counter.setReply("$1\r\n3\r\n")
	a := c.roundTrip(lookupAtTwoGateways(2))
	if elapsed := time.Since(began); elapsed > 50*time.Millisecond { // the calls may have timed out
		return fmt.Sprintf("the counter was asked twice in %v", elapsed)
	}
	if !strings.HasPrefix(a, "-BUSY") {
		t.Errorf("a request with 3 in flight by the counter and a cap of 2 is answered %s, want -BUSY", a)
	}
	var commands []string
	for _, command := range counter.takeReceived() {
		commands = append(commands, command[0]+" "+strings.Join(command[2:], " "))
	}
	const want = "[INCRBYFLOAT 1 PEXPIRE 10000 NX INCRBYFLOAT -1 PEXPIRE 10000 NX]"
	if got := fmt.Sprint(commands[:4]); got != want {
		t.Errorf("the counter received %s, want %s", got, want)
	}
	return ""
}
