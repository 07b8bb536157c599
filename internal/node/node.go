// Package node runs one gateway on sockets. Its loop collects events, has the decision module (logic.Gateway) decide on
// them, and carries the actions out. It decides nothing itself. One goroutine runs the loop and owns all state; other
// goroutines send it functions to run (Node.runOnLoop).
//
//   - node.go: the state of a gateway, from its first socket to its last connection
//   - loop.go: one iteration of the loop
//   - request.go, attempt.go: requests of clients, and the attempts that are sent to hosts for them
//   - shutdown.go: the phases of the graceful shutdown
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
	"sync"
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
	inboxSize    = 1024 // functions that wait for the loop; a sender waits while the inbox is full
	idleFraction = 0.5  // of the hosts' idle timeout for which an idle connection is kept
)

// Decider is the decision module.
type Decider interface {
	Decide(batch *gateway.Batch, actions gateway.Actions)
	Reconfigure(now gateway.Time, update *gateway.SettingsUpdate) // called between two batches
}

// DecisionCounter is a Decider that counts its decisions. They are logged every countsLogInterval.
type DecisionCounter interface {
	DecisionCounts() []gateway.DecisionCount
}

// Platform is what a gateway runs on. Zero values stand for the process's own clock and sockets.
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
	epoch   gateway.Time           // Unix time of the monotonic clock's zero, as of the start
	work    chan func()            // the loop's inbox
	ended   chan struct{}          // closed once the loop has ended
	readers sync.WaitGroup         // goroutines that read from peers and the agent for the loop
	tasks   []func() (end func())  // started once the gateway has its addresses
	classes []gateway.RequestClass // by index, as they are in force

	events     []gateway.Event // since the latest batch
	listEvents []gateway.Event // of the endpoint list: first in a batch, so that a drain applies to all of it
	batch      gateway.Batch
	batchCount int          // batches decided
	timerAt    gateway.Time // the module's timer; 0: not set

	requests   map[string]*request
	inFlight   []*attempt
	nextExpiry gateway.Time // no attempt in flight times out earlier; 0: none is in flight

	catalog       *clients.Catalog
	clients       *clients.Server
	transport     *hosts.Transport
	peerTransport *peers.Transport
	counter       *counter.Counter // nil: none is configured
	observer      *observedActions // nil: off
	quota         *connectionQuota // nil: off

	endpointList *discovery.EndpointList
	watch        *watch
	watchLost    bool // whether the watch broke and none has received anything since
	listAnswered bool // whether the agent has answered once, or was waited for long enough: clients are accepted then
	droppedLists int

	pendingRevisions []revision // of the configuration, applied after the current iteration

	listening   bool // whether clients are accepted
	phase       phase
	nextPhaseAt gateway.Time // the phase ends then; 0: it does not end by time
	answerBy    gateway.Time // every request has its answer by then; 0: not shutting down

	droppedDatagrams int // since the latest log line on them
	droppedLoggedAt  gateway.Time
	countsLoggedAt   gateway.Time
}

// New returns a gateway on the process's own platform. It is not reachable before Run.
func New(cfg *config.Config, module Decider) *Node { return NewOnPlatform(Platform{}, cfg, module) }

// NewOnPlatform returns a gateway on a platform.
func NewOnPlatform(platform Platform, cfg *config.Config, module Decider) *Node {
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
		epoch:        gateway.Time(platform.Clock.Wall().UnixNano()).Add(-platform.Clock.Monotonic()),
		work:         make(chan func(), inboxSize),
		ended:        make(chan struct{}),
		classes:      slices.Clone(cfg.Classes),
		requests:     map[string]*request{},
		endpointList: discovery.NewEndpointList(cfg.Zones, cfg.Machines),
		catalog:      clients.NewCatalog(catalogOf(cfg)),
	}
	n.endpointList.EqualWeights = cfg.EqualWeights
	clientDescriptors, hostDescriptors := descriptorShares(cfg.MaxDescriptors)
	n.clients = clients.NewServer(n.system, n.catalog, clientDescriptors, n.runOnLoop, n.now, n.arrive)
	n.transport = hosts.NewTransport(hosts.Options{
		System:         n.system,
		RunOnLoop:      n.runOnLoop,
		Now:            n.now,
		LoadFields:     cfg.ReportNames,
		ConnectTimeout: cfg.ConnectTimeout,
		IdleTimeout:    time.Duration(idleFraction * float64(cfg.ConnIdle)),
		MaxConns:       hostDescriptors,
	})
	if cfg.CounterAddress.IsValid() {
		n.counter = counter.New(n.system, cfg.CounterAddress, cfg.Limits.CounterTimeout, n.runOnLoop, n.now,
			n.counterReplied)
	}
	return n
}

// catalogOf returns what the arguments of commands may name.
func catalogOf(cfg *config.Config) clients.CatalogConfig {
	catalog := clients.CatalogConfig{
		Classes:  cfg.ClassNames,
		Effects:  make([]gateway.Effect, 0, len(cfg.Classes)),
		Plans:    cfg.PlanNames,
		MaxUnits: make([]float64, 0, len(cfg.Plans)),
		Members:  cfg.Membership.Count,
		OwnIndex: cfg.Membership.Index,
	}
	for i := range cfg.Classes {
		catalog.Effects = append(catalog.Effects, cfg.Classes[i].Effect)
	}
	for i := range cfg.Plans {
		catalog.MaxUnits = append(catalog.MaxUnits, maxUnits(&cfg.Plans[i]))
	}
	return catalog
}

// maxUnits returns the most units that a request on a quota plan may ask for; 0: any.
func maxUnits(plan *gateway.Plan) float64 {
	if plan.Rate == 0 {
		return 0
	}
	return plan.Burst
}

// runOnLoop has the loop run a function. It waits while the inbox is full, and drops the function if the loop has
// ended.
func (n *Node) runOnLoop(f func()) {
	select { // without waiting: costs less than a choice of two channels
	case n.work <- f:
		return
	default:
	}
	select {
	case n.work <- f:
	case <-n.ended:
	}
}

// now returns the wall clock's time at the start of the gateway plus the monotonic time since: steps of the wall
// clock don't change it.
func (n *Node) now() gateway.Time { return n.epoch.Add(n.clock.Monotonic()) }

// AddBackgroundTask has Run start a task beside the loop once the gateway has its addresses, at which point the
// process before it has ended. Run calls the function that start returns after the loop has ended, and waits
// for it.
func (n *Node) AddBackgroundTask(start func() (end func())) { n.tasks = append(n.tasks, start) }

// Run serves until it is called to stop and every request has its answer.
func (n *Node) Run(stop <-chan struct{}) error {
	err := n.run(stop)
	if err != nil && !errors.Is(err, errStopRequested) {
		return err
	}
	slog.Info("stopped")
	return nil
}

// run opens what the gateway needs, runs the loop, and closes everything after it.
func (n *Node) run(stop <-chan struct{}) error {
	endLoop := sync.OnceFunc(func() { close(n.ended) })
	var ends []func()
	defer func() {
		endLoop()
		for _, end := range ends {
			end()
		}
	}()
	defer n.readers.Wait()
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
	defer endLoop() // first: no goroutine that is waited for blocks in runOnLoop then
	n.decideFirstBatch()
	for _, start := range n.tasks {
		ends = append(ends, start())
	}
	if n.peerTransport != nil {
		n.readers.Go(func() { n.peerTransport.Listen(n.receiveGossip, n.countDropped) })
	}
	n.startWatch()
	defer n.stopWatch()
	n.loop(listener, stop)
	return nil
}

// decideFirstBatch has the module decide on the endpoint list of the configuration.
func (n *Node) decideFirstBatch() {
	if n.cfg.InitialEndpointList == "" {
		n.listEvents = append(n.listEvents, gateway.Event{Kind: gateway.EndpointsListed, ListKind: gateway.ListCached})
	} else {
		n.updateEndpoints(n.cfg.InitialEndpointList, true)
		n.cfg.InitialEndpointList = "" // frees the text
	}
	n.iterate()
}

// receiveGossip sends a message of a peer to the loop. It runs on the peers' goroutine.
func (n *Node) receiveGossip(member int, message []byte) {
	n.runOnLoop(func() {
		n.events = append(n.events, gateway.Event{Kind: gateway.GossipReceived, Peer: member, Message: message})
	})
}

// countDropped counts a dropped datagram. It runs on the peers' goroutine.
func (n *Node) countDropped() { n.runOnLoop(func() { n.droppedDatagrams++ }) }

// listenWhenReady accepts clients from the time on when the endpoint list is known.
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
		wait := n.iterate()
		if n.applyPending() {
			wait = n.iterate()
		}
		timer.Reset(wait)
	}
}
