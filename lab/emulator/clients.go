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

// Result is how a request ended for its client.
type Result string

// Results of requests. An empty one means that the request is in flight.
const (
	Succeeded         Result = "succeeded"   // with a value that a host made for it
	WrongValue        Result = "wrong value" // with a value made for another request
	Rejected          Result = "rejected"    // -BUSY
	Failed            Result = "failed"      // any other error
	Unanswered        Result = "unanswered"  // no answer within the client's timeout and the grace after it
	ConnectionReset   Result = "reset"       // the connection broke after the request was written
	ConnectionRefused Result = "refused"     // no connection came up, so that no gateway received it
	LocalLimit        Result = "local limit" // this process had no descriptor or address left for a connection
	ClosedInFlight    Result = "closed"      // closed as it was sent, and again after the retry on a new connection
)

// answerGrace is how long after a request's timeout its answer is still awaited.
const answerGrace = 20 * time.Second

// Request is one request and its result. Times are in nanoseconds of actor.Now.
type Request struct {
	ID             string
	Customer       string
	Class          string // request class
	Gateway        int
	IdempotencyKey string // "": none
	SentAt         int64
	EndedAt        int64
	Result         Result
	Host           string        // the host that answered; "": none
	RetryAfter     time.Duration // of a rejection
	ErrorText      string        // of an error that is no rejection
	Resent         bool          // retried after a close that was under way as it was sent

	arguments string // names and values of its command
	timeout   time.Duration
	post      bool
	body      string
}

// ClientLog is what clients saw.
type ClientLog struct {
	Requests          []Request
	MaxDelay          time.Duration // the longest delay of a request because the clients themselves did not run
	UnexpectedAnswers int           // answers without a request, such as a second answer
	OpenedConns       int
	PeakConns         int // connections open at once
}

// Clients are all clients. They are an actor with the connections to each gateway.
type Clients struct {
	*actor.Actor
	grace           time.Duration // after a request's timeout, until it counts as unanswered
	addrs           []string      // by gateway; "": the load balancer does not use it
	outOfUse        map[int]bool  // by gateway
	restartingSince map[int]int64 // by gateway: time of its shutdown signal
	idle            [][]*clientConn
	conns           map[*clientConn]bool
	log             ClientLog
	activeLoads     int
	inFlight        int // requests
	waiters         []chan struct{}

	dialing    context.Context // ends when the clients are closed
	stopDials  context.CancelFunc
	closed     bool
	goroutines sync.WaitGroup
}

// NewClients starts clients of gateways at these addresses. They send nothing yet.
func NewClients(addrs []string) *Clients {
	dialing, stopDials := context.WithCancel(context.Background())
	return &Clients{
		Actor:           actor.New(),
		grace:           answerGrace,
		addrs:           slices.Clone(addrs),
		outOfUse:        map[int]bool{},
		restartingSince: map[int]int64{},
		idle:            make([][]*clientConn, len(addrs)),
		conns:           map[*clientConn]bool{},
		dialing:         dialing,
		stopDials:       stopDials,
	}
}

// SetAddr sets the address of a gateway.
func (c *Clients) SetAddr(gateway int, addr string) { c.Ask(func() { c.addrs[gateway] = addr }) }

// SetOutOfRotation takes gateways out of use, as a load balancer does some seconds after they crash, or back into use. A
// request whose gateway is out of use is sent to the next one of its subset.
func (c *Clients) SetOutOfRotation(out bool, gateways ...int) {
	c.Ask(func() {
		for _, gateway := range gateways {
			if out {
				c.outOfUse[gateway] = true
			} else {
				delete(c.outOfUse, gateway)
			}
		}
	})
}

// How a load balancer handles a planned restart.
const (
	newConnsAfterStop = 300 * time.Millisecond // from the shutdown signal until no more connections are opened
	dialsAfterStop    = 400 * time.Millisecond // from the shutdown signal until all of those have come up
)

// SetRestarting marks gateways as being shut down from now on, or as restarted. Soon after the mark clients open no
// more connections to them, as a load balancer that knows of the restart; they still use open idle connections.
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

// restartingLongerThan reports whether a gateway's shutdown signal was longer ago than a duration. It reads the clock
// because a timer may be late.
func (c *Clients) restartingLongerThan(gateway int, at int64, than time.Duration) bool {
	since, restarting := c.restartingSince[gateway]
	return restarting && at-since > int64(than)
}

// unavailable reports whether clients send no request to a gateway now.
func (c *Clients) unavailable(gateway int) bool {
	if c.outOfUse[gateway] {
		return true
	}
	return c.restartingLongerThan(gateway, actor.Now(), newConnsAfterStop) && len(c.idle[gateway]) == 0
}

// Send sends a single request and returns it once it has ended.
func (c *Clients) Send(template Request, arguments, body string, post bool, timeout time.Duration) Request {
	request := &pending{Request: template}
	request.arguments = arguments
	request.body = body
	request.post = post
	request.timeout = timeout
	c.Ask(func() { c.begin(request) })
	for {
		var current Request
		if !c.Ask(func() { current = c.log.Requests[request.index] }) || current.Result != "" {
			return current
		}
		time.Sleep(time.Millisecond)
	}
}

// begin logs a request and sends it.
func (c *Clients) begin(request *pending) {
	request.Request.SentAt = actor.Now()
	request.index = len(c.log.Requests)
	c.log.Requests = append(c.log.Requests, request.Request)
	c.inFlight++
	c.send(request)
}

// send sends a request on an idle connection, or on a new one.
func (c *Clients) send(request *pending) {
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
		dialer := net.Dialer{Timeout: request.timeout}
		conn, err := dialer.DialContext(c.dialing, "tcp4", addr)
		at := actor.Now()
		c.Do(func() { c.dialed(request, gateway, conn, err, at) })
	})
}

// dialed sends a request on the new connection, if there is one.
func (c *Clients) dialed(request *pending, gateway int, conn net.Conn, err error, at int64) {
	if c.closed {
		if err == nil {
			conn.Close()
		}
		return
	}
	if isLimit(err) {
		c.finish(request, LocalLimit)
		return
	}
	if !request.resent && c.restartingLongerThan(gateway, at, dialsAfterStop) {
		// This process was late: a load balancer would not have opened this connection any more.
		if err == nil {
			conn.Close()
		}
		c.sendElsewhere(request)
		return
	}
	if err != nil {
		c.finish(request, ConnectionRefused)
		return
	}
	client := &clientConn{clients: c, gateway: gateway, conn: conn, commands: make(chan []byte, 1)}
	c.conns[client] = true
	c.log.OpenedConns++
	c.log.PeakConns = max(c.log.PeakConns, len(c.conns))
	c.goroutines.Go(client.readAnswers)
	c.goroutines.Go(client.writeCommands)
	client.send(request)
}

// isLimit reports whether an error is a limit of this machine.
func isLimit(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.EADDRNOTAVAIL)
}

// sendElsewhere sends a request to the next gateway that is available.
func (c *Clients) sendElsewhere(request *pending) {
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

// finish logs the outcome of a request.
func (c *Clients) finish(request *pending, result Result) {
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

// notifyWhenIdle ends the calls of WaitIdle when no load runs and no request is in flight.
func (c *Clients) notifyWhenIdle() {
	if c.inFlight > 0 || c.activeLoads > 0 {
		return
	}
	for _, waiter := range c.waiters {
		close(waiter)
	}
	c.waiters = nil
}

// WaitIdle waits until no load runs and no request is in flight, or until the limit. It returns how many requests are
// in flight then.
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

// Sent returns the number of requests sent so far.
func (c *Clients) Sent() (n int) {
	c.Ask(func() { n = len(c.log.Requests) })
	return n
}

// Close ends all connections and waits for their goroutines.
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
