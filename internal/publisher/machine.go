package publisher

import (
	"errors"
	"io"

	"github.com/hashicorp/raft"

	"ravensill/configsync"
	"ravensill/internal/consensus"
)

// stateMachine implements raft.FSM on the publisher's state. The raft library calls its methods one at a time.
type stateMachine struct{ publisher *Publisher }

// applyResult is the result of applying an entry of the replicated log.
type applyResult struct {
	delta *configsync.Delta // nil: the entry made no new version
	err   error             // nil: the entry was accepted
}

// Apply applies a committed entry and returns its applyResult. If the entry makes a new version, it wakes the
// followers' writers.
func (m *stateMachine) Apply(entry *raft.Log) any {
	p := m.publisher
	p.mu.Lock()
	defer p.mu.Unlock()
	delta, err := p.state.Apply(entry.Data)
	if delta != nil {
		p.announce()
	}
	return applyResult{delta, err}
}

// Snapshot returns a snapshot of the state. The state is encoded here, under the lock, and written to disk later.
func (m *stateMachine) Snapshot() (raft.FSMSnapshot, error) {
	p := m.publisher
	p.mu.Lock()
	defer p.mu.Unlock()
	text := p.state.Snapshot()
	write := func(w io.Writer) error {
		_, err := w.Write(text)
		return err
	}
	return consensus.SnapshotWriter(write), nil
}

// Restore replaces the state by a snapshot: one sent by the leader, or at the start the one on this replica's disk.
func (m *stateMachine) Restore(r io.ReadCloser) error {
	text, err := io.ReadAll(r)
	err = errors.Join(err, r.Close())
	if err != nil {
		return err
	}
	p := m.publisher
	p.mu.Lock()
	defer p.mu.Unlock()
	err = p.state.Restore(text)
	if err == nil {
		p.wakeAllWriters()
	}
	return err
}
