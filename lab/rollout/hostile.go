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
	hostileTimeout  = 30 * time.Second // for the other side to end a connection
	strangerMember  = 60_000           // member index of no gateway
	tooLongFrame    = "\xff\xff\xff\xff\x02"
	notAMessage     = "GET / HTTP/1.1\r\nHost: example\r\n\r\n"
	unknownKind     = "\x00\x00\x00\x02\x7f\xa0"
	notCBOR         = "\x00\x00\x00\x03\x01\xff\xff"
	strangerName    = "stranger"
	otherLog        = configsync.LogID("another-log")
	farAheadVersion = 1 << 40
)

// hostileBytes returns what may arrive on a connection in place of messages.
func hostileBytes() map[string][]byte {
	hello := configsync.Encode(strangerHello())
	return map[string][]byte{
		"another protocol":    []byte(notAMessage),
		"a frame too long":    []byte(tooLongFrame),
		"an unknown kind":     []byte(unknownKind),
		"no CBOR":             []byte(notCBOR),
		"a message cut short": hello[:len(hello)-3],
	}
}

// strangerHello returns the hello of a gateway that is no member.
func strangerHello() *configsync.Hello {
	return &configsync.Hello{Protocol: configsync.Protocol, Member: strangerMember, Name: strangerName, Incarnation: 1}
}

// hostileToPublishers returns what a follower must not send.
func hostileToPublishers() map[string][]byte {
	hello := configsync.Encode(strangerHello())
	other := strangerHello()
	other.Protocol++
	after := func(message configsync.Message) []byte {
		return append(append([]byte{}, hello...), configsync.Encode(message)...)
	}
	all := hostileBytes()
	all["another version of the protocol"] = configsync.Encode(other)
	all["no hello first"] = configsync.Encode(&configsync.Acknowledge{Version: 1})
	all["two hellos"] = after(strangerHello())
	all["a publisher's message"] = after(&configsync.Heartbeat{Latest: 1})
	all["an answer to a version that was not sent"] = after(&configsync.Acknowledge{Version: farAheadVersion})
	all["a refusal of a version that was not sent"] = after(&configsync.Refusal{Version: farAheadVersion})
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
	what := fmt.Sprintf("%s to count %d malformed connections", publisherName(i), len(hostile))
	return r.waitUntil(ctx, what, func() bool {
		now, err := r.Publishers.Status(ctx, i)
		return err == nil && now.Counters.MalformedMessages == before.Counters.MalformedMessages+int64(len(hostile))
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

// hostileAnswer returns what an impostor of a publisher sends to a gateway that said hello.
type hostileAnswer func(hello *configsync.Hello) []byte

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
	greeted chan struct{} // closed once the gateway has said hello
	closed  chan error    // once the gateway has ended the connection
}

// answerOne answers the next connection on which a hello arrives. The goroutine ends when the listener is closed.
func (p *impostor) answerOne(answer hostileAnswer) *impostorConn {
	e := &impostorConn{greeted: make(chan struct{}), closed: make(chan error, 1)}
	go func() { e.closed <- p.serveOne(e, answer) }()
	return e
}

// serveOne serves connections until it has answered one.
func (p *impostor) serveOne(e *impostorConn, answer hostileAnswer) error {
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
		close(e.greeted)
		defer conn.Close()
		writeAndClose(conn, answer(hello))
		return waitClosed(conn)
	}
}

// hostileToGateways returns what a publisher must not send. All but those of malformedToGateways are well-formed
// messages.
func hostileToGateways() map[string]hostileAnswer {
	all := malformedToGateways()
	all["another log"] = func(*configsync.Hello) []byte {
		return configsync.Encode(&configsync.Heartbeat{Log: otherLog, Latest: farAheadVersion, HasQuorum: true})
	}
	all["a delta that does not lead on"] = func(hello *configsync.Hello) []byte {
		return configsync.Encode(falseDelta(hello, hello.InForce+1))
	}
	all["a delta to another content than it says"] = func(hello *configsync.Hello) []byte {
		return configsync.Encode(falseDelta(hello, hello.InForce))
	}
	return all
}

// malformedToGateways returns what no publisher sends at all.
func malformedToGateways() map[string]hostileAnswer {
	all := map[string]hostileAnswer{
		"a follower's message": func(hello *configsync.Hello) []byte { return configsync.Encode(hello) },
	}
	for name, text := range hostileBytes() {
		all[name] = func(*configsync.Hello) []byte { return text }
	}
	return all
}

// falseDelta returns a delta from a version whose digest does not match its content.
func falseDelta(hello *configsync.Hello, from configsync.Version) *configsync.Delta {
	name := configsync.Resource(planResource(strangerName))
	return &configsync.Delta{
		Log:     hello.Log,
		From:    from,
		To:      farAheadVersion,
		Changes: []configsync.Change{{Resource: name, Value: []byte(`{"rate":1,"burst":1}`)}},
	}
}

// ImpersonatePublisher returns a step that puts an impostor in place of one of a gateway's publishers. The gateway
// has to end each connection, count the malformed ones and follow the real publishers again each time.
func ImpersonatePublisher(member, index int) Step {
	what := fmt.Sprintf("an impostor in place of publisher %d for gateway %d", index, member)
	return Step{what, func(ctx context.Context, r *Run) error {
		impostor, err := newImpostor()
		if err != nil {
			return err
		}
		defer impostor.listener.Close()
		link := r.links[member][index]
		link.SetTarget(impostor.listener.Addr().String())
		defer link.SetTarget(r.Publishers.addresses[index].followers.String())
		for name, answer := range hostileToGateways() {
			err := r.meetImpostor(ctx, member, impostor.answerOne(answer))
			if err != nil {
				return fmt.Errorf("%s: %w", name, err)
			}
		}
		count := len(malformedToGateways())
		_, err = r.Fleet.Gateway(member).WaitLine(ctx, fmt.Sprintf(" malformed=%d ", count))
		return err
	}}
}

// meetImpostor resets a gateway's connections until it has connected to an impostor, waits until it ends that
// connection and until it has a later version in force, from a real publisher.
func (r *Run) meetImpostor(ctx context.Context, member int, e *impostorConn) error {
	err := r.waitUntil(ctx, "the gateway to connect to the impostor", func() bool {
		select {
		case <-e.greeted:
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
	case err = <-e.closed:
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
			answer := r.probe(member, strangerName)
			if !strings.HasPrefix(answer.ErrorText, "ERR ") {
				return fmt.Errorf("plan of an impostor: %w", probeError(member, strangerName, answer))
			}
		}
		return nil
	}}
}
