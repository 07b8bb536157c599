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

// waitForHeartbeat follows a replica until a heartbeat's HasQuorum has the wanted value. It is false for a replica that
// is not in contact with a quorum or not up to date.
func waitForHeartbeat(t *testing.T, g *publishertest.Group, replica int, hasQuorum bool) {
	t.Helper()
	f := follow(t, g, replica, hello(1))
	eventually(t, "the expected heartbeat", func() bool { return f.nextHeartbeat().HasQuorum == hasQuorum })
	f.conn.Close()
}

// Guards against stale data from a replica whose disk fails. Such a replica stays in contact with the leader but misses
// committed entries, so neither its status nor its heartbeats may report it as up to date. When the disk works again,
// it has to catch up without help, here from a snapshot of the leader.
func TestReplicaWithFullDiskIsNotCurrent(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.ENOSPC, syscall.EIO} {
		t.Run(errno.Error(), func(t *testing.T) {
			g := publishertest.NewGroup(t, 3, nil)
			g.WaitReplicated(g.PublishInitialContent())
			leader := g.WaitForLeader()
			fullReplica := (leader + 1) % 3
			eventually(t, "the replica to be up to date", func() bool { return g.Replicas[fullReplica].Status().UpToDate })
			g.SetDiskFault(fullReplica, errno)
			last := publisher.Publication{}
			for rate := range 12 { // more versions than log entries are kept, so that catching up needs a snapshot
				last = g.PublishRate(leader, "gold", 20+rate)
			}
			eventually(t, "the replica not to be up to date", func() bool { return !g.Replicas[fullReplica].Status().UpToDate })
			if s := g.Replicas[fullReplica].Status(); s.Version == last.Version {
				t.Fatalf("the replica applied version %d although its disk fails", s.Version)
			}
			waitForHeartbeat(t, g, fullReplica, false)
			g.SetDiskFault(fullReplica, nil)
			g.WaitReplicated(last)
			eventually(t, "the replica to be up to date again", func() bool { return g.Replicas[fullReplica].Status().UpToDate })
			waitForHeartbeat(t, g, fullReplica, true)
		})
	}
}

// Guards against the end of the process during an election with full disks: the raft library panics if it can't store a
// new term, so the replicas have to retry that write. A replica can be closed during the retries, and the replicas
// elect a leader once their disks have free space.
func TestElectionWaitsForFullDisks(t *testing.T) {
	g := publishertest.NewGroup(t, 3, nil)
	first := g.PublishInitialContent()
	g.WaitReplicated(first)
	formerLeader := g.WaitForLeader()
	others := []int{(formerLeader + 1) % 3, (formerLeader + 2) % 3}
	for _, i := range others {
		g.SetDiskFault(i, syscall.ENOSPC)
	}
	g.Close(formerLeader)
	for _, i := range others {
		eventually(t, "the replica to notice the loss of the leader", func() bool { return !g.Replicas[i].Status().UpToDate })
	}
	g.Close(others[0]) // while it retries a write
	g.SetDiskFault(others[0], nil)
	g.Open(others[0])
	g.SetDiskFault(others[1], nil)
	g.WaitReplicated(first)
	g.WaitReplicated(g.PublishRate(others[1], "gold", 7))
}

// Guards against the loss of acknowledged versions: a change must not be acknowledged if a quorum can't write it to
// disk, and an acknowledged version must survive a restart of all replicas.
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
			t.Errorf("replica %d answered %d %s to a change that can't be stored, want 503 or none", i, status, answer)
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
		t.Errorf("version %d was published after the restart, want one later than %d", again.Version, last.Version)
	}
	g.WaitReplicated(again)
}

// earlierReleases are the releases of which testdata has a replica's directory.
var earlierReleases = []publishertest.EarlierRelease{
	publishertest.FirstRelease,
	{
		Commit:  "6d43e16", // the directory holds a snapshot, and a log with two versions after it
		Dir:     "landed-6d43e16",
		Version: 7,
		Digest:  "82b77c87767e398c03f7d7b79c49797ed3dd7b1be98f99b3c225c12696c081ed",
	},
}

// Guards against incompatible changes of the stored format: a replica has to open the directory that an earlier release
// wrote, find its last version, and publish the next version after it.
func TestOpensFolderOfEarlierRelease(t *testing.T) {
	for _, release := range earlierReleases {
		t.Run(release.Commit, func(t *testing.T) {
			dir := filepath.Join(t.TempDir(), "replica")
			err := os.CopyFS(dir, os.DirFS(filepath.Join("testdata", release.Dir)))
			if err != nil {
				t.Fatal(err)
			}
			g := publishertest.NewGroup(t, 1, func(cfg *config.Publisher) { cfg.Dir = dir })
			eventually(t, "the version stored by the earlier release", func() bool {
				s := g.Replicas[0].Status()
				return release.Matches(s.Version, s.Digest)
			})
			next := g.PublishRate(0, "gold", 13)
			if next.Version != release.Version+1 {
				t.Errorf("version %d follows the stored one, want the number after it", next.Version)
			}
		})
	}
}

// Guards against a replica that gives up after a failed system call. Listen, accept and dial fail at random, from a
// fixed seed, with the errors for a lack of descriptors or memory. The replicas still have to start, commit each change
// and serve followers.
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
		if version, _ := f.nextVersion(); version != 6 {
			t.Errorf("replica %d sends version %d, want the latest", i, version)
		}
	}
	if failed := system.CallCount(socketstest.Accept); failed == 0 {
		t.Error("no accept call was made to fail")
	}
}
