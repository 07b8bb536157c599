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

const replyQueueSize = 256 // replies of one connection that may wait to be written

// HostOptions configure an emulated host.
type HostOptions struct {
	ID     string
	Listen string // address; port 0 selects a free port
	Zone   string
	Kind   string // machine type
	Cell   int
	Weight float64 // weight in the host list; 0 means 1
	Speed  float64 // divides the response times of Model; 0 means 1
	Model  Model
	// ReportFields are the names of the fields of the load report, as in the gateway's settings. The host sends a load
	// report only if there are any.
	ReportFields        []string
	AnswersHealthChecks bool // answers INFO with a load report instead of an error
	MaxConns            int  // connections beyond this number are refused; 0 means no limit
	// RefusalReply is written to a refused connection before it is closed, such as
	// "-ERR max number of clients reached\r\n". If it is empty, the connection is closed with a TCP reset.
	RefusalReply string
}

// Host emulates one host. It is an actor that owns the listener, the connections and the log; its methods may be called
// by several goroutines at once.
type Host struct {
	HostOptions
	*actor.Actor
	addr             string // actual address, with the port that was chosen
	listener         net.Listener
	conns            map[*hostConn]bool
	startedAt        int64             // latest call of Start, in ns of actor.Now; 0 before the first
	warming          bool              // the host warms up after its latest start
	hanging          bool              // commands are accepted but not answered
	slowdown         float64           // multiplies response times; 1 is normal
	withheldCommands []*pendingCommand // to be answered when the host stops hanging
	inFlight         int               // calls that were accepted and have not ended
	log              HostLog
	running          bool

	goroutines sync.WaitGroup
}

// NewHost starts a host that is already warmed up.
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

// Addr returns the address at which the host listens. It stays the same over restarts.
func (h *Host) Addr() string { return h.addr }

// listen opens the listener, at the first start with the chosen port and later at the same address, and accepts
// connections.
func (h *Host) listen() error {
	listener, err := net.Listen("tcp4", h.addr)
	if err != nil {
		return fmt.Errorf("starting host %s: %w", h.ID, err)
	}
	if err := recordArrivals(listener.(*net.TCPListener)); err != nil {
		listener.Close()
		return fmt.Errorf("starting host %s: %w", h.ID, err)
	}
	if h.addr != listener.Addr().String() { // written only at the first start, because later writes would race with Addr
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

// recordLoad adds the current load and slowdown to the log. It must be called after each change of them.
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

// resetConn closes a connection with a TCP reset.
func resetConn(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	conn.Close()
}

// accept serves a new connection. It refuses a connection beyond MaxConns and resets one of a listener that is no
// longer in use.
func (h *Host) accept(listener net.Listener, conn net.Conn) {
	if !h.running || listener != h.listener {
		resetConn(conn)
		return
	}
	if h.MaxConns > 0 && len(h.conns) >= h.MaxConns {
		h.refuse(conn)
		return
	}
	reader, err := newArrivalReader(conn.(*net.TCPConn))
	if err != nil { // the connection has ended
		conn.Close()
		return
	}
	h.log.AcceptedConns++
	h.log.AcceptedAt = append(h.log.AcceptedAt, actor.Now())
	client := &hostConn{
		host:    h,
		number:  h.log.AcceptedConns,
		conn:    conn,
		reader:  reader,
		replies: make(chan []byte, replyQueueSize),
	}
	h.conns[client] = true
	h.log.PeakConns = max(h.log.PeakConns, len(h.conns))
	h.recordLoad()
	h.goroutines.Go(client.writeReplies)
	h.goroutines.Go(client.readCommands)
}

// refuse closes a connection beyond MaxConns.
func (h *Host) refuse(conn net.Conn) {
	h.log.RefusedConns++
	if h.RefusalReply == "" {
		resetConn(conn)
		return
	}
	conn.Write([]byte(h.RefusalReply))
	conn.Close()
}

// loadReport returns the current load report, such as "utilization=0.250,queue=0.000". A field with an unknown name is
// 0.
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

// ArgumentValue returns the value of a name in a list such as "a=1,b=2", or "" if the list does not have the name.
func ArgumentValue(list, name string) string {
	for pair := range strings.SplitSeq(list, ",") {
		key, value, _ := strings.Cut(pair, "=")
		if key == name {
			return value
		}
	}
	return ""
}

// SetHanging makes the host accept commands without answering them, or ends that state and answers all withheld
// commands.
func (h *Host) SetHanging(on bool) {
	h.Ask(func() {
		h.hanging = on
		if on {
			return
		}
		withheld := h.withheldCommands
		h.withheldCommands = nil
		for _, command := range withheld {
			command.finishCall()
		}
	})
}

// SetSlowdown multiplies the response times of commands that arrive from now on by a factor; 1 ends the slowdown.
func (h *Host) SetSlowdown(factor float64) {
	h.Ask(func() {
		h.slowdown = factor
		h.recordLoad()
	})
}

// SetModel changes the model, unless change is nil, and sets MaxConns. Open connections beyond the new limit stay open.
func (h *Host) SetModel(change func(*Model), conns int) {
	h.Ask(func() {
		if change != nil {
			change(&h.Model)
		}
		h.MaxConns = conns
		h.recordLoad()
	})
}

// Kill stops the host as a crash of its process would: open connections are reset and new ones refused. Start starts it
// again.
func (h *Host) Kill() { h.Ask(h.kill) }

// kill does the work of Kill. It must be called within the actor.
func (h *Host) kill() {
	if !h.running {
		return
	}
	h.running = false
	h.hanging = false
	h.withheldCommands = nil
	closeListener(h.listener)
	for conn := range h.conns {
		conn.fail(OutcomeHostKilled)
	}
}

// Start restarts the host at the same address; a running host is killed first. The host warms up if its model has a
// WarmUpFactor above 1. It returns the start time in Unix milliseconds, as in the host list.
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

// Close stops the host for good and waits until its goroutines have ended.
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

// OpenConns returns the number of open connections.
func (h *Host) OpenConns() (n int) {
	h.Ask(func() { n = len(h.conns) })
	return n
}

// ResponseTime returns how long the host would take for a request with a number of others in flight, at its current
// slowdown and without warm-up.
func (h *Host) ResponseTime(id, class string, load float64) (responseTime time.Duration) {
	h.Ask(func() { responseTime = h.Model.ResponseTime(id, class, load, h.slowdown/h.Speed) })
	return responseTime
}

// Entry returns the host's entry in the host list, with the given state.
func (h *Host) Entry(state string) (entry HostEntry) {
	h.Ask(func() { entry = h.listEntry(state) })
	return entry
}

// listEntry does the work of Entry. It must be called within the actor.
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
