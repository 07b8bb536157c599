package main

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"
)

// TestPipelinedCommandsAreAnsweredInOrder sends many commands on one connection: answers come in their order, values
// byte for byte, and a host receives the body and the time left.
func TestPipelinedCommandsAreAnsweredInOrder(t *testing.T) {
	secondArrived := make(chan struct{})
	host := newHost(t, func(command []string) string {
		switch command[1] {
		case "0000000000000001":
			<-secondArrived // the first command is answered last
		case "0000000000000002":
			defer close(secondArrived)
		}
		return successReply("of " + command[1] + "\r\n\x00$-1\r\n")
	})
	gateway := startGateway(t, nil, host)
	c := gateway.connect()
	if a := c.roundTrip(respArray("PING")); a != "+PONG" {
		t.Fatal(a)
	}
	sent := time.Now()
	c.send(
		requestCommand("lookup", 1),
		respArray("EVAL", "x"),
		requestCommand("order", 2, "BO\r\nDY"),
		respArray("PING"),
	)
	for _, want := range []string{
		"of 0000000000000001\r\n\x00$-1\r\n",
		`-ERR unknown command "EVAL"`,
		"of 0000000000000002\r\n\x00$-1\r\n",
		"+PONG",
	} {
		if a := c.readAnswer(); a != want {
			t.Errorf("%q, not %q", a, want)
		}
	}
	elapsed := time.Since(sent)
	for _, command := range host.takeReceived() {
		if command[0] == "CALL.POST" {
			checkForwardedOrder(t, command, elapsed)
		}
	}
}

// checkForwardedOrder checks the command that a host received for a request with a body, which was sent no longer than
// elapsed before.
func checkForwardedOrder(t *testing.T, command []string, elapsed time.Duration) {
	if len(command) != 5 || command[4] != "BO\r\nDY" {
		t.Errorf("forwarded as %q", command)
		return
	}
	const form = "c=order,t=team,d=%d,k=00ff,units=1,spread=1,first=0"
	const clientWait = 3 * time.Second
	left := 0 // milliseconds
	fmt.Sscanf(command[3], form, &left)
	longest := int(clientWait.Milliseconds())
	shortest := int((clientWait - elapsed).Milliseconds()) - 1
	if command[3] != fmt.Sprintf(form, left) || left > longest || left < shortest {
		t.Errorf("forwarded as %q, %v after it was sent", command[3], elapsed)
	}
}

// TestRequestBeyondQuotaIsRejectedWithRetryAfter spends a burst of 8.
func TestRequestBeyondQuotaIsRejectedWithRetryAfter(t *testing.T) {
	host := valueHost(t)
	c := startGateway(t, nil, host).connect()
	for i := range 8 {
		if a := c.roundTrip(requestCommand("lookup", 3)); a != "v" {
			t.Errorf("request %d within the quota: %s", i, a)
		}
	}
	a := c.roundTrip(requestCommand("lookup", 3))
	if !strings.HasPrefix(a, "-BUSY ") || len(host.takeReceived()) != 8 {
		t.Fatalf("beyond the quota: %s", a)
	}
	retryAfterMS := 0
	fmt.Sscanf(a, "-BUSY %d", &retryAfterMS)
	if retryAfterMS < 1000 {
		t.Errorf("retry after %d ms", retryAfterMS)
	}
}

// TestMalformedStreamEndsOnlyItsConnection sends a stream whose next command can't be found.
func TestMalformedStreamEndsOnlyItsConnection(t *testing.T) {
	gateway := startGateway(t, nil, valueHost(t))
	other := gateway.connect()
	malformed := gateway.connect()
	malformed.send("*1\r\n:9\r\n", requestCommand("lookup", 4))
	a, end := malformed.readAnswer(), malformed.readAnswer()
	if !strings.HasPrefix(a, "-ERR") || end != "EOF" {
		t.Errorf("malformed stream: %q, then %q", a, end)
	}
	if a := other.roundTrip(respArray("PING")); a != "+PONG" {
		t.Errorf("another client: %s", a)
	}
}

// TestRetriesOnlyWhereHarmless checks the answer after each outcome of an attempt: a retry follows only if the host ran
// nothing or a repeat is harmless.
func TestRetriesOnlyWhereHarmless(t *testing.T) {
	for _, test := range []struct {
		class      string // request class
		firstReply string // of the host that gets the first attempt
		want       string // prefix of the client's answer
		attempts   int
	}{
		{"pay", "-BUSY\r\n", "value", 2},                     // never ran: the next host
		{"pay", "-ERR failed\r\n", "-ERR", 1},                // may have run
		{"pay", "close", "-ERR", 1},                          // may have run
		{"pay", "%3\r\n", "-ERR", 1},                         // malformed
		{"pay", successReply("v")[:20] + "close", "-ERR", 1}, // cut short
		{"lookup", "close", "-BUSY", 1},                      // harmless, but no retry budget yet
		{"quick", "", "-BUSY", 1},                            // no answer by the latency objective
		{"order", "$-1\r\n", "-BUSY", 1},                     // null is no value; deduplicated by all hosts
		{"pay", "*1\r\n$-1\r\n", "-ERR", 1},                  // null is no value
		{"pay", "-BUSY used=9 x=2\r\n", "value", 2},          // usage in an error line
	} {
		t.Run(fmt.Sprintf("%s %.12q", test.class, test.firstReply), func(t *testing.T) {
			var mu sync.Mutex
			attempts := 0
			reply := func([]string) string {
				mu.Lock()
				defer mu.Unlock()
				attempts++
				if attempts > 1 {
					return successReply("value")
				}
				return test.firstReply
			}
			a, b := newHost(t, reply), newHost(t, reply)
			c := startGateway(t, nil, a, b).connect()
			if got := c.roundTrip(requestCommand(test.class, 1)); !strings.HasPrefix(got, test.want) {
				t.Errorf("%s, %q: %s", test.class, test.firstReply, got)
			}
			if got := len(a.takeReceived()) + len(b.takeReceived()); got != test.attempts {
				t.Errorf("%s, %q: %d attempts", test.class, test.firstReply, got)
			}
			if test.firstReply == "" {
				checkDisconnected(t, a, b)
			}
		})
	}
}

// checkDisconnected waits until the gateway closes a connection to one of two hosts: the host of a canceled attempt may
// stop its work.
func checkDisconnected(t *testing.T, a, b *testHost) {
	select {
	case <-a.disconnected:
	case <-b.disconnected:
	case <-time.After(waitLimit):
		t.Error("the attempt was canceled, but its connection stays")
	}
}

// TestDisconnectedClientDelaysNoOther checks that other clients are served while the attempt of one that disconnected
// ends.
func TestDisconnectedClientDelaysNoOther(t *testing.T) {
	host, received, release := newBlockingHost(t)
	gateway := startGateway(t, nil, host)
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

// TestRefusedConnectionFailsNoRequest checks that a host that refuses connections fails no request, not even one that
// must not run twice.
func TestRefusedConnectionFailsNoRequest(t *testing.T) {
	a, b := newHost(t, nil), valueHost(t)
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
