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
	greetingTimeout      = time.Second // limit for receiving a greeting, and for sending an announcement
	maxAnnouncementBytes = 256         // including its signature; the rest is not read
)

// SignatureSize is the length of a signature in bytes.
const SignatureSize = 16

// Sign returns the signature of a payload with a secret key: its HMAC-SHA-256, truncated to SignatureSize bytes.
func Sign(key, payload []byte) []byte {
	m := hmac.New(sha256.New, key)
	m.Write(payload)
	return m.Sum(nil)[:SignatureSize]
}

// transport provides the library with TCP connections between the replicas. It implements raft.StreamLayer. A caller
// starts each connection with a greeting: the signature of the id that it wants to reach. This authenticates the
// caller, and keeps messages for a replica that lost its disk from reaching the replica with the new id at the same
// address. Another greeting, which contains the index of the receiver in place of its id, precedes an Announcement.
type transport struct {
	listener       *sockets.Listener
	cfg            *Config
	id             raft.ServerID // of this replica
	onAnnouncement func(Announcement)
	authenticated  chan net.Conn   // connections with a valid greeting, which Accept returns to the library
	ctx            context.Context // canceled by Close
	cancel         context.CancelFunc
	goroutines     sync.WaitGroup // the goroutines that accept connections, read greetings, and send announcements
	closeOnce      sync.Once
}

// listen opens the listener and starts to accept connections. onAnnouncement is called for each received announcement,
// on any goroutine.
func listen(cfg *Config, id raft.ServerID, onAnnouncement func(Announcement)) (*transport, error) {
	listener, err := sockets.Listen(cfg.Sockets, cfg.Listen)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	t := &transport{
		listener:       listener,
		cfg:            cfg,
		id:             id,
		onAnnouncement: onAnnouncement,
		authenticated:  make(chan net.Conn),
		ctx:            ctx,
		cancel:         cancel,
	}
	t.goroutines.Go(t.accept)
	return t, nil
}

// accept accepts connections until the listener is closed, and starts a goroutine that reads the greeting of each.
func (t *transport) accept() {
	for {
		conn, err := t.listener.Accept()
		if err != nil { // the listener is closed
			return
		}
		t.goroutines.Go(func() { t.readGreeting(conn) })
	}
}

// readGreeting reads the greeting of an accepted connection. It passes the connection to the library, or reads an
// announcement from it, or closes it if the greeting is invalid or late.
func (t *transport) readGreeting(conn net.Conn) {
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
	stopClosing() // from here on the library closes the connection
	select {
	case t.authenticated <- conn:
	case <-t.ctx.Done():
		conn.Close()
	}
}

func announceGreeting(index int) []byte { return []byte("boot " + strconv.Itoa(index)) }

func idGreeting(id raft.ServerID) []byte { return []byte("to " + id) }

// readAnnouncement reads a signed announcement, passes it on if the signature is valid, and closes the connection.
func (t *transport) readAnnouncement(conn net.Conn) {
	defer conn.Close()
	payload, err := io.ReadAll(io.LimitReader(conn, maxAnnouncementBytes))
	if err != nil || len(payload) <= SignatureSize {
		return
	}
	signature := payload[:SignatureSize]
	payload = payload[SignatureSize:]
	if !hmac.Equal(signature, Sign(t.cfg.Key, payload)) {
		return
	}
	a := Announcement{}
	if json.Unmarshal(payload, &a) == nil {
		t.onAnnouncement(a)
	}
}

// sendAnnouncement sends an announcement to the replica with index to, on a connection of its own.
func (t *transport) sendAnnouncement(to int, a Announcement) error {
	dialer := &net.Dialer{Timeout: greetingTimeout}
	conn, err := t.cfg.Sockets.Dial(t.ctx, dialer, t.cfg.Addresses[to].String())
	if err != nil {
		return err
	}
	defer conn.Close()
	payload, err := json.Marshal(a)
	if err != nil {
		return err
	}
	conn.SetDeadline(time.Now().Add(greetingTimeout))
	_, err = conn.Write(slices.Concat(Sign(t.cfg.Key, announceGreeting(to)), Sign(t.cfg.Key, payload), payload))
	return err
}

// Accept waits for the next connection with a valid greeting and returns it. After Close it returns net.ErrClosed.
func (t *transport) Accept() (net.Conn, error) {
	select {
	case conn := <-t.authenticated:
		return conn, nil
	case <-t.ctx.Done():
		return nil, net.ErrClosed
	}
}

// Close closes the listener and makes Accept fail. Both the library and the replica call it; only the first call has an
// effect.
func (t *transport) Close() error {
	err := error(nil)
	t.closeOnce.Do(func() {
		t.cancel()
		err = t.listener.Close()
	})
	return err
}

// Addr returns the id of this replica as its address. Each replica resolves ids to TCP addresses by its own
// configuration.
func (t *transport) Addr() net.Addr { return replicaAddr(t.id) }

type replicaAddr string

func (replicaAddr) Network() string  { return "raft" }
func (a replicaAddr) String() string { return string(a) }

// Dial opens a connection to the replica whose id is to, and sends the greeting. timeout applies to each of the two.
func (t *transport) Dial(to raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	peer, err := t.resolve(raft.ServerID(to))
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

// resolve returns the TCP address of the replica with an id. It fails if the index in the id is not a configured one.
func (t *transport) resolve(id raft.ServerID) (netip.AddrPort, error) {
	index := ReplicaIndex(id)
	if index < 0 || index >= len(t.cfg.Addresses) {
		return netip.AddrPort{}, errors.New("the id does not contain the index of a configured replica")
	}
	return t.cfg.Addresses[index], nil
}
