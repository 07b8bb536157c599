// Package node is one gateway on sockets: a loop that hands the module all that came in and carries out what
// it decides. It decides nothing.
package node

import (
	"fmt"
	"log"
	"runtime/debug"
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
	inbox     = 1024                    // pieces of work that wait; who brings more waits too
	keep      = 0.5                     // part of the host machines' idle time that a connection is kept
	retry     = 5 * time.Millisecond    // until bytes that a socket did not take are tried again
	accepting = 450 * time.Millisecond  // new clients still come for so long after the call to stop
	mostLeave = 3 * time.Second         // of the longest client timeout: the platform counts no more
	leave     = 500 * time.Millisecond  // it kills 0.7 s after that: by then all that was taken is answered
	parting   = 1500 * time.Millisecond // after that clients are read to their end for a second; what stays then is cut off
	probeWait = int64(time.Second)
	tallyEach = int64(5 * time.Second) // between lines of the module's decisions
)

// Decider is the module.
type Decider interface {
	Decide(in *gateway.Batch, out gateway.Actions)
	Reconfigure(now int64, update *gateway.Update) // between two rounds
}

// Tallier is a module that counts its decisions; the node logs them every tallyEach, for on-call and for
// counting over a fleet from the logs.
type DecisionCounter interface {
	DecisionCounts() string
}

// Node is one gateway. All its fields belong to the loop.
type Node struct {
	cfg           *config.Config
	module        Decider
	work          chan func()
	system        sockets.System
	clock         clock.Clock
	unix          int64 // wall time of the monotonic clock's 0, as of the start: now never steps
	reqs          map[string]*req
	events        []gateway.Event // since the last round
	news          []gateway.Event // of the list: they go first, so that no dispatch of the round passes by a drain
	round         gateway.Batch
	rounds        int   // handed to the module
	wakeAt        int64 // 0: no wake-up is due
	dueAt         int64 // when the first dispatch of open times out at the earliest
	open          []*dispatch
	classes       []gateway.RequestClass // request classes by index, as they are in force
	catalog       *clients.Catalog
	clients       *clients.Server
	transport     *hosts.Transport
	book          *discovery.Book
	peerTransport *peers.Transport
	counter       *counter.Counter // nil: none is configured
	watch         *watch
	witness       *watching             // nil: off
	pool          *connectionQuota      // nil: off
	pending       []revision            // of the configuration; each is in force after the turn at hand
	over          chan struct{}         // closed when Run returns
	tasks         []func() (end func()) // started once the gateway has its addresses
	lost          bool                  // the watch broke, and none has brought anything since
	told          bool                  // clients may be taken in: discovery has answered once, or it was waited for long enough
	broken        int                   // lists dropped
	strange       int                   // datagrams dropped since the last line on them
	lineAt        int64                 // of that line
	tallyAt       int64                 // of the last line of decisions
	stopAt        int64                 // the next step to the end is due then; 0 none
	leaveAt       int64                 // what is taken has its answer by then; 0 not called to stop
	serving       bool                  // clients are taken in
	stopped       bool                  // no more are: the gateway ends with its last connection
	retired       bool                  // those that are owed nothing are closed
}

// New makes a gateway that is not yet reachable.
func New(cfg *config.Config, module Decider) *Node { return NewOn(Platform{}, cfg, module) }

// Platform is what a gateway runs on. Zero values mean the process's own.
type Platform struct {
	Clock   clock.Clock
	Sockets sockets.System
}

// NewOn makes a gateway on a platform, as tests have it.
func NewOn(platform Platform, cfg *config.Config, module Decider) *Node {
	if platform.Clock == nil {
		platform.Clock = clock.System{}
	}
	if platform.Sockets == nil {
		platform.Sockets = sockets.Kernel{}
	}
	system, clock := platform.Sockets, platform.Clock
	n := &Node{cfg: cfg, module: module, work: make(chan func(), inbox), system: system, clock: clock, over: make(chan struct{}),
		classes: slices.Clone(cfg.Classes), reqs: map[string]*req{}, book: discovery.NewBook(cfg.Zones, cfg.Machines)}
	n.book.Even = cfg.Even
	n.unix = clock.Wall().UnixNano() - int64(clock.Monotonic())
	n.catalog = clients.NewCatalog(catalogOf(cfg))
	shared := descriptors(cfg.Sockets)
	n.clients = clients.NewServer(system, n.catalog, shared/3, n.do, n.now, n.arrive)
	n.transport = hosts.NewTransport(system, n.do, n.now, cfg.ReportNames, cfg.ConnectTimeout, int64(keep*float64(cfg.ConnIdle)),
		shared*2/5)
	if cfg.Counter.IsValid() {
		n.counter = counter.New(system, cfg.Counter, cfg.Limits.CounterTimeout, n.do, n.now, func(e gateway.Event) {
			n.events = append(n.events, e)
		})
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

// maxUnits gives the units that a request of a quota plan may ask for; 0: any.
func maxUnits(plan *gateway.Plan) float64 {
	if plan.Rate == 0 {
		return 0
	}
	return plan.Burst
}

func (n *Node) do(f func()) { n.work <- f }

// now returns the time in nanoseconds since 1970 as the wall clock had it at the start of the gateway. It runs with the monotonic
// clock from then on: steps of the wall clock don't change it.
func (n *Node) now() int64 { return n.unix + int64(n.clock.Monotonic()) }

// WhileRunning has Run start a task beside the loop once the gateway has its addresses: a former process of this gateway
// that serves to its end runs no more then. Run calls what start returns after the loop has ended, and waits for it.
func (n *Node) WhileRunning(start func() (end func())) { n.tasks = append(n.tasks, start) }

// Run serves until it is called to stop and owes nothing more.
func (n *Node) Run(stop <-chan struct{}) (err error) {
	var ends []func()
	defer func() {
		close(n.over)
		for _, end := range ends {
			end()
		}
	}()
	defer func() {
		if err == errCalled {
			log.Printf("event=stopped")
			err = nil
		}
	}()
	listener, err := n.addresses(stop)
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
	unwatch, err := n.watchOver(stop)
	if err != nil {
		return err
	}
	defer unwatch()
	unpool, err := n.startPool(stop)
	if err != nil {
		return err
	}
	defer unpool()
	if n.cfg.Known != "" {
		n.listed(n.cfg.Known, true)
		n.cfg.Known = "" // what it told is in the book, and the file's text need not be kept
	} else {
		n.news = append(n.news, gateway.Event{Kind: gateway.EndpointsListed, ListKind: gateway.ListCached})
	}
	n.step() // the first round
	for _, start := range n.tasks {
		ends = append(ends, start())
	}
	if n.peerTransport != nil {
		go n.peerTransport.Listen(func(member int, body []byte) {
			n.do(func() {
				n.events = append(n.events, gateway.Event{Kind: gateway.GossipReceived, Peer: member, Message: body})
			})
		}, func() { n.do(func() { n.strange++ }) })
	}
	n.start()
	timer := time.NewTimer(0)
	for !n.stopped || !n.clients.Over() {
		if n.told && !n.serving && n.leaveAt == 0 {
			n.serving = true
			n.clients.Listen(listener)
			log.Printf("event=serving name=%s listen=%s peer_listen=%s hosts=%d version=%d", n.cfg.Name, listener.Addr(),
				n.peerTransport.Addr(), n.book.Count(), n.book.Version)
		}
		select {
		case f := <-n.work:
			n.guard("loop", f)
		case <-timer.C:
		case <-stop:
			stop = nil
			n.stop()
		}
		n.drain()
		n.catchUp()
		wait := n.step()
		if n.applyPending() {
			wait = n.step()
		}
		timer.Reset(wait)
	}
	log.Printf("event=stopped")
	return nil
}

// drain does the work that waits by now.
func (n *Node) drain() {
	for k := len(n.work); k > 0; k-- {
		n.guard("loop", <-n.work)
	}
}

// step is a turn; a panic in it costs what was at hand, not the program.
func (n *Node) step() (wait time.Duration) {
	wait = retry
	n.guard("loop", func() { wait = n.turn() })
	return wait
}

// turn does what is due, lets the module decide on what came in, and carries it out. It tells how long
// nothing more is due.
func (n *Node) turn() time.Duration {
	now := n.now()
	if n.stopAt > 0 && now >= n.stopAt {
		n.stopping()
	}
	n.expire(now)
	countAt := int64(0)
	if n.wakeAt > 0 && now >= n.wakeAt {
		n.wakeAt = 0
		n.transport.CloseIdle()
		n.clients.Tidy()
		if n.strange > 0 && now-n.lineAt > int64(time.Second) {
			log.Printf("event=datagrams_dropped count=%d", n.strange)
			n.strange, n.lineAt = 0, now
		}
		n.events = append(n.events, gateway.Event{Kind: gateway.TimerFired})
		if t, ok := n.module.(DecisionCounter); ok && now-n.tallyAt >= tallyEach {
			n.tallyAt = now
			log.Printf("event=decisions %s", t.DecisionCounts())
		}
	}
	left := false
	for more := true; more; more = len(n.events)+len(n.news) > 0 { // a write that fails is an event, too
		if len(n.events)+len(n.news) > 0 {
			n.round.Now = n.now()
			n.round.Events = append(append(n.round.Events[:0], n.news...), n.events...)
			clear(n.news) // a whole list must not stay in memory until the next comes
			n.news, n.events = n.news[:0], n.events[:0]
			n.rounds++
			n.decide()
			n.forget()
			clear(n.round.Events)
		}
		// Also when the module has nothing to decide: an answer to PING must not wait for its next wake-up.
		left = n.clients.Flush()
		left = n.transport.Flush() || left
		if n.counter != nil {
			left = n.counter.Flush() || left
			countAt = n.counter.Expire(n.now())
		}
	}
	wait := time.Hour
	for _, at := range []int64{n.wakeAt, n.dueAt, n.stopAt, countAt, n.pool.report()} {
		if at > 0 {
			wait = min(wait, time.Duration(at-n.now()))
		}
	}
	if left {
		wait = min(wait, retry)
	}
	return max(wait, 0)
}

// decide calls the module. Should it panic, what it left without a decision is aborted: a fault must not hold
// a req until its client gives up, nor take the others along.
func (n *Node) decide() {
	n.guard("module", func() {
		defer func() {
			if p := recover(); p != nil {
				n.SetTimer(int64(retry))
				for _, e := range n.round.Events {
					if r := n.reqs[e.RequestID]; r != nil && r.out == 0 {
						n.Fail(e.RequestID)
					}
				}
				panic(p)
			}
		}()
		n.module.Decide(&n.round, n.writer())
	})
}

// guard keeps a panic from ending the program.
func (n *Node) guard(where string, f func()) {
	defer func() {
		if p := recover(); p != nil {
			log.Printf("event=panic where=%s error=%q stack=%q", where, fmt.Sprint(p), debug.Stack())
		}
	}()
	f()
}
