// Package node is one gateway on sockets: a loop that hands the module all that came in and carries out what it
// decides. It decides nothing. One goroutine runs the loop and owns all state; other goroutines hand it
// functions to run (Node.runOnLoop).
//
//   - node.go: the state of a gateway, and its way from the first socket to the last connection
//   - loop.go: one turn of the loop
//   - request.go, attempt.go: requests of clients, and what is sent to hosts for them
//   - shutdown.go: the phases of the end
//   - endpoint_watch.go: the endpoint list
//   - configuration.go: new versions of the settings
//   - quota.go, observed_actions.go: the optional connection quota and counterfactual observer
//   - listen.go: sockets and descriptors
package node

import (
	"errors"
	"log/slog"
	"net"
	"slices"
	"time"

	"ravensill/gateway"
	"ravensill/internal/clients"
	"ravensill/internal/clock"
	"ravensill/internal/config"
	"ravensill/internal/counter"
	"ravensill/internal/discovery"
	"ravensill/internal/hosts"
	"ravensill/internal/peers"
	"ravensill/internal/sockets"
)

const (
	inboxSize    = 1024 // functions that wait for the loop; who brings more waits, too
	idleFraction = 0.5  // of the hosts' idle timeout for which a connection is kept
)

// Decider is the module.
type Decider interface {
	Decide(batch *gateway.Batch, actions gateway.Actions)
	Reconfigure(now gateway.Time, update *gateway.Update) // between two batches
}

// DecisionCounter is a module that counts its decisions; the node logs them every countsLogInterval, for on-call
// and for counting over a fleet from the logs.
type DecisionCounter interface {
	DecisionCounts() []gateway.DecisionCount
}

// Platform is what a gateway runs on. Zero values mean the process's own.
type Platform struct {
	Clock   clock.Clock
	Sockets sockets.System
}

// Node is one gateway. All its fields belong to the loop.
type Node struct {
	cfg     *config.Config
	module  Decider
	system  sockets.System
	clock   clock.Clock
	unix    int64 // wall time of the monotonic clock's 0, as of the start: now never steps
	work    chan func()
	ended   chan struct{}          // closed when Run returns
	tasks   []func() (end func())  // started once the gateway has its addresses
	events  []gateway.Event        // since the last batch
	classes []gateway.RequestClass // by index, as they are in force

	listEvents []gateway.Event // of the list: they go first, so that no attempt of the batch passes by a drain
	batch      gateway.Batch
	batchCount int          // batches handed to the module
	timerAt    gateway.Time // the module's timer; 0: not set

	requests   map[string]*request
	inFlight   []*attempt
	nextExpiry gateway.Time // the first attempt in flight times out then at the earliest; 0: none is

	catalog       *clients.Catalog
	clients       *clients.Server
	transport     *hosts.Transport
	peerTransport *peers.Transport
	counter       *counter.Counter // nil: none is configured
	observer      *observedActions // nil: off
	quota         *connectionQuota // nil: off

	endpointList *discovery.EndpointList
	watch        *watch
	watchLost    bool // the watch broke, and none has brought anything since
	listAnswered bool // discovery has answered once, or it was waited for long enough: clients may be taken in
	droppedLists int

	pendingRevisions []revision // of the configuration; each is in force after the turn at hand

	listening   bool // clients are taken in
	phase       phase
	nextPhaseAt gateway.Time // the phase ends then; 0: it does not
	answerBy    gateway.Time // what is taken has its answer by then; 0: not called to stop

	droppedDatagrams int // since the last line on them
	droppedLoggedAt  gateway.Time
	countsLoggedAt   gateway.Time
}

// New makes a gateway that is not yet reachable.
func New(cfg *config.Config, module Decider) *Node { return NewOn(Platform{}, cfg, module) }

// NewOn makes a gateway on a platform, as tests have it.
func NewOn(platform Platform, cfg *config.Config, module Decider) *Node {
	if platform.Clock == nil {
		platform.Clock = clock.System{}
	}
	if platform.Sockets == nil {
		platform.Sockets = sockets.Kernel{}
	}
	n := &Node{
		cfg:          cfg,
		module:       module,
		system:       platform.Sockets,
		clock:        platform.Clock,
		unix:         platform.Clock.Wall().UnixNano() - int64(platform.Clock.Monotonic()),
		work:         make(chan func(), inboxSize),
		ended:        make(chan struct{}),
		classes:      slices.Clone(cfg.Classes),
		requests:     map[string]*request{},
		endpointList: discovery.NewEndpointList(cfg.Zones, cfg.Machines),
		catalog:      clients.NewCatalog(catalogOf(cfg)),
	}
	n.endpointList.EqualWeights = cfg.EqualWeights
	shared := sharedDescriptors(cfg.Sockets)
	n.clients = clients.NewServer(n.system, n.catalog, shared/3, n.runOnLoop, n.unixNano, n.arrive)
	idleTimeout := time.Duration(idleFraction * float64(cfg.ConnIdle))
	n.transport = hosts.NewTransport(n.system, n.runOnLoop, n.unixNano, cfg.ReportNames, int64(cfg.ConnectTimeout), int64(idleTimeout), shared*2/5)
	if cfg.Counter.IsValid() {
		n.counter = counter.New(n.system, cfg.Counter, int64(cfg.Limits.CounterTimeout), n.runOnLoop, n.unixNano, n.counterReplied)
	}
	return n
}

// catalogOf lists what commands name.
func catalogOf(cfg *config.Config) clients.CatalogConfig {
	catalog := clients.CatalogConfig{
		Classes:  cfg.ClassNames,
		Effects:  make([]gateway.Effect, 0, len(cfg.Classes)),
		Plans:    cfg.PlanNames,
		MaxUnits: make([]float64, 0, len(cfg.Plans)),
		Members:  cfg.Membership.Count,
		Own:      cfg.Membership.Index,
	}
	for i := range cfg.Classes {
		catalog.Effects = append(catalog.Effects, cfg.Classes[i].Effect)
	}
	for i := range cfg.Plans {
		catalog.MaxUnits = append(catalog.MaxUnits, maxUnits(&cfg.Plans[i]))
	}
	return catalog
}

// maxUnits returns the units that a request of a quota plan may ask for; 0: any.
func maxUnits(plan *gateway.Plan) float64 {
	if plan.Rate == 0 {
		return 0
	}
	return plan.Burst
}

// runOnLoop has the loop run a function. It waits while the inbox is full.
func (n *Node) runOnLoop(f func()) { n.work <- f }

// now returns the wall clock's time at the start of the gateway plus the monotonic time since: steps of the wall
// clock don't change it.
func (n *Node) now() gateway.Time { return gateway.Time(n.unixNano()) }

// unixNano returns now in nanoseconds since 1970, as the packages of the connections take it.
func (n *Node) unixNano() int64 { return n.unix + int64(n.clock.Monotonic()) }

// WhileRunning has Run start a task beside the loop once the gateway has its addresses: a former process of this
// gateway that serves to its end runs no more then. Run calls what start returns after the loop has ended, and
// waits for it.
func (n *Node) WhileRunning(start func() (end func())) { n.tasks = append(n.tasks, start) }

// Run serves until it is called to stop and owes nothing more.
func (n *Node) Run(stop <-chan struct{}) error {
	err := n.run(stop)
	if err != nil && !errors.Is(err, errStopped) {
		return err
	}
	slog.Info("stopped")
	return nil
}

// run opens all that the gateway needs, and closes it after the loop.
func (n *Node) run(stop <-chan struct{}) error {
	var ends []func()
	defer func() {
		close(n.ended)
		for _, end := range ends {
			end()
		}
	}()
	listener, err := n.openSockets(stop)
	if n.peerTransport != nil {
		defer n.peerTransport.Close()
	}
	if listener != nil {
		defer listener.Close()
	}
	if err != nil {
		return err
	}
	if n.counter != nil {
		defer n.counter.Close()
		n.counter.Connect()
	}
	endObserver, err := n.startObserver(stop)
	if err != nil {
		return err
	}
	defer endObserver()
	endQuota, err := n.startQuota(stop)
	if err != nil {
		return err
	}
	defer endQuota()
	n.decideFirstBatch()
	for _, start := range n.tasks {
		ends = append(ends, start())
	}
	if n.peerTransport != nil {
		go n.peerTransport.Listen(n.receiveGossip, n.countDropped)
	}
	n.startWatch()
	n.loop(listener, stop)
	return nil
}

// decideFirstBatch hands the module the endpoint list of the configuration.
func (n *Node) decideFirstBatch() {
	if n.cfg.KnownEndpoints == "" {
		n.listEvents = append(n.listEvents, gateway.Event{Kind: gateway.EndpointsListed, ListKind: gateway.ListCached})
	} else {
		n.updateEndpoints(n.cfg.KnownEndpoints, true)
		n.cfg.KnownEndpoints = "" // what it lists is known now, and the text need not be kept
	}
	n.step()
}

// receiveGossip hands a message of a peer to the loop. It runs on the peers' goroutine.
func (n *Node) receiveGossip(member int, message []byte) {
	n.runOnLoop(func() {
		n.events = append(n.events, gateway.Event{Kind: gateway.GossipReceived, Peer: member, Message: message})
	})
}

// countDropped counts a datagram that was dropped. It runs on the peers' goroutine.
func (n *Node) countDropped() { n.runOnLoop(func() { n.droppedDatagrams++ }) }

// listenWhenReady takes in clients once the endpoint list is there.
func (n *Node) listenWhenReady(listener *net.TCPListener) {
	if !n.listAnswered || n.listening || n.phase != serving {
		return
	}
	n.listening = true
	n.clients.StartAccepting(listener)
	slog.Info("serving",
		"name", n.cfg.Name,
		"listen", listener.Addr(),
		"peer_listen", n.peerTransport.Addr(),
		"hosts", n.endpointList.Count(),
		"version", n.endpointList.Version,
	)
}

// loop runs until the shutdown has ended.
func (n *Node) loop(listener *net.TCPListener, stop <-chan struct{}) {
	timer := time.NewTimer(0)
	for !n.shutdownEnded() {
		n.listenWhenReady(listener)
		select {
		case f := <-n.work:
			n.recoverPanics("loop", f)
		case <-timer.C:
		case <-stop:
			stop = nil
			n.beginShutdown()
		}
		n.runQueued()
		n.readPendingList()
		wait := n.step()
		if n.applyPending() {
			wait = n.step()
		}
		timer.Reset(wait)
	}
}
