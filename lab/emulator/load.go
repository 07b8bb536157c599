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

const clientsStream = 0x636c69656e7473 // of the random generator: "clients"

// Class is a request class as clients use it.
type Class struct {
	Name       string
	Post       bool          // sent by CALL.POST
	Idempotent bool          // sent with an idempotency key
	Timeout    time.Duration // of the client
	Fraction   float64       // of the requests
}

// Load describes what clients send. Arrivals are a Poisson process that follows from the seed and do not wait for
// answers (open loop).
type Load struct {
	Seed           uint64
	Rate           float64 // requests a second, of all clients together
	Customers      int
	ZipfExponent   float64 // of the customers' shares of the requests; 0: all equal
	SubsetSize     int     // gateways that a customer uses; 0: all
	QuotaPlan      string  // "": team
	Units          float64 // cost of a request; 0: 1
	Classes        []Class
	GatewayWeights map[int]float64 // weight of a gateway within each subset; 1 if absent
	Body           string          // of CALL.POST
}

// LoadRun is a load that is being sent.
type LoadRun struct {
	clients          *Clients
	load             Load
	random           *rand.Rand
	sent             int       // requests
	startedAt        int64     // ns
	nextArrival      float64   // seconds after began
	cumulativeShares []float64 // by customer: the sum of the shares up to this one
	stopped          bool
}

// Start starts a load. Several may run at once.
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
		random:    rand.New(rand.NewPCG(load.Seed, clientsStream)),
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

// Stop ends a load. Requests in flight go on.
func (r *LoadRun) Stop() {
	r.clients.Ask(func() {
		if !r.stopped {
			r.stopped = true
			r.clients.activeLoads--
			r.clients.notifyWhenIdle()
		}
	})
}

// SetRate sets how many requests a second are sent from now on.
func (r *LoadRun) SetRate(rate float64) { r.clients.Ask(func() { r.load.Rate = rate }) }

// sendDue sends the requests that are due and schedules the next one.
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

// sendNext draws the next request and sends it. The order of draws does not depend on answers.
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
	request := &pending{Request: Request{
		ID:       id,
		Customer: customerID,
		Class:    class.Name,
		Gateway:  gateway,
		timeout:  class.Timeout,
		post:     class.Post,
		body:     load.Body,
	}}
	request.arguments = fmt.Sprintf("c=%s,t=%s,d=%d", class.Name, load.QuotaPlan, class.Timeout.Milliseconds())
	if class.Idempotent {
		request.IdempotencyKey = id
		request.arguments += ",k=" + id
	}
	request.arguments += fmt.Sprintf(",units=%g,spread=%d,first=%d", load.Units, spread, first)
	r.clients.begin(request)
}

// chooseClass draws a request class.
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

// chooseGateway draws a gateway of a subset. If that is unavailable, it returns the next available one of the subset.
func (r *LoadRun) chooseGateway(first, spread, gateways int) int {
	member := func(k int) int { return (first + k) % gateways }
	total := 0.0
	for k := range spread {
		total += r.weight(member(k))
	}
	draw := r.random.Float64() * total
	chosen := 0
	for ; chosen < spread-1; chosen++ {
		draw -= r.weight(member(chosen))
		if draw < 0 {
			break
		}
	}
	for k := range spread {
		gateway := member((chosen + k) % spread)
		if !r.clients.unavailable(gateway) {
			return gateway
		}
	}
	return member(chosen)
}

// weight returns the weight of a gateway within each subset.
func (r *LoadRun) weight(gateway int) float64 {
	if weight, ok := r.load.GatewayWeights[gateway]; ok {
		return weight
	}
	return 1
}
