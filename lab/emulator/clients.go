package emulator

import (
	"errors"
	"net"
	"slices"
	"syscall"
	"time"

	"ravensill/lab/actor"
)

// Result is how a request ended for its client.
type Result string

// Results.
const (
	Passed   Result = "passed"   // with a value that a host made for it
	Wrong    Result = "wrong"    // with another value
	Denied   Result = "denied"   // -BUSY
	Aborted  Result = "aborted"  // anything else
	Unheard  Result = "unheard"  // no answer within the client's timeout and 20 s more
	Reset    Result = "reset"    // the connection broke after the request was written
	Refused  Result = "refused"  // no connection came up, so that no gateway received it
	Unsent   Result = "unsent"   // the rig itself had no descriptor or address left for a connection
	Crossing Result = "crossing" // sent again on a new connection, since a close crossed it, and lost there too
)

// Req is one request and its one outcome. Times are in nanoseconds of actor.Now.
type Req struct {
	ID       string
	Customer string
	Class    string // request class
	Gateway  int
	Key      string // for deduplication; "": none
	At       int64  // when it was sent
	Ended    int64
	Result   Result        // "": still open
	Host     string        // the host that answered; "": none
	After    time.Duration // retry-after time of a rejection
	Text     string        // of an error that is no rejection
	Twice    bool          // sent again after a close that crossed it

	arguments string // names and values of its command
	timeout   time.Duration
	post      bool
	body      string
}

// ClientLog is what clients saw.
type ClientLog struct {
	Reqs  []Req
	Late  time.Duration // the longest delay of a request because the rig itself did not run
	Stray int           // answers to nothing, second answers to a request among them
	Conns int           // connections opened
	Most  int           // connections open at once
}

// Clients are all clients: a task with their connections to each gateway.
type Clients struct {
	*actor.Actor
	grace           time.Duration // beyond a request's timeout, until it counts as unheard
	addrs           []string      // by gateway; "": the load balancer does not use it
	outOfUse        map[int]bool  // by gateway
	restartingSince map[int]int64 // by gateway: time of the request to stop
	idle            [][]*clientConn
	conns           map[*clientConn]bool
	log             ClientLog
	activeLoads     int
	inFlight        int // requests
	waiters         []chan struct{}
}

// NewClients starts clients of gateways at these addresses. They send nothing yet.
func NewClients(addrs []string) *Clients {
	return &Clients{
		Actor:           actor.New(),
		grace:           20 * time.Second,
		addrs:           slices.Clone(addrs),
		outOfUse:        map[int]bool{},
		restartingSince: map[int]int64{},
		idle:            make([][]*clientConn, len(addrs)),
		conns:           map[*clientConn]bool{},
	}
}

// Place sets the address of a gateway.
func (c *Clients) Place(gateway int, addr string) { c.Ask(func() { c.addrs[gateway] = addr }) }

// Avoid takes gateways out of use, as a load balancer does some seconds after their death, or back into use. A request whose
// gateway is out of use goes to the next one of its set.
func (c *Clients) Avoid(out bool, gateways ...int) {
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

// The load balancer's part of a planned restart.
const (
	newConnsAfterStop = 300 * time.Millisecond // new connections are still opened for so long after the request to stop
	dialsAfterStop    = 400 * time.Millisecond // and those may take a little longer to come up
)

// Lame tells that gateways are asked to stop from now on, or that this is over. Soon clients open no more connections to them,
// as a load balancer that knows of their restart; open and idle connections are still used.
func (c *Clients) Lame(on bool, gateways ...int) {
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

// restartingLongerThan reports whether at a time a gateway had been asked to stop for longer than that. The clock decides, as a
// timer may itself be late.
func (c *Clients) restartingLongerThan(gateway int, at int64, than time.Duration) bool {
	since, restarting := c.restartingSince[gateway]
	return restarting && at-since > int64(than)
}

// unavailable reports whether no request may be sent to a gateway now.
func (c *Clients) unavailable(gateway int) bool {
	if c.outOfUse[gateway] {
		return true
	}
	return c.restartingLongerThan(gateway, actor.Now(), newConnsAfterStop) && len(c.idle[gateway]) == 0
}

// Send sends a single request and returns it once it has ended.
func (c *Clients) Send(template Req, arguments, body string, post bool, timeout time.Duration) Req {
	request := &pending{Req: template}
	request.arguments = arguments
	request.body = body
	request.post = post
	request.timeout = timeout
	c.Ask(func() { c.begin(request) })
	for {
		var now Req
		if !c.Ask(func() { now = c.log.Reqs[request.index] }) || now.Result != "" {
			return now
		}
		time.Sleep(time.Millisecond)
	}
}

// begin logs a request and sends it.
func (c *Clients) begin(request *pending) {
	request.Req.At = actor.Now()
	request.index = len(c.log.Reqs)
	c.log.Reqs = append(c.log.Reqs, request.Req)
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
	go func() {
		conn, err := net.DialTimeout("tcp4", addr, request.timeout)
		dialed := actor.Now()
		c.Do(func() { c.dialed(request, gateway, conn, err, dialed) })
	}()
}

// dialed sends a request on the new connection, if there is one.
func (c *Clients) dialed(request *pending, gateway int, conn net.Conn, err error, at int64) {
	if isLimit(err) {
		c.finish(request, Unsent)
		return
	}
	if !request.resent && c.restartingLongerThan(gateway, at, dialsAfterStop) {
		// The rig was late: a load balancer would not have opened this connection any more.
		if err == nil {
			conn.Close()
		}
		c.sendElsewhere(request)
		return
	}
	if err != nil {
		c.finish(request, Refused)
		return
	}
	client := &clientConn{clients: c, gateway: gateway, conn: conn, commands: make(chan []byte, 1)}
	c.conns[client] = true
	c.log.Conns++
	c.log.Most = max(c.log.Most, len(c.conns))
	go client.readAnswers()
	go client.writeCommands()
	client.send(request)
}

// isLimit reports whether an error is a limit of the rig's own machine.
func isLimit(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.EADDRNOTAVAIL)
}

// sendElsewhere sends a request to the next gateway that is available.
func (c *Clients) sendElsewhere(request *pending) {
	for k := 1; k < len(c.addrs); k++ {
		gateway := (request.Gateway + k) % len(c.addrs)
		if c.unavailable(gateway) {
			continue
		}
		request.Gateway = gateway
		c.log.Reqs[request.index].Gateway = gateway
		c.send(request)
		return
	}
	c.finish(request, Refused)
}

// finish logs the outcome of a request.
func (c *Clients) finish(request *pending, result Result) {
	entry := &c.log.Reqs[request.index]
	if entry.Result != "" {
		c.log.Stray++ // would be a second outcome
		return
	}
	entry.Ended = actor.Now()
	entry.Result = result
	entry.Host = request.Host
	entry.After = request.After
	entry.Text = request.Text
	c.inFlight--
	c.notifyWhenIdle()
}

// notifyWhenIdle ends the calls of Wait when no load runs and no request is open.
func (c *Clients) notifyWhenIdle() {
	if c.inFlight > 0 || c.activeLoads > 0 {
		return
	}
	for _, waiter := range c.waiters {
		close(waiter)
	}
	c.waiters = nil
}

// Wait waits until no load runs and no request is open, or until the limit, and returns how many are open then.
func (c *Clients) Wait(limit time.Duration) (open int) {
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
		log.Reqs = slices.Clone(log.Reqs)
	})
	return log
}

// Sent returns the number of requests sent so far.
func (c *Clients) Sent() (n int) {
	c.Ask(func() { n = len(c.log.Reqs) })
	return n
}

// Close ends all connections.
func (c *Clients) Close() {
	c.Ask(func() {
		for conn := range c.conns {
			conn.close()
		}
	})
	c.Actor.Stop()
}
