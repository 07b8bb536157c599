package poolrunner

import (
	"encoding/json"
	"errors"
	"io"
	"log/slog"

	"github.com/hashicorp/raft"

	"ravensill/internal/consensus"
	"ravensill/pool"
)

// ledgerMachine is the replicated state machine of the voters. Its ledger belongs to the goroutine of the raft library.
type ledgerMachine struct {
	ledger *pool.Ledger
}

// Apply applies a committed batch and returns a copy of the ledger. All voters skip a batch that can't be decoded.
func (m *ledgerMachine) Apply(entry *raft.Log) any {
	var batch pool.Batch
	if err := json.Unmarshal(entry.Data, &batch); err != nil {
		slog.Error("pool_batch_dropped", "error", err)
	}
	m.ledger.Apply(&batch)
	return m.ledger.Clone()
}

// Snapshot returns the ledger as JSON.
func (m *ledgerMachine) Snapshot() (raft.FSMSnapshot, error) {
	ledger := m.ledger.Clone()
	write := func(w io.Writer) error { return json.NewEncoder(w).Encode(ledger) }
	return consensus.SnapshotWriter(write), nil
}

// Restore replaces the ledger by that of a snapshot. It returns an error if the snapshot was taken with other terms.
func (m *ledgerMachine) Restore(snapshot io.ReadCloser) error {
	defer snapshot.Close()
	ledger := &pool.Ledger{}
	if err := json.NewDecoder(snapshot).Decode(ledger); err != nil {
		return err
	}
	if !sameTerms(ledger, m.ledger) {
		return errors.New("snapshot of other terms")
	}
	m.ledger = ledger
	return nil
}

// sameTerms reports whether two ledgers were made with the same terms.
func sameTerms(a, b *pool.Ledger) bool {
	return len(a.Entries) == len(b.Entries) && a.Floor == b.Floor && a.Reserve == b.Reserve
}
