// Package counter is the client of the shared counter: a server that speaks RESP2 and supports INCRBYFLOAT and PEXPIRE
// with NX, as Redis 7 and later do. Each call is answered exactly once. If the server doesn't reply within the timeout,
// or the connection fails, the answer has the gateway.Result for that.
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

// States of the connection. A change from one to the other is logged.
const (
	stateLost     = "lost"
	stateRestored = "restored"
)

const (
	keyPrefix      = "ravensill:"
	maxUnsentBytes = 64 << 10        // a call is rejected if its commands would exceed this limit of unsent bytes
	overdueFactor  = 20              // the connection is closed if a call gets no reply within this many timeouts
	dialTimeout    = time.Second     // longest time of one attempt to connect
	reconnectDelay = time.Second / 2 // time from a failed attempt to connect until the next
)

var (
	errUnsolicitedReply = errors.New("the server sent a reply although no call is in flight")
	errNotANumber       = errors.New("the reply to INCRBYFLOAT is not a finite number")
)

// Counter is one gateway's connection to the shared counter. All methods must be called on the event loop, the
// goroutine that runs the functions given to runOnLoop.
type Counter struct {
	system    sockets.System
	address   netip.AddrPort
	timeout   time.Duration // time from a call until it is answered with gateway.TimedOut
	runOnLoop func(func())  // runs a function on the event loop
	now       func() clock.Instant
	onAnswer  func(gateway.Event) // receives the answer of each call

	link     *bufconn.Link // nil: not connected
	inFlight []call        // calls with outstanding replies, in the order of their commands
	dialing  bool          // an attempt to connect is in progress, or failed less than reconnectDelay ago
	closed   bool          // Close was called

	cancelDial context.CancelFunc // ends the latest attempt to connect; nil: none yet
	goroutines sync.WaitGroup     // the goroutines that connect and read replies

	loggedState       string // state in the latest log line; empty: none was logged
	expiryErrorLogged bool   // it was logged for this connection that the server rejects PEXPIRE with NX
}

// call is a call of Increment with outstanding replies: one to INCRBYFLOAT, then one to PEXPIRE.
type call struct {
	counterName      uint64
	started          clock.Instant
	answered         bool // onAnswer was called; later replies only complete the call
	incrementReplied bool // the reply to INCRBYFLOAT has arrived
}

// New returns a counter that is not connected yet. It opens connections to address through system. timeout limits the
// time until a call is answered. runOnLoop has to run a function on the event loop, and may be called on any goroutine.
// onAnswer is called on the event loop with the answer of each call, an event of kind gateway.CounterReplied.
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

// Increment adds an amount to the counter with a name on the server, which creates it if it does not exist. The counter
// expires when lifetime has passed since the increment that created it. onAnswer receives the total after the
// increment, or the reason why there is none. Without a connection it is called before Increment returns.
func (c *Counter) Increment(counterName uint64, amount float64, lifetime time.Duration) {
	newCall := call{counterName: counterName, started: c.now()}
	if c.link == nil {
		c.Connect()
		c.answer(&newCall, gateway.Unreachable, 0)
		return
	}
	key := keyPrefix + strconv.FormatUint(counterName, 10)
	milliseconds := max(lifetime.Milliseconds(), 1)
	commands := appendCommand(nil, "INCRBYFLOAT", key, strconv.FormatFloat(amount, 'f', -1, 64))
	commands = appendCommand(commands, "PEXPIRE", key, strconv.FormatInt(milliseconds, 10), "NX")
	if !c.link.Out.Write(commands) {
		c.answer(&newCall, gateway.Busy, 0)
		return
	}
	c.inFlight = append(c.inFlight, newCall)
}

// appendCommand appends a command to dst as a RESP array of bulk strings.
func appendCommand(dst []byte, elements ...string) []byte {
	dst = resp.AppendArrayHeader(dst, len(elements))
	for _, element := range elements {
		dst = resp.AppendBulk(dst, element)
	}
	return dst
}

// answer passes the answer of a call to onAnswer, unless the call was answered before.
func (c *Counter) answer(call *call, result gateway.Result, total float64) {
	if call.answered {
		return
	}
	call.answered = true
	c.onAnswer(gateway.Event{
		Kind:         gateway.CounterReplied,
		CounterName:  call.counterName,
		Result:       result,
		CounterTotal: total,
		Latency:      c.now().Sub(call.started),
	})
}

// TimeOutCalls answers the calls whose timeout has passed, and closes a connection on which a call has been in flight
// for overdueFactor timeouts. It returns the time at which it has to be called next, or 0 if no call is in flight.
func (c *Counter) TimeOutCalls(now clock.Instant) (next clock.Instant) {
	for i := range c.inFlight {
		call := &c.inFlight[i]
		if timesOutAt := call.started.Add(c.timeout); now < timesOutAt {
			return timesOutAt
		}
		c.answer(call, gateway.TimedOut, 0)
	}
	if len(c.inFlight) == 0 {
		return 0
	}
	next = c.inFlight[0].started.Add(overdueFactor * c.timeout)
	if now >= next {
		c.disconnect(c.link, "no reply from the server")
		return 0
	}
	return next
}

// Flush writes as many unsent commands as the socket accepts without blocking, and reports whether some are left.
func (c *Counter) Flush() bool {
	if c.link == nil || c.link.Out.Len() == 0 {
		return false
	}
	if err := c.link.Flush(); err != nil {
		c.disconnect(c.link, err.Error())
		return false
	}
	return c.link.Out.Len() > 0
}

// Connect starts an attempt to connect on another goroutine. It does nothing if the counter is connected or closed,
// while an attempt is in progress, and until reconnectDelay after a failed one.
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
	limits := bufconn.Limits{MaxIn: maxUnsentBytes, MaxOut: maxUnsentBytes}
	link, err := bufconn.NewLink(c.system, conn, limits)
	if err != nil {
		conn.Close()
	}
	return link, err
}

// connected makes a new connection the one in use and starts to read replies from it.
func (c *Counter) connected(link *bufconn.Link) {
	c.dialing = false
	if c.closed {
		link.Close()
		return
	}
	c.link = link
	c.expiryErrorLogged = false
	c.logState(stateRestored, "")
	c.goroutines.Go(func() { c.readReplies(link) })
}

// readReplies passes the server's replies to the event loop until the connection ends. If it panics, the connection is
// closed.
func (c *Counter) readReplies(link *bufconn.Link) {
	defer func() {
		if p := recover(); p != nil {
			slog.Error("panic", "where", "counter", "error", p, "stack", debug.Stack())
			c.runOnLoop(func() { c.disconnect(link, "panic") })
		}
	}()
	var parser resp.Parser
	for {
		err := link.Read()
		if err == nil {
			err = c.parseReplies(link, &parser)
		}
		if err != nil {
			c.runOnLoop(func() { c.disconnect(link, err.Error()) })
			return
		}
	}
}

// parseReplies passes all complete replies in the input buffer to the event loop.
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

// parseNumber parses the number in a reply. It rejects infinities and NaN.
func parseNumber(text []byte) (float64, error) {
	number, err := strconv.ParseFloat(string(text), 64)
	if err != nil || math.IsInf(number, 0) || math.IsNaN(number) {
		return 0, errNotANumber
	}
	return number, nil
}

// handleReply handles one reply, which belongs to the oldest call in flight. kind is the first byte of the reply; text
// is its line, and total its number if kind is '$'. Replies of an earlier connection are ignored.
func (c *Counter) handleReply(link *bufconn.Link, kind byte, text string, total float64) {
	if c.link != link {
		return
	}
	if len(c.inFlight) == 0 {
		c.disconnect(link, errUnsolicitedReply.Error())
		return
	}
	call := &c.inFlight[0]
	if call.incrementReplied {
		c.inFlight = c.inFlight[1:]
		c.handleExpiryReply(kind, text)
		return
	}
	switch kind {
	case '-': // an error: the command was not executed
		c.answer(call, gateway.Busy, 0)
	case '$':
		c.answer(call, gateway.Succeeded, total)
	default:
		c.disconnect(link, errNotANumber.Error())
		return
	}
	call.incrementReplied = true
}

// handleExpiryReply logs an error reply to PEXPIRE, once per connection: a server without support for NX rejects the
// command, and its counters never expire.
func (c *Counter) handleExpiryReply(kind byte, text string) {
	if kind != '-' || c.expiryErrorLogged {
		return
	}
	c.expiryErrorLogged = true
	slog.Warn("counter_expiry_unsupported", "addr", c.address, "error", text)
}

// disconnect closes a connection, unless it is no longer the one in use. It answers the calls in flight with
// gateway.Disconnected, since the server may have executed them or not.
func (c *Counter) disconnect(link *bufconn.Link, reason string) {
	if c.link != link || link == nil {
		return
	}
	c.logState(stateLost, reason)
	link.Close()
	c.link = nil
	abandoned := c.inFlight
	c.inFlight = nil
	for i := range abandoned {
		c.answer(&abandoned[i], gateway.Disconnected, 0)
	}
}

// logState logs the state of the connection if it differs from the one logged last. It logs nothing after Close.
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

// Close closes the connection for good and waits until the counter's goroutines have ended. They may be calling
// runOnLoop, so runOnLoop must return even though the event loop is waiting in Close.
func (c *Counter) Close() {
	c.closed = true
	if c.cancelDial != nil {
		c.cancelDial()
	}
	c.disconnect(c.link, "")
	c.goroutines.Wait()
}
