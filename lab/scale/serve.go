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

// inboxSize is the number of functions that can wait for a gateway's loop, as in package node.
const inboxSize = 1024

// Load is the load that simulated clients generate at a gateway on the real clock.
type Load struct {
	Rate       float64 // requests a second at each gateway; 0 means none
	Customers  int
	SubsetSize int // number of gateways that the requests of a customer arrive at
	Seed       uint64
	Plan       int // index of the quota plan
	Class      int // index of the request class
}

// RealTimeGateway runs a hollow gateway on the real clock, in a loop like that of package node. It exchanges gossip
// and watches the host list through the program's own sockets. Its methods may be called from any goroutine; only the
// loop uses the hollow gateway.
type RealTimeGateway struct {
	hollow       *HollowGateway
	peers        *peers.Transport
	inbox        chan func() // functions that the loop is to run
	cancel       context.CancelFunc
	epoch        time.Time // start of the gateway, with a monotonic clock reading
	random       *rand.Rand
	load         Load
	loadVersion  int // number of load changes; requests scheduled for an earlier load are dropped
	requestCount int
}

// StartRealTimeGateway starts a gateway from the configuration that getenv names. It runs until Close is called.
func StartRealTimeGateway(getenv func(string) string) (*RealTimeGateway, error) {
	g := &RealTimeGateway{inbox: make(chan func(), inboxSize), epoch: time.Now(),
		random: rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), 0))}
	c, err := config.Load(getenv)
	if err != nil {
		return nil, err
	}
	if g.peers, err = peers.Open(sockets.Kernel{}, c.PeerListen, c.Peers, newMessageFormat(c)); err != nil {
		return nil, fmt.Errorf("opening the gossip socket of hollow gateway %d: %w", c.Membership.Index, err)
	}
	hollow := NewHollowGateway(c, g, g.now())
	g.hollow = hollow
	ctx, cancel := context.WithCancel(context.Background())
	g.cancel = cancel
	go g.peers.Listen(func(peer int, body []byte) {
		g.runOnLoop(func() { hollow.ReceiveMessage(peer, body) })
	}, func() {})
	go g.watchHostList(ctx, c.DiscoveryAddress, hollow.endpoints.Version)
	go g.loop(ctx)
	return g, nil
}

// Index returns the gateway's member index.
func (g *RealTimeGateway) Index() int { return g.hollow.Index() }

// Address returns the address at which the gateway receives datagrams.
func (g *RealTimeGateway) Address() string { return g.peers.Addr() }

// Close stops the gateway. It does not wait for the loop to end.
func (g *RealTimeGateway) Close() {
	g.cancel()
	g.peers.Close()
}

// Counts returns the gateway's counts so far.
func (g *RealTimeGateway) Counts() Counts {
	counts := make(chan Counts)
	g.runOnLoop(func() { counts <- g.hollow.Counts })
	return <-counts
}

// SetLoad replaces the load that simulated clients generate.
func (g *RealTimeGateway) SetLoad(load Load) {
	g.runOnLoop(func() {
		g.load = load
		g.loadVersion++
		g.scheduleRequest(g.loadVersion)
	})
}

// runOnLoop queues a function for the loop. It blocks while the inbox is full.
func (g *RealTimeGateway) runOnLoop(work func()) { g.inbox <- work }

// now returns Unix time in nanoseconds. It never goes back, even if the system clock is set.
func (g *RealTimeGateway) now() int64 { return g.epoch.UnixNano() + int64(time.Since(g.epoch)) }

// loop runs queued functions and has the gateway process events, whenever a function arrives or the timer is due.
func (g *RealTimeGateway) loop(ctx context.Context) {
	timer := time.NewTimer(0)
	for {
		select {
		case work := <-g.inbox:
			work()
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		for waiting := len(g.inbox); waiting > 0; waiting-- {
			(<-g.inbox)()
		}
		g.hollow.Process(g.now())
		timer.Reset(max(time.Duration(g.hollow.NextTimer()-g.now()), 0))
	}
}

// watchHostList keeps a watch of the host list open through the program's own discovery client, until ctx is done.
func (g *RealTimeGateway) watchHostList(ctx context.Context, address string, version int64) {
	for ctx.Err() == nil {
		var pending discovery.PendingRead
		onList := func(text string) {
			applied := make(chan int64, 1)
			g.runOnLoop(func() {
				g.hollow.ApplyHostList(text, false)
				applied <- g.hollow.endpoints.Version
			})
			version = <-applied
		}
		discovery.Watch(ctx, discovery.WatchOptions{
			System:       sockets.Kernel{},
			Address:      address,
			AfterVersion: version,
			Timeouts:     discovery.NewTimeouts(false),
			Pending:      &pending,
			OnReceived:   func() {},
			OnList:       onList,
		})
		select {
		case <-time.After(discovery.WatchRetryDelay):
		case <-ctx.Done():
		}
	}
}

// scheduleRequest schedules the next request of a load as a Poisson process, unless the load has changed since.
// version is the loadVersion of that load. It runs on the loop.
func (g *RealTimeGateway) scheduleRequest(version int) {
	if version != g.loadVersion || g.load.Rate <= 0 {
		return
	}
	wait := time.Duration(g.random.ExpFloat64() / g.load.Rate * float64(time.Second))
	time.AfterFunc(wait, func() {
		g.runOnLoop(func() {
			if version == g.loadVersion {
				g.receiveRequest()
				g.scheduleRequest(version)
			}
		})
	})
}

// receiveRequest has the gateway receive one request of a random customer.
func (g *RealTimeGateway) receiveRequest() {
	g.requestCount++
	gateways := g.hollow.configuration.Membership.Count
	// Names and first gateways of customers are those that the clients of lab/emulator use.
	name := fmt.Sprintf("%08x%08x", g.load.Seed&1, g.random.IntN(g.load.Customers)+1)
	first := int(emulator.UniformHash("first", name, strconv.FormatUint(g.load.Seed, 16)) * float64(gateways))
	g.hollow.ReceiveRequest(Request{
		ID:           fmt.Sprintf("%08x%08x", g.Index(), g.requestCount),
		Customer:     name,
		Class:        g.load.Class,
		Plan:         g.load.Plan,
		Deadline:     g.now() + int64(clientTimeout),
		SubsetSize:   g.load.SubsetSize,
		FirstGateway: first,
	})
}

// SendMessage implements Driver. It sends the message as a datagram.
func (g *RealTimeGateway) SendMessage(_ *HollowGateway, peer int, body []byte) {
	g.peers.Send(peer, body)
}

// StartAttempt implements Driver. The simulated host answers after an exponentially distributed service time.
func (g *RealTimeGateway) StartAttempt(from *HollowGateway, request string, host uint32, attempt int) {
	took := time.Duration(g.random.ExpFloat64() * float64(serviceTime))
	time.AfterFunc(took, func() {
		g.runOnLoop(func() { from.EndAttempt(request, host, attempt, took) })
	})
}

// RequestClosed implements Driver. It does nothing because no client waits for the answer.
func (g *RealTimeGateway) RequestClosed(*HollowGateway, string, Outcome) {}
