package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/prometheus/procfs"
	"golang.org/x/sys/unix"
)

// runAsGateway is the environment variable that makes this test binary run the gateway's main instead of the tests.
const runAsGateway = "RAVENSILL_PROGRAM"

// waitLimit bounds each wait for an event that must happen; no test passes by reaching it.
const waitLimit = 20 * time.Second

func TestMain(m *testing.M) {
	if os.Getenv(runAsGateway) == "1" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// gatewayProcess is one running gateway with its configuration, its log and the discovery agent that it watches.
type gatewayProcess struct {
	*testing.T
	cmd            *exec.Cmd
	configFile     string
	discoveryAgent net.Listener // the agent named by the first configuration
	config         map[string]any
	addr           string        // where clients connect
	peerAddr       string        // where datagrams of other gateways arrive
	observerLine   string        // log line of the counterfactual observer's start, if it is configured
	watches        chan net.Conn // discovery watches whose response head was sent
	watchRequests  chan string   // request lines of these watches
	startupLog     []string      // log lines up to the start that no test has taken
	log            chan string   // later log lines
	logs           io.Closer     // read end of the log
	exited         chan error
}

// hostEntry is one host of a host list, as discovery sends it.
func hostEntry(id, addr, state string) map[string]any {
	return map[string]any{"id": id, "addr": addr, "zone": "a", "kind": "m", "cell": 0, "state": state, "weight": 1, "started_ms": 0}
}

// startGateway writes a configuration, changed by configure if that is not nil, starts a gateway with it and a discovery agent
// beside it, and waits until the gateway serves or has failed to start.
func startGateway(t *testing.T, configure func(config, settings map[string]any), hosts ...*testHost) *gatewayProcess {
	discoveryAgent, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	gateway := &gatewayProcess{
		T:              t,
		discoveryAgent: discoveryAgent,
		watches:        make(chan net.Conn, 9),
		watchRequests:  make(chan string, 9),
		log:            make(chan string, 999),
		exited:         make(chan error, 1),
	}
	t.Cleanup(func() { discoveryAgent.Close() })
	requestClass := func(name, effect string, target int) map[string]any {
		return map[string]any{"name": name, "effect": effect, "target_us": target, "hard_limit_us": 5000000, "points": 1, "window_us": 5000000}
	}
	settings := map[string]any{"balancers": 1, "position": 0, "zones": []string{"a"}, "skus": []string{"m"},
		"limits":   map[string]any{"max_attempts": 3, "cancelling": true, "retry_after": true, "conn_idle_us": 30000000, "connect_timeout_us": 250000, "peer_messages": true},
		"profiles": []any{requestClass("lookup", "safe", 4000000), requestClass("order", "keyed", 4000000), requestClass("pay", "unsafe", 4000000), requestClass("quick", "safe", 300000)},
		"plans":    []any{map[string]any{"name": "team", "rate": 0.01, "burst": 8, "worth_factor": 1}},
		"report":   map[string]any{"how": "inline", "names": []string{"utilization"}}, "family_info": map[string]any{"mail_per_s": 40}}
	var hostList []any
	for i, h := range hosts {
		hostList = append(hostList, hostEntry(fmt.Sprint("h", i), h.Addr().String(), "active"))
	}
	config := map[string]any{"name": "n0", "listen": "127.0.0.1:0", "discovery": discoveryAgent.Addr().String(), "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"memory_mb": 192, "sockets": 1024}, "known": map[string]any{"version": 41, "full": true, "servers": hostList}, "settings": settings}
	if configure != nil {
		configure(config, settings)
	}
	initialHosts, _ := config["agent"].([]any) // what discovery's agent has from the first moment on
	go gateway.serveDiscovery(discoveryAgent, initialHosts...)
	gateway.configFile, gateway.config = filepath.Join(t.TempDir(), "config.json"), config
	gateway.writeConfig()
	gateway.cmd = exec.Command(os.Args[0])
	if n := config["ulimit"]; n != nil { // descriptors that the system allows
		gateway.cmd = exec.Command("sh", "-c", fmt.Sprintf(`ulimit -n %d; exec "$0"`, n), os.Args[0])
	}
	gateway.cmd.Env = append(os.Environ(), runAsGateway+"=1", "GW_CONFIG="+gateway.configFile, "GW_DISCOVERY="+config["discovery"].(string), "GORACE=halt_on_error=1")
	gateway.startAndWait()
	return gateway
}

// startAndWait starts the program and waits for its first event.
func (g *gatewayProcess) startAndWait() {
	g.startProcess()
	g.waitUntilStarted()
}

// startProcess starts the program and follows its log; a logged panic kills it.
func (g *gatewayProcess) startProcess() {
	out, err := g.cmd.StderrPipe()
	if err != nil {
		g.Fatal(err)
	}
	g.logs = out
	if err := g.cmd.Start(); err != nil {
		g.Fatal(err)
	}
	go func() {
		for s := bufio.NewScanner(out); s.Scan(); {
			if g.log <- s.Text(); strings.Contains(s.Text(), "event=panic") {
				g.cmd.Process.Kill()
			}
		}
		g.exited <- g.cmd.Wait()
		close(g.log)
	}()
	g.Cleanup(func() { g.cmd.Process.Kill() })
}

// waitUntilStarted reads the log up to the line that tells the outcome of the start. After a failed start addr holds that line.
func (g *gatewayProcess) waitUntilStarted() {
	line, lines := "", []string(nil)
	for !endsStart(line) {
		line = g.waitForLog("event=")
		if lines = append(lines, line); strings.Contains(line, "event=observer_started") {
			g.observerLine = line
		}
	}
	g.startupLog = lines
	if strings.Contains(line, "event=start_failed") {
		g.addr = line
	} else if strings.Contains(line, "event=serving") {
		fmt.Sscanf(line[strings.Index(line, "listen="):], "listen=%s peer_listen=%s", &g.addr, &g.peerAddr)
	}
}

// endsStart tells whether a log line is the last one of a start, successful or not.
func endsStart(line string) bool {
	if strings.Contains(line, "event=settings") {
		return false
	}
	return strings.Contains(line, "event=s") || strings.Contains(line, "event=listen_address") || strings.Contains(line, "event=gateway_failed")
}

// writeConfig writes config to the configuration file.
func (g *gatewayProcess) writeConfig() {
	text, _ := json.Marshal(g.config)
	if err := os.WriteFile(g.configFile, text, 0o644); err != nil {
		g.Fatal(err)
	}
}

// serveDiscovery is a discovery agent: it answers each watch at once with entries.
func (g *gatewayProcess) serveDiscovery(agent net.Listener, entries ...any) {
	for {
		conn, err := agent.Accept()
		if err != nil {
			return
		}
		reader := bufio.NewReader(conn)
		requestLine, _ := reader.ReadString('\n')
		for line := requestLine; len(line) > 2; {
			line, _ = reader.ReadString('\n')
		}
		io.WriteString(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		version := 0
		fmt.Sscanf(requestLine, "GET /v1/servers?watch=1&after=%d ", &version)
		sendHostList(conn, version, entries...)
		g.watchRequests <- requestLine
		g.watches <- conn
	}
}

// sendHostList sends a delta of the host list in two HTTP chunks; odd versions are indented.
func sendHostList(conn net.Conn, version int, entries ...any) {
	update := map[string]any{"version": version, "full": false, "servers": entries}
	text, _ := json.Marshal(update)
	if version%2 == 1 {
		text, _ = json.MarshalIndent(update, "", "\t")
	}
	fmt.Fprintf(conn, "%x\r\n%s\r\n%x\r\n%s\n\r\n", 5, text[:5], len(text)-4, text[5:])
}

// waitForLog waits for a log line that contains text.
func (g *gatewayProcess) waitForLog(text string) string {
	if i := slices.IndexFunc(g.startupLog, func(l string) bool { return strings.Contains(l, text) }); i >= 0 {
		l := g.startupLog[i]
		g.startupLog = g.startupLog[i+1:]
		return l
	}
	for limit := time.After(waitLimit); ; {
		select {
		case l, ok := <-g.log:
			if !ok {
				g.Fatalf("the program ended before saying %q", text)
			}
			if strings.Contains(l, text) {
				return l
			}
		case <-limit:
			g.Fatalf("never said %q", text)
		}
	}
}

// receive takes the next value of a channel.
func receive[T any](gateway *gatewayProcess, c chan T) T {
	select {
	case value := <-c:
		return value
	case <-time.After(waitLimit):
		gateway.Fatal("nothing came")
		panic("")
	}
}

// retryWhenSlow repeats a run of which the machine's load may have delayed a step: run returns that delay, or "" when every step
// was in time. A faulty program is slow in every run and fails the test.
func retryWhenSlow(t *testing.T, run func() (slow string)) {
	slow := ""
	for range 6 {
		if slow = run(); slow == "" || t.Failed() {
			return
		}
		t.Log(slow)
	}
	t.Error(slow)
}

// faultUnlessLate reports a command that a stopping gateway left unanswered. Only in the last moments before it exits, which
// begin 3 s after the request to stop at the earliest, may a command on an open connection have no answer.
func faultUnlessLate(t *testing.T, stopRequested time.Time, fault string) string {
	if time.Since(stopRequested) < 3*time.Second {
		t.Error(fault)
	}
	return fault
}

// pause stops the process with SIGSTOP and waits until it stands still.
func (g *gatewayProcess) pause() {
	g.cmd.Process.Signal(syscall.SIGSTOP)
	for process, err := procfs.NewProc(g.cmd.Process.Pid); ; {
		stat, statErr := process.Stat()
		if err != nil || statErr != nil {
			g.Fatal(err, statErr)
		}
		if stat.State == "T" {
			return
		}
	}
}

// testClient is one client connection to a gateway.
type testClient struct {
	*gatewayProcess
	net.Conn
	reader *bufio.Reader
}

// connect opens a client connection.
func (g *gatewayProcess) connect() *testClient {
	conn, err := net.Dial("tcp4", g.addr)
	if err != nil {
		g.Fatal(err)
	}
	g.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(waitLimit))
	return &testClient{g, conn, bufio.NewReader(conn)}
}

func (c *testClient) send(cmds ...string) { io.WriteString(c.Conn, strings.Join(cmds, "")) }

// readAnswer returns the next answer, or the text of the error that ended the connection.
func (c *testClient) readAnswer() string {
	elements, err := readReply(c.reader)
	if err != nil {
		return err.Error()
	}
	return elements[0]
}

func (c *testClient) roundTrip(cmd string) string {
	c.send(cmd)
	return c.readAnswer()
}

var lastRequestID int

// requestCommand encodes a request of a customer in a request class.
func requestCommand(class string, customer int, body ...string) string {
	lastRequestID++
	verb := "CALL.POST"
	if class == "lookup" || class == "quick" {
		verb = "CALL.GET"
	}
	return respArray(append([]string{verb, fmt.Sprintf("%016x", customer), fmt.Sprint("id", lastRequestID), "c=" + class + ",t=team,d=3000,k=00ff,units=1,spread=1,first=0"}, body...)...)
}

// signal sends a signal and waits for a log line, if one is given.
func (g *gatewayProcess) signal(s syscall.Signal, line string) {
	g.cmd.Process.Signal(s)
	if line != "" {
		g.waitForLog(line)
	}
}

// sendAllSignals sends each signal that a platform sends, in the worst order: none may end the program before its time.
func (g *gatewayProcess) sendAllSignals() {
	g.signal(syscall.SIGHUP, "event=reloaded")
	g.signal(syscall.SIGTERM, "event=shutdown_started clients=")
	g.signal(syscall.SIGHUP, "event=reloaded")
	g.signal(syscall.SIGTERM, "event=shutdown_signal_repeated")
}

// waitUntilHalfClosed waits until the gateway has closed its sending side; received bytes stay unread.
func (c *testClient) waitUntilHalfClosed() {
	raw, err := c.Conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		c.Fatal(err)
	}
	raw.Control(func(fd uintptr) {
		ends := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		for n := 0; n == 0; {
			if n, err = unix.Poll(ends, 20_000); err == unix.EINTR {
				n, err = 0, nil
			} else if n == 0 {
				err = errors.New("it is not half-closed")
				return
			}
		}
	})
	if err != nil {
		c.Fatal(err)
	}
}

// exitStatus waits for the end of the process.
func (g *gatewayProcess) exitStatus() string {
	if err := receive(g, g.exited); err != nil {
		return err.Error()
	}
	return "exit 0"
}

// configureShortDeadlines sets latency objectives so short that a gateway ends all connections 0.8 s after a request to stop.
func configureShortDeadlines(_, settings map[string]any) {
	for _, p := range settings["profiles"].([]any) {
		p.(map[string]any)["target_us"], p.(map[string]any)["hard_limit_us"] = 200000, 300000
	}
}

// countUDPSockets returns how many UDP sockets the process has open.
func (g *gatewayProcess) countUDPSockets() (n int) {
	process, err := procfs.NewProc(g.cmd.Process.Pid)
	if err != nil {
		g.Fatal(err)
	}
	targets, err := process.FileDescriptorTargets()
	if err != nil {
		g.Fatal(err)
	}
	fs, err := procfs.NewDefaultFS()
	if err != nil {
		g.Fatal(err)
	}
	sockets, err := fs.NetUDP()
	if err != nil {
		g.Fatal(err)
	}
	for _, socket := range sockets {
		for _, target := range targets {
			if target == fmt.Sprintf("socket:[%d]", socket.Inode) {
				n++
			}
		}
	}
	return n
}
