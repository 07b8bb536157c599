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
	stepSyncFolder step = "sync folder"
	stepOpenAppend step = "open to append"
	stepWrite      step = "write"
	stepSync       step = "sync"
)

// faultyFiles writes to the disk; one step fails for a while.
type faultyFiles struct {
	diskFiles
	fault    step
	err      error
	partial  int // bytes that a failing write leaves in the file
	replaced int // documents written
}

func (f *faultyFiles) fails(at step) error {
	if f.err != nil && f.fault == at {
		return f.err
	}
	return nil
}

func (f *faultyFiles) Replace(path string, text []byte) error {
	if err := f.fails(stepReplace); err != nil {
		return err
	}
	f.replaced++
	return f.diskFiles.Replace(path, text)
}

func (f *faultyFiles) SyncFolder(dir string) error {
	if err := f.fails(stepSyncFolder); err != nil {
		return err
	}
	return f.diskFiles.SyncFolder(dir)
}

func (f *faultyFiles) OpenAppend(path string) (appendFile, error) {
	if err := f.fails(stepOpenAppend); err != nil {
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
	if err := f.files.fails(stepWrite); err != nil {
		n, _ := f.appendFile.Write(text[:min(f.files.partial, len(text))])
		return n, err
	}
	return f.appendFile.Write(text)
}

func (f *faultyFile) Sync() error {
	if err := f.files.fails(stepSync); err != nil {
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
	h := &history{documents: []*configsync.Document{configsync.NewDocument("log")}, deltas: []*configsync.Delta{nil}}
	for version := 1; version <= versions; version++ {
		document := h.documents[version-1].Clone()
		content := map[configsync.Resource][]byte{"limits": []byte(fmt.Sprintf(`{"max_attempts":%d}`, version))}
		delta := &configsync.Delta{Log: "log", From: configsync.Version(version - 1), To: configsync.Version(version),
			Changes: document.Diff(content), Digest: digestOf(content)}
		if err := document.Apply(delta); err != nil {
			t.Fatal(err)
		}
		h.documents = append(h.documents, document)
		h.deltas = append(h.deltas, delta)
	}
	return h
}

// Each step of a save fails for a while, as on a disk that is full or broken: what was saved before stays, one line tells of it,
// and the version is saved by itself once the step succeeds again, by a new file and not by a further sync.
func TestSaveSurvivesFaults(t *testing.T) {
	for _, fault := range []step{stepReplace, stepSyncFolder, stepOpenAppend, stepWrite, stepSync} {
		for _, errno := range []syscall.Errno{syscall.ENOSPC, syscall.EIO} {
			for _, compacted := range []bool{false, true} { // whether the version is appended or written as a document
				t.Run(fmt.Sprintf("%s, %v, whole %t", fault, errno, compacted), func(t *testing.T) {
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
	var damaged *configsync.FileError
	if err != nil && !errors.As(err, &damaged) || document.Version() < 1 || !failed && document.Version() != 2 {
		t.Errorf("failed %t: version %d on the disk, %v", failed, document.Version(), err)
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

// The process is killed after any byte of the file, or the power fails: the document is the last one that is whole.
func TestFileCutAtEachByte(t *testing.T) {
	h := newHistory(t, 3)
	dir := t.TempDir()
	s := newStore(dir, diskFiles{})
	ends := map[int]configsync.Version{} // lengths of the file after each version
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
		ends[len(text)] = configsync.Version(version)
	}
	s.close()
	text, err := os.ReadFile(filepath.Join(dir, fileName))
	if err != nil {
		t.Fatal(err)
	}
	if len(ends) != 3 {
		t.Fatalf("versions end at %v: no deltas were appended", ends)
	}
	want := configsync.Version(0)
	for length := range len(text) + 1 {
		whole := false
		if version, ok := ends[length]; ok {
			want, whole = version, true
		}
		if err := os.WriteFile(filepath.Join(dir, fileName), text[:length], 0o600); err != nil {
			t.Fatal(err)
		}
		document, err := Load(dir)
		if document.Version() != want || (err == nil) != whole {
			t.Errorf("%d bytes: version %d, want %d; %v", length, document.Version(), want, err)
		}
	}
}

// orderedFiles notes the bytes that a subscriber has sent when it writes a version.
type orderedFiles struct {
	diskFiles
	subscriber atomic.Pointer[Subscriber]
	sent       []int64 // by write
}

func (f *orderedFiles) note() { f.sent = append(f.sent, f.subscriber.Load().out.Load()) }

func (f *orderedFiles) Replace(path string, text []byte) error {
	f.note()
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
	f.files.note()
	return f.appendFile.Write(text)
}

// A version is acknowledged once it is saved: a gateway that is killed in between starts with no less than it has told.
func TestSavedBeforeAcknowledged(t *testing.T) {
	group := publishertest.NewGroup(t, 1, nil)
	disk := &orderedFiles{}
	var sent []int64 // when each version was put in force
	g := newGateway(t, 0, listenAddresses(group))
	g.cfg.disk = disk
	g.cfg.Apply = func(u *configsync.Update, whole bool) error {
		sent = append(sent, disk.subscriber.Load().out.Load())
		return g.apply(u, whole)
	}
	g.start()
	disk.subscriber.Store(g.sub)
	g.has(group.Put())
	for rate := range 5 {
		g.has(group.SetRate(0, "gold", 20+rate))
	}
	g.stop()
	if !slices.Equal(disk.sent, sent) || len(sent) < 6 {
		t.Errorf("bytes sent when versions were put in force %d, when they were written %d", sent, disk.sent)
	}
}

// landedFolders are folders of subscribers as the program at each commit left them: a document, and deltas after it.
var landedFolders = []struct {
	commit  string
	folder  string
	version configsync.Version
	digest  string
}{
	{
		commit:  "067f03a",
		folder:  "landed",
		version: 3,
		digest:  "52e2ee77df49aff9779c16b207fb40fdf9a1399fb4fa9f33657cc4aefd6fc078",
	},
	{
		commit:  "6d43e16",
		folder:  "landed-6d43e16",
		version: 4,
		digest:  "3c340acfeaa985ec8bc1cdf04a4398512099743ce86ebdba594ac30e6f2ec836",
	},
}

// The file of an earlier release is read as it was written.
func TestLoadsFileOfEarlierRelease(t *testing.T) {
	for _, landed := range landedFolders {
		document, err := Load(filepath.Join("testdata", landed.folder))
		digest := fmt.Sprintf("%x", document.Digest())
		if err != nil || document.Version() != landed.version || digest != landed.digest {
			t.Errorf("%s: version %d, digest %s, %v", landed.commit, document.Version(), digest, err)
		}
	}
}

// The number of the last start that an earlier release stored is read as it was written.
func TestReadsIncarnationOfEarlierRelease(t *testing.T) {
	number, err := readIncarnation(filepath.Join("testdata", "landed-6d43e16", incarnationFile))
	if err != nil || number != 1796287495249295062 {
		t.Errorf("%d, %v", number, err)
	}
}
