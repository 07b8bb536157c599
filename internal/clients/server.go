package clients

import (
	"errors"
	"fmt"
	"log"
	"net"
	"os"
	"runtime/debug"
	"sync"
	"time"

	"ravensill/internal/resp"
	"ravensill/internal/ring"
)

const (
	mostOpen  = 256                           // commands of one connection that wait for answers; more are begun later
	mostAhead = 512 << 10                     // bytes of commands that wait to be begun; more are read later
	mostBad   = 16                            // commands in a row that can't be understood: then the connection ends
	mostOut   = 256 << 10                     // bytes that wait for a client that reads slowly
	stuck     = int64(10 * time.Second)       // until one that takes none of them is cut off
	linger    = time.Second                   // a client is read after its last answer
	unasked   = int64(2 * time.Second)        // until a first command is whole, and from any command's first byte to its last
	quiet     = int64(2 * time.Second)        // idle for more, it ends
	grace     = int64(100 * time.Millisecond) // for its first command to come; until then a connection makes no room
	arriving  = int64(20 * time.Millisecond)  // an answer is on its way: a close over bytes that come now would reset it away
	retry     = 20 * time.Millisecond         // until a place is looked for again
	lines     = int64(time.Second)            // between log lines of one kind
)

var (
	errUnfinished = errors.New("no whole command came in time")
	errBad        = errors.New("too many commands that can't be understood")
	errSlow       = errors.New("answers are read too slowly")
)

// Arrive is called on the loop for each req that comes in, with when it came. The command to pass on is head,
// before, the time to wait, after, tail.
type Arrive func(a *Answer, came int64, id, customer string, front, plan int, until int64, units float64,
	spread, first int, again bool, head, before, after, tail []byte)

// Server holds all client connections. Its fields belong to the loop that do brings work to.
type Server struct {
	catalog           *Catalog
	most              int // connections; more wait to be taken in
	do                func(func())
	now               func() int64
	arrive            Arrive
	conns             map[*Conn]bool
	dirty             []*Conn       // have answers to write
	slow              []*Conn       // and did not take all
	grants            chan bool     // to the accept loop: whether there is a place. One for each time that it asks
	freed             chan struct{} // has one after a connection ended
	listener          *net.TCPListener
	accepting, closed bool // the accept loop runs, is to end
	retiring          bool
	tidied            int64
	faults            tally
	fulls             tally
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

// NewServer holds up to most connections, whose commands name what the catalog knows.
func NewServer(catalog *Catalog, most int, do func(func()), now func() int64, arrive Arrive) *Server {
	return &Server{catalog: catalog, most: most, do: do, now: now, arrive: arrive, conns: map[*Conn]bool{},
		grants: make(chan bool, 1), freed: make(chan struct{}, 1)}
}

// Conn is one client connection. Its fields belong to the loop, but for the mailbox and what the reader keeps.
type Conn struct {
	server *Server
	link   *ring.Link
	Line
	mailbox
	taken  func()        // take
	over   chan struct{} // closed when the connection has ended: its reader waits for nothing then
	seen   int64         // of the link's Reads, those that were taken
	part   int64         // when the command that is not yet whole began to come, as far as was taken; 0 none is
	marked bool          // among the dirty or the slow
	asked  int           // whole commands that came
	said   int64         // when it was last given an answer; at first, when it connected
	slowAt int64         // when its client last took a part of what waits for it; 0 nothing waits
	ending bool          // no command is sent on; it ends when nothing is owed
	half   bool          // half-closed: nothing was owed
	closed bool

	came  int64 // the reader's: when the bytes now read had come,
	since int64 // when the command that is not yet whole began to come; 0 none is
	bad   int   // commands in a row that can't be understood
}

// mailbox is what a reader brings. One piece of work for it is on the way to the loop at most: a flood neither fills the
// loop's inbox nor keeps its reader from seeing that the client has gone, and what was not begun by then never is.
type mailbox struct {
	mu             sync.Mutex
	asks           []ask // not begun, from first on
	first          int
	bytes          int           // of these
	reads, partial int64         // as seen and part below, as far as was read
	posted         bool          // a piece of work is on its way
	room           chan struct{} // has one when fewer bytes wait
}

// ask is one command.
type ask struct {
	bytes int
	begin func(*Answer)
}

// Listen takes in connections until Unlisten.
func (s *Server) Listen(l *net.TCPListener) {
	s.listener, s.accepting = l, true
	go func() {
		defer s.do(func() { s.accepting = false })
		failed := tally{}
		for last := 0; ; {
			for s.do(s.offer); !<-s.grants; s.do(s.offer) {
				select {
				case <-s.freed:
				case <-time.After(retry):
				}
			}
			if last > 0 { // just before, or it could be over before it is looked for any
				l.SetDeadline(time.Now().Add(retry))
			}
			link, err := s.accept(l)
			switch {
			case err == nil:
				c := &Conn{server: s, link: link, Line: Line{out: link.Out}, over: make(chan struct{}),
					mailbox: mailbox{room: make(chan struct{}, 1)}}
				c.let, c.taken = c.given, c.take
				s.do(c.known) // before the next is let in: the loop counts what it knows
				go c.run()
			case errors.Is(err, os.ErrDeadlineExceeded) && last < 2:
				last++ // what the system has taken in by now is taken in here, too: a close would reset it
			case errors.Is(err, os.ErrDeadlineExceeded), errors.Is(err, net.ErrClosed):
				l.Close()
				return
			default:
				if now := s.now(); failed.due(now) {
					log.Printf("event=accept_failed error=%q count=%d", err, failed.told(now))
				}
				time.Sleep(10 * time.Millisecond)
			}
		}
	}()
}

func (s *Server) accept(l *net.TCPListener) (*ring.Link, error) {
	conn, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	link, err := ring.NewLink(conn, resp.Most, mostOut)
	if err != nil {
		conn.Close()
	}
	return link, err
}

func (c *Conn) known() {
	c.server.conns[c] = true
	c.said = c.server.now()
	c.retireIfIdle()
}

// offer tells the accept loop, which waits for it, whether there is a place for one more connection. It answers
// whatever befalls it: none else could free that loop. The places are counted by the connections that are, so none can go missing.
func (s *Server) offer() {
	ok := false
	defer func() { s.grants <- ok }()
	if len(s.conns) >= s.most && !s.closed {
		s.makeRoom()
	}
	ok = s.closed || len(s.conns) < s.most
}

// makeRoom ends a connection where descriptors are few. Those that connect and say nothing could take all
// places from those that ask: they go first, and so does one that is only read to its end. Then those go that
// asked once, else the one idle the longest. It goes at once: a client that stays would hold a place that is only half-closed, and each
// new one would wait for that. One whose next command lies unread, or is read and on its way here, is not idle.
func (s *Server) makeRoom() {
	now := s.now()
	var first *Conn
	for c := range s.conns {
		if c.idle() && (c.asked > 0 || now-c.said > grace) && (!c.ending || c.half && now-c.said > arriving) &&
			(first == nil || c.use() < first.use() || c.use() == first.use() && c.said < first.said) &&
			(c.half || c.link.Quiet(c.seen)) {
			first = c
		}
	}
	if first != nil && now-first.said <= arriving { // soon
		return
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
		switch {
		case c.slowAt > 0 && now-c.slowAt > stuck: // else it would stay for ever
			c.fault(errSlow)
			c.end()
		case c.ending, s.retiring:
			c.retireIfIdle()
		case c.asked == 0 && c.part == 0 && now-c.said > unasked && c.link.Quiet(c.seen), c.part > 0 && now-c.part > unasked:
			c.turnAway(errUnfinished)
		case c.idle() && c.asked > 0 && c.part == 0 && now-c.said > quiet && c.link.Quiet(c.seen):
			c.ending = true // no close yet: one over bytes that come now would be a reset
			c.retireIfIdle()
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
		c.left.Store(true)
		s.do(c.end)
	}()
	commands := Commands{catalog: s.catalog}
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
				c.ask(0, func(a *Answer) {
					a.give(refused(err.Error()))
					c.fault(err)
				})
				c.post()
				c.link.Discard()
				return
			}
			if !ok {
				break
			}
		}
		if c.link.In.Len() == 0 {
			c.since = 0
		} else if c.since == 0 {
			c.since = c.came
		}
		c.post()
	}
}

// Arrive puts a request into the mailbox. What was changed in the catalog until the loop takes it in counts too.
func (c *Conn) Arrive(id, customer []byte, terms Terms, wait int64, again bool, verb, before, after, body []byte) {
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
	c.ask(len(text), func(a *Answer) {
		if err := c.server.catalog.recheck(&terms); err != nil {
			a.Aborted(err.Error())
			return
		}
		c.server.arrive(a, came, reqID, owner, terms.Class, terms.Plan, came+wait, terms.Units, terms.Spread, terms.First,
			again, text[:cut1], text[cut1:cut2], text[cut2:cut3], text[cut3:])
	})
}

func (c *Conn) Ping() { c.ask(0, func(a *Answer) { a.give([]byte("+PONG\r\n")) }) }

// Refuse answers a command that can't be taken. One that names what was removed is understood: its client may not know
// yet, and many such in a row don't end the connection.
func (c *Conn) Refuse(why error) {
	var removed *RemovedError
	if errors.As(why, &removed) {
		c.bad = 0
	} else {
		c.bad++
	}
	c.ask(0, func(a *Answer) { a.give(refused(why.Error())) })
}

// ask puts a command into the mailbox.
func (c *Conn) ask(bytes int, begin func(*Answer)) {
	c.since = 0
	bytes += 128 // what it takes beside its text
	c.mu.Lock()
	c.asks = append(c.asks, ask{bytes, begin})
	c.bytes += bytes
	c.mu.Unlock()
}

// post tells the loop what was read, and waits while too much of it is not begun.
func (c *Conn) post() {
	c.mu.Lock()
	c.reads, c.partial = c.link.Reads(), c.since
	first := !c.posted
	c.posted = true
	ahead := c.bytes
	c.mu.Unlock()
	if first {
		c.server.do(c.taken)
	}
	for ahead > mostAhead {
		select {
		case <-c.room:
		case <-c.over:
			return
		}
		c.mu.Lock()
		ahead = c.bytes
		c.mu.Unlock()
	}
}

// next takes the first command out of the mailbox.
func (c *Conn) next() (a ask, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.first == len(c.asks) {
		return a, false
	}
	a, c.asks[c.first] = c.asks[c.first], ask{}
	if c.first++; c.first == len(c.asks) {
		c.asks, c.first = c.asks[:0], 0
		if cap(c.asks) > mostOpen { // after a flood
			c.asks = nil
		}
	}
	if c.bytes -= a.bytes; c.bytes <= mostAhead {
		select {
		case c.room <- struct{}{}:
		default:
		}
	}
	return a, true
}

// take takes in what the reader brought.
func (c *Conn) take() {
	c.mu.Lock()
	c.posted = false
	c.seen, c.part = c.reads, c.partial
	c.mu.Unlock()
	c.begin()
	c.retireIfIdle()
}

// begin hands on the commands that may be open now, and none of a client that is known to be gone.
func (c *Conn) begin() {
	for !c.closed && !c.left.Load() && len(c.wait) < mostOpen {
		a, ok := c.next()
		if !ok {
			return
		}
		c.asked++
		switch {
		case c.half: // the close crossed the command: the client sees the end, and sends it again elsewhere
		case c.ending:
			c.Add().Denied(0) // never sent on: it may come again elsewhere at once, whatever its effect
		default:
			c.answered(a.begin)
		}
	}
}

// answered has a command answered, come what may: one that is not would hold back all behind it for ever.
func (c *Conn) answered(begin func(*Answer)) {
	a := c.Add()
	defer func() {
		if p := recover(); p != nil {
			log.Printf("event=panic where=loop error=%q stack=%q", fmt.Sprint(p), debug.Stack())
			a.Aborted("aborted")
		}
	}()
	begin(a)
}

// given sees to it that answers are written.
func (c *Conn) given(int) {
	if c.full {
		c.fault(errSlow)
		c.end()
		return
	}
	c.said = c.server.now()
	if !c.marked {
		c.marked = true
		c.server.dirty = append(c.server.dirty, c)
	}
}

// Flush writes all answers given since the last call, one write a connection, and begins the commands that waited for
// these. It tells whether any had to stay behind.
func (s *Server) Flush() bool {
	for i := 0; i < len(s.dirty); i++ { // what is begun may add to them
		c := s.dirty[i]
		if c == nil {
			continue
		}
		s.dirty[i], c.marked = nil, false // first: a panic must not keep the others from their turn for ever
		if c.closed {
			continue
		}
		had := c.out.Len()
		if err := c.link.Flush(); err != nil {
			c.end()
			continue
		}
		switch left := c.out.Len(); {
		case left == 0:
			c.slowAt = 0
		case left < had || c.slowAt == 0:
			c.slowAt = s.now()
			fallthrough
		default:
			c.marked = true
			s.slow = append(s.slow, c)
		}
		c.begin()
		c.retireIfIdle()
	}
	s.dirty, s.slow = append(s.dirty[:0], s.slow...), s.slow[:0]
	return len(s.dirty) > 0
}

// Unlisten takes in no more connections; those that are open are served on.
func (s *Server) Unlisten() {
	s.closed = true
	if s.listener != nil { // called to stop before it listened
		s.listener.SetDeadline(time.Now())
	}
}

// Retire ends each connection once it owes nothing. A command that crosses the close has no answer.
func (s *Server) Retire() {
	s.retiring = true
	for c := range s.conns {
		c.retireIfIdle()
	}
}

// End ends what is still open.
func (s *Server) End() {
	if s.listener != nil {
		s.listener.Close()
	}
	for c := range s.conns {
		c.end()
	}
}

// Count gives the number of connections.
func (s *Server) Count() int { return len(s.conns) }

// Over tells whether the last connection has ended, and no more can come.
func (s *Server) Over() bool { return len(s.conns) == 0 && !s.accepting }

func (c *Conn) idle() bool { return len(c.wait) == 0 && c.out.Len() == 0 }

// retireIfIdle half-closes, so that neither the last answer nor a command on its way is reset away. A command that is
// read and on its way to the loop, or lies unread, is not crossed by the close: it is taken first. One of which a part is there
// would be waited for.
func (c *Conn) retireIfIdle() {
	if c.closed || c.half || !c.idle() {
		return
	}
	if c.ending || c.server.retiring && (c.part > 0 || c.link.Quiet(c.seen)) {
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
	c.Add().give(refused(why.Error()))
	c.fault(why)
}

// end forgets a connection; its client is gone. What it holds is given back first, whatever befalls the rest.
func (c *Conn) end() {
	if c.closed {
		return
	}
	c.closed = true
	delete(c.server.conns, c)
	close(c.over)
	c.link.Close()
	select {
	case c.server.freed <- struct{}{}:
	default:
	}
	c.Line.end()
}
