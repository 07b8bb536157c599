package main

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"
)

// TestPipelinedCommandsAreAnsweredInOrder sends several commands on one connection without waiting for answers. It
// guards against answers in another order, altered values, and a host that gets an altered body or a wrong time left.
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
			t.Errorf("the answer is %q, want %q", a, want)
		}
	}
	elapsed := time.Since(sent)
	for _, command := range host.takeReceived() {
		if command[0] == "CALL.POST" {
			checkForwardedOrder(t, command, elapsed)
		}
	}
}

// checkForwardedOrder checks the command that a host received for a request with a body. The client sent the request at
// most elapsed ago, so that its time left may have decreased by that.
func checkForwardedOrder(t *testing.T, command []string, elapsed time.Duration) {
	if len(command) != 5 || command[4] != "BO\r\nDY" {
		t.Errorf("the request was forwarded as %q", command)
		return
	}
	const form = "c=order,t=team,d=%d,k=00ff,units=1,spread=1,first=0"
	const clientWait = 3 * time.Second
	remaining := 0 // milliseconds
	fmt.Sscanf(command[3], form, &remaining)
	longest := int(clientWait.Milliseconds())
	shortest := int((clientWait - elapsed).Milliseconds()) - 1
	if command[3] != fmt.Sprintf(form, remaining) || remaining > longest || remaining < shortest {
		t.Errorf("the request was forwarded with %q at most %v after it was sent", command[3], elapsed)
	}
}

// TestRequestBeyondQuotaIsRejectedWithRetryAfter spends the burst of 8 units. It guards against a further request that
// is forwarded, or rejected without a time to retry after.
func TestRequestBeyondQuotaIsRejectedWithRetryAfter(t *testing.T) {
	host := valueHost(t)
	c := startGateway(t, nil, host).connect()
	for i := range 8 {
		if a := c.roundTrip(requestCommand("lookup", 3)); a != "v" {
			t.Errorf("request %d within the quota is answered %s", i, a)
		}
	}
	a := c.roundTrip(requestCommand("lookup", 3))
	if !strings.HasPrefix(a, "-BUSY ") || len(host.takeReceived()) != 8 {
		t.Fatalf("the request beyond the quota is answered %s, or was forwarded", a)
	}
	retryAfterMS := 0
	fmt.Sscanf(a, "-BUSY %d", &retryAfterMS)
	if retryAfterMS < 1000 {
		t.Errorf("the time to retry after is %d ms, want at least 1000", retryAfterMS)
	}
}

// TestMalformedStreamEndsOnlyItsConnection guards against a malformed stream that affects other clients, or is read
// further although the start of its next command can't be found.
func TestMalformedStreamEndsOnlyItsConnection(t *testing.T) {
	gateway := startGateway(t, nil, valueHost(t))
	other := gateway.connect()
	malformed := gateway.connect()
	malformed.send("*1\r\n:9\r\n", requestCommand("lookup", 4))
	a, end := malformed.readAnswer(), malformed.readAnswer()
	if !strings.HasPrefix(a, "-ERR") || end != "EOF" {
		t.Errorf("the malformed stream is answered %q, then %q, want -ERR, then EOF", a, end)
	}
	if a := other.roundTrip(respArray("PING")); a != "+PONG" {
		t.Errorf("another client reads %s, want +PONG", a)
	}
}

// TestRetriesOnlyWhereHarmless guards against retries that run a request twice: an attempt is retried only if the host
// did not run it, or if running it again is harmless. Each case is one outcome of the first attempt.
func TestRetriesOnlyWhereHarmless(t *testing.T) {
	for _, test := range []struct {
		class      string // request class
		firstReply string // reply of the host that gets the first attempt
		want       string // prefix of the client's answer
		attempts   int    // expected number of attempts
	}{
		{"pay", "-BUSY\r\n", "value", 2},                     // the host did not run it: retried at the next host
		{"pay", "-ERR failed\r\n", "-ERR", 1},                // the host may have run it
		{"pay", "close", "-ERR", 1},                          // the host may have run it
		{"pay", "%3\r\n", "-ERR", 1},                         // malformed reply
		{"pay", successReply("v")[:20] + "close", "-ERR", 1}, // incomplete reply
		{"lookup", "close", "-BUSY", 1},                      // a retry is harmless, but there is no retry budget yet
		{"quick", "", "-BUSY", 1},                            // no reply within the latency objective
		{"order", "$-1\r\n", "-BUSY", 1},                     // null is no valid value; all hosts deduplicate orders
		{"pay", "*1\r\n$-1\r\n", "-ERR", 1},                  // null is no valid value
		{"pay", "-BUSY used=9 x=2\r\n", "value", 2},          // an error line with a load report
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
				t.Errorf("class %s, first reply %q: the answer is %s", test.class, test.firstReply, got)
			}
			if got := len(a.takeReceived()) + len(b.takeReceived()); got != test.attempts {
				t.Errorf("class %s, first reply %q: %d attempts", test.class, test.firstReply, got)
			}
			if test.firstReply == "" {
				checkDisconnected(t, a, b)
			}
		})
	}
}

// checkDisconnected waits until the gateway closes a connection to one of two hosts. That tells the host of a canceled
// attempt to stop its work.
func checkDisconnected(t *testing.T, a, b *testHost) {
	select {
	case <-a.disconnected:
	case <-b.disconnected:
	case <-time.After(waitLimit):
		t.Error("the connection of the canceled attempt is still open")
	}
}

// TestDisconnectedClientDelaysNoOther guards against a client that disconnects during its request and delays other
// clients: they must be served while its attempt ends.
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

// TestRefusedConnectionFailsNoRequest guards against requests that fail because a host refuses connections. Even a
// request that must not run twice is then retried at another host.
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
