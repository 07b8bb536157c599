package clients

import (
	"errors"
	"log"
	"net"
	"runtime/debug"
	"slices"
	"sync/atomic"
	"time"

	"ravensill/internal/resp"
	"ravensill/internal/ring"
)

const (
	mostOpen = 256                           // commands of one connection that wait for answers; more are read later
	mostBad  = 16                            // commands in a row that can't be understood: then the connection ends
	mostOut  = 256 << 10                     // bytes that wait for a client that reads slowly
	linger   = time.Second                   // a client is read after its last answer
	unasked  = int64(2 * time.Second)        // until a first command is whole, and from any command's first byte to its last
	quiet    = int64(2 * time.Second)        // idle for more, it ends
	grace    = int64(100 * time.Millisecond) // for its first command to come; until then a connection makes no room
	retry    = 20 * time.Millisecond         // until a place is looked for again
	lines    = int64(time.Second)            // between log lines of one kind
)

var (
	errUnfinished = errors.New("no whole command came in time")
	errBad        = errors.New("too many commands that can't be understood")
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
	tidied   int64
	faults   tally
	fulls    tally
}

// tally keeps lines that anybody can cause by the thousand from filling the log: it counts what is not told.
type tally struct {
	n  int
	at int64 // of the last line
}

func (t *tally) due(now int64) bool {
	t.n++
	return t.at == 0 || now-t.at >= lines
}

func (t *tally) told(now int64) (n int) {
	n, t.n, t.at = t.n, 0, now
	return n
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
	bad    int           // commands in a row that can't be understood
	since  atomic.Int64  // when the command that is not yet whole began to come; 0 none is
	marked bool          // among the dirty
	asked  int           // whole commands that came
	said   int64         // when it was last given an answer; at first, when it connected
	ending bool          // nothing more is taken; it ends when nothing is owed
	half   bool          // half-closed: nothing was owed
	closed bool
}

// Listen takes in connections until Unlisten.
func (s *Server) Listen(l net.Listener) {
	s.listener = l
	go func() {
		for {
			select {
			case s.places <- struct{}{}:
			default:
				for full := true; full; {
					s.do(s.makeRoom)
					select {
					case s.places <- struct{}{}:
						full = false
					case <-time.After(retry):
					}
				}
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

// makeRoom ends a connection where descriptors are few. Those that connect and say nothing could take all
// places from those that ask: they go first, and so does one that is only read to its end. Then those go that
// asked once, else the one idle the longest. It goes at once: a client that stays would hold a place that is only half-closed, and each
// new one would wait for that. One whose next command lies unread is not idle.
func (s *Server) makeRoom() {
	now := s.now()
	var first *Conn
	for c := range s.conns {
		if c.idle() && (c.asked > 0 || now-c.said > grace) && (c.half || !c.ending) &&
			(first == nil || c.use() < first.use() || c.use() == first.use() && c.said < first.said) &&
			(c.half || c.link.Quiet(c.link.Reads())) {
			first = c
		}
	}
	if s.fulls.due(now) {
		log.Printf("event=clients_full clients=%d room_made=%t count=%d", len(s.conns), first != nil, s.fulls.told(now))
	}
	if first != nil {
		first.end()
	}
}

// use is low for a connection that can be done without.
func (c *Conn) use() int {
	if c.half {
		return 0
	}
	return min(c.asked, 2)
}

// Tidy turns away who has not asked anything whole in time, and ends connections that stand idle: some clients
// connect, or ask once, and keep what they have for ever. It does not wait until places are short: clients may
// hold a third of the descriptors only, and those that stay keep the others from opening theirs.
func (s *Server) Tidy() {
	now := s.now()
	late := now-s.tidied > lines // this gateway stood still: what came meanwhile is not read yet
	s.tidied = now
	if late {
		return
	}
	for c := range s.conns {
		since := c.since.Load()
		switch {
		case c.ending:
		case c.asked == 0 && now-c.said > unasked, since > 0 && now-since > unasked:
			c.turnAway(errUnfinished)
		case c.idle() && since == 0 && now-c.said > quiet && c.link.Quiet(c.link.Reads()):
			c.end()
		}
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
		c.said = s.now()
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
			if err == nil && c.bad >= mostBad {
				err = errBad
			}
			if err != nil {
				c.Refuse(err)
				s.do(func() { c.fault(err) })
				c.link.Discard()
				return
			}
			if !ok {
				break
			}
		}
		if c.link.In.Len() == 0 {
			c.since.Store(0)
		} else if c.since.Load() == 0 {
			c.since.Store(c.came)
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
	c.bad = 0
	reqID, owner := string(id), string(customer)
	c.ask(func(a *Answer) {
		c.server.arrive(a, came, reqID, owner, front, plan, came+wait, units, spread, first, again,
			text[:cut1], text[cut1:cut2], text[cut2:cut3], text[cut3:])
	})
}

func (c *Conn) Ping() { c.ask(func(a *Answer) { a.give([]byte("+PONG\r\n")) }) }

func (c *Conn) Refuse(why error) {
	c.bad++
	c.ask(func(a *Answer) { a.give(refused(why.Error())) })
}

// ask brings a command to the loop, with the place of its answer.
func (c *Conn) ask(f func(*Answer)) {
	c.since.Store(0)
	select {
	case c.slots <- struct{}{}:
	case <-c.gone:
		return
	}
	c.server.do(func() {
		c.asked++
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

// Unlisten takes in no more connections; those that are open are served on.
func (s *Server) Unlisten() {
	if s.listener != nil { // called to stop before it listened
		s.listener.Close()
	}
}

// Retire ends each connection once it owes nothing. A command that crosses the close has no answer.
func (s *Server) Retire() {
	s.retiring = true
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
		if s, now := c.server, c.server.now(); s.faults.due(now) {
			log.Printf("event=client_fault error=%q open=%d count=%d", err, len(c.wait), s.faults.told(now))
		}
		c.ending = true
		c.retireIfIdle()
	}
}

// turnAway ends the connection with an error line behind the answers it is owed.
func (c *Conn) turnAway(why error) {
	select {
	case c.slots <- struct{}{}:
		c.Add().give(refused(why.Error()))
	default: // more of its commands wait than may
	}
	c.fault(why)
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
