// Package consensus runs one replica of a replicated state machine: what every user of hashicorp/raft in this module
// needs around the library (Ongaro and Ousterhout, In search of an understandable consensus algorithm, 2014). It owns the
// replica's identity on disk, its log and snapshots, the authenticated transport, and the membership of a replica that
// lost its disk. The agreement itself is the library's.
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
	trailingEntries   = 1024 // log entries kept behind a snapshot, for replicas that are a little behind
	commitTimeout     = 20 * time.Millisecond
	connectionPool    = 2 // idle connections kept to each replica

	// cachedEntries is how many of the latest log entries are kept in memory. The leader looks up the last one at each
	// commitTimeout for each other replica, and one of megabytes takes longer than that to read and decode.
	cachedEntries = 64
)

// ErrNotLeader is the error of a proposal at a replica that does not lead.
var ErrNotLeader = errors.New("this replica does not lead")

// ErrUnknownOutcome is the error of a proposal that may or may not be agreed on later.
var ErrUnknownOutcome = errors.New("the outcome of the proposal is not known")

// Config describes one replica.
type Config struct {
	Name      string           // of the cluster, in log lines: cluster=NAME
	Index     int              // this replica's place in Addresses
	Addresses []netip.AddrPort // TCP addresses of all replicas, as this one sees them
	Listen    netip.AddrPort   // TCP
	Dir       string           // made if it is not there
	Key       []byte           // shared by the replicas; signs each connection's greeting
	Election  time.Duration    // without contact to the leader before another is elected

	SnapshotThreshold uint64 // log entries between snapshots; 0: 4096
	TrailingEntries   uint64 // log entries kept behind a snapshot; 0: 1024

	Sockets sockets.System // nil: sockets.Kernel

	DiskFault func() error // for tests: the error of the next write to the log or the state on disk, nil for none; nil: never one
}

// Replica is one running replica. All its methods may be called from any goroutine.
//
// A replica is known by an id that lies on its disk. One that lost its disk has another id, and the one before is removed
// from the membership: the votes that it gave are lost with the disk, so it must not count twice.
type Replica struct {
	cfg        Config
	id         raft.ServerID
	raft       *raft.Raft
	transport  *transport
	store      *raftboltdb.BoltStore
	entries    raft.LogStore // disk
	disk       *disk         // store with the latest entries in memory
	membership *membership
	dropped    atomic.Int64
	caughtUp   atomic.Uint64 // the last term in which CatchUp succeeded
	machine    *tracked
	replayed   atomic.Bool // CaughtUp has been true
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
	r := &Replica{cfg: cfg, machine: &tracked{FSM: machine}}
	r.id, err = identity(cfg.Dir, cfg.Index)
	if err != nil {
		return nil, err
	}
	r.membership = newMembership(r)
	r.transport, err = listen(&r.cfg, r.id, r.membership.hear)
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
	network := raft.NewNetworkTransportWithLogger(r.transport, connectionPool, r.cfg.Election, quiet)
	r.raft, err = raft.NewRaft(r.options(quiet), r.machine, r.entries, r.disk, snapshots, network)
	return err
}

// options gives the library's settings.
func (r *Replica) options(logger hclog.Logger) *raft.Config {
	c := raft.DefaultConfig()
	c.LocalID = r.id
	c.HeartbeatTimeout = r.cfg.Election
	c.ElectionTimeout = r.cfg.Election
	c.LeaderLeaseTimeout = r.cfg.Election / 2
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

// Close ends the replica and waits until its goroutines are gone.
func (r *Replica) Close() {
	r.disk.close()
	r.raft.Shutdown().Error()
	r.membership.close()
	r.release()
}

func (r *Replica) release() {
	r.transport.Close()
	if r.store != nil {
		r.store.Close()
	}
}

// Leadership delivers true each time that this replica comes to lead, and false each time that it ceases to. A change that
// is not read in time is replaced by the next one.
func (r *Replica) Leadership() <-chan bool { return r.raft.LeaderCh() }

// Leads tells whether this replica leads, as far as it knows.
func (r *Replica) Leads() bool { return r.raft.State() == raft.Leader }

// Leader gives the index of the leading replica as far as it is known, -1 where it is not.
func (r *Replica) Leader() int {
	_, id := r.raft.LeaderWithID()
	if id == "" {
		return -1
	}
	return IndexOf(id)
}

// InContact tells whether this replica is in contact with a quorum: it leads, which it ceases to without a quorum within
// half of the election timeout, or it heard of a leader within twice the election timeout.
func (r *Replica) InContact() bool {
	if r.Leads() {
		return true
	}
	return r.Leader() >= 0 && time.Since(r.raft.LastContact()) < 2*r.cfg.Election
}

// Current tells whether this replica is in contact with a quorum and has carried out what that has agreed on. One whose disk fails
// is in contact: the library answers heartbeats without the disk. But it misses every entry until a write has succeeded again and
// all that came with it is carried out.
func (r *Replica) Current() bool {
	if !r.InContact() || r.disk.failing.Load() {
		return false
	}
	if r.disk.missed.Load() && r.machine.applied.Load() >= r.lastProposal(r.raft.CommitIndex()) {
		r.disk.missed.Store(false)
	}
	return !r.disk.missed.Load()
}

// Resign hands the lead to another replica, so that the group need not wait for an election after this one has ended. It
// does nothing where this replica does not lead, and waits no longer than the election timeout.
func (r *Replica) Resign() error {
	if !r.Leads() || len(r.cfg.Addresses) == 1 {
		return nil
	}
	return r.raft.LeadershipTransfer().Error()
}

// Dropped counts announcements of other replicas that made no sense.
func (r *Replica) Dropped() int { return int(r.dropped.Load()) }

// Propose puts an entry to the group, in the order of the calls. The timeout is for its place in the queue.
func (r *Replica) Propose(entry []byte, timeout time.Duration) Proposal {
	return Proposal{r.raft.Apply(entry, timeout)}
}

// Proposal is an entry that was put to the group.
type Proposal struct{ future raft.ApplyFuture }

// Wait waits for the outcome and gives what the state machine here returned for the entry. The error is ErrNotLeader where
// the entry was not taken, and wraps ErrUnknownOutcome where it may yet be agreed on.
func (p Proposal) Wait() (any, error) {
	err := outcomeError(p.future.Error())
	if err != nil {
		return nil, err
	}
	return p.future.Response(), nil
}

func outcomeError(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, raft.ErrNotLeader), errors.Is(err, raft.ErrLeadershipTransferInProgress):
		return ErrNotLeader
	}
	return fmt.Errorf("%w: %w", ErrUnknownOutcome, err)
}

// CatchUp waits until this replica, as the leader, has applied all that was agreed on under earlier leaders. It costs one
// entry in each term. The error is as that of Wait.
func (r *Replica) CatchUp(timeout time.Duration) error {
	term := r.raft.CurrentTerm()
	if r.caughtUp.Load() == term {
		return nil
	}
	err := outcomeError(r.raft.Barrier(timeout).Error())
	if err == nil {
		r.caughtUp.Store(term)
	}
	return err
}

// Snapshot takes a snapshot of the state machine now, beside those that the library takes by itself.
func (r *Replica) Snapshot() error { return r.raft.Snapshot().Error() }

// SnapshotWriter writes a snapshot of a state machine. It is called on another goroutine than the state machine's, so what
// it writes must not change.
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

// Release has nothing to do.
func (write SnapshotWriter) Release() {}
