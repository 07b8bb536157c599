package hosts

import (
	"container/list"
	"errors"
	"fmt"
	"log"
	"net"
	"net/netip"
	"os"
	"runtime/debug"
	"slices"
	"strconv"
	"time"

	"ravensill/gateway"
	"ravensill/internal/resp"
	"ravensill/internal/ring"
)

const (
	mostOut = 160 << 10                    // a command with the largest body, and to spare
	settle  = int64(10 * time.Millisecond) // a connection rests after an answer: what belongs to it has come by then
	whole   = 500 * time.Millisecond       // from an answer's first byte to its last
)

var (
	errUnasked = errors.New("answer to nothing")
	errShut    = errors.New("ended before anything was sent")
)

// Fleet holds all connections to hosts. Its fields belong to the loop that do brings work to.
type Fleet struct {
	do          func(func())
	now         func() int64
	names       []string                  // of load reports
	idle        int64                     // a connection is kept for so long
	most, count int                       // connections
	settle      int64                     // until a free one is used again
	addrs       map[uint32]netip.AddrPort // where each host listens
	hosts       map[uint32]*Host          // those that something was sent to: a few of a long list
	waiting     int                       // sends that wait for a connection, of all hosts
	dialing     int                       // connections on their way, to all hosts
	free        *list.List                // of *conn, to all hosts: the longest free first
	dirty       []*conn
	Dial        func(addr string) (net.Conn, error)
	gate        *Gate // nil: no quota
	urgent      bool  // the next send is
}

// Host is one host's connections.
type Host struct {
	fleet   *Fleet
	addr    netip.AddrPort
	free    []*conn // the last used last
	waiting []*Send // for a connection
	dialing int
	failing bool // its last dispatch failed, and not for want of time
	gone    bool // nothing more is sent to it
}

// Ended takes in how a dispatch or probe ended, and when: e holds the result and the figures that came along,
// value what a host answered.
type Ended func(e gateway.Event, value []byte, came int64)

// Send is one dispatch on its way.
type Send struct {
	host   *Host
	conn   *conn // nil while it waits
	text   []byte
	over   bool
	probe  bool
	result Ended
	urgent bool
	until  int64 // its turn comes by then, where there is a quota
	by     int64 // its last byte is written by then, or it is given up
	begun  bool  // bytes of it went out,
	wrote  int64 // and none before this time
}

type conn struct {
	host   *Host
	addr   netip.AddrPort
	link   *ring.Link
	send   *Send // the one it carries
	freed  int64
	place  *list.Element // among the fleet's free ones; nil: it is not free
	reads  int           // answers
	read   int64         // of the link's Reads, those up to the last answer
	marked bool
	used   bool // something was sent on it
	closed bool
}

func NewFleet(do func(func()), now func() int64, names []string, connectTimeout, idle int64, most int) *Fleet {
	d := net.Dialer{Timeout: time.Duration(connectTimeout), KeepAlive: -1}
	return &Fleet{do: do, now: now, names: names, idle: idle, most: most, settle: settle, addrs: map[uint32]netip.AddrPort{}, hosts: map[uint32]*Host{}, free: list.New(),
		Dial: func(addr string) (net.Conn, error) { return d.Dial("tcp4", addr) }}
}

// Place tells where a host listens; connections to another address end once they are free.
func (f *Fleet) Place(id uint32, addr netip.AddrPort) {
	f.addrs[id] = addr
	if h := f.hosts[id]; h != nil && h.addr != addr {
		h.addr = addr
		h.drop()
	}
}

// host gives the connections of a host, nil where there is no such host.
func (f *Fleet) host(id uint32) *Host {
	if h := f.hosts[id]; h != nil {
		return h
	}
	addr, known := f.addrs[id]
	if !known {
		return nil
	}
	h := &Host{fleet: f, addr: addr}
	f.hosts[id] = h
	return h
}

// Drop forgets a host. Its free connections end, and what waits for one goes nowhere; what is out ends as it ends.
func (f *Fleet) Drop(id uint32) {
	delete(f.addrs, id)
	h := f.hosts[id]
	if h == nil {
		return
	}
	delete(f.hosts, id)
	f.waiting -= len(h.waiting)
	f.dialing -= h.dialing
	h.gone = true
	h.drop()
	h.withhold(errGone)
}

// Hold takes in that a host wants nothing new: what has not begun goes nowhere, since a connection that it waits for may come
// up when the time for late sends is over. The module knows of the drain before it hears of these ends, and sends elsewhere.
func (f *Fleet) Hold(id uint32) {
	if h := f.hosts[id]; h != nil {
		h.withhold(ErrCanceled)
	}
}

// withhold ends all sends to a host of which no byte is written.
func (h *Host) withhold(why error) {
	f := h.fleet
	all := slices.Clone(h.waiting)
	if f.gate != nil {
		all = append(all, f.gate.queue...)
	}
	for _, c := range f.dirty {
		if c.send != nil {
			all = append(all, c.send)
		}
	}
	for _, s := range all {
		if s.host == h && !s.begun {
			s.Stop(why)
		}
	}
}

// wait sets the sends that wait for a connection, and keeps the fleet's count of them.
func (h *Host) wait(waiting []*Send) {
	if !h.gone {
		h.fleet.waiting += len(waiting) - len(h.waiting)
	}
	h.waiting = waiting
}

// dials counts connections on their way, the fleet's too.
func (h *Host) dials(more int) {
	h.dialing += more
	if !h.gone {
		h.fleet.dialing += more
	}
}

func (h *Host) drop() {
	for len(h.free) > 0 {
		h.free[0].close()
	}
}

// Dispatch sends a command: head, before, the time it will wait, after, tail. It is written by a time, or not at all. result is
// called once.
func (f *Fleet) Dispatch(id uint32, head, before, after, tail []byte, wait, by int64, result Ended) *Send {
	ms := strconv.AppendInt(nil, max((wait+999_999)/1_000_000, 1), 10)
	text := make([]byte, 0, len(head)+len(before)+len(after)+len(tail)+32)
	text = append(text, head...)
	text = append(strconv.AppendInt(append(text, '$'), int64(len(before)+len(ms)+len(after)), 10), '\r', '\n')
	text = append(append(append(append(text, before...), ms...), after...), '\r', '\n')
	return f.send(id, append(text, tail...), wait, by, result)
}

// Probe asks a host for its load.
func (f *Fleet) Probe(id uint32, result Ended) *Send {
	s := f.send(id, resp.Bulk(resp.Bulk(resp.Array(nil, 2), "INFO"), "load"), int64(time.Second), f.now()+int64(time.Second), result)
	s.probe = true
	return s
}

func (f *Fleet) send(id uint32, text []byte, wait, by int64, result Ended) *Send {
	h := f.host(id)
	if h == nil {
		s := &Send{host: &Host{fleet: f, gone: true}, text: text, result: result}
		s.fail(&Failure{Connecting, errGone})
		return s
	}
	s := &Send{host: h, text: text, result: result, urgent: f.urgent, by: by}
	if f.gate != nil {
		f.gate.take(s, wait)
		return s
	}
	h.place(s)
	return s
}

// place has a free connection carry a send, or one that is dialed for it.
func (h *Host) place(s *Send) {
	if c := h.rested(h.fleet.now()); c != nil {
		c.carry(s)
		return
	}
	h.wait(append(h.waiting, s))
	h.dial()
}

// rested gives the free connection used last that has rested. Some hosts send more behind an answer, a second copy of it
// even, some milliseconds later: the next req must never be given that as its own. What has come by then is seen as
// the next req is written; what came later could not be told from its answer.
func (h *Host) rested(now int64) *conn {
	for i := len(h.free) - 1; i >= 0; i-- {
		if c := h.free[i]; now-c.freed >= h.fleet.settle {
			return c
		}
	}
	return nil
}

// dial opens as many connections as there are sends without one.
func (h *Host) dial() {
	for h.dialing < len(h.waiting) {
		if !h.fleet.room() {
			n := len(h.waiting) - 1
			s := h.waiting[n]
			h.wait(h.waiting[:n])
			s.fail(&Failure{Connecting, errRoom})
			continue
		}
		h.dials(1)
		h.fleet.count++
		c := &conn{host: h, addr: h.addr}
		go c.run()
	}
}

// room tells whether one more connection may be opened, and closes the one free the longest if not.
func (f *Fleet) room() bool {
	if f.count < f.most {
		return true
	}
	oldest := f.free.Front()
	if oldest == nil {
		return false
	}
	oldest.Value.(*conn).close()
	return true
}

// run opens the connection and reads it; what it reads goes to the loop.
func (c *conn) run() {
	f := c.host.fleet
	defer func() {
		if p := recover(); p != nil {
			log.Printf("event=panic where=host error=%q stack=%q", p, debug.Stack())
			f.do(func() { c.fail(errors.New("panic")) })
		}
	}()
	sock, err := f.Dial(c.addr.String())
	if err != nil {
		f.do(func() { c.undialed(err) })
		return
	}
	link, err := ring.NewLink(sock.(*net.TCPConn), resp.Most, mostOut)
	if err != nil {
		sock.Close()
		f.do(func() { c.undialed(err) })
		return
	}
	f.do(func() {
		c.link = link
		c.host.dials(-1)
		c.release()
	})
	var parser resp.Parser
	begun := false // an answer that is not yet whole
	for {
		if err := link.Read(); err != nil {
			if begun && errors.Is(err, os.ErrDeadlineExceeded) {
				err = fmt.Errorf("%w: it does not end", errSpoilt)
			}
			f.do(func() { c.fail(err) })
			return
		}
		reads, came := link.Reads(), f.now()
		v, ok, err := parser.Next(link.In)
		if !ok && err == nil {
			if !begun && link.In.Len() > 0 {
				begun = true
				link.Patience(whole)
			}
			continue
		}
		var e gateway.Event
		var value []byte
		if err == nil {
			value, err = read(v, f.names, &e)
		}
		if err != nil {
			f.do(func() { c.fail(fmt.Errorf("%w: %w", errSpoilt, err)) })
			return
		}
		value = slices.Clone(value)
		more := parser.More(link.In)
		if f.do(func() { c.answered(e, value, came, reads, more) }); more {
			return
		}
		if begun {
			begun = false
			link.Patience(0)
		}
	}
}

func (c *conn) undialed(err error) {
	h := c.host
	h.dials(-1)
	h.fleet.count--
	if len(h.waiting) > h.dialing { // nothing is left that could carry the first
		s := h.waiting[0]
		h.wait(h.waiting[1:])
		if g := h.fleet.gate; g == nil || !g.refused(s, err) {
			s.fail(&Failure{Connecting, err})
		}
	}
}

// release gives a new connection to the send that has waited longest, or keeps it. One that has just carried an
// answer rests: each send that waits has its own on the way.
func (c *conn) release() {
	h := c.host
	if c.addr != h.addr || h.gone { // the host has moved
		c.close()
		h.dial()
		return
	}
	now := h.fleet.now()
	g := h.fleet.gate
	if g != nil && c.read == 0 {
		g.rest(h)
	}
	for g == nil && c.read == 0 && len(h.waiting) > 0 {
		s := h.waiting[0]
		h.wait(h.waiting[1:])
		if now <= s.by {
			c.carry(s)
			return
		}
		s.fail(&Failure{Connecting, ErrTimedOut}) // it came up too late for this one
	}
	c.addFree(now)
}

// addFree keeps the connection as free from now on.
func (c *conn) addFree(now int64) {
	c.freed = now
	c.host.free = append(c.host.free, c)
	c.place = c.host.fleet.free.PushBack(c)
}

// removeFree takes the connection from the free ones, if it is among them.
func (c *conn) removeFree() {
	if c.place == nil {
		return
	}
	c.host.fleet.free.Remove(c.place)
	c.place = nil
	if i := slices.Index(c.host.free, c); i >= 0 {
		c.host.free = slices.Delete(c.host.free, i, i+1)
	}
}

func (c *conn) carry(s *Send) {
	c.removeFree()
	c.send, s.conn = s, c
	if g := c.host.fleet.gate; g != nil {
		g.carried(s)
	}
	if !c.marked {
		c.marked = true
		c.host.fleet.dirty = append(c.host.fleet.dirty, c)
	}
}

func (c *conn) answered(e gateway.Event, value []byte, came, reads int64, more bool) {
	s := c.send
	c.read = reads
	c.reads++
	if g := c.host.fleet.gate; g != nil && s != nil && c.reads == 1 && e.Result == gateway.Busy {
		c.send = nil
		g.done(s, false)
		c.close()
		g.refused(s, errStore)
		return
	}
	if s == nil || s.stage() != Sent || came < s.wrote {
		c.fail(errUnasked)
		return
	}
	if e.Result == gateway.Passed && (value == nil) != s.probe {
		c.fail(fmt.Errorf("%w: %w", errSpoilt, errReply))
		return
	}
	c.send = nil
	if g := c.host.fleet.gate; g != nil {
		g.done(s, true)
	}
	s.over = true
	if c.host.failing {
		c.host.failing = false
		log.Printf("event=host_answers addr=%s", c.host.addr)
	}
	if more {
		c.close()
	} else {
		c.release()
	}
	s.result(e, value, came)
}

// fail ends the connection, and the send it carries.
func (c *conn) fail(err error) {
	if c.closed {
		return
	}
	if c.link == nil {
		c.closed = true
		c.undialed(err)
		return
	}
	s, stage := c.send, Sent
	if s != nil {
		stage = s.stage()
	}
	c.send = nil
	c.close()
	if g := c.host.fleet.gate; g != nil && s == nil && !c.used {
		g.slow() // the store ended it before anything was sent on it
	} else if g != nil && s != nil {
		g.done(s, false)
		if stage == Writing && c.reads == 0 && g.refused(s, err) { // ended before anything was on it
			return
		}
	}
	if s != nil {
		s.fail(&Failure{stage, err})
	}
}

func (c *conn) close() {
	if c.closed {
		return
	}
	c.closed = true
	c.host.fleet.count--
	c.link.Close()
	c.removeFree()
}

func (s *Send) fail(failure *Failure) {
	if h := s.host; !s.over {
		s.over = true
		if !h.failing && !h.gone && !errors.Is(failure, ErrTimedOut) && !errors.Is(failure, ErrCanceled) && !errors.Is(failure, errTurn) {
			h.failing = true
			log.Printf("event=host_failing addr=%s stage=%s error=%q", h.addr, failure.Stage, failure.Err)
		}
		s.result(gateway.Event{Result: failure.Result()}, nil, h.fleet.now())
	}
}

// Never is a dispatch that was over before it began.
var Never = &Send{over: true}

// Sent tells whether the dispatch is over, or its last byte written.
func (s *Send) Sent() bool { return s.over || s.stage() == Sent }

func (s *Send) stage() Stage {
	switch {
	case s.conn == nil:
		return Connecting
	case !s.begun || s.conn.link.Out.Len() > 0:
		return Writing
	}
	return Sent
}

// Stop gives the dispatch up from here, with why.
func (s *Send) Stop(why error) {
	if s.over {
		return
	}
	if s.conn != nil {
		s.conn.fail(why)
		return
	}
	h := s.host
	h.wait(slices.DeleteFunc(h.waiting, func(w *Send) bool { return w == s }))
	if g := h.fleet.gate; g != nil {
		g.drop(s)
	}
	s.fail(&Failure{Connecting, why})
}

// Flush writes all that was dispatched since the last call, one write a connection. It tells whether any had
// to stay behind. A write that fails may put its send on another connection, and so add to the list that it goes through.
func (f *Fleet) Flush() bool {
	if f.gate != nil {
		f.gate.pump()
	}
	n := 0
	for i := 0; i < len(f.dirty); i++ {
		if c := f.dirty[i]; c.flush() {
			f.dirty[n] = c
			n++
		} else {
			c.marked = false
		}
	}
	clear(f.dirty[n:])
	f.dirty = f.dirty[:n]
	return n > 0
}

// flush writes what the connection carries, as far as its socket takes it, and tells whether some is left. An attempt begins
// here and nowhere else, so what must hold of its connection and its time is looked at here: the loop may have decided on it
// long before.
func (c *conn) flush() (left bool) {
	s := c.send
	if s == nil {
		return false
	}
	if !s.begun && !(c.reads == 0 && c.link.Fresh() || c.reads > 0 && c.link.Quiet(c.read)) {
		c.stale(s)
		return false
	}
	now := c.host.fleet.now()
	if now > s.by {
		c.fail(ErrTimedOut)
		return false
	}
	if !s.begun {
		s.begun, s.wrote, c.used = true, now, true
		c.link.Out.Write(s.text)
		if c.host.fleet.gate == nil { // else the store may refuse the connection
			s.text = nil
		}
	}
	if err := c.link.Flush(); err != nil {
		c.fail(err)
		return false
	}
	return c.link.Out.Len() > 0
}

// stale ends a connection on which something came, bytes or its end, before its send was written: that never ran, and goes
// to another. A new connection that the host ended so counts as one that did not come up.
func (c *conn) stale(s *Send) {
	h, g := c.host, c.host.fleet.gate
	c.send, s.conn = nil, nil
	c.close()
	if g != nil {
		g.done(s, false)
	}
	switch {
	case c.reads == 0:
		if g == nil || !g.refused(s, errStore) {
			s.fail(&Failure{Connecting, errShut})
		}
	case g != nil:
		g.queue = append([]*Send{s}, g.queue...)
		g.pump()
	default:
		h.place(s)
	}
}

// Tidy closes connections that have been free for too long: the host's machine closes them soon after, and
// a req on its way then ends as one that may have run. It looks at what it closes and one more.
func (f *Fleet) Tidy() {
	now := f.now()
	for f.free.Len() > 0 {
		oldest := f.free.Front().Value.(*conn)
		if now-oldest.freed <= f.idle {
			return
		}
		oldest.close()
	}
}
