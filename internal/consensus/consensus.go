// Package consensus runs one replica of a replicated state machine. It has what all users of hashicorp/raft in this
// module need around the library (Ongaro and Ousterhout, In search of an understandable consensus algorithm, 2014):
// the identity of a replica on disk, its log and snapshots, the authenticated transport, and the membership of a
// replica that lost its disk. The library has the consensus algorithm.
package consensus

import (
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	raftboltdb "github.com/hashicorp/raft-boltdb/v2"

	"ravensill/internal/sockets"
)

const (
	logFile           = "log.db"
	snapshotsKept     = 2
	snapshotInterval  = 30 * time.Second
	snapshotThreshold = 4096 // log entries since the last snapshot
	trailingEntries   = 1024 // log entries kept after a snapshot, for replicas that are slightly behind
	commitTimeout     = 20 * time.Millisecond
	connectionPool    = 2 // idle connections kept to each replica

	// cachedEntries is how many of the latest log entries are kept in memory. The leader looks up the last one at each
	// commitTimeout for each other replica, and one of megabytes takes longer than that to read and decode.
	cachedEntries = 64
)

// ErrNotLeader is the error of a proposal at a replica that does not lead.
var ErrNotLeader = errors.New("this replica does not lead")

// ErrUnknownOutcome is the error of a proposal that may or may not be committed later.
var ErrUnknownOutcome = errors.New("the outcome of the proposal is not known")

// Config describes one replica.
type Config struct {
	ClusterName     string           // of the cluster, in log lines: cluster=NAME
	Index           int              // this replica's place in Addresses
	Addresses       []netip.AddrPort // TCP addresses of all replicas, as this one sees them
	Listen          netip.AddrPort   // TCP
	Dir             string           // created if needed
	Key             []byte           // shared by the replicas; signs each connection's greeting
	ElectionTimeout time.Duration    // time without contact with the leader before an election

	SnapshotThreshold uint64 // log entries between snapshots; 0: 4096
	TrailingEntries   uint64 // log entries kept after a snapshot; 0: 1024

	Sockets sockets.System // nil: sockets.Kernel

	// DiskFault is for tests. It returns the error of the next write to the log or the state on disk. nil: no errors.
	DiskFault func() error
}

// Replica is one running replica. All its methods may be called from any goroutine.
//
// A replica is identified by an id on its disk. One that lost its disk gets another id, and its previous id is
// removed from the membership: the record of its votes is lost with the disk, so the previous id must not vote again.
type Replica struct {
	cfg        Config
	id         raft.ServerID
	raft       *raft.Raft
	transport  *transport
	store      *raftboltdb.BoltStore
	entries    raft.LogStore // the same as disk
	disk       *disk         // store, with the latest entries cached in memory
	membership *membership
	dropped    atomic.Int64
	caughtUp   atomic.Uint64 // the latest term in which CatchUp succeeded
	machine    *trackedMachine
	replayed   atomic.Bool   // CaughtUp has been true
	closed     chan struct{} // closed when the library has shut down
}

// Open starts a replica of the state machine. It listens, opens the log and takes part in elections from then on.
func Open(cfg Config, machine raft.FSM) (*Replica, error) {
	if cfg.Sockets == nil {
		cfg.Sockets = sockets.Kernel{}
	}
	err := os.MkdirAll(cfg.Dir, 0o700)
	if err != nil {
		return nil, err
	}
	r := &Replica{cfg: cfg, machine: &trackedMachine{FSM: machine}, closed: make(chan struct{})}
	r.id, err = identity(cfg.Dir, cfg.Index)
	if err != nil {
		return nil, err
	}
	r.membership = newMembership(r)
	r.transport, err = listen(&r.cfg, r.id, r.membership.receive)
	if err != nil {
		return nil, err
	}
	err = r.openRaft()
	if err != nil {
		r.release()
		return nil, err
	}
	go r.membership.run()
	return r, nil
}

// openRaft opens the log and the snapshots, restores the state machine and starts the library.
func (r *Replica) openRaft() (err error) {
	r.store, err = raftboltdb.New(raftboltdb.Options{Path: filepath.Join(r.cfg.Dir, logFile)})
	if err != nil {
		return err
	}
	cache, err := raft.NewLogCache(cachedEntries, r.store)
	if err != nil {
		return err
	}
	r.disk = newDisk(&r.cfg, cache, r.store)
	r.entries = r.disk
	quiet := hclog.NewNullLogger()
	snapshots, err := raft.NewFileSnapshotStoreWithLogger(r.cfg.Dir, snapshotsKept, quiet)
	if err != nil {
		return err
	}
	network := raft.NewNetworkTransportWithLogger(r.transport, connectionPool, r.cfg.ElectionTimeout, quiet)
	r.raft, err = raft.NewRaft(r.options(quiet), r.machine, r.entries, r.disk, snapshots, network)
	return err
}

// options returns the settings of the library.
func (r *Replica) options(logger hclog.Logger) *raft.Config {
	c := raft.DefaultConfig()
	c.LocalID = r.id
	c.HeartbeatTimeout = r.cfg.ElectionTimeout
	c.ElectionTimeout = r.cfg.ElectionTimeout
	c.LeaderLeaseTimeout = r.cfg.ElectionTimeout / 2
	c.CommitTimeout = commitTimeout
	c.SnapshotInterval = snapshotInterval
	c.SnapshotThreshold = snapshotThreshold
	if r.cfg.SnapshotThreshold > 0 {
		c.SnapshotThreshold = r.cfg.SnapshotThreshold
	}
	c.TrailingLogs = trailingEntries
	if r.cfg.TrailingEntries > 0 {
		c.TrailingLogs = r.cfg.TrailingEntries
	}
	c.Logger = logger
	return c
}

// Close shuts the replica down and waits until its goroutines have ended.
func (r *Replica) Close() {
	r.disk.close()
	r.raft.Shutdown().Error()
	close(r.closed)
	r.membership.close()
	r.release()
}

// release closes the transport and the store.
func (r *Replica) release() {
	r.transport.Close()
	r.transport.tasks.Wait()
	if r.store != nil {
		r.store.Close()
	}
}

// Leadership returns a channel that delivers true when this replica becomes the leader, and false when it ceases to
// be. A change that is not read in time is replaced by the next one.
func (r *Replica) Leadership() <-chan bool { return r.raft.LeaderCh() }

// IsLeader reports whether this replica leads, as far as it knows.
func (r *Replica) IsLeader() bool { return r.raft.State() == raft.Leader }

// LeaderIndex returns the index of the leading replica, or -1 if it is not known.
func (r *Replica) LeaderIndex() int {
	_, id := r.raft.LeaderWithID()
	if id == "" {
		return -1
	}
	return ReplicaIndex(id)
}

// HasQuorumContact reports whether this replica is in contact with a quorum: it leads, which it ceases to without a quorum
// within half of the election timeout, or it was in contact with a leader within twice the election timeout.
func (r *Replica) HasQuorumContact() bool {
	if r.IsLeader() {
		return true
	}
	return r.LeaderIndex() >= 0 && time.Since(r.raft.LastContact()) < 2*r.cfg.ElectionTimeout
}

// IsUpToDate reports whether this replica is in contact with a quorum and has applied what that has committed. A replica
// whose disk fails stays in contact, since the library answers heartbeats without the disk, but it misses entries
// until a write has succeeded again and all entries up to then are applied.
func (r *Replica) IsUpToDate() bool {
	if !r.HasQuorumContact() || r.disk.failing.Load() {
		return false
	}
	if r.disk.missed.Load() && r.machine.applied.Load() >= r.lastProposal(r.raft.CommitIndex()) {
		r.disk.missed.Store(false)
	}
	return !r.disk.missed.Load()
}

// TransferLeadership transfers the lead to another replica, so that the group need not wait for an election after this one is
// closed. It does nothing if this replica does not lead, and waits no longer than the election timeout.
func (r *Replica) TransferLeadership() error {
	if !r.IsLeader() || len(r.cfg.Addresses) == 1 {
		return nil
	}
	return r.raft.LeadershipTransfer().Error()
}

// DroppedAnnouncements returns the number of announcements of other replicas that were not valid.
func (r *Replica) DroppedAnnouncements() int { return int(r.dropped.Load()) }

// Propose proposes an entry to the group, in the order of the calls. The timeout is for a place in the queue.
func (r *Replica) Propose(entry []byte, timeout time.Duration) Proposal {
	return Proposal{replica: r, future: r.raft.Apply(entry, timeout)}
}

// Proposal is an entry that was proposed to the group.
type Proposal struct {
	replica *Replica
	future  raft.ApplyFuture
}

// Wait waits for the outcome and returns the result of the entry in the state machine of this replica. The error is
// ErrNotLeader if the entry was not accepted, and wraps ErrUnknownOutcome if it may be committed later or the replica
// is closed.
func (p Proposal) Wait() (any, error) {
	err := p.replica.wait(p.future)
	if err != nil {
		return nil, err
	}
	return p.future.Response(), nil
}

// wait waits for a future until the replica is closed. The library does not answer the futures of entries that were
// committed but not applied when it shut down.
func (r *Replica) wait(future raft.Future) error {
	outcome := make(chan error, 1)
	go func() { outcome <- future.Error() }()
	select {
	case err := <-outcome:
		return outcomeError(err)
	case <-r.closed:
		return outcomeError(raft.ErrRaftShutdown)
	}
}

// outcomeError returns the error of this package for one of the library.
func outcomeError(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, raft.ErrNotLeader), errors.Is(err, raft.ErrLeadershipTransferInProgress):
		return ErrNotLeader
	}
	return fmt.Errorf("%w: %w", ErrUnknownOutcome, err)
}

// Barrier waits until this replica, as the leader, has applied all that was committed under earlier leaders. It costs
// one log entry in each term. The errors are those of Proposal.Wait.
func (r *Replica) Barrier(timeout time.Duration) error {
	term := r.raft.CurrentTerm()
	if r.caughtUp.Load() == term {
		return nil
	}
	err := r.wait(r.raft.Barrier(timeout))
	if err == nil {
		r.caughtUp.Store(term)
	}
	return err
}

// Snapshot takes a snapshot of the state machine now, in addition to those that the library takes by itself.
func (r *Replica) Snapshot() error { return r.raft.Snapshot().Error() }

// SnapshotWriter writes a snapshot of a state machine. It is called on another goroutine than the methods of the state
// machine, so the data that it writes must not change.
type SnapshotWriter func(w io.Writer) error

// Persist writes the snapshot to disk.
func (write SnapshotWriter) Persist(sink raft.SnapshotSink) error {
	err := write(sink)
	if err != nil {
		sink.Cancel()
		return err
	}
	return sink.Close()
}

// Release does nothing.
func (write SnapshotWriter) Release() {}
