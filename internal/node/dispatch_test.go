package node

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"

	"ravensill/gateway"
	"ravensill/internal/config"
	"ravensill/internal/golden"
	"ravensill/internal/logging"
)

// rig is a node on sockets with one host. Its module sends each req to that and again where it never ran, at
// most twice.
type testGateway struct {
	*testing.T
	*Node
	addr     chan string // where it listens
	host     uint32      // by number
	running  bool        // it is not told as leaving
	hostAddr string      // its address
	events   chan string // each event, as the module takes it
	names    []string    // of reqs, as the host got them
	mu       sync.Mutex  // of names
}

func newTestGateway(t *testing.T) *testGateway {
	r := &testGateway{T: t, addr: make(chan string, 1), events: make(chan string, 99)}
	host, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r.hostAddr = host.Addr().String()
	go func() {
		for {
			c, err := host.Accept()
			if err != nil {
				return
			}
			go r.serve(c)
		}
	}()
	cfg := &config.Config{Listen: netip.MustParseAddrPort("127.0.0.1:0"), Discovery: "127.0.0.1:1", Sockets: 100,
		KnownEndpoints: fmt.Sprintf(`{"version":1,"full":true,"servers":[{"id":"s","addr":"%s","state":"active","weight":1}]}`, r.hostAddr),
		Settings: &config.Settings{
			Membership:     gateway.Membership{Count: 1},
			Classes:        []gateway.RequestClass{{}},
			ClassNames:     []string{"lookup"},
			Plans:          []gateway.Plan{{}},
			PlanNames:      []string{"team"},
			ConnectTimeout: 20e9,
			Limits:         gateway.Limits{PollEndpoints: true},
		}}
	r.Node = New(cfg, r)

	restoreLog := logging.SetOutput(r)
	stop, ended := make(chan struct{}), make(chan error, 1)
	t.Cleanup(func() {
		close(stop)
		<-ended
		host.Close()
		restoreLog()
	})
	go func() { ended <- r.Node.Run(stop) }()
	return r
}

func (r *testGateway) Write(line []byte) (int, error) { // of the log
	if _, rest, ok := bytes.Cut(line, []byte("event=serving name=\"\" listen=")); ok {
		addr, _, _ := bytes.Cut(rest, []byte{' '})
		r.addr <- string(addr)
	}
	return len(line), nil
}

func (r *testGateway) serve(c net.Conn) {
	defer c.Close()
	for in := bufio.NewReader(c); ; {
		for i := range 9 {
			line, err := in.ReadString('\n')
			if err != nil {
				return
			}
			if i == 6 {
				r.mu.Lock()
				r.names = append(r.names, strings.TrimSpace(line))
				r.mu.Unlock()
			}
		}
		io.WriteString(c, "*1\r\n$1\r\nv\r\n")
	}
}

func (r *testGateway) Reconfigure(_ gateway.Time, update *gateway.Update) {
	r.events <- fmt.Sprintf("reconfigured: %d plans, %d classes", len(update.Plans), len(update.Classes))
}

func (r *testGateway) Decide(in *gateway.Batch, out gateway.Actions) {
	for _, e := range in.Events {
		switch e.Kind {
		case gateway.EndpointsListed:
			for _, l := range e.Endpoints {
				r.events <- "told of " + l.State.String()
				r.host, r.running = l.Host, l.State == gateway.Running
			}
		case gateway.RequestArrived:
			r.events <- "arrived " + e.RequestID
			out.StartAttempt(e.RequestID, r.host, 0)
		case gateway.ClientGone:
			r.events <- "left " + e.RequestID
		case gateway.AttemptEnded:
			r.events <- fmt.Sprintf("ended %s %d: result %d, closed %t", e.RequestID, e.Attempt, e.Result, e.Closed)
			switch {
			case e.Result.NeverRan() && e.Attempt == 0 && r.running: // also where its client left: the module may not know yet
				out.StartAttempt(e.RequestID, r.host, 0)
			case e.Result != gateway.Succeeded:
				out.Reject(e.RequestID, 0)
			}
		}
	}
}

// hold has connections to the host come up once up is closed; each is told on dials.
func (r *testGateway) holdConnections() (_, _ chan struct{}) {
	dials, up := make(chan struct{}, 9), make(chan struct{})
	r.runOnLoop(func() {
		dial := r.transport.Dial
		r.transport.Dial = func(addr string) (net.Conn, error) {
			dials <- struct{}{}
			<-up
			return dial(addr)
		}
	})
	return dials, up
}

// ask connects and sends a req.
func (r *testGateway) sendRequest(id string) net.Conn {
	addr := <-r.addr
	r.addr <- addr
	c, err := net.Dial("tcp4", addr)
	if err != nil {
		r.Fatal(err)
	}
	r.Cleanup(func() { c.Close() })
	fmt.Fprintf(c, "*4\r\n$8\r\nCALL.GET\r\n$16\r\n0000000000000001\r\n$1\r\n%s\r\n$48\r\nc=lookup,t=team,d=20000,units=1,spread=1,first=0\r\n", id)
	return c
}

// last asks for a req that is served, and gives all that the module was told until its end, and what the host got.
func (r *testGateway) lastRequest() string {
	c := r.sendRequest("z")
	if _, err := io.ReadFull(c, make([]byte, 7)); err != nil {
		r.Fatal(err)
	}
	var told []string
	for len(told) == 0 || !strings.HasPrefix(told[len(told)-1], "ended z") {
		told = append(told, <-r.events)
	}
	held := make(chan int)
	r.runOnLoop(func() { held <- len(r.requests) + len(r.inFlight) })
	r.mu.Lock()
	defer r.mu.Unlock()
	slices.Sort(r.names)
	return fmt.Sprintf("%s\nhost got %q, %d held\n", strings.Join(told, "\n"), r.names, <-held)
}

// A req whose client goes while it waits for a connection is not sent on, when that comes up at last.
func TestNothingSentForClientGoneWhileConnecting(t *testing.T) {
	r := newTestGateway(t)
	dials, up := r.holdConnections()
	c := r.sendRequest("a")
	<-dials
	arrived := <-r.events + "\n" + <-r.events
	c.Close()
	left := <-r.events
	close(up)
	golden.Check(t, arrived+"\n"+left+"\n"+r.lastRequest())
}

// What waits for a connection to a host that is told as leaving is not sent when that comes up.
func TestNothingSentToHostDrainingWhileConnecting(t *testing.T) {
	r := newTestGateway(t)
	dials, up := r.holdConnections()
	r.sendRequest("a")
	<-dials
	told := <-r.events + "\n" + <-r.events + "\n"
	for i, state := range []string{"leaving", "active"} {
		list := fmt.Sprintf(`{"version":%d,"full":false,"servers":[{"id":"s","addr":"%s","state":"%s","weight":1}]}`, 2+i, r.hostAddr, state)
		r.runOnLoop(func() { r.updateEndpoints(list, false) })
		if i == 0 {
			told += <-r.events + "\n"
		}
	}
	close(up)
	golden.Check(t, told+r.lastRequest())
}
