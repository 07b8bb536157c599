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
	keepAliveInterval = 2 * time.Second // pause between the empty lines that keep a watch alive
	chunkQueueSize    = 256             // chunks of one call that may wait to be written
)

// States of a host in the host list that a discovery agent sends.
const (
	Active  = "active"
	Leaving = "leaving"
	Left    = "left"
)

// HostEntry is one host in a host list, as a discovery agent sends it.
type HostEntry struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"kind"` // machine type
	Cell      int     `json:"cell"`
	State     string  `json:"state"`
	Weight    float64 `json:"weight"`
	StartedMS int64   `json:"started_ms"`
}

// hostList is an answer of a discovery agent: a full host list, or only the entries that changed.
type hostList struct {
	Full    bool        `json:"full"`
	Servers []HostEntry `json:"servers"`
	Version int         `json:"version"`
}

// AgentMode sets how the discovery agent of one gateway misbehaves. The zero value is a correct agent.
type AgentMode struct {
	Frozen   bool          // the agent gets no more changes and answers with the version that it has
	Silent   bool          // the agent accepts calls but sends nothing, neither to new ones nor on open watches
	Down     bool          // the agent breaks new calls and open watches at once
	Indented bool          // lists are sent as indented JSON, over several lines
	Delay    time.Duration // from a change until the agent gets it
	// SentFraction, if above 0, is the fraction of a list's bytes that is sent before the connection breaks.
	SentFraction float64
	ChunkSize    int // if above 0, lists are written in pieces of this many bytes
}

// truncate returns the leading part of a list that is sent according to SentFraction.
func (m *AgentMode) truncate(list []byte) []byte {
	if m.SentFraction <= 0 {
		return list
	}
	return list[:int(float64(len(list))*min(m.SentFraction, 1))]
}

// Delivery records that a version of the host list was sent to a gateway, at a time in nanoseconds of actor.Now.
type Delivery struct {
	Gateway int
	Version int
	At      int64
}

// Agent emulates the discovery agents of all gateways in one HTTP server. Each gateway calls its own address in
// 127.0.0.0/8, by which the server tells the agents apart. Agent is an actor; its methods may be called by several
// goroutines at once.
type Agent struct {
	*actor.Actor
	server     *http.Server
	port       uint16
	network    byte             // second octet of the agents' addresses
	views      []*agentView     // by gateway
	changes    []HostListChange // by version; there is no version 0, and version 1 is the initial list
	deliveries []Delivery
	calls      map[int]int    // number of calls by gateway
	serving    sync.WaitGroup // the goroutine of the HTTP server
}

// HostListChange is one change of the host list. At is in nanoseconds of actor.Now.
type HostListChange struct {
	At       int64
	Entries  []HostEntry
	Gateways []int // whose agents get the change; nil: all
}

// agentView is the state of one gateway's agent: the version of the host list that it has, its mode and its open
// watches.
type agentView struct {
	gateway int
	version int // latest version that the agent has
	mode    AgentMode
	watches map[*agentCall]bool
}

// agentCall is one HTTP request of a gateway to its agent, for a watch or for a single list.
type agentCall struct {
	delivered int           // latest version sent
	chunks    chan []byte   // waiting to be written; a nil chunk ends the call
	truncated bool          // part of a list was left out, so the connection must break at the end
	closed    chan struct{} // closed to break the connection
}

// NewAgent starts the agents of a number of gateways with the same initial host list. network is the second octet of
// their addresses.
func NewAgent(network byte, gateways int, entries ...HostEntry) (*Agent, error) {
	listener, err := net.Listen("tcp4", "0.0.0.0:0")
	if err != nil {
		return nil, fmt.Errorf("starting the discovery agents: %w", err)
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

// Addr returns the address at which a gateway calls its agent.
func (a *Agent) Addr(gateway int) string {
	return netip.AddrPortFrom(LoopbackAddr(a.network, gateway), a.port).String()
}

// Close ends all agents and their calls.
func (a *Agent) Close() {
	a.server.Close()
	a.serving.Wait()
	a.Actor.Stop()
}

// sendKeepAlives sends an empty line on each watch every keepAliveInterval, except for silent agents.
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

// send queues a chunk; nil ends the call. If the queue is full because the gateway does not read, send breaks the
// connection.
func (c *agentCall) send(chunk []byte) {
	select {
	case c.chunks <- chunk:
	default: // the gateway does not read
		c.close()
	}
}

// close breaks the call's connection. Further calls do nothing. Only the Agent's actor may call it, because two
// concurrent calls could close the channel twice.
func (c *agentCall) close() {
	select {
	case <-c.closed:
	default:
		close(c.closed)
	}
}

// Push sends a change to the agents of all gateways and returns its version.
func (a *Agent) Push(entries ...HostEntry) int { return a.PushTo(nil, entries...) }

// PushTo sends a change to the agents of some gateways, nil for all, and returns its version. The other agents advance
// to the version but never get the change.
func (a *Agent) PushTo(gateways []int, entries ...HostEntry) (version int) {
	a.Ask(func() {
		version = len(a.changes)
		a.changes = append(a.changes, HostListChange{actor.Now(), entries, gateways})
		for _, view := range a.views {
			if view.mode.Delay > 0 {
				a.After(view.mode.Delay, func() { a.applyChanges(view, version) })
			} else {
				a.applyChanges(view, version)
			}
		}
	})
	return version
}

// applyChanges advances an agent to a version and sends the new changes on its watches. It does nothing if the agent is
// frozen or already has the version.
func (a *Agent) applyChanges(view *agentView, version int) {
	if view.mode.Frozen || version <= view.version {
		return
	}
	view.version = version
	for watch := range view.watches {
		a.sendChanges(view, watch)
	}
}

// sendChanges sends on a watch the entries that changed since the version sent last.
func (a *Agent) sendChanges(view *agentView, watch *agentCall) {
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

// encodeList encodes the entries that changed after a version that the caller has. It encodes the full list if that is
// version 0 or one that the agent does not have yet. changed reports whether there is anything to send.
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

// SetMode changes the modes of the agents of some gateways; nil stands for all. Agents that are no longer frozen,
// silent or down catch up on missed changes at once.
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
			a.applyChanges(view, len(a.changes)-1)
			for watch := range view.watches {
				a.sendChanges(view, watch)
			}
		}
	})
}

// Deliveries returns what was sent so far: changes sent completely on watches, and all single lists, even those that
// the agent's mode truncated.
func (a *Agent) Deliveries() (delivered []Delivery) {
	a.Ask(func() { delivered = slices.Clone(a.deliveries) })
	return delivered
}

// Changes returns all changes so far, the first of which is the initial host list.
func (a *Agent) Changes() (all []HostListChange) {
	a.Ask(func() { all = slices.Clone(a.changes[1:]) })
	return all
}

// CallsByGateway returns the number of calls that each gateway made.
func (a *Agent) CallsByGateway() (calls map[int]int) {
	a.Ask(func() { calls = maps.Clone(a.calls) })
	return calls
}

// OpenWatches returns the number of open watches of all gateways.
func (a *Agent) OpenWatches() (n int) {
	a.Ask(func() {
		for _, view := range a.views {
			n += len(view.watches)
		}
	})
	return n
}

// FullList returns the host list that a gateway's agent has, in the format of the configuration's key known.
func (a *Agent) FullList(gateway int) (text json.RawMessage) {
	a.Ask(func() { text, _ = a.encodeList(a.views[gateway], 0) })
	return text
}
