package emulator

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"ravensill/lab/actor"
)

// Result says how a request ended for its client.
type Result string

// Results of requests. A request in flight has an empty result.
const (
	Succeeded         Result = "succeeded"   // with a value that a host made for this request
	WrongValue        Result = "wrong value" // with a value that a host made for another request
	Rejected          Result = "rejected"    // with -BUSY
	Failed            Result = "failed"      // with any other error
	Unanswered        Result = "unanswered"  // no answer within the client's timeout and the grace period after it
	ConnectionReset   Result = "reset"       // the connection broke after the request was written
	ConnectionRefused Result = "refused"     // no connection could be opened, so no gateway received the request
	LocalLimit        Result = "local limit" // this process had no descriptor or local address left for a connection
	ClosedInFlight    Result = "closed"      // the gateway closed the connection, and that of the retry too
	GaveUp            Result = "gave up"     // the client closed its connection before an answer
)

// answerGrace is how long after a request's timeout its answer is still accepted.
const answerGrace = 20 * time.Second

// Request is one request and its result. Times are in nanoseconds of actor.Now.
type Request struct {
	ID             string
	Customer       string
	Class          string // name of the request class
	Gateway        int
	Timeout        time.Duration // how long the client waits, as sent to the gateway
	IdempotencyKey string        // "" for none
	SentAt         int64
	EndedAt        int64
	Result         Result
	Host           string        // id of the host that answered; "" for none
	RetryAfter     time.Duration // in the answer of a rejected request; 0 for none
	ErrorText      string        // of a failed request
	Resent         bool          // sent again because the gateway closed the connection
	// WrittenAfter is the time from the start of the dial to the end of the write, for a request that was closed on a
	// new connection. It is long if this process was slow.
	WrittenAfter time.Duration

	arguments string        // such as c=lookup,t=team,d=1000
	leaveTime time.Duration // after which the client closes the connection; 0: it waits for the answer
	post      bool
	body      string // of CALL.POST
}

// ClientLog is what the clients sent and observed.
type ClientLog struct {
	Requests          []Request
	MaxDelay          time.Duration // longest time by which a request was sent late because this process was slow
	UnexpectedAnswers int           // answers without a request in flight, such as a second answer to one request
	OpenedConns       int           // number of connections that were opened
	PeakConns         int           // highest number of connections open at once
}

// Clients emulates all clients of a fleet, and a load balancer in front of the gateways that takes gateways out of
// rotation. It is an actor that owns the connections; its methods may be called by several goroutines at once.
type Clients struct {
	*actor.Actor
	grace           time.Duration        // after a request's timeout, until it counts as unanswered
	addrs           []string             // by gateway; "" if not known yet
	outOfRotation   map[int]bool         // set of gateways
	restartingSince map[int]int64        // time of the shutdown signal by gateway, in ns of actor.Now
	idle            [][]*clientConn      // idle connections by gateway
	conns           map[*clientConn]bool // all open connections
	log             ClientLog
	activeLoads     int             // loads that are being sent
	inFlight        int             // requests
	waiters         []chan struct{} // closed when no load is active and no request is in flight

	dialContext context.Context // canceled by Close
	stopDials   context.CancelFunc
	closed      bool
	goroutines  sync.WaitGroup
}

// NewClients returns clients for gateways at these addresses; "" stands for one that SetAddr sets later. They send
// nothing until Start or Send is called.
func NewClients(addrs []string) *Clients {
	dialing, stopDials := context.WithCancel(context.Background())
	return &Clients{
		Actor:           actor.New(),
		grace:           answerGrace,
		addrs:           slices.Clone(addrs),
		outOfRotation:   map[int]bool{},
		restartingSince: map[int]int64{},
		idle:            make([][]*clientConn, len(addrs)),
		conns:           map[*clientConn]bool{},
		dialContext:     dialing,
		stopDials:       stopDials,
	}
}

// SetAddr sets the address to which new connections to a gateway are opened.
func (c *Clients) SetAddr(gateway int, addr string) { c.Ask(func() { c.addrs[gateway] = addr }) }

// SetOutOfRotation takes gateways out of rotation, as a load balancer does some seconds after a gateway crashed, or
// puts them back. A request for a gateway that is out of rotation goes to the next gateway of its subset.
func (c *Clients) SetOutOfRotation(out bool, gateways ...int) {
	c.Ask(func() {
		for _, gateway := range gateways {
			if out {
				c.outOfRotation[gateway] = true
			} else {
				delete(c.outOfRotation, gateway)
			}
		}
	})
}

// Times after the shutdown signal of a planned restart until which a load balancer connects to the gateway.
const (
	newDialsAfterSignal = 300 * time.Millisecond // until no more connections are opened
	connectsAfterSignal = 400 * time.Millisecond // until the connections that were being opened must be established
)

// SetRestarting marks gateways as shutting down from now on, or as restarted. Like a load balancer that knows of a
// planned restart, clients soon stop opening connections to such a gateway, but they still use idle connections.
func (c *Clients) SetRestarting(on bool, gateways ...int) {
	c.Ask(func() {
		for _, gateway := range gateways {
			if on {
				c.restartingSince[gateway] = actor.Now()
			} else {
				delete(c.restartingSince, gateway)
			}
		}
	})
}

// restartingLongerThan reports whether a gateway's shutdown signal was sent longer than a duration before the time at.
// It compares times instead of using a timer, because timers may fire late.
func (c *Clients) restartingLongerThan(gateway int, at int64, than time.Duration) bool {
	since, restarting := c.restartingSince[gateway]
	return restarting && at-since > int64(than)
}

// unavailable reports whether the load balancer currently sends no requests to a gateway.
func (c *Clients) unavailable(gateway int) bool {
	if c.outOfRotation[gateway] {
		return true
	}
	return c.restartingLongerThan(gateway, actor.Now(), newDialsAfterSignal) && len(c.idle[gateway]) == 0
}

// Send sends a single request with the identity given in template, waits until it has ended and returns it with its
// result. It returns early if the clients are closed.
func (c *Clients) Send(template Request, arguments, body string, post bool, timeout time.Duration) Request {
	request := &pendingRequest{Request: template}
	request.arguments = arguments
	request.body = body
	request.post = post
	request.Timeout = timeout
	c.Ask(func() { c.beginRequest(request) })
	for {
		var current Request
		if !c.Ask(func() { current = c.log.Requests[request.index] }) || current.Result != "" {
			return current
		}
		time.Sleep(time.Millisecond)
	}
}

// beginRequest logs a new request and sends it.
func (c *Clients) beginRequest(request *pendingRequest) {
	request.Request.SentAt = actor.Now()
	request.index = len(c.log.Requests)
	c.log.Requests = append(c.log.Requests, request.Request)
	c.inFlight++
	c.send(request)
}

// send sends a request on an idle connection to its gateway, or on a new one if there is none or the request is sent
// again.
func (c *Clients) send(request *pendingRequest) {
	gateway := request.Gateway
	if free := c.idle[gateway]; len(free) > 0 && !request.resent {
		last := len(free) - 1
		conn := free[last]
		c.idle[gateway] = free[:last]
		conn.send(request)
		return
	}
	addr := c.addrs[gateway]
	c.goroutines.Go(func() {
		dialer := net.Dialer{Timeout: request.Timeout}
		dial := dialResult{gateway: gateway, startedAt: actor.Now()}
		dial.conn, dial.err = dialer.DialContext(c.dialContext, "tcp4", addr)
		dial.endedAt = actor.Now()
		c.Do(func() { c.onDialed(request, dial) })
	})
}

// dialResult is a new connection to a gateway, or the error by which it could not be opened. Times are in nanoseconds
// of actor.Now.
type dialResult struct {
	gateway   int
	conn      net.Conn
	err       error
	startedAt int64
	endedAt   int64
}

// close closes the connection if it was opened.
func (d *dialResult) close() {
	if d.err == nil {
		d.conn.Close()
	}
}

// onDialed sends a request on a new connection, or ends it if the connection could not be opened.
func (c *Clients) onDialed(request *pendingRequest, dial dialResult) {
	if c.closed {
		dial.close()
		return
	}
	if isLocalLimit(dial.err) {
		c.finish(request, LocalLimit)
		return
	}
	if !request.resent && c.restartingLongerThan(dial.gateway, dial.endedAt, connectsAfterSignal) {
		// The connection was opened so late only because this process is slow. A load balancer would have chosen another
		// gateway by then.
		dial.close()
		c.sendToNextAvailable(request)
		return
	}
	if dial.err != nil {
		c.finish(request, ConnectionRefused)
		return
	}
	client := newClientConn(c, dial)
	c.conns[client] = true
	c.log.OpenedConns++
	c.log.PeakConns = max(c.log.PeakConns, len(c.conns))
	c.goroutines.Go(client.readAnswers)
	c.goroutines.Go(client.writeCommands)
	client.send(request)
}

// isLocalLimit reports whether dialing failed because this process or machine is out of descriptors or local ports.
func isLocalLimit(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.EADDRNOTAVAIL)
}

// sendToNextAvailable sends a request to the next gateway that is available. It refuses the request if there is none.
func (c *Clients) sendToNextAvailable(request *pendingRequest) {
	for offset := 1; offset < len(c.addrs); offset++ {
		gateway := (request.Gateway + offset) % len(c.addrs)
		if c.unavailable(gateway) {
			continue
		}
		request.Gateway = gateway
		c.log.Requests[request.index].Gateway = gateway
		c.send(request)
		return
	}
	c.finish(request, ConnectionRefused)
}

// finish logs the result of a request. A second result of the same request is counted as an unexpected answer.
func (c *Clients) finish(request *pendingRequest, result Result) {
	entry := &c.log.Requests[request.index]
	if entry.Result != "" {
		c.log.UnexpectedAnswers++
		return
	}
	entry.EndedAt = actor.Now()
	entry.Result = result
	entry.Host = request.Host
	entry.RetryAfter = request.RetryAfter
	entry.ErrorText = request.ErrorText
	c.inFlight--
	c.notifyWhenIdle()
}

// notifyWhenIdle wakes all calls of WaitIdle if no load is active and no request is in flight.
func (c *Clients) notifyWhenIdle() {
	if c.inFlight > 0 || c.activeLoads > 0 {
		return
	}
	for _, waiter := range c.waiters {
		close(waiter)
	}
	c.waiters = nil
}

// WaitIdle waits until no load is active and no request is in flight, or until the time limit is over. It returns the
// number of requests still in flight.
func (c *Clients) WaitIdle(limit time.Duration) (open int) {
	done := make(chan struct{})
	c.Ask(func() {
		c.waiters = append(c.waiters, done)
		c.notifyWhenIdle()
	})
	select {
	case <-done:
	case <-time.After(limit):
	}
	c.Ask(func() { open = c.inFlight })
	return open
}

// Log returns a copy of the log so far.
func (c *Clients) Log() (log ClientLog) {
	c.Ask(func() {
		log = c.log
		log.Requests = slices.Clone(log.Requests)
	})
	return log
}

// Sent returns the number of requests sent so far. Retries are not counted.
func (c *Clients) Sent() (n int) {
	c.Ask(func() { n = len(c.log.Requests) })
	return n
}

// Close closes all connections and waits until their goroutines have ended.
func (c *Clients) Close() {
	c.stopDials()
	c.Ask(func() {
		c.closed = true
		for conn := range c.conns {
			conn.close()
		}
	})
	c.goroutines.Wait()
	c.Actor.Stop()
}
