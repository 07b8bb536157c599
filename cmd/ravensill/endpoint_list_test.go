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

// checkWatchRequest returns the connection of the next watch that the agent received, and checks that it asks for
// changes after the given version.
func (g *gatewayProcess) checkWatchRequest(after string) (watch net.Conn) {
	g.Helper()
	if request := receive(g, g.watchRequests); !strings.Contains(request, "after="+after+" ") {
		g.Errorf("watched with %q, not after version %s", request, after)
	}
	return receive(g, g.watches)
}

// TestDrainAppliesAndWatchResumes guards against a drain that has no effect because of other data on the watch, and
// against a broken watch that is not resumed from the last version received.
func TestDrainAppliesAndWatchResumes(t *testing.T) {
	a, b, c := valueHost(t), valueHost(t), valueHost(t)
	gateway := startGateway(t, nil, a, b)
	request := receive(gateway, gateway.watchRequests)
	if !strings.HasPrefix(request, "GET /v1/servers?watch=1&after=41 HTTP/1.1") {
		t.Errorf("watched with %q", request)
	}
	watch := receive(gateway, gateway.watches)
	io.WriteString(watch, "1\r\n\n\r\n9\r\n{\"no\":\n1}\r\n")
	gateway.waitForLog("event=endpoint_list_rejected")
	sendHostList(watch, 43,
		newHostEntry("h0", a.Addr().String(), "leaving"),
		newHostEntry("h2", c.Addr().String(), "active"),
	)
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
		t.Error("the draining host got requests, or the other hosts did not get all of them")
	}
	watch.Close()
	gateway.waitForLog("event=endpoint_watch_lost")
	watch = gateway.checkWatchRequest("43")
	sendHostList(watch, 44, newHostEntry("h1", "", "left"))
	gateway.waitForLog("event=endpoint_watch_restored")
	gateway.waitForLog("event=endpoint_state id=h1 state=gone version=44")
	io.WriteString(watch, "2\r\n{]\r\n") // malformed, so that the start of the next list can't be found
	gateway.waitForLog(`event=endpoint_watch_lost error="invalid character`)
	gateway.checkWatchRequest("44")
	serveEight()
	if len(c.takeReceived()) != 8 || len(b.takeReceived()) > 0 {
		t.Error("the host that is gone got requests, or the other one did not get all of them")
	}
}

const okHead = "HTTP/1.1 200 OK\r\n\r\n"

// watchFault answers a watch in a faulty way. list is the list that a correct answer would contain. The connection is
// closed when the function returns.
type watchFault func(conn net.Conn, list string)

// completeThenReset is the only fault whose list must take effect.
const completeThenReset = "complete, reset"

var watchFaults = map[string]watchFault{
	"silent": func(conn net.Conn, _ string) { io.Copy(io.Discard, conn) },
	"closed": func(net.Conn, string) {},
	"reset":  func(conn net.Conn, _ string) { resetOnClose(conn) },
	"unavailable": func(conn net.Conn, _ string) {
		io.WriteString(conn, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
	},
	"redirected": func(conn net.Conn, _ string) {
		io.WriteString(conn, "HTTP/1.1 302 Found\r\nLocation: http://127.0.0.1:1/\r\n\r\n")
	},
	"incomplete, closed": func(conn net.Conn, list string) { io.WriteString(conn, okHead+list[:len(list)-1]) },
	"incomplete, reset": func(conn net.Conn, list string) {
		io.WriteString(conn, okHead+list[:len(list)-1])
		resetOnClose(conn)
	},
	"incomplete, silent": func(conn net.Conn, list string) {
		io.WriteString(conn, okHead+list[:len(list)-1])
		io.Copy(io.Discard, conn)
	},
	completeThenReset: func(conn net.Conn, list string) {
		io.WriteString(conn, okHead+list)
		resetOnClose(conn)
	},
	"no HTTP": func(conn net.Conn, list string) { io.WriteString(conn, "SSH-2.0\r\n"+list) },
}

func resetOnClose(conn net.Conn) { conn.(*net.TCPConn).SetLinger(0) }

// TestBrokenWatchResumesFromLastCompleteList breaks the watch with each fault. It guards against incomplete lists that
// take effect, against a list that is not requested again from the last complete version, and against a drain that has
// no effect after the fault.
func TestBrokenWatchResumesFromLastCompleteList(t *testing.T) {
	for name, fault := range watchFaults {
		for _, mode := range []string{"pushed", "on_request"} {
			t.Run(name+" "+mode, func(t *testing.T) {
				t.Parallel() // silent watches last until a timeout
				checkBrokenWatch(t, mode, name, fault)
			})
		}
	}
}

func checkBrokenWatch(t *testing.T, mode, name string, fault watchFault) {
	a, b := valueHost(t), valueHost(t)
	agent, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer agent.Close()
	watchRequests := make(chan string, 9)
	go serveBrokenWatch(agent, watchRequests, a, b, fault)
	gateway := startGateway(t, func(config *gatewayConfig) {
		config.Discovery = agent.Addr().String()
		config.Settings.MembershipMode = mode
	}, a, b)
	after := []string{"after=41 ", "after=42 ", "after=42 "}
	want := "v"
	if name == completeThenReset {
		after[2] = "after=43 "
		want = "-BUSY" // both hosts are draining
	}
	for _, version := range after {
		if request := receive(gateway, watchRequests); !strings.Contains(request, version) {
			t.Errorf("watched with %q, not %s", request, version)
		}
	}
	gateway.waitForLog("event=endpoint_state id=h0 state=draining version=44")
	got := gateway.connect().roundTrip(requestCommand("lookup", 1))
	if !strings.HasPrefix(got, want) || len(a.takeReceived()) > 0 {
		t.Errorf("the answer is %s, or the request was sent to the draining host", got)
	}
}

// serveBrokenWatch answers three watches: the first gets a list and is reset, the second is answered by fault with a
// list in which host b drains, and the third gets a list in which host a drains.
func serveBrokenWatch(agent net.Listener, watchRequests chan<- string, a, b *testHost, fault watchFault) {
	for n := range 3 {
		conn, err := agent.Accept()
		if err != nil {
			return
		}
		request, _ := bufio.NewReader(conn).ReadString('\n')
		watchRequests <- request
		list := func(entry hostEntry) string {
			text, _ := json.Marshal(hostList{Version: 42 + n, Hosts: []hostEntry{entry}})
			return string(text)
		}
		switch n {
		case 0:
			io.WriteString(conn, okHead+list(newHostEntry("h0", a.Addr().String(), "active")))
			resetOnClose(conn)
		case 1:
			fault(conn, list(newHostEntry("h1", b.Addr().String(), "leaving")))
		default:
			io.WriteString(conn, okHead+list(newHostEntry("h0", a.Addr().String(), "leaving")))
			io.Copy(io.Discard, conn)
		}
		conn.Close()
	}
}

// TestPausedGatewayAppliesDrainBeforeRequests guards against requests that are sent to a host after its drain has
// arrived. The gateway is paused, so that requests and the drain wait in its sockets together. The drain must apply
// before the first request is sent, whichever came first.
func TestPausedGatewayAppliesDrainBeforeRequests(t *testing.T) {
	a, b := valueHost(t), valueHost(t)
	gateway := startGateway(t, configureAmpleBurst, a, b)
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
		sendHostList(watch, 50+batch, newHostEntry("h0", a.Addr().String(), state))
		gateway.cmd.Process.Signal(syscall.SIGCONT)
		for _, c := range clients {
			if got := c.readAnswer(); got != "v" && !strings.HasPrefix(got, "-BUSY") {
				t.Fatal(got)
			}
		}
		if got := len(a.takeReceived()); state == "leaving" && got > 0 {
			t.Errorf("%d requests were sent to a host whose drain had arrived", got)
		}
	}
}

// TestFirstListAppliesBeforeClients guards against requests to a host that drained before the start: the agent's list
// must apply before the first client is accepted.
func TestFirstListAppliesBeforeClients(t *testing.T) {
	a, b := valueHost(t), valueHost(t)
	gateway := startGateway(t, func(config *gatewayConfig) {
		config.AgentHosts = []hostEntry{newHostEntry("h0", a.Addr().String(), "leaving")}
	}, a, b)
	gateway.waitForLog("event=endpoint_state id=h0 state=draining version=41")
	gateway.waitForLog("event=serving")
	for i := range 8 {
		got := gateway.connect().roundTrip(requestCommand("lookup", i))
		if got != "v" || len(a.takeReceived()) > 0 {
			t.Errorf("the answer is %s, or the request was sent to the draining host", got)
		}
	}
}

// TestSilentAgentDelaysStartForBoundedTime guards against a gateway that never serves because the discovery agent does
// not answer: after a time it serves with the host list in its configuration file.
func TestSilentAgentDelaysStartForBoundedTime(t *testing.T) {
	silent, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	gateway := startGateway(t, func(config *gatewayConfig) {
		config.Discovery = silent.Addr().String()
	}, valueHost(t))
	gateway.waitForLog("event=endpoint_list_timeout version=41")
	gateway.waitForLog("event=serving")
	if got := gateway.connect().roundTrip(requestCommand("lookup", 1)); got != "v" {
		t.Error(got)
	}
}
