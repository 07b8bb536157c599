package node

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"ravensill/gateway"
	"ravensill/internal/golden"
	"ravensill/internal/logging"
)

const (
	requestLines  = 9 // lines of a command that is an array of four bulk strings
	requestIDLine = 6 // index of the line with the third string, the request's id
)

// testGateway is a running node with one host. It is also the node's decision module, which sends each request to the
// host, and once more if the first attempt never ran.
type testGateway struct {
	*testing.T
	*Node
	addr        chan string // holds the address where clients connect
	host        uint32
	hostAddr    string
	hostRunning bool        // whether the host is neither draining nor gone
	events      chan string // each event that the module decides on

	// refuse, if not nil, makes the host turn its first command away: it calls refuse, then answers BUSY.
	refuse func()

	mu       sync.Mutex
	received []string // ids of the requests that the host received
}

func newTestGateway(t *testing.T) *testGateway {
	g := &testGateway{T: t, addr: make(chan string, 1), events: make(chan string, 99)}
	host, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	g.hostAddr = host.Addr().String()
	go acceptConns(host, g.serveAtHost)
	settings := testSettings()
	settings.ConnectTimeout = connectionLimit
	settings.Limits = gateway.Limits{PollEndpoints: true}
	cfg := testConfig(settings)
	cfg.InitialEndpointList = singleHostList(g.hostAddr)
	g.Node = New(cfg, g)

	restoreLog := logging.SetOutput(g)
	stop := make(chan struct{})
	ended := make(chan error, 1)
	t.Cleanup(func() {
		close(stop)
		<-ended
		host.Close()
		restoreLog()
	})
	go func() { ended <- g.Node.Run(stop) }()
	return g
}

// Write handles a line of the node's log: it takes the address from the line that the node serves.
func (g *testGateway) Write(line []byte) (int, error) {
	if _, rest, found := bytes.Cut(line, []byte(`event=serving name="" listen=`)); found {
		addr, _, _ := bytes.Cut(rest, []byte{' '})
		g.addr <- string(addr)
	}
	return len(line), nil
}

// serveAtHost answers each command on a connection with the value "v", unless it turns it away, and records the
// request's id.
func (g *testGateway) serveAtHost(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for {
		isFirst := false
		for i := range requestLines {
			line, err := in.ReadString('\n')
			if err != nil {
				return
			}
			if i == requestIDLine {
				g.mu.Lock()
				isFirst = len(g.received) == 0
				g.received = append(g.received, strings.TrimSpace(line))
				g.mu.Unlock()
			}
		}
		if isFirst && g.refuse != nil {
			g.refuse()
			io.WriteString(conn, "-BUSY\r\n")
			continue
		}
		io.WriteString(conn, "*1\r\n$1\r\nv\r\n")
	}
}

// Reconfigure implements Decider.
func (g *testGateway) Reconfigure(_ gateway.Time, update *gateway.SettingsUpdate) {
	g.events <- fmt.Sprintf("reconfigured: %d plans, %d classes", len(update.Plans), len(update.Classes))
}

// Decide implements Decider.
func (g *testGateway) Decide(batch *gateway.Batch, actions gateway.Actions) {
	for i := range batch.Events {
		event := &batch.Events[i]
		switch event.Kind {
		case gateway.EndpointsListed:
			for _, endpoint := range event.Endpoints {
				g.events <- "listed " + endpoint.State.String()
				g.host = endpoint.Host
				g.hostRunning = endpoint.State == gateway.Running
			}
		case gateway.RequestArrived:
			g.events <- "arrived " + event.RequestID
			actions.StartAttempt(event.RequestID, g.host, 0)
		case gateway.ClientGone:
			g.events <- "left " + event.RequestID
		case gateway.AttemptEnded:
			g.attemptEnded(event, actions)
		}
	}
}

// attemptEnded retries a request that never ran, once, even if its client is gone: a module may not know that yet.
func (g *testGateway) attemptEnded(event *gateway.Event, actions gateway.Actions) {
	const ended = "ended %s %d: result %d, closed %t"
	g.events <- fmt.Sprintf(ended, event.RequestID, event.Attempt, event.Result, event.Closed)
	switch {
	case event.Result.NeverRan() && event.Attempt == 0 && g.hostRunning:
		actions.StartAttempt(event.RequestID, g.host, 0)
	case event.Result != gateway.Succeeded:
		actions.Reject(event.RequestID, 0)
	}
}

// holdDials delays all connections to the host until connect is closed. dials receives a value for each one started.
func (g *testGateway) holdDials() (dials <-chan struct{}, connect chan<- struct{}) {
	dialed := make(chan struct{}, 9)
	connected := make(chan struct{})
	g.runOnLoop(func() {
		dial := g.transport.Dial
		g.transport.Dial = func(addr string) (net.Conn, error) {
			dialed <- struct{}{}
			<-connected
			return dial(addr)
		}
	})
	return dialed, connected
}

// sendRequest sends a request on a new client connection, which it returns.
func (g *testGateway) sendRequest(id string) net.Conn {
	addr := <-g.addr
	g.addr <- addr
	conn := dial(g.T, addr)
	arguments := fmt.Sprintf("c=lookup,t=team,d=%d,units=1,spread=1,first=0", connectionLimit/time.Millisecond)
	io.WriteString(conn, respArray("CALL.GET", "0000000000000001", id, arguments))
	return conn
}

// serveLastRequest sends request z and waits until it is served. It returns the events up to its end, the ids that the
// host received, and the numbers of open requests and attempts.
func (g *testGateway) serveLastRequest() string {
	conn := g.sendRequest("z")
	if _, err := io.ReadFull(conn, make([]byte, len("$1\r\nv\r\n"))); err != nil {
		g.Fatal(err)
	}
	var events []string
	for len(events) == 0 || !strings.HasPrefix(events[len(events)-1], "ended z") {
		events = append(events, <-g.events)
	}
	left := make(chan string)
	g.runOnLoop(func() { left <- g.openWork() })
	g.mu.Lock()
	defer g.mu.Unlock()
	slices.Sort(g.received)
	return fmt.Sprintf("%s\nhost received %q; %s", strings.Join(events, "\n"), g.received, <-left)
}

// Guards against sending to a draining host. The host starts to drain while an attempt waits for a connection to it,
// and the connection is established afterwards.
func TestNothingSentToHostDrainingWhileConnecting(t *testing.T) {
	g := newTestGateway(t)
	dials, connect := g.holdDials()
	g.sendRequest("a")
	<-dials
	events := <-g.events + "\n" + <-g.events + "\n"
	g.updateHostState(2, "leaving")
	events += <-g.events + "\n"
	g.updateHostState(3, "active")
	close(connect)
	golden.Check(t, events+g.serveLastRequest())
}

// updateHostState applies a delta of the endpoint list in which the host has a new state.
func (g *testGateway) updateHostState(version int, state string) {
	list := fmt.Sprintf(`{"version":%d,"full":false,"servers":[{"id":"s","addr":"%s","state":"%s","weight":1}]}`,
		version, g.hostAddr, state)
	g.runOnLoop(func() { g.updateEndpoints(list, false) })
}
