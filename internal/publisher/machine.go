package publisher

import (
	"errors"
	"io"

	"github.com/hashicorp/raft"

	"ravensill/configsync"
	"ravensill/internal/consensus"
)

// machine is the state machine that the replicas agree on. Its methods are called by the library, one at a time.
type machine struct{ publisher *Publisher }

// outcome is what an entry of the log led to.
type outcome struct {
	delta *configsync.Delta // nil: no new version
	err   error
}

// Apply carries out an entry that was agreed on, and wakes the followers' connections where it made a new version.
func (m *machine) Apply(entry *raft.Log) any {
	p := m.publisher
	p.mu.Lock()
	defer p.mu.Unlock()
	delta, err := p.state.Apply(entry.Data)
	if delta != nil {
		p.announce()
	}
	return outcome{delta, err}
}

// Snapshot gives the whole state.
func (m *machine) Snapshot() (raft.FSMSnapshot, error) {
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

// Restore replaces the state by a snapshot of the leader's, or of this replica's disk at the start.
func (m *machine) Restore(r io.ReadCloser) error {
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
