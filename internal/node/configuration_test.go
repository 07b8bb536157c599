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

// liveGateway is a gateway with the real decision module and one host, whose configuration the test changes.
type liveGateway struct {
	*testing.T
	node    *Node
	config  *config.Live
	version configsync.Version
	lines   chan string   // of the log, on the configuration
	addr    string        // where clients connect
	held    chan struct{} // receives when the host gets a request whose id begins with "hold"
	release chan struct{} // closed: the host answers those too
	result  chan error    // of Run
	stopped chan struct{} // closed: the gateway is called to stop
}

const liveSettings = `{"balancers":1,
 "limits":{"max_attempts":2,"retry_after":true,"peer_messages":true},
 "profiles":[{"name":"lookup","hard_limit_us":19000000,"points":1},
  {"name":"order","effect":"unsafe","hard_limit_us":19000000,"points":1}],
 "plans":[{"name":"gold","rate":0.001,"burst":2,"worth_factor":1}],
 "family_info":{"mail_per_s":40}}`

func newLiveGateway(t *testing.T, configure func(*config.Config)) *liveGateway {
	g := &liveGateway{
		T:       t,
		lines:   make(chan string, 99),
		held:    make(chan struct{}, 9),
		release: make(chan struct{}),
		result:  make(chan error, 1),
		stopped: make(chan struct{}),
	}
	settings, err := config.DecodeSettings(liveSettings)
	if err != nil {
		t.Fatal(err)
	}
	settings.Plans[0].ID = configsync.PlanID("gold")
	settings.ConnectTimeout = connectionLimit
	settings.ConnIdle = connectionLimit
	settings.Limits.PollEndpoints = true // clients are accepted without an agent
	cfg := testConfig(settings)
	cfg.InitialEndpointList = knownHost(g.startHost())
	cfg.Configuration = &config.Configuration{}
	if configure != nil {
		configure(cfg)
	}
	g.config = config.NewLive(cfg)
	module := logic.New(cfg.Seed, cfg.Membership, cfg.Classes, cfg.Plans, cfg.Limits, cfg.SlowStart, cfg.LoadReport)
	g.node = New(cfg, module)
	serving := make(chan string, 1)
	restoreLog := logging.SetOutput(logWriter(func(line string) {
		if _, rest, found := strings.Cut(line, `event=serving name="" listen=`); found {
			serving <- strings.Fields(rest)[0]
		}
		if at := strings.Index(line, "event=configuration"); at >= 0 {
			g.lines <- line[at:]
		}
	}))
	go func() { g.result <- g.node.Run(g.stopped) }()
	t.Cleanup(func() {
		g.stop()
		restoreLog()
	})
	g.addr = <-serving
	return g
}

// logWriter is called with each line of a log.
type logWriter func(line string)

func (w logWriter) Write(line []byte) (int, error) {
	w(string(line))
	return len(line), nil
}

func (g *liveGateway) stop() {
	select {
	case <-g.stopped:
	default:
		close(g.stopped)
		<-g.result
	}
}

// startHost starts the host, which answers each command with "v".
func (g *liveGateway) startHost() (addr string) {
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

func (g *liveGateway) serveAtHost(conn net.Conn) {
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
		if strings.HasPrefix(lines[requestIDAt], "hold") {
			g.held <- struct{}{}
			<-g.release
		}
		io.WriteString(conn, "*1\r\n$1\r\nv\r\n")
	}
}

// apply puts changes in force: lines of a resource and its value each.
func (g *liveGateway) apply(lines ...string) {
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

// send sends a request of customer 1 on a connection of its own.
func (g *liveGateway) send(id, class, plan string) net.Conn {
	conn := dial(g.T, g.addr)
	verb := "CALL.GET"
	if class == "order" || class == "pay" {
		verb = "CALL.POST"
	}
	arguments := fmt.Sprintf("c=%s,t=%s,d=19000,units=1,spread=1,first=0", class, plan)
	io.WriteString(conn, respArray(verb, "0000000000000001", id, arguments))
	return conn
}

// answerLine returns the first line of an answer, or the one line of a value, and closes the connection.
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

// configurationTrace writes down changes of a gateway's configuration, and the answers to requests after each.
type configurationTrace struct {
	strings.Builder
	gateway  *liveGateway
	requests int
}

// request sends a request and writes its answer down.
func (r *configurationTrace) request(class, plan string) {
	r.requests++
	answer := answerLine(r.gateway.send(fmt.Sprint("r", r.requests), class, plan))
	fmt.Fprintf(r, "  %s on %s: %s\n", class, plan, answer)
}

// requestUntilServed repeats a request until it is served, since a raised rate adds no units at once, and writes the
// answer to one more down.
func (r *configurationTrace) requestUntilServed(class, plan string) {
	limit := time.Now().Add(connectionLimit)
	for time.Now().Before(limit) {
		if answerLine(r.gateway.send(fmt.Sprint("r", r.requests), class, plan)) == "v" {
			break
		}
		r.requests++
	}
	r.request(class, plan)
}

// change applies changes and writes the log line down.
func (r *configurationTrace) change(lines ...string) {
	r.gateway.apply(lines...)
	fmt.Fprintf(r, "%s\n  %s", strings.Join(lines, "; "), <-r.gateway.lines)
}

// Each change applies from the next request on; a request in flight ends as under the version before.
func TestConfigurationInForce(t *testing.T) {
	g := newLiveGateway(t, nil)
	trace := &configurationTrace{gateway: g}
	inFlight := []net.Conn{g.send("hold-1", "lookup", "gold"), g.send("hold-2", "order", "gold")}
	<-g.held
	<-g.held
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
	close(g.release)
	for _, conn := range inFlight {
		fmt.Fprintf(trace, "in flight all the while: %s\n", answerLine(conn))
	}
	golden.Check(t, trace.String())
	g.stop()
	if err := g.node.ApplyConfiguration(9, &config.Revision{}); !errors.Is(err, ErrStopped) {
		t.Errorf("after the end: %v", err)
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

// A fleet of one gets a second member, whose address is then replaced: gossip, which names plans by ID, goes where the
// configuration says.
func TestMembersInForce(t *testing.T) {
	sockets := []*net.UDPConn{openDatagramSocket(t), openDatagramSocket(t)}
	g := newLiveGateway(t, func(cfg *config.Config) {
		cfg.PeerListen = netip.MustParseAddrPort("127.0.0.1:0")
		cfg.Peers = []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:1")}
	})
	for i, socket := range sockets {
		g.apply(`members/0 "127.0.0.1:1"`, fmt.Sprintf(`members/1 "%s"`, socket.LocalAddr()))
		if line := <-g.lines; !strings.Contains(line, "members=2") {
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
			t.Errorf("address %d: a message of another format: %x", i, message[:n])
		}
	}
}

// orderRecorder is a module that records the order of arrivals and new settings.
type orderRecorder struct{ calls chan string }

func (o *orderRecorder) Decide(batch *gateway.Batch, actions gateway.Actions) {
	for _, event := range batch.Events {
		if event.Kind == gateway.RequestArrived {
			o.calls <- event.RequestID
			actions.Reject(event.RequestID, 0)
		}
	}
}

func (o *orderRecorder) Reconfigure(_ gateway.Time, update *gateway.SettingsUpdate) {
	o.calls <- fmt.Sprint(update.Members, " members")
}

// What arrived before a change is decided before it, even if both wait for the loop together.
func TestConfigurationChangesBetweenBatches(t *testing.T) {
	module := &orderRecorder{calls: make(chan string, 9)}
	var n *Node
	running := serve(t, module, func(node *Node) { n = node })
	conn := dial(t, running.addr)
	roundTrip(t, conn, "", 0)
	busy := make(chan struct{})
	applied := make(chan struct{})
	n.runOnLoop(func() { <-busy })
	go func() {
		n.ApplyConfiguration(1, &config.Revision{Update: gateway.SettingsUpdate{Members: 1}, MemberCount: 1})
		close(applied)
	}()
	io.WriteString(conn, command("a", 1)+command("a", 2))
	for len(n.work) < 2 { // the reader's and the change, in either order
		time.Sleep(time.Millisecond)
	}
	close(busy)
	<-applied
	if got := <-module.calls + ", " + <-module.calls + ", " + <-module.calls; got != "1, 2, 1 members" {
		t.Error(got)
	}
	conn.Close()
	running.stop()
	running.ended()
}
