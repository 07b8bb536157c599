package consensus

import (
	"log/slog"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/raft"
)

// Bounds of the pause before a write of the replica's term or vote is tried again.
const (
	minWriteRetry = 50 * time.Millisecond
	maxWriteRetry = time.Second
)

// disk is the replica's log and its state on disk. It tells of writes that fail, as on a full disk, and keeps the library from
// ending the process over one.
type disk struct {
	raft.LogStore
	raft.StableStore

	cluster string       // its name in log lines
	fault   func() error // Config.DiskFault; nil: none
	failing atomic.Bool  // the last write failed
	missed  atomic.Bool  // a write failed, and what it missed may not be carried out yet
	closing chan struct{}
	once    sync.Once
}

func newDisk(cfg *Config, entries raft.LogStore, state raft.StableStore) *disk {
	return &disk{LogStore: entries, StableStore: state, cluster: cfg.Name, fault: cfg.DiskFault, closing: make(chan struct{})}
}

// close ends the retries of writes.
func (d *disk) close() { d.once.Do(func() { close(d.closing) }) }

// write makes a write and notes how it ended. The first failure in a row is logged, and the first success after it.
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
	switch failed := err != nil; {
	case failed && !d.failing.Swap(true):
		slog.Error("raft_disk_failing", "cluster", d.cluster, "error", err)
	case !failed && d.failing.Swap(false):
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

// writeState writes the term or the vote, as often as it takes. The library ends the process where the term can't be stored
// ("failed to save current term"), so an election during which the disk is full would kill the replica, at each start again. One
// that waits instead neither votes nor follows, as if it were down, and goes on once there is room. When the replica closes, the
// goroutine that waits ends: the library can't be given an error.
func (d *disk) writeState(do func() error) error {
	for pause := minWriteRetry; ; pause = min(2*pause, maxWriteRetry) {
		err := d.write(do)
		if err == nil {
			return nil
		}
		select {
		case <-d.closing:
			runtime.Goexit()
		case <-time.After(pause):
		}
	}
}
