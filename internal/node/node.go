// Package node runs one gateway on sockets. Its event loop collects events, has the decision module (logic.Gateway)
// decide on them, and carries out the resulting actions: sending attempts to hosts, answering clients, sending gossip.
// The package itself decides nothing about requests. One goroutine runs the loop and owns all state; other goroutines
// pass it functions to run (Node.runOnLoop).
//
//   - node.go: the state of a gateway, its start and its end
//   - loop.go: one iteration of the loop
//   - request.go, attempt.go: requests of clients, and the attempts that are sent to hosts for them
//   - shutdown.go: the phases of the graceful shutdown
//   - endpoint_watch.go: the endpoint list, received from the discovery agent
//   - configuration.go: new versions of the configuration
//   - quota.go, observed_actions.go: the optional connection quota and counterfactual observer
//   - status.go: the periodic log lines, and the events of the level DEBUG
//   - listen.go: listening with retries, and the shares of file descriptors
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
	"ravensill/internal/memory"
	"ravensill/internal/peers"
	"ravensill/internal/sockets"
	"ravensill/requestids"
)

const (
	inboxSize    = 1024 // functions that can wait for the loop; senders block while the inbox is full
	idleFraction = 0.5  // an idle connection to a host is kept for this fraction of the host's idle timeout

	// The spare memory divided by this may be used for commands of clients, and as much for answers that wait for them.
	clientMemoryDivisor = 8
	// The spare memory divided by this may be used for answers that are being received from hosts. It is not shared with
	// those that wait: clients that read nothing must leave memory to others.
	hostMemoryDivisor = 16
	// The spare memory divided by this may be used for the ids of requests that may have run.
	historyMemoryDivisor = 32
)

// Decider is the decision module. The loop calls its methods, one call at a time.
type Decider interface {
	// Decide decides on the events of a batch by calling actions. It must not keep the batch.
	Decide(batch *gateway.Batch, actions gateway.Actions)

	// Reconfigure applies a change of the configuration. It is called between two batches.
	Reconfigure(now gateway.Time, update *gateway.SettingsUpdate)
}

// DecisionCounter is implemented by a Decider that counts its decisions. The counts are logged every statusLogInterval.
type DecisionCounter interface {
	// DecisionCounts returns the number of decisions since the start, by outcome.
	DecisionCounts() []gateway.DecisionCount
}

// ShortageAdviser is implemented by a Decider that advises clients that were rejected without its decision, because
// this gateway is short of memory or processor time.
type ShortageAdviser interface {
	// RetryAfterShortage returns the time after which such a client should come back; 0: no time is given.
	RetryAfterShortage() time.Duration
}

// Platform is the clock and the sockets that a gateway uses. A nil field stands for those of the operating system.
type Platform struct {
	Clock   clock.Clock
	Sockets sockets.System
}

// Node is one gateway. Its fields belong to the loop's goroutine, except for the channels and those that never change
// once Run is called.
type Node struct {
	cfg             *config.Config
	module          Decider
	system          sockets.System
	clock           clock.Clock
	epoch           gateway.Time           // Unix time at the monotonic clock's zero, computed once at the start
	inbox           chan func()            // functions for the loop to run
	loopEnded       chan struct{}          // closed once the loop has ended
	readers         sync.WaitGroup         // goroutines that read from peers and from the discovery agent
	backgroundTasks []func() (end func())  // the start functions given to AddBackgroundTask
	classes         []gateway.RequestClass // request classes by index, with the settings in force

	events     []gateway.Event // events for the next batch, except those in listEvents
	listEvents []gateway.Event // those of the endpoint list: first in the batch, so that a drain applies to all events
	batch      gateway.Batch   // the current or latest batch
	batchCount int             // batches that the module was given
	timerAt    gateway.Time    // when the module's timer fires; 0: not set

	history    *requestids.History // ids of requests that may have run
	requests   map[string]*request // requests that are open or have an attempt in flight, by id
	inFlight   []*attempt          // attempts and probes, in the order of their starts
	nextExpiry gateway.Time        // no attempt in flight times out earlier; 0: none is in flight

	catalog       *clients.Catalog // what clients may name in commands
	clients       *clients.Server  // connections of clients
	transport     *hosts.Transport // connections to hosts
	peerTransport *peers.Transport // gossip; nil: no peers are configured
	counter       *counter.Counter // client of the shared counter; nil: none is configured
	observer      *observedActions // nil: no counterfactual observer is configured
	quota         *connectionQuota // nil: no connection quota is configured

	endpointList  *discovery.EndpointList
	watch         *endpointWatch // the current watch; nil: none was started
	watchLost     bool           // whether a watch failed, and none has received data since
	firstListDone bool           // whether clients may be accepted: the agent has answered, or was waited for long enough
	rejectedLists int            // invalid lists and deltas since the start

	pendingRevisions []revision // new versions of the configuration, applied after the current iteration

	acceptingClients bool // whether StartAccepting was called for the clients' listener
	phase            shutdownPhase
	nextPhaseAt      gateway.Time // when the phase ends; 0: no time is set
	answerDeadline   gateway.Time // latest deadline of all requests; 0: not shutting down

	droppedDatagrams int          // gossip datagrams dropped since the latest log line datagrams_dropped
	droppedLoggedAt  gateway.Time // time of that line
	status           status       // what the status lines report
}

// New returns a gateway on the operating system's clock and sockets. It opens no socket before Run.
func New(cfg *config.Config, module Decider) *Node { return NewOnPlatform(Platform{}, cfg, module) }

// NewOnPlatform returns a gateway on the given clock and sockets. It opens no socket before Run.
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
		inbox:        make(chan func(), inboxSize),
		loopEnded:    make(chan struct{}),
		classes:      slices.Clone(cfg.Classes),
		requests:     map[string]*request{},
		history:      requestids.NewHistory(int(cfg.SpareMemory() / historyMemoryDivisor)),
		status:       newStatus(),
		endpointList: discovery.NewEndpointList(cfg.Zones, cfg.Machines),
		catalog:      clients.NewCatalog(newCatalogConfig(cfg)),
	}
	n.endpointList.EqualWeights = cfg.EqualWeights
	maxClientConns, maxHostConns := descriptorShares(cfg.MaxDescriptors)
	n.clients = clients.NewServer(clients.Options{
		System:    n.system,
		Catalog:   n.catalog,
		MaxConns:  maxClientConns,
		RunOnLoop: n.runOnLoop,
		Now:       n.now,
		OnRequest: n.handleRequest,

		RetryAfterShortage: n.retryAfterShortage,

		AnswerMemory:  memory.NewBudget(int(cfg.SpareMemory() / clientMemoryDivisor)),
		CommandMemory: memory.NewBudget(int(cfg.SpareMemory() / clientMemoryDivisor)),
	})
	n.transport = hosts.NewTransport(hosts.Options{
		System:         n.system,
		RunOnLoop:      n.runOnLoop,
		Now:            n.now,
		LoadFields:     cfg.ReportNames,
		ConnectTimeout: cfg.ConnectTimeout,
		IdleTimeout:    time.Duration(idleFraction * float64(cfg.ConnIdle)),
		MaxConns:       maxHostConns,
		AnswerMemory:   memory.NewBudget(int(cfg.SpareMemory() / hostMemoryDivisor)),
	})
	if cfg.CounterAddress.IsValid() {
		n.counter = counter.New(n.system, cfg.CounterAddress, cfg.Limits.CounterTimeout, n.runOnLoop, n.now,
			n.counterReplied)
	}
	return n
}

// runOnLoop has the loop run f, and drops f if the loop has ended. Any goroutine may call it; it blocks while the inbox
// is full.
func (n *Node) runOnLoop(f func()) {
	select { // the common case; a send with a default costs less than a select on two channels
	case n.inbox <- f:
		return
	default:
	}
	select {
	case n.inbox <- f:
	case <-n.loopEnded:
	}
}

// now returns the wall clock's time at the start of the gateway plus the monotonic time since then. Steps of the wall
// clock don't affect it.
func (n *Node) now() gateway.Time { return n.epoch.Add(n.clock.Monotonic()) }

// AddBackgroundTask has Run start a task beside the loop. Run calls start once the gateway has its addresses, that is
// after a previous process of the gateway has ended. After the loop has ended, Run calls end, which must stop the task
// and wait for it. AddBackgroundTask must be called before Run.
func (n *Node) AddBackgroundTask(start func() (end func())) {
	n.backgroundTasks = append(n.backgroundTasks, start)
}

// Run runs the gateway. Once stop is closed, it shuts down gracefully and returns nil. An error means that the gateway
// could not start. Run may be called once.
func (n *Node) Run(stop <-chan struct{}) error {
	err := n.run(stop)
	if err != nil && !errors.Is(err, errStopRequested) {
		return err
	}
	slog.Info("stopped")
	return nil
}

// run opens the gateway's sockets, starts its tasks, runs the loop, and then stops and closes all of them.
func (n *Node) run(stop <-chan struct{}) error {
	endLoop := sync.OnceFunc(func() { close(n.loopEnded) })
	var endTasks []func()
	defer func() {
		endLoop()
		for _, end := range endTasks {
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
	defer endLoop() // runs before the calls deferred above, which wait for goroutines that may block in runOnLoop
	n.decideFirstBatch()
	for _, start := range n.backgroundTasks {
		endTasks = append(endTasks, start())
	}
	if n.peerTransport != nil {
		n.readers.Go(func() { n.peerTransport.Listen(n.receiveGossip, n.countDropped) })
	}
	n.startWatch()
	defer n.stopWatch()
	n.loop(listener, stop)
	return nil
}

// decideFirstBatch has the module decide on the endpoint list in the configuration, which may be empty.
func (n *Node) decideFirstBatch() {
	if n.cfg.InitialEndpointList == "" {
		n.listEvents = append(n.listEvents, gateway.Event{Kind: gateway.EndpointsListed, ListKind: gateway.ListCached})
	} else {
		n.updateEndpoints(n.cfg.InitialEndpointList, true)
		n.cfg.InitialEndpointList = "" // frees the text
	}
	n.runIteration()
}

// receiveGossip adds a message from a peer to the next batch. The goroutine that reads datagrams calls it.
func (n *Node) receiveGossip(member int, message []byte) {
	n.runOnLoop(func() {
		n.events = append(n.events, gateway.Event{Kind: gateway.GossipReceived, Peer: member, Message: message})
	})
}

// countDropped counts a dropped datagram. The goroutine that reads datagrams calls it.
func (n *Node) countDropped() { n.runOnLoop(func() { n.droppedDatagrams++ }) }

// listenWhenReady starts to accept clients once the endpoint list is known, unless the gateway is shutting down.
func (n *Node) listenWhenReady(listener *net.TCPListener) {
	if !n.firstListDone || n.acceptingClients || n.phase != phaseServing {
		return
	}
	n.acceptingClients = true
	n.clients.StartAccepting(listener)
	slog.Info("serving",
		"name", n.cfg.Name,
		"listen", listener.Addr(),
		"peer_listen", n.peerTransport.Addr(),
		"hosts", n.endpointList.Count(),
		"version", n.endpointList.Version,
	)
}

// loop runs the event loop until the shutdown is complete.
func (n *Node) loop(listener *net.TCPListener, stop <-chan struct{}) {
	timer := time.NewTimer(0)
	for !n.shutdownComplete() {
		n.listenWhenReady(listener)
		select {
		case f := <-n.inbox:
			n.recoverPanics("loop", f)
		case <-timer.C:
		case <-stop:
			stop = nil
			n.beginShutdown()
		}
		n.runQueued()
		n.readPendingUpdates()
		wait := n.runIteration()
		if n.applyPendingRevisions() {
			wait = n.runIteration()
		}
		timer.Reset(wait)
	}
}
