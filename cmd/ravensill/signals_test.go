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

// A signal in the first moments, while the configuration is read: SIGHUP does not end it, SIGTERM does.
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
		w := &world{T: t, log: make(chan string, 999), exit: make(chan error, 1)}
		w.cmd = exec.Command(os.Args[0])
		w.cmd.Env = append(os.Environ(), asProgram+"=1", "GW_CONFIG="+pipe, "GW_LISTEN=127.0.0.1:0", "GW_DISCOVERY="+silent.Addr().String())
		w.launch()
		f, err := os.OpenFile(pipe, os.O_WRONLY, 0) // it has opened it, too, and waits for what it says
		if err != nil {
			t.Fatal(err)
		}
		w.cmd.Process.Signal(s)
		f.Write(text)
		f.Close()
		if s == syscall.SIGHUP {
			w.line("event=serving") // without a list: the agent says nothing
			w.signal(syscall.SIGTERM, "event=stopping clients=0")
		}
		fmt.Fprintf(&trace, "%v: %s\n", s, w.exited())
	}
	golden.Check(t, trace.String())
}

// While it waits for the agent's first answer it serves nobody: SIGHUP is heard, and called to stop it ends at once, whatever
// the agent says then.
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
	w := &world{T: t, log: make(chan string, 999), exit: make(chan error, 1), file: filepath.Join(t.TempDir(), "config")}
	if err := json.Unmarshal(text, &w.cfg); err != nil {
		t.Fatal(err)
	}
	w.cfg["discovery"], w.cfg["listen"] = silent.Addr().String(), "127.0.0.1:0"
	w.write()
	w.cmd = exec.Command(os.Args[0])
	w.cmd.Env = append(os.Environ(), asProgram+"=1", "GW_CONFIG="+w.file)
	w.launch()
	c, err := silent.Accept() // it asks for the list: it is up
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	w.signal(syscall.SIGHUP, "event=reloaded")
	w.signal(syscall.SIGTERM, "event=stopping")
	io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n") // too late
	list(c, 1)
	var lines []string
	for l := range w.log {
		lines = append(lines, l)
	}
	if text := strings.Join(lines, "\n"); strings.Contains(text, "event=serving") || !strings.Contains(text, "event=stopped") {
		t.Errorf("it took in clients, or did not end:\n%s", text)
	}
	if e := w.exited(); e != "exit 0" {
		t.Error(e)
	}
}

// Under a request: it has its answer, and so has what is sent after, on the same connection, until all connections end.
func TestSignalsUnderRequest(t *testing.T) {
	h, came, gate := holding(t)
	w := start(t, nil, h)
	c := w.client()
	c.send(call("order", 1))
	take(w, came)
	w.all()
	close(gate)
	trace := fmt.Sprintln("open:", c.answer())
	trace += fmt.Sprintln("after:", c.ask(call("lookup", 2)))
	w.line("event=closed_to_new")
	trace += fmt.Sprintln("after it takes in no more:", c.ask(call("lookup", 3)))
	c.Close()
	golden.Check(t, trace+w.exited()+"\n")
}

// Under a command of which a part is read: its rest is taken in, and it has its answer. One whose rest never comes ends with
// all others.
func TestSignalsUnderHalfCommand(t *testing.T) {
	h := newHost(t, func([]string) string { return passed("v") })
	w := start(t, short, h)
	c, never := w.client(), w.client()
	cmd := call("order", 1, strings.Repeat("b", 9000))
	for _, c := range []*client{c, never} {
		c.send(array("PING"), cmd[:4000])
		if a := c.answer(); a != "+PONG" {
			t.Fatal(a)
		}
	}
	w.all()
	c.send(cmd[4000:])
	trace := fmt.Sprintln("its rest came:", c.answer())
	trace += fmt.Sprintln("never:", never.answer())
	trace += fmt.Sprintln("at last:", c.answer())
	golden.Check(t, trace+w.exited()+"\n")
	if cmds := h.got(); len(cmds) != 1 {
		t.Errorf("passed on: %.99q", cmds)
	}
}

// Between an answer and the close: the answer is whole, though a command comes behind the close that nobody takes. That one
// is not sent on, and its client sees the end.
func TestSignalsBetweenAnswerAndClose(t *testing.T) {
	large := strings.Repeat("v", 20<<10)
	h := newHost(t, func([]string) string { return passed(large) })
	w := start(t, short, h)
	c := w.client()
	c.send(call("lookup", 1), call("lookup", 2), call("lookup", 3))
	w.all()
	c.untilHalfClosed() // it has taken nothing of its answers yet
	c.send(call("lookup", 4))
	w.signal(syscall.SIGTERM, "event=stopping_already")
	var trace strings.Builder
	for range 3 {
		a := c.answer()
		fmt.Fprintln(&trace, "its answer, whole:", a == large)
	}
	fmt.Fprintln(&trace, "behind the close:", c.answer())
	fmt.Fprintln(&trace, "commands passed on:", len(h.got()))
	fmt.Fprintln(&trace, w.exited()) // though no client closes
	golden.Check(t, trace.String())
}

// From a terminal, called a second time, it ends at once.
func TestInterruptTwice(t *testing.T) {
	w := start(t, nil, newHost(t, func([]string) string { return "" }))
	w.client().ask(array("PING"))
	w.signal(syscall.SIGINT, "event=stopping")
	w.signal(syscall.SIGINT, "event=stopped_at_once")
	var exit *exec.ExitError
	if err := take(w, w.exit); !errors.As(err, &exit) || exit.ExitCode() != 1 {
		t.Error(err)
	}
}

// Who reads its log goes: it serves on.
func TestLogReaderGoes(t *testing.T) {
	w := start(t, nil, newHost(t, func([]string) string { return passed("v") }))
	c := w.client()
	w.logs.Close()
	for range 3 {
		w.cmd.Process.Signal(syscall.SIGHUP) // each writes a line
		if a := c.ask(call("lookup", 1)); a != "v" {
			t.Fatal(a)
		}
	}
	w.cmd.Process.Signal(syscall.SIGTERM)
	if a := c.ask(call("lookup", 1)); a != "v" {
		t.Error(a)
	}
	c.Close()
	if e := w.exited(); e != "exit 0" {
		t.Error(e)
	}
}
