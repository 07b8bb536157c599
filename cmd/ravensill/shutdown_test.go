package main

import (
	"bufio"
	"fmt"
	"net"
	"syscall"
	"testing"
	"time"
)

// Called to stop, it goes on taking in for a while, answers what it has, and ends each connection after that.
func TestStop(t *testing.T) {
	tried(t, func() string {
		came, later, gate := make(chan struct{}), make(chan struct{}), make(chan struct{})
		h := newHost(t, func(cmd []string) string {
			switch cmd[1] {
			case "0000000000000001":
				close(came)
				<-gate
			case "0000000000000003":
				close(later)
			}
			return passed("v")
		})
		w := start(t, nil, h)
		idle, busy := w.client(), w.client()
		idle.ask(array("PING"))
		busy.send(call("order", 1))
		take(w, came)
		called := time.Now()
		w.cmd.Process.Signal(syscall.SIGTERM)
		w.line("event=stopping")
		if c, err := net.Dial("tcp4", w.addr); err == nil {
			defer c.Close()
			late := &client{w, c, bufio.NewReader(c)}
			if a := late.ask(call("lookup", 2)); a != "v" && time.Since(called) < 300*time.Millisecond {
				t.Errorf("new after the call to stop: %s", a)
			}
		} else if time.Since(called) < 300*time.Millisecond { // a machine that stood still tells nothing
			t.Error(err)
		}
		w.line("event=closed_to_new")
		answers := make(chan string, 2)
		go func() {
			for range 2 {
				answers <- busy.answer()
			}
		}()
		busy.send(call("lookup", 3)) // taken in while the one before is open
		select {
		case <-later:
		case a := <-answers:
			close(gate)
			return inTime(t, called, fmt.Sprintf("%q, and the host has not had what came later", a))
		}
		close(gate)
		for range 2 {
			if a := take(w, answers); a != "v" {
				return inTime(t, called, fmt.Sprintf("%q, not v", a))
			}
		}
		idle.Close()
		busy.Close()
		if err := take(w, w.exit); err != nil {
			t.Error(err)
		}
		return ""
	})
}

// Clients that don't look for the end of the stream go on sending on all that they have open. Of 40 with a command
// at a time each lost one: its connection was half-closed, and what crossed the close was dropped unanswered. Each
// command has its answer now, long after the listener closed. All connections end before a platform may kill.
func TestStopServesOpenConnections(t *testing.T) {
	tried(t, func() string {
		h := newHost(t, func([]string) string { return passed("v") })
		w := start(t, func(_, settings map[string]any) { settings["plans"].([]any)[0].(map[string]any)["burst"] = 1e6 }, h)
		var all []*client
		for range 40 {
			all = append(all, w.client())
		}
		n := 0
		round := func() (served int) { // one command each
			for _, c := range all {
				if n++; c.ask(call("lookup", n)) == "v" {
					served++
				}
			}
			return served
		}
		round()
		called := time.Now()
		w.cmd.Process.Signal(syscall.SIGTERM)
		w.line("event=closed_to_new")
		for i := range 3 {
			if served := round(); served < len(all) {
				return inTime(t, called, fmt.Sprintf("round %d after the listener closed: %d of %d have an answer", i, served, len(all)))
			}
		}
		for _, c := range all { // by itself
			if a := c.answer(); a != "EOF" {
				t.Errorf("at last: %s", a)
			}
		}
		if err := take(w, w.exit); err != nil {
			t.Error(err)
		}
		return ""
	})
}
