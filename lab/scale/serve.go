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

// inboxSize is the number of functions that wait for a gateway's loop, as in package node.
const inboxSize = 1024

// Load is what simulated clients send to each gateway on the real clock.
type Load struct {
	Rate       float64 // a second at each gateway; 0 none
	Customers  int
	SubsetSize int // gateways that a customer's requests come in at
	Seed       uint64
	Plan       int
	Class      int
}

// RealTimeGateway is a hollow gateway on the real clock. It sends and receives datagrams and follows discovery
// through the program's own sockets for both, in a loop like that of package node.
type RealTimeGateway struct {
	hollow      *HollowGateway
	peers       *peers.Transport
	inbox       chan func()
	cancel      context.CancelFunc
	epoch       time.Time
	random      *rand.Rand
	clients     Load
	loadChanges int // changes of clients
	requests    int
}

// StartRealTimeGateway starts a gateway from the configuration that getenv names.
func StartRealTimeGateway(getenv func(string) string) (*RealTimeGateway, error) {
	s := &RealTimeGateway{inbox: make(chan func(), inboxSize), epoch: time.Now(),
		random: rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), 0))}
	c, err := config.Load(getenv)
	if err != nil {
		return nil, err
	}
	if s.peers, err = peers.Open(sockets.Kernel{}, c.PeerListen, c.Peers, messageForm(c)); err != nil {
		return nil, fmt.Errorf("hollow gateway %d: %w", c.Membership.Index, err)
	}
	h := NewHollowGateway(c, s, s.now())
	s.hollow = h
	ctx, over := context.WithCancel(context.Background())
	s.cancel = over
	go s.peers.Listen(func(peer int, body []byte) {
		s.do(func() { h.ReceiveMessage(peer, body) })
	}, func() {})
	go s.follow(ctx, c.DiscoveryAddress, h.endpoints.Version)
	go s.run(ctx)
	return s, nil
}

// Index returns the gateway's member index.
func (s *RealTimeGateway) Index() int { return s.hollow.Index() }

// Address returns where the gateway listens for datagrams.
func (s *RealTimeGateway) Address() string { return s.peers.Addr() }

// Close ends the gateway.
func (s *RealTimeGateway) Close() {
	s.cancel()
	s.peers.Close()
}

// Counts returns the gateway's counts so far.
func (s *RealTimeGateway) Counts() Counts {
	counts := make(chan Counts)
	s.do(func() { counts <- s.hollow.Counts })
	return <-counts
}

// SetLoad changes what clients send from now on.
func (s *RealTimeGateway) SetLoad(load Load) {
	s.do(func() {
		s.clients = load
		s.loadChanges++
		s.nextRequest(s.loadChanges)
	})
}

// do has the loop run a function.
func (s *RealTimeGateway) do(work func()) { s.inbox <- work }

// now returns Unix time in nanoseconds that never runs backward.
func (s *RealTimeGateway) now() int64 { return s.epoch.UnixNano() + int64(time.Since(s.epoch)) }

// run is the loop: it runs what was sent to it, lets the module decide, and waits until the module's timer is due.
func (s *RealTimeGateway) run(ctx context.Context) {
	timer := time.NewTimer(0)
	for {
		select {
		case work := <-s.inbox:
			work()
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		for waiting := len(s.inbox); waiting > 0; waiting-- {
			(<-s.inbox)()
		}
		s.hollow.Process(s.now())
		timer.Reset(max(time.Duration(s.hollow.NextTimer()-s.now()), 0))
	}
}

// follow watches the host list through the program's own client of discovery.
func (s *RealTimeGateway) follow(ctx context.Context, address string, version int64) {
	for ctx.Err() == nil {
		var feed discovery.PendingRead
		onList := func(text string) {
			taken := make(chan int64, 1)
			s.do(func() {
				s.hollow.ApplyHostList(text, false)
				taken <- s.hollow.endpoints.Version
			})
			version = <-taken
		}
		discovery.Watch(ctx, discovery.WatchOptions{
			System:       sockets.Kernel{},
			Address:      address,
			AfterVersion: version,
			Timeouts:     discovery.NewTimeouts(false),
			Pending:      &feed,
			OnReceived:   func() {},
			OnList:       onList,
		})
		select {
		case <-time.After(discovery.WatchRetryDelay):
		case <-ctx.Done():
		}
	}
}

// nextRequest schedules the next request of a load, unless the load has changed since.
func (s *RealTimeGateway) nextRequest(load int) {
	if load != s.loadChanges || s.clients.Rate <= 0 {
		return
	}
	wait := time.Duration(s.random.ExpFloat64() / s.clients.Rate * float64(time.Second))
	time.AfterFunc(wait, func() {
		s.do(func() {
			if load == s.loadChanges {
				s.request()
				s.nextRequest(load)
			}
		})
	})
}

// request has one request arrive.
func (s *RealTimeGateway) request() {
	s.requests++
	gateways := s.hollow.configuration.Membership.Count
	// A customer's name and first gateway are the same as in lab/emulator.
	name := fmt.Sprintf("%08x%08x", s.clients.Seed&1, s.random.IntN(s.clients.Customers)+1)
	first := int(emulator.UniformHash("first", name, strconv.FormatUint(s.clients.Seed, 16)) * float64(gateways))
	s.hollow.ReceiveRequest(Request{
		ID:           fmt.Sprintf("%08x%08x", s.Index(), s.requests),
		Customer:     name,
		Class:        s.clients.Class,
		Plan:         s.clients.Plan,
		Deadline:     s.now() + int64(clientTimeout),
		SubsetSize:   s.clients.SubsetSize,
		FirstGateway: first,
	})
}

// SendMessage sends a datagram.
func (s *RealTimeGateway) SendMessage(_ *HollowGateway, peer int, body []byte) {
	s.peers.Send(peer, body)
}

// StartAttempt has a simulated host answer after an exponential service time.
func (s *RealTimeGateway) StartAttempt(from *HollowGateway, request string, host uint32, attempt int) {
	took := time.Duration(s.random.ExpFloat64() * float64(serviceTime))
	time.AfterFunc(took, func() {
		s.do(func() { from.EndAttempt(request, host, attempt, took) })
	})
}

// RequestClosed does nothing: no one waits for the simulated client's answer.
func (s *RealTimeGateway) RequestClosed(*HollowGateway, string, Outcome) {}
