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
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/prometheus/procfs"
	"golang.org/x/sys/unix"
)

// The tests start the program itself: this test binary, which runs main where this is set.
const asProgram = "RAVENSILL_PROGRAM"

const patience = 20 * time.Second // for what must happen; no test passes by waiting

func TestMain(m *testing.M) {
	if os.Getenv(asProgram) == "1" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// words reads one RESP value as the words of an array, or as one line or bulk.
func words(r *bufio.Reader) ([]string, error) {
	line, err := r.ReadString('\n')
	if err != nil {
		return nil, err
	}
	line = strings.TrimSuffix(line, "\r\n")
	n, _ := strconv.Atoi(line[1:])
	switch line[0] {
	case '*':
		var all []string
		for range n {
			w, err := words(r)
			if err != nil {
				return nil, err
			}
			all = append(all, w...)
		}
		return all, nil
	case '$':
		b := make([]byte, n+2)
		_, err := io.ReadFull(r, b)
		return []string{string(b[:n])}, err
	}
	return []string{line}, nil
}

func array(words ...string) string {
	s := fmt.Sprintf("*%d\r\n", len(words))
	for _, w := range words {
		s += bulk(w)
	}
	return s
}

func bulk(s string) string { return fmt.Sprintf("$%d\r\n%s\r\n", len(s), s) }

// holding is a host that answers, but holds the first customer's command, told by came, until the gate is closed.
func holding(t *testing.T) (h *host, came, gate chan struct{}) {
	came, gate = make(chan struct{}), make(chan struct{})
	return newHost(t, func(cmd []string) string {
		if cmd[1] == "0000000000000001" {
			close(came)
			<-gate
		}
		return passed("v")
	}), came, gate
}

func passed(value string) string {
	return "*3\r\n" + bulk(value) + bulk("used=3") + bulk("utilization=0.5")
}

// host stands in for one of the back end. answer gives the bytes to write; with "close" at their end the
// connection ends after them.
type host struct {
	net.Listener
	answer  func(cmd []string) string
	mu      sync.Mutex
	cmds    [][]string
	closed  chan struct{} // a connection was ended by the gateway
	ordered bool          // answers go in the order of the commands
}

func newHost(t *testing.T, answer func(cmd []string) string) *host {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	h := &host{Listener: l, answer: answer, closed: make(chan struct{}, 100)}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go h.serve(c)
		}
	}()
	return h
}

func (h *host) serve(c net.Conn) {
	defer c.Close()
	for r := bufio.NewReader(c); ; {
		cmd, err := words(r)
		if err != nil {
			h.closed <- struct{}{}
			return
		}
		h.mu.Lock()
		h.cmds = append(h.cmds, cmd)
		h.mu.Unlock()
		reply := func() {
			a, end := strings.CutSuffix(h.answer(cmd), "close")
			if io.WriteString(c, a); end {
				c.Close()
			}
		}
		if h.ordered {
			reply()
		} else {
			go reply()
		}
	}
}

// got gives the commands that came since the last call.
func (h *host) got() [][]string {
	h.mu.Lock()
	defer h.mu.Unlock()
	cmds := h.cmds
	h.cmds = nil
	return cmds
}

// world is one program with all that it speaks to.
type world struct {
	*testing.T
	cmd        *exec.Cmd
	file       string
	agent      net.Listener // discovery's first
	cfg        map[string]any
	addr, peer string        // where it listens
	witnessing string        // the line of the task that records dispatches, where that is on
	watches    chan net.Conn // discovery's, past the head of the answer
	asked      chan string   // by these
	early      []string      // of the log, up to the start
	log        chan string
	logs       io.Closer
	exit       chan error
}

func entry(id, addr, state string) map[string]any {
	return map[string]any{"id": id, "addr": addr, "zone": "a", "kind": "m", "cell": 0, "state": state, "weight": 1, "started_ms": 0}
}

func start(t *testing.T, set func(cfg, settings map[string]any), hosts ...*host) *world {
	agent, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	w := &world{T: t, agent: agent, watches: make(chan net.Conn, 9), asked: make(chan string, 9), log: make(chan string, 999), exit: make(chan error, 1)}
	t.Cleanup(func() { agent.Close() })
	front := func(name, effect string, target int) map[string]any {
		return map[string]any{"name": name, "effect": effect, "target_us": target, "hard_limit_us": 5000000, "points": 1, "window_us": 5000000}
	}
	settings := map[string]any{"balancers": 1, "position": 0, "zones": []string{"a"}, "skus": []string{"m"},
		"limits":   map[string]any{"max_attempts": 3, "cancelling": true, "retry_after": true, "conn_idle_us": 30000000, "connect_timeout_us": 250000, "peer_messages": true},
		"profiles": []any{front("lookup", "safe", 4000000), front("order", "keyed", 4000000), front("pay", "unsafe", 4000000), front("quick", "safe", 300000)},
		"plans":    []any{map[string]any{"name": "team", "rate": 0.01, "burst": 8, "worth_factor": 1}},
		"report":   map[string]any{"how": "inline", "names": []string{"utilization"}}, "family_info": map[string]any{"mail_per_s": 40}}
	var known []any
	for i, h := range hosts {
		known = append(known, entry(fmt.Sprint("h", i), h.Addr().String(), "active"))
	}
	cfg := map[string]any{"name": "n0", "listen": "127.0.0.1:0", "discovery": agent.Addr().String(), "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"memory_mb": 192, "sockets": 1024}, "known": map[string]any{"version": 41, "full": true, "servers": known}, "settings": settings}
	if set != nil {
		set(cfg, settings)
	}
	first, _ := cfg["agent"].([]any) // what discovery's agent has from the first moment on
	go w.discover(agent, first...)
	w.file, w.cfg = filepath.Join(t.TempDir(), "config.json"), cfg
	w.write()
	w.cmd = exec.Command(os.Args[0])
	if n := cfg["ulimit"]; n != nil { // descriptors that the system allows
		w.cmd = exec.Command("sh", "-c", fmt.Sprintf(`ulimit -n %d; exec "$0"`, n), os.Args[0])
	}
	w.cmd.Env = append(os.Environ(), asProgram+"=1", "GW_CONFIG="+w.file, "GW_DISCOVERY="+cfg["discovery"].(string), "GORACE=halt_on_error=1")
	w.follow()
	return w
}

// follow starts the program and waits for its first event.
func (w *world) follow() {
	w.launch()
	w.started()
}

func (w *world) launch() {
	out, err := w.cmd.StderrPipe()
	if err != nil {
		w.Fatal(err)
	}
	w.logs = out
	if err := w.cmd.Start(); err != nil {
		w.Fatal(err)
	}
	go func() {
		for s := bufio.NewScanner(out); s.Scan(); {
			if w.log <- s.Text(); strings.Contains(s.Text(), "event=panic") {
				w.cmd.Process.Kill()
			}
		}
		w.exit <- w.cmd.Wait()
		close(w.log)
	}()
	w.Cleanup(func() { w.cmd.Process.Kill() })
}

func (w *world) started() {
	line, early := "", []string(nil)
	for !strings.Contains(line, "event=s") && !strings.Contains(line, "event=address") && !strings.Contains(line, "event=failed") || strings.Contains(line, "event=settings") { // of the start, or of its end
		line = w.line("event=")
		if early = append(early, line); strings.Contains(line, "event=witnessing") {
			w.witnessing = line
		}
	}
	w.early = early
	if strings.Contains(line, "event=start_failed") {
		w.addr = line
	} else if strings.Contains(line, "event=serving") {
		fmt.Sscanf(line[strings.Index(line, "listen="):], "listen=%s peer_listen=%s", &w.addr, &w.peer)
	}
}

// write makes the configuration file anew.
func (w *world) write() {
	text, _ := json.Marshal(w.cfg)
	if err := os.WriteFile(w.file, text, 0o644); err != nil {
		w.Fatal(err)
	}
}

// discover stands in for discovery's agent: it answers each watch at once with what it has.
func (w *world) discover(agent net.Listener, has ...any) {
	for {
		c, err := agent.Accept()
		if err != nil {
			return
		}
		r := bufio.NewReader(c)
		ask, _ := r.ReadString('\n')
		for line := ask; len(line) > 2; {
			line, _ = r.ReadString('\n')
		}
		io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		version := 0
		fmt.Sscanf(ask, "GET /v1/servers?watch=1&after=%d ", &version)
		list(c, version, has...)
		w.asked <- ask
		w.watches <- c
	}
}

// list tells the program news, in two chunks; odd versions come indented.
func list(c net.Conn, version int, entries ...any) {
	news := map[string]any{"version": version, "full": false, "servers": entries}
	text, _ := json.Marshal(news)
	if version%2 == 1 {
		text, _ = json.MarshalIndent(news, "", "\t")
	}
	fmt.Fprintf(c, "%x\r\n%s\r\n%x\r\n%s\n\r\n", 5, text[:5], len(text)-4, text[5:])
}

// line waits for a line of the log that holds text.
func (w *world) line(text string) string {
	if i := slices.IndexFunc(w.early, func(l string) bool { return strings.Contains(l, text) }); i >= 0 {
		l := w.early[i]
		w.early = w.early[i+1:]
		return l
	}
	for limit := time.After(patience); ; {
		select {
		case l, ok := <-w.log:
			if !ok {
				w.Fatalf("the program ended before saying %q", text)
			}
			if strings.Contains(l, text) {
				return l
			}
		case <-limit:
			w.Fatalf("never said %q", text)
		}
	}
}

func take[T any](w *world, c chan T) T {
	select {
	case v := <-c:
		return v
	case <-time.After(patience):
		w.Fatal("nothing came")
		panic("")
	}
}

// tried plays until the machine did not slow a play down: play tells what a slow machine may excuse, "" where all was in
// time. A program at fault is slow in every play.
func tried(t *testing.T, play func() (slow string)) {
	slow := ""
	for range 6 {
		if slow = play(); slow == "" || t.Failed() {
			return
		}
		t.Log(slow)
	}
	t.Error(slow)
}

// inTime is a fault of a program that was called to stop: only in its last moments, which it takes by its own clock and no
// sooner, may a command on an open connection have no answer.
func inTime(t *testing.T, called time.Time, fault string) string {
	if time.Since(called) < 3*time.Second {
		t.Error(fault)
	}
	return fault
}

// stand stops the program where it is.
func (w *world) stand() {
	w.cmd.Process.Signal(syscall.SIGSTOP)
	for p, err := procfs.NewProc(w.cmd.Process.Pid); ; {
		s, bad := p.Stat()
		if err != nil || bad != nil {
			w.Fatal(err, bad)
		}
		if s.State == "T" {
			return
		}
	}
}

type client struct {
	*world
	net.Conn
	r *bufio.Reader
}

func (w *world) client() *client {
	c, err := net.Dial("tcp4", w.addr)
	if err != nil {
		w.Fatal(err)
	}
	w.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(patience))
	return &client{w, c, bufio.NewReader(c)}
}

func (c *client) send(cmds ...string) { io.WriteString(c.Conn, strings.Join(cmds, "")) }

func (c *client) answer() string {
	v, err := words(c.r)
	if err != nil {
		return err.Error()
	}
	return v[0]
}

func (c *client) ask(cmd string) string {
	c.send(cmd)
	return c.answer()
}

var ids int

// call is a command of customer n.
func call(front string, n int, body ...string) string {
	ids++
	verb := "CALL.POST"
	if front == "lookup" || front == "quick" {
		verb = "CALL.GET"
	}
	return array(append([]string{verb, fmt.Sprintf("%016x", n), fmt.Sprint("id", ids), "c=" + front + ",t=team,d=3000,k=00ff,units=1,spread=1,first=0"}, body...)...)
}

// signal sends one, and waits until the program has said so.
func (w *world) signal(s syscall.Signal, line string) {
	w.cmd.Process.Signal(s)
	if line != "" {
		w.line(line)
	}
}

// all sends each signal that a platform sends, in the order that is the worst: none may end the program before its time.
func (w *world) all() {
	w.signal(syscall.SIGHUP, "event=reloaded")
	w.signal(syscall.SIGTERM, "event=stopping clients=")
	w.signal(syscall.SIGHUP, "event=reloaded")
	w.signal(syscall.SIGTERM, "event=stopping_already")
}

// untilHalfClosed waits for the end of what the other side sends; what came before it stays unread.
func (c *client) untilHalfClosed() {
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

func (w *world) exited() string {
	if err := take(w, w.exit); err != nil {
		return err.Error()
	}
	return "exit 0"
}

func short(_, settings map[string]any) { // it ends all 0.8 s after the call to stop
	for _, p := range settings["profiles"].([]any) {
		p.(map[string]any)["target_us"], p.(map[string]any)["hard_limit_us"] = 200000, 300000
	}
}

// udp gives how many sockets for datagrams the program has open.
func (w *world) udp() (n int) {
	p, err := procfs.NewProc(w.cmd.Process.Pid)
	if err != nil {
		w.Fatal(err)
	}
	targets, err := p.FileDescriptorTargets()
	if err != nil {
		w.Fatal(err)
	}
	fs, err := procfs.NewDefaultFS()
	if err != nil {
		w.Fatal(err)
	}
	all, err := fs.NetUDP()
	if err != nil {
		w.Fatal(err)
	}
	for _, s := range all {
		for _, t := range targets {
			if t == fmt.Sprintf("socket:[%d]", s.Inode) {
				n++
			}
		}
	}
	return n
}
