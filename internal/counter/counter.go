// Package counter calls the shared counter: a server that speaks RESP2 and knows INCRBYFLOAT and PEXPIRE with NX, as
// Redis does from version 7 on. Wire names end here; it decides nothing. Each call gets exactly one answer, in time,
// whatever the server does: none that comes late or not at all holds anything up.
package counter

import (
	"errors"
	"log"
	"net"
	"net/netip"
	"runtime/debug"
	"strconv"
	"time"

	"ravensill/gateway"
	"ravensill/internal/resp"
	"ravensill/internal/ring"
)

const (
	lost    = "lost" // states
	back    = "back"
	prefix  = "ravensill:"
	most    = 64 << 10        // bytes that wait to be sent; a call beyond that is turned away
	overdue = 20              // times its wait: a call so old ends its connection
	pause   = time.Second / 2 // between tries to connect
)

var (
	errUnasked = errors.New("a reply that nothing was asked for")
	errReply   = errors.New("a reply that holds no number")
)

// Counter is one gateway's connection to it. All its fields belong to the node's loop.
type Counter struct {
	addr    netip.AddrPort
	wait    int64 // a call is given up after so long
	do      func(func())
	now     func() int64
	done    func(gateway.Event)
	link    *ring.Link // nil: none is up
	calls   []call     // under way, in order
	dialing bool
	closed  bool
	state   string // told in the log last, lost or back,
	endless bool   // as is that numbers are not forgotten
}

// call awaits two replies: to INCRBYFLOAT, then to PEXPIRE.
type call struct {
	name  uint64
	at    int64
	ended bool // its answer was given: its replies are passed over
	half  bool // the first reply has come
}

// New makes one that is not connected yet. done gets each call's answer, in the loop.
func New(addr netip.AddrPort, wait int64, do func(func()), now func() int64, done func(gateway.Event)) *Counter {
	return &Counter{addr: addr, wait: wait, do: do, now: now, done: done}
}

// Count adds an amount to a number that is forgotten life after its first call.
func (c *Counter) Count(name uint64, amount float64, life int64) {
	k := call{name: name, at: c.now()}
	if c.link == nil {
		c.Connect()
		c.end(&k, gateway.Unreached, 0)
		return
	}
	key := prefix + strconv.FormatUint(name, 10)
	cmd := resp.Array(nil, 3)
	cmd = resp.Bulk(resp.Bulk(resp.Bulk(cmd, "INCRBYFLOAT"), key), strconv.FormatFloat(amount, 'f', -1, 64))
	cmd = resp.Bulk(resp.Bulk(resp.Array(cmd, 4), "PEXPIRE"), key)
	cmd = resp.Bulk(resp.Bulk(cmd, strconv.FormatInt(max(life/int64(time.Millisecond), 1), 10)), "NX")
	if !c.link.Out.Write(cmd) {
		c.end(&k, gateway.Busy, 0)
		return
	}
	c.calls = append(c.calls, k)
}

func (c *Counter) end(k *call, res gateway.Result, total float64) {
	if !k.ended {
		k.ended = true
		c.done(gateway.Event{Kind: gateway.Counted, Name: k.name, Result: res, Total: total, Lag: c.now() - k.at})
	}
}

// Expire gives up the calls whose time is up, and tells when the next one is; 0 none. A connection on which one is
// long overdue ends: what its server still holds is of no use.
func (c *Counter) Expire(now int64) (next int64) {
	for i := range c.calls {
		k := &c.calls[i]
		if now < k.at+c.wait {
			return k.at + c.wait
		}
		c.end(k, gateway.TimedOut, 0)
	}
	if len(c.calls) == 0 {
		return 0
	}
	if next = c.calls[0].at + overdue*c.wait; now >= next {
		c.drop(c.link, "no answer")
		return 0
	}
	return next
}

// Flush sends what waits; it tells whether some is left.
func (c *Counter) Flush() bool {
	if c.link == nil || c.link.Out.Len() == 0 {
		return false
	}
	if err := c.link.Flush(); err != nil {
		c.drop(c.link, err.Error())
		return false
	}
	return c.link.Out.Len() > 0
}

// Connect begins to connect, unless that is under way or done.
func (c *Counter) Connect() {
	if c.dialing || c.closed || c.link != nil {
		return
	}
	c.dialing = true
	go func() {
		d := net.Dialer{Timeout: time.Second}
		conn, err := d.Dial("tcp4", c.addr.String())
		var link *ring.Link
		if err == nil {
			link, err = ring.NewLink(conn.(*net.TCPConn), most, most)
		}
		if err != nil {
			time.AfterFunc(pause, func() { c.do(func() { c.dialing = false }) })
			c.do(func() { c.told(lost, err.Error()) })
			return
		}
		c.do(func() {
			if c.dialing = false; c.closed {
				link.Close()
				return
			}
			c.link, c.endless = link, false
			c.told(back, "")
			go c.read(link)
		})
	}()
}

// read decodes what the server answers and brings it to the loop, until the connection ends.
func (c *Counter) read(link *ring.Link) {
	defer func() {
		if p := recover(); p != nil {
			log.Printf("event=panic where=counter error=%q stack=%q", p, debug.Stack())
			c.do(func() { c.drop(link, "panic") })
		}
	}()
	var parser resp.Parser
	for {
		err := link.Read()
		for err == nil {
			var v resp.Value
			var ok bool
			if v, ok, err = parser.Next(link.In); err != nil || !ok {
				break
			}
			kind, text, total := v.Kind, string(v.Line), 0.0
			if kind == '$' {
				total, err = number(v.Parts[0])
			}
			if err == nil {
				c.do(func() { c.reply(link, kind, text, total) })
			}
		}
		if err != nil {
			c.do(func() { c.drop(link, err.Error()) })
			return
		}
	}
}

func number(text []byte) (float64, error) {
	x, err := strconv.ParseFloat(string(text), 64)
	if err != nil || x-x != 0 { // nor one that is not finite
		return 0, errReply
	}
	return x, nil
}

// reply takes in one reply: a number, or a line of its kind.
func (c *Counter) reply(link *ring.Link, kind byte, text string, total float64) {
	switch {
	case c.link != link:
		return
	case len(c.calls) == 0:
		c.drop(link, errUnasked.Error())
		return
	}
	k := &c.calls[0]
	switch {
	case k.half:
		c.calls = c.calls[1:]
		if kind == '-' && !c.endless { // older servers don't know NX: their numbers stay for ever
			c.endless = true
			log.Printf("event=counter_no_expiry addr=%s error=%q", c.addr, text)
		}
		return
	case kind == '-': // it was not carried out
		c.end(k, gateway.Busy, 0)
	case kind == '$':
		c.end(k, gateway.Passed, total)
	default:
		c.drop(link, errReply.Error())
		return
	}
	k.half = true
}

// drop ends a connection; what was under way on it may have been carried out.
func (c *Counter) drop(link *ring.Link, why string) {
	if c.link != link || link == nil {
		return
	}
	c.told(lost, why)
	link.Close()
	c.link = nil
	calls := c.calls
	c.calls = nil
	for i := range calls {
		c.end(&calls[i], gateway.Broken, 0)
	}
}

// told logs that the counter is lost or back, once each.
func (c *Counter) told(state, why string) {
	if c.state == state || c.closed {
		return
	}
	c.state = state
	log.Printf("event=counter_%s addr=%s error=%q", state, c.addr, why)
}

// Close ends the connection for good.
func (c *Counter) Close() {
	c.closed = true
	c.drop(c.link, "")
}
