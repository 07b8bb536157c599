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
	hostileTimeout  = 30 * time.Second // for the other side to end a connection: no verdict, only an end
	strangerMember  = 60_000           // member index of no gateway
	tooLongFrame    = "\xff\xff\xff\xff\x02"
	notAMessage     = "GET / HTTP/1.1\r\nHost: example\r\n\r\n"
	unknownKind     = "\x00\x00\x00\x02\x7f\xa0"
	notCBOR         = "\x00\x00\x00\x03\x01\xff\xff"
	strangerName    = "stranger"
	otherLog        = configsync.LogID("another-log")
	farAheadVersion = 1 << 40
)

// hostileBytes are what may come in on a connection in the place of messages.
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

func strangerHello() *configsync.Hello {
	return &configsync.Hello{Protocol: configsync.Protocol, Member: strangerMember, Name: strangerName, Incarnation: 1}
}

// hostileToPublishers are what a follower must not send.
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

// HostileFollowers is the step that sends each publisher what no follower sends. Each connection has to be ended and
// counted.
func HostileFollowers() Step {
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

func (r *Run) hostileFollowers(ctx context.Context, i int) error {
	before, err := r.Publishers.Status(ctx, i)
	if err != nil {
		return err
	}
	hostile := hostileToPublishers()
	for name, text := range hostile {
		err := endedBy(r.Publishers.addresses[i].followers.String(), text)
		if err != nil {
			return fmt.Errorf("%s: %s: %w", publisherName(i), name, err)
		}
	}
	what := fmt.Sprintf("%s to count %d malformed connections", publisherName(i), len(hostile))
	return r.until(ctx, what, func() bool {
		now, err := r.Publishers.Status(ctx, i)
		return err == nil && now.Counters.Malformed == before.Counters.Malformed+int64(len(hostile))
	})
}

// endedBy sends bytes to an address and waits until the other side ends the connection.
func endedBy(address string, text []byte) error {
	conn, err := net.DialTimeout("tcp4", address, hostileTimeout)
	if err != nil {
		return err
	}
	defer conn.Close()
	say(conn, text)
	return drained(conn)
}

// say sends bytes and no more after them. The other side may end the connection before it has read all, which shows as an
// error here.
func say(conn net.Conn, text []byte) {
	_, err := conn.Write(text)
	if err == nil {
		conn.(*net.TCPConn).CloseWrite()
	}
}

// drained reads until the other side has ended a connection, by an end or a reset.
func drained(conn net.Conn) error {
	conn.SetReadDeadline(time.Now().Add(hostileTimeout))
	_, err := io.Copy(io.Discard, conn)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return err
	}
	return nil
}

// answerTo is what a false publisher sends to a gateway that said hello.
type answerTo func(hello *configsync.Hello) []byte

// falsePublisher listens in the place of a publisher.
type falsePublisher struct {
	listener net.Listener
}

func newFalsePublisher() (*falsePublisher, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return &falsePublisher{listener}, nil
}

// encounter is one connection of a gateway to a false publisher.
type encounter struct {
	met   chan struct{} // closed once the gateway has said hello
	ended chan error    // once the gateway has ended the connection
}

// answerOne answers the next connection on which a hello comes.
func (p *falsePublisher) answerOne(answer answerTo) *encounter {
	e := &encounter{met: make(chan struct{}), ended: make(chan error, 1)}
	go func() { e.ended <- p.serveOne(e, answer) }()
	return e
}

func (p *falsePublisher) serveOne(e *encounter, answer answerTo) error {
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
		close(e.met)
		defer conn.Close()
		say(conn, answer(hello))
		return drained(conn)
	}
}

// hostileToGateways are what a publisher must not send. All but those of malformedToGateways are messages in themselves.
func hostileToGateways() map[string]answerTo {
	all := malformedToGateways()
	all["another log"] = func(*configsync.Hello) []byte {
		return configsync.Encode(&configsync.Heartbeat{Log: otherLog, Latest: farAheadVersion, Current: true})
	}
	all["a delta that does not lead on"] = func(hello *configsync.Hello) []byte {
		return configsync.Encode(falseDelta(hello, hello.Held+1))
	}
	all["a delta to another content than it says"] = func(hello *configsync.Hello) []byte {
		return configsync.Encode(falseDelta(hello, hello.Held))
	}
	return all
}

// malformedToGateways are what no publisher sends at all.
func malformedToGateways() map[string]answerTo {
	all := map[string]answerTo{
		"a follower's message": func(hello *configsync.Hello) []byte { return configsync.Encode(hello) },
	}
	for name, text := range hostileBytes() {
		all[name] = func(*configsync.Hello) []byte { return text }
	}
	return all
}

func falseDelta(hello *configsync.Hello, from configsync.Version) *configsync.Delta {
	name := configsync.Resource(planResource(strangerName))
	return &configsync.Delta{
		Log:     hello.Log,
		From:    from,
		To:      farAheadVersion,
		Changes: []configsync.Change{{Resource: name, Value: []byte(`{"rate":1,"burst":1}`)}},
	}
}

// FalsePublisher is the step that puts a false publisher in the place of one of a gateway's. The gateway has to end each
// connection, count the malformed ones and follow the true publishers again each time.
func FalsePublisher(member, index int) Step {
	what := fmt.Sprintf("a false publisher in the place of publisher %d for gateway %d", index, member)
	return Step{what, func(ctx context.Context, r *Run) error {
		impostor, err := newFalsePublisher()
		if err != nil {
			return err
		}
		defer impostor.listener.Close()
		link := r.links[member][index]
		link.Lead(impostor.listener.Addr().String())
		defer link.Lead(r.Publishers.addresses[index].followers.String())
		for name, answer := range hostileToGateways() {
			err := r.meet(ctx, member, impostor.answerOne(answer))
			if err != nil {
				return fmt.Errorf("%s: %w", name, err)
			}
		}
		count := len(malformedToGateways())
		_, err = r.Fleet.Gateway(member).WaitLine(ctx, fmt.Sprintf(" malformed=%d ", count))
		return err
	}}
}

// meet resets a gateway's connections until it has come to a false publisher, waits until it ends that connection, and
// until it has a later version in force, from a true publisher.
func (r *Run) meet(ctx context.Context, member int, e *encounter) error {
	err := r.until(ctx, "the gateway to come to the false publisher", func() bool {
		select {
		case <-e.met:
			return true
		default:
			r.Fleet.Relay.Reset([]string{fleet.GatewayName(member)}, nil)
			return false
		}
	})
	if err != nil {
		return err
	}
	select {
	case err = <-e.ended:
	case <-ctx.Done():
		err = ctx.Err()
	}
	if err != nil {
		return err
	}
	return r.inForce(ctx, r.latest()+1, []int{member})
}

// Refuted is the step that looks that nothing of a false publisher is in force.
func Refuted(members ...int) Step {
	return Step{"nothing of a false publisher in force", func(_ context.Context, r *Run) error {
		for _, member := range members {
			answer := r.probe(member, strangerName, customerOf(member, strangerName))
			if !strings.HasPrefix(answer.ErrorText, "ERR ") {
				return fmt.Errorf("%s: a request on the plan of a false publisher: %s", fleet.GatewayName(member), answer.Result)
			}
		}
		return nil
	}}
}
