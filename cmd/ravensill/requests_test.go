package main

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"
)

// TestServe sends many commands on one connection: answers come in their order, values byte for byte, rejections with a
// retry-after time.
func TestServe(t *testing.T) {
	gate := make(chan struct{})
	h := newHost(t, func(cmd []string) string {
		if cmd[1] == "0000000000000001" {
			<-gate // the first is answered last
		} else if cmd[1] == "0000000000000002" {
			defer close(gate)
		}
		return successReply("of " + cmd[1] + "\r\n\x00$-1\r\n")
	})
	gateway := startGateway(t, nil, h)
	c := gateway.connect()
	if a := c.roundTrip(respArray("PING")); a != "+PONG" {
		t.Fatal(a)
	}
	sent := time.Now()
	c.send(requestCommand("lookup", 1), respArray("EVAL", "x"), requestCommand("order", 2, "BO\r\nDY"), respArray("PING"))
	for _, want := range []string{"of 0000000000000001\r\n\x00$-1\r\n", `-ERR unknown command "EVAL"`, "of 0000000000000002\r\n\x00$-1\r\n", "+PONG"} {
		if a := c.readAnswer(); a != want {
			t.Errorf("%q, not %q", a, want)
		}
	}
	passed := time.Since(sent)
	for _, cmd := range h.takeReceived() {
		if cmd[0] != "CALL.POST" {
			continue
		}
		if len(cmd) != 5 || cmd[4] != "BO\r\nDY" {
			t.Errorf("passed on as %q", cmd)
			continue
		}
		const form = "c=order,t=team,d=%d,k=00ff,units=1,spread=1,first=0"
		left := 0 // milliseconds
		fmt.Sscanf(cmd[3], form, &left)
		if wait := 3 * time.Second; cmd[3] != fmt.Sprintf(form, left) || left > int(wait.Milliseconds()) || left < int((wait-passed).Milliseconds())-1 {
			t.Errorf("passed on as %q, %v after it was sent", cmd[3], passed)
		}
	}
	for i := range 8 {
		if a := c.roundTrip(requestCommand("lookup", 3)); !strings.HasPrefix(a, "of ") {
			t.Errorf("request %d inside the quota: %s", i, a)
		}
	}
	var ms int
	if a := c.roundTrip(requestCommand("lookup", 3)); !strings.HasPrefix(a, "-BUSY ") || len(h.takeReceived()) != 8 {
		t.Errorf("beyond the quota: %s", a)
	} else if fmt.Sscanf(a, "-BUSY %d", &ms); ms < 1000 {
		t.Errorf("come back after %d ms", ms)
	}
	bad := gateway.connect()
	bad.send("*1\r\n:9\r\n", requestCommand("lookup", 4))
	if a, end := bad.readAnswer(), bad.readAnswer(); !strings.HasPrefix(a, "-ERR") || end != "EOF" {
		t.Errorf("stream that can't be trusted: %q, then %q", a, end)
	}
	if a := c.roundTrip(respArray("PING")); a != "+PONG" {
		t.Errorf("another client's rubbish cost this one: %s", a)
	}
}

// TestDispatches checks what follows each outcome of an attempt: a retry only if the host ran nothing or a repeat is harmless.
func TestDispatches(t *testing.T) {
	for _, test := range []struct {
		class      string // request class
		firstReply string // of the host that gets the first attempt
		want       string // prefix of the client's answer
		attempts   int
	}{
		{"pay", "-BUSY\r\n", "value", 2},                     // never ran: the next host
		{"pay", "-ERR failed\r\n", "-ERR", 1},                // may have run
		{"pay", "close", "-ERR", 1},                          // so may this
		{"pay", "%3\r\n", "-ERR", 1},                         // malformed
		{"pay", successReply("v")[:20] + "close", "-ERR", 1}, // cut short
		{"lookup", "close", "-BUSY", 1},                      // harmless, but no repeat in stock yet
		{"quick", "", "-BUSY", 1},                            // no answer by the latency objective
		{"order", "$-1\r\n", "-BUSY", 1},                     // null is no value; keyed for all hosts
		{"pay", "*1\r\n$-1\r\n", "-ERR", 1},                  // nor here
		{"pay", "-BUSY used=9 x=2\r\n", "value", 2},          // figures in an error line
	} {
		var mu sync.Mutex
		n := 0
		answer := func(cmd []string) string {
			mu.Lock()
			defer mu.Unlock()
			if n++; n > 1 {
				return successReply("value")
			}
			return test.firstReply
		}
		a, b := newHost(t, answer), newHost(t, answer)
		gateway := startGateway(t, nil, a, b)
		c := gateway.connect()
		if got := c.roundTrip(requestCommand(test.class, 1)); !strings.HasPrefix(got, test.want) {
			t.Errorf("%s, %q: %s", test.class, test.firstReply, got)
		}
		if got := len(a.takeReceived()) + len(b.takeReceived()); got != test.attempts {
			t.Errorf("%s, %q: %d attempts", test.class, test.firstReply, got)
		}
		if test.firstReply == "" {
			select { // an attempt given up ends its connection: the host may stop its work
			case <-a.disconnected:
			case <-b.disconnected:
			case <-time.After(waitLimit):
				t.Error("given up, but its connection stays")
			}
		}
	}
}

// TestLeft checks that a client that disconnects is owed nothing, and that others are served while its attempt ends.
func TestLeft(t *testing.T) {
	h, received, release := newBlockingHost(t)
	gateway := startGateway(t, nil, h)
	c := gateway.connect()
	c.send(requestCommand("order", 1), requestCommand("lookup", 2))
	receive(gateway, received)
	c.Close()
	close(release)
	for i := range 5 {
		if a := gateway.connect().roundTrip(requestCommand("lookup", 10+i)); a != "v" {
			t.Error(a)
		}
	}
}

// TestRefused checks that a host that refuses connections costs no request, not even one that must not run twice.
func TestRefused(t *testing.T) {
	a, b := newHost(t, nil), newHost(t, func([]string) string { return successReply("v") })
	a.Close()
	gateway := startGateway(t, nil, a, b)
	c := gateway.connect()
	for i := range 20 {
		if got := c.roundTrip(requestCommand("pay", i)); got != "v" {
			t.Fatal(got)
		}
	}
	gateway.waitForLog("event=host_failing addr=" + a.Addr().String() + " stage=connecting")
}
