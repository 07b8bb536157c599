package main

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"
)

// Many commands on one connection: answers in their order, values byte for byte, denials with a time to come back.
func TestServe(t *testing.T) {
	gate := make(chan struct{})
	h := newHost(t, func(cmd []string) string {
		if cmd[1] == "0000000000000001" {
			<-gate // the first is answered last
		} else if cmd[1] == "0000000000000002" {
			defer close(gate)
		}
		return passed("of " + cmd[1] + "\r\n\x00$-1\r\n")
	})
	w := start(t, nil, h)
	c := w.client()
	if a := c.ask(array("PING")); a != "+PONG" {
		t.Fatal(a)
	}
	c.send(call("lookup", 1), array("EVAL", "x"), call("order", 2, "BO\r\nDY"), array("PING"))
	for _, want := range []string{"of 0000000000000001\r\n\x00$-1\r\n", `-ERR unknown command "EVAL"`, "of 0000000000000002\r\n\x00$-1\r\n", "+PONG"} {
		if a := c.answer(); a != want {
			t.Errorf("%q, not %q", a, want)
		}
	}
	for _, cmd := range h.got() {
		if cmd[0] == "CALL.POST" && (len(cmd) != 5 || cmd[4] != "BO\r\nDY" || cmd[3] != "c=order,t=team,d=3000,k=00ff,units=1,spread=1,first=0") {
			t.Errorf("passed on as %q", cmd)
		}
	}
	for i := range 8 {
		if a := c.ask(call("lookup", 3)); !strings.HasPrefix(a, "of ") {
			t.Errorf("req %d inside the quota: %s", i, a)
		}
	}
	var ms int
	if a := c.ask(call("lookup", 3)); !strings.HasPrefix(a, "-BUSY ") || len(h.got()) != 8 {
		t.Errorf("beyond the quota: %s", a)
	} else if fmt.Sscanf(a, "-BUSY %d", &ms); ms < 1000 {
		t.Errorf("come back after %d ms", ms)
	}
	bad := w.client()
	bad.send("*1\r\n:9\r\n", call("lookup", 4))
	if a, end := bad.answer(), bad.answer(); !strings.HasPrefix(a, "-ERR") || end != "EOF" {
		t.Errorf("stream that can't be trusted: %q, then %q", a, end)
	}
	if a := c.ask(array("PING")); a != "+PONG" {
		t.Errorf("another client's rubbish cost this one: %s", a)
	}
}

// What a host does to a dispatch, and what may follow: a repeat only where nothing ran or a repeat is harmless.
func TestDispatches(t *testing.T) {
	for _, x := range []struct {
		front, first, want string
		dispatches         int
	}{
		{"pay", "-BUSY\r\n", "value", 2},               // never ran: the next host
		{"pay", "-ERR failed\r\n", "-ERR", 1},          // may have run
		{"pay", "close", "-ERR", 1},                    // so may this
		{"pay", "%3\r\n", "-ERR", 1},                   // malformed
		{"pay", passed("v")[:20] + "close", "-ERR", 1}, // cut short
		{"lookup", "close", "-BUSY", 1},                // harmless, but no repeat in stock yet
		{"quick", "", "-BUSY", 1},                      // no answer by the response target
		{"order", "$-1\r\n", "-BUSY", 1},               // null is no value; keyed for all hosts
		{"pay", "*1\r\n$-1\r\n", "-ERR", 1},            // nor here
		{"pay", "-BUSY used=9 x=2\r\n", "value", 2},    // figures in an error line
	} {
		var mu sync.Mutex
		n := 0
		answer := func(cmd []string) string {
			mu.Lock()
			defer mu.Unlock()
			if n++; n > 1 {
				return passed("value")
			}
			return x.first
		}
		a, b := newHost(t, answer), newHost(t, answer)
		w := start(t, nil, a, b)
		c := w.client()
		if got := c.ask(call(x.front, 1)); !strings.HasPrefix(got, x.want) {
			t.Errorf("%s, %q: %s", x.front, x.first, got)
		}
		if got := len(a.got()) + len(b.got()); got != x.dispatches {
			t.Errorf("%s, %q: %d dispatches", x.front, x.first, got)
		}
		if x.first == "" {
			select { // a dispatch given up ends its connection: the host may stop its work
			case <-a.closed:
			case <-b.closed:
			case <-time.After(patience):
				t.Error("given up, but its connection stays")
			}
		}
	}
}

// A client that goes away is owed nothing; its dispatch ends as it ends, and others are served.
func TestLeft(t *testing.T) {
	h, came, gate := holding(t)
	w := start(t, nil, h)
	c := w.client()
	c.send(call("order", 1), call("lookup", 2))
	take(w, came)
	c.Close()
	close(gate)
	for i := range 5 {
		if a := w.client().ask(call("lookup", 10+i)); a != "v" {
			t.Error(a)
		}
	}
}

// A host that refuses connections costs no req, not even one that must not run twice.
func TestRefused(t *testing.T) {
	a, b := newHost(t, nil), newHost(t, func([]string) string { return passed("v") })
	a.Close()
	w := start(t, nil, a, b)
	c := w.client()
	for i := range 20 {
		if got := c.ask(call("pay", i)); got != "v" {
			t.Fatal(got)
		}
	}
	w.line("event=host_failing addr=" + a.Addr().String() + " stage=connecting")
}
