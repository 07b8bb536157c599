package rollout

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"time"

	"ravensill/configsync"
	"ravensill/internal/frames"
	"ravensill/lab/fleet"
)

const (
	hostileTimeout     = 30 * time.Second // for the other side to end a connection
	nonMemberIndex     = 60_000           // member index of no gateway
	oversizedFrame     = "\xff\xff\xff\xff\x02"
	httpRequestText    = "GET / HTTP/1.1\r\nHost: example\r\n\r\n"
	unknownMessageKind = "\x00\x00\x00\x02\x7f\xa0"
	invalidCBOR        = "\x00\x00\x00\x03\x01\xff\xff"
	nonMemberName      = "stranger"
	otherLogID         = configsync.LogID("another-log")
	unpublishedVersion = 1 << 40
)

// hostileBytes returns what may arrive on a connection in place of messages.
func hostileBytes() map[string][]byte {
	hello := configsync.Encode(nonMemberHello())
	return map[string][]byte{
		"another protocol":    []byte(httpRequestText),
		"a frame too long":    []byte(oversizedFrame),
		"an unknown kind":     []byte(unknownMessageKind),
		"no CBOR":             []byte(invalidCBOR),
		"a message cut short": hello[:len(hello)-3],
	}
}

// nonMemberHello returns the hello of a gateway that is no member.
func nonMemberHello() *configsync.Hello {
	return &configsync.Hello{Protocol: configsync.Protocol, Member: nonMemberIndex, Name: nonMemberName, Incarnation: 1}
}

// hostileToPublishers returns what a follower must not send.
func hostileToPublishers() map[string][]byte {
	hello := configsync.Encode(nonMemberHello())
	other := nonMemberHello()
	other.Protocol++
	after := func(message configsync.Message) []byte {
		return append(append([]byte{}, hello...), configsync.Encode(message)...)
	}
	all := hostileBytes()
	all["another version of the protocol"] = configsync.Encode(other)
	all["no hello first"] = configsync.Encode(&configsync.Acknowledge{Version: 1})
	all["two hellos"] = after(nonMemberHello())
	all["a publisher's message"] = after(&configsync.Heartbeat{Latest: 1})
	all["an answer to a version that was not sent"] = after(&configsync.Acknowledge{Version: unpublishedVersion})
	all["a refusal of a version that was not sent"] = after(&configsync.Refusal{Version: unpublishedVersion})
	return all
}

// SendHostileFollowerMessages returns a step that sends each publisher what no follower sends. The publisher has to end and
// count each such connection.
func SendHostileFollowerMessages() Step {
	return Step{"hostile followers", func(ctx context.Context, r *Run) error {
		for i := range r.Publishers.Count() {
			err := r.hostileFollowers(ctx, i)
			if err != nil {
				return err
			}
		}
		return nil
	}}
}

// hostileFollowers sends one publisher what no follower sends.
func (r *Run) hostileFollowers(ctx context.Context, i int) error {
	before, err := r.Publishers.Status(ctx, i)
	if err != nil {
		return err
	}
	hostile := hostileToPublishers()
	for name, text := range hostile {
		err := sendAndWaitClosed(r.Publishers.addresses[i].followers.String(), text)
		if err != nil {
			return fmt.Errorf("%s: %s: %w", publisherName(i), name, err)
		}
	}
	description := fmt.Sprintf("%s to count %d malformed connections", publisherName(i), len(hostile))
	return r.waitUntil(ctx, description, func() bool {
		now, err := r.Publishers.Status(ctx, i)
		return err == nil && now.Counters.Malformed == before.Counters.Malformed+int64(len(hostile))
	})
}

// sendAndWaitClosed sends bytes to an address and waits until the other side ends the connection.
func sendAndWaitClosed(address string, text []byte) error {
	conn, err := net.DialTimeout("tcp4", address, hostileTimeout)
	if err != nil {
		return err
	}
	defer conn.Close()
	writeAndClose(conn, text)
	return waitClosed(conn)
}

// writeAndClose writes bytes and ends that direction. An error is expected: the other side may close the connection
// before it has read all.
func writeAndClose(conn net.Conn, text []byte) {
	_, err := conn.Write(text)
	if err == nil {
		conn.(*net.TCPConn).CloseWrite()
	}
}

// waitClosed reads until the other side has closed or reset the connection.
func waitClosed(conn net.Conn) error {
	conn.SetReadDeadline(time.Now().Add(hostileTimeout))
	_, err := io.Copy(io.Discard, conn)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return err
	}
	return nil
}

// hostileReply returns what an impostor of a publisher sends to a gateway that said hello.
type hostileReply func(hello *configsync.Hello) []byte

// impostor listens in place of a publisher.
type impostor struct {
	listener net.Listener
}

// newImpostor starts to listen.
func newImpostor() (*impostor, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return &impostor{listener}, nil
}

// impostorConn is one connection of a gateway to an impostor.
type impostorConn struct {
	helloReceived chan struct{} // closed once the gateway has said hello
	closed        chan error    // once the gateway has ended the connection
}

// replyToNext answers the next connection on which a hello arrives. The goroutine ends when the listener is closed.
func (p *impostor) replyToNext(answer hostileReply) *impostorConn {
	c := &impostorConn{helloReceived: make(chan struct{}), closed: make(chan error, 1)}
	go func() { c.closed <- p.serveOne(c, answer) }()
	return c
}

// serveOne serves connections until it has answered one.
func (p *impostor) serveOne(c *impostorConn, answer hostileReply) error {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return err
		}
		message, err := frames.NewReader(conn, configsync.MaxFrameBytes).Next()
		hello, ok := message.(*configsync.Hello)
		if err != nil || !ok {
			conn.Close() // reset on its way here
			continue
		}
		close(c.helloReceived)
		defer conn.Close()
		writeAndClose(conn, answer(hello))
		return waitClosed(conn)
	}
}

// hostileToGateways returns what a publisher must not send. All but those of malformedToGateways are well-formed
// messages.
func hostileToGateways() map[string]hostileReply {
	all := malformedToGateways()
	all["another log"] = func(*configsync.Hello) []byte {
		return configsync.Encode(&configsync.Heartbeat{Log: otherLogID, Latest: unpublishedVersion, HasQuorum: true})
	}
	all["a delta that does not lead on"] = func(hello *configsync.Hello) []byte {
		return configsync.Encode(invalidDelta(hello, hello.InForce+1))
	}
	all["a delta to another content than it says"] = func(hello *configsync.Hello) []byte {
		return configsync.Encode(invalidDelta(hello, hello.InForce))
	}
	return all
}

// malformedToGateways returns what no publisher sends at all.
func malformedToGateways() map[string]hostileReply {
	all := map[string]hostileReply{
		"a follower's message": func(hello *configsync.Hello) []byte { return configsync.Encode(hello) },
	}
	for name, text := range hostileBytes() {
		all[name] = func(*configsync.Hello) []byte { return text }
	}
	return all
}

// invalidDelta returns a delta from a version whose digest does not match its content.
func invalidDelta(hello *configsync.Hello, from configsync.Version) *configsync.Delta {
	name := configsync.Resource(planResource(nonMemberName))
	return &configsync.Delta{
		Log:     hello.Log,
		From:    from,
		To:      unpublishedVersion,
		Changes: []configsync.Change{{Resource: name, Value: []byte(`{"rate":1,"burst":1}`)}},
	}
}

// ImpersonatePublisher returns a step that puts an impostor in place of one of a gateway's publishers. The gateway
// has to end each connection, count the malformed ones and follow the real publishers again each time.
func ImpersonatePublisher(member, index int) Step {
	description := fmt.Sprintf("an impostor in place of publisher %d for gateway %d", index, member)
	return Step{description, func(ctx context.Context, r *Run) error {
		impostor, err := newImpostor()
		if err != nil {
			return err
		}
		defer impostor.listener.Close()
		link := r.links[member][index]
		link.SetTarget(impostor.listener.Addr().String())
		defer link.SetTarget(r.Publishers.addresses[index].followers.String())
		for name, answer := range hostileToGateways() {
			err := r.connectToImpostor(ctx, member, impostor.replyToNext(answer))
			if err != nil {
				return fmt.Errorf("%s: %w", name, err)
			}
		}
		count := len(malformedToGateways())
		_, err = r.Fleet.Gateway(member).WaitLine(ctx, fmt.Sprintf(" malformed=%d ", count))
		return err
	}}
}

// connectToImpostor resets a gateway's connections until it has connected to an impostor, waits until it ends that
// connection and until it has a later version in force, from a real publisher.
func (r *Run) connectToImpostor(ctx context.Context, member int, c *impostorConn) error {
	err := r.waitUntil(ctx, "the gateway to connect to the impostor", func() bool {
		select {
		case <-c.helloReceived:
			return true
		default:
			r.Fleet.Relay.ResetStreams([]string{fleet.GatewayName(member)}, nil)
			return false
		}
	})
	if err != nil {
		return err
	}
	select {
	case err = <-c.closed:
	case <-ctx.Done():
		err = ctx.Err()
	}
	if err != nil {
		return err
	}
	return r.waitInForce(ctx, r.latestVersion()+1, []int{member})
}

// CheckImpostorConfigurationAbsent returns a step that checks that nothing of an impostor is in force.
func CheckImpostorConfigurationAbsent(members ...int) Step {
	return Step{"nothing of a false publisher in force", func(_ context.Context, r *Run) error {
		for _, member := range members {
			answer := r.probe(member, nonMemberName)
			if !strings.HasPrefix(answer.ErrorText, "ERR ") {
				return fmt.Errorf("plan of an impostor: %w", probeError(member, nonMemberName, answer))
			}
		}
		return nil
	}}
}
