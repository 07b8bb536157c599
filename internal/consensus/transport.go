package consensus

import (
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/hashicorp/raft"

	"ravensill/internal/sockets"
)

const (
	greetingTimeout   = time.Second
	announcementLimit = 256 // bytes
)

// SignatureSize is the length of a signature in bytes.
const SignatureSize = 16

// Sign gives the signature of a text: HMAC-SHA-256, cut to SignatureSize.
func Sign(key, text []byte) []byte {
	m := hmac.New(sha256.New, key)
	m.Write(text)
	return m.Sum(nil)[:SignatureSize]
}

// transport is the replicas' way to each other for the library: TCP, where the caller first names and signs the id that it
// wants, so that messages for a replica that lost its disk never reach the one that has taken its place.
type transport struct {
	listener  *sockets.Listener
	cfg       *Config
	id        raft.ServerID
	announced func(Announcement)
	greeted   chan net.Conn
	done      chan struct{}
	closeOnce sync.Once
}

func listen(cfg *Config, id raft.ServerID, announced func(Announcement)) (*transport, error) {
	listener, err := sockets.Listen(cfg.Sockets, cfg.Listen)
	if err != nil {
		return nil, err
	}
	t := &transport{
		listener:  listener,
		cfg:       cfg,
		id:        id,
		announced: announced,
		greeted:   make(chan net.Conn),
		done:      make(chan struct{}),
	}
	go t.accept()
	return t, nil
}

// accept takes connections in and checks each one's greeting beside the others.
func (t *transport) accept() {
	for {
		conn, err := t.listener.Accept()
		if err != nil { // closed
			return
		}
		go t.greet(conn)
	}
}

// greet reads a connection's greeting and hands it on, or ends it.
func (t *transport) greet(conn net.Conn) {
	conn.SetDeadline(time.Now().Add(greetingTimeout))
	greeting := make([]byte, SignatureSize)
	_, err := io.ReadFull(conn, greeting)
	if err != nil {
		conn.Close()
		return
	}
	if hmac.Equal(greeting, Sign(t.cfg.Key, announceGreeting(t.cfg.Index))) {
		t.readAnnouncement(conn)
		return
	}
	if !hmac.Equal(greeting, Sign(t.cfg.Key, idGreeting(t.id))) {
		conn.Close()
		return
	}
	conn.SetDeadline(time.Time{})
	select {
	case t.greeted <- conn:
	case <-t.done:
		conn.Close()
	}
}

func announceGreeting(index int) []byte { return []byte("boot " + strconv.Itoa(index)) }

func idGreeting(id raft.ServerID) []byte { return []byte("to " + id) }

// readAnnouncement reads what a replica without anything on disk tells: its index and id, signed.
func (t *transport) readAnnouncement(conn net.Conn) {
	defer conn.Close()
	text, err := io.ReadAll(io.LimitReader(conn, announcementLimit))
	if err != nil || len(text) <= SignatureSize {
		return
	}
	signature, text := text[:SignatureSize], text[SignatureSize:]
	if !hmac.Equal(signature, Sign(t.cfg.Key, text)) {
		return
	}
	a := Announcement{}
	if json.Unmarshal(text, &a) == nil {
		t.announced(a)
	}
}

// announce tells another replica that this one has nothing on disk.
func (t *transport) announce(to int, a Announcement) error {
	conn, err := t.cfg.Sockets.Dial(context.Background(), &net.Dialer{Timeout: greetingTimeout}, t.cfg.Addresses[to].String())
	if err != nil {
		return err
	}
	defer conn.Close()
	text, err := json.Marshal(a)
	if err != nil {
		return err
	}
	conn.SetDeadline(time.Now().Add(greetingTimeout))
	_, err = conn.Write(slices.Concat(Sign(t.cfg.Key, announceGreeting(to)), Sign(t.cfg.Key, text), text))
	return err
}

// Accept gives the next connection with a good greeting.
func (t *transport) Accept() (net.Conn, error) {
	select {
	case conn := <-t.greeted:
		return conn, nil
	case <-t.done:
		return nil, net.ErrClosed
	}
}

// Close may be called more than once: by the library and by the replica.
func (t *transport) Close() error {
	err := error(nil)
	t.closeOnce.Do(func() {
		close(t.done)
		err = t.listener.Close()
	})
	return err
}

// Addr is the replica's id: where it is found each replica knows from its own configuration.
func (t *transport) Addr() net.Addr { return address(t.id) }

type address string

func (address) Network() string  { return "raft" }
func (a address) String() string { return string(a) }

// Dial opens a connection to a replica by its id.
func (t *transport) Dial(to raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	peer, err := t.find(raft.ServerID(to))
	if err != nil {
		return nil, err
	}
	conn, err := t.cfg.Sockets.Dial(context.Background(), &net.Dialer{Timeout: timeout}, peer.String())
	if err != nil {
		return nil, err
	}
	conn.SetDeadline(time.Now().Add(timeout))
	_, err = conn.Write(Sign(t.cfg.Key, idGreeting(raft.ServerID(to))))
	if err != nil {
		conn.Close()
		return nil, err
	}
	conn.SetDeadline(time.Time{})
	return conn, nil
}

// find gives the address of the replica that an id belongs to.
func (t *transport) find(id raft.ServerID) (netip.AddrPort, error) {
	index := IndexOf(id)
	if index < 0 || index >= len(t.cfg.Addresses) {
		return netip.AddrPort{}, errors.New("no such replica")
	}
	return t.cfg.Addresses[index], nil
}
