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

// ledgerFSM is the replicated state machine of the voters, for the raft library. Only the library's goroutine uses the
// ledger.
type ledgerFSM struct {
	ledger *pool.Ledger
}

// Apply applies a committed batch and returns a copy of the ledger after it. A batch that can't be decoded is logged
// and changes nothing, on any voter.
func (m *ledgerFSM) Apply(entry *raft.Log) any {
	var batch pool.Batch
	if err := json.Unmarshal(entry.Data, &batch); err != nil {
		slog.Error("pool_batch_dropped", "error", err)
	}
	m.ledger.Apply(&batch)
	return m.ledger.Clone()
}

// Snapshot returns a snapshot that writes a copy of the present ledger as JSON.
func (m *ledgerFSM) Snapshot() (raft.FSMSnapshot, error) {
	ledger := m.ledger.Clone()
	write := func(w io.Writer) error { return json.NewEncoder(w).Encode(ledger) }
	return consensus.SnapshotWriter(write), nil
}

// Restore replaces the ledger by that of a snapshot. It fails if the snapshot can't be decoded, or was taken with
// another number of members, floor or reserve.
func (m *ledgerFSM) Restore(snapshot io.ReadCloser) error {
	defer snapshot.Close()
	ledger := &pool.Ledger{}
	if err := json.NewDecoder(snapshot).Decode(ledger); err != nil {
		return err
	}
	if !sameTerms(ledger, m.ledger) {
		return errors.New("the ledger in the snapshot has another number of members, floor or reserve")
	}
	m.ledger = ledger
	return nil
}

// sameTerms reports whether two ledgers have the same number of members, floor and reserve.
func sameTerms(a, b *pool.Ledger) bool {
	return len(a.Entries) == len(b.Entries) && a.Floor == b.Floor && a.Reserve == b.Reserve
}
