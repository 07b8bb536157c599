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

// Descriptors are few: the longest idle client makes room for the next.
func TestRoom(t *testing.T) {
	w := start(t, func(cfg, _ map[string]any) { cfg["limits"] = map[string]any{"sockets": 64} },
		newHost(t, func([]string) string { return "" }))
	first := w.client()
	first.ask(array("PING"))
	for range 31 {
		w.client().ask(array("PING"))
	}
	next := w.client()
	next.send(array("PING"))
	if a := first.answer(); a != "EOF" {
		t.Errorf("the longest idle: %s", a)
	}
	first.Close()
	if a := next.answer(); a != "+PONG" {
		t.Errorf("the next: %s", a)
	}
}

// Bad clients get an error line, then a close, in time; nothing of theirs reaches a host, and usual clients are served.
func TestBadClients(t *testing.T) {
	h := newHost(t, func([]string) string { return passed("v") })
	w := start(t, nil, h)
	good := call("lookup", 1)
	var all []*client
	began := time.Now()
	for _, text := range []string{"", good[:40], "*4\r\n$8\r\nCALL.GET\r\n$60000000\r\n" + strings.Repeat("v", 1<<20), strings.Repeat("x", 9000), "*" + strings.Repeat("9", 9000),
		strings.Repeat(strings.Replace(good, "lookup", "lookus", 1), 600)} {
		c := w.client()
		all = append(all, c)
		go c.send(text)
	}
	for i, c := range all {
		a := c.answer()
		if !strings.HasPrefix(a, "-ERR ") {
			t.Errorf("bad client %d: %s", i, a)
		}
		for strings.HasPrefix(a, "-ERR ") {
			a = c.answer()
		}
		if a != "EOF" && !strings.Contains(a, "reset") {
			t.Errorf("bad client %d, at its end: %s", i, a)
		}
	}
	if d := time.Since(began); d < 1500*time.Millisecond { // the silent one had its time
		t.Errorf("all turned away after %v", d)
	}
	if cmds := h.got(); len(cmds) > 0 {
		t.Errorf("passed on: %q", cmds)
	}
	if a := w.client().ask(good); a != "v" {
		t.Errorf("a usual client: %s", a)
	}
}

// Many more clients than places ask once, stay, and don't close when the gateway does: none waits for another's end.
func TestStayingCrowd(t *testing.T) {
	tried(t, func() string {
		w := start(t, func(cfg, _ map[string]any) { cfg["limits"] = map[string]any{"sockets": 64} },
			newHost(t, func([]string) string { return passed("v") }))
		var waits []time.Duration
		for i := range 150 {
			began := time.Now()
			if a := w.client().ask(call("lookup", i)); a != "v" {
				t.Fatal(a)
			}
			waits = append(waits, time.Since(began))
		}
		slices.Sort(waits[:20]) // places were free
		slices.Sort(waits[20:])
		if free, d := waits[10], waits[85]; d > 10*free+5*time.Millisecond { // none waits for another to close
			return fmt.Sprintf("half of them waited %v and more, with places free %v", d, free)
		}
		return ""
	})
}

// One that asked before is kept when a crowd asks once and stays; left idle, each connection ends.
func TestRegularClient(t *testing.T) {
	tried(t, func() string {
		w := start(t, func(cfg, _ map[string]any) { cfg["limits"] = map[string]any{"sockets": 64} },
			newHost(t, func([]string) string { return passed("v") }))
		regular := w.client()
		regular.ask(array("PING"))
		said := time.Now()
		regular.ask(array("PING"))
		for i := range 60 { // three times the places
			w.client().ask(call("lookup", i))
		}
		if a := regular.ask(call("lookup", 100)); a != "v" {
			if d := time.Since(said); d > 2*time.Second { // idle for too long by then
				return fmt.Sprintf("%s after %v", a, d)
			}
			t.Errorf("gave way to the crowd: %s", a)
		}
		if a := regular.answer(); a != "EOF" { // without a line
			t.Errorf("left idle: %s", a)
		}
		return ""
	})
}

// Silent clients take all places: they make room for one that asks, and it is served at once.
func TestSilentCrowd(t *testing.T) {
	tried(t, func() string {
		w := start(t, func(cfg, _ map[string]any) { cfg["limits"] = map[string]any{"sockets": 64} },
			newHost(t, func([]string) string { return passed("v") }))
		var crowd []*client
		for range 80 {
			crowd = append(crowd, w.client())
		}
		began := time.Now()
		if a := w.client().ask(call("lookup", 1)); a != "v" {
			t.Error(a)
		}
		if d := time.Since(began); d > 1500*time.Millisecond { // the crowd's own time was not up
			return fmt.Sprintf("served after %v", d)
		}
		if a := crowd[0].answer(); a != "EOF" && !strings.Contains(a, "reset") {
			t.Errorf("the first of the crowd: %s", a)
		}
		return ""
	})
}

// Silent clients fill the descriptors while discovery is down, and the system allows fewer of them than the configuration
// says: the watch is back with the agent, what it tells is kept, and clients that ask get in, at hosts too.
func TestDescriptorsFilled(t *testing.T) {
	answer := func([]string) string { return passed("v") }
	a, b := newHost(t, answer), newHost(t, answer)
	w := start(t, func(cfg, _ map[string]any) { cfg["ulimit"] = 64 }, a, b)
	w.line("event=few_descriptors limit=64 sockets=1024")
	take(w, w.asked)
	watch := take(w, w.watches)
	w.agent.Close()
	watch.Close()
	w.line("event=watch_lost")
	for range 100 {
		w.client()
	}
	w.line("event=clients_full") // of their own part, far below the configuration's
	if a := w.client().ask(array("PING")); a != "+PONG" {
		t.Errorf("with the descriptors filled: %s", a)
	}
	agent, err := net.Listen("tcp4", w.agent.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer agent.Close()
	go w.discover(agent)
	take(w, w.asked)
	list(take(w, w.watches), 42, entry("h0", a.Addr().String(), "leaving"))
	w.line("event=host id=h0 state=draining version=42")
	for i := range 8 {
		w.client() // one that is silent before each that asks
		if got := w.client().ask(call("lookup", i)); got != "v" || len(a.got()) > 0 {
			t.Errorf("%s, or sent to the host that leaves", got)
		}
	}
}

// A client that reads nothing is cut off once too much waits for it, and costs no other client anything.
func TestSlowClient(t *testing.T) {
	large := passed(strings.Repeat("v", 60<<10))
	w := start(t, func(_, settings map[string]any) {
		settings["plans"] = []any{map[string]any{"name": "team", "worth_factor": 1}} // no quota
	}, newHost(t, func([]string) string { return large }))
	slow := w.client()
	go func() {
		for err := error(nil); err == nil; {
			_, err = io.WriteString(slow.Conn, call("lookup", 1))
		}
	}()
	w.line(`event=client_fault error="answers are read too slowly"`)
	if a := w.client().ask(array("PING")); a != "+PONG" {
		t.Error(a)
	}
}
