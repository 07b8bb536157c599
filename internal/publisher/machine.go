package publisher

import (
	"errors"
	"io"

	"github.com/hashicorp/raft"

	"ravensill/configsync"
	"ravensill/internal/consensus"
)

// stateMachine is the replicated state machine. The raft library calls its methods one at a time.
type stateMachine struct{ publisher *Publisher }

// outcome is the result of an entry of the replicated log.
type outcome struct {
	delta *configsync.Delta // nil: no new version
	err   error
}

// Apply applies a committed entry, and wakes the connections of followers if the entry led to a new version.
func (m *stateMachine) Apply(entry *raft.Log) any {
	p := m.publisher
	p.mu.Lock()
	defer p.mu.Unlock()
	delta, err := p.state.Apply(entry.Data)
	if delta != nil {
		p.announce()
	}
	return outcome{delta, err}
}

// Snapshot returns a snapshot of the complete state.
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

// Restore replaces the state by a snapshot of the leader, or at the start by that on this replica's disk.
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
		p.wakeAll()
	}
	return err
}
