package consensus

import (
	"strconv"
	"sync/atomic"

	"github.com/hashicorp/raft"
)

// trackedMachine is a state machine that records the index of the last entry applied. The index of the library also
// counts entries that are still queued for the state machine.
type trackedMachine struct {
	raft.FSM
	applied atomic.Uint64 // index in the log
}

// Apply implements raft.FSM.
func (t *trackedMachine) Apply(entry *raft.Log) any {
	outcome := t.FSM.Apply(entry)
	t.applied.Store(entry.Index)
	return outcome
}

// CaughtUp reports whether this replica, at any time since its start, has applied all that was committed before the
// election of the present leader. Until then its state may be any earlier one: the log is replayed from the latest
// snapshot on, and only a leader knows which of its entries are committed.
func (r *Replica) CaughtUp() bool {
	if r.replayed.Load() {
		return true
	}
	if !r.HasQuorumContact() {
		return false
	}
	committed := r.raft.AppliedIndex()
	if r.termOf(committed) != r.raft.CurrentTerm() || r.machine.applied.Load() < r.lastProposal(committed) {
		return false
	}
	r.replayed.Store(true)
	return true
}

// termOf returns the term of the committed entry at an index, or 0 if it isn't known. The first entry of a leader has
// the leader's term, and all that was committed under earlier leaders precedes it.
func (r *Replica) termOf(index uint64) uint64 {
	var entry raft.Log
	err := r.entries.GetLog(index, &entry)
	if err == nil {
		return entry.Term
	}
	stats := r.raft.Stats() // the entry may have been compacted into the snapshot that ends with it
	if stats["last_snapshot_index"] != strconv.FormatUint(index, 10) {
		return 0
	}
	term, err := strconv.ParseUint(stats["last_snapshot_term"], 10, 64)
	if err != nil {
		return 0
	}
	return term
}

// lastProposal returns the index of the last entry for the state machine up to an index, or 0 if there is none in the
// log. There are few entries for the library between two of them, such as the first one of each leader.
func (r *Replica) lastProposal(upTo uint64) uint64 {
	var entry raft.Log
	for index := upTo; index > 0; index-- {
		err := r.entries.GetLog(index, &entry)
		if err != nil {
			return 0
		}
		if entry.Type == raft.LogCommand {
			return index
		}
	}
	return 0
}
