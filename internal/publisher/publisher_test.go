package publisher_test

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"ravensill/configsync"
	"ravensill/internal/config"
	"ravensill/internal/frames"
	"ravensill/internal/publisher"
	"ravensill/internal/publishertest"
)

const waitTimeout = 60 * time.Second

var eventually = publishertest.Eventually

// A change is taken at any replica, refused by its key, made only for the version that it names, and taken back by a new
// version.
func TestPublish(t *testing.T) {
	g := publishertest.NewGroup(t, 3, nil)
	first := g.Put()
	if first.Version != 1 || first.Changes != 4 {
		t.Errorf("%+v", first)
	}
	g.Agreed(first)
	for i := range g.Replicas {
		again := g.Publish(i, "PUT", "/v1/configuration", strings.ReplaceAll(publishertest.FirstContent, ":", ": "))
		if again.Version != 1 || again.Changes != 0 || again.Digest != first.Digest {
			t.Errorf("the same content: %+v", again)
		}
	}
	leader := g.Leader()
	follower := (leader + 1) % 3
	for _, x := range []struct{ method, path, body, ifMatch, want string }{
		{"PUT", "/v1/configuration", `{"plan":[]}`, "", `400 {"error":"json: unknown field \"plan\""}`},
		{"PUT", "/v1/configuration", `{`, "", `400 {"error":"unexpected EOF"}`},
		{"PUT", "/v1/configuration", `{}`, "", `400 {"error":"plans/: the last quota plan can't be removed"}`},
		{"PUT", "/v1/configuration", `{"plans":[{"rate":1}]}`, "", `400 {"error":"plans.0.name: missing"}`},
		{"PUT", "/v1/configuration", `{"plans":[{"name":"a"},{"name":"a"}]}`, "", `400 {"error":"plans.1.name: \"a\" is given twice"}`},
		{"PUT", "/v1/configuration", `{"profiles":[7]}`, "", `400 {"error":"profiles.0: not an object with a name"}`},
		{"PATCH", "/v1/configuration", `{"set":{"plans/gold":{"name":"gold","rates":1}}}`, "", `400 {"error":"plans/gold: rates: unknown key"}`},
		{"PATCH", "/v1/configuration", `{"set":{"plan/gold":{}}}`, "", `400 {"error":"\"plan/gold\": unknown kind of resource"}`},
		{"PATCH", "/v1/configuration", `{"set":{"limits":{}},"remove":["limits"]}`, "", `400 {"error":"remove.0: \"limits\" is given twice"}`},
		{"PATCH", "/v1/configuration", `{"remove":["limits"]}`, `"7"`, `412 {"error":"based on version 7, the current one is 1"}`},
		{"PATCH", "/v1/configuration", `{"remove":["limits"]}`, `x`, `400 {"error":"If-Match: not a version"}`},
		{"POST", "/v1/rollback", `{}`, "", `400 {"error":"to: missing"}`},
		{"POST", "/v1/rollback", `{"to":9}`, "", `410 {"error":"to: version 9 is not in the history, which holds 0 to 1"}`},
	} {
		status, answer := g.Request(follower, x.method, x.path, x.body, x.ifMatch)
		if got := fmt.Sprintf("%d %s", status, strings.TrimSpace(answer)); got != x.want {
			t.Errorf("%s %s: %s, want %s", x.method, x.body, got, x.want)
		}
	}
	g.Agreed(first)
	second := g.SetRate(follower, "gold", 99)
	if status, answer := g.Request(follower, "PATCH", "/v1/configuration", `{"remove":["limits"]}`, `"1"`); status != http.StatusPreconditionFailed {
		t.Errorf("a change for version 1: %d %s", status, answer)
	}
	back := g.Publish(follower, "POST", "/v1/rollback", `{"to":1}`)
	if second.Version != 2 || back.Version != 3 || back.Digest != first.Digest {
		t.Errorf("%+v, then back %+v", second, back)
	}
	g.Agreed(back)
	if status, answer := g.Request(follower, "GET", "/v1/configuration", "", ""); status != http.StatusOK ||
		!strings.Contains(answer, `"plans/gold":{"name":"gold","rate":10,"burst":5}`) {
		t.Errorf("%d %s", status, answer)
	}
}

// Publications at all replicas at once are put in an order, each once.
func TestConflictingPublications(t *testing.T) {
	g := publishertest.NewGroup(t, 3, nil)
	g.Put()
	const each = 5
	var publishing sync.WaitGroup
	for i := range g.Replicas {
		publishing.Go(func() {
			for k := range each {
				g.SetRate(i, fmt.Sprintf("p%d-%d", i, k), 7)
			}
		})
	}
	publishing.Wait()
	status := g.Replicas[0].Status()
	eventually(t, "all versions", func() bool { status = g.Replicas[0].Status(); return status.Version == 1+3*each })
	g.Agreed(publisher.Publication{Log: status.Log, Version: status.Version, Digest: status.Digest})
}

// The group goes on without its leader, which catches up with an old log when it is back; a minority publishes nothing and
// says that it is not current.
func TestReplicasLost(t *testing.T) {
	g := publishertest.NewGroup(t, 3, nil)
	g.Put()
	lost := g.Leader()
	g.Close(lost)
	last := publisher.Publication{}
	for rate := range 12 { // beyond the log entries kept, so that a snapshot is wanted
		last = g.SetRate((lost+1)%3, "gold", 100+rate)
	}
	g.Open(lost)
	g.Agreed(last)
	leader := g.Leader()
	minority := (leader + 1) % 3
	f := follow(t, g, minority, &configsync.Hello{Protocol: configsync.Protocol})
	eventually(t, "a current replica", func() bool { return f.heartbeat().Current })
	g.Close(leader)
	g.Close(3 - leader - minority)
	eventually(t, "the heartbeats to tell of the lost quorum", func() bool { return !f.heartbeat().Current })
	if status, answer := g.Request(minority, "PATCH", "/v1/configuration", `{"remove":["limits"]}`, ""); status != http.StatusServiceUnavailable {
		t.Errorf("a minority: %d %s", status, answer)
	}
	g.Open(leader)
	g.Agreed(g.SetRate(minority, "gold", 7))
}

// A replica that starts holds an earlier state until it hears from a leader how far its log was agreed on. It sends no
// version of that, nor does it send away who holds a later one.
func TestReplay(t *testing.T) {
	g := publishertest.NewGroup(t, 3, nil)
	g.Agreed(g.Put())
	err := g.Replicas[0].TakeSnapshot()
	if err != nil {
		t.Fatal(err)
	}
	last := g.SetRate(0, "gold", 99)
	g.Agreed(last)
	for i := range g.Replicas {
		g.Close(i)
	}
	g.Open(0)
	if version := g.Replicas[0].Status().Version; version != 1 {
		t.Fatalf("the snapshot holds version %d", version)
	}
	empty := follow(t, g, 0, hello(1))
	later := hello(2)
	later.Log = last.Log
	later.InForce = last.Version
	ahead := follow(t, g, 0, later)
	for range 2 {
		for _, f := range []*follower{empty, ahead} {
			message := f.next()
			heartbeat, ok := message.(*configsync.Heartbeat)
			if !ok || heartbeat.Latest != 0 || heartbeat.Current {
				t.Fatalf("%T %+v", message, message)
			}
		}
	}
	g.Open(1)
	g.Open(2)
	version, _ := empty.version()
	if version != last.Version {
		t.Errorf("version %d comes first, the latest is %d", version, last.Version)
	}
}

// follower is a connection as a gateway's.
type follower struct {
	t      *testing.T
	conn   *net.TCPConn
	reader *frames.Reader
}

// follow connects to a replica and sends messages.
func follow(t *testing.T, g *publishertest.Group, i int, messages ...configsync.Message) *follower {
	t.Helper()
	conn, err := net.DialTCP("tcp4", nil, net.TCPAddrFromAddrPort(g.Configs[i].Listen))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(waitTimeout))
	f := &follower{t, conn, frames.NewReader(conn, configsync.MaxFrameBytes)}
	for _, m := range messages {
		f.send(configsync.Encode(m))
	}
	return f
}

func (f *follower) send(bytes []byte) {
	f.t.Helper()
	if _, err := f.conn.Write(bytes); err != nil {
		f.t.Fatal(err)
	}
}

func (f *follower) next() configsync.Message {
	f.t.Helper()
	m, err := f.reader.Next()
	if err != nil {
		f.t.Fatal(err)
	}
	return m
}

func (f *follower) heartbeat() *configsync.Heartbeat {
	f.t.Helper()
	for {
		if h, ok := f.next().(*configsync.Heartbeat); ok {
			return h
		}
	}
}

// version reads up to the next version, and gives it with its digest.
func (f *follower) version() (configsync.Version, configsync.Digest) {
	f.t.Helper()
	for {
		switch m := f.next().(type) {
		case *configsync.Delta:
			return m.To, m.Digest
		case *configsync.SnapshotPart:
			if m.Part == m.Parts-1 {
				return m.Version, m.Digest
			}
		}
	}
}

// ended reads until the replica ends the connection.
func (f *follower) ended() {
	f.t.Helper()
	for {
		if _, err := f.reader.Next(); err != nil {
			var timeout net.Error
			if errors.As(err, &timeout) && timeout.Timeout() {
				f.t.Error("the connection is not ended")
			}
			return
		}
	}
}

func hello(member int) *configsync.Hello {
	return &configsync.Hello{Protocol: configsync.Protocol, Member: member, Name: fmt.Sprint("g", member), Incarnation: 1}
}

func memberOf(g *publishertest.Group, i, member int) (found publisher.Follower) {
	for _, f := range g.Replicas[i].Status().Followers {
		if f.Member == member {
			found = f
		}
	}
	return found
}

// A follower gets one version at a time and the latest next; what it refuses is shown, and another follower, or one that
// reads nothing, holds nobody up.
func TestFollowers(t *testing.T) {
	g := publishertest.NewGroup(t, 3, nil)
	g.Agreed(g.Put())
	stuck := follow(t, g, 0, hello(1)) // never reads
	stuck.conn.SetReadBuffer(1)
	f := follow(t, g, 0, hello(2))
	version, digest := f.version()
	if version != 1 {
		t.Fatalf("version %d", version)
	}
	last := publisher.Publication{}
	for rate := range 5 {
		last = g.SetRate(0, "gold", 20+rate)
	}
	g.Agreed(last)
	f.send(configsync.Encode(&configsync.Acknowledge{Version: 1, Digest: digest}))
	version, _ = f.version()
	if version != last.Version {
		t.Errorf("version %d after 1, the latest is %d", version, last.Version)
	}
	f.send(configsync.Encode(configsync.NewRefusal(version, "plans/gold", "rate: too much")))
	eventually(t, "the refusal to be shown", func() bool {
		m := memberOf(g, 0, 2)
		return m.InForce == 1 && m.Refused == last.Version && m.Resource == "plans/gold" && m.Reason == "rate: too much"
	})
	mended := g.SetRate(0, "gold", 10)
	version, digest = f.version()
	if version != mended.Version {
		t.Errorf("version %d after the refused one", version)
	}
	f.send(configsync.Encode(&configsync.Acknowledge{Version: version, Digest: digest}))
	eventually(t, "the version to be in force", func() bool { m := memberOf(g, 0, 2); return m.InForce == version && m.Refused == 0 })
	if m := memberOf(g, 0, 1); !m.Connected || m.InForce != 0 {
		t.Errorf("the one that doesn't read: %+v", m)
	}
	g.Agreed(mended)
	follow(t, g, 1, hello(4)).heartbeat()
	g.Close(2)
	fleet := g.Replicas[0].Fleet(t.Context())
	if len(fleet.Followers) != 3 || fleet.Followers[1].InForce != version || fleet.Followers[2].Member != 4 ||
		fleet.Replicas[1].Version != version || fleet.Replicas[1].Error != "" || fleet.Replicas[2].Error == "" {
		t.Errorf("%+v", fleet)
	}
	again := hello(2)
	again.Incarnation++
	again.Log, again.InForce, again.Digest = mended.Log, version, digest
	follow(t, g, 0, again)
	f.ended()
	other := hello(3)
	other.Log, other.InForce = "another", 4
	if _, ok := follow(t, g, 0, other).next().(*configsync.OtherLog); !ok {
		t.Error("a follower of another log is served")
	}
}

// A follower that doesn't read a long snapshot has it pending and nothing more: others get each version meanwhile, and it
// gets the latest at once when it reads again.
func TestSlowReader(t *testing.T) {
	const plans = 10_000
	g := publishertest.NewGroup(t, 1, nil)
	var content strings.Builder
	content.WriteString(`{"profiles":[{"name":"lookup","hard_limit_us":2000}],"plans":[{"name":"gold"}`)
	for i := range plans {
		fmt.Fprintf(&content, `,{"name":"%0100d","rate":1,"burst":1}`, i)
	}
	content.WriteString("]}")
	g.Publish(0, "PUT", "/v1/configuration", content.String())
	slow := follow(t, g, 0)
	slow.conn.SetReadBuffer(64 << 10)
	slow.send(configsync.Encode(hello(1)))
	quick := follow(t, g, 0, hello(2))
	last := publisher.Publication{}
	for rate := range 5 {
		version, digest := quick.version()
		if version != configsync.Version(1+rate) {
			t.Errorf("version %d after %d", version, rate)
		}
		quick.send(configsync.Encode(&configsync.Acknowledge{Version: version, Digest: digest}))
		last = g.SetRate(0, "gold", 1+rate)
	}
	eventually(t, "the quick one to be sent all", func() bool {
		version, _ := quick.version()
		return version == last.Version
	})
	if sent := g.Replicas[0].Status().Counters.BytesOut; sent > 4<<20 {
		t.Errorf("%d bytes sent, which is more than one snapshot and what the kernel holds", sent)
	}
	version, digest := slow.version()
	slow.send(configsync.Encode(&configsync.Acknowledge{Version: version, Digest: digest}))
	next, _ := slow.version()
	if version != 1 || next != last.Version {
		t.Errorf("version %d, then %d; the latest is %d", version, next, last.Version)
	}
}

// What breaks the protocol is counted, and its connection ended; the others go on.
func TestMalformedMessages(t *testing.T) {
	const mostFollowers = 20
	g := publishertest.NewGroup(t, 1, func(cfg *config.Publisher) { cfg.MaxFollowers = mostFollowers })
	g.Put()
	good := follow(t, g, 0, hello(1))
	good.version()
	greeting := configsync.Encode(hello(2))
	wrong := hello(2)
	wrong.Protocol++
	for i, bytes := range [][]byte{
		greeting[:len(greeting)-3],  // cut
		{0, 0, 0},                   // cut in the header
		{0xff, 0xff, 0xff, 0xff, 1}, // oversized
		{0, 1, 0, 0, 1},             // longer than a follower's messages may be
		{0, 0, 0, 2, 99, 0xa0},      // of an unknown kind
		{0, 0, 0, 3, 1, 0xff, 0xff}, // not CBOR
		append(greeting[:len(greeting):len(greeting)], greeting...), // repeated
		configsync.Encode(&configsync.Acknowledge{}),                // no hello
		configsync.Encode(&configsync.Heartbeat{}),                  // a publisher's
		configsync.Encode(wrong),                                    // of another protocol
	} {
		f := follow(t, g, 0)
		f.send(bytes)
		f.conn.CloseWrite()
		f.ended()
		eventually(t, "the message to be counted", func() bool { return g.Replicas[0].Status().Counters.Malformed == int64(i+1) })
	}
	eventually(t, "the connections to be gone", func() bool { return g.Replicas[0].Status().Connected == 1 })
	g.SetRate(0, "gold", 3)
	good.send(configsync.Encode(&configsync.Acknowledge{})) // of before the connection
	if good.heartbeat().Log == "" {
		t.Error("a heartbeat without a log")
	}
	for i := range mostFollowers {
		follow(t, g, 0, hello(10+i))
	}
	eventually(t, "one beyond the most to be turned off", func() bool {
		s := g.Replicas[0].Status()
		return s.Counters.RejectedConnections >= 1 && s.Connected+int(s.Counters.RejectedConnections) == mostFollowers+1
	})
}
