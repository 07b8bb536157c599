// Package publishertest runs groups of publishers on loopback addresses for tests.
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
	waitTimeout  = 60 * time.Second
	pollInterval = 5 * time.Millisecond
)

// InitialContent is a small content: two quota plans, a request class and limits.
const InitialContent = `{"plans":[{"name":"gold","rate":10,"burst":5},{"name":"team","rate":5,"burst":5}],
	"profiles":[{"name":"lookup","target_us":1000,"hard_limit_us":2000}],"limits":{"max_attempts":2}}`

// EarlierRelease is what the program of an earlier commit stored in a folder of testdata.
type EarlierRelease struct {
	Commit  string
	Dir     string
	Version configsync.Version // the last one
	Digest  string             // of that version's content
}

// FirstRelease is the first commit whose stored data is kept, of publishers and of subscribers.
var FirstRelease = EarlierRelease{
	Commit:  "067f03a",
	Dir:     "landed",
	Version: 3,
	Digest:  "52e2ee77df49aff9779c16b207fb40fdf9a1399fb4fa9f33657cc4aefd6fc078",
}

// Matches reports whether a version that was read, with its digest, is the one that the release stored last.
func (r EarlierRelease) Matches(version configsync.Version, digest string) bool {
	return version == r.Version && digest == r.Digest
}

// Eventually waits until a condition is true, which other goroutines bring about.
func Eventually(t *testing.T, what string, reached func() bool) {
	t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !reached() {
		if time.Now().After(deadline) {
			t.Fatalf("waited for %s", what)
		}
		time.Sleep(pollInterval)
	}
}

// freeAddress returns a loopback address with a free port. Its host is random, so that no other process uses the port.
func freeAddress(t *testing.T) netip.AddrPort {
	host := netip.AddrFrom4([4]byte{127, byte(64 + rand.IntN(64)), byte(rand.IntN(256)), byte(1 + rand.IntN(254))})
	l, err := net.Listen("tcp4", netip.AddrPortFrom(host, 0).String())
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).AddrPort()
}

// Group is a group of replicas on loopback.
type Group struct {
	Configs  []*config.Publisher
	Replicas []*publisher.Publisher // nil: closed

	t      *testing.T
	system sockets.System
	faults []atomic.Pointer[error] // of the disks, by replica; nil: none
}

// SetDiskFault makes all writes to the log and the state of a replica fail with an error, or none if that is nil.
func (g *Group) SetDiskFault(i int, err error) {
	if err == nil {
		g.faults[i].Store(nil)
		return
	}
	g.faults[i].Store(&err)
}

// diskFault returns the error of a replica's next write, nil for none.
func (g *Group) diskFault(i int) error {
	if fault := g.faults[i].Load(); fault != nil {
		return *fault
	}
	return nil
}

// NewGroup starts replicas, each with its own directory; change may alter their configurations. They are closed at
// the end of the test.
func NewGroup(t *testing.T, replicas int, change func(*config.Publisher)) *Group {
	return NewGroupWithSockets(t, sockets.Kernel{}, replicas, change)
}

// NewGroupWithSockets is NewGroup with replicas whose sockets are those of system.
func NewGroupWithSockets(t *testing.T, system sockets.System, replicas int, change func(*config.Publisher)) *Group {
	g := &Group{
		Replicas: make([]*publisher.Publisher, replicas),
		t:        t,
		system:   system,
		faults:   make([]atomic.Pointer[error], replicas),
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
		if change != nil {
			change(cfg)
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

// Open starts a replica, also again with the data on its disk.
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

// Close closes a replica. It does nothing if that is closed already.
func (g *Group) Close(i int) {
	if g.Replicas[i] != nil {
		g.Replicas[i].Close()
		g.Replicas[i] = nil
	}
}

// Request sends an HTTP request to a replica. status is 0 if there is no answer.
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

// Publish makes a change at a replica, with retries while the group has no leader.
func (g *Group) Publish(i int, method, path, body string) (p publisher.Publication) {
	g.t.Helper()
	Eventually(g.t, "a publication", func() bool {
		status, answer := g.Request(i, method, path, body, "")
		if status != http.StatusOK && status != http.StatusServiceUnavailable {
			g.t.Errorf("%s %s: %d %s", method, body, status, answer)
			return true
		}
		return status == http.StatusOK && json.Unmarshal([]byte(answer), &p) == nil
	})
	return p
}

// PublishInitialContent publishes FirstContent.
func (g *Group) PublishInitialContent() publisher.Publication {
	return g.Publish(0, "PUT", "/v1/configuration", InitialContent)
}

// PublishRate publishes a new rate of a plan.
func (g *Group) PublishRate(i int, plan string, rate int) publisher.Publication {
	g.t.Helper()
	body := fmt.Sprintf(`{"set":{"plans/%s":{"name":%q,"rate":%d,"burst":5}}}`, plan, plan, rate)
	return g.Publish(i, "PATCH", "/v1/configuration", body)
}

// WaitForLeader returns the index of the leading replica. It waits until there is one.
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

// WaitReplicated waits until all running replicas have a version.
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
