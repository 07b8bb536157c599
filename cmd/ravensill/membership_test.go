package main

import (
	"bufio"
	"encoding/json"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
)

// A drain told is kept, whatever else comes on the watch; a broken watch is asked for anew from where it was.
func TestList(t *testing.T) {
	answer := func([]string) string { return passed("v") }
	a, b, c := newHost(t, answer), newHost(t, answer), newHost(t, answer)
	w := start(t, nil, a, b)
	if ask := take(w, w.asked); !strings.HasPrefix(ask, "GET /v1/servers?watch=1&after=41 HTTP/1.1") {
		t.Errorf("asked for the list with %q", ask)
	}
	watch := take(w, w.watches)
	io.WriteString(watch, "1\r\n\n\r\n9\r\n{\"no\":\n1}\r\n")
	w.line("event=list_dropped")
	list(watch, 43, entry("h0", a.Addr().String(), "leaving"), entry("h2", c.Addr().String(), "active"))
	w.line("event=host id=h0 state=draining version=43")
	ask := func() {
		for i := range 8 {
			if got := w.client().ask(call("lookup", 100+i)); got != "v" {
				t.Fatal(got)
			}
		}
	}
	ask()
	if len(a.got()) > 0 || len(b.got())+len(c.got()) != 8 {
		t.Error("the drain was not kept")
	}
	watch.Close()
	w.line("event=watch_lost")
	if ask := take(w, w.asked); !strings.Contains(ask, "after=43 ") {
		t.Errorf("asked for the list with %q", ask)
	}
	watch = take(w, w.watches)
	list(watch, 44, entry("h1", "", "left"))
	w.line("event=watch_back")
	w.line("event=host id=h1 state=gone version=44")
	io.WriteString(watch, "2\r\n{]\r\n") // what follows can't be told apart
	w.line(`event=watch_lost error="invalid character`)
	if ask := take(w, w.asked); !strings.Contains(ask, "after=44 ") {
		t.Errorf("asked for the list with %q", ask)
	}
	ask()
	if len(c.got()) != 8 || len(b.got()) > 0 {
		t.Error("the host that is gone got more")
	}
}

// Whatever becomes of a watch and of the call after it, the list is asked for anew from where it was, nothing of a half
// list counts, and a drain told at last is kept.
func TestWatchTroubles(t *testing.T) {
	answer := func([]string) string { return passed("v") }
	for name, trouble := range map[string]func(c net.Conn, list string){
		"silent":      func(c net.Conn, _ string) { io.Copy(io.Discard, c) },
		"ended":       func(net.Conn, string) {},
		"reset":       func(c net.Conn, _ string) { c.(*net.TCPConn).SetLinger(0) },
		"turned away": func(c net.Conn, _ string) { io.WriteString(c, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n") },
		"sent away": func(c net.Conn, _ string) {
			io.WriteString(c, "HTTP/1.1 302 Found\r\nLocation: http://127.0.0.1:1/\r\n\r\n")
		},
		"half, ended": func(c net.Conn, list string) { io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n"+list[:len(list)-1]) },
		"half, reset": func(c net.Conn, list string) {
			io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n"+list[:len(list)-1])
			c.(*net.TCPConn).SetLinger(0)
		},
		"half, silent": func(c net.Conn, list string) {
			io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n"+list[:len(list)-1])
			io.Copy(io.Discard, c)
		},
		"whole, reset": func(c net.Conn, list string) {
			io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n"+list)
			c.(*net.TCPConn).SetLinger(0)
		},
		"no HTTP": func(c net.Conn, list string) { io.WriteString(c, "SSH-2.0\r\n"+list) },
	} {
		for _, mode := range []string{"pushed", "on_request"} {
			t.Run(name+" "+mode, func(t *testing.T) {
				t.Parallel() // the silent ones take their time
				a, b := newHost(t, answer), newHost(t, answer)
				agent, err := net.Listen("tcp4", "127.0.0.1:0")
				if err != nil {
					t.Fatal(err)
				}
				defer agent.Close()
				asks := make(chan string, 9)
				go func() {
					for n := range 3 { // the first brings a list and is reset, the next is in trouble, the last brings the drain
						c, err := agent.Accept()
						if err != nil {
							return
						}
						ask, _ := bufio.NewReader(c).ReadString('\n')
						asks <- ask
						text := func(entry map[string]any) string {
							l, _ := json.Marshal(map[string]any{"version": 42 + n, "full": false, "servers": []any{entry}})
							return string(l)
						}
						switch n {
						case 0:
							io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n"+text(entry("h0", a.Addr().String(), "active")))
							c.(*net.TCPConn).SetLinger(0)
						case 1:
							trouble(c, text(entry("h1", b.Addr().String(), "leaving")))
						default:
							io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n"+text(entry("h0", a.Addr().String(), "leaving")))
							defer io.Copy(io.Discard, c)
						}
						if n < 2 {
							c.Close()
						}
					}
				}()
				w := start(t, func(cfg, settings map[string]any) {
					cfg["discovery"], settings["membership_mode"] = agent.Addr().String(), mode
				}, a, b)
				after := []string{"after=41 ", "after=42 ", "after=42 "}
				if name == "whole, reset" {
					after[2] = "after=43 "
				}
				for _, want := range after {
					if ask := take(w, asks); !strings.Contains(ask, want) {
						t.Errorf("asked with %q, not %s", ask, want)
					}
				}
				w.line("event=host id=h0 state=draining version=44")
				got, want := w.client().ask(call("lookup", 1)), "v"
				if name == "whole, reset" { // told as leaving, both
					want = "-BUSY"
				}
				if !strings.HasPrefix(got, want) || len(a.got()) > 0 {
					t.Errorf("%s, or sent to the host that leaves", got)
				}
			})
		}
	}
}

// A gateway that stood still finds reqs and news of the list in its sockets together, whichever came first: the news count
// before the first of the reqs is sent on.
func TestStoodStill(t *testing.T) {
	answer := func([]string) string { return passed("v") }
	a, b := newHost(t, answer), newHost(t, answer)
	w := start(t, func(_, settings map[string]any) { settings["plans"].([]any)[0].(map[string]any)["burst"] = 1e6 }, a, b)
	watch := take(w, w.watches)
	var all []*client
	for i := range 40 {
		all = append(all, w.client())
		all[i].ask(call("lookup", 100+i))
	}
	for round := range 11 {
		state := []string{"leaving", "active"}[round%2]
		w.stand()
		if state == "leaving" {
			a.got()
		}
		for i, c := range all {
			c.send(call("lookup", 100+i))
		}
		list(watch, 50+round, entry("h0", a.Addr().String(), state))
		w.cmd.Process.Signal(syscall.SIGCONT)
		for _, c := range all {
			if got := c.answer(); got != "v" && !strings.HasPrefix(got, "-BUSY") {
				t.Fatal(got)
			}
		}
		if got := len(a.got()); state == "leaving" && got > 0 {
			t.Errorf("%d reqs were sent to a host that was told as leaving before", got)
		}
	}
}

// What discovery's agent has counts from the first moment on: it is known before the first client is taken in. An
// agent that says nothing holds the start up for a while only.
func TestFirstList(t *testing.T) {
	answer := func([]string) string { return passed("v") }
	a, b := newHost(t, answer), newHost(t, answer)
	w := start(t, func(cfg, _ map[string]any) {
		cfg["agent"] = []any{entry("h0", a.Addr().String(), "leaving")}
	}, a, b)
	w.line("event=host id=h0 state=draining version=41")
	w.line("event=serving")
	for i := range 8 {
		if got := w.client().ask(call("lookup", i)); got != "v" || len(a.got()) > 0 {
			t.Errorf("%s, of the host that leaves", got)
		}
	}
	silent, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	w = start(t, func(cfg, _ map[string]any) { cfg["discovery"] = silent.Addr().String() }, a)
	w.line("event=no_first_list version=41")
	w.line("event=serving")
	if got := w.client().ask(call("lookup", 1)); got != "v" {
		t.Error(got)
	}
}
