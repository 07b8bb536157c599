// Package publisher runs one replica of a group that publishes the gateways' configuration. The group keeps a
// replicated log of versions (package consensus). The leader accepts changes from operators over HTTP; the other
// replicas forward them to it. Every replica serves the versions over TCP to the gateways that are connected to it, its
// followers. The rules for versions, changes and messages are in package configsync.
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
	quorumCheckInterval = 200 * time.Millisecond // time between checks of the contact with a quorum of replicas
	replayCheckInterval = 20 * time.Millisecond  // the same while the replica replays its log after the start
	statusLogInterval   = 10 * time.Second       // time between log lines with the replica's status
	shutdownTimeout     = 2 * time.Second        // longest wait in Close for HTTP requests in progress
)

// Publisher is one running replica. Its methods may be called from any goroutine.
type Publisher struct {
	cfg       *config.Publisher
	replica   *consensus.Replica
	system    sockets.System
	listener  *sockets.Listener // accepts followers
	admin     *http.Server      // serves operators
	adminAddr net.Addr          // address at which admin listens

	mu               sync.Mutex         // guards the fields up to the next blank line
	state            *configsync.State  // the replicated state: the document in force and its history
	sender           *configsync.Sender // decides what each follower is sent
	replaying        bool               // the log is still being replayed after the start, so the sender is paused
	connections      map[configsync.ConnectionID]*connection
	lastConnectionID configsync.ConnectionID // ids count up from 1
	lastWake         time.Time               // when the writers of all connections were last woken
	wakeScheduled    bool                    // a timer will wake them at the end of the version interval

	publishMu sync.Mutex // held during a publication, so that there is one at a time; guards validator
	validator *validator // holds the state as of the latest publication

	counters counters
	done     chan struct{}  // closed by Close
	tasks    sync.WaitGroup // all goroutines of the publisher and its connections
}

// counters count events since the start of the replica. Status copies them into Counters.
type counters struct {
	acceptedConnections atomic.Int64 // followers' connections accepted
	rejectedConnections atomic.Int64 // connections beyond max_followers
	malformedMessages   atomic.Int64 // messages that violated the protocol; each ended its connection
	bytesIn             atomic.Int64 // bytes received from followers
	bytesOut            atomic.Int64 // bytes sent to followers
	publishedVersions   atomic.Int64 // versions published by this replica as the leader
	rejectedRequests    atomic.Int64 // requests for a change that this replica answered with an error
}

// Options replaces parts of a replica in tests. The zero value is for production.
type Options struct {
	Sockets   sockets.System // nil: sockets.Kernel
	DiskFault func() error   // see consensus.Config; nil: no errors
}

// Start opens the replica's log and listeners, and starts serving. The replica runs until Close.
func Start(cfg *config.Publisher) (*Publisher, error) { return StartWithOptions(cfg, Options{}) }

// StartWithOptions is Start with options for tests.
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
		validator:   &validator{},
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

// Close stops the replica and waits until its goroutines have ended. HTTP requests in progress have shutdownTimeout to
// end. If this replica leads, it transfers the leadership to another one before it stops. Close must be called once.
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

// AdminAddr returns the address at which the HTTP API for operators is served.
func (p *Publisher) AdminAddr() net.Addr { return p.adminAddr }

// run passes the contact with the quorum to the sender, and logs changes of leadership and the status, until Close.
func (p *Publisher) run() {
	quorumCheck := time.NewTicker(replayCheckInterval)
	defer quorumCheck.Stop()
	statusLog := time.NewTicker(statusLogInterval)
	defer statusLog.Stop()
	for {
		select {
		case leads := <-p.replica.Leadership():
			slog.Info("publisher_leader_changed", "leader", leads)
		case <-quorumCheck.C:
			replayed := p.updateSender()
			if replayed {
				quorumCheck.Reset(quorumCheckInterval)
			}
		case <-statusLog.C:
			slog.LogAttrs(context.Background(), slog.LevelInfo, "publisher_status", p.Status().LogAttrs()...)
		case <-p.done:
			return
		}
	}
}

// updateSender tells the sender whether this replica is in contact with a quorum and up to date. When the replay of the
// log is complete, it resumes the sender and returns true; it does so once.
func (p *Publisher) updateSender() (replayed bool) {
	caughtUp := p.replica.CaughtUp()
	upToDate := p.replica.IsUpToDate()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sender.SetHasQuorum(upToDate)
	if !caughtUp || !p.replaying {
		return false
	}
	p.replaying = false
	p.sender.SetPaused(false)
	p.wakeAllWriters()
	return true
}
