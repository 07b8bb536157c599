package relay

import (
	"errors"
	"io"
	"net"
	"sync/atomic"
	"time"

	"ravensill/lab/actor"
)

const piece = 32 << 10 // bytes carried at once

// Stream is an address of the relay that leads from one end to another, for any number of connections. Each piece
// passes as the rules of its way say at that time; those of the way back hold for answers.
type Stream struct {
	relay    *Relay
	from, to string
	ln       net.Listener
	target   atomic.Value // string; where the other end listens
	conns    map[*pipe]bool
	opened   int
}

type pipe struct {
	stream *Stream
	a, b   net.Conn // of who called, and to where it leads
	over   chan struct{}
	halves int // directions that have ended
}

// Stream makes an address that leads from one end to another. target may be given later by Lead.
func (r *Relay) Stream(from, to, target string) (*Stream, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Stream{relay: r, from: from, to: to, ln: ln, conns: map[*pipe]bool{}}
	s.target.Store(target)
	r.Ask(func() { r.streams = append(r.streams, s) })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go s.carry(c)
		}
	}()
	return s, nil
}

// Addr is the address that the one end calls.
func (s *Stream) Addr() string { return s.ln.Addr().String() }

// Lead sets where new connections go; "" refuses them.
func (s *Stream) Lead(target string) { s.target.Store(target) }

// Open tells how many connections are open, and how many came in all.
func (s *Stream) Open() (now, all int) {
	s.relay.Ask(func() { now, all = len(s.conns), s.opened })
	return now, all
}

// Reset ends all connections from one end to another abruptly; none named stands for all.
func (r *Relay) Reset(from, to []string) {
	rule := Rule{From: from, To: to}
	r.Ask(func() {
		for _, s := range r.streams {
			if rule.covers(s.from, s.to) {
				s.reset()
			}
		}
	})
}

func (s *Stream) reset() {
	for p := range s.conns {
		p.end()
	}
}

func (s *Stream) close() {
	s.ln.Close()
	s.reset()
}

// end is called by the relay's task only.
func (p *pipe) end() {
	if !p.stream.conns[p] {
		return
	}
	delete(p.stream.conns, p)
	close(p.over)
	for _, c := range []net.Conn{p.a, p.b} {
		if c == nil {
			continue
		}
		if t, ok := c.(*net.TCPConn); ok {
			t.SetLinger(0)
		}
		c.Close()
	}
}

// half takes in that one direction has ended.
func (p *pipe) half() {
	if p.halves++; p.halves == 2 && p.stream.conns[p] {
		delete(p.stream.conns, p)
		close(p.over)
		p.a.Close()
		p.b.Close()
	}
}

func (s *Stream) carry(a net.Conn) {
	p := &pipe{stream: s, a: a, over: make(chan struct{})}
	r := s.relay
	r.Ask(func() {
		s.conns[p] = true
		s.opened++
	})
	fail := func() { r.Do(p.end) }
	wait, ok := p.ask(s.from, s.to) // a new connection does not come up while the way is cut
	if !ok || !p.sleep(wait) {
		fail()
		return
	}
	b, err := net.Dial("tcp4", s.target.Load().(string))
	if err != nil {
		fail()
		return
	}
	r.Ask(func() {
		if p.b = b; !s.conns[p] {
			b.Close()
		}
	})
	go p.run(a, b, s.from, s.to)
	go p.run(b, a, s.to, s.from)
}

// ask waits until the way is open; it tells how long the way takes.
func (p *pipe) ask(from, to string) (time.Duration, bool) {
	w := waiting{from, to, make(chan time.Duration, 1)}
	p.stream.relay.Do(func() { p.stream.relay.pass(w) })
	select {
	case d := <-w.pass:
		return d, true
	case <-p.over:
	case <-p.stream.relay.Stopped():
	}
	return 0, false
}

func (p *pipe) sleep(d time.Duration) bool {
	if d <= 0 {
		return true
	}
	select {
	case <-time.After(d):
		return true
	case <-p.over:
		return false
	}
}

type bytesAt struct {
	at   int64 // when they came
	body []byte
}

// run carries one direction. Pieces keep their order; the end of the stream goes on like one.
func (p *pipe) run(src, dst net.Conn, from, to string) {
	pieces := make(chan bytesAt, 64)
	go func() {
		defer close(pieces)
		for {
			buf := make([]byte, piece)
			n, err := src.Read(buf)
			if n > 0 {
				select {
				case pieces <- bytesAt{actor.Now(), buf[:n]}:
				case <-p.over:
					return
				}
			}
			if err != nil {
				if !errors.Is(err, io.EOF) { // it was reset, and so is the other side
					p.stream.relay.Do(p.end)
				}
				return
			}
		}
	}()
	for b := range pieces {
		wait, ok := p.ask(from, to)
		if !ok || !p.sleep(time.Duration(b.at+int64(wait)-actor.Now())) {
			return
		}
		if _, err := dst.Write(b.body); err != nil {
			p.stream.relay.Do(p.end)
			return
		}
	}
	if _, ok := p.ask(from, to); ok {
		if t, isTCP := dst.(*net.TCPConn); isTCP {
			t.CloseWrite()
		}
		p.stream.relay.Do(func() { p.half() })
	}
}
