package consensus

import (
	"strconv"
	"sync/atomic"

	"github.com/hashicorp/raft"
)

// progressFSM wraps a state machine and records the index of the last entry that it has applied. The applied index of
// the library can't be used for this: it includes entries that are still queued for the state machine. Entries that the
// state machine has from a snapshot are not recorded here.
type progressFSM struct {
	raft.FSM
	applied atomic.Uint64 // log index of the last applied entry; 0: none since the start
}

// Apply applies an entry and then records its index. It implements raft.FSM.
func (t *progressFSM) Apply(entry *raft.Log) any {
	result := t.FSM.Apply(entry)
	t.applied.Store(entry.Index)
	return result
}

// CaughtUp reports whether this replica has, at some time since its start, applied all entries that were committed
// before the election of the leader at that time. Before that its state may be older than at its last shutdown: it
// replays the log from the latest snapshot on, and only a leader can tell which entries of the log are committed.
func (r *Replica) CaughtUp() bool {
	if r.everCaughtUp.Load() {
		return true
	}
	if !r.HasQuorumContact() {
		return false
	}
	committed := r.raft.AppliedIndex()
	if r.termOf(committed) != r.raft.CurrentTerm() || !r.hasApplied(committed) {
		return false
	}
	r.everCaughtUp.Store(true)
	return true
}

// hasApplied reports whether the state machine has all its entries at or before index upTo, each either applied or from
// a snapshot.
func (r *Replica) hasApplied(upTo uint64) bool {
	last := r.lastProposal(upTo)
	if r.fsm.applied.Load() >= last {
		return true
	}
	snapshotIndex, _ := r.lastSnapshot()
	return snapshotIndex >= last
}

// lastSnapshot returns the index and the term of the last entry in the latest snapshot, which the state machine has
// applied or was restored from; 0 if there is none.
func (r *Replica) lastSnapshot() (index, term uint64) {
	stats := r.raft.Stats()
	index, indexErr := strconv.ParseUint(stats["last_snapshot_index"], 10, 64)
	term, termErr := strconv.ParseUint(stats["last_snapshot_term"], 10, 64)
	if indexErr != nil || termErr != nil {
		return 0, 0
	}
	return index, term
}

// termOf returns the term of the committed entry at an index, or 0 if it is unknown. If that is the current term, the
// entry is one of the current leader's, and all entries that were committed under earlier leaders precede it.
func (r *Replica) termOf(index uint64) uint64 {
	var entry raft.Log
	err := r.logStore.GetLog(index, &entry)
	if err == nil {
		return entry.Term
	}
	snapshotIndex, snapshotTerm := r.lastSnapshot()
	if snapshotIndex != index { // the entry may have left the log as the last one in the snapshot
		return 0
	}
	return snapshotTerm
}

// lastProposal returns the index of the last log entry for the state machine at or before index upTo, or 0 if the log
// has none. The search is short, since few entries are for the library itself, such as the first one of each leader.
func (r *Replica) lastProposal(upTo uint64) uint64 {
	var entry raft.Log
	for index := upTo; index > 0; index-- {
		err := r.logStore.GetLog(index, &entry)
		if err != nil {
			return 0
		}
		if entry.Type == raft.LogCommand {
			return index
		}
	}
	return 0
}
