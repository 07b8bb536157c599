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

// fileName is the file with the last good version in the subscriber's directory: a document, and the deltas after it.
const fileName = "configuration"

// saveRetryInterval is the least time between a failed save and the next attempt. Writing a large document to a full
// disk at each change would cost the gateway too much.
const saveRetryInterval = 30 * time.Second

// Load returns the last good version on disk, or an empty document if there is none. If the file is damaged, the
// error is a *configsync.FileError and the document is that of the intact part, from which the gateway can start.
func Load(dir string) (*configsync.Document, error) {
	text, err := os.ReadFile(filepath.Join(dir, fileName))
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

// files has the steps by which the store writes to the disk, each of which can fail in tests.
type files interface {
	// Replace replaces the file at a path atomically. The new one is on the disk when it returns nil.
	Replace(path string, text []byte) error
	// SyncDir syncs the names in a directory to the disk (fsync(2)).
	SyncDir(dir string) error
	// OpenAppend opens an existing file for appending.
	OpenAppend(path string) (appendFile, error)
}

// appendFile is a file that is appended to.
type appendFile interface {
	Write(text []byte) (int, error)
	Sync() error
	Close() error
}

// diskFiles implements files on the disk.
type diskFiles struct{}

// Replace implements files.
func (diskFiles) Replace(path string, text []byte) error {
	return renameio.WriteFile(path, text, 0o600, renameio.WithTempDir(filepath.Dir(path)))
}

// SyncDir implements files.
func (diskFiles) SyncDir(path string) error {
	dir, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(dir.Sync(), dir.Close())
}

// OpenAppend implements files.
func (diskFiles) OpenAppend(path string) (appendFile, error) {
	return os.OpenFile(path, os.O_WRONLY|os.O_APPEND, 0)
}

// replaceFile replaces the file at a path and syncs the directory. After any step the file is the old one or the new
// one, and once it returns nil the old one can't come back by a power failure.
func replaceFile(disk files, path string, text []byte) error {
	err := disk.Replace(path, text)
	if err != nil {
		return err
	}
	return disk.SyncDir(filepath.Dir(path))
}

// store saves the version in force to disk. It replaces the file to save a document, and appends and syncs to save a
// delta, so that the file has a complete document and some of the deltas after it whenever the power fails. After a
// failure it writes the complete document: the kernel may mark pages of a failed sync as clean, and a further sync
// succeed without them.
type store struct {
	dir           string
	disk          files
	file          appendFile // nil: the complete document has to be written
	documentBytes int64
	appendedBytes int64
	unsaved       int       // number of versions not saved
	failing       bool      // the latest save failed, which has been logged
	retryAt       time.Time // of the next attempt after a failure
}

// newStore returns the store of a directory, which is created at the first save.
func newStore(dir string, disk files) *store { return &store{dir: dir, disk: disk} }

// save saves a new version of the document. If delta is not nil, it leads from the document saved before to this one.
// The first failure in a row is logged; the gateway continues without a saved version.
func (s *store) save(document *configsync.Document, delta *configsync.Delta) {
	tooEarly := s.failing && time.Now().Before(s.retryAt)
	if tooEarly || !s.attempt(document, delta) {
		s.unsaved++
	}
}

// attempt tries to save a document or its delta, and reports whether it is on the disk.
func (s *store) attempt(document *configsync.Document, delta *configsync.Delta) (saved bool) {
	err := s.append(delta)
	if errors.Is(err, errRewriteNeeded) {
		err = s.write(document)
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

// retry saves the document in force if the latest save failed and saveRetryInterval is over. The next version, which
// would save it too, may be days away.
func (s *store) retry(document *configsync.Document) {
	if s.failing && !time.Now().Before(s.retryAt) {
		s.attempt(document, nil)
	}
}

// errRewriteNeeded reports that the complete document has to be written.
var errRewriteNeeded = errors.New("the document has to be written anew")

// append appends a delta to the file. It returns errRewriteNeeded if that isn't possible.
func (s *store) append(delta *configsync.Delta) error {
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

// write replaces the file by one with only the document.
func (s *store) write(document *configsync.Document) error {
	s.close()
	err := os.MkdirAll(s.dir, 0o700)
	if err != nil {
		return err
	}
	s.removeLeftovers()
	path := filepath.Join(s.dir, fileName)
	text := configsync.EncodeFile(document)
	err = replaceFile(s.disk, path, text)
	if err != nil {
		return err
	}
	s.documentBytes = int64(len(text))
	s.appendedBytes = 0
	s.file, err = s.disk.OpenAppend(path)
	return err
}

// removeLeftovers removes temporary files of writes that were interrupted.
func (s *store) removeLeftovers() {
	names, err := filepath.Glob(filepath.Join(s.dir, "."+fileName+"*"))
	if err != nil {
		return
	}
	for _, name := range names {
		os.Remove(name)
	}
}

// close closes the file. The next save writes the complete document.
func (s *store) close() {
	if s.file != nil {
		s.file.Close()
	}
	s.file = nil
}
