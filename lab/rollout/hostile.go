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
	hostileTimeout     = 30 * time.Second // until the other side must have closed a connection
	nonMemberIndex     = 60_000           // member index that no gateway has
	oversizedFrame     = "\xff\xff\xff\xff\x02"
	httpRequestText    = "GET / HTTP/1.1\r\nHost: example\r\n\r\n"
	unknownMessageKind = "\x00\x00\x00\x02\x7f\xa0"
	invalidCBOR        = "\x00\x00\x00\x03\x01\xff\xff"
	nonMemberName      = "stranger"
	otherLogID         = configsync.LogID("another-log")
	unpublishedVersion = 1 << 40
)

// hostileBytes returns byte sequences that are no valid messages in either direction, by description.
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

// nonMemberHello returns the hello of a gateway that is not a member.
func nonMemberHello() *configsync.Hello {
	return &configsync.Hello{Protocol: configsync.Protocol, Member: nonMemberIndex, Name: nonMemberName, Incarnation: 1}
}

// hostileToPublishers returns what a follower must not send, by description.
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

// SendHostileFollowerMessages returns a step that sends each publisher what a follower must not send. The publisher
// must close each such connection and count it as malformed.
func SendHostileFollowerMessages() Step {
	return Step{"send hostile follower messages", func(ctx context.Context, r *Run) error {
		for i := range r.Publishers.Count() {
			err := r.sendHostileFollowerMessages(ctx, i)
			if err != nil {
				return err
			}
		}
		return nil
	}}
}

// sendHostileFollowerMessages does the work of SendHostileFollowerMessages for publisher i.
func (r *Run) sendHostileFollowerMessages(ctx context.Context, i int) error {
	before, err := r.Publishers.Status(ctx, i)
	if err != nil {
		return err
	}
	hostile := hostileToPublishers()
	for name, text := range hostile {
		err := sendAndWaitClosed(r.Publishers.addresses[i].followers.String(), text)
		if err != nil {
			return fmt.Errorf("sending %s %s and waiting for the close: %w", publisherName(i), name, err)
		}
	}
	description := fmt.Sprintf("%s to count %d more malformed connections", publisherName(i), len(hostile))
	return r.waitUntil(ctx, description, func() bool {
		now, err := r.Publishers.Status(ctx, i)
		return err == nil && now.Counters.MalformedMessages == before.Counters.MalformedMessages+int64(len(hostile))
	})
}

// sendAndWaitClosed connects to an address, sends bytes and waits until the other side closes the connection.
func sendAndWaitClosed(address string, text []byte) error {
	conn, err := net.DialTimeout("tcp4", address, hostileTimeout)
	if err != nil {
		return err
	}
	defer conn.Close()
	writeAndClose(conn, text)
	return waitClosed(conn)
}

// writeAndClose writes bytes and closes the sending direction. Write errors are ignored: the other side may close the
// connection before it has read everything.
func writeAndClose(conn net.Conn, text []byte) {
	_, err := conn.Write(text)
	if err == nil {
		conn.(*net.TCPConn).CloseWrite()
	}
}

// waitClosed reads until the other side has closed or reset the connection. It fails if that takes longer than
// hostileTimeout.
func waitClosed(conn net.Conn) error {
	conn.SetReadDeadline(time.Now().Add(hostileTimeout))
	_, err := io.Copy(io.Discard, conn)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return err
	}
	return nil
}

// hostileReply returns the bytes that an impostor sends to a gateway in response to its hello.
type hostileReply func(hello *configsync.Hello) []byte

// impostor accepts gateways' connections in place of a publisher.
type impostor struct {
	listener net.Listener
}

// newImpostor returns an impostor that listens on a free port.
func newImpostor() (*impostor, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return &impostor{listener}, nil
}

// impostorConn signals the progress of a gateway's connection to an impostor. One goroutine serves the connection; the
// step that started it waits on the channels.
type impostorConn struct {
	helloReceived chan struct{} // closed once the gateway's hello has arrived
	closed        chan error    // receives the result once the gateway has closed the connection
}

// replyToNext starts a goroutine that replies on the next connection on which a hello arrives. The goroutine ends when
// the gateway has closed that connection or the listener is closed.
func (p *impostor) replyToNext(reply hostileReply) *impostorConn {
	c := &impostorConn{helloReceived: make(chan struct{}), closed: make(chan error, 1)}
	go func() { c.closed <- p.serveOne(c, reply) }()
	return c
}

// serveOne accepts connections until it has received a hello on one, replies there and waits until the gateway closes
// it.
func (p *impostor) serveOne(c *impostorConn, reply hostileReply) error {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return err
		}
		message, err := frames.NewReader(conn, configsync.MaxFrameBytes).Next()
		hello, ok := message.(*configsync.Hello)
		if err != nil || !ok {
			conn.Close() // reset by connectToImpostor before the hello arrived
			continue
		}
		close(c.helloReceived)
		defer conn.Close()
		writeAndClose(conn, reply(hello))
		return waitClosed(conn)
	}
}

// hostileToGateways returns what a publisher must not send, by description. Only the replies of malformedToGateways
// count as malformed; the others are well-formed messages with wrong contents.
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

// malformedToGateways returns replies that are not messages of a publisher, by description.
func malformedToGateways() map[string]hostileReply {
	all := map[string]hostileReply{
		"a follower's message": func(hello *configsync.Hello) []byte { return configsync.Encode(hello) },
	}
	for name, text := range hostileBytes() {
		all[name] = func(*configsync.Hello) []byte { return text }
	}
	return all
}

// invalidDelta returns a delta from the given version whose digest does not match its contents.
func invalidDelta(hello *configsync.Hello, from configsync.Version) *configsync.Delta {
	name := configsync.Resource(planResource(nonMemberName))
	return &configsync.Delta{
		Log:     hello.Log,
		From:    from,
		To:      unpublishedVersion,
		Changes: []configsync.Change{{Resource: name, Value: []byte(`{"rate":1,"burst":1}`)}},
	}
}

// ImpersonatePublisher returns a step that puts an impostor in place of one of a gateway's publishers. The gateway must
// close each connection to the impostor, count the malformed ones and follow a real publisher again each time.
func ImpersonatePublisher(member, index int) Step {
	description := fmt.Sprintf("replace publisher %d by an impostor for gateway %d", index, member)
	return Step{description, func(ctx context.Context, r *Run) error {
		impostor, err := newImpostor()
		if err != nil {
			return err
		}
		defer impostor.listener.Close()
		link := r.links[member][index]
		link.SetTarget(impostor.listener.Addr().String())
		defer link.SetTarget(r.Publishers.addresses[index].followers.String())
		for name, reply := range hostileToGateways() {
			err := r.connectToImpostor(ctx, member, impostor.replyToNext(reply))
			if err != nil {
				return fmt.Errorf("impostor that sends %s: %w", name, err)
			}
		}
		count := len(malformedToGateways())
		_, err = r.Fleet.Gateway(member).WaitLine(ctx, fmt.Sprintf(" malformed=%d ", count))
		return err
	}}
}

// connectToImpostor resets a gateway's connections until it has connected to the impostor, waits until the gateway
// closes that connection, and then until a later version from a real publisher is in force there.
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

// CheckImpostorConfigurationAbsent returns a step that checks that the quota plan in the impostor's deltas is unknown
// to the gateways.
func CheckImpostorConfigurationAbsent(members ...int) Step {
	return Step{"check that nothing from the impostor is in force", func(_ context.Context, r *Run) error {
		for _, member := range members {
			request := r.probe(member, nonMemberName)
			if !strings.HasPrefix(request.ErrorText, "ERR ") {
				return fmt.Errorf("want an error for the impostor's unknown plan: %w",
					probeError(member, nonMemberName, request))
			}
		}
		return nil
	}}
}
