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

// TestList checks that a drain delivered on the watch is kept, whatever else arrives on it, and that a broken watch is
// resumed from the last version received.
func TestList(t *testing.T) {
	answer := func([]string) string { return successReply("v") }
	a, b, c := newHost(t, answer), newHost(t, answer), newHost(t, answer)
	gateway := startGateway(t, nil, a, b)
	if serveEight := receive(gateway, gateway.watchRequests); !strings.HasPrefix(serveEight, "GET /v1/servers?watch=1&after=41 HTTP/1.1") {
		t.Errorf("asked for the list with %q", serveEight)
	}
	watch := receive(gateway, gateway.watches)
	io.WriteString(watch, "1\r\n\n\r\n9\r\n{\"no\":\n1}\r\n")
	gateway.waitForLog("event=endpoint_list_rejected")
	sendHostList(watch, 43, hostEntry("h0", a.Addr().String(), "leaving"), hostEntry("h2", c.Addr().String(), "active"))
	gateway.waitForLog("event=endpoint_state id=h0 state=draining version=43")
	serveEight := func() {
		for i := range 8 {
			if got := gateway.connect().roundTrip(requestCommand("lookup", 100+i)); got != "v" {
				t.Fatal(got)
			}
		}
	}
	serveEight()
	if len(a.takeReceived()) > 0 || len(b.takeReceived())+len(c.takeReceived()) != 8 {
		t.Error("the drain was not kept")
	}
	watch.Close()
	gateway.waitForLog("event=endpoint_watch_lost")
	if serveEight := receive(gateway, gateway.watchRequests); !strings.Contains(serveEight, "after=43 ") {
		t.Errorf("asked for the list with %q", serveEight)
	}
	watch = receive(gateway, gateway.watches)
	sendHostList(watch, 44, hostEntry("h1", "", "left"))
	gateway.waitForLog("event=endpoint_watch_restored")
	gateway.waitForLog("event=endpoint_state id=h1 state=gone version=44")
	io.WriteString(watch, "2\r\n{]\r\n") // what follows can't be told apart
	gateway.waitForLog(`event=endpoint_watch_lost error="invalid character`)
	if serveEight := receive(gateway, gateway.watchRequests); !strings.Contains(serveEight, "after=44 ") {
		t.Errorf("asked for the list with %q", serveEight)
	}
	serveEight()
	if len(c.takeReceived()) != 8 || len(b.takeReceived()) > 0 {
		t.Error("the host that is gone got more")
	}
}

// TestWatchTroubles breaks the watch in each way: the list is requested again from the last whole version, no part of a cut
// list counts, and a drain delivered at last is kept.
func TestWatchTroubles(t *testing.T) {
	answer := func([]string) string { return successReply("v") }
	for name, fault := range map[string]func(c net.Conn, list string){
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
				watchRequests := make(chan string, 9)
				go func() {
					for n := range 3 { // the first brings a list and is reset, the next is in trouble, the last brings the drain
						c, err := agent.Accept()
						if err != nil {
							return
						}
						ask, _ := bufio.NewReader(c).ReadString('\n')
						watchRequests <- ask
						text := func(entry map[string]any) string {
							l, _ := json.Marshal(map[string]any{"version": 42 + n, "full": false, "servers": []any{entry}})
							return string(l)
						}
						switch n {
						case 0:
							io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n"+text(hostEntry("h0", a.Addr().String(), "active")))
							c.(*net.TCPConn).SetLinger(0)
						case 1:
							fault(c, text(hostEntry("h1", b.Addr().String(), "leaving")))
						default:
							io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n"+text(hostEntry("h0", a.Addr().String(), "leaving")))
							defer io.Copy(io.Discard, c)
						}
						if n < 2 {
							c.Close()
						}
					}
				}()
				gateway := startGateway(t, func(config, settings map[string]any) {
					config["discovery"], settings["membership_mode"] = agent.Addr().String(), mode
				}, a, b)
				after := []string{"after=41 ", "after=42 ", "after=42 "}
				if name == "whole, reset" {
					after[2] = "after=43 "
				}
				for _, want := range after {
					if ask := receive(gateway, watchRequests); !strings.Contains(ask, want) {
						t.Errorf("asked with %q, not %s", ask, want)
					}
				}
				gateway.waitForLog("event=endpoint_state id=h0 state=draining version=44")
				got, want := gateway.connect().roundTrip(requestCommand("lookup", 1)), "v"
				if name == "whole, reset" { // told as leaving, both
					want = "-BUSY"
				}
				if !strings.HasPrefix(got, want) || len(a.takeReceived()) > 0 {
					t.Errorf("%s, or sent to the host that leaves", got)
				}
			})
		}
	}
}

// TestStoodStill pauses a gateway, so that requests and a membership update wait in its sockets together: the update counts
// before the first of the requests is sent on, whichever came first.
func TestStoodStill(t *testing.T) {
	answer := func([]string) string { return successReply("v") }
	a, b := newHost(t, answer), newHost(t, answer)
	gateway := startGateway(t, func(_, settings map[string]any) { settings["plans"].([]any)[0].(map[string]any)["burst"] = 1e6 }, a, b)
	watch := receive(gateway, gateway.watches)
	var clients []*testClient
	for i := range 40 {
		clients = append(clients, gateway.connect())
		clients[i].roundTrip(requestCommand("lookup", 100+i))
	}
	for batch := range 11 {
		state := []string{"leaving", "active"}[batch%2]
		gateway.pause()
		if state == "leaving" {
			a.takeReceived()
		}
		for i, c := range clients {
			c.send(requestCommand("lookup", 100+i))
		}
		sendHostList(watch, 50+batch, hostEntry("h0", a.Addr().String(), state))
		gateway.cmd.Process.Signal(syscall.SIGCONT)
		for _, c := range clients {
			if got := c.readAnswer(); got != "v" && !strings.HasPrefix(got, "-BUSY") {
				t.Fatal(got)
			}
		}
		if got := len(a.takeReceived()); state == "leaving" && got > 0 {
			t.Errorf("%d requests were sent to a host that was delivered as leaving before", got)
		}
	}
}

// TestFirstList checks that the agent's host list is applied before the first client is accepted, and that a silent agent
// delays the start for a bounded time only.
func TestFirstList(t *testing.T) {
	answer := func([]string) string { return successReply("v") }
	a, b := newHost(t, answer), newHost(t, answer)
	gateway := startGateway(t, func(config, _ map[string]any) {
		config["agent"] = []any{hostEntry("h0", a.Addr().String(), "leaving")}
	}, a, b)
	gateway.waitForLog("event=endpoint_state id=h0 state=draining version=41")
	gateway.waitForLog("event=serving")
	for i := range 8 {
		if got := gateway.connect().roundTrip(requestCommand("lookup", i)); got != "v" || len(a.takeReceived()) > 0 {
			t.Errorf("%s, of the host that leaves", got)
		}
	}
	silent, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	gateway = startGateway(t, func(config, _ map[string]any) { config["discovery"] = silent.Addr().String() }, a)
	gateway.waitForLog("event=endpoint_list_timeout version=41")
	gateway.waitForLog("event=serving")
	if got := gateway.connect().roundTrip(requestCommand("lookup", 1)); got != "v" {
		t.Error(got)
	}
}
