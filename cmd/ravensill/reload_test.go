package main

import (
	"net"
	"strings"
	"syscall"
	"testing"
)

// SIGHUP: the new address of discovery is followed at once, though the environment names the one of the start;
// the list, reqs and connections stay; a faulty file changes nothing; what the old address still says is not heard.
func TestReload(t *testing.T) {
	came, gate := make(chan struct{}), make(chan struct{})
	a := newHost(t, func(cmd []string) string {
		if cmd[1] == "0000000000000001" {
			close(came)
			<-gate
		}
		return passed("v")
	})
	b := newHost(t, func([]string) string { return passed("of b") })
	w := start(t, nil, a)
	take(w, w.asked)
	old := take(w, w.watches)
	c := w.client()
	c.send(call("order", 1))
	take(w, came)
	good := w.cfg["discovery"]
	for _, bad := range []any{"nowhere", 7} {
		w.cfg["discovery"] = bad
		w.write()
		w.cmd.Process.Signal(syscall.SIGHUP)
		if l := w.line("event=reload_failed"); !strings.Contains(l, `error="discovery: `) {
			t.Errorf("the line does not name the key: %s", l)
		}
	}
	next, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer next.Close()
	go w.discover(next)
	w.cfg["discovery"] = next.Addr().String()
	w.write()
	w.cmd.Process.Signal(syscall.SIGHUP)
	w.line("event=reloaded discovery=" + next.Addr().String() + " version=41 others_changed=false")
	if ask := take(w, w.asked); !strings.Contains(ask, "after=41 ") {
		t.Errorf("asked for the list with %q", ask)
	}
	watch := take(w, w.watches)
	list(old, 42, entry("h0", "", "left"))
	list(watch, 43, entry("h0", a.Addr().String(), "leaving"), entry("h1", b.Addr().String(), "active"))
	if l := w.line("event=host id="); !strings.Contains(l, "id=h0 state=draining version=43") {
		t.Errorf("the old address was heard: %s", l)
	}
	if a := w.client().ask(call("lookup", 2)); a != "of b" {
		t.Errorf("after the list came from the new address: %s", a)
	}
	close(gate)
	if a := c.answer(); a != "v" {
		t.Errorf("open during the reload: %s", a)
	}
	w.cfg["discovery"] = good
	w.cfg["limits"] = map[string]any{"memory_mb": 64}
	w.write()
	w.cmd.Process.Signal(syscall.SIGHUP)
	w.line("others_changed=true")
	if ask := take(w, w.asked); !strings.Contains(ask, "after=43 ") {
		t.Errorf("asked for the list with %q", ask)
	}
	list(take(w, w.watches), 42, entry("h0", a.Addr().String(), "active")) // it is behind
	w.line("event=list_older version=42 had=43")
	w.line("event=host id=h0 state=draining version=42")
	for i := range 8 {
		if a := w.client().ask(call("lookup", 10+i)); a != "of b" {
			t.Errorf("a list older than had put the host back that leaves: %s", a)
		}
	}
}
