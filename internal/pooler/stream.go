package pooler

import (
	"crypto/hmac"
	"encoding/json"
	"errors"
	"io"
	"net"
	"slices"
	"strconv"
	"time"

	"github.com/hashicorp/raft"

	"ravensill/internal/config"
)

const greeting = time.Second

// stream is the voters' way to each other for the library: TCP, where the caller first names and signs the id it wants,
// so that words for a voter that lost its disk never reach the one that has taken its place.
type stream struct {
	*net.TCPListener
	cfg    *config.Pool
	id     string
	boot   func(*Boot) // takes in what a voter without anything on disk says
	passed chan net.Conn
	done   chan struct{}
}

func listen(cfg *config.Pool, me int, id string, boot func(*Boot)) (*stream, error) {
	l, err := net.ListenTCP("tcp4", net.TCPAddrFromAddrPort(cfg.Listen))
	if err != nil {
		return nil, err
	}
	s := &stream{TCPListener: l, cfg: cfg, id: id, boot: boot, passed: make(chan net.Conn), done: make(chan struct{})}
	go s.greet(me)
	return s, nil
}

// greet takes connections in and checks each one's greeting beside the others.
func (s *stream) greet(me int) {
	for {
		c, err := s.TCPListener.Accept()
		if err != nil {
			if errIsClosed(err) {
				return
			}
			time.Sleep(10 * time.Millisecond) // no descriptor is free
			continue
		}
		go func() {
			c.SetDeadline(time.Now().Add(greeting))
			b := make([]byte, signed)
			_, err := io.ReadFull(c, b)
			if err == nil && hmac.Equal(b, sum(s.cfg.Key, []byte(bootGreeting(me)))) {
				s.booting(c)
				return
			}
			if err != nil || !hmac.Equal(b, sum(s.cfg.Key, []byte("to "+s.id))) {
				c.Close()
				return
			}
			c.SetDeadline(time.Time{})
			select {
			case s.passed <- c:
			case <-s.done:
				c.Close()
			}
		}()
	}
}

func bootGreeting(me int) string { return "boot " + strconv.Itoa(me) }

// booting reads what a voter without anything on disk says: its place and id, signed.
func (s *stream) booting(c net.Conn) {
	defer c.Close()
	text, err := io.ReadAll(io.LimitReader(c, 256))
	if err != nil || len(text) <= signed || !hmac.Equal(text[:signed], sum(s.cfg.Key, text[signed:])) {
		return
	}
	b := &Boot{}
	if json.Unmarshal(text[signed:], b) == nil {
		s.boot(b)
	}
}

// say tells another voter that this one has nothing on disk.
func (s *stream) say(to int, b *Boot) error {
	c, err := net.DialTimeout("tcp4", s.cfg.Streams[to].String(), greeting)
	if err != nil {
		return err
	}
	defer c.Close()
	text, err := json.Marshal(b)
	if err != nil {
		return err
	}
	c.SetDeadline(time.Now().Add(greeting))
	_, err = c.Write(slices.Concat(sum(s.cfg.Key, []byte(bootGreeting(to))), sum(s.cfg.Key, text), text))
	return err
}

// Accept gives the next connection with a good greeting.
func (s *stream) Accept() (net.Conn, error) {
	select {
	case c := <-s.passed:
		return c, nil
	case <-s.done:
		return nil, net.ErrClosed
	}
}

// Close may be called twice: by the library and by the voter.
func (s *stream) Close() error {
	select {
	case <-s.done:
		return nil
	default:
		close(s.done)
		return s.TCPListener.Close()
	}
}

// Addr is the voter's id: where it is found each voter knows from its own configuration.
func (s *stream) Addr() net.Addr { return address(s.id) }

type address string

func (address) Network() string  { return "pool" }
func (a address) String() string { return string(a) }

// Dial opens a connection to a voter by its id.
func (s *stream) Dial(to raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	i := voterOf(raft.ServerID(to))
	if i < 0 || i >= len(s.cfg.Streams) {
		return nil, errors.New("no such voter")
	}
	c, err := net.DialTimeout("tcp4", s.cfg.Streams[i].String(), timeout)
	if err != nil {
		return nil, err
	}
	c.SetDeadline(time.Now().Add(timeout))
	if _, err := c.Write(sum(s.cfg.Key, []byte("to "+string(to)))); err != nil {
		c.Close()
		return nil, err
	}
	c.SetDeadline(time.Time{})
	return c, nil
}
