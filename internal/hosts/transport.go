// Package hosts sends attempts to hosts and parses their answers. The names of the wire protocol are known here only.
// It makes no routing decisions and never sends a command twice.
package hosts

import (
	"container/list"
	"context"
	"net"
	"net/netip"
	"time"

	"ravensill/internal/clock"
	"ravensill/internal/resp"
	"ravensill/internal/sockets"
)

// defaultReuseDelay is the time for which a connection is not used again after an answer: whatever else the host sends
// for that answer arrives within it.
const defaultReuseDelay = 10 * time.Millisecond

// probeTimeout bounds a load probe, its wait for a connection included.
const probeTimeout = time.Second

// Transport owns the connections to all hosts. It is not safe for concurrent use: its methods and callbacks run on
// one event loop, to which runOnLoop brings work from other goroutines.
type Transport struct {
	system      sockets.System
	runOnLoop   func(func())
	now         func() clock.Instant
	loadFields  []string           // names of a load report's fields
	idleTimeout time.Duration      // idle connections are closed after it
	reuseDelay  time.Duration      // minimum idle time before a connection is used again
	limiter     *ConnectionLimiter // nil without a connection quota
	maxConns    int                // limit of openConns

	addrs        map[uint32]netip.AddrPort
	pools        map[uint32]*hostPool // of the hosts that an attempt was made to
	openConns    int                  // connections, dials in progress included
	pendingCount int                  // attempts that wait for a connection, over all pools
	dialingCount int                  // dials in progress, over all pools
	idle         *list.List           // of *conn, over all pools, the longest idle first
	toFlush      []*conn              // connections with something to write
	nextUrgent   bool                 // whether the next attempt is of an urgent request class

	// dialShortage is set while dials fail because this machine lacks a resource. It is logged when it changes.
	dialShortage bool

	// Dial opens a connection, which must be a *net.TCPConn. Tests replace it.
	Dial func(addr string) (net.Conn, error)
}

// Options are the options of a Transport.
type Options struct {
	System         sockets.System // makes the system calls
	RunOnLoop      func(func())   // runs a function on the event loop
	Now            func() clock.Instant
	LoadFields     []string // names of a load report's fields
	ConnectTimeout time.Duration
	IdleTimeout    time.Duration // idle connections are closed after it
	MaxConns       int           // connections that are open at a time
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
		reuseDelay:  defaultReuseDelay,
		addrs:       map[uint32]netip.AddrPort{},
		pools:       map[uint32]*hostPool{},
		idle:        list.New(),
		Dial:        func(addr string) (net.Conn, error) { return system.Dial(context.Background(), dialer, addr) },
	}
}

// SetAddress adds a host or changes its address. Connections to an earlier address are closed once they are idle.
func (t *Transport) SetAddress(id uint32, addr netip.AddrPort) {
	t.addrs[id] = addr
	pool := t.pools[id]
	if pool != nil && pool.addr != addr {
		pool.addr = addr
		pool.closeIdle()
	}
}

// Remove removes a host. Its idle connections are closed and attempts that wait for one fail; attempts that have
// started continue.
func (t *Transport) Remove(id uint32) {
	delete(t.addrs, id)
	pool := t.pools[id]
	if pool == nil {
		return
	}
	delete(t.pools, id)
	t.pendingCount -= len(pool.pending)
	t.dialingCount -= pool.dialing
	pool.removed = true
	pool.closeIdle()
	pool.cancelUnstarted(errHostRemoved)
}

// Drain cancels the attempts to a host that have not started: a connection that they wait for may come up after the
// host's grace period. The policy knows of the drain before these results reach it, and makes its next attempts
// elsewhere.
func (t *Transport) Drain(id uint32) {
	if pool := t.pools[id]; pool != nil {
		pool.cancelUnstarted(ErrCanceled)
	}
}

// Send makes an attempt. Its client, or the gateway, waits for the answer until deadline; the command has the time left
// until then. It is not started after writeDeadline. onResult is called once, possibly before Send returns.
func (t *Transport) Send(
	id uint32,
	command Command,
	deadline, writeDeadline clock.Instant,
	onResult ResultHandler,
) *Attempt {
	return t.start(id, &Attempt{
		command:       &command,
		deadline:      deadline,
		writeDeadline: writeDeadline,
		onResult:      onResult,
	})
}

// Probe asks a host for its load report.
func (t *Transport) Probe(id uint32, onResult ResultHandler) *Attempt {
	request := resp.AppendArrayHeader(nil, 2)
	request = resp.AppendBulk(request, "INFO")
	request = resp.AppendBulk(request, "load")
	deadline := t.now().Add(probeTimeout)
	return t.start(id, &Attempt{
		command:       &Command{Head: request, constant: true},
		deadline:      deadline,
		writeDeadline: deadline,
		probe:         true,
		onResult:      onResult,
	})
}

// start makes an attempt whose command, deadlines and handler are set.
func (t *Transport) start(id uint32, attempt *Attempt) *Attempt {
	attempt.pool = t.pool(id)
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

// pool returns the connection pool of a host, nil for an unknown host.
func (t *Transport) pool(id uint32) *hostPool {
	if pool := t.pools[id]; pool != nil {
		return pool
	}
	addr, known := t.addrs[id]
	if !known {
		return nil
	}
	pool := &hostPool{transport: t, addr: addr}
	t.pools[id] = pool
	return pool
}

// Flush writes the commands scheduled since the previous call, with one write per connection, and reports whether bytes
// are left to be written. A write that fails may schedule its attempt on another connection, which then joins the list
// that is being iterated.
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
