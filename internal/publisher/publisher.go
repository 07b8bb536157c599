// Package publisher is one of the replicas that hold the log of versions of the configuration: it agrees with the others
// by package consensus, takes changes over HTTP where it leads, and serves followers over TCP whether it leads or not. The
// rules are package configsync's.
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
	contactInterval = 200 * time.Millisecond // between looks whether the replica is in contact with a quorum
	replayInterval  = 20 * time.Millisecond  // the same, as long as the replica replays its log
	lineInterval    = 10 * time.Second       // between log lines on the replica's state
	shutdownTimeout = 2 * time.Second        // for HTTP requests under way
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
	holding     bool // the sender holds versions back, as the log is being replayed
	connections map[configsync.FollowerID]*connection
	lastID      configsync.FollowerID
	woken       time.Time // when all writers were woken last
	waking      bool      // they will be again, once the least time between versions is over

	publishing sync.Mutex // held during one publication; guards mirror
	mirror     *mirror    // of the state that the last publication found

	counters counters
	done     chan struct{}
	tasks    sync.WaitGroup
}

// counters count since the start.
type counters struct {
	connected           atomic.Int64 // followers' connections taken in
	rejectedConnections atomic.Int64 // connections beyond the most allowed
	malformed           atomic.Int64 // messages that broke the protocol; each ended its connection
	bytesIn             atomic.Int64 // from followers
	bytesOut            atomic.Int64 // to followers
	published           atomic.Int64 // versions published by this replica as the leader
	rejected            atomic.Int64 // requests for a publication that were answered by an error
}

// Options are what tests change of a replica.
type Options struct {
	Sockets   sockets.System // nil: sockets.Kernel
	DiskFault func() error   // see consensus.Config
}

// Start opens the replica's log and its listeners.
func Start(cfg *config.Publisher) (*Publisher, error) { return StartWith(cfg, Options{}) }

// StartWith is Start with options.
func StartWith(cfg *config.Publisher, options Options) (*Publisher, error) {
	if options.Sockets == nil {
		options.Sockets = sockets.Kernel{}
	}
	p := &Publisher{
		cfg:         cfg,
		system:      options.Sockets,
		state:       configsync.NewState(cfg.History),
		connections: map[configsync.FollowerID]*connection{},
		holding:     true,
		mirror:      &mirror{},
		done:        make(chan struct{}),
	}
	p.sender = configsync.NewSender(p.state, cfg.Sending)
	p.sender.SetPaused(true)
	admin, err := p.listen()
	if err != nil {
		return nil, err
	}
	p.replica, err = consensus.Open(consensus.Config{
		Name:              "publisher",
		Index:             cfg.Index,
		Addresses:         cfg.Raft,
		Listen:            cfg.RaftListen,
		Dir:               cfg.Dir,
		Key:               cfg.Key,
		Election:          cfg.ElectionTimeout,
		SnapshotThreshold: cfg.SnapshotThreshold,
		TrailingEntries:   cfg.TrailingEntries,
		Sockets:           options.Sockets,
		DiskFault:         options.DiskFault,
	}, &machine{p})
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

// Close ends the replica: its listeners, its followers' connections and its part in the group, whose lead it hands on. It
// waits for requests under way for a short time.
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
	err := p.replica.Resign()
	if err != nil {
		slog.Warn("publisher_resign_failed", "error", err)
	}
	p.replica.Close()
}

// Addr is the address at which followers are served.
func (p *Publisher) Addr() net.Addr { return p.listener.Addr() }

// AdminAddr is the address of the HTTP interface.
func (p *Publisher) AdminAddr() net.Addr { return p.adminAddr }

// run keeps an eye on the quorum and tells the log how the replica stands.
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
			released := p.observe()
			if released {
				contact.Reset(contactInterval)
			}
		case <-line.C:
			slog.LogAttrs(context.Background(), slog.LevelInfo, "publisher_status", p.Status().LogAttrs()...)
		case <-p.done:
			return
		}
	}
}

// observe tells the sender how the replica stands. released is true once, when the log has been replayed.
func (p *Publisher) observe() (released bool) {
	replayed := p.replica.CaughtUp()
	current := p.replica.Current()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sender.SetCurrent(current)
	if !replayed || !p.holding {
		return false
	}
	p.holding = false
	p.sender.SetPaused(false)
	p.wakeAll()
	return true
}
