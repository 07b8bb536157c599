// Package scale measures how the needs of one gateway (memory, messages, processor time) grow with each size of a
// deployment: gateways, hosts, quota plans, request classes, customers, requests a second, changes a second.
//
// It runs many hollow gateways in one process. A hollow gateway runs the program's own code for all control work,
// without sockets to clients and hosts, which are simulated. Simulation drives hollow gateways on a simulated clock.
// RealTimeGateway drives one on the real clock, with the program's own datagram sockets, beside real gateway
// processes. docs/scale.md describes the method.
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

// hostConnectionFraction is the fraction of a gateway's file descriptors that its connections to hosts may use, as in
// package node.
const hostConnectionFraction = 0.4

// Driver carries out the decisions of a hollow gateway in place of sockets. Its methods are called from within
// HollowGateway.Process and must not call it.
type Driver interface {
	// SendMessage sends a gossip message to the member with index peer.
	SendMessage(from *HollowGateway, peer int, body []byte)
	// StartAttempt has a simulated host answer an attempt, by a later call of HollowGateway.EndAttempt.
	StartAttempt(from *HollowGateway, request string, host uint32, attempt int)
	// RequestClosed reports that the gateway rejected or failed a request.
	RequestClosed(from *HollowGateway, request string, outcome Outcome)
}

// Outcome says how a gateway closed a request without an answer of a host.
type Outcome int

// Outcomes of a request.
const (
	Rejected Outcome = iota // not admitted; the client may retry later
	Failed                  // answered with an error; the request may have run
)

// Counts counts the work of one hollow gateway since its start.
type Counts struct {
	MessagesOut      int
	BytesOut         int
	MessagesIn       int
	BytesIn          int
	Batches          int // batches of events that the decision module processed
	Ticks            int // timers that fired
	ConfigurationIn  int // bytes of configuration versions received
	ConfigurationOut int // bytes of acknowledgements to publishers
}

// HollowGateway is a gateway without sockets to clients and hosts. It does the work that node.Node does between its
// sockets and the decision module. It is not safe for concurrent use.
type HollowGateway struct {
	Counts
	driver         Driver
	configuration  *config.Config
	module         *logic.Gateway
	messageFormat  gossip.Format
	endpoints      *discovery.EndpointList
	connections    *hosts.Transport
	listEvents     []gateway.Event // from the host list; they precede other events of a batch, as in package node
	events         []gateway.Event
	batch          gateway.Batch
	live           *config.Live         // nil if the gateway follows no publisher
	follower       *configsync.Follower // nil if the gateway follows no publisher
	attempts       map[string]int       // attempts made so far, by ID of an open request
	now            int64                // Unix time in nanoseconds
	timerDue       int64                // when the timer fires, in Unix nanoseconds; 0 if it is not set
	malformedLists int                  // host lists dropped because they could not be decoded
}

// NewHollowGateway starts a gateway from a configuration, as the program does, with the host list that the
// configuration holds. now is Unix time in nanoseconds.
func NewHollowGateway(configuration *config.Config, driver Driver, now int64) *HollowGateway {
	h := &HollowGateway{driver: driver, configuration: configuration, now: now, attempts: map[string]int{}}
	h.messageFormat = newMessageFormat(configuration)
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
		MaxConns:       int(hostConnectionFraction * float64(configuration.MaxDescriptors)),
	})
	if configuration.Configuration != nil {
		h.startFollower()
	}
	h.ApplyHostList(configuration.InitialEndpointList, true)
	configuration.InitialEndpointList = "" // frees the text, as package node does
	h.Process(now)
	return h
}

// newMessageFormat returns the format of gossip messages, as in package node.
func newMessageFormat(c *config.Config) gossip.Format {
	return gossip.Format{Plans: len(c.Plans), Members: len(c.Peers), PlansByID: c.Configuration != nil}
}

// Index returns the gateway's member index.
func (h *HollowGateway) Index() int { return h.configuration.Membership.Index }

// CustomerCount returns the number of customers of which the gateway has a record.
func (h *HollowGateway) CustomerCount() int { return h.module.Gauges().Customers }

// ApplyHostList decodes a host list or a change of it, in the encoding of discovery, and queues it for Process. cached
// says that the list comes from the configuration and may be out of date. A malformed list is dropped.
func (h *HollowGateway) ApplyHostList(text string, cached bool) {
	setAddress := func(host uint32, address netip.AddrPort) { h.connections.SetAddress(host, address) }
	kind, listings, _, err := h.endpoints.Decode(text, setAddress)
	if err != nil {
		h.malformedLists++
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

// ReceiveMessage queues a gossip message from a peer for Process. A malformed message is dropped, as the program drops
// it at its socket.
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

// ReceiveRequest queues a request of a simulated client for Process.
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

// EndAttempt queues a simulated host's successful answer to an attempt for Process.
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

// NextTimer returns when the timer is due, in Unix nanoseconds, or 0 if none is set. The driver must call Process
// then.
func (h *HollowGateway) NextTimer() int64 { return h.timerDue }

// Process fires the timer if it is due and has the decision module process all queued events. now is Unix time in
// nanoseconds.
func (h *HollowGateway) Process(now int64) {
	h.now = now
	if h.timerDue > 0 && now >= h.timerDue {
		h.timerDue = 0
		h.Ticks++
		h.connections.CloseIdle()
		h.events = append(h.events, gateway.Event{Kind: gateway.TimerFired})
	}
	for len(h.listEvents)+len(h.events) > 0 {
		h.batch.Now = gateway.Time(now)
		h.batch.Events = append(append(h.batch.Events[:0], h.listEvents...), h.events...)
		clear(h.listEvents) // frees the list, which would otherwise stay in memory until the next one
		h.listEvents = h.listEvents[:0]
		h.events = h.events[:0]
		h.Batches++
		h.module.Decide(&h.batch, h)
		clear(h.batch.Events)
	}
	h.connections.Flush()
}

// SendGossip implements gateway.Actions. It counts the message and passes it to the driver.
func (h *HollowGateway) SendGossip(peer int, body []byte) {
	h.MessagesOut++
	h.BytesOut += len(body)
	h.driver.SendMessage(h, peer, body)
}

// StartAttempt implements gateway.Actions. It passes the attempt to the driver.
func (h *HollowGateway) StartAttempt(request string, host uint32, _ time.Duration) {
	attempt := h.attempts[request]
	h.attempts[request]++
	h.driver.StartAttempt(h, request, host, attempt)
}

// Reject implements gateway.Actions.
func (h *HollowGateway) Reject(request string, _ time.Duration) { h.closeRequest(request, Rejected) }

// Fail implements gateway.Actions.
func (h *HollowGateway) Fail(request string) { h.closeRequest(request, Failed) }

// closeRequest removes an open request and reports its outcome to the driver.
func (h *HollowGateway) closeRequest(request string, outcome Outcome) {
	delete(h.attempts, request)
	h.driver.RequestClosed(h, request, outcome)
}

// SetTimer implements gateway.Actions. It replaces the timer that was set before.
func (h *HollowGateway) SetTimer(after time.Duration) { h.timerDue = int64(h.batch.Now.Add(after)) }

// AddToCounter implements gateway.Actions. It reports the shared counter as unreachable, as the program does if none
// is configured.
func (h *HollowGateway) AddToCounter(name uint64, _ float64, _ time.Duration) {
	h.events = append(h.events, gateway.Event{Kind: gateway.CounterReplied, CounterName: name,
		Result: gateway.Unreachable})
}

// CancelAttempt implements gateway.Actions. It does nothing because simulated hosts answer canceled attempts too.
func (h *HollowGateway) CancelAttempt(string, int) {}

// SendProbe implements gateway.Actions. It does nothing because simulated hosts report their load in their answers.
func (h *HollowGateway) SendProbe(uint32) {}

// WatchEndpoints implements gateway.Actions. It does nothing because the driver delivers changes of the host list
// unasked.
func (h *HollowGateway) WatchEndpoints() {}

// LogNote implements gateway.Actions. It does nothing because a hollow gateway writes no log.
func (h *HollowGateway) LogNote(string) {}
