package consensus

import (
	"log/slog"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/raft"
)

// Bounds of the backoff between attempts to write the term or the vote.
const (
	minWriteRetry = 50 * time.Millisecond
	maxWriteRetry = time.Second
)

// disk is the replica's log and its state on disk. It logs failed writes, as on a full disk, and keeps the library
// from ending the process after one.
type disk struct {
	raft.LogStore
	raft.StableStore

	cluster string       // its name in log lines
	fault   func() error // Config.DiskFault; nil: none
	failing atomic.Bool  // the latest write failed
	missed  atomic.Bool  // a write failed, and the entries that it missed may not be applied yet
	closing chan struct{}
	once    sync.Once
}

func newDisk(cfg *Config, entries raft.LogStore, state raft.StableStore) *disk {
	return &disk{
		LogStore:    entries,
		StableStore: state,
		cluster:     cfg.ClusterName,
		fault:       cfg.DiskFault,
		closing:     make(chan struct{}),
	}
}

// close ends the retries of writes.
func (d *disk) close() {
	d.once.Do(func() { close(d.closing) })
}

// write makes a write and records its outcome. It logs the first of consecutive failures, and the first success after
// one.
func (d *disk) write(do func() error) error {
	err := error(nil)
	if d.fault != nil {
		err = d.fault()
	}
	if err == nil {
		err = do()
	}
	if err != nil {
		d.missed.Store(true)
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

// StoreLog implements raft.LogStore.
func (d *disk) StoreLog(entry *raft.Log) error {
	return d.write(func() error { return d.LogStore.StoreLog(entry) })
}

// StoreLogs implements raft.LogStore.
func (d *disk) StoreLogs(entries []*raft.Log) error {
	return d.write(func() error { return d.LogStore.StoreLogs(entries) })
}

// DeleteRange implements raft.LogStore.
func (d *disk) DeleteRange(first, last uint64) error {
	return d.write(func() error { return d.LogStore.DeleteRange(first, last) })
}

// Set implements raft.StableStore.
func (d *disk) Set(key, value []byte) error {
	return d.writeState(func() error { return d.StableStore.Set(key, value) })
}

// SetUint64 implements raft.StableStore.
func (d *disk) SetUint64(key []byte, value uint64) error {
	return d.writeState(func() error { return d.StableStore.SetUint64(key, value) })
}

// writeState writes the term or the vote, with retries until it succeeds. The library ends the process if the term
// can't be stored ("failed to save current term"), so an election while the disk is full would kill the replica, at
// each start again. A replica that waits neither votes nor follows, as if it were down, and continues when the disk
// has free space. When the replica is closed, the waiting goroutine exits, since an error would end the process.
func (d *disk) writeState(do func() error) error {
	for backoff := minWriteRetry; ; backoff = min(2*backoff, maxWriteRetry) {
		err := d.write(do)
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
