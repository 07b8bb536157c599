// Package scale measures how what one gateway needs (memory, messages, processor time) grows with each size of a
// deployment: gateways, hosts, quota plans, request classes, customers, requests a second, changes a second.
//
// It runs hollow gateways, many in one process: the program's own code for all control work, with the sockets to
// clients and hosts left out. Simulation drives them on a simulated clock; Serve drives them on the real clock
// with the program's own datagram sockets, beside real processes of the program. Clients and hosts are simulated
// in both. docs/scale.md describes the method.
package scale

import (
	"net/netip"
	"time"

	"ravensill/configsync"
	"ravensill/gateway"
	"ravensill/internal/config"
	"ravensill/internal/discovery"
	"ravensill/internal/gossip"
	"ravensill/internal/hosts"
	"ravensill/internal/sockets"
	"ravensill/logic"
)

// connectionsPerSocket is the part of a gateway's sockets that its connections to hosts may use, as in package node.
const connectionsPerSocket = 0.4

// Driver carries out what a hollow gateway decides, in place of sockets.
type Driver interface {
	SendMessage(from *HollowGateway, peer int, body []byte)
	StartAttempt(from *HollowGateway, request string, host uint32, attempt int)
	RequestClosed(from *HollowGateway, request string, outcome Outcome)
}

// Outcome is how the gateway closed a request by itself.
type Outcome int

// Outcomes of a request that the gateway closed without an answer of a host.
const (
	Rejected Outcome = iota // throttled, with a time to come back after
	Failed
)

// Counts are of one hollow gateway since its start.
type Counts struct {
	MessagesOut      int
	BytesOut         int
	MessagesIn       int
	BytesIn          int
	Batches          int // of events for the decision module
	Ticks            int // of them, those of a timer
	ConfigurationIn  int // bytes of versions
	ConfigurationOut int // bytes of acknowledgements
}

// HollowGateway is one gateway without sockets to clients and hosts. It does what node.Node does between its sockets and the
// decision module. Its fields belong to one goroutine.
type HollowGateway struct {
	Counts
	outside       Driver
	configuration *config.Config
	module        *logic.Gateway
	messageFormat gossip.Format // of the messages from peers
	endpoints     *discovery.EndpointList
	connections   *hosts.Transport
	listEvents    []gateway.Event // of the host list: they precede other events, as in package node
	events        []gateway.Event
	batch         gateway.Batch
	live          *config.Live         // nil: the gateway follows no publisher
	follower      *configsync.Follower // the same
	attempts      map[string]int       // made for each open request
	now           int64                // Unix time in nanoseconds
	wakeAt        int64                // the decision module's timer; 0 none
	badLists      int
}

// NewHollowGateway starts a gateway with a configuration as the program does, and passes the known host list to the module.
func NewHollowGateway(configuration *config.Config, outside Driver, now int64) *HollowGateway {
	h := &HollowGateway{outside: outside, configuration: configuration, now: now, attempts: map[string]int{}}
	h.messageFormat = messageForm(configuration)
	h.module = logic.New(configuration.Seed, configuration.Membership, configuration.Classes, configuration.Plans,
		configuration.Limits, configuration.SlowStart, configuration.LoadReport)
	h.endpoints = discovery.NewEndpointList(configuration.Zones, configuration.Machines)
	h.endpoints.EqualWeights = configuration.EqualWeights
	h.connections = hosts.NewTransport(hosts.Options{
		System:         sockets.Kernel{},
		RunOnLoop:      func(work func()) { work() },
		Now:            func() gateway.Time { return gateway.Time(h.now) },
		LoadFields:     configuration.ReportNames,
		ConnectTimeout: configuration.ConnectTimeout,
		IdleTimeout:    configuration.ConnIdle,
		MaxConns:       int(connectionsPerSocket * float64(configuration.MaxDescriptors)),
	})
	if configuration.Configuration != nil {
		h.follow()
	}
	h.ApplyHostList(configuration.InitialEndpointList, true)
	configuration.InitialEndpointList = "" // as package node: the list is in the book
	h.Process(now)
	return h
}

// messageForm returns the format of the messages between gateways, as in package node.
func messageForm(c *config.Config) gossip.Format {
	return gossip.Format{Plans: len(c.Plans), Members: len(c.Peers), PlansByID: c.Configuration != nil}
}

// Index returns the gateway's member index.
func (h *HollowGateway) Index() int { return h.configuration.Membership.Index }

// CustomerCount returns the number of customers that the gateway has a record of.
func (h *HollowGateway) CustomerCount() int { return h.module.Gauges().Customers }

// ApplyHostList applies a host list or changes of it, as discovery sends them. cached reports that it comes from the
// configuration and may be out of date.
func (h *HollowGateway) ApplyHostList(text string, cached bool) {
	place := func(host uint32, address netip.AddrPort) { h.connections.SetAddress(host, address) }
	kind, listings, _, err := h.endpoints.Decode(text, place)
	if err != nil {
		h.badLists++
		return
	}
	if cached {
		kind = gateway.ListCached
	}
	for _, listing := range listings {
		switch listing.State {
		case gateway.Draining:
			h.connections.Drain(listing.Host)
		case gateway.Gone:
			h.connections.Remove(listing.Host)
			h.endpoints.Forget(listing.Host)
		}
	}
	h.listEvents = append(h.listEvents, gateway.Event{Kind: gateway.EndpointsListed, ListKind: kind, Endpoints: listings})
}

// ReceiveMessage receives a message of a peer. A malformed one is dropped, as the program's socket drops it.
func (h *HollowGateway) ReceiveMessage(peer int, body []byte) {
	wellFormed := false
	h.messageFormat.Decode(body, func(uint64, uint64) bool {
		wellFormed = true
		return false
	}, nil, nil)
	if !wellFormed {
		return
	}
	h.MessagesIn++
	h.BytesIn += len(body)
	h.events = append(h.events, gateway.Event{Kind: gateway.GossipReceived, Peer: peer, Message: body})
}

// ReceiveRequest receives a request of a simulated client.
func (h *HollowGateway) ReceiveRequest(request Request) {
	h.attempts[request.ID] = 0
	h.events = append(h.events, gateway.Event{
		Kind:         gateway.RequestArrived,
		RequestID:    request.ID,
		Customer:     request.Customer,
		Class:        request.Class,
		Plan:         request.Plan,
		Deadline:     gateway.Time(request.Deadline),
		Units:        1,
		Spread:       request.SubsetSize,
		FirstGateway: request.FirstGateway,
	})
}

// EndAttempt receives a simulated host's successful answer to an attempt, with its latency.
func (h *HollowGateway) EndAttempt(request string, host uint32, attempt int, latency time.Duration) {
	delete(h.attempts, request)
	h.events = append(h.events, gateway.Event{
		Kind:       gateway.AttemptEnded,
		RequestID:  request,
		Host:       host,
		Attempt:    attempt,
		Result:     gateway.Succeeded,
		Latency:    latency,
		Closed:     true,
		LoadReport: []float64{hostUtilization},
	})
}

// NextTimer returns when the gateway's timer is due; 0: never.
func (h *HollowGateway) NextTimer() int64 { return h.wakeAt }

// Process runs what is due and has the module decide on all events.
func (h *HollowGateway) Process(now int64) {
	h.now = now
	if h.wakeAt > 0 && now >= h.wakeAt {
		h.wakeAt = 0
		h.Ticks++
		h.connections.CloseIdle()
		h.events = append(h.events, gateway.Event{Kind: gateway.TimerFired})
	}
	for len(h.listEvents)+len(h.events) > 0 {
		h.batch.Now = gateway.Time(now)
		h.batch.Events = append(append(h.batch.Events[:0], h.listEvents...), h.events...)
		clear(h.listEvents) // so that a list does not stay in memory until the next one
		h.listEvents = h.listEvents[:0]
		h.events = h.events[:0]
		h.Batches++
		h.module.Decide(&h.batch, h)
		clear(h.batch.Events)
	}
	h.connections.Flush()
}

// SendGossip sends a message to a peer.
func (h *HollowGateway) SendGossip(peer int, body []byte) {
	h.MessagesOut++
	h.BytesOut += len(body)
	h.outside.SendMessage(h, peer, body)
}

// StartAttempt makes an attempt of a request at a host.
func (h *HollowGateway) StartAttempt(request string, host uint32, _ time.Duration) {
	attempt := h.attempts[request]
	h.attempts[request]++
	h.outside.StartAttempt(h, request, host, attempt)
}

// Reject rejects a request.
func (h *HollowGateway) Reject(request string, _ time.Duration) { h.close(request, Rejected) }

// Fail fails a request.
func (h *HollowGateway) Fail(request string) { h.close(request, Failed) }

// close ends a request.
func (h *HollowGateway) close(request string, outcome Outcome) {
	delete(h.attempts, request)
	h.outside.RequestClosed(h, request, outcome)
}

// SetTimer sets the module's timer.
func (h *HollowGateway) SetTimer(after time.Duration) { h.wakeAt = int64(h.batch.Now.Add(after)) }

// AddToCounter answers that there is no shared counter, as the program does if none is configured.
func (h *HollowGateway) AddToCounter(name uint64, _ float64, _ time.Duration) {
	h.events = append(h.events, gateway.Event{Kind: gateway.CounterReplied, CounterName: name,
		Result: gateway.Unreachable})
}

// CancelAttempt does nothing: a simulated host answers nevertheless.
func (h *HollowGateway) CancelAttempt(string, int) {}

// SendProbe does nothing: simulated hosts report their load with answers.
func (h *HollowGateway) SendProbe(uint32) {}

// WatchEndpoints does nothing: the simulated discovery pushes changes.
func (h *HollowGateway) WatchEndpoints() {}

// LogNote does nothing: a hollow gateway writes no log.
func (h *HollowGateway) LogNote(string) {}
