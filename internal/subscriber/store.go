package subscriber

import (
	"errors"
	"io/fs"
	"log/slog"
	"os"
	"path/filepath"
	"time"

	"github.com/google/renameio/v2"

	"ravensill/configsync"
)

// configurationFile is the name of the file in the subscriber's directory that holds the last version put in force: a
// complete document, and the deltas that follow it.
const configurationFile = "configuration"

// saveRetryInterval is the least time between a failed save and the next attempt. An attempt writes the complete
// document, and writing a large one to a full disk at each change would cost the gateway too much.
const saveRetryInterval = 30 * time.Second

// Load returns the version saved in dir, or an empty document if none is. If the file is damaged, the error is a
// *configsync.CorruptFileError and the document is that of the intact part, from which the gateway can start. The
// document is never nil.
func Load(dir string) (*configsync.Document, error) {
	text, err := os.ReadFile(filepath.Join(dir, configurationFile))
	if errors.Is(err, fs.ErrNotExist) {
		return configsync.NewDocument(""), nil
	}
	if err != nil {
		return configsync.NewDocument(""), err
	}
	document, err := configsync.DecodeFile(text)
	if document == nil {
		document = configsync.NewDocument("")
	}
	return document, err
}

// fileSystem has the operations by which the store writes to disk. Tests replace it to make one of them fail.
type fileSystem interface {
	// Replace atomically replaces the file at a path, or creates it. When it returns nil, the new content is synced
	// to disk, but the directory entry need not be.
	Replace(path string, text []byte) error
	// SyncDir syncs the entries of a directory to disk (fsync(2)).
	SyncDir(dir string) error
	// OpenAppend opens an existing file for appending.
	OpenAppend(path string) (appendFile, error)
}

// appendFile is a file open for appending.
type appendFile interface {
	Write(text []byte) (int, error)
	Sync() error
	Close() error
}

// osFileSystem implements fileSystem by the operating system.
type osFileSystem struct{}

// Replace implements fileSystem.
func (osFileSystem) Replace(path string, text []byte) error {
	return renameio.WriteFile(path, text, 0o600, renameio.WithTempDir(filepath.Dir(path)))
}

// SyncDir implements fileSystem.
func (osFileSystem) SyncDir(path string) error {
	dir, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(dir.Sync(), dir.Close())
}

// OpenAppend implements fileSystem.
func (osFileSystem) OpenAppend(path string) (appendFile, error) {
	return os.OpenFile(path, os.O_WRONLY|os.O_APPEND, 0)
}

// replaceFileDurably replaces the file at a path and syncs its directory. If it is interrupted, the file is either the
// old or the new one. Once it returns nil, a power failure can't bring the old file back.
func replaceFileDurably(disk fileSystem, path string, text []byte) error {
	err := disk.Replace(path, text)
	if err != nil {
		return err
	}
	return disk.SyncDir(filepath.Dir(path))
}

// store saves the version in force to disk. To save a document, it replaces the file; to save a delta, it appends to
// the file and syncs it. So at any power failure the file has a complete document and some of the deltas that follow
// it. After a failed save the store writes the complete document to a new file: the kernel may mark the pages of a
// failed sync as clean, so that another sync of the old file succeeds although they are not on disk. A store belongs to
// one goroutine.
type store struct {
	dir             string
	disk            fileSystem
	file            appendFile // open for appending; nil: the next save has to write the complete document
	documentBytes   int64      // length of the document in the file
	appendedBytes   int64      // length of the deltas after it
	unsavedVersions int        // number of versions that were not saved when they were put in force
	failing         bool       // the latest attempt to save failed, which has been logged
	retryAt         time.Time  // earliest time of the next attempt after a failure
}

// newStore returns the store that saves to a directory. The first save creates the directory if needed.
func newStore(dir string, disk fileSystem) *store { return &store{dir: dir, disk: disk} }

// save saves a new version of the document. delta leads to it from the version before; nil means that the complete
// document has to be written. A failure is no error for the caller: the gateway continues with a version that is not
// saved, and the first of several failures in a row is logged. Until saveRetryInterval after a failure, save attempts
// nothing.
func (s *store) save(document *configsync.Document, delta *configsync.Delta) {
	tooEarly := s.failing && time.Now().Before(s.retryAt)
	if tooEarly || !s.trySave(document, delta) {
		s.unsavedVersions++
	}
}

// trySave appends delta to the file if that is possible, and otherwise writes the complete document. It reports whether
// the version is on disk, and logs the first failure in a row and the end of the failures.
func (s *store) trySave(document *configsync.Document, delta *configsync.Delta) (saved bool) {
	err := s.appendDelta(delta)
	if errors.Is(err, errRewriteNeeded) {
		err = s.writeDocument(document)
	}
	if err != nil {
		s.close()
		s.retryAt = time.Now().Add(saveRetryInterval)
	}
	if err != nil && !s.failing {
		slog.Warn("configuration_save_failed", "dir", s.dir, "version", document.Version(), "error", err)
	}
	if err == nil && s.failing {
		slog.Info("configuration_save_restored", "dir", s.dir, "version", document.Version())
	}
	s.failing = err != nil
	return err == nil
}

// retryFailedSave saves the document in force if the latest attempt failed at least saveRetryInterval ago. Without it
// the document would stay unsaved until the next version, which may be days away.
func (s *store) retryFailedSave(document *configsync.Document) {
	if s.failing && !time.Now().Before(s.retryAt) {
		s.trySave(document, nil)
	}
}

// errRewriteNeeded is returned by appendDelta if the complete document has to be written instead.
var errRewriteNeeded = errors.New("the complete document has to be written")

// appendDelta appends a delta to the file and syncs it. It returns errRewriteNeeded if there is no open file or no
// delta, or if the appended deltas have become too long.
func (s *store) appendDelta(delta *configsync.Delta) error {
	if s.file == nil || delta == nil || configsync.NeedsCompaction(s.documentBytes, s.appendedBytes) {
		return errRewriteNeeded
	}
	n, err := s.file.Write(configsync.EncodeFileDelta(delta))
	s.appendedBytes += int64(n)
	if err != nil {
		return err
	}
	return s.file.Sync()
}

// writeDocument replaces the file by one that holds only the document, and opens it for appending.
func (s *store) writeDocument(document *configsync.Document) error {
	s.close()
	err := os.MkdirAll(s.dir, 0o700)
	if err != nil {
		return err
	}
	s.removeTempFiles()
	path := filepath.Join(s.dir, configurationFile)
	text := configsync.EncodeFile(document)
	err = replaceFileDurably(s.disk, path, text)
	if err != nil {
		return err
	}
	s.documentBytes = int64(len(text))
	s.appendedBytes = 0
	s.file, err = s.disk.OpenAppend(path)
	return err
}

// removeTempFiles removes the temporary files that interrupted calls of Replace left in the directory. Errors are
// ignored: the files only waste space.
func (s *store) removeTempFiles() {
	names, err := filepath.Glob(filepath.Join(s.dir, "."+configurationFile+"*"))
	if err != nil {
		return
	}
	for _, name := range names {
		os.Remove(name)
	}
}

// close closes the file if it is open. The next save then writes the complete document.
func (s *store) close() {
	if s.file != nil {
		s.file.Close()
	}
	s.file = nil
}
