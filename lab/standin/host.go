package standin

import (
	"fmt"
	"net"
	"slices"
	"sort"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/tidwall/redcon"

	"ravensill/lab/task"
)

// HostPlan is what a stand-in host starts as.
type HostPlan struct {
	ID     string
	Listen string // address to listen at; port 0 takes a free one
	Zone   string
	Kind   string
	Cell   int
	Weight float64 // in the list; 0 leaves 1
	Speed  float64 // 0 leaves 1
	Model  Model
	Report []string // names of the load report's fields, in the settings' words; none: no report
	Probes bool     // INFO load is allowed
	Conns  int      // connections beyond it are refused; 0 none
	Refuse string   // what a refused connection is told before it is reset, such as "-ERR max number of clients reached\r\n"
}

// Host stands in for one of the back end: a task with its listener, its connections and what came to it.
type Host struct {
	HostPlan
	*task.Task
	addr    string
	ln      net.Listener
	conns   map[*hostConn]bool
	began   int64 // last start
	cold    bool  // it began cold
	hang    bool
	slow    float64
	held    []*command // kept while it hangs
	open    int
	log     HostLog
	running bool
}

// HostLog is all that came to a host in its lives, in order.
type HostLog struct {
	Commands []Command
	Steps    []Step
	Opens    []int64 // times at which connections came up
	Refused  int     // connections beyond the bound
	Opened   int     // connections let in
	Peak     int     // most connections at once
	Busy     int     // commands turned away
	Bad      int     // commands that no client sent so
}

// Command is one dispatch that came whole to a host.
type Command struct {
	At, Ended  int64 // Ended 0: still open
	ID         string
	Customer   string
	Class      string
	Load       float64       // other open reqs as it began
	Time       time.Duration // what it was to take
	Outcome    string        // passed, errored, busy, gone (the gateway gave it up), lost (the host died); "" still open
	Connection int           // number of the connection in the host's lives
}

// Step is a change of a host's load or slowness.
type Step struct {
	At     int64
	Open   int
	Factor float64 // without the cold start
	Began  int64   // start of this life; 0 it did not start cold
	Conns  int
}

type hostConn struct {
	host  *Host
	n     int
	conn  net.Conn
	out   chan []byte
	queue []*command // in the order they came; answers go in that order
}

type command struct {
	Command
	at    int // in the log
	conn  *hostConn
	reply []byte // once it is done
	timer *time.Timer
}

// NewHost starts one that listens, warm.
func NewHost(p HostPlan) (*Host, error) {
	if p.Weight == 0 {
		p.Weight = 1
	}
	if p.Speed == 0 {
		p.Speed = 1
	}
	h := &Host{HostPlan: p, Task: task.New(), addr: p.Listen, slow: 1, conns: map[*hostConn]bool{}}
	if err := h.listen(); err != nil {
		h.Task.Stop()
		return nil, err
	}
	return h, nil
}

// Addr is where it listens, in every life.
func (h *Host) Addr() string { return h.addr }

func (h *Host) listen() error {
	ln, err := net.Listen("tcp4", h.addr)
	if err != nil {
		return fmt.Errorf("host %s: %w", h.ID, err)
	}
	if h.addr != ln.Addr().String() { // the first life; others read it
		h.addr = ln.Addr().String()
	}
	h.ln, h.running = ln, true
	h.step()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			h.Do(func() { h.accept(ln, c) })
		}
	}()
	return nil
}

func (h *Host) step() {
	s := Step{At: task.Now(), Open: h.open, Factor: h.slow / h.Speed, Conns: len(h.conns)}
	if h.cold {
		s.Began = h.began
	}
	h.log.Steps = append(h.log.Steps, s)
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	c.Close()
}

func (h *Host) accept(ln net.Listener, c net.Conn) {
	if !h.running || ln != h.ln {
		reset(c)
		return
	}
	if h.Conns > 0 && len(h.conns) >= h.Conns {
		h.log.Refused++
		if h.Refuse != "" {
			c.Write([]byte(h.Refuse))
			c.Close()
		} else {
			reset(c)
		}
		return
	}
	h.log.Opened++
	h.log.Opens = append(h.log.Opens, task.Now())
	k := &hostConn{host: h, n: h.log.Opened, conn: c, out: make(chan []byte, 256)}
	h.conns[k] = true
	h.log.Peak = max(h.log.Peak, len(h.conns))
	h.step()
	go func() {
		for b := range k.out {
			if _, err := c.Write(b); err != nil {
				break
			}
		}
		for range k.out {
		}
	}()
	go func() {
		for r := redcon.NewReader(c); ; {
			cmd, err := r.ReadCommand()
			if err != nil {
				h.Do(func() { k.end("gone") })
				return
			}
			words := make([]string, len(cmd.Args))
			for i, a := range cmd.Args {
				words[i] = string(a)
			}
			h.Do(func() { k.take(words) })
		}
	}()
}

// end takes in that a connection is over; what is open on it stops.
func (k *hostConn) end(outcome string) {
	h := k.host
	if !h.conns[k] {
		return
	}
	delete(h.conns, k)
	for _, c := range k.queue {
		if c.reply == nil {
			c.done(outcome, nil)
		}
	}
	close(k.out)
	reset(k.conn)
	h.step()
}

func (k *hostConn) take(words []string) {
	if !k.host.conns[k] {
		return
	}
	c := &command{conn: k, at: -1}
	k.queue = append(k.queue, c)
	c.run(words)
}

// run begins a command.
func (c *command) run(words []string) {
	h := c.conn.host
	verb := ""
	if len(words) > 0 {
		verb = strings.ToUpper(words[0])
	}
	switch verb {
	case "PING":
		c.answer(redcon.AppendString(nil, "PONG"))
		return
	case "CLIENT", "SELECT":
		c.answer(redcon.AppendOK(nil))
		return
	case "INFO":
		if h.Probes {
			c.answer(redcon.AppendBulkString(nil, h.report()))
		} else {
			c.answer([]byte("-NOPERM\r\n"))
		}
		return
	case "CALL.GET", "CALL.POST":
	default:
		c.answer([]byte("-ERR unknown command\r\n"))
		return
	}
	if len(words) < 4 || len(words) > 5 || len(words[1]) != 16 || words[2] == "" || Value(words[3], "c") == "" {
		h.log.Bad++
		c.answer([]byte("-SYNTAX\r\n"))
		return
	}
	c.Command = Command{At: task.Now(), ID: words[2], Customer: words[1], Class: Value(words[3], "c"), Connection: c.conn.n,
		Load: float64(h.open)}
	factor := h.slow / h.Speed
	if h.cold {
		factor *= h.Model.warmth(time.Duration(c.At - h.began))
	}
	c.Time = h.Model.Time(c.ID, c.Class, c.Load, factor)
	c.at = len(h.log.Commands)
	h.log.Commands = append(h.log.Commands, c.Command)
	if h.Model.Most > 0 && h.open >= h.Model.Most {
		h.log.Busy++
		c.done("busy", []byte("-BUSY\r\n"))
		return
	}
	h.open++
	h.step()
	if h.hang {
		h.held = append(h.held, c)
		return
	}
	c.timer = h.After(c.Time, c.finish)
}

func (c *command) finish() {
	h := c.conn.host
	if c.reply != nil || c.Outcome != "" {
		return
	}
	if h.hang {
		h.held = append(h.held, c)
		return
	}
	if h.Model.Fails(c.ID) {
		c.done("errored", []byte("-ERR failed\r\n"))
		return
	}
	b := redcon.AppendArray(nil, 3)
	b = redcon.AppendBulkString(b, "of "+c.ID+" by "+h.ID)
	b = redcon.AppendNull(b)
	if len(h.Report) > 0 {
		b = redcon.AppendBulkString(b, h.report())
	} else {
		b = redcon.AppendNull(b)
	}
	c.done("passed", b)
}

// done ends a command that was counted; reply nil where nobody is left to read one.
func (c *command) done(outcome string, reply []byte) {
	h := c.conn.host
	if c.at >= 0 && c.Outcome == "" {
		c.Outcome = outcome
		l := &h.log.Commands[c.at]
		l.Outcome, l.Ended = outcome, task.Now()
		if outcome != "busy" {
			h.open--
			h.step()
		}
	}
	if c.timer != nil {
		c.timer.Stop()
	}
	if reply != nil {
		c.answer(reply)
	}
}

// answer writes what is ready in the order of the commands.
func (c *command) answer(reply []byte) {
	k := c.conn
	c.reply = reply
	for len(k.queue) > 0 && k.queue[0].reply != nil {
		select {
		case k.out <- k.queue[0].reply:
			k.queue = k.queue[1:]
		default: // the other side does not read
			k.end("gone")
			return
		}
	}
}

// report is the load report in the settings' words.
func (h *Host) report() string {
	var parts []string
	for _, name := range h.Report {
		x := 0.0
		switch name {
		case "outstanding", "inflight":
			x = float64(h.open)
		case "utilization", "util":
			x = min(1, float64(h.open)/max(1, h.Model.Slots))
		case "backlog", "queue":
			x = max(0, float64(h.open)-h.Model.Slots)
		case "recent_ms":
			x = float64(h.Model.Base) / 1e6 * h.slow / h.Speed
		}
		parts = append(parts, name+"="+strconv.FormatFloat(x, 'f', 3, 64))
	}
	return strings.Join(parts, ",")
}

// Value gives the value of a name in a list of names and values, "" where it is not there.
func Value(list, name string) string {
	for pair := range strings.SplitSeq(list, ",") {
		if k, v, _ := strings.Cut(pair, "="); k == name {
			return v
		}
	}
	return ""
}

// Hang makes the host take in commands and answer nothing; what it holds is answered when it goes on.
func (h *Host) Hang(on bool) {
	h.Ask(func() {
		h.hang = on
		if !on {
			held := h.held
			h.held = nil
			for _, c := range held {
				c.finish()
			}
		}
	})
}

// Slow makes commands that begin from now on take factor times as long; 1 ends it.
func (h *Host) Slow(factor float64) {
	h.Ask(func() {
		h.slow = factor
		h.step()
	})
}

// Change sets another model and another bound on connections from now on; connections beyond it stay.
func (h *Host) Change(f func(*Model), conns int) {
	h.Ask(func() {
		if f != nil {
			f(&h.Model)
		}
		h.Conns = conns
		h.step()
	})
}

// Kill ends the host as a dying process does: connections are reset, new ones refused.
func (h *Host) Kill() { h.Ask(h.kill) }

func (h *Host) kill() {
	if !h.running {
		return
	}
	h.running, h.hang, h.held = false, false, nil
	closeListener(h.ln)
	for k := range h.conns {
		k.end("lost")
	}
}

// closeListener ends a listener at once. A process that this one is just starting holds copies of its descriptors until it
// runs: closed alone, the listener would go on until then.
func closeListener(l net.Listener) {
	if raw, err := l.(*net.TCPListener).SyscallConn(); err == nil {
		raw.Control(func(fd uintptr) { syscall.Shutdown(int(fd), syscall.SHUT_RDWR) })
	}
	l.Close()
}

// Start begins a new life at the same address, cold where the model says so. It tells the Unix time of it in
// milliseconds, as the list does.
func (h *Host) Start() (startedMS int64, err error) {
	h.Ask(func() {
		h.kill()
		h.began, h.cold = task.Now(), h.Model.Cold > 1
		startedMS, err = h.began/1e6, h.listen()
	})
	return startedMS, err
}

// Close ends the host for good.
func (h *Host) Close() {
	h.Kill()
	h.Task.Stop()
}

// Log gives a copy of all that came so far.
func (h *Host) Log() (l HostLog) {
	h.Ask(func() {
		l = h.log
		l.Commands, l.Steps, l.Opens = slices.Clone(l.Commands), slices.Clone(l.Steps), slices.Clone(l.Opens)
	})
	return l
}

// Held tells how many connections are open now.
func (h *Host) Held() (n int) {
	h.Ask(func() { n = len(h.conns) })
	return n
}

// Would tells what the host would have taken for a req at a load, as it is now and warm.
func (h *Host) Would(id, class string, load float64) (d time.Duration) {
	h.Ask(func() { d = h.Model.Time(id, class, load, h.slow/h.Speed) })
	return d
}

// At gives the host's state at a time: the last step not after it.
func (l *HostLog) At(at int64) (Step, bool) {
	i := sort.Search(len(l.Steps), func(i int) bool { return l.Steps[i].At > at })
	if i == 0 {
		return Step{}, false
	}
	return l.Steps[i-1], true
}

// WouldAt tells what a host with this model and log would have taken for a req that had come to it at a time, on top
// of the load that it had then. It is the truth that estimates are compared with.
func (l *HostLog) WouldAt(m Model, id, class string, at int64) (d time.Duration, load float64, ok bool) {
	s, ok := l.At(at)
	if !ok {
		return 0, 0, false
	}
	factor := s.Factor
	if s.Began > 0 {
		factor *= m.warmth(time.Duration(at - s.Began))
	}
	return m.Time(id, class, float64(s.Open), factor), float64(s.Open), true
}

// Entry is the host in the words of the list.
func (h *Host) Entry(state string) (e Entry) {
	h.Ask(func() { e = h.entry(state) })
	return e
}

func (h *Host) entry(state string) Entry {
	return Entry{ID: h.ID, Addr: h.addr, Zone: h.Zone, Kind: h.Kind, Cell: h.Cell, State: state, Weight: h.Weight,
		StartedMS: h.began / 1e6}
}
