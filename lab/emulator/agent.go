package emulator

import (
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"ravensill/lab/actor"
)

const (
	keepAliveInterval = 2 * time.Second // between the empty lines that keep a watch alive
	chunkQueue        = 256             // chunks of a call that wait to be written
)

// States of a host in the host list.
const (
	Active  = "active"
	Leaving = "leaving"
	Left    = "left"
)

// HostEntry is one host of a host list, as the agent sends it.
type HostEntry struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"kind"`
	Cell      int     `json:"cell"`
	State     string  `json:"state"`
	Weight    float64 `json:"weight"`
	StartedMS int64   `json:"started_ms"`
}

// hostList is a host list, or what changed in it, as the agent sends it.
type hostList struct {
	Full    bool        `json:"full"`
	Servers []HostEntry `json:"servers"`
	Version int         `json:"version"`
}

// AgentMode is the behaviour of one gateway's agent.
type AgentMode struct {
	Frozen   bool          // it receives no more changes and answers with the version that it has
	Silent   bool          // it accepts calls and sends nothing more, on open watches neither
	Down     bool          // calls and open watches are ended at once
	Indented bool          // lists are indented, over several lines
	Delay    time.Duration // from a change until the agent receives it
	// SentFraction, if above 0, is the fraction of a list's bytes that is sent before the connection ends.
	SentFraction float64
	ChunkSize    int // above 0: bytes are sent in chunks of this size
}

// truncate returns the bytes of a list that are sent.
func (m *AgentMode) truncate(list []byte) []byte {
	if m.SentFraction <= 0 {
		return list
	}
	return list[:int(float64(len(list))*min(m.SentFraction, 1))]
}

// Delivery is one change that was sent completely to a gateway.
type Delivery struct {
	Gateway int
	Version int
	At      int64
}

// Agent emulates the discovery agents. It is one server and a different agent for each gateway, by the address in
// 127.0.0.0/8 that the gateway calls.
type Agent struct {
	*actor.Actor
	server     *http.Server
	port       uint16
	network    byte
	views      []*agentView
	changes    []HostListChange // the version is the index
	deliveries []Delivery
	calls      map[int]int // by gateway
	serving    sync.WaitGroup
}

// HostListChange is one change of the host list.
type HostListChange struct {
	At       int64
	Entries  []HostEntry
	Gateways []int // gateways whose agents receive it; nil: all
}

// agentView is what one gateway's agent has received.
type agentView struct {
	gateway int
	version int // latest received
	mode    AgentMode
	watches map[*agentCall]bool
}

// agentCall is one call of a gateway, for a watch or a single list.
type agentCall struct {
	delivered int         // latest version sent
	chunks    chan []byte // to be written; nil ends the call
	truncated bool
	closed    chan struct{}
}

// NewAgent starts the agents of a number of gateways, all with the same initial host list.
func NewAgent(network byte, gateways int, entries ...HostEntry) (*Agent, error) {
	listener, err := net.Listen("tcp4", "0.0.0.0:0")
	if err != nil {
		return nil, fmt.Errorf("agent: %w", err)
	}
	agent := &Agent{
		Actor:   actor.New(),
		network: network,
		port:    netip.MustParseAddrPort(listener.Addr().String()).Port(),
		changes: []HostListChange{{}, {At: actor.Now(), Entries: entries}},
		calls:   map[int]int{},
	}
	for i := range gateways {
		agent.views = append(agent.views, &agentView{gateway: i, version: 1, watches: map[*agentCall]bool{}})
	}
	agent.server = &http.Server{Handler: http.HandlerFunc(agent.serve)}
	agent.serving.Go(func() { agent.server.Serve(listener) })
	agent.sendKeepAlives()
	return agent, nil
}

// Addr returns the address of a gateway's agent.
func (a *Agent) Addr(gateway int) string {
	return netip.AddrPortFrom(LoopbackAddr(a.network, gateway), a.port).String()
}

// Close ends the agents.
func (a *Agent) Close() {
	a.server.Close()
	a.serving.Wait()
	a.Actor.Stop()
}

// sendKeepAlives sends an empty line on each watch at each keepAliveInterval.
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
func (w *agentCall) send(chunk []byte) {
	select {
	case w.chunks <- chunk:
	default: // the gateway does not read
		w.close()
	}
}

// close ends the call with a broken connection.
func (w *agentCall) close() {
	select {
	case <-w.closed:
	default:
		close(w.closed)
	}
}

// Push sends a change to all agents and returns its version.
func (a *Agent) Push(entries ...HostEntry) int { return a.PushTo(nil, entries...) }

// PushTo sends a change to the agents of some gateways only; the others never receive it.
func (a *Agent) PushTo(gateways []int, entries ...HostEntry) (version int) {
	a.Ask(func() {
		version = len(a.changes)
		a.changes = append(a.changes, HostListChange{actor.Now(), entries, gateways})
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

// receive has an agent receive all changes up to a version and send them on its watches.
func (a *Agent) receive(view *agentView, version int) {
	if view.mode.Frozen || version <= view.version {
		return
	}
	view.version = version
	for watch := range view.watches {
		a.deliver(view, watch)
	}
}

// deliver sends on a watch what changed since the version sent last.
func (a *Agent) deliver(view *agentView, watch *agentCall) {
	if view.mode.Silent || watch.delivered >= view.version {
		return
	}
	list, changed := a.encodeList(view, watch.delivered)
	watch.delivered = view.version
	if !changed {
		return
	}
	if view.mode.SentFraction > 0 {
		watch.truncated = true
	} else {
		a.deliveries = append(a.deliveries, Delivery{view.gateway, view.version, actor.Now()})
	}
	watch.send(view.mode.truncate(list))
	if watch.truncated {
		watch.send(nil)
	}
}

// encodeList encodes what changed after a version, or the full list after version 0 or one not received yet. changed
// reports whether there is anything to send.
func (a *Agent) encodeList(view *agentView, after int) (text []byte, changed bool) {
	full := after <= 0 || after > view.version
	if full {
		after = 0
	}
	latest := map[string]HostEntry{}
	var order []string
	for _, change := range a.changes[after+1 : view.version+1] {
		if change.Gateways != nil && !slices.Contains(change.Gateways, view.gateway) {
			continue
		}
		for _, entry := range change.Entries {
			if _, ok := latest[entry.ID]; !ok {
				order = append(order, entry.ID)
			}
			latest[entry.ID] = entry
		}
	}
	entries := []HostEntry{}
	for _, id := range order {
		if entry := latest[id]; !full || entry.State != Left {
			entries = append(entries, entry)
		}
	}
	list := hostList{Full: full, Servers: entries, Version: view.version}
	if view.mode.Indented {
		text, _ = json.MarshalIndent(list, "", "  ")
	} else {
		text, _ = json.Marshal(list)
	}
	return append(text, '\n'), full || len(entries) > 0
}

// SetMode changes the behaviour of the agents of some gateways; nil stands for all. An agent that was frozen, silent or
// down receives at once what it missed.
func (a *Agent) SetMode(gateways []int, change func(*AgentMode)) {
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

// Deliveries returns what was sent on watches so far.
func (a *Agent) Deliveries() (delivered []Delivery) {
	a.Ask(func() { delivered = slices.Clone(a.deliveries) })
	return delivered
}

// Changes returns all changes so far; the first one is the initial host list.
func (a *Agent) Changes() (all []HostListChange) {
	a.Ask(func() { all = slices.Clone(a.changes[1:]) })
	return all
}

// CallsByGateway returns the number of calls by gateway.
func (a *Agent) CallsByGateway() (calls map[int]int) {
	a.Ask(func() { calls = maps.Clone(a.calls) })
	return calls
}

// OpenWatches returns the number of open watches.
func (a *Agent) OpenWatches() (n int) {
	a.Ask(func() {
		for _, view := range a.views {
			n += len(view.watches)
		}
	})
	return n
}

// FullList returns the host list as a gateway's agent has it, for the configuration's key known.
func (a *Agent) FullList(gateway int) (text json.RawMessage) {
	a.Ask(func() { text, _ = a.encodeList(a.views[gateway], 0) })
	return text
}
