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

// gateway is a test gateway that records the versions and the content in force.
type gateway struct {
	t   *testing.T
	cfg Config
	sub *Subscriber // nil: not running

	mu       sync.Mutex
	inForce  *configsync.Document // built from the changes alone
	versions []configsync.Version
	refuse   func(update *configsync.Update) error // nil: applies all updates
}

func newGateway(t *testing.T, member int, publishers []netip.AddrPort) *gateway {
	g := &gateway{t: t}
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

// start starts the gateway with the version on its disk.
func (g *gateway) start() {
	g.t.Helper()
	document, err := Load(g.cfg.Dir)
	if err != nil {
		g.t.Logf("the file: %v", err)
	}
	g.inForce = document.Clone()
	g.cfg.Incarnation++
	g.sub = Start(g.cfg, document)
}

func (g *gateway) stop() {
	if g.sub != nil {
		g.sub.Close()
		g.sub = nil
	}
}

// apply checks that versions increase and puts an update in force.
func (g *gateway) apply(u *configsync.Update, complete bool) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.refuse != nil {
		if err := g.refuse(u); err != nil {
			return err
		}
	}
	if u.To < g.inForce.Version() || complete != (g.inForce.Version() == 0) {
		g.t.Errorf("version %d, complete %t, after %d", u.To, complete, g.inForce.Version())
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

// digestOf returns the digest of a content, which it takes from the error for a delta with a wrong one.
func digestOf(content map[configsync.Resource][]byte) configsync.Digest {
	d := configsync.NewDocument("any")
	var wrong *configsync.DigestMismatchError
	errors.As(d.Check(&configsync.Delta{Log: "any", To: 1, Changes: d.Diff(content)}), &wrong)
	return wrong.Got
}

// waitInForce waits until a publication is in force at the gateway, and checks its content.
func (g *gateway) waitInForce(want publisher.Publication) {
	g.t.Helper()
	eventually(g.t, fmt.Sprintf("version %d at gateway %d", want.Version, g.cfg.Member), func() bool {
		return g.sub.Status().Version == want.Version
	})
	g.mu.Lock()
	defer g.mu.Unlock()
	if got := g.inForce.Digest(); fmt.Sprintf("%x", got) != want.Digest {
		g.t.Errorf("gateway %d: digest %x in force, %s published", g.cfg.Member, got, want.Digest)
	}
}

// waitSaved waits until a publication is on the gateway's disk.
func (g *gateway) waitSaved(want publisher.Publication) {
	g.t.Helper()
	eventually(g.t, "the version on disk", func() bool {
		document, err := Load(g.cfg.Dir)
		return err == nil && document.Version() == want.Version
	})
}

// checkVersionsIncrease checks that each version put in force was later than the one before, except after version 4
// at a gateway that then lost its disk.
func (g *gateway) checkVersionsIncrease(lostDisk bool) {
	g.t.Helper()
	for i := 1; i < len(g.versions); i++ {
		restarted := lostDisk && g.versions[i-1] == 4
		if g.versions[i] <= g.versions[i-1] && !restarted {
			g.t.Errorf("gateway %d: versions %d", g.cfg.Member, g.versions)
		}
	}
}

func listenAddresses(group *publishertest.Group) (addresses []netip.AddrPort) {
	for _, cfg := range group.Configs {
		addresses = append(addresses, cfg.Listen)
	}
	return addresses
}

// Gateways follow through the loss of the leader and of all publishers, and through their own restarts with and
// without their disk. No version comes twice or decreases.
func TestSubscriberFollowsThroughRestarts(t *testing.T) {
	group := publishertest.NewGroup(t, 3, nil)
	var gateways []*gateway
	for i := range 3 {
		g := newGateway(t, i, listenAddresses(group))
		gateways = append(gateways, g)
		g.start()
	}
	all := func(want publisher.Publication) {
		t.Helper()
		for _, g := range gateways {
			g.waitInForce(want)
		}
	}
	all(group.PublishInitialContent())
	all(group.PublishRate(0, "gold", 11))
	leader := group.WaitForLeader()
	group.Close(leader)
	all(group.PublishRate((leader+1)%3, "gold", 12))
	group.Open(leader)
	for i := range group.Replicas {
		group.Close(i)
	}
	gateways[0].waitSaved(publisher.Publication{Version: 3})
	gateways[0].stop()
	gateways[0].start() // with no publisher up
	if s := gateways[0].sub.Status(); s.Version != 3 {
		t.Errorf("started with version %d", s.Version)
	}
	for i := range group.Replicas {
		group.Open(i)
	}
	all(group.PublishRate(0, "team", 13))
	gateways[1].stop()
	if err := os.RemoveAll(gateways[1].cfg.Dir); err != nil {
		t.Fatal(err)
	}
	last := publisher.Publication{}
	for rate := range 12 { // more than the publishers' history holds
		last = group.PublishRate(0, "gold", 100+rate)
	}
	gateways[1].start()
	all(last)
	gateways[2].stop()
	gateways[2].start() // with its disk, to which deltas were appended
	all(group.PublishRate(0, "gold", 7))
	for _, g := range gateways {
		lostDisk := g.cfg.Member == 1
		g.checkVersionsIncrease(lostDisk)
	}
	eventually(t, "all acknowledgements", func() bool {
		inForce := map[int]bool{}
		for _, p := range group.Replicas {
			for _, f := range p.Status().Followers {
				inForce[f.Member] = inForce[f.Member] || f.Connected && f.InForce == last.Version+1
			}
		}
		return inForce[0] && inForce[1] && inForce[2]
	})
}

// A version that the gateway can't apply is refused with the resource at fault, and the next one is applied.
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
	eventually(t, "the refusal", func() bool {
		f := group.Replicas[0].Status().Followers[0]
		return f.InForce == 1 && f.RefusedVersion == refused.Version && f.RefusedResource == "plans/gold" && f.RefusalReason == "rate: too much"
	})
	if s := g.sub.Status(); s.Version != 1 || s.RefusedVersion != refused.Version {
		t.Errorf("%+v", s)
	}
	g.waitInForce(group.PublishRate(0, "gold", 6))
	if s := g.sub.Status(); s.RefusedVersion != 0 || s.Counters.Refused != 1 {
		t.Errorf("%+v", s)
	}
}

// A gateway with a damaged file starts from the intact part and gets the rest from the publishers.
func TestSubscriberRecoversFromDamagedFile(t *testing.T) {
	group := publishertest.NewGroup(t, 1, nil)
	g := newGateway(t, 0, listenAddresses(group))
	g.start()
	g.waitInForce(group.PublishInitialContent())
	latest := group.PublishRate(0, "gold", 11)
	g.waitSaved(latest)
	g.stop()
	file := filepath.Join(g.cfg.Dir, fileName)
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	for _, x := range []struct {
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
		if err := os.WriteFile(file, x.text, 0o600); err != nil {
			t.Fatal(err)
		}
		document, err := Load(g.cfg.Dir)
		var damaged *configsync.CorruptFileError
		if !errors.As(err, &damaged) || document.Version() != x.version {
			t.Errorf("%s: version %d, %v", x.name, document.Version(), err)
		}
		g.start()
		g.waitInForce(latest)
		g.waitSaved(latest)
		g.stop()
	}
	if document, err := Load(filepath.Join(g.cfg.Dir, "none")); err != nil || document.Version() != 0 {
		t.Errorf("no file: %v, %v", document, err)
	}
}

// A disk that can't be written is logged once, and saving resumes when it can.
func TestStoreLogsUnwritableDiskOnce(t *testing.T) {
	var lines bytes.Buffer
	defer logging.SetOutput(&lines)()
	document := configsync.NewDocument("log")
	s := newStore(filepath.Join(t.TempDir(), "file"), diskFiles{})
	if err := os.WriteFile(s.dir, nil, 0o600); err != nil { // a file in place of the directory
		t.Fatal(err)
	}
	for range 3 {
		s.retryAt = time.Time{}
		s.save(document, nil)
	}
	s.save(document, nil) // not tried again so soon
	if got := strings.Count(lines.String(), "event=configuration_save_failed"); got != 1 || s.unsaved != 4 {
		t.Errorf("%d lines on %d failures", got, s.unsaved)
	}
	if err := os.Remove(s.dir); err != nil {
		t.Fatal(err)
	}
	s.retryAt = time.Time{}
	s.save(document, nil)
	s.file.Close() // a write to it fails
	s.save(document, &configsync.Delta{})
	s.retryAt = time.Time{}
	s.save(document, nil)
	defer s.close()
	if got := strings.Count(lines.String(), "event=configuration_save_restored"); got != 2 || s.unsaved != 5 {
		t.Errorf("%d times saved again, %d unsaved\n%s", got, s.unsaved, &lines)
	}
	if _, err := Load(s.dir); err != nil {
		t.Error(err)
	}
}

// A malformed message is counted and ends the connection, and the gateway follows another publisher.
func TestSubscriberLeavesMalformedPublisher(t *testing.T) {
	group := publishertest.NewGroup(t, 1, nil)
	first := group.PublishInitialContent()
	for _, text := range [][]byte{
		{0xff, 0xff, 0xff, 0xff},                            // oversized
		{0, 0, 0, 9, 1},                                     // cut
		{0, 0, 0, 3, 2, 0xff, 0xff},                         // not CBOR
		configsync.Encode(&configsync.Hello{Protocol: 1}),   // a follower's
		configsync.Encode(&configsync.Delta{Log: "x"}),      // leads nowhere
		configsync.Encode(&configsync.Refusal{Version: 77}), // a follower's
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
		if s := g.sub.Status(); s.Counters.MalformedMessages == 0 {
			t.Errorf("%x: %+v", text, s)
		}
		g.stop()
		l.Close()
	}
}

// A gateway that shuts down while a version is being applied neither accepts nor refuses it.
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
		t.Errorf("%+v", f)
	}
}
