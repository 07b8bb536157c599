package emulator

import (
	"fmt"
	"net"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/tidwall/redcon"

	"ravensill/lab/actor"
)

// HostPlan is the configuration of a stand-in host.
type HostPlan struct {
	ID     string
	Listen string // address; port 0: a free one
	Zone   string
	Kind   string
	Cell   int
	Weight float64 // in the host list; 0: 1
	Speed  float64 // 0: 1
	Model  Model
	Report []string // fields of the load report, as the settings name them; none: no report
	Probes bool     // INFO load is answered
	Conns  int      // connections beyond it are refused; 0: no limit
	Refuse string   // sent to a refused connection before it is closed, such as "-ERR max number of clients reached\r\n"
}

// Host stands in for one host of the back end: a task with its listener, its connections and its log.
type Host struct {
	HostPlan
	*actor.Actor
	addr      string
	listener  net.Listener
	conns     map[*hostConn]bool
	startedAt int64 // last start
	warming   bool  // it began cold
	hanging   bool
	slowdown  float64
	withheld  []*command // commands held back while it hangs
	inFlight  int
	log       HostLog
	running   bool
}

// NewHost starts a host, warmed up.
func NewHost(p HostPlan) (*Host, error) {
	if p.Weight == 0 {
		p.Weight = 1
	}
	if p.Speed == 0 {
		p.Speed = 1
	}
	h := &Host{HostPlan: p, Actor: actor.New(), addr: p.Listen, slowdown: 1, conns: map[*hostConn]bool{}}
	if err := h.listen(); err != nil {
		h.Actor.Stop()
		return nil, err
	}
	return h, nil
}

// Addr returns the host's address, which stays over restarts.
func (h *Host) Addr() string { return h.addr }

// listen starts the host's process.
func (h *Host) listen() error {
	listener, err := net.Listen("tcp4", h.addr)
	if err != nil {
		return fmt.Errorf("host %s: %w", h.ID, err)
	}
	if h.addr != listener.Addr().String() { // at the first start; other goroutines read it later
		h.addr = listener.Addr().String()
	}
	h.listener, h.running = listener, true
	h.recordStep()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			h.Do(func() { h.accept(listener, conn) })
		}
	}()
	return nil
}

// recordStep logs a change of load or slowness.
func (h *Host) recordStep() {
	s := Step{At: actor.Now(), Open: h.inFlight, Factor: h.slowdown / h.Speed, Conns: len(h.conns)}
	if h.warming {
		s.Began = h.startedAt
	}
	h.log.Steps = append(h.log.Steps, s)
}

// resetConn closes a connection with a reset.
func resetConn(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	c.Close()
}

// accept takes over a new connection, or refuses it beyond the limit.
func (h *Host) accept(listener net.Listener, conn net.Conn) {
	if !h.running || listener != h.listener {
		resetConn(conn)
		return
	}
	if h.Conns > 0 && len(h.conns) >= h.Conns {
		h.log.Refused++
		if h.Refuse != "" {
			conn.Write([]byte(h.Refuse))
			conn.Close()
		} else {
			resetConn(conn)
		}
		return
	}
	h.log.Opened++
	h.log.Opens = append(h.log.Opens, actor.Now())
	client := &hostConn{host: h, number: h.log.Opened, conn: conn, replies: make(chan []byte, 256)}
	h.conns[client] = true
	h.log.Peak = max(h.log.Peak, len(h.conns))
	h.recordStep()
	go func() {
		for b := range client.replies {
			if _, err := conn.Write(b); err != nil {
				break
			}
		}
		for range client.replies {
		}
	}()
	go func() {
		for r := redcon.NewReader(conn); ; {
			command, err := r.ReadCommand()
			if err != nil {
				h.Do(func() { client.fail("gone") })
				return
			}
			words := make([]string, len(command.Args))
			for i, a := range command.Args {
				words[i] = string(a)
			}
			h.Do(func() { client.receive(words) })
		}
	}()
}

// loadReport returns the load report.
func (h *Host) loadReport() string {
	var parts []string
	for _, name := range h.Report {
		x := 0.0
		switch name {
		case "outstanding", "inflight":
			x = float64(h.inFlight)
		case "utilization", "util":
			x = min(1, float64(h.inFlight)/max(1, h.Model.Slots))
		case "backlog", "queue":
			x = max(0, float64(h.inFlight)-h.Model.Slots)
		case "recent_ms":
			x = float64(h.Model.Base) / 1e6 * h.slowdown / h.Speed
		}
		parts = append(parts, name+"="+strconv.FormatFloat(x, 'f', 3, 64))
	}
	return strings.Join(parts, ",")
}

// Value returns the value of a name in a list of names and values; "": it is absent.
func Value(list, name string) string {
	for pair := range strings.SplitSeq(list, ",") {
		if k, v, _ := strings.Cut(pair, "="); k == name {
			return v
		}
	}
	return ""
}

// Hang makes the host accept commands and answer none; they are answered when that is over.
func (h *Host) Hang(on bool) {
	h.Ask(func() {
		h.hanging = on
		if !on {
			held := h.withheld
			h.withheld = nil
			for _, c := range held {
				c.finish()
			}
		}
	})
}

// Slow makes commands that begin from now on take factor times as long; 1 ends that.
func (h *Host) Slow(factor float64) {
	h.Ask(func() {
		h.slowdown = factor
		h.recordStep()
	})
}

// Change sets another model and another limit on connections; open connections beyond it stay.
func (h *Host) Change(f func(*Model), conns int) {
	h.Ask(func() {
		if f != nil {
			f(&h.Model)
		}
		h.Conns = conns
		h.recordStep()
	})
}

// Kill ends the host as the death of its process does: connections are reset, new ones refused.
func (h *Host) Kill() { h.Ask(h.kill) }

// kill is Kill within the task.
func (h *Host) kill() {
	if !h.running {
		return
	}
	h.running, h.hanging, h.withheld = false, false, nil
	// A child process that is being started holds copies of the descriptors until it runs: closing alone would leave the listener open.
	if raw, err := h.listener.(*net.TCPListener).SyscallConn(); err == nil {
		raw.Control(func(fd uintptr) { syscall.Shutdown(int(fd), syscall.SHUT_RDWR) })
	}
	h.listener.Close()
	for k := range h.conns {
		k.fail("lost")
	}
}

// Start restarts the host at the same address, cold if its model says so. It returns the start time in milliseconds, as in the host
// list.
func (h *Host) Start() (startedMS int64, err error) {
	h.Ask(func() {
		h.kill()
		h.startedAt, h.warming = actor.Now(), h.Model.Cold > 1
		startedMS, err = h.startedAt/1e6, h.listen()
	})
	return startedMS, err
}

// Close ends the host for good.
func (h *Host) Close() {
	h.Kill()
	h.Actor.Stop()
}

// Log returns a copy of the log so far.
func (h *Host) Log() (l HostLog) {
	h.Ask(func() {
		l = h.log
		l.Commands, l.Steps, l.Opens = slices.Clone(l.Commands), slices.Clone(l.Steps), slices.Clone(l.Opens)
	})
	return l
}

// Held returns the number of open connections.
func (h *Host) Held() (n int) {
	h.Ask(func() { n = len(h.conns) })
	return n
}

// Would returns how long the host would take for a request under a load, as it is now and warmed up.
func (h *Host) Would(id, class string, load float64) (d time.Duration) {
	h.Ask(func() { d = h.Model.Time(id, class, load, h.slowdown/h.Speed) })
	return d
}

// Entry returns the host's entry in the host list.
func (h *Host) Entry(state string) (e Entry) {
	h.Ask(func() { e = h.listEntry(state) })
	return e
}

// listEntry is Entry within the task.
func (h *Host) listEntry(state string) Entry {
	return Entry{ID: h.ID, Addr: h.addr, Zone: h.Zone, Kind: h.Kind, Cell: h.Cell, State: state, Weight: h.Weight,
		StartedMS: h.startedAt / 1e6}
}
