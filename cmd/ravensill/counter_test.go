package main

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"
)

// TestCounter checks that a quota plan with a cap on in-flight requests and no rate asks the shared counter. A counter that
// refuses, is silent, garbles its replies or is gone delays nothing: the local estimate decides.
func TestCounter(t *testing.T) {
	retryWhenSlow(t, func() string {
		h := newHost(t, func([]string) string { return successReply("v") })
		var mu sync.Mutex
		reply := "$1\r\n1\r\n"
		setReply := func(s string) { mu.Lock(); defer mu.Unlock(); reply = s }
		counter := newHost(t, func(cmd []string) string {
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
		counter.inOrder = true
		gateway := startGateway(t, func(config, settings map[string]any) {
			settings["balancers"] = 2
			config["peer_listen"], config["peers"] = "127.0.0.1:0", []string{"127.0.0.1:1", "127.0.0.1:2"}
			config["counter"] = counter.Addr().String()
			settings["family_info"] = map[string]any{"mail_per_s": 40, "shared_counter": true, "count_wait_us": 50000}
			settings["plans"] = []any{map[string]any{"name": "team", "parallel": 2, "beyond_costs": 0.5, "worth_factor": 1}}
		}, h)
		gateway.waitForLog("event=counter_restored")
		c := gateway.connect()
		ask := func(n int) string {
			return c.roundTrip(strings.Replace(requestCommand("lookup", n), "spread=1", "spread=2", 1))
		}
		at := time.Now()
		if a := ask(1); a != "v" {
			t.Errorf("the first of two: %s", a)
		}
		setReply("$1\r\n3\r\n")
		a := ask(2)
		if elapsed := time.Since(at); elapsed > 50*time.Millisecond { // it may have been given up
			return fmt.Sprintf("the counter was asked twice in %v", elapsed)
		}
		if !strings.HasPrefix(a, "-BUSY") {
			t.Errorf("the third of two: %s", a)
		}
		var names []string
		for _, cmd := range counter.takeReceived() {
			names = append(names, cmd[0]+" "+strings.Join(cmd[2:], " "))
		}
		if got, want := fmt.Sprint(names[:4]), "[INCRBYFLOAT 1 PEXPIRE 10000 NX INCRBYFLOAT -1 PEXPIRE 10000 NX]"; got != want {
			t.Errorf("the counter got %s, want %s", got, want)
		}
		for i, s := range []string{"-OOM no room\r\n", "", "$3\r\nnan\r\n", "what\r\n"} {
			setReply(s)
			at := time.Now()
			a, elapsed := ask(10+i), time.Since(at)
			if elapsed > time.Second {
				return fmt.Sprintf("the counter says %q: %s after %v", s, a, elapsed)
			} else if a != "v" {
				t.Errorf("the counter says %q: %s", s, a)
			}
		}
		counter.Close()
		gateway.waitForLog("event=counter_lost")
		if a := ask(20); a != "v" {
			t.Errorf("the counter is gone: %s", a)
		}
		return ""
	})
}
