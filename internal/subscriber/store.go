package subscriber

import (
	"errors"
	"io/fs"
	"log"
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

// store keeps the version in force on disk. A document is written aside, synced and renamed; a delta is appended and
// synced. Whenever the power fails, there is a whole document and some of the deltas after it.
type store struct {
	dir           string
	file          *os.File // to append to; nil: the document has to be written anew
	documentBytes int64
	appendedBytes int64
	unsaved       int  // versions
	failing       bool // the last version was not saved, which is logged
	retryAt       time.Time
}

// save keeps a document. Where delta is not nil, it leads from the document saved before to this one. A failure is logged
// once; the gateway goes on without.
func (s *store) save(document *configsync.Document, delta *configsync.Delta) {
	if s.failing && time.Now().Before(s.retryAt) {
		s.unsaved++
		return
	}
	err := s.append(delta)
	if errors.Is(err, errWholeWanted) {
		err = s.write(document)
	}
	if err != nil {
		s.close()
		s.unsaved++
		s.retryAt = time.Now().Add(saveRetryInterval)
	}
	if err != nil && !s.failing {
		log.Printf("event=configuration_not_saved dir=%s version=%d error=%q", s.dir, document.Version(), err)
	}
	if err == nil && s.failing {
		log.Printf("event=configuration_saved_again dir=%s version=%d", s.dir, document.Version())
	}
	s.failing = err != nil
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
	err = replaceFile(path, text)
	if err != nil {
		return err
	}
	s.documentBytes = int64(len(text))
	s.appendedBytes = 0
	s.file, err = os.OpenFile(path, os.O_WRONLY|os.O_APPEND, 0)
	return err
}

// replaceFile writes a file aside, syncs it, renames it and syncs the folder: after any of these steps the file at the path is the
// old one or the new one, and once it returns nil a power failure does not bring the old one back.
func replaceFile(path string, text []byte) error {
	dir := filepath.Dir(path)
	err := renameio.WriteFile(path, text, 0o600, renameio.WithTempDir(dir))
	if err != nil {
		return err
	}
	return syncFolder(dir)
}

// syncFolder makes the names in a folder durable (fsync(2)).
func syncFolder(dir string) error {
	folder, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(folder.Sync(), folder.Close())
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
		s.file = nil
	}
}
