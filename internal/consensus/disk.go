package consensus

import (
	"log/slog"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/raft"
)

// Bounds of the delay between attempts to write the term or the vote, which doubles after each failure.
const (
	minWriteRetry = 50 * time.Millisecond
	maxWriteRetry = time.Second
)

// diskStore is the log of a replica and its stable state on disk: the term and the vote. It logs when writes begin to
// fail, as on a full disk, and when they succeed again. It also prevents the library from ending the process after a
// failed write of the term.
type diskStore struct {
	raft.LogStore
	raft.StableStore

	cluster     string        // Config.ClusterName
	injectFault func() error  // Config.DiskFault
	failing     atomic.Bool   // the latest write failed
	missedWrite atomic.Bool   // a write has failed, and entries that were committed since may not be applied yet
	closing     chan struct{} // closed by close
	closeOnce   sync.Once
}

func newDiskStore(cfg *Config, entries raft.LogStore, state raft.StableStore) *diskStore {
	return &diskStore{
		LogStore:    entries,
		StableStore: state,
		cluster:     cfg.ClusterName,
		injectFault: cfg.DiskFault,
		closing:     make(chan struct{}),
	}
}

// close makes writeStateWithRetry give up. It may be called more than once.
func (d *diskStore) close() {
	d.closeOnce.Do(func() { close(d.closing) })
}

// tryWrite calls write once, unless a test injects a fault, and records whether that failed. It logs the first of
// consecutive failures, and the first success after a failure.
func (d *diskStore) tryWrite(write func() error) error {
	err := error(nil)
	if d.injectFault != nil {
		err = d.injectFault()
	}
	if err == nil {
		err = write()
	}
	if err != nil {
		d.missedWrite.Store(true)
	}
	failed := err != nil
	failedBefore := d.failing.Swap(failed)
	switch {
	case failed && !failedBefore:
		slog.Error("raft_disk_failing", "cluster", d.cluster, "error", err)
	case !failed && failedBefore:
		slog.Info("raft_disk_restored", "cluster", d.cluster)
	}
	return err
}

// StoreLog stores a log entry. Like the other writes to the log it is tried once, and an error is returned to the
// library. It implements raft.LogStore.
func (d *diskStore) StoreLog(entry *raft.Log) error {
	return d.tryWrite(func() error { return d.LogStore.StoreLog(entry) })
}

// StoreLogs stores several log entries. It implements raft.LogStore.
func (d *diskStore) StoreLogs(entries []*raft.Log) error {
	return d.tryWrite(func() error { return d.LogStore.StoreLogs(entries) })
}

// DeleteRange deletes the log entries from index first to last, both included. It implements raft.LogStore.
func (d *diskStore) DeleteRange(first, last uint64) error {
	return d.tryWrite(func() error { return d.LogStore.DeleteRange(first, last) })
}

// Set stores a value under a key of the stable state, with retries until it succeeds. It implements raft.StableStore.
func (d *diskStore) Set(key, value []byte) error {
	return d.writeStateWithRetry(func() error { return d.StableStore.Set(key, value) })
}

// SetUint64 stores a number under a key of the stable state, with retries until it succeeds. It implements
// raft.StableStore.
func (d *diskStore) SetUint64(key []byte, value uint64) error {
	return d.writeStateWithRetry(func() error { return d.StableStore.SetUint64(key, value) })
}

// writeStateWithRetry writes the term or the vote, and retries until that succeeds. The library panics if the term
// can't be stored ("failed to save current term"), so an election while the disk is full would end the process, and
// again after each restart. While this function waits, the replica neither votes nor follows a leader, as if it were
// down. It continues when writes succeed again. If the replica is closed meanwhile, the waiting goroutine exits without
// returning to the library, since an error would make the library panic.
func (d *diskStore) writeStateWithRetry(write func() error) error {
	for backoff := minWriteRetry; ; backoff = min(2*backoff, maxWriteRetry) {
		err := d.tryWrite(write)
		if err == nil {
			return nil
		}
		select {
		case <-d.closing:
			runtime.Goexit()
		case <-time.After(backoff):
		}
	}
}
