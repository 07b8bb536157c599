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

// Sign returns the signature of a text: HMAC-SHA-256, truncated to SignatureSize.
func Sign(key, text []byte) []byte {
	m := hmac.New(sha256.New, key)
	m.Write(text)
	return m.Sum(nil)[:SignatureSize]
}

// transport connects the replicas for the library by TCP. The caller first sends a signature of the id that it wants to
// reach, so that messages for a replica that lost its disk don't reach the one with a new id at the same address.
type transport struct {
	listener  *sockets.Listener
	cfg       *Config
	id        raft.ServerID
	announced func(Announcement)
	greeted   chan net.Conn   // connections of the library with a valid greeting
	ctx       context.Context // canceled by Close
	cancel    context.CancelFunc
	tasks     sync.WaitGroup
	closeOnce sync.Once
}

// listen opens the listener and starts to accept connections. It calls announced for each announcement.
func listen(cfg *Config, id raft.ServerID, announced func(Announcement)) (*transport, error) {
	listener, err := sockets.Listen(cfg.Sockets, cfg.Listen)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	t := &transport{
		listener:  listener,
		cfg:       cfg,
		id:        id,
		announced: announced,
		greeted:   make(chan net.Conn),
		ctx:       ctx,
		cancel:    cancel,
	}
	t.tasks.Go(t.accept)
	return t, nil
}

// accept accepts connections until the listener is closed, and starts a goroutine for each greeting.
func (t *transport) accept() {
	for {
		conn, err := t.listener.Accept()
		if err != nil { // closed
			return
		}
		t.tasks.Go(func() { t.greet(conn) })
	}
}

// greet reads the greeting of a connection and passes the connection to the library if it is valid.
func (t *transport) greet(conn net.Conn) {
	stopClosing := context.AfterFunc(t.ctx, func() { conn.Close() })
	defer stopClosing()
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
	stopClosing() // the library closes its connections
	select {
	case t.greeted <- conn:
	case <-t.ctx.Done():
		conn.Close()
	}
}

func announceGreeting(index int) []byte { return []byte("boot " + strconv.Itoa(index)) }

func idGreeting(id raft.ServerID) []byte { return []byte("to " + id) }

// readAnnouncement reads a signed announcement.
func (t *transport) readAnnouncement(conn net.Conn) {
	defer conn.Close()
	text, err := io.ReadAll(io.LimitReader(conn, announcementLimit))
	if err != nil || len(text) <= SignatureSize {
		return
	}
	signature := text[:SignatureSize]
	text = text[SignatureSize:]
	if !hmac.Equal(signature, Sign(t.cfg.Key, text)) {
		return
	}
	a := Announcement{}
	if json.Unmarshal(text, &a) == nil {
		t.announced(a)
	}
}

// announce sends an announcement to another replica.
func (t *transport) announce(to int, a Announcement) error {
	dialer := &net.Dialer{Timeout: greetingTimeout}
	conn, err := t.cfg.Sockets.Dial(t.ctx, dialer, t.cfg.Addresses[to].String())
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

// Accept returns the next connection with a valid greeting.
func (t *transport) Accept() (net.Conn, error) {
	select {
	case conn := <-t.greeted:
		return conn, nil
	case <-t.ctx.Done():
		return nil, net.ErrClosed
	}
}

// Close closes the listener. It may be called more than once: the library and the replica both do.
func (t *transport) Close() error {
	err := error(nil)
	t.closeOnce.Do(func() {
		t.cancel()
		err = t.listener.Close()
	})
	return err
}

// Addr returns the replica's id as an address. Each replica resolves it by its own configuration.
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

// find returns the address of the replica with an id.
func (t *transport) find(id raft.ServerID) (netip.AddrPort, error) {
	index := ReplicaIndex(id)
	if index < 0 || index >= len(t.cfg.Addresses) {
		return netip.AddrPort{}, errors.New("no such replica")
	}
	return t.cfg.Addresses[index], nil
}
