// Package publishertest runs groups of publisher replicas in the process of a test. The replicas listen on loopback
// addresses and write to temporary directories.
package publishertest

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"ravensill/configsync"
	"ravensill/internal/config"
	"ravensill/internal/publisher"
	"ravensill/internal/sockets"
)

const (
	waitTimeout  = 60 * time.Second     // time after which Eventually fails the test
	pollInterval = 5 * time.Millisecond // time between two evaluations of a condition
)

// InitialContent is a small configuration as a body of PUT /v1/configuration: two quota plans, a request class and
// limits, which are four resources.
const InitialContent = `{"plans":[{"name":"gold","rate":10,"burst":5},{"name":"team","rate":5,"burst":5}],
	"profiles":[{"name":"lookup","target_us":1000,"hard_limit_us":2000}],"limits":{"max_attempts":2}}`

// EarlierRelease describes data that an earlier release of the program wrote. It is kept in testdata, so that tests can
// check that the present program reads it.
type EarlierRelease struct {
	Commit  string             // commit from which that release was built
	Dir     string             // directory within testdata of the package that reads the data
	Version configsync.Version // the last version stored
	Digest  string             // digest of that version's content, in hexadecimal
}

// FirstRelease is the earliest release whose data is kept: that of a publisher and that of a subscriber, which have the
// same last version.
var FirstRelease = EarlierRelease{
	Commit:  "067f03a",
	Dir:     "landed",
	Version: 3,
	Digest:  "52e2ee77df49aff9779c16b207fb40fdf9a1399fb4fa9f33657cc4aefd6fc078",
}

// Matches reports whether a version and its digest, as the present program read them, are those that the release stored
// last.
func (r EarlierRelease) Matches(version configsync.Version, digest string) bool {
	return version == r.Version && digest == r.Digest
}

// Eventually polls a condition that other goroutines make true. It ends the test if the condition is not true within
// waitTimeout; what completes the message "timed out waiting for".
func Eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting for %s", what)
		}
		time.Sleep(pollInterval)
	}
}

// freeAddress returns a loopback address with a free port. The port is free again when freeAddress returns, so the host
// is chosen at random from 127.64.0.0/10: another process is not likely to take the same address meanwhile.
func freeAddress(t *testing.T) netip.AddrPort {
	host := netip.AddrFrom4([4]byte{127, byte(64 + rand.IntN(64)), byte(rand.IntN(256)), byte(1 + rand.IntN(254))})
	l, err := net.Listen("tcp4", netip.AddrPortFrom(host, 0).String())
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).AddrPort()
}

// Group is a group of publisher replicas on loopback addresses.
type Group struct {
	Configs  []*config.Publisher    // by replica index
	Replicas []*publisher.Publisher // by replica index; nil: the replica is closed

	t          *testing.T
	system     sockets.System
	diskFaults []atomic.Pointer[error] // by replica index: the error of writes to disk; nil: none
}

// SetDiskFault makes all writes of replica i to its log and state on disk fail with err. They succeed again after a
// call with nil.
func (g *Group) SetDiskFault(i int, err error) {
	if err == nil {
		g.diskFaults[i].Store(nil)
		return
	}
	g.diskFaults[i].Store(&err)
}

// diskFault returns the error for the next write to disk of replica i, or nil if the write succeeds.
func (g *Group) diskFault(i int) error {
	if fault := g.diskFaults[i].Load(); fault != nil {
		return *fault
	}
	return nil
}

// NewGroup starts a group of replicas, each with its own temporary directory. If configure is not nil, it is called for
// the configuration of each replica before the start, and may change it. The replicas are closed at the end of the
// test.
func NewGroup(t *testing.T, replicas int, configure func(*config.Publisher)) *Group {
	return NewGroupWithSockets(t, sockets.Kernel{}, replicas, configure)
}

// NewGroupWithSockets is NewGroup with replicas that open their sockets by system.
func NewGroupWithSockets(t *testing.T, system sockets.System, replicas int, configure func(*config.Publisher)) *Group {
	g := &Group{
		Replicas:   make([]*publisher.Publisher, replicas),
		t:          t,
		system:     system,
		diskFaults: make([]atomic.Pointer[error], replicas),
	}
	var raftAddresses []netip.AddrPort
	var adminAddresses []netip.AddrPort
	for range replicas {
		raftAddresses = append(raftAddresses, freeAddress(t))
		adminAddresses = append(adminAddresses, freeAddress(t))
	}
	for i := range replicas {
		cfg := &config.Publisher{
			Index:             i,
			Listen:            freeAddress(t),
			RaftListen:        raftAddresses[i],
			RaftAddresses:     raftAddresses,
			AdminListen:       adminAddresses[i],
			AdminAddresses:    adminAddresses,
			Dir:               t.TempDir(),
			Key:               []byte("0123456789abcdef"),
			ElectionTimeout:   200 * time.Millisecond,
			MaxFollowers:      100,
			HistoryLimits:     configsync.HistoryLimits{Deltas: 8, Bytes: 1 << 20},
			SnapshotThreshold: 4,
			TrailingEntries:   2,
		}
		if configure != nil {
			configure(cfg)
		}
		g.Configs = append(g.Configs, cfg)
	}
	t.Cleanup(func() {
		for i := range g.Replicas {
			g.Close(i)
		}
	})
	for i := range g.Replicas {
		g.Open(i)
	}
	return g
}

// Open starts replica i, with the data in its directory if it ran before. It ends the test if the replica fails to
// start.
func (g *Group) Open(i int) {
	g.t.Helper()
	var err error
	g.Replicas[i], err = publisher.StartWithOptions(g.Configs[i], publisher.Options{
		Sockets:   g.system,
		DiskFault: func() error { return g.diskFault(i) },
	})
	if err != nil {
		g.t.Fatal(err)
	}
}

// Close closes replica i and keeps its directory. It does nothing if the replica is closed already.
func (g *Group) Close(i int) {
	if g.Replicas[i] != nil {
		g.Replicas[i].Close()
		g.Replicas[i] = nil
	}
}

// Request sends an HTTP request to replica i. An empty ifMatch means no precondition. If there is no response, status
// is 0 and answer is the text of the error.
func (g *Group) Request(i int, method, path, body, ifMatch string) (status int, answer string) {
	request, err := http.NewRequest(method, "http://"+g.Configs[i].AdminListen.String()+path, strings.NewReader(body))
	if err != nil {
		g.t.Error(err)
		return 0, ""
	}
	request.Header.Set("If-Match", ifMatch)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(text)
}

// Publish sends a request for a change to replica i, and repeats it while the answer is 503, as it is without a leader.
// Any other failure is an error of the test.
func (g *Group) Publish(i int, method, path, body string) (p publisher.Publication) {
	g.t.Helper()
	Eventually(g.t, "the change to be published", func() bool {
		status, answer := g.Request(i, method, path, body, "")
		if status != http.StatusOK && status != http.StatusServiceUnavailable {
			g.t.Errorf("%s %s was answered with %d %s, want 200", method, body, status, answer)
			return true
		}
		return status == http.StatusOK && json.Unmarshal([]byte(answer), &p) == nil
	})
	return p
}

// PublishInitialContent publishes InitialContent at replica 0. It is the first version of a new group.
func (g *Group) PublishInitialContent() publisher.Publication {
	return g.Publish(0, "PUT", "/v1/configuration", InitialContent)
}

// PublishRate publishes a plan with a rate, in units a second, and a burst of 5 at replica i. It adds the plan if there
// is none of that name.
func (g *Group) PublishRate(i int, plan string, rate int) publisher.Publication {
	g.t.Helper()
	body := fmt.Sprintf(`{"set":{"plans/%s":{"name":%q,"rate":%d,"burst":5}}}`, plan, plan, rate)
	return g.Publish(i, "PATCH", "/v1/configuration", body)
}

// WaitForLeader waits until a replica leads and returns its index.
func (g *Group) WaitForLeader() (leader int) {
	g.t.Helper()
	Eventually(g.t, "a leader", func() bool {
		for i, p := range g.Replicas {
			if p != nil && p.Status().IsLeader {
				leader = i
				return true
			}
		}
		return false
	})
	return leader
}

// WaitReplicated waits until all running replicas have applied a publication as their latest version.
func (g *Group) WaitReplicated(want publisher.Publication) {
	g.t.Helper()
	for i, p := range g.Replicas {
		if p == nil {
			continue
		}
		Eventually(g.t, fmt.Sprintf("version %d at replica %d", want.Version, i), func() bool {
			s := p.Status()
			return s.Version == want.Version && s.Digest == want.Digest && s.Log == want.Log
		})
	}
}
