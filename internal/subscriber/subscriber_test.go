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

// gateway stands for what a gateway makes of updates: it keeps the resources in force.
type gateway struct {
	t   *testing.T
	cfg Config
	sub *Subscriber // nil: not running

	mu       sync.Mutex
	inForce  *configsync.Document // built from the changes alone
	versions []configsync.Version
	refuse   func(u *configsync.Update) error // nil: takes all
}

func newGateway(t *testing.T, member int, publishers []netip.AddrPort) *gateway {
	g := &gateway{t: t}
	g.cfg = Config{Publishers: publishers, Dir: filepath.Join(t.TempDir(), "configuration"), Member: member,
		Name: fmt.Sprint("g", member), Apply: g.apply}
	t.Cleanup(g.stop)
	return g
}

// start begins with what lies on disk.
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

func (g *gateway) apply(u *configsync.Update, whole bool) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.refuse != nil {
		if err := g.refuse(u); err != nil {
			return err
		}
	}
	if u.To < g.inForce.Version() || whole != (g.inForce.Version() == 0) {
		g.t.Errorf("version %d, whole %t, after %d", u.To, whole, g.inForce.Version())
	}
	content := map[configsync.Resource][]byte{}
	for resource, value := range g.inForce.All() {
		content[resource] = value
	}
	for _, change := range u.Changes {
		content[change.Resource] = change.Value
		if change.Removed() {
			delete(content, change.Resource)
		}
	}
	g.inForce = configsync.NewDocument(u.Log)
	g.versions = append(g.versions, u.To)
	return g.inForce.Apply(&configsync.Delta{Log: u.Log, To: u.To, Changes: g.inForce.Diff(content), Digest: digestOf(content)})
}

// digestOf gives the digest of a content by having a document of it refused.
func digestOf(content map[configsync.Resource][]byte) configsync.Digest {
	d := configsync.NewDocument("any")
	var wrong *configsync.DigestError
	errors.As(d.Check(&configsync.Delta{Log: "any", To: 1, Changes: d.Diff(content)}), &wrong)
	return wrong.Got
}

// has waits until a publication is in force at the gateway, content and all.
func (g *gateway) has(want publisher.Publication) {
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

// saved waits until a publication lies on the gateway's disk.
func (g *gateway) saved(want publisher.Publication) {
	g.t.Helper()
	eventually(g.t, "the version on disk", func() bool {
		document, err := Load(g.cfg.Dir)
		return err == nil && document.Version() == want.Version
	})
}

func listenAddresses(group *publishertest.Group) (addresses []netip.AddrPort) {
	for _, cfg := range group.Configs {
		addresses = append(addresses, cfg.Listen)
	}
	return addresses
}

// Gateways follow through the loss of the leader and of all publishers, and after their own restarts with and without their
// disk; no version comes twice or backwards.
func TestFollow(t *testing.T) {
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
			g.has(want)
		}
	}
	all(group.Put())
	all(group.SetRate(0, "gold", 11))
	leader := group.Leader()
	group.Close(leader)
	all(group.SetRate((leader+1)%3, "gold", 12))
	group.Open(leader)
	for i := range group.Replicas {
		group.Close(i)
	}
	gateways[0].saved(publisher.Publication{Version: 3})
	gateways[0].stop()
	gateways[0].start() // with no publisher up
	if s := gateways[0].sub.Status(); s.Version != 3 {
		t.Errorf("started with version %d", s.Version)
	}
	for i := range group.Replicas {
		group.Open(i)
	}
	all(group.SetRate(0, "team", 13))
	gateways[1].stop()
	if err := os.RemoveAll(gateways[1].cfg.Dir); err != nil {
		t.Fatal(err)
	}
	last := publisher.Publication{}
	for rate := range 12 { // more than the publishers' history holds
		last = group.SetRate(0, "gold", 100+rate)
	}
	gateways[1].start()
	all(last)
	gateways[2].stop()
	gateways[2].start() // with its disk, to which deltas were appended
	all(group.SetRate(0, "gold", 7))
	for _, g := range gateways {
		for i, version := range g.versions {
			restarted := g.cfg.Member == 1 && i > 0 && g.versions[i-1] == 4
			if i > 0 && version <= g.versions[i-1] && !restarted {
				t.Errorf("gateway %d: versions %d", g.cfg.Member, g.versions)
			}
		}
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

// A version that the gateway can't take is refused by its resource; the one before stays, and the next is taken.
func TestRefusedVersion(t *testing.T) {
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
	g.has(group.Put())
	refused := group.SetRate(0, "gold", 666)
	eventually(t, "the refusal", func() bool {
		f := group.Replicas[0].Status().Followers[0]
		return f.InForce == 1 && f.Refused == refused.Version && f.Resource == "plans/gold" && f.Reason == "rate: too much"
	})
	if s := g.sub.Status(); s.Version != 1 || s.Refused != refused.Version {
		t.Errorf("%+v", s)
	}
	g.has(group.SetRate(0, "gold", 6))
	if s := g.sub.Status(); s.Refused != 0 || s.Counters.Refused != 1 {
		t.Errorf("%+v", s)
	}
}

// A torn or altered file gives what is sound of it, and the gateway gets the rest from the publishers.
func TestDamagedFile(t *testing.T) {
	group := publishertest.NewGroup(t, 1, nil)
	g := newGateway(t, 0, listenAddresses(group))
	g.start()
	g.has(group.Put())
	whole := group.SetRate(0, "gold", 11)
	g.saved(whole)
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
		{"torn in the delta", text[:len(text)-5], 1},
		{"torn in the document", text[:40], 0},
		{"altered in the document", bytes.Replace(text, []byte("burst"), []byte("bursts"), 1), 0},
		{"altered in the delta", append(bytes.Clone(text[:len(text)-1]), text[len(text)-1]^1), 1},
		{"empty", nil, 0},
		{"not such a file", []byte(strings.Repeat("x", 100)), 0},
	} {
		if err := os.WriteFile(file, x.text, 0o600); err != nil {
			t.Fatal(err)
		}
		document, err := Load(g.cfg.Dir)
		var damaged *configsync.FileError
		if !errors.As(err, &damaged) || document.Version() != x.version {
			t.Errorf("%s: version %d, %v", x.name, document.Version(), err)
		}
		g.start()
		g.has(whole)
		g.saved(whole)
		g.stop()
	}
	if document, err := Load(filepath.Join(g.cfg.Dir, "none")); err != nil || document.Version() != 0 {
		t.Errorf("no file: %v, %v", document, err)
	}
}

// A disk that can't be written is told once, the gateway goes on, and saves again when it can.
func TestUnwritableDisk(t *testing.T) {
	var lines bytes.Buffer
	defer logging.SetOutput(&lines)()
	document := configsync.NewDocument("log")
	s := newStore(filepath.Join(t.TempDir(), "file"), diskFiles{})
	if err := os.WriteFile(s.dir, nil, 0o600); err != nil { // a file where the folder should be
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

// What a publisher sends that makes no sense is counted, the connection ended, and another publisher followed.
func TestMalformedPublisher(t *testing.T) {
	group := publishertest.NewGroup(t, 1, nil)
	first := group.Put()
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
		g.has(first)
		if s := g.sub.Status(); s.Counters.Malformed == 0 {
			t.Errorf("%x: %+v", text, s)
		}
		g.stop()
		l.Close()
	}
}

// A gateway that ends while a version is being put in force neither takes nor refuses it.
func TestStopped(t *testing.T) {
	group := publishertest.NewGroup(t, 1, nil)
	g := newGateway(t, 0, listenAddresses(group))
	stopped := make(chan struct{})
	g.refuse = func(*configsync.Update) error { close(stopped); return ErrStopped }
	g.start()
	group.Put()
	<-stopped
	g.stop()
	if f := group.Replicas[0].Status().Followers[0]; f.InForce != 0 || f.Refused != 0 {
		t.Errorf("%+v", f)
	}
}
