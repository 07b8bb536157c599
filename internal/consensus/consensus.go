// Package consensus runs one replica of a replicated state machine. The algorithm is Raft (Ongaro and Ousterhout, In
// search of an understandable consensus algorithm, 2014), in the implementation of hashicorp/raft, which comments here
// call the library. This package adds what the library leaves to its users: the id of a replica on disk, its log and
// snapshots, a transport that authenticates connections, the start of a new cluster, and the replacement of a replica
// that lost its disk.
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
	snapshotsKept     = 2                     // snapshots kept on disk
	snapshotInterval  = 30 * time.Second      // time between checks whether a snapshot is due
	snapshotThreshold = 4096                  // log entries since the last snapshot that make another one due
	trailingEntries   = 1024                  // log entries kept after a snapshot, for replicas that are slightly behind
	commitTimeout     = 20 * time.Millisecond // time without entries until the leader sends its commit index
	maxIdleConns      = 2                     // connections kept open to each other replica while not in use

	// cachedEntries is the number of the latest log entries that are kept in memory. Every commitTimeout the leader reads
	// the last entry once for each other replica. An entry of several megabytes takes longer than that to read from disk
	// and decode.
	cachedEntries = 64
)

// ErrNotLeader is the error of a proposal to a replica that is not the leader, or is transferring leadership. The entry
// was not accepted.
var ErrNotLeader = errors.New("this replica is not the leader")

// ErrUnknownOutcome is the error of a proposal whose entry may have been committed, or may be committed later.
var ErrUnknownOutcome = errors.New("the outcome of the proposal is not known")

// Config describes one replica.
type Config struct {
	ClusterName     string           // identifies the cluster in log lines, as cluster=NAME
	Index           int              // index of this replica in Addresses
	Addresses       []netip.AddrPort // TCP addresses at which this replica reaches each replica, itself included
	Listen          netip.AddrPort   // TCP address to listen at
	Dir             string           // directory of the log, snapshots and id; created if it does not exist
	Key             []byte           // secret of all replicas that signs the greeting of each connection
	ElectionTimeout time.Duration    // time without contact with the leader after which a replica starts an election

	SnapshotThreshold uint64 // log entries since the last snapshot that make another one due; 0: 4096
	TrailingEntries   uint64 // log entries kept after a snapshot; 0: 1024

	Sockets sockets.System // opens the sockets; nil: sockets.Kernel

	// DiskFault makes writes fail in tests. It is called before each write to the log or to the term and vote on disk. If
	// it returns an error, the write fails with that error. nil: no write is made to fail.
	DiskFault func() error
}

// Replica is one running replica. Its methods are safe for concurrent use.
//
// A replica is identified by an id that is stored in its directory. A replica that lost its disk creates a new id, and
// the leader removes its previous id from the membership: the record of its votes was lost with the disk, so the
// previous id must not vote again.
type Replica struct {
	cfg                  Config
	id                   raft.ServerID
	raft                 *raft.Raft
	transport            *transport
	store                *raftboltdb.BoltStore // nil before openRaft
	logStore             raft.LogStore         // the log; the same value as disk
	disk                 *diskStore            // store with a cache of the latest entries and handling of write errors
	membership           *membership
	droppedAnnouncements atomic.Int64
	barrierTerm          atomic.Uint64 // latest term in which Barrier succeeded
	fsm                  *progressFSM
	everCaughtUp         atomic.Bool   // CaughtUp has returned true
	closed               chan struct{} // closed when the library has shut down
}

// Open starts a replica of the state machine, which listens for connections and takes part in elections until Close. It
// fails if the directory belongs to another replica, or if the socket, the log or the latest snapshot can't be opened.
func Open(cfg Config, fsm raft.FSM) (*Replica, error) {
	if cfg.Sockets == nil {
		cfg.Sockets = sockets.Kernel{}
	}
	err := os.MkdirAll(cfg.Dir, 0o700)
	if err != nil {
		return nil, err
	}
	r := &Replica{cfg: cfg, fsm: &progressFSM{FSM: fsm}, closed: make(chan struct{})}
	r.id, err = loadOrCreateID(cfg.Dir, cfg.Index)
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
		r.closeResources()
		return nil, err
	}
	go r.membership.run()
	return r, nil
}

// openRaft opens the log and the snapshots, restores the state machine from the latest snapshot, and starts the
// library.
func (r *Replica) openRaft() (err error) {
	r.store, err = raftboltdb.New(raftboltdb.Options{Path: filepath.Join(r.cfg.Dir, logFile)})
	if err != nil {
		return err
	}
	cache, err := raft.NewLogCache(cachedEntries, r.store)
	if err != nil {
		return err
	}
	r.disk = newDiskStore(&r.cfg, cache, r.store)
	r.logStore = r.disk
	logger := hclog.NewNullLogger()
	snapshots, err := raft.NewFileSnapshotStoreWithLogger(r.cfg.Dir, snapshotsKept, logger)
	if err != nil {
		return err
	}
	network := raft.NewNetworkTransportWithLogger(r.transport, maxIdleConns, r.cfg.ElectionTimeout, logger)
	r.raft, err = raft.NewRaft(r.raftConfig(logger), r.fsm, r.logStore, r.disk, snapshots, network)
	return err
}

// raftConfig returns the configuration of the library.
func (r *Replica) raftConfig(logger hclog.Logger) *raft.Config {
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

// Close shuts the replica down and waits until its goroutines have ended. It must be called only once.
func (r *Replica) Close() {
	r.disk.close()
	r.raft.Shutdown().Error()
	close(r.closed)
	r.membership.close()
	r.closeResources()
}

// closeResources closes the transport and the log. The log may not be open yet.
func (r *Replica) closeResources() {
	r.transport.Close()
	r.transport.goroutines.Wait()
	if r.store != nil {
		r.store.Close()
	}
}

// Leadership returns a channel that delivers true when this replica becomes the leader, and false when it stops being
// the leader. A change that is not read before the next one is replaced by it.
func (r *Replica) Leadership() <-chan bool { return r.raft.LeaderCh() }

// IsLeader reports whether this replica is the leader, as far as it knows: another may have been elected meanwhile.
func (r *Replica) IsLeader() bool { return r.raft.State() == raft.Leader }

// LeaderIndex returns the index of the leader in Config.Addresses, or -1 if it is not known.
func (r *Replica) LeaderIndex() int {
	_, id := r.raft.LeaderWithID()
	if id == "" {
		return -1
	}
	return ReplicaIndex(id)
}

// HasQuorumContact reports whether this replica has been in contact with a quorum recently. That holds if it is the
// leader, since a leader without a quorum steps down within half of the election timeout, or if it has heard from the
// leader within twice the election timeout.
func (r *Replica) HasQuorumContact() bool {
	if r.IsLeader() {
		return true
	}
	return r.LeaderIndex() >= 0 && time.Since(r.raft.LastContact()) < 2*r.cfg.ElectionTimeout
}

// IsUpToDate reports whether this replica is in contact with a quorum and misses no entries because of failed writes. A
// replica whose disk fails stays in contact, since the library answers heartbeats without using the disk, but it misses
// entries. It is up to date again once a write has succeeded and all entries committed so far are applied.
func (r *Replica) IsUpToDate() bool {
	if !r.HasQuorumContact() || r.disk.failing.Load() {
		return false
	}
	if r.disk.missedWrite.Load() && r.hasApplied(r.raft.CommitIndex()) {
		r.disk.missedWrite.Store(false)
	}
	return !r.disk.missedWrite.Load()
}

// TransferLeadership makes another replica the leader, so that the cluster does not have to wait for an election
// timeout after this one is closed. It does nothing if this replica is not the leader or the only one, and waits no
// longer than the election timeout.
func (r *Replica) TransferLeadership() error {
	if !r.IsLeader() || len(r.cfg.Addresses) == 1 {
		return nil
	}
	return r.raft.LeadershipTransfer().Error()
}

// DroppedAnnouncements returns how many invalid announcements of other replicas have been received.
func (r *Replica) DroppedAnnouncements() int { return int(r.droppedAnnouncements.Load()) }

// Propose proposes an entry for the log and returns without waiting for the outcome. Entries are proposed in the order
// of the calls. timeout limits the wait for a place in the queue of proposals, not the wait for the commit.
func (r *Replica) Propose(entry []byte, timeout time.Duration) Proposal {
	return Proposal{replica: r, future: r.raft.Apply(entry, timeout)}
}

// Proposal is an entry that was proposed for the log. Wait returns its outcome.
type Proposal struct {
	replica *Replica
	future  raft.ApplyFuture
}

// Wait waits until the entry is committed and applied, and returns the result of the state machine of this replica. The
// error is ErrNotLeader if the entry was not accepted, and wraps ErrUnknownOutcome if it may be committed nevertheless
// or the replica is closed.
func (p Proposal) Wait() (any, error) {
	err := p.replica.wait(p.future)
	if err != nil {
		return nil, err
	}
	return p.future.Response(), nil
}

// wait waits for the outcome of a future, but no longer than until the replica is closed: the library never completes
// the futures of entries that were committed but not yet applied when it shut down.
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

// outcomeError translates an error of the library: to nil, ErrNotLeader, or an error that wraps ErrUnknownOutcome.
func outcomeError(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, raft.ErrNotLeader), errors.Is(err, raft.ErrLeadershipTransferInProgress):
		return ErrNotLeader
	}
	return fmt.Errorf("%w: %w", ErrUnknownOutcome, err)
}

// Barrier waits until this replica, which has to be the leader, has applied all entries that were committed under
// earlier leaders. The first successful call in a term writes a log entry, and later ones return at once. timeout and
// errors are those of Propose and Proposal.Wait.
func (r *Replica) Barrier(timeout time.Duration) error {
	term := r.raft.CurrentTerm()
	if r.barrierTerm.Load() == term {
		return nil
	}
	err := r.wait(r.raft.Barrier(timeout))
	if err == nil {
		r.barrierTerm.Store(term)
	}
	return err
}

// Snapshot takes a snapshot of the state machine now, in addition to those that the library takes on its own.
func (r *Replica) Snapshot() error { return r.raft.Snapshot().Error() }

// SnapshotWriter writes a snapshot of a state machine. It implements raft.FSMSnapshot. The library calls it on another
// goroutine than the methods of the state machine, so the data that it writes must not change.
type SnapshotWriter func(w io.Writer) error

// Persist writes the snapshot to the sink. If that fails, it cancels the sink, which discards the snapshot.
func (write SnapshotWriter) Persist(sink raft.SnapshotSink) error {
	err := write(sink)
	if err != nil {
		sink.Cancel()
		return err
	}
	return sink.Close()
}

// Release does nothing, since a SnapshotWriter holds no resources.
func (write SnapshotWriter) Release() {}
