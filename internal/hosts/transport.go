// Package hosts sends attempts to hosts over pooled RESP connections and parses the answers. It is the only package
// that knows the names of the protocol between gateway and host. It makes no routing decisions and never sends a
// command twice: whether a request is sent again is decided by its caller.
package hosts

import (
	"container/list"
	"context"
	"net"
	"net/netip"
	"time"

	"ravensill/gateway"
	"ravensill/internal/clock"
	"ravensill/internal/memory"
	"ravensill/internal/resp"
	"ravensill/internal/sockets"
)

// defaultReuseDelay is the time for which a connection is not used again after an answer. Further bytes that the host
// may send after that answer are expected to arrive within it.
const defaultReuseDelay = 10 * time.Millisecond

// probeTimeout is the longest time that a load probe takes, its wait for a connection included.
const probeTimeout = time.Second

// Transport owns the connections to all hosts. It is not safe for concurrent use: its methods and callbacks run on one
// event loop. Its goroutines pass functions to that loop by runOnLoop.
type Transport struct {
	system      sockets.System
	runOnLoop   func(func())
	now         func() clock.Instant
	loadFields  []string           // names of the fields of a load report
	idleTimeout time.Duration      // CloseIdle closes connections that are idle for longer
	limiter     *ConnectionLimiter // nil without a connection quota
	maxConns    int                // limit of openConns

	reuseDelay    time.Duration // minimum idle time before a connection is used again
	firstUseDelay time.Duration // minimum time before a new connection that became idle is used

	answerMemory *memory.Budget // of answers that are being received and of commands that are being sent

	startTimes   map[uint32]gateway.Time   // start times of all hosts' processes, by host number
	addrs        map[uint32]netip.AddrPort // addresses of all hosts, by host number
	pools        map[uint32]*hostPool      // pools of the hosts that an attempt was made to, by host number
	openConns    int                       // open connections, dials in progress included
	pendingCount int                       // attempts that wait for a dial, over all pools
	dialingCount int                       // dials in progress, over all pools
	idle         *list.List                // the idle *conn of all pools, the longest idle first
	toFlush      []*conn                   // connections with bytes to write
	nextUrgent   bool                      // whether the next attempt is of an urgent request class

	// dialResourcesExhausted is set while dials fail because this machine lacks a resource. Each change is logged.
	dialResourcesExhausted bool

	// Dial opens a connection, which must be a *net.TCPConn. It is called on goroutines other than the event loop.
	// Tests replace it.
	Dial func(addr string) (net.Conn, error)
}

// Options configures a Transport.
type Options struct {
	System         sockets.System       // makes the system calls
	RunOnLoop      func(func())         // queues a function for the event loop; called on any goroutine
	Now            func() clock.Instant // returns the current time; called on any goroutine
	LoadFields     []string             // names of the fields of a load report
	ConnectTimeout time.Duration        // longest time of one dial
	IdleTimeout    time.Duration        // CloseIdle closes connections that are idle for longer
	MaxConns       int                  // largest number of open connections, dials in progress included
	AnswerMemory   *memory.Budget       // beyond which an attempt whose answer is large is canceled; nil: unlimited
}

// NewTransport returns a transport without hosts.
func NewTransport(options Options) *Transport {
	system := options.System
	dialer := &net.Dialer{Timeout: options.ConnectTimeout, KeepAlive: -1}
	return &Transport{
		system:      system,
		runOnLoop:   options.RunOnLoop,
		now:         options.Now,
		loadFields:  options.LoadFields,
		idleTimeout: options.IdleTimeout,
		maxConns:    options.MaxConns,

		answerMemory: options.AnswerMemory,
		reuseDelay:   defaultReuseDelay,

		firstUseDelay: defaultReuseDelay,
		startTimes:    map[uint32]gateway.Time{},
		addrs:         map[uint32]netip.AddrPort{},
		pools:         map[uint32]*hostPool{},
		idle:          list.New(),
		Dial:          func(addr string) (net.Conn, error) { return system.Dial(context.Background(), dialer, addr) },
	}
}

// SetAddress adds a host or changes its address. Connections to an earlier address are closed as soon as they carry no
// attempt.
func (t *Transport) SetAddress(host uint32, addr netip.AddrPort) {
	t.addrs[host] = addr
	pool := t.pools[host]
	if pool != nil && pool.addr != addr {
		pool.addr = addr
		pool.closeIdle()
	}
}

// SetStartTime records when the process of a host started. If a later one has taken its place, the connections to the
// earlier one are closed as soon as they carry no attempt: they may still be open, and lead nowhere or to the earlier
// process.
func (t *Transport) SetStartTime(host uint32, startedAt gateway.Time) {
	earlier, known := t.startTimes[host]
	t.startTimes[host] = startedAt
	pool := t.pools[host]
	if !known || startedAt <= earlier || pool == nil {
		return
	}
	pool.generation++
	pool.closeIdle()
}

// Remove removes a host. Its idle connections are closed. Attempts whose command is not started fail; the others
// continue.
func (t *Transport) Remove(host uint32) {
	delete(t.addrs, host)
	delete(t.startTimes, host)
	pool := t.pools[host]
	if pool == nil {
		return
	}
	delete(t.pools, host)
	t.pendingCount -= len(pool.pending)
	t.dialingCount -= pool.dialing
	pool.removed = true
	pool.closeIdle()
	pool.cancelUnstarted(errHostRemoved)
}

// Drain cancels the attempts to a host whose command is not started: the connection that they wait for may be opened
// only after the host's grace period. The decision module gets the drain before the results of these attempts, so that
// it sends the next attempts to other hosts.
func (t *Transport) Drain(host uint32) {
	if pool := t.pools[host]; pool != nil {
		pool.cancelUnstarted(ErrCanceled)
	}
}

// Send makes an attempt to run a command on a host. The client, or the gateway, waits for the answer until deadline,
// and the command tells the host the time left until then. The attempt fails if its command is not fully written by
// writeDeadline. onResult is called once, possibly before Send returns.
func (t *Transport) Send(
	host uint32,
	command Command,
	deadline, writeDeadline clock.Instant,
	onResult ResultHandler,
) *Attempt {
	return t.start(host, &Attempt{
		command:       &command,
		deadline:      deadline,
		writeDeadline: writeDeadline,
		onResult:      onResult,
	})
}

// Probe asks a host for its load report. onResult is called once, possibly before Probe returns.
func (t *Transport) Probe(host uint32, onResult ResultHandler) *Attempt {
	request := resp.AppendArrayHeader(nil, 2)
	request = resp.AppendBulk(request, "INFO")
	request = resp.AppendBulk(request, "load")
	deadline := t.now().Add(probeTimeout)
	return t.start(host, &Attempt{
		command:       &Command{Head: request, complete: true},
		deadline:      deadline,
		writeDeadline: deadline,
		probe:         true,
		onResult:      onResult,
	})
}

// ConnCount returns the number of open connections, dials in progress included.
func (t *Transport) ConnCount() int { return t.openConns }

// start makes an attempt whose command, deadlines and handler are set. It fails the attempt if the host is unknown.
func (t *Transport) start(host uint32, attempt *Attempt) *Attempt {
	attempt.pool = t.pool(host)
	if attempt.pool == nil {
		attempt.pool = &hostPool{transport: t, removed: true}
		attempt.fail(Connecting, errHostRemoved)
		return attempt
	}
	attempt.urgent = t.nextUrgent
	if t.limiter != nil {
		t.limiter.enqueue(attempt)
		return attempt
	}
	attempt.pool.schedule(attempt)
	return attempt
}

// pool returns the connection pool of a host, which it creates if necessary. It returns nil for an unknown host.
func (t *Transport) pool(host uint32) *hostPool {
	if pool := t.pools[host]; pool != nil {
		return pool
	}
	addr, known := t.addrs[host]
	if !known {
		return nil
	}
	pool := &hostPool{transport: t, addr: addr}
	t.pools[host] = pool
	return pool
}

// Flush writes the commands of attempts that were assigned to a connection since the previous call, and what earlier
// calls left unwritten. It reports whether bytes are still left. An attempt whose connection turns out to be unusable
// may be assigned to another connection, which is then appended to the list during the iteration.
func (t *Transport) Flush() bool {
	if t.limiter != nil {
		t.limiter.serveQueue()
	}
	left := 0
	for i := 0; i < len(t.toFlush); i++ {
		c := t.toFlush[i]
		if !c.flush() {
			c.flushQueued = false
			continue
		}
		t.toFlush[left] = c
		left++
	}
	clear(t.toFlush[left:])
	t.toFlush = t.toFlush[:left]
	return left > 0
}
