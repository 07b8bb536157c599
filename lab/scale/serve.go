package scale

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"ravensill/internal/config"
	"ravensill/internal/discovery"
	"ravensill/internal/peers"
	"ravensill/internal/sockets"
	"ravensill/lab/emulator"
)

// workWaiting are pieces of work that wait for a served gateway's loop, as in package node.
const workWaiting = 1024

// Load is what simulated clients send to each served gateway.
type Load struct {
	Rate      float64 // a second at each gateway; 0 none
	Customers int
	Spread    int // gateways that a customer's requests come in at
	Seed      uint64
	Plan      int
	Class     int
}

// Served is a hollow gateway on the real clock: it sends and receives datagrams and follows discovery through the
// program's own sockets for both, from a loop like that of package node.
type Served struct {
	hollow   *Hollow
	post     *peers.Transport
	work     chan func()
	over     context.CancelFunc
	epoch    time.Time
	random   *rand.Rand
	load     Load
	loads    int // so often the load has changed
	requests int
}

// Serve starts a gateway from the configuration that getenv names.
func Serve(getenv func(string) string) (*Served, error) {
	s := &Served{work: make(chan func(), workWaiting), epoch: time.Now(),
		random: rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), 0))}
	c, err := config.Load(getenv)
	if err != nil {
		return nil, err
	}
	if s.post, err = peers.Open(sockets.Kernel{}, c.PeerListen, c.Peers, messageForm(c)); err != nil {
		return nil, fmt.Errorf("hollow gateway %d: %w", c.Membership.Index, err)
	}
	h := NewHollow(c, s, s.now())
	s.hollow = h
	ctx, over := context.WithCancel(context.Background())
	s.over = over
	go s.post.Listen(func(peer int, body []byte) {
		s.do(func() { h.Receive(peer, body) })
	}, func() {})
	go s.follow(ctx, c.Discovery, h.book.Version)
	go s.run(ctx)
	return s, nil
}

// Index is the gateway's member index.
func (s *Served) Index() int { return s.hollow.Index() }

// Address is where the gateway listens for datagrams.
func (s *Served) Address() string { return s.post.Addr() }

// Close ends the gateway.
func (s *Served) Close() {
	s.over()
	s.post.Close()
}

// Counts gives the gateway's counts so far.
func (s *Served) Counts() Counts {
	counts := make(chan Counts)
	s.do(func() { counts <- s.hollow.Counts })
	return <-counts
}

// SetLoad changes what clients send from now on.
func (s *Served) SetLoad(load Load) {
	s.do(func() {
		s.load = load
		s.loads++
		s.nextRequest(s.loads)
	})
}

func (s *Served) do(work func()) { s.work <- work }

func (s *Served) now() int64 { return s.epoch.UnixNano() + int64(time.Since(s.epoch)) }

// run is the loop: it does what came in, lets the module decide, and waits until the module's timer is due.
func (s *Served) run(ctx context.Context) {
	timer := time.NewTimer(0)
	for {
		select {
		case work := <-s.work:
			work()
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		for waiting := len(s.work); waiting > 0; waiting-- {
			(<-s.work)()
		}
		s.hollow.Turn(s.now())
		timer.Reset(max(time.Duration(s.hollow.Due()-s.now()), 0))
	}
}

// follow watches the host list through the program's own client of discovery.
func (s *Served) follow(ctx context.Context, address string, version int64) {
	for ctx.Err() == nil {
		var feed discovery.PendingRead
		onList := func(text string) {
			taken := make(chan int64, 1)
			s.do(func() {
				s.hollow.List(text, false)
				taken <- s.hollow.book.Version
			})
			version = <-taken
		}
		discovery.Watch(ctx, discovery.WatchOptions{
			System:     sockets.Kernel{},
			Address:    address,
			After:      version,
			Timeouts:   discovery.NewTimeouts(false),
			Pending:    &feed,
			OnReceived: func() {},
			OnList:     onList,
		})
		select {
		case <-time.After(discovery.RewatchDelay):
		case <-ctx.Done():
		}
	}
}

// nextRequest has the next request arrive, unless the load has changed since.
func (s *Served) nextRequest(load int) {
	if load != s.loads || s.load.Rate <= 0 {
		return
	}
	wait := time.Duration(s.random.ExpFloat64() / s.load.Rate * float64(time.Second))
	time.AfterFunc(wait, func() {
		s.do(func() {
			if load == s.loads {
				s.request()
				s.nextRequest(load)
			}
		})
	})
}

func (s *Served) request() {
	s.requests++
	seats := s.hollow.configuration.Membership.Count
	// A customer's name and first gateway are those that lab/emulator gives it.
	name := fmt.Sprintf("%08x%08x", s.load.Seed&1, s.random.IntN(s.load.Customers)+1)
	first := int(emulator.Uniform("first", name, strconv.FormatUint(s.load.Seed, 16)) * float64(seats))
	s.hollow.Request(Request{ID: fmt.Sprintf("%08x%08x", s.Index(), s.requests), Customer: name,
		Class: s.load.Class, Plan: s.load.Plan, Deadline: s.now() + int64(clientTimeout),
		Spread: s.load.Spread, First: first})
}

// Send sends a datagram.
func (s *Served) Send(_ *Hollow, peer int, body []byte) { s.post.Send(peer, body) }

// Attempt has a simulated host answer after an exponential service time.
func (s *Served) Attempt(from *Hollow, request string, host uint32, attempt int) {
	took := time.Duration(s.random.ExpFloat64() * float64(serviceTime))
	time.AfterFunc(took, func() {
		s.do(func() { from.Answered(request, host, attempt, took) })
	})
}

// Closed does nothing: the simulated client is gone with its request.
func (s *Served) Closed(*Hollow, string, Outcome) {}
