package emulator

import (
	"fmt"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"ravensill/lab/actor"
)

const replyQueue = 256 // replies of a connection that wait to be written

// HostOptions configure an emulated host.
type HostOptions struct {
	ID     string
	Listen string // address; with port 0 a free port is chosen
	Zone   string
	Kind   string
	Cell   int
	Weight float64 // in the host list; 0: 1
	Speed  float64 // 0: 1
	Model  Model
	// ReportFields are the fields of the load report, by their names in the settings; none: no report.
	ReportFields        []string
	AnswersHealthChecks bool // with a load report to INFO load
	MaxConns            int  // further connections are refused; 0: no limit
	// RefusalReply is written to a refused connection before it is closed, such as
	// "-ERR max number of clients reached\r\n"; "": the connection is reset.
	RefusalReply string
}

// Host emulates one host of the back end. It is an actor with a listener, connections and a log.
type Host struct {
	HostOptions
	*actor.Actor
	addr      string
	listener  net.Listener
	conns     map[*hostConn]bool
	startedAt int64 // last start
	warming   bool  // it warms up since its start
	hanging   bool
	slowdown  float64
	withheld  []*command // commands to answer once it hangs no longer
	inFlight  int
	log       HostLog
	running   bool

	goroutines sync.WaitGroup
}

// NewHost starts a host, warmed up.
func NewHost(options HostOptions) (*Host, error) {
	if options.Weight == 0 {
		options.Weight = 1
	}
	if options.Speed == 0 {
		options.Speed = 1
	}
	host := &Host{
		HostOptions: options,
		Actor:       actor.New(),
		addr:        options.Listen,
		slowdown:    1,
		conns:       map[*hostConn]bool{},
	}
	if err := host.listen(); err != nil {
		host.Actor.Stop()
		return nil, err
	}
	return host, nil
}

// Addr returns the host's address, which stays over restarts.
func (h *Host) Addr() string { return h.addr }

// listen starts the host's process.
func (h *Host) listen() error {
	listener, err := net.Listen("tcp4", h.addr)
	if err != nil {
		return fmt.Errorf("host %s: %w", h.ID, err)
	}
	if h.addr != listener.Addr().String() { // at the first start only: later ones would race with Addr
		h.addr = listener.Addr().String()
	}
	h.listener = listener
	h.running = true
	h.recordLoad()
	h.goroutines.Go(func() { h.acceptConns(listener) })
	return nil
}

// acceptConns accepts connections until the listener is closed.
func (h *Host) acceptConns(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		h.Do(func() { h.accept(listener, conn) })
	}
}

// recordLoad logs a change of load or slowdown.
func (h *Host) recordLoad() {
	step := LoadStep{
		At:        actor.Now(),
		InFlight:  h.inFlight,
		Slowdown:  h.slowdown / h.Speed,
		OpenConns: len(h.conns),
	}
	if h.warming {
		step.WarmingSince = h.startedAt
	}
	h.log.LoadSteps = append(h.log.LoadSteps, step)
}

// resetConn closes a connection with a reset.
func resetConn(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	conn.Close()
}

// accept serves a new connection, or refuses it beyond the limit.
func (h *Host) accept(listener net.Listener, conn net.Conn) {
	if !h.running || listener != h.listener {
		resetConn(conn)
		return
	}
	if h.MaxConns > 0 && len(h.conns) >= h.MaxConns {
		h.refuse(conn)
		return
	}
	h.log.AcceptedConns++
	h.log.AcceptedAt = append(h.log.AcceptedAt, actor.Now())
	client := &hostConn{host: h, number: h.log.AcceptedConns, conn: conn, replies: make(chan []byte, replyQueue)}
	h.conns[client] = true
	h.log.PeakConns = max(h.log.PeakConns, len(h.conns))
	h.recordLoad()
	h.goroutines.Go(client.writeReplies)
	h.goroutines.Go(client.readCommands)
}

// refuse closes a connection beyond the limit.
func (h *Host) refuse(conn net.Conn) {
	h.log.RefusedConns++
	if h.RefusalReply == "" {
		resetConn(conn)
		return
	}
	conn.Write([]byte(h.RefusalReply))
	conn.Close()
}

// loadReport returns the load report.
func (h *Host) loadReport() string {
	var parts []string
	for _, name := range h.ReportFields {
		value := 0.0
		switch name {
		case "outstanding", "inflight":
			value = float64(h.inFlight)
		case "utilization", "util":
			value = min(1, float64(h.inFlight)/max(1, h.Model.Slots))
		case "backlog", "queue":
			value = max(0, float64(h.inFlight)-h.Model.Slots)
		case "recent_ms":
			value = float64(h.Model.BaseTime) / 1e6 * h.slowdown / h.Speed
		}
		parts = append(parts, name+"="+strconv.FormatFloat(value, 'f', 3, 64))
	}
	return strings.Join(parts, ",")
}

// ArgumentValue returns the value of a name in a list such as "a=1,b=2"; "" if the name is absent.
func ArgumentValue(list, name string) string {
	for pair := range strings.SplitSeq(list, ",") {
		key, value, _ := strings.Cut(pair, "=")
		if key == name {
			return value
		}
	}
	return ""
}

// SetHanging makes the host accept commands and answer none. They are answered once it hangs no longer.
func (h *Host) SetHanging(on bool) {
	h.Ask(func() {
		h.hanging = on
		if on {
			return
		}
		withheld := h.withheld
		h.withheld = nil
		for _, command := range withheld {
			command.finish()
		}
	})
}

// SetSlowdown makes commands that begin from now on take factor times as long; 1 ends that.
func (h *Host) SetSlowdown(factor float64) {
	h.Ask(func() {
		h.slowdown = factor
		h.recordLoad()
	})
}

// SetModel sets another model and another limit on connections; open connections beyond it stay.
func (h *Host) SetModel(change func(*Model), conns int) {
	h.Ask(func() {
		if change != nil {
			change(&h.Model)
		}
		h.MaxConns = conns
		h.recordLoad()
	})
}

// Kill ends the host as the death of its process does: connections are reset, new ones refused.
func (h *Host) Kill() { h.Ask(h.kill) }

// kill is Kill within the actor.
func (h *Host) kill() {
	if !h.running {
		return
	}
	h.running = false
	h.hanging = false
	h.withheld = nil
	closeListener(h.listener)
	for conn := range h.conns {
		conn.fail(OutcomeHostKilled)
	}
}

// Start restarts the host at the same address, and warms up if its model has a WarmUpFactor. It returns the start
// time in milliseconds, as in the host list.
func (h *Host) Start() (startedMS int64, err error) {
	h.Ask(func() {
		h.kill()
		h.startedAt = actor.Now()
		h.warming = h.Model.WarmUpFactor > 1
		startedMS = h.startedAt / int64(time.Millisecond)
		err = h.listen()
	})
	return startedMS, err
}

// Close ends the host for good and waits for its goroutines.
func (h *Host) Close() {
	h.Kill()
	h.goroutines.Wait()
	h.Actor.Stop()
}

// Log returns a copy of the log so far.
func (h *Host) Log() (log HostLog) {
	h.Ask(func() {
		log = h.log
		log.Commands = slices.Clone(log.Commands)
		log.LoadSteps = slices.Clone(log.LoadSteps)
		log.AcceptedAt = slices.Clone(log.AcceptedAt)
	})
	return log
}

// OpenConns returns the number of connections that are open.
func (h *Host) OpenConns() (n int) {
	h.Ask(func() { n = len(h.conns) })
	return n
}

// ResponseTime returns how long the host would take for a request under a load, as it is now and warmed up.
func (h *Host) ResponseTime(id, class string, load float64) (responseTime time.Duration) {
	h.Ask(func() { responseTime = h.Model.ResponseTime(id, class, load, h.slowdown/h.Speed) })
	return responseTime
}

// Entry returns the host's entry in the host list.
func (h *Host) Entry(state string) (entry HostEntry) {
	h.Ask(func() { entry = h.listEntry(state) })
	return entry
}

// listEntry is Entry within the actor.
func (h *Host) listEntry(state string) HostEntry {
	return HostEntry{
		ID:        h.ID,
		Addr:      h.addr,
		Zone:      h.Zone,
		Kind:      h.Kind,
		Cell:      h.Cell,
		State:     state,
		Weight:    h.Weight,
		StartedMS: h.startedAt / int64(time.Millisecond),
	}
}
