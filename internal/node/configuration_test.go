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

const waitLimit = 20 * time.Second // for what must happen; no test passes by waiting

// live is a gateway with the real decision module and one host, whose configuration the test changes.
type liveGateway struct {
	*testing.T
	node    *Node
	config  *config.Live
	version configsync.Version
	lines   chan string   // of the log, those on the configuration
	addr    string        // where clients connect
	held    chan struct{} // told when the host has a request whose id begins with "hold"
	gate    chan struct{} // closed: the host answers those too
	over    chan error    // told what Run returned
	ended   chan struct{} // closed: the gateway is called to stop
}

const liveSettings = `{"balancers":1,"limits":{"max_attempts":2,"retry_after":true,"peer_messages":true},
 "profiles":[{"name":"lookup","hard_limit_us":19000000,"points":1},{"name":"order","effect":"unsafe","hard_limit_us":19000000,"points":1}],
 "plans":[{"name":"gold","rate":0.001,"burst":2,"worth_factor":1}],"family_info":{"mail_per_s":40}}`

func newLiveGateway(t *testing.T, set func(*config.Config)) *liveGateway {
	l := &liveGateway{
		T:     t,
		lines: make(chan string, 99),
		held:  make(chan struct{}, 9),
		gate:  make(chan struct{}),
		over:  make(chan error, 1),
		ended: make(chan struct{}),
	}
	settings, err := config.Decode(liveSettings)
	if err != nil {
		t.Fatal(err)
	}
	host := l.host()
	settings.Plans[0].ID = configsync.PlanID("gold")
	settings.ConnectTimeout, settings.ConnIdle = 20e9, 20e9
	cfg := &config.Config{
		Listen:         netip.MustParseAddrPort("127.0.0.1:0"),
		Discovery:      "127.0.0.1:1",
		Sockets:        100,
		Settings:       settings,
		KnownEndpoints: fmt.Sprintf(`{"version":1,"full":true,"servers":[{"id":"s","addr":"%s","state":"active","weight":1}]}`, host),
		Configuration:  &config.Configuration{},
	}
	cfg.Limits.PollEndpoints = true // clients are taken in without discovery's agent
	if set != nil {
		set(cfg)
	}
	l.config = config.NewLive(cfg)
	l.node = New(cfg, logic.New(cfg.Seed, cfg.Membership, cfg.Classes, cfg.Plans, cfg.Limits, cfg.SlowStart, cfg.LoadReport))
	serving := make(chan string, 1)
	restoreLog := logging.SetOutput(logWriter(func(line string) {
		if _, rest, found := strings.Cut(line, "event=serving name=\"\" listen="); found {
			serving <- strings.Fields(rest)[0]
		}
		if at := strings.Index(line, "event=configuration"); at >= 0 {
			l.lines <- line[at:]
		}
	}))
	go func() { l.over <- l.node.Run(l.ended) }()
	t.Cleanup(func() {
		l.stop()
		restoreLog()
	})
	l.addr = <-serving
	return l
}

type logWriter func(line string)

func (w logWriter) Write(line []byte) (int, error) {
	w(string(line))
	return len(line), nil
}

func (l *liveGateway) stop() {
	select {
	case <-l.ended:
	default:
		close(l.ended)
		<-l.over
	}
}

// host answers commands of four words each with "v".
func (l *liveGateway) host() (addr string) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		l.Fatal(err)
	}
	l.Cleanup(func() { listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go l.answer(c)
		}
	}()
	return listener.Addr().String()
}

func (l *liveGateway) answer(c net.Conn) {
	defer c.Close()
	for in := bufio.NewReader(c); ; {
		var lines [9]string
		for i := range lines {
			line, err := in.ReadString('\n')
			if err != nil {
				return
			}
			lines[i] = line
		}
		if strings.HasPrefix(lines[6], "hold") {
			l.held <- struct{}{}
			<-l.gate
		}
		io.WriteString(c, "*1\r\n$1\r\nv\r\n")
	}
}

// apply puts changes, lines of a resource and its value, in force.
func (l *liveGateway) apply(lines ...string) {
	l.Helper()
	var changes []configsync.Change
	for _, line := range lines {
		resource, value, _ := strings.Cut(line, " ")
		changes = append(changes, configsync.Change{Resource: configsync.Resource(resource), Value: []byte(value)})
	}
	revision, err := l.config.Apply(changes, false)
	if err != nil {
		l.Fatal(err)
	}
	l.version++
	if err := l.node.Apply(l.version, revision); err != nil {
		l.Fatal(err)
	}
}

// send sends a request of customer 1 on a connection of its own.
func (l *liveGateway) send(id, class, plan string) net.Conn {
	c := dial(l.T, l.addr)
	verb := "CALL.POST"
	if class != "order" && class != "pay" {
		verb = "CALL.GET"
	}
	list := fmt.Sprintf("c=%s,t=%s,d=19000,units=1,spread=1,first=0", class, plan)
	fmt.Fprint(c, "*4\r\n")
	for _, word := range []string{verb, "0000000000000001", id, list} {
		fmt.Fprintf(c, "$%d\r\n%s\r\n", len(word), word)
	}
	return c
}

// line gives the first line of an answer, the one line of a value, and ends the connection.
func line(c net.Conn) string {
	defer c.Close()
	in := bufio.NewReader(c)
	text, err := in.ReadString('\n')
	if err == nil && text[0] == '$' {
		text, err = in.ReadString('\n')
	}
	if err != nil {
		return err.Error()
	}
	if strings.HasPrefix(text, "-BUSY ") {
		return "-BUSY with a time to come back"
	}
	return strings.TrimSpace(text)
}

// TestConfigurationInForce: each change counts from the next request on; one in flight ends as it would have.
func TestConfigurationInForce(t *testing.T) {
	l := newLiveGateway(t, nil)
	var trace strings.Builder
	ids := 0
	ask := func(class, plan string) {
		ids++
		fmt.Fprintf(&trace, "  %s on %s: %s\n", class, plan, line(l.send(fmt.Sprint("r", ids), class, plan)))
	}
	// until asks again until it is served: a raised rate gives no units at once.
	until := func(class, plan string) {
		limit := time.Now().Add(waitLimit)
		for line(l.send(fmt.Sprint("r", ids), class, plan)) != "v" && time.Now().Before(limit) {
			ids++
		}
		ask(class, plan)
	}
	change := func(lines ...string) {
		l.apply(lines...)
		fmt.Fprintf(&trace, "%s\n  %s", strings.Join(lines, "; "), <-l.lines)
	}
	inFlight := []net.Conn{l.send("hold-1", "lookup", "gold"), l.send("hold-2", "order", "gold")}
	<-l.held
	<-l.held
	ask("lookup", "gold") // its burst is spent
	change(`limits {"max_attempts":2}`)
	ask("lookup", "gold")
	change(`plans/gold {"rate":1000000,"burst":400,"worth_factor":1}`)
	until("lookup", "gold")
	change(`plans/gold {"rate":0.001,"burst":1,"worth_factor":1}`)
	ask("lookup", "gold") // the lowered burst binds at once
	ask("lookup", "gold")
	change(`plans/silver {"rate":1000000,"burst":400,"worth_factor":1}`, `plans/gold `, `classes/pay {"effect":"unsafe","hard_limit_us":19000000,"points":1}`, `classes/order `)
	ask("lookup", "gold")
	ask("order", "silver")
	until("pay", "silver")
	until("lookup", "silver")
	ask("lookup", "bronze")
	change(`plans/gold {"parallel":100,"worth_factor":1}`, `classes/lookup {"effect":"keyed","window_us":1000,"hard_limit_us":19000000}`)
	ask("pay", "gold")
	ask("lookup", "gold")
	close(l.gate)
	for _, c := range inFlight {
		fmt.Fprintf(&trace, "in flight all the while: %s\n", line(c))
	}
	golden.Check(t, trace.String())
	l.stop()
	if err := l.node.Apply(9, &config.Revision{}); !errors.Is(err, ErrEnded) {
		t.Errorf("after the end: %v", err)
	}
}

// TestMembersInForce: a fleet of one grows by a member, whose address is replaced then: messages, by the
// identity of quota plans, go where the configuration says.
func TestMembersInForce(t *testing.T) {
	var sockets []*net.UDPConn
	for range 2 {
		socket, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			t.Fatal(err)
		}
		defer socket.Close()
		socket.SetReadDeadline(time.Now().Add(waitLimit))
		sockets = append(sockets, socket)
	}
	l := newLiveGateway(t, func(cfg *config.Config) {
		cfg.PeerListen = netip.MustParseAddrPort("127.0.0.1:0")
		cfg.Peers = []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:1")}
	})
	for i, socket := range sockets {
		l.apply(`members/0 "127.0.0.1:1"`, fmt.Sprintf(`members/1 "%s"`, socket.LocalAddr()))
		if line := <-l.lines; !strings.Contains(line, "members=2") {
			t.Error(line)
		}
		message := make([]byte, gossip.MaxMessageBytes)
		n, _, err := socket.ReadFromUDPAddrPort(message)
		if err != nil {
			t.Fatalf("address %d: %v", i, err)
		}
		read := false
		gossip.Format{Members: 2, ByID: true}.Decode(message[:n], func(uint64, uint64) bool {
			read = true
			return false
		}, nil, nil)
		if !read {
			t.Errorf("address %d: a message of another form: %x", i, message[:n])
		}
	}
}

// order writes down what a module is handed in which order.
type order struct{ told chan string }

func (o *order) Decide(in *gateway.Batch, out gateway.Actions) {
	for _, e := range in.Events {
		if e.Kind == gateway.RequestArrived {
			o.told <- e.RequestID
			out.Reject(e.RequestID, 0)
		}
	}
}

func (o *order) Reconfigure(_ gateway.Time, update *gateway.Update) {
	o.told <- fmt.Sprint(update.Members, " members")
}

// TestConfigurationChangesBetweenBatches: what came in before a change is decided before it, though both wait
// for the loop together.
func TestConfigurationChangesBetweenBatches(t *testing.T) {
	o := &order{told: make(chan string, 9)}
	var n *Node
	addr, stop, ended := serve(t, o, func(node *Node) { n = node })
	c := dial(t, addr)
	ask(t, c, "", 0)
	busy, arrived := make(chan struct{}), make(chan struct{})
	n.runOnLoop(func() { <-busy })
	go func() {
		n.Apply(1, &config.Revision{Update: gateway.Update{Members: 1}, MemberCount: 1})
		close(arrived)
	}()
	io.WriteString(c, command("a", 1)+command("a", 2))
	for len(n.work) < 2 { // the reader's and the change, in whatever order
		time.Sleep(time.Millisecond)
	}
	close(busy)
	<-arrived
	if got := <-o.told + ", " + <-o.told + ", " + <-o.told; got != "1, 2, 1 members" {
		t.Error(got)
	}
	c.Close()
	stop()
	ended()
}
