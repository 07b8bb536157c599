// Package counter is the client of the shared counter: a server that speaks RESP2 and supports INCRBYFLOAT and PEXPIRE
// with NX, as Redis does from version 7 on. Each call gets exactly one answer within its timeout, whatever the server
// does.
package counter

import (
	"context"
	"errors"
	"log/slog"
	"math"
	"net"
	"net/netip"
	"runtime/debug"
	"strconv"
	"sync"
	"time"

	"ravensill/gateway"
	"ravensill/internal/bufconn"
	"ravensill/internal/clock"
	"ravensill/internal/resp"
	"ravensill/internal/sockets"
)

// States of the connection that are logged.
const (
	stateLost     = "lost"
	stateRestored = "restored"
)

const (
	keyPrefix      = "ravensill:"
	maxUnsent      = 64 << 10        // bytes of unsent commands; a call beyond that is rejected
	overdueFactor  = 20              // a call older than its timeout by this factor ends the connection
	dialTimeout    = time.Second     // of an attempt to connect
	reconnectDelay = time.Second / 2 // between attempts to connect
)

var (
	errUnsolicitedReply = errors.New("a reply that nothing was asked for")
	errNotANumber       = errors.New("a reply that holds no number")
)

// Counter is one gateway's connection to the shared counter. All its fields belong to the loop, the goroutine that runs
// the functions of runOnLoop.
type Counter struct {
	system    sockets.System
	address   netip.AddrPort
	timeout   time.Duration // of a call
	runOnLoop func(func())
	now       func() clock.Instant
	onAnswer  func(gateway.Event)

	link     *bufconn.Link // nil: not connected
	inFlight []call        // in the order of their commands
	dialing  bool
	closed   bool

	cancelDial context.CancelFunc // nil: no attempt to connect yet
	goroutines sync.WaitGroup     // that connect and read replies

	loggedState    string // of the latest log line
	noExpiryLogged bool   // it is logged that the server does not support expiry
}

// call waits for two replies: to INCRBYFLOAT, then to PEXPIRE.
type call struct {
	name             uint64
	started          clock.Instant
	answered         bool // further replies are ignored
	incrementReplied bool // the reply to INCRBYFLOAT has arrived
}

// New returns a counter that is not connected yet and uses the sockets of system. onAnswer is called on the loop with
// the answer of each call.
func New(system sockets.System, address netip.AddrPort, timeout time.Duration, runOnLoop func(func()),
	now func() clock.Instant, onAnswer func(gateway.Event)) *Counter {
	return &Counter{
		system:    system,
		address:   address,
		timeout:   timeout,
		runOnLoop: runOnLoop,
		now:       now,
		onAnswer:  onAnswer,
	}
}

// Increment adds an amount to a named number, which expires a lifetime after its first call.
func (c *Counter) Increment(name uint64, amount float64, lifetime time.Duration) {
	newCall := call{name: name, started: c.now()}
	if c.link == nil {
		c.Connect()
		c.finish(&newCall, gateway.Unreachable, 0)
		return
	}
	key := keyPrefix + strconv.FormatUint(name, 10)
	milliseconds := max(lifetime.Milliseconds(), 1)
	commands := appendCommand(nil, "INCRBYFLOAT", key, strconv.FormatFloat(amount, 'f', -1, 64))
	commands = appendCommand(commands, "PEXPIRE", key, strconv.FormatInt(milliseconds, 10), "NX")
	if !c.link.Out.Write(commands) {
		c.finish(&newCall, gateway.Busy, 0)
		return
	}
	c.inFlight = append(c.inFlight, newCall)
}

// appendCommand appends an encoded command.
func appendCommand(dst []byte, elements ...string) []byte {
	dst = resp.AppendArrayHeader(dst, len(elements))
	for _, element := range elements {
		dst = resp.AppendBulk(dst, element)
	}
	return dst
}

// finish answers a call, unless it is answered.
func (c *Counter) finish(call *call, result gateway.Result, total float64) {
	if call.answered {
		return
	}
	call.answered = true
	c.onAnswer(gateway.Event{
		Kind:         gateway.CounterReplied,
		CounterName:  call.name,
		Result:       result,
		CounterTotal: total,
		Latency:      c.now().Sub(call.started),
	})
}

// TimeOutCalls times out calls and returns the instant at which to call it next, 0 if no call is in flight. It closes a
// connection with a call that is long overdue.
func (c *Counter) TimeOutCalls(now clock.Instant) (next clock.Instant) {
	for i := range c.inFlight {
		call := &c.inFlight[i]
		if timesOutAt := call.started.Add(c.timeout); now < timesOutAt {
			return timesOutAt
		}
		c.finish(call, gateway.TimedOut, 0)
	}
	if len(c.inFlight) == 0 {
		return 0
	}
	next = c.inFlight[0].started.Add(overdueFactor * c.timeout)
	if now >= next {
		c.closeLink(c.link, "no answer")
		return 0
	}
	return next
}

// Flush writes unsent commands and reports whether some are left.
func (c *Counter) Flush() bool {
	if c.link == nil || c.link.Out.Len() == 0 {
		return false
	}
	if err := c.link.Flush(); err != nil {
		c.closeLink(c.link, err.Error())
		return false
	}
	return c.link.Out.Len() > 0
}

// Connect starts a goroutine that connects, unless there is a connection or an attempt.
func (c *Counter) Connect() {
	if c.dialing || c.closed || c.link != nil {
		return
	}
	c.dialing = true
	ctx, cancel := context.WithCancel(context.Background())
	c.cancelDial = cancel
	c.goroutines.Go(func() {
		defer cancel()
		link, err := c.dial(ctx)
		if err != nil {
			time.AfterFunc(reconnectDelay, func() { c.runOnLoop(func() { c.dialing = false }) })
			c.runOnLoop(func() { c.logState(stateLost, err.Error()) })
			return
		}
		c.runOnLoop(func() { c.connected(link) })
	})
}

// dial opens a connection to the server.
func (c *Counter) dial(ctx context.Context) (*bufconn.Link, error) {
	conn, err := c.system.Dial(ctx, &net.Dialer{Timeout: dialTimeout}, c.address.String())
	if err != nil {
		return nil, err
	}
	link, err := bufconn.NewLink(c.system, conn, maxUnsent, maxUnsent)
	if err != nil {
		conn.Close()
	}
	return link, err
}

// connected starts using a new connection.
func (c *Counter) connected(link *bufconn.Link) {
	c.dialing = false
	if c.closed {
		link.Close()
		return
	}
	c.link = link
	c.noExpiryLogged = false
	c.logState(stateRestored, "")
	c.goroutines.Go(func() { c.readReplies(link) })
}

// readReplies passes the server's replies to the loop until the connection ends.
func (c *Counter) readReplies(link *bufconn.Link) {
	defer func() {
		if p := recover(); p != nil {
			slog.Error("panic", "where", "counter", "error", p, "stack", debug.Stack())
			c.runOnLoop(func() { c.closeLink(link, "panic") })
		}
	}()
	var parser resp.Parser
	for {
		err := link.Read()
		if err == nil {
			err = c.parseReplies(link, &parser)
		}
		if err != nil {
			c.runOnLoop(func() { c.closeLink(link, err.Error()) })
			return
		}
	}
}

// parseReplies passes all complete replies to the loop.
func (c *Counter) parseReplies(link *bufconn.Link, parser *resp.Parser) error {
	for {
		value, ok, err := parser.Next(link.In)
		if err != nil || !ok {
			return err
		}
		kind := value.Kind
		text := string(value.Line)
		total := 0.0
		if kind == '$' {
			total, err = parseNumber(value.BulkStrings[0])
			if err != nil {
				return err
			}
		}
		c.runOnLoop(func() { c.handleReply(link, kind, text, total) })
	}
}

// parseNumber parses a finite number.
func parseNumber(text []byte) (float64, error) {
	number, err := strconv.ParseFloat(string(text), 64)
	if err != nil || math.IsInf(number, 0) || math.IsNaN(number) {
		return 0, errNotANumber
	}
	return number, nil
}

// handleReply handles one reply: a number, or a line of its kind.
func (c *Counter) handleReply(link *bufconn.Link, kind byte, text string, total float64) {
	if c.link != link {
		return
	}
	if len(c.inFlight) == 0 {
		c.closeLink(link, errUnsolicitedReply.Error())
		return
	}
	call := &c.inFlight[0]
	if call.incrementReplied {
		c.inFlight = c.inFlight[1:]
		c.handleExpiryReply(kind, text)
		return
	}
	switch kind {
	case '-': // not executed
		c.finish(call, gateway.Busy, 0)
	case '$':
		c.finish(call, gateway.Succeeded, total)
	default:
		c.closeLink(link, errNotANumber.Error())
		return
	}
	call.incrementReplied = true
}

// handleExpiryReply logs that a server does not support PEXPIRE with NX: numbers of such a server never expire.
func (c *Counter) handleExpiryReply(kind byte, text string) {
	if kind != '-' || c.noExpiryLogged {
		return
	}
	c.noExpiryLogged = true
	slog.Warn("counter_expiry_unsupported", "addr", c.address, "error", text)
}

// closeLink closes a connection. The calls in flight on it may have been executed.
func (c *Counter) closeLink(link *bufconn.Link, reason string) {
	if c.link != link || link == nil {
		return
	}
	c.logState(stateLost, reason)
	link.Close()
	c.link = nil
	abandoned := c.inFlight
	c.inFlight = nil
	for i := range abandoned {
		c.finish(&abandoned[i], gateway.Disconnected, 0)
	}
}

// logState logs a change of the connection's state.
func (c *Counter) logState(state, reason string) {
	if c.loggedState == state || c.closed {
		return
	}
	c.loggedState = state
	if state == stateLost {
		slog.Warn("counter_lost", "addr", c.address, "error", reason)
	} else {
		slog.Info("counter_restored", "addr", c.address)
	}
}

// Close closes the connection for good and waits for the counter's goroutines. The function runOnLoop must not block
// then.
func (c *Counter) Close() {
	c.closed = true
	if c.cancelDial != nil {
		c.cancelDial()
	}
	c.closeLink(c.link, "")
	c.goroutines.Wait()
}
