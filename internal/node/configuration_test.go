package node

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"ravensill/configsync"
	"ravensill/gateway"
	"ravensill/internal/config"
	"ravensill/internal/golden"
	"ravensill/internal/gossip"
	"ravensill/internal/logging"
	"ravensill/logic"
)

// configurableGateway is a gateway with the decision module of package logic and one host. Tests change its
// configuration while it runs.
type configurableGateway struct {
	*testing.T
	node             *Node
	config           *config.Live
	version          configsync.Version
	configurationLog chan string   // log lines from "event=configuration" on
	addr             string        // where clients connect
	heldRequests     chan struct{} // receives a value when the host gets a request whose id begins with "hold"
	releaseHeld      chan struct{} // once closed, the host answers these requests, too
	runResult        chan error    // receives the result of Node.Run
	stopRequested    chan struct{} // closed by stop
}

const testSettingsText = `{"balancers":1,
 "limits":{"max_attempts":2,"retry_after":true,"peer_messages":true},
 "profiles":[{"name":"lookup","hard_limit_us":19000000,"points":1},
  {"name":"order","effect":"unsafe","hard_limit_us":19000000,"points":1}],
 "plans":[{"name":"gold","rate":0.001,"burst":2,"worth_factor":1}],
 "family_info":{"mail_per_s":40}}`

func newConfigurableGateway(t *testing.T, configure func(*config.Config)) *configurableGateway {
	g := &configurableGateway{
		T:                t,
		configurationLog: make(chan string, 99),
		heldRequests:     make(chan struct{}, 9),
		releaseHeld:      make(chan struct{}),
		runResult:        make(chan error, 1),
		stopRequested:    make(chan struct{}),
	}
	settings, err := config.DecodeSettings(testSettingsText)
	if err != nil {
		t.Fatal(err)
	}
	settings.Plans[0].ID = configsync.PlanID("gold")
	settings.ConnectTimeout = connectionLimit
	settings.ConnIdle = connectionLimit
	settings.Limits.PollEndpoints = true // clients are accepted without an agent
	cfg := testConfig(settings)
	cfg.InitialEndpointList = singleHostList(g.startHost())
	cfg.Configuration = &config.Configuration{}
	if configure != nil {
		configure(cfg)
	}
	g.config = config.NewLive(cfg)
	module := logic.New(cfg.Seed, cfg.Membership, cfg.Classes, cfg.Plans, cfg.Limits, cfg.SlowStart, cfg.LoadReport)
	g.node = New(cfg, module)
	serving := make(chan string, 1)
	restoreLog := logging.SetOutput(lineWriter(func(line string) {
		if _, rest, found := strings.Cut(line, `event=serving name="" listen=`); found {
			serving <- strings.Fields(rest)[0]
		}
		if at := strings.Index(line, "event=configuration"); at >= 0 {
			g.configurationLog <- line[at:]
		}
	}))
	go func() { g.runResult <- g.node.Run(g.stopRequested) }()
	t.Cleanup(func() {
		g.stop()
		restoreLog()
	})
	g.addr = <-serving
	return g
}

// lineWriter is a writer for a log: it is called with each line.
type lineWriter func(line string)

func (w lineWriter) Write(line []byte) (int, error) {
	w(string(line))
	return len(line), nil
}

// stop shuts the gateway down and waits until it has stopped. It may be called again.
func (g *configurableGateway) stop() {
	select {
	case <-g.stopRequested:
	default:
		close(g.stopRequested)
		<-g.runResult
	}
}

// startHost starts the host, which answers each command with the value "v", and returns its address.
func (g *configurableGateway) startHost() (addr string) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		g.Fatal(err)
	}
	g.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go g.serveAtHost(conn)
		}
	}()
	return listener.Addr().String()
}

func (g *configurableGateway) serveAtHost(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for {
		var lines [requestLines]string
		for i := range lines {
			line, err := in.ReadString('\n')
			if err != nil {
				return
			}
			lines[i] = line
		}
		if strings.HasPrefix(lines[requestIDLine], "hold") {
			g.heldRequests <- struct{}{}
			<-g.releaseHeld
		}
		io.WriteString(conn, "*1\r\n$1\r\nv\r\n")
	}
}

// apply applies changes to the gateway as one version. Each line is a resource, a space and its value; an empty value
// removes the resource.
func (g *configurableGateway) apply(lines ...string) {
	g.Helper()
	var changes []configsync.Change
	for _, line := range lines {
		resource, value, _ := strings.Cut(line, " ")
		changes = append(changes, configsync.Change{Resource: configsync.Resource(resource), Value: []byte(value)})
	}
	revision, err := g.config.Apply(changes, false)
	if err != nil {
		g.Fatal(err)
	}
	g.version++
	if err := g.node.ApplyConfiguration(g.version, revision); err != nil {
		g.Fatal(err)
	}
}

// send sends a request of customer 1 on a new connection, which it returns.
func (g *configurableGateway) send(id, class, plan string) net.Conn {
	conn := dial(g.T, g.addr)
	verb := "CALL.GET"
	if class == "order" || class == "pay" {
		verb = "CALL.POST"
	}
	arguments := fmt.Sprintf("c=%s,t=%s,d=19000,units=1,spread=1,first=0", class, plan)
	io.WriteString(conn, respArray(verb, "0000000000000001", id, arguments))
	return conn
}

// answerLine reads an answer and closes the connection. It returns the value, or the first line of any other answer.
// The time in a -BUSY answer varies and is replaced by words.
func answerLine(conn net.Conn) string {
	defer conn.Close()
	in := bufio.NewReader(conn)
	text, err := in.ReadString('\n')
	if err == nil && text[0] == '$' {
		text, err = in.ReadString('\n')
	}
	if err != nil {
		return err.Error()
	}
	if strings.HasPrefix(text, "-BUSY ") {
		return "-BUSY with a time to retry after"
	}
	return strings.TrimSpace(text)
}

// configurationTrace records changes of a gateway's configuration, and the answers to requests after each.
type configurationTrace struct {
	strings.Builder
	gateway  *configurableGateway
	requests int
}

// request sends a request and records its answer.
func (t *configurationTrace) request(class, plan string) {
	t.requests++
	answer := answerLine(t.gateway.send(fmt.Sprint("r", t.requests), class, plan))
	fmt.Fprintf(t, "  %s on %s: %s\n", class, plan, answer)
}

// requestUntilServed repeats a request until it is served, since a raised rate takes time to add units. Then it sends
// the request once more and records that answer.
func (t *configurationTrace) requestUntilServed(class, plan string) {
	deadline := time.Now().Add(connectionLimit)
	for time.Now().Before(deadline) {
		if answerLine(t.gateway.send(fmt.Sprint("r", t.requests), class, plan)) == "v" {
			break
		}
		t.requests++
	}
	t.request(class, plan)
}

// change applies changes, and records them with the log line that they cause.
func (t *configurationTrace) change(lines ...string) {
	t.gateway.apply(lines...)
	fmt.Fprintf(t, "%s\n  %s", strings.Join(lines, "; "), <-t.gateway.configurationLog)
}

// Guards against changes of the configuration that miss the next request, and against changes that affect requests in
// flight: those end as under the version of their arrival.
func TestConfigurationInForce(t *testing.T) {
	g := newConfigurableGateway(t, nil)
	trace := &configurationTrace{gateway: g}
	inFlight := []net.Conn{g.send("hold-1", "lookup", "gold"), g.send("hold-2", "order", "gold")}
	<-g.heldRequests
	<-g.heldRequests
	trace.request("lookup", "gold") // the burst is spent
	trace.change(`limits {"max_attempts":2}`)
	trace.request("lookup", "gold")
	trace.change(`plans/gold {"rate":1000000,"burst":400,"worth_factor":1}`)
	trace.requestUntilServed("lookup", "gold")
	trace.change(`plans/gold {"rate":0.001,"burst":1,"worth_factor":1}`)
	trace.request("lookup", "gold") // the lowered burst applies at once
	trace.request("lookup", "gold")
	trace.change(
		`plans/silver {"rate":1000000,"burst":400,"worth_factor":1}`,
		`plans/gold `,
		`classes/pay {"effect":"unsafe","hard_limit_us":19000000,"points":1}`,
		`classes/order `,
	)
	trace.request("lookup", "gold")
	trace.request("order", "silver")
	trace.requestUntilServed("pay", "silver")
	trace.requestUntilServed("lookup", "silver")
	trace.request("lookup", "bronze")
	trace.change(
		`plans/gold {"parallel":100,"worth_factor":1}`,
		`classes/lookup {"effect":"keyed","window_us":1000,"hard_limit_us":19000000}`,
	)
	trace.request("pay", "gold")
	trace.request("lookup", "gold")
	close(g.releaseHeld)
	for _, conn := range inFlight {
		fmt.Fprintf(trace, "in flight all the while: %s\n", answerLine(conn))
	}
	golden.Check(t, trace.String())
	g.stop()
	if err := g.node.ApplyConfiguration(9, &config.Revision{}); !errors.Is(err, ErrStopped) {
		t.Errorf("applying a version after the gateway has stopped: %v, want ErrStopped", err)
	}
}

// openDatagramSocket opens a socket whose reads end within connectionLimit.
func openDatagramSocket(t *testing.T) *net.UDPConn {
	socket, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { socket.Close() })
	socket.SetReadDeadline(time.Now().Add(connectionLimit))
	return socket
}

// Guards against gossip to an outdated member address. A fleet of one gets a second member, whose address is then
// replaced. Gossip, which identifies plans by ID, must arrive at the address in the configuration.
func TestMembersInForce(t *testing.T) {
	sockets := []*net.UDPConn{openDatagramSocket(t), openDatagramSocket(t)}
	g := newConfigurableGateway(t, func(cfg *config.Config) {
		cfg.PeerListen = netip.MustParseAddrPort("127.0.0.1:0")
		cfg.Peers = []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:1")}
	})
	for i, socket := range sockets {
		g.apply(`members/0 "127.0.0.1:1"`, fmt.Sprintf(`members/1 "%s"`, socket.LocalAddr()))
		if line := <-g.configurationLog; !strings.Contains(line, "members=2") {
			t.Error(line)
		}
		message := make([]byte, gossip.MaxMessageBytes)
		n, _, err := socket.ReadFromUDPAddrPort(message)
		if err != nil {
			t.Fatalf("address %d: %v", i, err)
		}
		decoded := false
		gossip.Format{Members: 2, PlansByID: true}.Decode(message[:n], func(uint64, uint64) bool {
			decoded = true
			return false
		}, nil, nil)
		if !decoded {
			t.Errorf("address %d: the message is not in the format with plan IDs: %x", i, message[:n])
		}
	}
}

// callRecorder is a module that records arrivals and changes of the configuration in the order of its calls.
type callRecorder struct{ calls chan string }

func (o *callRecorder) Decide(batch *gateway.Batch, actions gateway.Actions) {
	for _, event := range batch.Events {
		if event.Kind == gateway.RequestArrived {
			o.calls <- event.RequestID
			actions.Reject(event.RequestID, 0)
		}
	}
}

func (o *callRecorder) Reconfigure(_ gateway.Time, update *gateway.SettingsUpdate) {
	o.calls <- fmt.Sprint(update.Members, " members")
}

// Guards against a change of the configuration that overtakes requests which arrived before it: both wait for the loop
// at the same time.
func TestConfigurationChangesBetweenBatches(t *testing.T) {
	module := &callRecorder{calls: make(chan string, 9)}
	var n *Node
	running := serve(t, module, func(node *Node) { n = node })
	conn := dial(t, running.addr)
	roundTrip(t, conn, "", 0)
	releaseLoop := make(chan struct{})
	applied := make(chan struct{})
	n.runOnLoop(func() { <-releaseLoop })
	go func() {
		n.ApplyConfiguration(1, &config.Revision{Update: gateway.SettingsUpdate{Members: 1}, MemberCount: 1})
		close(applied)
	}()
	io.WriteString(conn, command("a", 1)+command("a", 2))
	for len(n.inbox) < 2 { // a function of the client's reader and the change, in either order
		time.Sleep(time.Millisecond)
	}
	close(releaseLoop)
	<-applied
	if got := <-module.calls + ", " + <-module.calls + ", " + <-module.calls; got != "1, 2, 1 members" {
		t.Error(got)
	}
	conn.Close()
	running.stop()
	running.wait()
}
