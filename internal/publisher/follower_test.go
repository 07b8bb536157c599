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

const waitTimeout = 60 * time.Second // limit for all reads and writes of one connection together

// follower is a connection to a replica, driven by the test in place of a gateway.
type follower struct {
	t      *testing.T
	conn   *net.TCPConn
	reader *frames.Reader
}

// follow connects to replica i and sends messages. The connection is closed at the end of the test.
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

func (f *follower) nextMessage() configsync.Message {
	f.t.Helper()
	m, err := f.reader.Next()
	if err != nil {
		f.t.Fatal(err)
	}
	return m
}

// nextHeartbeat reads until a heartbeat and returns it.
func (f *follower) nextHeartbeat() *configsync.Heartbeat {
	f.t.Helper()
	for {
		heartbeat, ok := f.nextMessage().(*configsync.Heartbeat)
		if ok {
			return heartbeat
		}
	}
}

// nextVersion reads until a version is complete, as a delta or as the last part of a snapshot, and returns it with its
// digest.
func (f *follower) nextVersion() (configsync.Version, configsync.Digest) {
	f.t.Helper()
	for {
		switch m := f.nextMessage().(type) {
		case *configsync.Delta:
			return m.To, m.Digest
		case *configsync.SnapshotPart:
			if m.Index == m.PartCount-1 {
				return m.Version, m.Digest
			}
		}
	}
}

// waitClosed reads until the replica closes the connection, which has to happen within waitTimeout of its start.
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

// hello returns the Hello of a gateway that has no version yet.
func hello(member int) *configsync.Hello {
	return &configsync.Hello{
		Protocol:    configsync.Protocol,
		Member:      member,
		Name:        fmt.Sprint("g", member),
		Incarnation: 1,
	}
}

// followerStatus returns the status of a gateway at replica i, or a zero Follower if that doesn't know the gateway.
func followerStatus(g *publishertest.Group, i, member int) (found publisher.Follower) {
	for _, f := range g.Replicas[i].Status().Followers {
		if f.Member == member {
			found = f
		}
	}
	return found
}

// A follower gets the next version only after it acknowledged or refused the one before, and then the latest. A refusal
// is shown in the replica's status. Neither a follower that refuses a version nor one that doesn't read may delay the
// others.
func TestFollowerGetsOneVersionAtATime(t *testing.T) {
	g := publishertest.NewGroup(t, 3, nil)
	g.WaitReplicated(g.PublishInitialContent())
	stuck := follow(t, g, 0, hello(1)) // never reads
	stuck.conn.SetReadBuffer(1)
	f := follow(t, g, 0, hello(2))
	version, digest := f.nextVersion()
	if version != 1 {
		t.Fatalf("the first version sent is %d, want 1", version)
	}
	last := publisher.Publication{}
	for rate := range 5 {
		last = g.PublishRate(0, "gold", 20+rate)
	}
	g.WaitReplicated(last)
	f.send(configsync.Encode(&configsync.Acknowledge{Version: 1, Digest: digest}))
	version, _ = f.nextVersion()
	if version != last.Version {
		t.Errorf("version %d follows version 1, want the latest, %d", version, last.Version)
	}
	f.send(configsync.Encode(configsync.NewRefusal(version, "plans/gold", "rate: too much")))
	eventually(t, "the refusal in the status", func() bool {
		m := followerStatus(g, 0, 2)
		return m.InForce == 1 && m.RefusedVersion == last.Version &&
			m.RefusedResource == "plans/gold" && m.RefusalReason == "rate: too much"
	})
	fixed := g.PublishRate(0, "gold", 10)
	version, digest = f.nextVersion()
	if version != fixed.Version {
		t.Errorf("version %d follows the refused one, want the latest", version)
	}
	f.send(configsync.Encode(&configsync.Acknowledge{Version: version, Digest: digest}))
	eventually(t, "the version to be in force according to the status", func() bool {
		m := followerStatus(g, 0, 2)
		return m.InForce == version && m.RefusedVersion == 0
	})
	if m := followerStatus(g, 0, 1); !m.Connected || m.InForce != 0 {
		t.Errorf("status of the follower that doesn't read: %+v, want connected and no version in force", m)
	}
	g.WaitReplicated(fixed)
	follow(t, g, 1, hello(4)).nextHeartbeat()
	g.Close(2)
	fleet := g.Replicas[0].FleetStatus(t.Context())
	if len(fleet.Followers) != 3 || fleet.Followers[1].InForce != version || fleet.Followers[2].Member != 4 {
		t.Errorf("followers in the fleet status: %+v", fleet.Followers)
	}
	if fleet.Replicas[1].Version != version || fleet.Replicas[1].Error != "" || fleet.Replicas[2].Error == "" {
		t.Errorf("replicas in the fleet status: %+v", fleet.Replicas)
	}
}

// A replica closes a connection when the same gateway connects again, and sends LogMismatch to a follower that has
// versions of another log.
func TestReplicaClosesReplacedAndForeignConnections(t *testing.T) {
	g := publishertest.NewGroup(t, 1, nil)
	first := g.PublishInitialContent()
	f := follow(t, g, 0, hello(2))
	version, digest := f.nextVersion()
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
	if _, ok := follow(t, g, 0, other).nextMessage().(*configsync.LogMismatch); !ok {
		t.Error("a follower of another log gets a message other than LogMismatch")
	}
}

// Guards against memory that grows with each version while a follower doesn't read. A replica has only one snapshot
// pending for such a follower, while other followers get each version. When it reads again, the latest version follows
// that snapshot at once.
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
		version, digest := fast.nextVersion()
		if version != configsync.Version(1+rate) {
			t.Errorf("the fast follower got version %d after %d", version, rate)
		}
		fast.send(configsync.Encode(&configsync.Acknowledge{Version: version, Digest: digest}))
		last = g.PublishRate(0, "gold", 1+rate)
	}
	eventually(t, "the fast follower to get the latest version", func() bool {
		version, _ := fast.nextVersion()
		return version == last.Version
	})
	if sent := g.Replicas[0].Status().Counters.BytesOut; sent > 4<<20 {
		t.Errorf("%d bytes were sent, more than one snapshot and the kernel's buffers", sent)
	}
	version, digest := slow.nextVersion()
	slow.send(configsync.Encode(&configsync.Acknowledge{Version: version, Digest: digest}))
	next, _ := slow.nextVersion()
	if version != 1 || next != last.Version {
		t.Errorf("the slow follower got version %d, then %d; want 1, then the latest, %d", version, next, last.Version)
	}
}

// A replica counts a message that violates the protocol and closes its connection. Other connections are not affected.
// The limit on followers holds.
func TestReplicaClosesConnectionAfterMalformedMessage(t *testing.T) {
	const maxFollowers = 20
	g := publishertest.NewGroup(t, 1, func(cfg *config.Publisher) { cfg.MaxFollowers = maxFollowers })
	g.PublishInitialContent()
	good := follow(t, g, 0, hello(1))
	good.nextVersion()
	helloFrame := configsync.Encode(hello(2))
	wrongProtocol := hello(2)
	wrongProtocol.Protocol++
	for i, bytes := range [][]byte{
		helloFrame[:len(helloFrame)-3], // truncated
		{0, 0, 0},                      // truncated in the header
		{0xff, 0xff, 0xff, 0xff, 1},    // longer than any frame
		{0, 1, 0, 0, 1},                // longer than a follower's message may be
		{0, 0, 0, 2, 99, 0xa0},         // unknown kind of message
		{0, 0, 0, 3, 1, 0xff, 0xff},    // not CBOR
		append(helloFrame[:len(helloFrame):len(helloFrame)], helloFrame...), // a second Hello
		configsync.Encode(&configsync.Acknowledge{}),                        // not a Hello
		configsync.Encode(&configsync.Heartbeat{}),                          // a publisher's message
		configsync.Encode(wrongProtocol),                                    // another version of the protocol
	} {
		f := follow(t, g, 0)
		f.send(bytes)
		f.conn.CloseWrite()
		f.waitClosed()
		eventually(t, "the malformed message to be counted", func() bool {
			return g.Replicas[0].Status().Counters.MalformedMessages == int64(i+1)
		})
	}
	eventually(t, "all but one connection to be closed", func() bool { return g.Replicas[0].Status().Connected == 1 })
	g.PublishRate(0, "gold", 3)
	good.send(configsync.Encode(&configsync.Acknowledge{})) // valid: may acknowledge a version from before this connection
	if good.nextHeartbeat().Log == "" {
		t.Error("the heartbeat names no log")
	}
	for i := range maxFollowers {
		follow(t, g, 0, hello(10+i))
	}
	eventually(t, "one connection to be rejected", func() bool {
		s := g.Replicas[0].Status()
		return s.Counters.RejectedConnections >= 1 && s.Connected+int(s.Counters.RejectedConnections) == maxFollowers+1
	})
}
