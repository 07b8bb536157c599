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

// Class is a request class as clients use it.
type Class struct {
	Name  string
	Post  bool          // CALL.POST: not idempotent
	Keyed bool          // with a key for deduplication
	Wait  time.Duration // the client's timeout
	Part  float64       // fraction of the requests
}

// Load is what clients send. Arrivals are a Poisson process determined by the seed; they wait for no answer (open loop).
type Load struct {
	Seed      uint64
	Rate      float64 // requests a second, of all clients together
	Customers int
	Skew      float64 // Zipf exponent of the customers' shares; 0: all equal
	Spread    int     // gateways of a customer's set; 0: all
	Plan      string  // quota plan
	Units     float64 // cost of a request; 0: 1
	Classes   []Class
	Hot       map[int]float64 // weight of a gateway within each set; 1 if absent
	Body      string          // of CALL.POST
}

// Run is a load under way.
type Run struct {
	clients          *Clients
	load             Load
	random           *rand.Rand
	sent             int       // requests
	began            int64     // ns
	nextArrival      float64   // seconds after began
	cumulativeShares []float64 // by customer: the sum of the shares up to this one
	stopped          bool
}

// Start begins a load; several may run at once.
func (c *Clients) Start(load Load) *Run {
	if load.Units == 0 {
		load.Units = 1
	}
	if load.Plan == "" {
		load.Plan = "team"
	}
	if len(load.Classes) == 0 {
		load.Classes = []Class{{Name: "lookup", Wait: 3 * time.Second, Part: 1}}
	}
	run := &Run{clients: c, load: load, random: rand.New(rand.NewPCG(load.Seed, 0x636c69656e7473)), began: actor.Now()}
	total := 0.0
	for i := range max(load.Customers, 1) {
		total += 1 / math.Pow(float64(i+1), load.Skew)
		run.cumulativeShares = append(run.cumulativeShares, total)
	}
	c.Ask(func() { c.activeLoads++ })
	c.Do(run.sendDue)
	return run
}

// Stop ends a load; open requests go on.
func (r *Run) Stop() {
	r.clients.Ask(func() {
		if !r.stopped {
			r.stopped = true
			r.clients.activeLoads--
			r.clients.notifyWhenIdle()
		}
	})
}

// Rate sets how many requests a second are sent from now on.
func (r *Run) Rate(rate float64) { r.clients.Ask(func() { r.load.Rate = rate }) }

// sendDue sends the requests that are due and schedules the next one.
func (r *Run) sendDue() {
	if r.stopped {
		return
	}
	now := float64(actor.Now()-r.began) / 1e9
	for r.nextArrival <= now {
		if r.nextArrival > 0 {
			r.clients.log.Late = max(r.clients.log.Late, time.Duration((now-r.nextArrival)*1e9))
			r.sendNext()
		}
		r.nextArrival += r.random.ExpFloat64() / max(r.load.Rate, 1e-3)
	}
	r.clients.After(time.Duration((r.nextArrival-now)*1e9), r.sendDue)
}

// sendNext draws the next request and sends it. All is drawn in the same order in every run, whatever the answers are.
func (r *Run) sendNext() {
	load := &r.load
	r.sent++
	draw := r.random.Float64() * r.cumulativeShares[len(r.cumulativeShares)-1]
	customer := sort.SearchFloat64s(r.cumulativeShares, draw)
	class := r.chooseClass()
	gateways := len(r.clients.addrs)
	spread := load.Spread
	if spread <= 0 || spread > gateways {
		spread = gateways
	}
	customerID := fmt.Sprintf("%08x%08x", load.Seed&1, customer+1)
	first := int(Uniform("first", customerID, strconv.FormatUint(load.Seed, 16)) * float64(gateways))
	gateway := r.chooseGateway(first, spread, gateways)
	id := fmt.Sprintf("%08x%08x", uint32(load.Seed), r.sent)
	request := &pending{Req: Req{
		ID:       id,
		Customer: customerID,
		Class:    class.Name,
		Gateway:  gateway,
		timeout:  class.Wait,
		post:     class.Post,
		body:     load.Body,
	}}
	request.arguments = fmt.Sprintf("c=%s,t=%s,d=%d", class.Name, load.Plan, class.Wait.Milliseconds())
	if class.Keyed {
		request.Key = id
		request.arguments += ",k=" + id
	}
	request.arguments += fmt.Sprintf(",units=%g,spread=%d,first=%d", load.Units, spread, first)
	r.clients.begin(request)
}

// chooseClass draws a request class.
func (r *Run) chooseClass() *Class {
	draw := r.random.Float64()
	classes := r.load.Classes
	for i := range classes {
		draw -= classes[i].Part
		if draw < 0 {
			return &classes[i]
		}
	}
	return &classes[len(classes)-1]
}

// chooseGateway draws a gateway of a set; if it is unavailable, the next one of the set that is available.
func (r *Run) chooseGateway(first, spread, gateways int) int {
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

// weight returns the weight of a gateway within each set.
func (r *Run) weight(gateway int) float64 {
	if weight, ok := r.load.Hot[gateway]; ok {
		return weight
	}
	return 1
}
