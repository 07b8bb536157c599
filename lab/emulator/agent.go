package emulator

import (
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"time"

	"ravensill/lab/actor"
)

const keepAliveInterval = 2 * time.Second // between the empty lines that keep a watch alive

// Entry is one host of a host list, as the agent sends it.
type Entry struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"kind"`
	Cell      int     `json:"cell"`
	State     string  `json:"state"` // active, leaving, left
	Weight    float64 `json:"weight"`
	StartedMS int64   `json:"started_ms"`
}

// Mode is the behaviour of one gateway's agent.
type Mode struct {
	Frozen bool          // it receives no more changes and answers with what it has
	Silent bool          // it accepts calls and sends nothing more, also on open watches
	Down   bool          // calls and open watches are ended at once
	Indent bool          // lists are indented, over several lines
	Delay  time.Duration // from a change until the agent receives it
	Part   float64       // above 0: only this fraction of a list's bytes is sent, then the connection ends
	Chunk  int           // above 0: bytes are sent in chunks of this size
}

// Told is one change that was sent whole on a gateway's watch.
type Told struct {
	Gateway int
	Version int
	At      int64
}

// Agent stands in for the discovery agents: one server that is a different agent for each gateway, distinguished by the address in
// 127.0.0.0/8 that the gateway calls.
type Agent struct {
	*actor.Actor
	server    *http.Server
	port      uint16
	network   byte
	views     []*agentView
	changes   []Change // all changes; the version is the index
	delivered []Told
	calls     map[int]int // by gateway
}

// Change is one change of the host list.
type Change struct {
	At      int64
	Entries []Entry
	Only    []int // gateways whose agents receive it; nil: all
}

// agentView is what one gateway's agent has received.
type agentView struct {
	gateway int
	version int // version received
	mode    Mode
	watches map[*watcher]bool
}

// watcher is one call of a gateway, a watch or a single list.
type watcher struct {
	delivered int // version
	chunks    chan []byte
	truncated bool
	closed    chan struct{}
}

// Loopback returns address i of a network within 127.0.0.0/8, so that many servers can share one port.
func Loopback(network byte, i int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, network, byte((i + 1) >> 8), byte(i + 1)})
}

// Free returns address i of a network with a port that is free for TCP and UDP. It is below the system's ephemeral ports, so that
// it stays free until its user starts, and while that is down.
func Free(network byte, i int) (addr netip.AddrPort, err error) {
	for try := range 200 {
		addr = netip.AddrPortFrom(Loopback(network, i), uint16(20000+(os.Getpid()*31+try*97+i)%12000))
		var listener net.Listener
		var packets net.PacketConn
		if listener, err = net.Listen("tcp4", addr.String()); err != nil {
			continue
		}
		closeListener(listener)
		if packets, err = net.ListenPacket("udp4", addr.String()); err == nil {
			packets.Close()
			return addr, nil
		}
	}
	return addr, err
}

// Number is the inverse of Loopback; it returns -1 for an address outside the network.
func Number(network byte, a netip.Addr) int {
	b := a.Unmap().As4()
	if b[0] != 127 || b[1] != network {
		return -1
	}
	return int(b[2])<<8 + int(b[3]) - 1
}

// NewAgent starts the agents of so many gateways, all with the same initial host list.
func NewAgent(network byte, gateways int, entries ...Entry) (*Agent, error) {
	listener, err := net.Listen("tcp4", "0.0.0.0:0")
	if err != nil {
		return nil, fmt.Errorf("agent: %w", err)
	}
	agent := &Agent{Actor: actor.New(), network: network, port: netip.MustParseAddrPort(listener.Addr().String()).Port(),
		changes: []Change{{}, {At: actor.Now(), Entries: entries}}, calls: map[int]int{}}
	for i := range gateways {
		agent.views = append(agent.views, &agentView{gateway: i, version: 1, watches: map[*watcher]bool{}})
	}
	agent.server = &http.Server{Handler: http.HandlerFunc(agent.serve)}
	go agent.server.Serve(listener)
	agent.sendKeepAlives()
	return agent, nil
}

// Addr returns the address of a gateway's agent.
func (a *Agent) Addr(gateway int) string {
	return netip.AddrPortFrom(Loopback(a.network, gateway), a.port).String()
}

// Close ends the agents.
func (a *Agent) Close() {
	a.server.Close()
	a.Actor.Stop()
}

// sendKeepAlives sends an empty line on each watch, again and again.
func (a *Agent) sendKeepAlives() {
	a.After(keepAliveInterval, func() {
		for _, view := range a.views {
			if view.mode.Silent {
				continue
			}
			for watch := range view.watches {
				watch.send([]byte("\n"))
			}
		}
		a.sendKeepAlives()
	})
}

// send queues bytes; nil ends the call. A watch whose gateway does not read is closed.
func (w *watcher) send(b []byte) {
	select {
	case w.chunks <- b:
	default: // the gateway does not read
		w.close()
	}
}

// close ends the call with a broken connection.
func (w *watcher) close() {
	select {
	case <-w.closed:
	default:
		close(w.closed)
	}
}

// Push sends a change to all agents and returns its version.
func (a *Agent) Push(entries ...Entry) int { return a.PushTo(nil, entries...) }

// PushTo sends a change to the agents of some gateways only; the others never receive it.
func (a *Agent) PushTo(gateways []int, entries ...Entry) (version int) {
	a.Ask(func() {
		version = len(a.changes)
		a.changes = append(a.changes, Change{actor.Now(), entries, gateways})
		for _, view := range a.views {
			if view.mode.Delay > 0 {
				a.After(view.mode.Delay, func() { a.receive(view, version) })
			} else {
				a.receive(view, version)
			}
		}
	})
	return version
}

// receive gives an agent all changes up to a version, which it sends on its watches.
func (a *Agent) receive(view *agentView, version int) {
	if view.mode.Frozen || version <= view.version {
		return
	}
	view.version = version
	for watch := range view.watches {
		a.deliver(view, watch)
	}
}

// deliver sends a watch what changed since the version that it has.
func (a *Agent) deliver(view *agentView, watch *watcher) {
	if view.mode.Silent || watch.delivered >= view.version {
		return
	}
	list, changed := a.encodeList(view, watch.delivered)
	if watch.delivered = view.version; !changed {
		return
	}
	if view.mode.Part > 0 {
		watch.truncated = true
		list = list[:int(float64(len(list))*min(view.mode.Part, 1))]
	} else {
		a.delivered = append(a.delivered, Told{view.gateway, view.version, actor.Now()})
	}
	watch.send(list)
	if watch.truncated {
		watch.send(nil)
	}
}

// encodeList encodes what changed after a version, or the whole list; changed is false if that is nothing.
func (a *Agent) encodeList(view *agentView, after int) (text []byte, changed bool) {
	full := after <= 0 || after > view.version
	if full {
		after = 0
	}
	last := map[string]Entry{}
	var order []string
	for _, change := range a.changes[after+1 : view.version+1] {
		if change.Only != nil && !slices.Contains(change.Only, view.gateway) {
			continue
		}
		for _, entry := range change.Entries {
			if _, ok := last[entry.ID]; !ok {
				order = append(order, entry.ID)
			}
			last[entry.ID] = entry
		}
	}
	entries := []Entry{}
	for _, id := range order {
		if entry := last[id]; !full || entry.State != "left" {
			entries = append(entries, entry)
		}
	}
	list := map[string]any{"version": view.version, "full": full, "servers": entries}
	if view.mode.Indent {
		text, _ = json.MarshalIndent(list, "", "  ")
	} else {
		text, _ = json.Marshal(list)
	}
	return append(text, '\n'), full || len(entries) > 0
}

// Set changes the behaviour of the agents of some gateways; nil stands for all. An agent receives what it missed while it was
// frozen, silent or down at once when that is over.
func (a *Agent) Set(gateways []int, change func(*Mode)) {
	a.Ask(func() {
		for _, view := range a.views {
			if gateways != nil && !slices.Contains(gateways, view.gateway) {
				continue
			}
			change(&view.mode)
			if view.mode.Down {
				for watch := range view.watches {
					watch.close()
				}
				continue
			}
			a.receive(view, len(a.changes)-1)
			for watch := range view.watches {
				a.deliver(view, watch)
			}
		}
	})
}

// Told returns what was sent on watches so far.
func (a *Agent) Told() (delivered []Told) {
	a.Ask(func() { delivered = slices.Clone(a.delivered) })
	return delivered
}

// Changes returns all changes so far; the first one is the initial host list.
func (a *Agent) Changes() (all []Change) {
	a.Ask(func() { all = slices.Clone(a.changes[1:]) })
	return all
}

// Asked returns the number of calls by gateway.
func (a *Agent) Asked() (calls map[int]int) {
	a.Ask(func() { calls = maps.Clone(a.calls) })
	return calls
}

// Watching returns the number of open watches.
func (a *Agent) Watching() (n int) {
	a.Ask(func() {
		for _, view := range a.views {
			n += len(view.watches)
		}
	})
	return n
}

// Known returns the whole host list as a gateway's agent has it, for the configuration's key of that name.
func (a *Agent) Known(gateway int) (text json.RawMessage) {
	a.Ask(func() { text, _ = a.encodeList(a.views[gateway], 0) })
	return text
}

// serve answers one call.
func (a *Agent) serve(response http.ResponseWriter, request *http.Request) {
	local, _ := netip.ParseAddrPort(request.Context().Value(http.LocalAddrContextKey).(net.Addr).String())
	gateway := Number(a.network, local.Addr())
	if gateway < 0 || gateway >= len(a.views) || request.URL.Path != "/v1/servers" {
		http.Error(response, "nothing here", http.StatusNotFound)
		return
	}
	w := &watcher{chunks: make(chan []byte, 256), closed: make(chan struct{})}
	watch := request.URL.Query().Get("watch") == "1"
	after, _ := strconv.Atoi(request.URL.Query().Get("after"))
	var mode Mode
	a.Ask(func() {
		view := a.views[gateway]
		a.calls[gateway]++
		mode = view.mode
		if mode.Silent || mode.Down { // a silent one is sent nothing, but stays open
			w.delivered = after
		} else if watch {
			w.delivered = after
			a.deliver(view, w)
		} else {
			chunk, _ := a.encodeList(view, 0)
			if a.delivered = append(a.delivered, Told{gateway, view.version, actor.Now()}); mode.Part > 0 {
				chunk = chunk[:int(float64(len(chunk))*min(mode.Part, 1))]
			}
			w.send(chunk)
			w.send(nil)
		}
		if watch && !mode.Down {
			view.watches[w] = true
		}
	})
	defer a.Do(func() { delete(a.views[gateway].watches, w) })
	if mode.Down {
		panic(http.ErrAbortHandler)
	}
	response.Header().Set("Content-Type", "application/json")
	controller := http.NewResponseController(response)
	if !mode.Silent && watch {
		response.WriteHeader(http.StatusOK)
		controller.Flush()
	}
	for {
		select {
		case chunk := <-w.chunks:
			if chunk == nil {
				if mode.Part > 0 || w.truncated {
					panic(http.ErrAbortHandler)
				}
				return
			}
			for len(chunk) > 0 {
				n := len(chunk)
				if mode.Chunk > 0 {
					n = min(n, mode.Chunk)
				}
				response.Write(chunk[:n])
				controller.Flush()
				chunk = chunk[n:]
			}
		case <-w.closed:
			panic(http.ErrAbortHandler)
		case <-request.Context().Done():
			return
		}
	}
}
