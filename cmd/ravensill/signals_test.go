package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"ravensill/internal/golden"
)

// TestSignalWhileStarting sends signals while the configuration is read: SIGHUP does not end the program, SIGTERM does.
func TestSignalWhileStarting(t *testing.T) {
	var trace strings.Builder
	for _, s := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM} {
		pipe := filepath.Join(t.TempDir(), "config")
		if err := syscall.Mkfifo(pipe, 0o600); err != nil {
			t.Fatal(err)
		}
		text, err := os.ReadFile("../../deploy/example.json")
		if err != nil {
			t.Fatal(err)
		}
		silent, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer silent.Close()
		gateway := &gatewayProcess{T: t, log: make(chan string, 999), exited: make(chan error, 1)}
		gateway.cmd = exec.Command(os.Args[0])
		gateway.cmd.Env = append(os.Environ(), runAsGateway+"=1", "GW_CONFIG="+pipe, "GW_LISTEN=127.0.0.1:0", "GW_DISCOVERY="+silent.Addr().String())
		gateway.startProcess()
		f, err := os.OpenFile(pipe, os.O_WRONLY, 0) // it has opened it, too, and waits for what it says
		if err != nil {
			t.Fatal(err)
		}
		gateway.cmd.Process.Signal(s)
		f.Write(text)
		f.Close()
		if s == syscall.SIGHUP {
			gateway.waitForLog("event=serving") // without a list: the agent says nothing
			gateway.signal(syscall.SIGTERM, "event=shutdown_started clients=0")
		}
		fmt.Fprintf(&trace, "%v: %s\n", s, gateway.exitStatus())
	}
	golden.Check(t, trace.String())
}

// TestSignalsBeforeServing sends signals while the program waits for the agent's first answer and serves nobody: SIGHUP is
// followed, and a stop request ends it at once, whatever the agent says then.
func TestSignalsBeforeServing(t *testing.T) {
	silent, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	text, err := os.ReadFile("../../deploy/example.json")
	if err != nil {
		t.Fatal(err)
	}
	gateway := &gatewayProcess{T: t, log: make(chan string, 999), exited: make(chan error, 1), configFile: filepath.Join(t.TempDir(), "config")}
	if err := json.Unmarshal(text, &gateway.config); err != nil {
		t.Fatal(err)
	}
	gateway.config["discovery"], gateway.config["listen"] = silent.Addr().String(), "127.0.0.1:0"
	gateway.writeConfig()
	gateway.cmd = exec.Command(os.Args[0])
	gateway.cmd.Env = append(os.Environ(), runAsGateway+"=1", "GW_CONFIG="+gateway.configFile)
	gateway.startProcess()
	c, err := silent.Accept() // it asks for the list: it is up
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	gateway.signal(syscall.SIGHUP, "event=reloaded")
	gateway.signal(syscall.SIGTERM, "event=shutdown_started")
	io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n") // too late
	sendHostList(c, 1)
	var lines []string
	for l := range gateway.log {
		lines = append(lines, l)
	}
	if text := strings.Join(lines, "\n"); strings.Contains(text, "event=serving") || !strings.Contains(text, "event=stopped") {
		t.Errorf("it took in clients, or did not end:\n%s", text)
	}
	if e := gateway.exitStatus(); e != "exit 0" {
		t.Error(e)
	}
}

// TestSignalsUnderRequest sends signals during a request: it is answered, and so are later ones on the same connection, until
// all connections end.
func TestSignalsUnderRequest(t *testing.T) {
	h, received, release := newBlockingHost(t)
	gateway := startGateway(t, nil, h)
	c := gateway.connect()
	c.send(requestCommand("order", 1))
	receive(gateway, received)
	gateway.sendAllSignals()
	close(release)
	trace := fmt.Sprintln("open:", c.readAnswer())
	trace += fmt.Sprintln("after:", c.roundTrip(requestCommand("lookup", 2)))
	gateway.waitForLog("event=listener_closed")
	trace += fmt.Sprintln("after it takes in no more:", c.roundTrip(requestCommand("lookup", 3)))
	c.Close()
	golden.Check(t, trace+gateway.exitStatus()+"\n")
}

// TestSignalsUnderHalfCommand sends signals while a command is partly read: its rest is read, and it is answered. One whose rest
// never comes ends with all other connections.
func TestSignalsUnderHalfCommand(t *testing.T) {
	h := newHost(t, func([]string) string { return successReply("v") })
	gateway := startGateway(t, configureShortDeadlines, h)
	c, never := gateway.connect(), gateway.connect()
	cmd := requestCommand("order", 1, strings.Repeat("b", 9000))
	for _, c := range []*testClient{c, never} {
		c.send(respArray("PING"), cmd[:4000])
		if a := c.readAnswer(); a != "+PONG" {
			t.Fatal(a)
		}
	}
	gateway.sendAllSignals()
	c.send(cmd[4000:])
	trace := fmt.Sprintln("its rest came:", c.readAnswer())
	trace += fmt.Sprintln("never:", never.readAnswer())
	trace += fmt.Sprintln("at last:", c.readAnswer())
	golden.Check(t, trace+gateway.exitStatus()+"\n")
	if cmds := h.takeReceived(); len(cmds) != 1 {
		t.Errorf("passed on: %.99q", cmds)
	}
}

// TestSignalsBetweenAnswerAndClose sends a command after the half-close: the answers before it arrive whole, the command is not
// sent on, and its client sees the end of the stream.
func TestSignalsBetweenAnswerAndClose(t *testing.T) {
	large := strings.Repeat("v", 20<<10)
	h := newHost(t, func([]string) string { return successReply(large) })
	gateway := startGateway(t, configureShortDeadlines, h)
	c := gateway.connect()
	c.send(requestCommand("lookup", 1), requestCommand("lookup", 2), requestCommand("lookup", 3))
	gateway.sendAllSignals()
	c.waitUntilHalfClosed() // it has taken nothing of its answers yet
	c.send(requestCommand("lookup", 4))
	gateway.signal(syscall.SIGTERM, "event=shutdown_signal_repeated")
	var trace strings.Builder
	for range 3 {
		a := c.readAnswer()
		fmt.Fprintln(&trace, "its answer, whole:", a == large)
	}
	fmt.Fprintln(&trace, "behind the close:", c.readAnswer())
	fmt.Fprintln(&trace, "commands passed on:", len(h.takeReceived()))
	fmt.Fprintln(&trace, gateway.exitStatus()) // though no client closes
	golden.Check(t, trace.String())
}

// TestInterruptTwice checks that a second interrupt ends the program at once.
func TestInterruptTwice(t *testing.T) {
	gateway := startGateway(t, nil, newHost(t, func([]string) string { return "" }))
	gateway.connect().roundTrip(respArray("PING"))
	gateway.signal(syscall.SIGINT, "event=shutdown_started")
	gateway.signal(syscall.SIGINT, "event=shutdown_aborted")
	var exit *exec.ExitError
	if err := receive(gateway, gateway.exited); !errors.As(err, &exit) || exit.ExitCode() != 1 {
		t.Error(err)
	}
}

// TestLogReaderGoes checks that the program serves on when the reader of its log has gone.
func TestLogReaderGoes(t *testing.T) {
	gateway := startGateway(t, nil, newHost(t, func([]string) string { return successReply("v") }))
	c := gateway.connect()
	gateway.logs.Close()
	for range 3 {
		gateway.cmd.Process.Signal(syscall.SIGHUP) // each writes a line
		if a := c.roundTrip(requestCommand("lookup", 1)); a != "v" {
			t.Fatal(a)
		}
	}
	gateway.cmd.Process.Signal(syscall.SIGTERM)
	if a := c.roundTrip(requestCommand("lookup", 1)); a != "v" {
		t.Error(a)
	}
	c.Close()
	if e := gateway.exitStatus(); e != "exit 0" {
		t.Error(e)
	}
}
