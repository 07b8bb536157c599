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
	reply string // to the command that adds to a number; empty: none, to any command
}

// newCounterServer starts a server whose number is 1 after each addition.
func newCounterServer(t *testing.T) *counterServer {
	server := &counterServer{reply: "$1\r\n1\r\n"}
	server.testHost = newHost(t, server.answer)
	server.inOrder = true
	return server
}

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

// startCountingGateway starts a gateway with a quota plan that has no rate and a cap of 2 requests in flight.
func startCountingGateway(t *testing.T, counter *counterServer) *gatewayProcess {
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

// lookupAtTwoGateways is a request of a customer whose requests arrive at two gateways.
func lookupAtTwoGateways(customer int) string {
	return strings.Replace(requestCommand("lookup", customer), "spread=1", "spread=2", 1)
}

// TestSharedCounterEnforcesCapOrFallsBackToEstimate checks that a quota plan with a cap on requests in flight and no
// rate asks the shared counter. A counter that refuses, is silent, sends malformed replies or is gone delays nothing:
// the local estimate decides.
func TestSharedCounterEnforcesCapOrFallsBackToEstimate(t *testing.T) {
	retryWhenSlow(t, func() string {
		counter := newCounterServer(t)
		gateway := startCountingGateway(t, counter)
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
				t.Errorf("the counter replies %q: %s", reply, a)
			}
		}
		counter.Close()
		gateway.waitForLog("event=counter_lost")
		if a := c.roundTrip(lookupAtTwoGateways(20)); a != "v" {
			t.Errorf("the counter is gone: %s", a)
		}
		return ""
	})
}

// checkCapByCounter sends a request within the cap and one beyond it, and checks the commands that the counter
// received.
func checkCapByCounter(t *testing.T, c *testClient, counter *counterServer) (slow string) {
	began := time.Now()
	if a := c.roundTrip(lookupAtTwoGateways(1)); a != "v" {
		t.Errorf("the first of two: %s", a)
	}
	counter.setReply("$1\r\n3\r\n")
	a := c.roundTrip(lookupAtTwoGateways(2))
	if elapsed := time.Since(began); elapsed > 50*time.Millisecond { // the gateway may have given up the calls
		return fmt.Sprintf("the counter was asked twice in %v", elapsed)
	}
	if !strings.HasPrefix(a, "-BUSY") {
		t.Errorf("the third of two: %s", a)
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
