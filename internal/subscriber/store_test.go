package subscriber

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"ravensill/configsync"
	"ravensill/internal/logging"
	"ravensill/internal/publishertest"
)

// saveStep is one of the operations by which the store writes to disk.
type saveStep string

const (
	stepReplace    saveStep = "replace"
	stepSyncDir    saveStep = "sync directory"
	stepOpenAppend saveStep = "open to append"
	stepWrite      saveStep = "write"
	stepSync       saveStep = "sync"
)

// faultyFileSystem writes to disk, except that the operation failingStep returns err while err is not nil.
type faultyFileSystem struct {
	osFileSystem
	failingStep      saveStep
	err              error
	partialBytes     int // number of bytes that a failing write leaves in the file
	documentsWritten int // number of documents written by Replace
}

// errorAt returns the error with which an operation has to fail, or nil.
func (f *faultyFileSystem) errorAt(at saveStep) error {
	if f.err != nil && f.failingStep == at {
		return f.err
	}
	return nil
}

func (f *faultyFileSystem) Replace(path string, text []byte) error {
	if err := f.errorAt(stepReplace); err != nil {
		return err
	}
	f.documentsWritten++
	return f.osFileSystem.Replace(path, text)
}

func (f *faultyFileSystem) SyncDir(dir string) error {
	if err := f.errorAt(stepSyncDir); err != nil {
		return err
	}
	return f.osFileSystem.SyncDir(dir)
}

func (f *faultyFileSystem) OpenAppend(path string) (appendFile, error) {
	if err := f.errorAt(stepOpenAppend); err != nil {
		return nil, err
	}
	file, err := f.osFileSystem.OpenAppend(path)
	return &faultyFile{file, f}, err
}

// faultyFile is a file opened by a faultyFileSystem.
type faultyFile struct {
	appendFile
	fileSystem *faultyFileSystem
}

func (f *faultyFile) Write(text []byte) (int, error) {
	if err := f.fileSystem.errorAt(stepWrite); err != nil {
		n, _ := f.appendFile.Write(text[:min(f.fileSystem.partialBytes, len(text))])
		return n, err
	}
	return f.appendFile.Write(text)
}

func (f *faultyFile) Sync() error {
	if err := f.fileSystem.errorAt(stepSync); err != nil {
		return err
	}
	return f.appendFile.Sync()
}

// history holds the versions of a document and the deltas between them.
type history struct {
	documents []*configsync.Document // documents by version; version 0 is empty
	deltas    []*configsync.Delta    // by version: the delta to it from the version before; nil for version 0
}

// newHistory returns a history of version 0 and the given number of versions after it, which differ in their limits.
func newHistory(t *testing.T, versions int) *history {
	h := &history{
		documents: []*configsync.Document{configsync.NewDocument("log")},
		deltas:    []*configsync.Delta{nil},
	}
	for version := 1; version <= versions; version++ {
		document := h.documents[version-1].Clone()
		content := map[configsync.Resource][]byte{"limits": []byte(fmt.Sprintf(`{"max_attempts":%d}`, version))}
		delta := &configsync.Delta{
			Log:     "log",
			From:    configsync.Version(version - 1),
			To:      configsync.Version(version),
			Changes: document.Diff(content),
			Digest:  digestOf(content),
		}
		if err := document.Apply(delta); err != nil {
			t.Fatal(err)
		}
		h.documents = append(h.documents, document)
		h.deltas = append(h.deltas, delta)
	}
	return h
}

// Guards against the loss of a saved version when an operation of a save fails. While it fails, the version saved
// before stays readable and one line is logged. Once it succeeds again, the store has to write a new file: after a
// failed sync another sync of the old file may succeed although its data is not on disk.
func TestStoreRecoversFromFailedStep(t *testing.T) {
	for _, fault := range []saveStep{stepReplace, stepSyncDir, stepOpenAppend, stepWrite, stepSync} {
		for _, errno := range []syscall.Errno{syscall.ENOSPC, syscall.EIO} {
			for _, compacted := range []bool{false, true} { // true: the version is written as a document, not as a delta
				t.Run(fmt.Sprintf("%s, %v, compacted %t", fault, errno, compacted), func(t *testing.T) {
					testSaveFault(t, &faultyFileSystem{failingStep: fault, partialBytes: 9}, errno, compacted)
				})
			}
		}
	}
}

// testSaveFault saves version 2 while an operation of disk fails with errno, and versions 2 and 3 after it succeeds
// again.
func testSaveFault(t *testing.T, disk *faultyFileSystem, errno syscall.Errno, compacted bool) {
	var logOutput bytes.Buffer
	defer logging.SetOutput(&logOutput)()
	h := newHistory(t, 3)
	s := newStore(filepath.Join(t.TempDir(), "folder"), disk)
	defer s.close()
	s.save(h.documents[1], nil)
	disk.err = errno
	if compacted {
		s.save(h.documents[2], nil)
	} else {
		s.save(h.documents[2], h.deltas[2])
	}
	failed := s.failing
	document, err := Load(s.dir)
	var damaged *configsync.CorruptFileError
	if err != nil && !errors.As(err, &damaged) {
		t.Errorf("load after a save with failed=%t: %v", failed, err)
	}
	if document.Version() < 1 || !failed && document.Version() != 2 {
		t.Errorf("after a save with failed=%t, version %d is on disk", failed, document.Version())
	}
	written := disk.documentsWritten
	s.retryFailedSave(h.documents[2]) // has no effect: the retry interval is not over
	disk.err = nil
	s.retryAt = time.Time{}
	s.retryFailedSave(h.documents[2])
	if failed && disk.documentsWritten != written+1 {
		t.Errorf("%d documents were written after the failure, want 1", disk.documentsWritten-written)
	}
	s.save(h.documents[3], h.deltas[3])
	document, err = Load(s.dir)
	if err != nil || document.Version() != 3 || document.Digest() != h.documents[3].Digest() {
		t.Errorf("version %d is on disk after the last save, want 3 with its digest; error %v", document.Version(), err)
	}
	want := 0
	if failed {
		want = 1
	}
	for _, event := range []string{"event=configuration_save_failed", "event=configuration_save_restored"} {
		if got := strings.Count(logOutput.String(), event); got != want {
			t.Errorf("%d log lines with %s, want %d", got, event, want)
		}
	}
	if s.unsavedVersions != want {
		t.Errorf("%d versions count as unsaved, want %d", s.unsavedVersions, want)
	}
}

// Guards against a gateway that can't start after a crash or a power failure during a write: whatever the length at
// which the file is truncated, Load has to return the latest version that is complete in it.
func TestLoadReturnsIntactPartOfTruncatedFile(t *testing.T) {
	h := newHistory(t, 3)
	dir := t.TempDir()
	s := newStore(dir, osFileSystem{})
	versions := map[int]configsync.Version{} // by the length of the file after the version was saved
	for version := 1; version <= 3; version++ {
		delta := h.deltas[version]
		if version == 1 {
			delta = nil
		}
		s.save(h.documents[version], delta)
		text, err := os.ReadFile(filepath.Join(dir, configurationFile))
		if err != nil {
			t.Fatal(err)
		}
		versions[len(text)] = configsync.Version(version)
	}
	s.close()
	text, err := os.ReadFile(filepath.Join(dir, configurationFile))
	if err != nil {
		t.Fatal(err)
	}
	if len(versions) != 3 {
		t.Fatalf("versions by file length %v: no deltas were appended", versions)
	}
	want := configsync.Version(0)
	for length := range len(text) + 1 {
		version, intact := versions[length]
		if intact {
			want = version
		}
		if err := os.WriteFile(filepath.Join(dir, configurationFile), text[:length], 0o600); err != nil {
			t.Fatal(err)
		}
		document, err := Load(dir)
		if document.Version() != want || (err == nil) != intact {
			t.Errorf("file of %d bytes: version %d, want %d; error %v", length, document.Version(), want, err)
		}
	}
}

// recordingFileSystem writes to disk, and records how many bytes a subscriber has sent at each write of a version.
type recordingFileSystem struct {
	osFileSystem
	subscriber atomic.Pointer[Subscriber]
	sent       []int64 // bytes sent so far, at each write
}

// record appends the number of bytes sent so far.
func (f *recordingFileSystem) record() { f.sent = append(f.sent, f.subscriber.Load().bytesOut.Load()) }

func (f *recordingFileSystem) Replace(path string, text []byte) error {
	f.record()
	return f.osFileSystem.Replace(path, text)
}

func (f *recordingFileSystem) OpenAppend(path string) (appendFile, error) {
	file, err := f.osFileSystem.OpenAppend(path)
	return &recordingFile{file, f}, err
}

// recordingFile is a file opened by a recordingFileSystem.
type recordingFile struct {
	appendFile
	fileSystem *recordingFileSystem
}

func (f *recordingFile) Write(text []byte) (int, error) {
	f.fileSystem.record()
	return f.appendFile.Write(text)
}

// Guards against a gateway that is killed and restarts with an earlier version than it has acknowledged. The subscriber
// must write a version to disk before it sends the acknowledgement: it has sent no more bytes when the version is
// written than when it was put in force.
func TestSubscriberSavesVersionBeforeAcknowledging(t *testing.T) {
	group := publishertest.NewGroup(t, 1, nil)
	disk := &recordingFileSystem{}
	var sentAtApply []int64 // bytes sent so far, when each version was put in force
	g := newGateway(t, 0, listenAddresses(group))
	g.cfg.disk = disk
	g.cfg.Apply = func(update *configsync.Update, complete bool) error {
		sentAtApply = append(sentAtApply, disk.subscriber.Load().bytesOut.Load())
		return g.apply(update, complete)
	}
	g.start()
	disk.subscriber.Store(g.subscriber)
	g.waitInForce(group.PublishInitialContent())
	for rate := range 5 {
		g.waitInForce(group.PublishRate(0, "gold", 20+rate))
	}
	g.stop()
	if !slices.Equal(disk.sent, sentAtApply) || len(sentAtApply) < 6 {
		t.Errorf("bytes sent when versions were put in force %d, when written %d; want equal lists", sentAtApply, disk.sent)
	}
}

// earlierReleases are the releases of which testdata has a subscriber's directory. Its file holds a document and the
// deltas after it.
var earlierReleases = []publishertest.EarlierRelease{
	publishertest.FirstRelease,
	{
		Commit:  "6d43e16",
		Dir:     "landed-6d43e16",
		Version: 4,
		Digest:  "3c340acfeaa985ec8bc1cdf04a4398512099743ce86ebdba594ac30e6f2ec836",
	},
}

// Guards against incompatible changes of the stored format: Load has to return the version that an earlier release
// wrote.
func TestLoadsFileOfEarlierRelease(t *testing.T) {
	for _, release := range earlierReleases {
		document, err := Load(filepath.Join("testdata", release.Dir))
		digest := fmt.Sprintf("%x", document.Digest())
		if err != nil || !release.Matches(document.Version(), digest) {
			t.Errorf("file of release %s: version %d, digest %s, error %v", release.Commit, document.Version(), digest, err)
		}
	}
}

// Guards against incompatible changes of the stored incarnation: the number that an earlier release wrote has to be
// read.
func TestReadsIncarnationOfEarlierRelease(t *testing.T) {
	number, err := readIncarnation(filepath.Join("testdata", "landed-6d43e16", incarnationFile))
	if err != nil || number != 1796287495249295062 {
		t.Errorf("incarnation %d, error %v", number, err)
	}
}
