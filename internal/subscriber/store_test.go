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

// step is one of the steps by which the store writes.
type step string

const (
	stepReplace    step = "replace"
	stepSyncDir    step = "sync directory"
	stepOpenAppend step = "open to append"
	stepWrite      step = "write"
	stepSync       step = "sync"
)

// faultyFiles writes to the disk, except that one step fails while err is set.
type faultyFiles struct {
	diskFiles
	fault    step
	err      error
	partial  int // bytes that a failing write leaves in the file
	replaced int // documents written
}

// faultAt returns the error of a step, or nil.
func (f *faultyFiles) faultAt(at step) error {
	if f.err != nil && f.fault == at {
		return f.err
	}
	return nil
}

func (f *faultyFiles) Replace(path string, text []byte) error {
	if err := f.faultAt(stepReplace); err != nil {
		return err
	}
	f.replaced++
	return f.diskFiles.Replace(path, text)
}

func (f *faultyFiles) SyncDir(dir string) error {
	if err := f.faultAt(stepSyncDir); err != nil {
		return err
	}
	return f.diskFiles.SyncDir(dir)
}

func (f *faultyFiles) OpenAppend(path string) (appendFile, error) {
	if err := f.faultAt(stepOpenAppend); err != nil {
		return nil, err
	}
	file, err := f.diskFiles.OpenAppend(path)
	return &faultyFile{file, f}, err
}

type faultyFile struct {
	appendFile
	files *faultyFiles
}

func (f *faultyFile) Write(text []byte) (int, error) {
	if err := f.files.faultAt(stepWrite); err != nil {
		n, _ := f.appendFile.Write(text[:min(f.files.partial, len(text))])
		return n, err
	}
	return f.appendFile.Write(text)
}

func (f *faultyFile) Sync() error {
	if err := f.files.faultAt(stepSync); err != nil {
		return err
	}
	return f.appendFile.Sync()
}

// history is a document in several versions with the deltas between them.
type history struct {
	documents []*configsync.Document // by version; the first is empty
	deltas    []*configsync.Delta    // to each version from the one before; the first is nil
}

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

// While a step of a save fails, the version saved before stays and one line is logged. Once the step succeeds, the
// store saves the version by a new file, since a further sync of the old one proves nothing.
func TestStoreRecoversFromFailedStep(t *testing.T) {
	for _, fault := range []step{stepReplace, stepSyncDir, stepOpenAppend, stepWrite, stepSync} {
		for _, errno := range []syscall.Errno{syscall.ENOSPC, syscall.EIO} {
			for _, compacted := range []bool{false, true} { // the version is written as a document, not appended
				t.Run(fmt.Sprintf("%s, %v, compacted %t", fault, errno, compacted), func(t *testing.T) {
					testSaveFault(t, &faultyFiles{fault: fault, partial: 9}, errno, compacted)
				})
			}
		}
	}
}

func testSaveFault(t *testing.T, disk *faultyFiles, errno syscall.Errno, compacted bool) {
	var lines bytes.Buffer
	defer logging.SetOutput(&lines)()
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
		t.Errorf("failed %t: %v", failed, err)
	}
	if document.Version() < 1 || !failed && document.Version() != 2 {
		t.Errorf("failed %t: version %d on the disk", failed, document.Version())
	}
	written := disk.replaced
	s.retry(h.documents[2]) // too early
	disk.err = nil
	s.retryAt = time.Time{}
	s.retry(h.documents[2])
	if failed && disk.replaced != written+1 {
		t.Errorf("%d documents written after the failure", disk.replaced-written)
	}
	s.save(h.documents[3], h.deltas[3])
	document, err = Load(s.dir)
	if err != nil || document.Version() != 3 || document.Digest() != h.documents[3].Digest() {
		t.Errorf("version %d on the disk, %v", document.Version(), err)
	}
	want := 0
	if failed {
		want = 1
	}
	for _, event := range []string{"event=configuration_save_failed", "event=configuration_save_restored"} {
		if got := strings.Count(lines.String(), event); got != want {
			t.Errorf("%d lines %s, want %d", got, event, want)
		}
	}
	if s.unsaved != want {
		t.Errorf("%d versions unsaved, want %d", s.unsaved, want)
	}
}

// After a crash or a power failure at any byte of the file, the gateway starts from the latest complete version in it.
func TestLoadReturnsIntactPartOfTruncatedFile(t *testing.T) {
	h := newHistory(t, 3)
	dir := t.TempDir()
	s := newStore(dir, diskFiles{})
	versions := map[int]configsync.Version{} // by the length of the file after the version
	for version := 1; version <= 3; version++ {
		delta := h.deltas[version]
		if version == 1 {
			delta = nil
		}
		s.save(h.documents[version], delta)
		text, err := os.ReadFile(filepath.Join(dir, fileName))
		if err != nil {
			t.Fatal(err)
		}
		versions[len(text)] = configsync.Version(version)
	}
	s.close()
	text, err := os.ReadFile(filepath.Join(dir, fileName))
	if err != nil {
		t.Fatal(err)
	}
	if len(versions) != 3 {
		t.Fatalf("lengths %v: no deltas were appended", versions)
	}
	want := configsync.Version(0)
	for length := range len(text) + 1 {
		version, intact := versions[length]
		if intact {
			want = version
		}
		if err := os.WriteFile(filepath.Join(dir, fileName), text[:length], 0o600); err != nil {
			t.Fatal(err)
		}
		document, err := Load(dir)
		if document.Version() != want || (err == nil) != intact {
			t.Errorf("%d bytes: version %d, want %d; %v", length, document.Version(), want, err)
		}
	}
}

// orderedFiles records how many bytes a subscriber has sent at each write of a version.
type orderedFiles struct {
	diskFiles
	subscriber atomic.Pointer[Subscriber]
	sent       []int64 // by write
}

// record appends the number of bytes sent so far.
func (f *orderedFiles) record() { f.sent = append(f.sent, f.subscriber.Load().out.Load()) }

func (f *orderedFiles) Replace(path string, text []byte) error {
	f.record()
	return f.diskFiles.Replace(path, text)
}

func (f *orderedFiles) OpenAppend(path string) (appendFile, error) {
	file, err := f.diskFiles.OpenAppend(path)
	return &orderedFile{file, f}, err
}

type orderedFile struct {
	appendFile
	files *orderedFiles
}

func (f *orderedFile) Write(text []byte) (int, error) {
	f.files.record()
	return f.appendFile.Write(text)
}

// A gateway that is killed at any moment restarts with no earlier version than it has acknowledged.
func TestSubscriberSavesVersionBeforeAcknowledging(t *testing.T) {
	group := publishertest.NewGroup(t, 1, nil)
	disk := &orderedFiles{}
	var sent []int64 // when each version was put in force
	g := newGateway(t, 0, listenAddresses(group))
	g.cfg.disk = disk
	g.cfg.Apply = func(update *configsync.Update, complete bool) error {
		sent = append(sent, disk.subscriber.Load().out.Load())
		return g.apply(update, complete)
	}
	g.start()
	disk.subscriber.Store(g.sub)
	g.waitInForce(group.PublishInitialContent())
	for rate := range 5 {
		g.waitInForce(group.PublishRate(0, "gold", 20+rate))
	}
	g.stop()
	if !slices.Equal(disk.sent, sent) || len(sent) < 6 {
		t.Errorf("bytes sent when versions were put in force %d, when they were written %d", sent, disk.sent)
	}
}

// earlierReleases left folders of subscribers: a document, and deltas after it.
var earlierReleases = []publishertest.EarlierRelease{
	publishertest.FirstRelease,
	{
		Commit:  "6d43e16",
		Dir:     "landed-6d43e16",
		Version: 4,
		Digest:  "3c340acfeaa985ec8bc1cdf04a4398512099743ce86ebdba594ac30e6f2ec836",
	},
}

// The file of an earlier release is read as it was written.
func TestLoadsFileOfEarlierRelease(t *testing.T) {
	for _, release := range earlierReleases {
		document, err := Load(filepath.Join("testdata", release.Dir))
		digest := fmt.Sprintf("%x", document.Digest())
		if err != nil || !release.Matches(document.Version(), digest) {
			t.Errorf("%s: version %d, digest %s, %v", release.Commit, document.Version(), digest, err)
		}
	}
}

// The incarnation that an earlier release stored is read as it was written.
func TestReadsIncarnationOfEarlierRelease(t *testing.T) {
	number, err := readIncarnation(filepath.Join("testdata", "landed-6d43e16", incarnationFile))
	if err != nil || number != 1796287495249295062 {
		t.Errorf("%d, %v", number, err)
	}
}
