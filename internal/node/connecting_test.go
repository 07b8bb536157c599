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
	requestLines = 9 // of a command of four words
	requestIDAt  = 6 // line of the third word
)

// testGateway is a node on sockets with one host. Its module sends each request to the host, and once more if it
// never ran.
type testGateway struct {
	*testing.T
	*Node
	addr     chan string // on which it serves
	host     uint32
	hostAddr string
	running  bool        // whether the host is neither draining nor gone
	events   chan string // each event that the module decides on

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
	go g.acceptAtHost(host)
	settings := testSettings()
	settings.ConnectTimeout = connectionLimit
	settings.Limits = gateway.Limits{PollEndpoints: true}
	cfg := testConfig(settings)
	cfg.InitialEndpointList = knownHost(g.hostAddr)
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

// Write reads a line of the log.
func (g *testGateway) Write(line []byte) (int, error) {
	if _, rest, found := bytes.Cut(line, []byte(`event=serving name="" listen=`)); found {
		addr, _, _ := bytes.Cut(rest, []byte{' '})
		g.addr <- string(addr)
	}
	return len(line), nil
}

func (g *testGateway) acceptAtHost(host net.Listener) {
	for {
		conn, err := host.Accept()
		if err != nil {
			return
		}
		go g.serveAtHost(conn)
	}
}

// serveAtHost answers every command on a connection.
func (g *testGateway) serveAtHost(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for {
		for i := range requestLines {
			line, err := in.ReadString('\n')
			if err != nil {
				return
			}
			if i == requestIDAt {
				g.mu.Lock()
				g.received = append(g.received, strings.TrimSpace(line))
				g.mu.Unlock()
			}
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
				g.running = endpoint.State == gateway.Running
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

// attemptEnded sends a request that never ran once more, even if its client is gone: a module may not know that yet.
func (g *testGateway) attemptEnded(event *gateway.Event, actions gateway.Actions) {
	const ended = "ended %s %d: result %d, closed %t"
	g.events <- fmt.Sprintf(ended, event.RequestID, event.Attempt, event.Result, event.Closed)
	switch {
	case event.Result.NeverRan() && event.Attempt == 0 && g.running:
		actions.StartAttempt(event.RequestID, g.host, 0)
	case event.Result != gateway.Succeeded:
		actions.Reject(event.RequestID, 0)
	}
}

// holdConnections keeps connections to the host from coming up until connect is closed. Each dial is sent to dials.
func (g *testGateway) holdConnections() (dials <-chan struct{}, connect chan<- struct{}) {
	dialed := make(chan struct{}, 9)
	up := make(chan struct{})
	g.runOnLoop(func() {
		dial := g.transport.Dial
		g.transport.Dial = func(addr string) (net.Conn, error) {
			dialed <- struct{}{}
			<-up
			return dial(addr)
		}
	})
	return dialed, up
}

// sendRequest connects and sends a request.
func (g *testGateway) sendRequest(id string) net.Conn {
	addr := <-g.addr
	g.addr <- addr
	conn := dial(g.T, addr)
	arguments := fmt.Sprintf("c=lookup,t=team,d=%d,units=1,spread=1,first=0", connectionLimit/time.Millisecond)
	io.WriteString(conn, respArray("CALL.GET", "0000000000000001", id, arguments))
	return conn
}

// serveLastRequest sends a request that is served. It returns all events up to its end, and what the host received.
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
	g.runOnLoop(func() { left <- g.left() })
	g.mu.Lock()
	defer g.mu.Unlock()
	slices.Sort(g.received)
	return fmt.Sprintf("%s\nhost received %q; %s", strings.Join(events, "\n"), g.received, <-left)
}

// An attempt that waits for a connection to a host that starts to drain is not sent when the connection comes up.
func TestNothingSentToHostDrainingWhileConnecting(t *testing.T) {
	g := newTestGateway(t)
	dials, connect := g.holdConnections()
	g.sendRequest("a")
	<-dials
	events := <-g.events + "\n" + <-g.events + "\n"
	g.list(2, "leaving")
	events += <-g.events + "\n"
	g.list(3, "active")
	close(connect)
	golden.Check(t, events+g.serveLastRequest())
}

// list applies a change of the host's state to the endpoint list.
func (g *testGateway) list(version int, state string) {
	list := fmt.Sprintf(`{"version":%d,"full":false,"servers":[{"id":"s","addr":"%s","state":"%s","weight":1}]}`,
		version, g.hostAddr, state)
	g.runOnLoop(func() { g.updateEndpoints(list, false) })
}
