package consensus

import (
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/raft"
)

const (
	testTimeout = 60 * time.Second
	testPoll    = 5 * time.Millisecond
)

// eventually waits until a condition is true, which other goroutines bring about.
func eventually(t *testing.T, what string, reached func() bool) {
	t.Helper()
	deadline := time.Now().Add(testTimeout)
	for !reached() {
		if time.Now().After(deadline) {
			t.Fatalf("waited for %s", what)
		}
		time.Sleep(testPoll)
	}
}

// list is a state machine that stores its entries in order.
type list struct {
	mu      sync.Mutex
	entries []string
}

func (l *list) Apply(entry *raft.Log) any {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries = append(l.entries, string(entry.Data))
	return len(l.entries)
}

func (l *list) get() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.entries)
}

func (l *list) Snapshot() (raft.FSMSnapshot, error) {
	text := strings.Join(l.get(), " ")
	return SnapshotWriter(func(w io.Writer) error {
		_, err := io.WriteString(w, text)
		return err
	}), nil
}

func (l *list) Restore(r io.ReadCloser) error {
	text, err := io.ReadAll(r)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries = strings.Fields(string(text))
	return errors.Join(err, r.Close())
}

// group is a group of three replicas on loopback.
type group struct {
	t         *testing.T
	addresses []netip.AddrPort
	dirs      []string
	lists     []*list
	replicas  []*Replica // nil: closed
}

func newGroup(t *testing.T) *group {
	g := newClosedGroup(t)
	for i := range g.replicas {
		g.open(i)
	}
	return g
}

// newClosedGroup returns a group of replicas that are not open.
func newClosedGroup(t *testing.T) *group {
	g := &group{t: t, lists: make([]*list, 3), replicas: make([]*Replica, 3)}
	for range 3 {
		host := netip.AddrFrom4([4]byte{127, byte(64 + rand.IntN(64)), byte(rand.IntN(256)), byte(1 + rand.IntN(254))})
		l, err := net.Listen("tcp4", netip.AddrPortFrom(host, 0).String()) // a random host, so that the port stays free
		if err != nil {
			t.Fatal(err)
		}
		g.addresses = append(g.addresses, l.Addr().(*net.TCPAddr).AddrPort())
		g.dirs = append(g.dirs, t.TempDir())
		l.Close()
	}
	t.Cleanup(func() {
		for i := range g.replicas {
			g.close(i)
		}
	})
	return g
}

func (g *group) config(i int) Config {
	return Config{
		ClusterName:       "test",
		Index:             i,
		Addresses:         g.addresses,
		Listen:            g.addresses[i],
		Dir:               g.dirs[i],
		Key:               []byte("0123456789abcdef"),
		ElectionTimeout:   200 * time.Millisecond,
		SnapshotThreshold: 4,
		TrailingEntries:   2,
	}
}

func (g *group) open(i int) {
	g.t.Helper()
	var err error
	g.lists[i] = &list{}
	g.replicas[i], err = Open(g.config(i), g.lists[i])
	if err != nil {
		g.t.Fatal(err)
	}
}

func (g *group) close(i int) {
	if g.replicas[i] != nil {
		g.replicas[i].Close()
		g.replicas[i] = nil
	}
}

// propose proposes an entry to the leader until it is committed, and returns the index of the leader.
func (g *group) propose(entry string) (leader int) {
	g.t.Helper()
	eventually(g.t, "an entry to be committed", func() bool {
		for i, r := range g.replicas {
			if r == nil || !r.IsLeader() {
				continue
			}
			_, err := r.Propose([]byte(entry), time.Second).Wait()
			if err == nil {
				leader = i
				return true
			}
		}
		return false
	})
	return leader
}

// waitForEntries waits until all running replicas have applied the entries.
func (g *group) waitForEntries(want ...string) {
	g.t.Helper()
	for i, r := range g.replicas {
		if r != nil {
			eventually(g.t, "equal lists", func() bool { return slices.Equal(g.lists[i].get(), want) })
		}
	}
}

// A group bootstraps itself, goes on without its leader, and takes back a replica with its disk or without.
func TestGroupSurvivesLossOfLeaderAndOfDisk(t *testing.T) {
	g := newGroup(t)
	first := g.propose("a")
	g.waitForEntries("a")
	for i, r := range g.replicas {
		eventually(t, "contact with a quorum", func() bool { return r.HasQuorumContact() && r.LeaderIndex() == first })
		if i == first {
			continue
		}
		_, err := r.Propose(nil, time.Second).Wait()
		if !errors.Is(err, ErrNotLeader) {
			t.Errorf("a replica that does not lead: %v", err)
		}
	}
	if err := g.replicas[first].TransferLeadership(); err != nil {
		t.Error(err)
	}
	eventually(t, "another to lead", func() bool { return !g.replicas[first].IsLeader() })
	g.close(first)
	second := g.propose("b")
	g.waitForEntries("a", "b")
	if err := g.replicas[second].Snapshot(); err != nil {
		t.Fatal(err)
	}
	g.open(first)
	g.waitForEntries("a", "b")
	lost := 3 - first - second
	previous := g.replicas[lost].id
	g.close(lost)
	if err := os.RemoveAll(g.dirs[lost]); err != nil {
		t.Fatal(err)
	}
	g.propose("c")
	g.open(lost)
	if g.replicas[lost].id == previous || ReplicaIndex(g.replicas[lost].id) != lost {
		t.Errorf("id %s after %s", g.replicas[lost].id, previous)
	}
	g.waitForEntries("a", "b", "c")
	g.close(first)
	g.propose("d") // the replica that lost its disk votes again
	g.waitForEntries("a", "b", "c", "d")
}

// A replica has caught up when it has applied what was committed before its start, from its log, its own snapshot or
// one of the leader. Without a leader it never has.
func TestReplicaCatchesUpOnlyWithLeader(t *testing.T) {
	g := newGroup(t)
	g.propose("a")
	for _, r := range g.replicas {
		eventually(t, "all to be caught up", r.CaughtUp)
	}
	g.waitForEntries("a")
	err := g.replicas[0].Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	g.propose("b")
	g.waitForEntries("a", "b")
	for i := range g.replicas {
		g.close(i)
	}
	g.open(0)
	alone := g.replicas[0]
	eventually(t, "the replica to call for an election", func() bool { return alone.raft.State() == raft.Candidate })
	if alone.CaughtUp() {
		t.Errorf("caught up alone, with %v", g.lists[0].get())
	}
	g.open(1)
	eventually(t, "two to be caught up", func() bool { return g.replicas[0].CaughtUp() && g.replicas[1].CaughtUp() })
	for i := range 2 {
		if got := g.lists[i].get(); !slices.Equal(got, []string{"a", "b"}) {
			t.Errorf("replica %d is caught up with %v", i, got)
		}
	}
	for _, entry := range []string{"c", "d", "e", "f", "g", "h"} { // more than the entries kept after a snapshot
		g.propose(entry)
	}
	for _, r := range g.replicas[:2] {
		err := r.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
	}
	g.open(2)
	eventually(t, "the third to be caught up by a snapshot", g.replicas[2].CaughtUp)
	if got := g.lists[2].get(); len(got) != 8 {
		t.Errorf("caught up with %v", got)
	}
}

// The latest entry is read from memory: the leader reads it all the time, and it may have megabytes.
func TestLatestEntryIsCached(t *testing.T) {
	g := newGroup(t)
	r := g.replicas[g.propose(strings.Repeat("a", 1<<20))]
	index := r.machine.applied.Load()
	var first, second raft.Log
	err := errors.Join(r.entries.GetLog(index, &first), r.entries.GetLog(index, &second))
	if err != nil || len(first.Data) == 0 || &first.Data[0] != &second.Data[0] {
		t.Errorf("entry %d with %d bytes is decoded at each read, %v", index, len(first.Data), err)
	}
}

// A minority neither commits an entry nor reports contact with a quorum.
func TestMinorityCommitsNothing(t *testing.T) {
	g := newGroup(t)
	leader := g.propose("a")
	for i := range g.replicas {
		if i != leader {
			g.close(i)
		}
	}
	eventually(t, "the leader to step down", func() bool { return !g.replicas[leader].HasQuorumContact() })
	_, err := g.replicas[leader].Propose([]byte("b"), time.Second).Wait()
	if err == nil {
		t.Error("a minority committed an entry")
	}
}

// A connection without a valid greeting is closed, invalid announcements are dropped, and a directory belongs to one
// replica.
func TestReplicaRejectsForeignConnectionsAndDirectory(t *testing.T) {
	g := newGroup(t)
	g.propose("a")
	conn, err := net.Dial("tcp4", g.addresses[1].String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.Write(make([]byte, SignatureSize))
	conn.SetDeadline(time.Now().Add(testTimeout))
	if n, err := conn.Read(make([]byte, 1)); n != 0 || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("%d bytes after an invalid greeting, %v", n, err)
	}
	for _, a := range []Announcement{{Index: 7, ID: "7-aa"}, {Index: 2, ID: "1-aa"}, {Index: -1}} {
		if err := g.replicas[0].transport.announce(1, a); err != nil {
			t.Fatal(err)
		}
	}
	eventually(t, "the announcements to be dropped", func() bool { return g.replicas[1].DroppedAnnouncements() == 3 })
	g.close(0)
	cfg := g.config(0)
	cfg.Index = 1
	_, err = Open(cfg, &list{})
	if err == nil || !strings.Contains(err.Error(), filepath.Join(g.dirs[0], identityFile)) {
		t.Errorf("the directory of another replica: %v", err)
	}
}
