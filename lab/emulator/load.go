package emulator

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"strconv"
	"time"

	"ravensill/lab/actor"
)

const loadRandomStream = 0x636c69656e7473 // selects the random sequence of loads; ASCII for "clients"

// Class is a request class as clients send it.
type Class struct {
	Name       string
	Post       bool          // sent as CALL.POST instead of CALL.GET
	Idempotent bool          // sent with an idempotency key
	Timeout    time.Duration // the client's timeout, sent to the gateway as the request's deadline
	Fraction   float64       // of all requests
}

// Load describes the requests that clients send. Arrivals are a Poisson process that depends only on the seed and the
// rate. Clients do not wait for answers before they send further requests (open loop).
type Load struct {
	Seed           uint64
	Rate           float64 // requests per second of all clients together
	Customers      int
	ZipfExponent   float64         // exponent of the Zipf distribution of requests over customers; 0: uniform
	SubsetSize     int             // number of gateways that each customer uses; 0: all
	QuotaPlan      string          // name of the customers' plan; "" means team
	Units          float64         // quota units that a request costs; 0 means 1
	Classes        []Class         // none: only class lookup, with a timeout of 3 s
	GatewayWeights map[int]float64 // relative share of the requests by gateway within a customer's subset; 1 if absent
	Body           string          // payload of CALL.POST
	LeaveFraction  float64         // fraction of the clients that leave before the answer
	LeaveTime      time.Duration   // longest time after which a client leaves
}

// leaveTime returns the time after which the client of a request leaves, 0 if it waits for the answer. It depends only
// on the request's id.
func (l *Load) leaveTime(id string) time.Duration {
	after, _ := drawTime(id, "leave", l.LeaveFraction, l.LeaveTime)
	return after
}

// LoadRun is a load that is being sent. Its fields belong to the actor of its Clients.
type LoadRun struct {
	clients          *Clients
	load             Load
	random           *rand.Rand
	sent             int       // requests sent so far
	startedAt        int64     // in ns of actor.Now
	nextArrival      float64   // in seconds after startedAt
	cumulativeShares []float64 // by customer: sum of the unnormalized shares up to this one
	stopped          bool
}

// Start starts to send a load. Several loads may run at the same time.
func (c *Clients) Start(load Load) *LoadRun {
	if load.Units == 0 {
		load.Units = 1
	}
	if load.QuotaPlan == "" {
		load.QuotaPlan = "team"
	}
	if len(load.Classes) == 0 {
		load.Classes = []Class{{Name: "lookup", Timeout: 3 * time.Second, Fraction: 1}}
	}
	run := &LoadRun{
		clients:   c,
		load:      load,
		random:    rand.New(rand.NewPCG(load.Seed, loadRandomStream)),
		startedAt: actor.Now(),
	}
	total := 0.0
	for i := range max(load.Customers, 1) {
		total += 1 / math.Pow(float64(i+1), load.ZipfExponent)
		run.cumulativeShares = append(run.cumulativeShares, total)
	}
	c.Ask(func() { c.activeLoads++ })
	c.Do(run.sendDue)
	return run
}

// Stop ends the load. Requests in flight continue.
func (r *LoadRun) Stop() {
	r.clients.Ask(func() {
		if !r.stopped {
			r.stopped = true
			r.clients.activeLoads--
			r.clients.notifyWhenIdle()
		}
	})
}

// SetRate sets the number of requests per second from the next arrival on.
func (r *LoadRun) SetRate(rate float64) { r.clients.Ask(func() { r.load.Rate = rate }) }

// sendDue sends all requests that are due and schedules itself for the next arrival.
func (r *LoadRun) sendDue() {
	if r.stopped {
		return
	}
	now := float64(actor.Now()-r.startedAt) / 1e9
	for r.nextArrival <= now {
		if r.nextArrival > 0 {
			r.clients.log.MaxDelay = max(r.clients.log.MaxDelay, time.Duration((now-r.nextArrival)*1e9))
			r.sendNext()
		}
		r.nextArrival += r.random.ExpFloat64() / max(r.load.Rate, 1e-3)
	}
	r.clients.After(time.Duration((r.nextArrival-now)*1e9), r.sendDue)
}

// sendNext draws the next request and sends it. The number and order of random draws do not depend on answers, so a
// seed always gives the same requests, except that a request moves to another gateway if the drawn one is unavailable.
func (r *LoadRun) sendNext() {
	load := &r.load
	r.sent++
	draw := r.random.Float64() * r.cumulativeShares[len(r.cumulativeShares)-1]
	customer := sort.SearchFloat64s(r.cumulativeShares, draw)
	class := r.chooseClass()
	gateways := len(r.clients.addrs)
	spread := load.SubsetSize
	if spread <= 0 || spread > gateways {
		spread = gateways
	}
	customerID := fmt.Sprintf("%08x%08x", load.Seed&1, customer+1)
	first := int(UniformHash("first", customerID, strconv.FormatUint(load.Seed, 16)) * float64(gateways))
	gateway := r.chooseGateway(first, spread, gateways)
	id := fmt.Sprintf("%08x%08x", uint32(load.Seed), r.sent)
	request := &pendingRequest{Request: Request{
		ID:        id,
		Customer:  customerID,
		Class:     class.Name,
		Gateway:   gateway,
		Timeout:   class.Timeout,
		leaveTime: load.leaveTime(id),
		post:      class.Post,
		body:      load.Body,
	}}
	request.arguments = fmt.Sprintf("c=%s,t=%s,d=%d", class.Name, load.QuotaPlan, class.Timeout.Milliseconds())
	if class.Idempotent {
		request.IdempotencyKey = id
		request.arguments += ",k=" + id
	}
	request.arguments += fmt.Sprintf(",units=%g,spread=%d,first=%d", load.Units, spread, first)
	r.clients.beginRequest(request)
}

// chooseClass draws a request class with the classes' fractions as probabilities.
func (r *LoadRun) chooseClass() *Class {
	draw := r.random.Float64()
	classes := r.load.Classes
	for i := range classes {
		draw -= classes[i].Fraction
		if draw < 0 {
			return &classes[i]
		}
	}
	return &classes[len(classes)-1]
}

// chooseGateway draws a gateway, by weight, from the subset of spread gateways that starts at first. If that gateway is
// unavailable, it returns the next available one of the subset; if all are unavailable, it returns the drawn one.
func (r *LoadRun) chooseGateway(first, spread, gateways int) int {
	gatewayAt := func(k int) int { return (first + k) % gateways }
	total := 0.0
	for k := range spread {
		total += r.weight(gatewayAt(k))
	}
	draw := r.random.Float64() * total
	chosen := 0
	for ; chosen < spread-1; chosen++ {
		draw -= r.weight(gatewayAt(chosen))
		if draw < 0 {
			break
		}
	}
	for k := range spread {
		gateway := gatewayAt((chosen + k) % spread)
		if !r.clients.unavailable(gateway) {
			return gateway
		}
	}
	return gatewayAt(chosen)
}

// weight returns a gateway's weight within each subset.
func (r *LoadRun) weight(gateway int) float64 {
	if weight, ok := r.load.GatewayWeights[gateway]; ok {
		return weight
	}
	return 1
}
