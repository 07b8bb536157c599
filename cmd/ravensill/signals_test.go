package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"

	"ravensill/internal/golden"
)

const exampleFile = "../../deploy/example.json"

// TestSignalsWhileConfigurationIsRead sends a signal while the gateway reads its configuration file, which is a named
// pipe. A SIGHUP must not end the program, and a SIGTERM must.
func TestSignalsWhileConfigurationIsRead(t *testing.T) {
	var trace strings.Builder
	for _, s := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM} {
		pipe := filepath.Join(t.TempDir(), "config")
		if err := syscall.Mkfifo(pipe, 0o600); err != nil {
			t.Fatal(err)
		}
		text, err := os.ReadFile(exampleFile)
		if err != nil {
			t.Fatal(err)
		}
		silent, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer silent.Close()
		gateway := newProcess(t)
		gateway.cmd.Env = append(os.Environ(),
			runAsGateway+"=1",
			"GW_CONFIG="+pipe,
			"GW_LISTEN=127.0.0.1:0",
			"GW_DISCOVERY="+silent.Addr().String(),
		)
		gateway.startProcess()
		file, err := os.OpenFile(pipe, os.O_WRONLY, 0) // returns once the gateway has opened the pipe to read it
		if err != nil {
			t.Fatal(err)
		}
		gateway.cmd.Process.Signal(s)
		file.Write(text)
		file.Close()
		if s == syscall.SIGHUP {
			gateway.waitForLog("event=serving") // without a list from the agent, which is silent
			gateway.signal(syscall.SIGTERM, "event=shutdown_started clients=0")
		}
		fmt.Fprintf(&trace, "%v: %s\n", s, gateway.exitStatus())
	}
	golden.Check(t, trace.String())
}

// TestSignalsBeforeFirstList sends signals while the program waits for the agent's first answer and accepts no clients
// yet. A SIGHUP must be handled, and a SIGTERM must end the program at once, even if the agent answers then.
func TestSignalsBeforeFirstList(t *testing.T) {
	silent, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	text, err := os.ReadFile(exampleFile)
	if err != nil {
		t.Fatal(err)
	}
	gateway := newProcess(t)
	gateway.configFile = filepath.Join(t.TempDir(), "config")
	text = setKey(t, text, "discovery", strconv.Quote(silent.Addr().String()))
	text = setKey(t, text, "listen", `"127.0.0.1:0"`)
	gateway.writeConfigText(text)
	gateway.cmd.Env = append(os.Environ(), runAsGateway+"=1", "GW_CONFIG="+gateway.configFile)
	gateway.startProcess()
	c, err := silent.Accept() // the gateway's watch, which shows that the gateway runs
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	gateway.signal(syscall.SIGHUP, "event=reloaded")
	gateway.signal(syscall.SIGTERM, "event=shutdown_started")
	io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n") // too late
	sendHostList(c, 1)
	var lines []string
	for line := range gateway.log {
		lines = append(lines, line)
	}
	log := strings.Join(lines, "\n")
	if strings.Contains(log, "event=serving") || !strings.Contains(log, "event=stopped") {
		t.Errorf("the gateway accepted clients, or did not stop:\n%s", log)
	}
	if status := gateway.exitStatus(); status != "exit 0" {
		t.Error(status)
	}
}

// TestSignalsDuringRequest guards against a request in flight, or later ones on the same connection, that are not
// answered after signals: they are served until all connections end.
func TestSignalsDuringRequest(t *testing.T) {
	host, received, release := newBlockingHost(t)
	gateway := startGateway(t, nil, host)
	c := gateway.connect()
	c.send(requestCommand("order", 1))
	receive(gateway, received)
	gateway.sendAllSignals()
	close(release)
	trace := fmt.Sprintln("in flight:", c.readAnswer())
	trace += fmt.Sprintln("after the signals:", c.roundTrip(requestCommand("lookup", 2)))
	gateway.waitForLog("event=listener_closed")
	trace += fmt.Sprintln("after the listener closed:", c.roundTrip(requestCommand("lookup", 3)))
	c.Close()
	golden.Check(t, trace+gateway.exitStatus()+"\n")
}

// TestSignalsDuringPartialCommand sends signals while the gateway has read a part of a command. The rest must be read
// and the command answered. A connection on which the rest never arrives must end with all others.
func TestSignalsDuringPartialCommand(t *testing.T) {
	host := valueHost(t)
	gateway := startGateway(t, configureShortDeadlines, host)
	c, incomplete := gateway.connect(), gateway.connect()
	command := requestCommand("order", 1, strings.Repeat("b", 9000))
	for _, c := range []*testClient{c, incomplete} {
		c.send(respArray("PING"), command[:4000])
		if a := c.readAnswer(); a != "+PONG" {
			t.Fatal(a)
		}
	}
	gateway.sendAllSignals()
	c.send(command[4000:])
	trace := fmt.Sprintln("completed:", c.readAnswer())
	trace += fmt.Sprintln("never completed:", incomplete.readAnswer())
	trace += fmt.Sprintln("at the end:", c.readAnswer())
	golden.Check(t, trace+gateway.exitStatus()+"\n")
	if commands := host.takeReceived(); len(commands) != 1 {
		t.Errorf("the host received %.99q, want one command", commands)
	}
}

// TestSignalsBetweenAnswerAndClose sends a command after the gateway has half-closed the connection at its shutdown.
// The earlier answers must arrive complete, and the command must not be forwarded: the client sees the end of the
// stream instead of an answer.
func TestSignalsBetweenAnswerAndClose(t *testing.T) {
	large := strings.Repeat("v", 20<<10)
	host := newHost(t, func([]string) string { return successReply(large) })
	gateway := startGateway(t, configureShortDeadlines, host)
	c := gateway.connect()
	c.send(requestCommand("lookup", 1), requestCommand("lookup", 2), requestCommand("lookup", 3))
	gateway.sendAllSignals()
	c.waitUntilHalfClosed() // the client has not read any of its answers yet
	c.send(requestCommand("lookup", 4))
	gateway.signal(syscall.SIGTERM, "event=shutdown_signal_repeated")
	var trace strings.Builder
	for range 3 {
		a := c.readAnswer()
		fmt.Fprintln(&trace, "complete answer:", a == large)
	}
	fmt.Fprintln(&trace, "after the half-close:", c.readAnswer())
	fmt.Fprintln(&trace, "commands forwarded:", len(host.takeReceived()))
	fmt.Fprintln(&trace, gateway.exitStatus()) // the process ends although no client closes its connection
	golden.Check(t, trace.String())
}

func TestSecondInterruptEndsProgramAtOnce(t *testing.T) {
	gateway := startGateway(t, nil, newHost(t, func([]string) string { return "" }))
	gateway.connect().roundTrip(respArray("PING"))
	gateway.signal(syscall.SIGINT, "event=shutdown_started")
	gateway.signal(syscall.SIGINT, "event=shutdown_aborted")
	var exit *exec.ExitError
	if err := receive(gateway, gateway.exited); !errors.As(err, &exit) || exit.ExitCode() != 1 {
		t.Error(err)
	}
}

// TestServesWithoutLogReader guards against a program that ends or stops serving once the reader of its log has exited.
func TestServesWithoutLogReader(t *testing.T) {
	gateway := startGateway(t, nil, valueHost(t))
	c := gateway.connect()
	gateway.logPipe.Close()
	for range 3 {
		gateway.cmd.Process.Signal(syscall.SIGHUP) // each one makes the gateway write a log line
		if a := c.roundTrip(requestCommand("lookup", 1)); a != "v" {
			t.Fatal(a)
		}
	}
	gateway.cmd.Process.Signal(syscall.SIGTERM)
	if a := c.roundTrip(requestCommand("lookup", 1)); a != "v" {
		t.Error(a)
	}
	c.Close()
	if status := gateway.exitStatus(); status != "exit 0" {
		t.Error(status)
	}
}
