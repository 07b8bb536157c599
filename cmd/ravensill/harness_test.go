package main

import (
	"bufio"
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

// gatewayProcess runs the gateway program for one test, with a configuration file, a log and a discovery agent of its
// own.
type gatewayProcess struct {
	*testing.T
	cmd            *exec.Cmd
	configFile     string
	discoveryAgent net.Listener // listener of the agent in the first configuration
	config         *gatewayConfig
	addr           string        // where clients connect
	peerAddr       string        // where gossip of other gateways arrives
	startError     string        // log line start_failed; empty: the start did not fail that way
	observerLine   string        // log line observer_started; empty: the counterfactual observer is not configured
	watches        chan net.Conn // connections of discovery watches that got their first answer
	watchRequests  chan string   // request lines of these watches
	startupLog     []string      // log lines of the start that waitForLog has not passed yet
	log            chan string   // log lines after the start; closed when the process has ended
	logPipe        io.Closer     // read end of the log
	exited         chan error    // receives the result of the process
}

// startGateway starts a gateway with the default configuration and a discovery agent, and waits until the gateway
// serves, has failed to start, or waits for an address. configure, if not nil, changes the configuration before.
func startGateway(t *testing.T, configure func(*gatewayConfig), hosts ...*testHost) *gatewayProcess {
	discoveryAgent, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { discoveryAgent.Close() })
	gateway := newProcess(t)
	gateway.discoveryAgent = discoveryAgent
	gateway.watches = make(chan net.Conn, 9)
	gateway.watchRequests = make(chan string, 9)
	config := newGatewayConfig(discoveryAgent.Addr().String(), hosts)
	if configure != nil {
		configure(config)
	}
	go gateway.serveDiscovery(discoveryAgent, config.AgentHosts...)
	gateway.configFile = filepath.Join(t.TempDir(), "config.json")
	gateway.config = config
	gateway.writeConfig()
	if config.DescriptorLimit > 0 {
		limitAndRun := fmt.Sprintf(`ulimit -n %d; exec "$0"`, config.DescriptorLimit)
		gateway.cmd = exec.Command("sh", "-c", limitAndRun, os.Args[0])
	}
	gateway.cmd.Env = append(os.Environ(),
		runAsGateway+"=1",
		"GW_CONFIG="+gateway.configFile,
		"GW_DISCOVERY="+config.Discovery,
		"GORACE=halt_on_error=1",
	)
	gateway.startAndWait()
	return gateway
}

// newProcess returns a gateway process that is not started and has no configuration yet.
func newProcess(t *testing.T) *gatewayProcess {
	gateway := &gatewayProcess{T: t, log: make(chan string, 999), exited: make(chan error, 1)}
	gateway.cmd = exec.Command(os.Args[0])
	return gateway
}

// startAndWait starts the program and waits for the outcome of the start.
func (g *gatewayProcess) startAndWait() {
	g.startProcess()
	g.waitUntilStarted()
}

// startProcess starts the program and reads its log. A program that logs a panic is killed, so that the test fails.
func (g *gatewayProcess) startProcess() {
	out, err := g.cmd.StderrPipe()
	if err != nil {
		g.Fatal(err)
	}
	g.logPipe = out
	if err := g.cmd.Start(); err != nil {
		g.Fatal(err)
	}
	go func() {
		for scanner := bufio.NewScanner(out); scanner.Scan(); {
			g.log <- scanner.Text()
			if strings.Contains(scanner.Text(), "event=panic") {
				g.cmd.Process.Kill()
			}
		}
		g.exited <- g.cmd.Wait()
		close(g.log)
	}()
	g.Cleanup(func() { g.cmd.Process.Kill() })
}

// waitUntilStarted reads the log up to the line that shows the outcome of the start, and takes addresses from it.
func (g *gatewayProcess) waitUntilStarted() {
	line := ""
	var lines []string
	for !isStartOutcome(line) {
		line = g.waitForLog("event=")
		lines = append(lines, line)
		if strings.Contains(line, "event=observer_started") {
			g.observerLine = line
		}
	}
	g.startupLog = lines
	if strings.Contains(line, "event=start_failed") {
		g.startError = line
	} else if strings.Contains(line, "event=serving") {
		fmt.Sscanf(line[strings.Index(line, "listen="):], "listen=%s peer_listen=%s", &g.addr, &g.peerAddr)
	}
}

// isStartOutcome reports whether a log line shows that the gateway serves, has failed to start, is stopping, or waits
// for an address.
func isStartOutcome(line string) bool {
	if strings.Contains(line, "event=settings") {
		return false
	}
	return strings.Contains(line, "event=s") ||
		strings.Contains(line, "event=listen_address") ||
		strings.Contains(line, "event=gateway_failed")
}

// writeConfig writes g.config to the configuration file, changed by editText if that is not nil.
func (g *gatewayProcess) writeConfig() {
	text := encodeJSON(g.T, g.config)
	if g.config.editText != nil {
		text = g.config.editText(text)
	}
	g.writeConfigText(text)
}

// writeConfigText writes the configuration file.
func (g *gatewayProcess) writeConfigText(text []byte) {
	if err := os.WriteFile(g.configFile, text, 0o644); err != nil {
		g.Fatal(err)
	}
}

// waitForLog waits for a log line that contains text and returns it. Lines before it are skipped. The lines of the
// start are searched first.
func (g *gatewayProcess) waitForLog(text string) string {
	i := slices.IndexFunc(g.startupLog, func(line string) bool { return strings.Contains(line, text) })
	if i >= 0 {
		line := g.startupLog[i]
		g.startupLog = g.startupLog[i+1:]
		return line
	}
	for timeout := time.After(waitLimit); ; {
		select {
		case line, ok := <-g.log:
			if !ok {
				g.Fatalf("the program ended before it logged %q", text)
			}
			if strings.Contains(line, text) {
				return line
			}
		case <-timeout:
			g.Fatalf("%q is not logged in time", text)
		}
	}
}

// receive returns the next value of a channel. The test fails if there is none within waitLimit.
func receive[T any](gateway *gatewayProcess, c chan T) T {
	select {
	case value := <-c:
		return value
	case <-time.After(waitLimit):
		gateway.Fatal("no value was received in time")
		panic("")
	}
}

// retryWhenSlow repeats a run in which the load of the machine may have delayed a step. run returns a description of
// that delay, or "" if every step was in time. A faulty program is slow in each of the 6 runs and fails the test.
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

// failUnlessLate reports that a command was not answered after SIGTERM, and returns the fault for retryWhenSlow. A
// gateway may leave commands on an open connection unanswered only in the last moments before it exits. Those begin no
// earlier than 3 s after the signal; before that, the test fails.
func failUnlessLate(t *testing.T, stopRequested time.Time, fault string) string {
	if time.Since(stopRequested) < 3*time.Second {
		t.Error(fault)
	}
	return fault
}

// pause stops the process with SIGSTOP and waits until it is stopped.
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

// signal sends a signal, and waits for a log line that contains line unless that is empty.
func (g *gatewayProcess) signal(s syscall.Signal, line string) {
	g.cmd.Process.Signal(s)
	if line != "" {
		g.waitForLog(line)
	}
}

// sendAllSignals sends the signals that a platform may send, in the order that is most likely to end the program early:
// a SIGHUP after SIGTERM, and a second SIGTERM.
func (g *gatewayProcess) sendAllSignals() {
	g.signal(syscall.SIGHUP, "event=reloaded")
	g.signal(syscall.SIGTERM, "event=shutdown_started clients=")
	g.signal(syscall.SIGHUP, "event=reloaded")
	g.signal(syscall.SIGTERM, "event=shutdown_signal_repeated")
}

// exitStatus waits for the end of the process and returns "exit 0" or the error.
func (g *gatewayProcess) exitStatus() string {
	if err := receive(g, g.exited); err != nil {
		return err.Error()
	}
	return "exit 0"
}

// proc returns the process's entry in /proc.
func (g *gatewayProcess) proc() procfs.Proc {
	process, err := procfs.NewProc(g.cmd.Process.Pid)
	if err != nil {
		g.Fatal(err)
	}
	return process
}

// descriptorTargets returns what the process's open descriptors refer to, such as a file's path or socket:[INODE].
func (g *gatewayProcess) descriptorTargets() []string {
	targets, err := g.proc().FileDescriptorTargets()
	if err != nil {
		g.Fatal(err)
	}
	return targets
}

// countUDPSockets returns the number of UDP sockets that the process has open.
func (g *gatewayProcess) countUDPSockets() (n int) {
	targets := g.descriptorTargets()
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

// checkSectionOff checks that a gateway whose configuration lacks a section serves, opens no UDP socket, and logs no
// line that contains a word of the section.
func checkSectionOff(t *testing.T, word string) {
	gateway := startGateway(t, nil, valueHost(t))
	if a := gateway.connect().roundTrip(requestCommand("lookup", 1)); a != "v" {
		t.Error(a)
	}
	if n := gateway.countUDPSockets(); n != 0 {
		t.Errorf("%d UDP sockets are open, want none", n)
	}
	gateway.cmd.Process.Signal(os.Interrupt)
	for line := range gateway.log {
		if strings.Contains(line, word) {
			t.Error(line)
		}
	}
}
