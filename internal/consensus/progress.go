package consensus

import (
	"strconv"
	"sync/atomic"

	"github.com/hashicorp/raft"
)

// tracked is a state machine that notes the last entry it carried out. The library's own index of applied entries counts
// those that the machine has yet to be given.
type tracked struct {
	raft.FSM
	applied atomic.Uint64 // index in the log
}

// Apply carries out an entry.
func (t *tracked) Apply(entry *raft.Log) any {
	outcome := t.FSM.Apply(entry)
	t.applied.Store(entry.Index)
	return outcome
}

// CaughtUp tells whether this replica has once since its start, in contact with a leader, carried out all that was agreed
// on before that one was elected. Before that its state may be any earlier one: the log is replayed from the last snapshot
// on, and only a leader knows how far it was agreed on.
func (r *Replica) CaughtUp() bool {
	if r.replayed.Load() {
		return true
	}
	if !r.InContact() {
		return false // nothing to look up for, as long as there is no leader
	}
	committed := r.raft.AppliedIndex()
	if r.termOf(committed) != r.raft.CurrentTerm() || r.machine.applied.Load() < r.lastProposal(committed) {
		return false
	}
	r.replayed.Store(true)
	return true
}

// termOf gives the term of the entry at an index that was agreed on, 0 where it isn't known. A leader's first entry is of
// its own term, and all that was agreed on before comes before it.
func (r *Replica) termOf(index uint64) uint64 {
	var entry raft.Log
	err := r.entries.GetLog(index, &entry)
	if err == nil {
		return entry.Term
	}
	stats := r.raft.Stats() // the entry may have given way to the snapshot that ends with it
	if stats["last_snapshot_index"] != strconv.FormatUint(index, 10) {
		return 0
	}
	term, err := strconv.ParseUint(stats["last_snapshot_term"], 10, 64)
	if err != nil {
		return 0
	}
	return term
}

// lastProposal gives the index of the last entry up to another that the state machine has to carry out, 0 where none is in
// the log. Others, such as the first entry of each leader, are few between two proposals.
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
