package clients

import (
	"errors"
	"log"
	"net"
	"runtime/debug"
	"slices"
	"time"

	"ravensill/internal/resp"
	"ravensill/internal/ring"
)

const (
	mostOpen = 256 // commands of one connection that wait for answers; more are read later
	linger   = 2 * time.Second
	mostOut  = 256 << 10 // bytes that wait for a client that reads slowly
)

// Arrive is called on the loop for each req that comes in, with when it came. The command to pass on is head,
// before, the time to wait, after, tail.
type Arrive func(a *Answer, came int64, id, customer string, front, plan int, until int64, units float64,
	spread, first int, again bool, head, before, after, tail []byte)

// Server holds all client connections. Its fields belong to the loop that do brings work to.
type Server struct {
	words    Words
	places   chan struct{} // one for each connection: more wait to be taken in
	do       func(func())
	now      func() int64
	arrive   Arrive
	conns    map[*Conn]bool
	dirty    []*Conn
	listener net.Listener
	retiring bool
}

func NewServer(words Words, most int, do func(func()), now func() int64, arrive Arrive) *Server {
	return &Server{words: words, places: make(chan struct{}, most), do: do, now: now, arrive: arrive,
		conns: map[*Conn]bool{}}
}

// Conn is one client connection.
type Conn struct {
	server *Server
	link   *ring.Link
	Line
	slots  chan struct{} // one for each command that waits for its answer
	gone   chan struct{} // closed when the connection has ended: nobody waits for a slot then
	came   int64         // when the bytes now read had come
	marked bool          // among the dirty
	said   int64         // when it was last given an answer
	ending bool          // nothing more is taken; it ends when nothing is owed
	half   bool          // half-closed: nothing was owed
	closed bool
}

// Listen takes in connections until Retire.
func (s *Server) Listen(l net.Listener) {
	s.listener = l
	go func() {
		for {
			select {
			case s.places <- struct{}{}:
			default: // descriptors are few: the longest idle one makes room, or the next that ends
				s.do(s.makeRoom)
				s.places <- struct{}{}
			}
			conn, err := l.Accept()
			if errors.Is(err, net.ErrClosed) {
				return
			}
			var link *ring.Link
			if err == nil {
				link, err = ring.NewLink(conn.(*net.TCPConn), resp.Most, mostOut)
			}
			if err != nil {
				log.Printf("event=accept_failed error=%q", err)
				<-s.places
				time.Sleep(10 * time.Millisecond)
				continue
			}
			c := &Conn{server: s, link: link, Line: Line{out: link.Out}, slots: make(chan struct{}, mostOpen),
				gone: make(chan struct{})}
			c.let = c.given
			go c.run()
		}
	}()
}

func (s *Server) makeRoom() {
	var idlest *Conn
	for c := range s.conns {
		if c.idle() && !c.ending && (idlest == nil || c.said < idlest.said) {
			idlest = c
		}
	}
	log.Printf("event=clients_full clients=%d room_made=%t", len(s.conns), idlest != nil)
	if idlest != nil {
		idlest.ending = true
		idlest.retireIfIdle()
	}
}

// run reads the connection; what it reads goes to the loop.
func (c *Conn) run() {
	s := c.server
	defer func() {
		if p := recover(); p != nil {
			log.Printf("event=panic where=client error=%q stack=%q", p, debug.Stack())
		}
		s.do(c.end)
	}()
	s.do(func() {
		s.conns[c] = true
		c.retireIfIdle()
	})
	commands := Commands{words: &s.words}
	for {
		if err := c.link.Read(); err != nil {
			return // its client is gone, or it was ended here
		}
		c.came = s.now()
		for {
			ok, err := commands.Next(c.link.In, c)
			if err != nil {
				c.Refuse(err)
				s.do(func() { c.fault(err) })
				c.link.Discard(linger)
				return
			}
			if !ok {
				break
			}
		}
	}
}

func (c *Conn) Arrive(id, customer []byte, front, plan int, wait int64, units float64, spread, first int,
	again bool, verb, before, after, body []byte) {
	words, came := 4, c.came
	if body != nil {
		words = 5
	}
	text := make([]byte, 0, len(verb)+len(customer)+len(id)+len(before)+len(after)+len(body)+64)
	text = resp.Bulk(resp.Bulk(resp.Bulk(resp.Array(text, words), verb), customer), id)
	cut1 := len(text)
	text = append(text, before...)
	cut2 := len(text)
	text = append(text, after...)
	cut3 := len(text)
	if body != nil {
		text = resp.Bulk(text, body)
	}
	reqID, owner := string(id), string(customer)
	c.ask(func(a *Answer) {
		c.server.arrive(a, came, reqID, owner, front, plan, came+wait, units, spread, first, again,
			text[:cut1], text[cut1:cut2], text[cut2:cut3], text[cut3:])
	})
}

func (c *Conn) Ping() { c.ask(func(a *Answer) { a.give([]byte("+PONG\r\n")) }) }

func (c *Conn) Refuse(why error) { c.ask(func(a *Answer) { a.give(refused(why.Error())) }) }

// ask brings a command to the loop, with the place of its answer.
func (c *Conn) ask(f func(*Answer)) {
	select {
	case c.slots <- struct{}{}:
	case <-c.gone:
		return
	}
	c.server.do(func() {
		if !c.closed && !c.ending {
			f(c.Add())
			return
		}
		select { // the close crossed the command: the client sends it again elsewhere
		case <-c.slots:
		default: // the loop must never wait here: nothing else could free it
		}
	})
}

// given sees to it that n answers are written, and that as many commands may follow.
func (c *Conn) given(n int) {
	for ; n > 0; n-- {
		<-c.slots
	}
	if c.full {
		c.fault(errors.New("answers are read too slowly"))
		c.end()
		return
	}
	c.said = c.server.now()
	if !c.marked {
		c.marked = true
		c.server.dirty = append(c.server.dirty, c)
	}
}

// Flush writes all answers given since the last call, one write a connection. It tells whether any had to
// stay behind.
func (s *Server) Flush() bool {
	s.dirty = slices.DeleteFunc(s.dirty, func(c *Conn) bool {
		if !c.closed {
			if err := c.link.Flush(); err != nil {
				c.end()
			} else if c.out.Len() > 0 {
				return false
			}
			c.retireIfIdle()
		}
		c.marked = false
		return true
	})
	return len(s.dirty) > 0
}

// Retire stops taking in connections, and ends each one once it owes nothing.
func (s *Server) Retire() {
	s.retiring = true
	s.listener.Close()
	for c := range s.conns {
		c.retireIfIdle()
	}
}

// Count gives the number of connections.
func (s *Server) Count() int { return len(s.conns) }

func (c *Conn) idle() bool { return len(c.wait) == 0 && c.out.Len() == 0 }

// retireIfIdle half-closes, so that neither the last answer nor a command on its way is reset away.
func (c *Conn) retireIfIdle() {
	if (c.server.retiring || c.ending) && !c.closed && !c.half && c.idle() {
		c.ending, c.half = true, true
		c.link.CloseWrite(linger)
	}
}

// fault ends the connection after the answers it is owed.
func (c *Conn) fault(err error) {
	if !c.closed {
		log.Printf("event=client_fault error=%q open=%d", err, len(c.wait))
		c.ending = true
		c.retireIfIdle()
	}
}

// end forgets a connection; its client is gone.
func (c *Conn) end() {
	if c.closed {
		return
	}
	c.closed = true
	c.link.Close()
	delete(c.server.conns, c)
	<-c.server.places
	c.Line.end()
	close(c.gone)
}
