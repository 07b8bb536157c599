// Package publisher runs one of the replicas of the log of configuration versions. It replicates the log by package
// consensus, accepts changes over HTTP while it leads, and serves followers over TCP whether it leads or not. Package
// configsync has the rules.
package publisher

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"ravensill/configsync"
	"ravensill/internal/config"
	"ravensill/internal/consensus"
	"ravensill/internal/sockets"
)

const (
	contactInterval = 200 * time.Millisecond // between checks of the contact with a quorum
	replayInterval  = 20 * time.Millisecond  // the same, while the replica replays its log
	lineInterval    = 10 * time.Second       // between log lines on the replica's state
	shutdownTimeout = 2 * time.Second        // for HTTP requests in flight
)

// Publisher is one replica. Its methods may be called from any goroutine.
type Publisher struct {
	cfg       *config.Publisher
	replica   *consensus.Replica
	system    sockets.System
	listener  *sockets.Listener // of followers
	admin     *http.Server
	adminAddr net.Addr

	mu          sync.Mutex // guards the fields below
	state       *configsync.State
	sender      *configsync.Sender
	replaying   bool // the log is being replayed, so the sender is paused
	connections map[configsync.ConnectionID]*connection
	lastID      configsync.ConnectionID
	lastWake    time.Time // when all writers were last woken
	waking      bool      // they will be woken again after the version interval

	publishing sync.Mutex // locked during a publication; guards mirror
	mirror     *mirror    // of the state at the latest publication

	counters counters
	done     chan struct{}
	tasks    sync.WaitGroup
}

// counters count since the start.
type counters struct {
	connected           atomic.Int64 // followers' connections accepted
	rejectedConnections atomic.Int64 // connections beyond max_followers
	malformed           atomic.Int64 // messages that broke the protocol; each ended its connection
	bytesIn             atomic.Int64 // from followers
	bytesOut            atomic.Int64 // to followers
	published           atomic.Int64 // versions published by this replica as the leader
	rejected            atomic.Int64 // requests for a publication that were answered by an error
}

// Options are settings of a replica for tests.
type Options struct {
	Sockets   sockets.System // nil: sockets.Kernel
	DiskFault func() error   // see consensus.Config
}

// Start opens the replica's log and its listeners.
func Start(cfg *config.Publisher) (*Publisher, error) { return StartWithOptions(cfg, Options{}) }

// StartWithOptions is Start with options.
func StartWithOptions(cfg *config.Publisher, options Options) (*Publisher, error) {
	if options.Sockets == nil {
		options.Sockets = sockets.Kernel{}
	}
	p := &Publisher{
		cfg:         cfg,
		system:      options.Sockets,
		state:       configsync.NewState(cfg.HistoryLimits),
		connections: map[configsync.ConnectionID]*connection{},
		replaying:   true,
		mirror:      &mirror{},
		done:        make(chan struct{}),
	}
	p.sender = configsync.NewSender(p.state, cfg.SenderLimits)
	p.sender.SetPaused(true)
	admin, err := p.listen()
	if err != nil {
		return nil, err
	}
	p.replica, err = consensus.Open(consensus.Config{
		ClusterName:       "publisher",
		Index:             cfg.Index,
		Addresses:         cfg.RaftAddresses,
		Listen:            cfg.RaftListen,
		Dir:               cfg.Dir,
		Key:               cfg.Key,
		ElectionTimeout:   cfg.ElectionTimeout,
		SnapshotThreshold: cfg.SnapshotThreshold,
		TrailingEntries:   cfg.TrailingEntries,
		Sockets:           options.Sockets,
		DiskFault:         options.DiskFault,
	}, &stateMachine{p})
	if err != nil {
		p.listener.Close()
		admin.Close()
		return nil, fmt.Errorf("raft: %w", err)
	}
	p.tasks.Go(p.run)
	p.tasks.Go(p.accept)
	p.tasks.Go(func() { p.admin.Serve(admin) })
	return p, nil
}

// Close closes the listeners and the connections, transfers the lead to another replica if this one leads, and closes
// the replica. It waits for HTTP requests in flight for a short time.
func (p *Publisher) Close() {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if p.admin.Shutdown(ctx) != nil {
		p.admin.Close()
	}
	close(p.done)
	p.listener.Close()
	p.closeConnections()
	p.tasks.Wait()
	err := p.replica.TransferLeadership()
	if err != nil {
		slog.Warn("publisher_resign_failed", "error", err)
	}
	p.replica.Close()
}

// Addr returns the address at which followers are served.
func (p *Publisher) Addr() net.Addr { return p.listener.Addr() }

// AdminAddr returns the address of the HTTP interface.
func (p *Publisher) AdminAddr() net.Addr { return p.adminAddr }

// run watches the contact with the quorum, and logs changes of leadership and the status, until Close.
func (p *Publisher) run() {
	contact := time.NewTicker(replayInterval)
	defer contact.Stop()
	line := time.NewTicker(lineInterval)
	defer line.Stop()
	for {
		select {
		case leads := <-p.replica.Leadership():
			slog.Info("publisher_leader_changed", "leader", leads)
		case <-contact.C:
			replayed := p.updateSender()
			if replayed {
				contact.Reset(contactInterval)
			}
		case <-line.C:
			slog.LogAttrs(context.Background(), slog.LevelInfo, "publisher_status", p.Status().LogAttrs()...)
		case <-p.done:
			return
		}
	}
}

// updateSender passes the state of the replica to the sender. It returns true once, when the log has been replayed.
func (p *Publisher) updateSender() (replayed bool) {
	caughtUp := p.replica.CaughtUp()
	current := p.replica.IsUpToDate()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sender.SetHasQuorum(current)
	if !caughtUp || !p.replaying {
		return false
	}
	p.replaying = false
	p.sender.SetPaused(false)
	p.wakeAll()
	return true
}
