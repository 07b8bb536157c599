package subscriber

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"ravensill/configsync"
	"ravensill/internal/config"
	"ravensill/internal/logging"
	"ravensill/internal/publisher"
	"ravensill/internal/publishertest"
)

var eventually = publishertest.Eventually

// testGateway is a gateway with only a subscriber. It records the versions and the content that were put in force.
type testGateway struct {
	t          *testing.T
	cfg        Config
	subscriber *Subscriber // nil: not running

	mu       sync.Mutex                            // guards the fields below
	inForce  *configsync.Document                  // built only from the changes that apply received
	versions []configsync.Version                  // in the order in which they were put in force
	refuse   func(update *configsync.Update) error // returns the error for an update; nil: no update is refused
}

// newGateway returns a gateway that is not started. Its directory is empty, and it is stopped at the end of the test.
func newGateway(t *testing.T, member int, publishers []netip.AddrPort) *testGateway {
	g := &testGateway{t: t}
	g.cfg = Config{
		Publishers: publishers,
		Dir:        filepath.Join(t.TempDir(), "configuration"),
		Member:     member,
		Name:       fmt.Sprint("g", member),
		Apply:      g.apply,
	}
	t.Cleanup(g.stop)
	return g
}

// start starts the gateway with the version on its disk and a new incarnation.
func (g *testGateway) start() {
	g.t.Helper()
	document, err := Load(g.cfg.Dir)
	if err != nil {
		g.t.Logf("load the saved version: %v", err)
	}
	g.inForce = document.Clone()
	g.cfg.Incarnation++
	g.subscriber = Start(g.cfg, document)
}

// stop stops the gateway if it runs, and keeps its directory.
func (g *testGateway) stop() {
	if g.subscriber != nil {
		g.subscriber.Close()
		g.subscriber = nil
	}
}

// apply is the gateway's Config.Apply. It checks that versions don't decrease and that only the first update is
// complete, and puts the update in force.
func (g *testGateway) apply(u *configsync.Update, complete bool) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.refuse != nil {
		if err := g.refuse(u); err != nil {
			return err
		}
	}
	if u.To < g.inForce.Version() || complete != (g.inForce.Version() == 0) {
		g.t.Errorf("update to version %d with complete=%t while version %d is in force", u.To, complete, g.inForce.Version())
	}
	content := map[configsync.Resource][]byte{}
	for resource, value := range g.inForce.All() {
		content[resource] = value
	}
	for _, change := range u.Changes {
		content[change.Resource] = change.Value
		if change.IsRemoval() {
			delete(content, change.Resource)
		}
	}
	g.inForce = configsync.NewDocument(u.Log)
	g.versions = append(g.versions, u.To)
	return g.inForce.Apply(&configsync.Delta{
		Log:     u.Log,
		To:      u.To,
		Changes: g.inForce.Diff(content),
		Digest:  digestOf(content),
	})
}

// digestOf returns the digest of a content. It gets it from the error that Document.Check returns for a delta without a
// digest.
func digestOf(content map[configsync.Resource][]byte) configsync.Digest {
	d := configsync.NewDocument("any")
	var wrong *configsync.DigestMismatchError
	errors.As(d.Check(&configsync.Delta{Log: "any", To: 1, Changes: d.Diff(content)}), &wrong)
	return wrong.Got
}

// waitInForce waits until the version of a publication is in force at the gateway, and checks the digest of the
// content.
func (g *testGateway) waitInForce(want publisher.Publication) {
	g.t.Helper()
	eventually(g.t, fmt.Sprintf("version %d at gateway %d", want.Version, g.cfg.Member), func() bool {
		return g.subscriber.Status().Version == want.Version
	})
	g.mu.Lock()
	defer g.mu.Unlock()
	if got := g.inForce.Digest(); fmt.Sprintf("%x", got) != want.Digest {
		g.t.Errorf("gateway %d: digest %x in force, %s published", g.cfg.Member, got, want.Digest)
	}
}

// waitSaved waits until the version of a publication is in the gateway's file, and the file is intact.
func (g *testGateway) waitSaved(want publisher.Publication) {
	g.t.Helper()
	eventually(g.t, "the version to be saved to disk", func() bool {
		document, err := Load(g.cfg.Dir)
		return err == nil && document.Version() == want.Version
	})
}

// checkVersionsIncrease checks that each version put in force was later than the one before. With lostDisk, the version
// that follows version 4 may be any, since the gateway then restarted without its disk.
func (g *testGateway) checkVersionsIncrease(lostDisk bool) {
	g.t.Helper()
	for i := 1; i < len(g.versions); i++ {
		restarted := lostDisk && g.versions[i-1] == 4
		if g.versions[i] <= g.versions[i-1] && !restarted {
			g.t.Errorf("gateway %d put versions %d in force, want them to increase", g.cfg.Member, g.versions)
		}
	}
}

// listenAddresses returns the addresses at which the replicas of a group serve gateways.
func listenAddresses(group *publishertest.Group) (addresses []netip.AddrPort) {
	for _, cfg := range group.Configs {
		addresses = append(addresses, cfg.Listen)
	}
	return addresses
}

// Gateways get each latest version in spite of the loss of the leader, of all publishers, and of their own restarts
// with and without their disk. No gateway puts a version in force twice or returns to an earlier one.
func TestSubscriberFollowsThroughRestarts(t *testing.T) {
	group := publishertest.NewGroup(t, 3, nil)
	var gateways []*testGateway
	for i := range 3 {
		g := newGateway(t, i, listenAddresses(group))
		gateways = append(gateways, g)
		g.start()
	}
	waitAllInForce := func(want publisher.Publication) {
		t.Helper()
		for _, g := range gateways {
			g.waitInForce(want)
		}
	}
	waitAllInForce(group.PublishInitialContent())
	waitAllInForce(group.PublishRate(0, "gold", 11))
	leader := group.WaitForLeader()
	group.Close(leader)
	waitAllInForce(group.PublishRate((leader+1)%3, "gold", 12))
	group.Open(leader)
	for i := range group.Replicas {
		group.Close(i)
	}
	gateways[0].waitSaved(publisher.Publication{Version: 3})
	gateways[0].stop()
	gateways[0].start() // while no publisher runs
	if s := gateways[0].subscriber.Status(); s.Version != 3 {
		t.Errorf("the gateway started with version %d, want 3 from its disk", s.Version)
	}
	for i := range group.Replicas {
		group.Open(i)
	}
	waitAllInForce(group.PublishRate(0, "team", 13))
	gateways[1].stop()
	if err := os.RemoveAll(gateways[1].cfg.Dir); err != nil {
		t.Fatal(err)
	}
	last := publisher.Publication{}
	for rate := range 12 { // more versions than the publishers' history holds, so that only a snapshot helps
		last = group.PublishRate(0, "gold", 100+rate)
	}
	gateways[1].start()
	waitAllInForce(last)
	gateways[2].stop()
	gateways[2].start() // from its file, to which deltas were appended
	waitAllInForce(group.PublishRate(0, "gold", 7))
	for _, g := range gateways {
		lostDisk := g.cfg.Member == 1
		g.checkVersionsIncrease(lostDisk)
	}
	eventually(t, "all gateways to acknowledge the last version", func() bool {
		inForce := map[int]bool{}
		for _, p := range group.Replicas {
			for _, f := range p.Status().Followers {
				inForce[f.Member] = inForce[f.Member] || f.Connected && f.InForce == last.Version+1
			}
		}
		return inForce[0] && inForce[1] && inForce[2]
	})
}

// A version that the gateway can't apply is refused with the resource at fault, and the version before stays in force.
// The next version is applied.
func TestSubscriberKeepsVersionAfterRefusal(t *testing.T) {
	group := publishertest.NewGroup(t, 1, nil)
	g := newGateway(t, 0, listenAddresses(group))
	g.refuse = func(u *configsync.Update) error {
		for _, change := range u.Changes {
			if bytes.Contains(change.Value, []byte(`"rate":666`)) {
				return &config.ResourceError{Resource: change.Resource, Key: "rate", Err: errors.New("too much")}
			}
		}
		return nil
	}
	g.start()
	g.waitInForce(group.PublishInitialContent())
	refused := group.PublishRate(0, "gold", 666)
	eventually(t, "the refusal in the publisher's status", func() bool {
		f := group.Replicas[0].Status().Followers[0]
		return f.InForce == 1 && f.RefusedVersion == refused.Version &&
			f.RefusedResource == "plans/gold" && f.RefusalReason == "rate: too much"
	})
	if s := g.subscriber.Status(); s.Version != 1 || s.RefusedVersion != refused.Version {
		t.Errorf("status after the refusal: %+v", s)
	}
	g.waitInForce(group.PublishRate(0, "gold", 6))
	if s := g.subscriber.Status(); s.RefusedVersion != 0 || s.Counters.Refused != 1 {
		t.Errorf("status after the next version: %+v", s)
	}
}

// A gateway whose file is damaged starts with the version in the intact part, gets the latest version from a publisher,
// and saves it to a file that is intact again.
func TestSubscriberRecoversFromDamagedFile(t *testing.T) {
	group := publishertest.NewGroup(t, 1, nil)
	g := newGateway(t, 0, listenAddresses(group))
	g.start()
	g.waitInForce(group.PublishInitialContent())
	latest := group.PublishRate(0, "gold", 11)
	g.waitSaved(latest)
	g.stop()
	file := filepath.Join(g.cfg.Dir, configurationFile)
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct {
		name    string
		text    []byte
		version configsync.Version
	}{
		{"truncated in the delta", text[:len(text)-5], 1},
		{"truncated in the document", text[:40], 0},
		{"altered in the document", bytes.Replace(text, []byte("burst"), []byte("bursts"), 1), 0},
		{"altered in the delta", append(bytes.Clone(text[:len(text)-1]), text[len(text)-1]^1), 1},
		{"empty", nil, 0},
		{"another kind of file", []byte(strings.Repeat("x", 100)), 0},
	} {
		if err := os.WriteFile(file, test.text, 0o600); err != nil {
			t.Fatal(err)
		}
		document, err := Load(g.cfg.Dir)
		var damaged *configsync.CorruptFileError
		if !errors.As(err, &damaged) || document.Version() != test.version {
			t.Errorf("file %s: version %d, error %v", test.name, document.Version(), err)
		}
		g.start()
		g.waitInForce(latest)
		g.waitSaved(latest)
		g.stop()
	}
	if document, err := Load(filepath.Join(g.cfg.Dir, "none")); err != nil || document.Version() != 0 {
		t.Errorf("without a file, Load returned %v, %v, want an empty document", document, err)
	}
}

// While the directory can't be written, the store logs one line in spite of several attempts. When it can be written
// again, the store saves the version and logs that.
func TestStoreLogsUnwritableDiskOnce(t *testing.T) {
	var logOutput bytes.Buffer
	defer logging.SetOutput(&logOutput)()
	document := configsync.NewDocument("log")
	s := newStore(filepath.Join(t.TempDir(), "file"), osFileSystem{})
	if err := os.WriteFile(s.dir, nil, 0o600); err != nil { // a file in place of the directory
		t.Fatal(err)
	}
	for range 3 {
		s.retryAt = time.Time{}
		s.save(document, nil)
	}
	s.save(document, nil) // no attempt: the retry interval is not over
	if got := strings.Count(logOutput.String(), "event=configuration_save_failed"); got != 1 || s.unsavedVersions != 4 {
		t.Errorf("%d log lines about failed saves, want 1; %d unsaved versions, want 4", got, s.unsavedVersions)
	}
	if err := os.Remove(s.dir); err != nil {
		t.Fatal(err)
	}
	s.retryAt = time.Time{}
	s.save(document, nil)
	s.file.Close() // makes the next write fail
	s.save(document, &configsync.Delta{})
	s.retryAt = time.Time{}
	s.save(document, nil)
	defer s.close()
	if got := strings.Count(logOutput.String(), "event=configuration_save_restored"); got != 2 || s.unsavedVersions != 5 {
		t.Errorf("%d lines about restored saves, want 2; %d unsaved versions, want 5\n%s", got, s.unsavedVersions, &logOutput)
	}
	if _, err := Load(s.dir); err != nil {
		t.Error(err)
	}
}

// A publisher that sends malformed bytes is left: the gateway counts them, closes the connection and gets its version
// from another publisher.
func TestSubscriberLeavesMalformedPublisher(t *testing.T) {
	group := publishertest.NewGroup(t, 1, nil)
	first := group.PublishInitialContent()
	for _, text := range [][]byte{
		{0xff, 0xff, 0xff, 0xff},                            // length beyond the limit
		{0, 0, 0, 9, 1},                                     // truncated
		{0, 0, 0, 3, 2, 0xff, 0xff},                         // not CBOR
		configsync.Encode(&configsync.Hello{Protocol: 1}),   // a follower's message
		configsync.Encode(&configsync.Delta{Log: "x"}),      // from version 0 to version 0
		configsync.Encode(&configsync.Refusal{Version: 77}), // a follower's message
	} {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			for {
				conn, err := l.Accept()
				if err != nil {
					return
				}
				conn.Write(text)
				conn.(*net.TCPConn).CloseWrite()
			}
		}()
		bad := l.Addr().(*net.TCPAddr).AddrPort()
		g := newGateway(t, 0, []netip.AddrPort{bad, group.Configs[0].Listen})
		g.start()
		g.waitInForce(first)
		if s := g.subscriber.Status(); s.Counters.MalformedMessages == 0 {
			t.Errorf("bytes %x were not counted as malformed: %+v", text, s)
		}
		g.stop()
		l.Close()
	}
}

// Guards against a false refusal: a gateway that shuts down while it applies a version must neither accept nor refuse
// it.
func TestSubscriberIgnoresVersionAfterErrStopped(t *testing.T) {
	group := publishertest.NewGroup(t, 1, nil)
	g := newGateway(t, 0, listenAddresses(group))
	stopped := make(chan struct{})
	g.refuse = func(*configsync.Update) error {
		close(stopped)
		return ErrStopped
	}
	g.start()
	group.PublishInitialContent()
	<-stopped
	g.stop()
	if f := group.Replicas[0].Status().Followers[0]; f.InForce != 0 || f.RefusedVersion != 0 {
		t.Errorf("the publisher's status of the gateway: %+v, want no version in force and none refused", f)
	}
}
