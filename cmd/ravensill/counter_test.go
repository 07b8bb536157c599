package main

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"
)

// A plan with an open cap and no rate asks the shared counter. A counter that refuses, is silent, garbles or is gone
// holds nothing up: the guess decides.
func TestCounter(t *testing.T) {
	tried(t, func() string {
		h := newHost(t, func([]string) string { return passed("v") })
		var mu sync.Mutex
		reply := "$1\r\n1\r\n"
		say := func(s string) { mu.Lock(); defer mu.Unlock(); reply = s }
		server := newHost(t, func(cmd []string) string {
			mu.Lock()
			defer mu.Unlock()
			switch {
			case reply == "": // silent
				return ""
			case cmd[0] == "PEXPIRE":
				return ":1\r\n"
			case cmd[2] == "-1":
				return "$1\r\n0\r\n"
			}
			return reply
		})
		server.ordered = true
		w := start(t, func(cfg, settings map[string]any) {
			settings["balancers"] = 2
			cfg["peer_listen"], cfg["peers"] = "127.0.0.1:0", []string{"127.0.0.1:1", "127.0.0.1:2"}
			cfg["counter"] = server.Addr().String()
			settings["family_info"] = map[string]any{"mail_per_s": 40, "shared_counter": true, "count_wait_us": 50000}
			settings["plans"] = []any{map[string]any{"name": "team", "parallel": 2, "beyond_costs": 0.5, "worth_factor": 1}}
		}, h)
		w.line("event=counter_back")
		c := w.client()
		ask := func(n int) string { return c.ask(strings.Replace(call("lookup", n), "spread=1", "spread=2", 1)) }
		at := time.Now()
		if a := ask(1); a != "v" {
			t.Errorf("the first of two: %s", a)
		}
		say("$1\r\n3\r\n")
		a := ask(2)
		if d := time.Since(at); d > 50*time.Millisecond { // it may have been given up
			return fmt.Sprintf("the counter was asked twice in %v", d)
		}
		if !strings.HasPrefix(a, "-BUSY") {
			t.Errorf("the third of two: %s", a)
		}
		var names []string
		for _, cmd := range server.got() {
			names = append(names, cmd[0]+" "+strings.Join(cmd[2:], " "))
		}
		if got, want := fmt.Sprint(names[:4]), "[INCRBYFLOAT 1 PEXPIRE 10000 NX INCRBYFLOAT -1 PEXPIRE 10000 NX]"; got != want {
			t.Errorf("the counter got %s, want %s", got, want)
		}
		for i, s := range []string{"-OOM no room\r\n", "", "$3\r\nnan\r\n", "what\r\n"} {
			say(s)
			at := time.Now()
			a, d := ask(10+i), time.Since(at)
			if d > time.Second {
				return fmt.Sprintf("the counter says %q: %s after %v", s, a, d)
			} else if a != "v" {
				t.Errorf("the counter says %q: %s", s, a)
			}
		}
		server.Close()
		w.line("event=counter_lost")
		if a := ask(20); a != "v" {
			t.Errorf("the counter is gone: %s", a)
		}
		return ""
	})
}
