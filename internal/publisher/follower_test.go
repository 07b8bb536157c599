package publisher_test

import (
	"errors"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"ravensill/configsync"
	"ravensill/internal/config"
	"ravensill/internal/frames"
	"ravensill/internal/publisher"
	"ravensill/internal/publishertest"
)

const waitTimeout = 60 * time.Second // of a connection

// follower is the connection of a gateway.
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
		heartbeat, ok := f.next().(*configsync.Heartbeat)
		if ok {
			return heartbeat
		}
	}
}

// version reads up to the next version and returns it with its digest.
func (f *follower) version() (configsync.Version, configsync.Digest) {
	f.t.Helper()
	for {
		switch m := f.next().(type) {
		case *configsync.Delta:
			return m.To, m.Digest
		case *configsync.SnapshotPart:
			if m.Index == m.PartCount-1 {
				return m.Version, m.Digest
			}
		}
	}
}

// waitClosed reads until the replica ends the connection.
func (f *follower) waitClosed() {
	f.t.Helper()
	for {
		_, err := f.reader.Next()
		if err == nil {
			continue
		}
		var timeout net.Error
		if errors.As(err, &timeout) && timeout.Timeout() {
			f.t.Error("the connection is still open")
		}
		return
	}
}

func hello(member int) *configsync.Hello {
	return &configsync.Hello{
		Protocol:    configsync.Protocol,
		Member:      member,
		Name:        fmt.Sprint("g", member),
		Incarnation: 1,
	}
}

// memberOf returns the status of a gateway at a replica.
func memberOf(g *publishertest.Group, i, member int) (found publisher.Follower) {
	for _, f := range g.Replicas[i].Status().Followers {
		if f.Member == member {
			found = f
		}
	}
	return found
}

// A follower gets one version at a time and then the latest. Its refusal is in the status, and neither a refusal nor a
// follower that doesn't read delays the others.
func TestFollowerGetsOneVersionAtATime(t *testing.T) {
	g := publishertest.NewGroup(t, 3, nil)
	g.WaitReplicated(g.PublishInitialContent())
	stuck := follow(t, g, 0, hello(1)) // never reads
	stuck.conn.SetReadBuffer(1)
	f := follow(t, g, 0, hello(2))
	version, digest := f.version()
	if version != 1 {
		t.Fatalf("version %d", version)
	}
	last := publisher.Publication{}
	for rate := range 5 {
		last = g.PublishRate(0, "gold", 20+rate)
	}
	g.WaitReplicated(last)
	f.send(configsync.Encode(&configsync.Acknowledge{Version: 1, Digest: digest}))
	version, _ = f.version()
	if version != last.Version {
		t.Errorf("version %d after 1, the latest is %d", version, last.Version)
	}
	f.send(configsync.Encode(configsync.NewRefusal(version, "plans/gold", "rate: too much")))
	eventually(t, "the refusal to be shown", func() bool {
		m := memberOf(g, 0, 2)
		return m.InForce == 1 && m.RefusedVersion == last.Version && m.RefusedResource == "plans/gold" && m.RefusalReason == "rate: too much"
	})
	fixed := g.PublishRate(0, "gold", 10)
	version, digest = f.version()
	if version != fixed.Version {
		t.Errorf("version %d after the refused one", version)
	}
	f.send(configsync.Encode(&configsync.Acknowledge{Version: version, Digest: digest}))
	eventually(t, "the version to be in force", func() bool {
		m := memberOf(g, 0, 2)
		return m.InForce == version && m.RefusedVersion == 0
	})
	if m := memberOf(g, 0, 1); !m.Connected || m.InForce != 0 {
		t.Errorf("the follower that doesn't read: %+v", m)
	}
	g.WaitReplicated(fixed)
	follow(t, g, 1, hello(4)).heartbeat()
	g.Close(2)
	fleet := g.Replicas[0].FleetStatus(t.Context())
	if len(fleet.Followers) != 3 || fleet.Followers[1].InForce != version || fleet.Followers[2].Member != 4 {
		t.Errorf("followers %+v", fleet.Followers)
	}
	if fleet.Replicas[1].Version != version || fleet.Replicas[1].Error != "" || fleet.Replicas[2].Error == "" {
		t.Errorf("replicas %+v", fleet.Replicas)
	}
}

// A connection is closed when its gateway connects again, and a follower of another log is refused.
func TestReplicaClosesReplacedAndForeignConnections(t *testing.T) {
	g := publishertest.NewGroup(t, 1, nil)
	first := g.PublishInitialContent()
	f := follow(t, g, 0, hello(2))
	version, digest := f.version()
	f.send(configsync.Encode(&configsync.Acknowledge{Version: version, Digest: digest}))
	again := hello(2)
	again.Incarnation++
	again.Log = first.Log
	again.InForce = version
	again.Digest = digest
	follow(t, g, 0, again)
	f.waitClosed()
	other := hello(3)
	other.Log = "another"
	other.InForce = 4
	if _, ok := follow(t, g, 0, other).next().(*configsync.LogMismatch); !ok {
		t.Error("a follower of another log is served")
	}
}

// A follower that doesn't read a long snapshot has only that pending, while others get each version. It gets the latest
// version at once when it reads again.
func TestSlowFollowerHasOneSnapshotPending(t *testing.T) {
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
	fast := follow(t, g, 0, hello(2))
	last := publisher.Publication{}
	for rate := range 5 {
		version, digest := fast.version()
		if version != configsync.Version(1+rate) {
			t.Errorf("version %d after %d", version, rate)
		}
		fast.send(configsync.Encode(&configsync.Acknowledge{Version: version, Digest: digest}))
		last = g.PublishRate(0, "gold", 1+rate)
	}
	eventually(t, "the fast follower to get all", func() bool {
		version, _ := fast.version()
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

// A message that breaks the protocol is counted and ends its connection, and no other one.
func TestReplicaClosesConnectionAfterMalformedMessage(t *testing.T) {
	const mostFollowers = 20
	g := publishertest.NewGroup(t, 1, func(cfg *config.Publisher) { cfg.MaxFollowers = mostFollowers })
	g.PublishInitialContent()
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
		f.waitClosed()
		eventually(t, "the message to be counted", func() bool {
			return g.Replicas[0].Status().Counters.MalformedMessages == int64(i+1)
		})
	}
	eventually(t, "the connections to be closed", func() bool { return g.Replicas[0].Status().Connected == 1 })
	g.PublishRate(0, "gold", 3)
	good.send(configsync.Encode(&configsync.Acknowledge{})) // of a version before the connection
	if good.heartbeat().Log == "" {
		t.Error("a heartbeat without a log")
	}
	for i := range mostFollowers {
		follow(t, g, 0, hello(10+i))
	}
	eventually(t, "one connection to be rejected", func() bool {
		s := g.Replicas[0].Status()
		return s.Counters.RejectedConnections >= 1 && s.Connected+int(s.Counters.RejectedConnections) == mostFollowers+1
	})
}
