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

// fileName is the file of the last good version in the subscriber's folder: a document, and the deltas since.
const fileName = "configuration"

// saveRetryInterval is the time after a failure before the disk is tried again: to write a large document at each change
// onto a disk that is full would cost the gateway more than it may.
const saveRetryInterval = 30 * time.Second

// Load gives the last good version on disk, or an empty document. Where the file is torn or altered, the error is a
// *configsync.FileError, and the document is the last one up to there; the gateway can start from it.
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

// files are the steps by which the store writes, so that tests can have each of them fail.
type files interface {
	// Replace puts a file with a text at a path: the file is the old one or the new one at any moment, and the new one is on the
	// disk when it returns nil.
	Replace(path string, text []byte) error
	// SyncFolder puts the names in a folder on the disk (fsync(2)).
	SyncFolder(dir string) error
	// OpenAppend opens a file that is there, to append to it.
	OpenAppend(path string) (appendFile, error)
}

// appendFile is a file that is appended to.
type appendFile interface {
	Write(text []byte) (int, error)
	Sync() error
	Close() error
}

// diskFiles writes to the disk.
type diskFiles struct{}

// Replace implements files.
func (diskFiles) Replace(path string, text []byte) error {
	return renameio.WriteFile(path, text, 0o600, renameio.WithTempDir(filepath.Dir(path)))
}

// SyncFolder implements files.
func (diskFiles) SyncFolder(dir string) error {
	folder, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(folder.Sync(), folder.Close())
}

// OpenAppend implements files.
func (diskFiles) OpenAppend(path string) (appendFile, error) {
	return os.OpenFile(path, os.O_WRONLY|os.O_APPEND, 0)
}

// replaceFile writes a file aside, syncs it, renames it and syncs the folder: after any of these steps the file at the path is the
// old one or the new one, and once it returns nil a power failure does not bring the old one back.
func replaceFile(disk files, path string, text []byte) error {
	err := disk.Replace(path, text)
	if err != nil {
		return err
	}
	return disk.SyncFolder(filepath.Dir(path))
}

// store keeps the version in force on disk. A document is written aside, synced and renamed; a delta is appended and
// synced. Whenever the power fails, there is a whole document and some of the deltas after it. After a failure the document is
// written anew: what a failed sync has left in memory counts as written, and a further sync would say that it is on the disk.
type store struct {
	dir           string
	disk          files
	file          appendFile // nil: the document has to be written anew
	documentBytes int64
	appendedBytes int64
	unsaved       int  // versions
	failing       bool // the last version was not saved, which is logged
	retryAt       time.Time
}

// newStore returns the store of a folder, which is made when it is first needed.
func newStore(dir string, disk files) *store { return &store{dir: dir, disk: disk} }

// save keeps a new version of the document. Where delta is not nil, it leads from the document saved before to this one. A failure
// is logged once; the gateway goes on without.
func (s *store) save(document *configsync.Document, delta *configsync.Delta) {
	tooEarly := s.failing && time.Now().Before(s.retryAt)
	if tooEarly || !s.attempt(document, delta) {
		s.unsaved++
	}
}

// attempt tries to write the document and tells whether it is on the disk.
func (s *store) attempt(document *configsync.Document, delta *configsync.Delta) (saved bool) {
	err := s.append(delta)
	if errors.Is(err, errWholeWanted) {
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

// retry saves the document in force if its last save failed and the time to try again has come: the next version may be days
// away.
func (s *store) retry(document *configsync.Document) {
	if s.failing && !time.Now().Before(s.retryAt) {
		s.attempt(document, nil)
	}
}

// errWholeWanted tells that the document has to be written as a whole.
var errWholeWanted = errors.New("the document has to be written anew")

// append adds a delta to the file.
func (s *store) append(delta *configsync.Delta) error {
	if s.file == nil || delta == nil || configsync.NeedsCompaction(s.documentBytes, s.appendedBytes) {
		return errWholeWanted
	}
	n, err := s.file.Write(configsync.EncodeFileDelta(delta))
	s.appendedBytes += int64(n)
	if err != nil {
		return err
	}
	return s.file.Sync()
}

// write replaces the file by one with the document alone.
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

// removeLeftovers removes what a write that was killed left beside the file.
func (s *store) removeLeftovers() {
	names, err := filepath.Glob(filepath.Join(s.dir, "."+fileName+"*"))
	if err != nil {
		return
	}
	for _, name := range names {
		os.Remove(name)
	}
}

// close has the next save write the document anew.
func (s *store) close() {
	if s.file != nil {
		s.file.Close()
	}
	s.file = nil
}
