package publisher_test

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"ravensill/internal/config"
	"ravensill/internal/publisher"
	"ravensill/internal/publishertest"
	"ravensill/internal/sockets/socketstest"
)

// waitForHeartbeat follows a replica until a heartbeat reports that it is current, or that it is not.
func waitForHeartbeat(t *testing.T, g *publishertest.Group, replica int, current bool) {
	t.Helper()
	f := follow(t, g, replica, hello(1))
	eventually(t, "the heartbeats of the replica", func() bool { return f.heartbeat().HasQuorum == current })
	f.conn.Close()
}

// A replica with a full disk misses commits, so it must not call itself current to operators or followers, although
// it is in contact with the leader. It catches up by itself when the disk has free space.
func TestReplicaWithFullDiskIsNotCurrent(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.ENOSPC, syscall.EIO} {
		t.Run(errno.Error(), func(t *testing.T) {
			g := publishertest.NewGroup(t, 3, nil)
			g.WaitReplicated(g.PublishInitialContent())
			leader := g.WaitForLeader()
			full := (leader + 1) % 3
			eventually(t, "the replica to be current", func() bool { return g.Replicas[full].Status().UpToDate })
			g.SetDiskFault(full, errno)
			last := publisher.Publication{}
			for rate := range 12 { // more than the log entries kept, so that a snapshot is needed
				last = g.PublishRate(leader, "gold", 20+rate)
			}
			eventually(t, "the replica not to be current", func() bool { return !g.Replicas[full].Status().UpToDate })
			if s := g.Replicas[full].Status(); s.Version == last.Version {
				t.Fatalf("version %d in spite of the disk", s.Version)
			}
			waitForHeartbeat(t, g, full, false)
			g.SetDiskFault(full, nil)
			g.WaitReplicated(last)
			eventually(t, "the replica to be current again", func() bool { return g.Replicas[full].Status().UpToDate })
			waitForHeartbeat(t, g, full, true)
		})
	}
}

// With all disks full, replicas retry the write of a new term, which would otherwise end the process. They can be
// closed meanwhile, and elect a leader when the disks have free space.
func TestElectionWaitsForFullDisks(t *testing.T) {
	g := publishertest.NewGroup(t, 3, nil)
	first := g.PublishInitialContent()
	g.WaitReplicated(first)
	lost := g.WaitForLeader()
	others := []int{(lost + 1) % 3, (lost + 2) % 3}
	for _, i := range others {
		g.SetDiskFault(i, syscall.ENOSPC)
	}
	g.Close(lost)
	for _, i := range others {
		eventually(t, "the lost leader to be noticed", func() bool { return !g.Replicas[i].Status().UpToDate })
	}
	g.Close(others[0]) // while a write is being retried
	g.SetDiskFault(others[0], nil)
	g.Open(others[0])
	g.SetDiskFault(others[1], nil)
	g.WaitReplicated(first)
	g.WaitReplicated(g.PublishRate(others[1], "gold", 7))
}

// A change that a quorum can't store is not acknowledged, and an acknowledged version survives a restart of all
// replicas.
func TestAcknowledgedVersionSurvivesRestart(t *testing.T) {
	g := publishertest.NewGroup(t, 3, nil)
	g.WaitReplicated(g.PublishInitialContent())
	last := g.PublishRate(0, "gold", 11)
	for i := range g.Replicas {
		g.SetDiskFault(i, syscall.EIO)
	}
	for i := range g.Replicas {
		body := `{"set":{"plans/gold":{"name":"gold","rate":99,"burst":5}}}`
		status, answer := g.Request(i, "PATCH", "/v1/configuration", body, "")
		if status != 503 && status != 0 {
			t.Errorf("replica %d: %d %s", i, status, answer)
		}
	}
	for i := range g.Replicas {
		g.Close(i)
		g.SetDiskFault(i, nil)
	}
	for i := range g.Replicas {
		g.Open(i)
	}
	again := g.PublishRate(0, "gold", 12)
	if again.Version <= last.Version {
		t.Errorf("version %d after %d", again.Version, last.Version)
	}
	g.WaitReplicated(again)
}

// earlierReleases left folders of replicas.
var earlierReleases = []publishertest.EarlierRelease{
	publishertest.FirstRelease,
	{
		Commit:  "6d43e16", // a snapshot, and two versions in the log after it
		Dir:     "landed-6d43e16",
		Version: 7,
		Digest:  "82b77c87767e398c03f7d7b79c49797ed3dd7b1be98f99b3c225c12696c081ed",
	},
}

// A replica's folder of an earlier release is opened as it was left: the last version is there, and changes go on
// from it.
func TestOpensFolderOfEarlierRelease(t *testing.T) {
	for _, release := range earlierReleases {
		t.Run(release.Commit, func(t *testing.T) {
			dir := filepath.Join(t.TempDir(), "replica")
			err := os.CopyFS(dir, os.DirFS(filepath.Join("testdata", release.Dir)))
			if err != nil {
				t.Fatal(err)
			}
			g := publishertest.NewGroup(t, 1, func(cfg *config.Publisher) { cfg.Dir = dir })
			eventually(t, "the last version", func() bool {
				s := g.Replicas[0].Status()
				return release.Matches(s.Version, s.Digest)
			})
			next := g.PublishRate(0, "gold", 13)
			if next.Version != release.Version+1 {
				t.Errorf("the next version is %d", next.Version)
			}
		})
	}
}

// With system calls that fail by a seeded chance, replicas start, commit each change, and serve followers and
// operators.
func TestReplicasSurviveSystemCallFaults(t *testing.T) {
	shortages := []socketstest.Fault{
		{Errno: syscall.EMFILE},
		{Errno: syscall.ENFILE},
		{Errno: syscall.ENOBUFS},
		{Errno: syscall.ENOMEM},
	}
	system := socketstest.New(5, map[socketstest.Call]socketstest.Rate{
		socketstest.Listen: {Probability: 0.5, Faults: shortages},
		socketstest.Accept: {Probability: 0.3, Faults: shortages},
		socketstest.Dial:   {Probability: 0.2, Faults: shortages},
	})
	g := publishertest.NewGroupWithSockets(t, system, 3, nil)
	g.WaitReplicated(g.PublishInitialContent())
	for rate := range 5 {
		g.WaitReplicated(g.PublishRate(rate%3, "gold", 20+rate))
	}
	for i := range g.Replicas {
		f := follow(t, g, i, hello(i))
		if version, _ := f.version(); version != 6 {
			t.Errorf("replica %d sends version %d", i, version)
		}
	}
	if failed := system.CallCount(socketstest.Accept); failed == 0 {
		t.Error("no accept failed")
	}
}
