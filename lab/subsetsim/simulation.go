package subsetsim

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"ravensill/gateway"
	"ravensill/lab/schedule"
)

const (
	startTime      = gateway.Time(100 * time.Second)
	warmUpTime     = 10 * time.Second // of a new host
	warmUpInitial  = 0.3              // speed of a new host over that of a warm one
	lightWeight    = 0.25
	slowFactor     = 3
	requestTimeout = 8 * time.Second
	networkDelay   = 250 * time.Microsecond // from a gateway to a host
	notifyDelay    = 300 * time.Millisecond // until a gateway learns of a change of the list, at most
)

// simulation is the state of a simulated day.
type simulation struct {
	day      Scenario
	random   *rand.Rand
	now      gateway.Time
	schedule schedule.Schedule[func()]
	gateways []*gatewayModel
	hosts    []*host // in the order of their starts; stopped ones stay
	hostByID map[uint32]*host
	requests int
	result   Result
	// cumulativeTraffic holds for each gateway the sum of its traffic and that of all before it.
	cumulativeTraffic []float64
}

// Run simulates a day.
func Run(day Scenario) Result {
	s := &simulation{
		day:      day,
		random:   rand.New(rand.NewPCG(day.Seed, 11)),
		now:      startTime,
		hostByID: map[uint32]*host{},
	}
	s.addHosts()
	s.addGateways()
	s.addCustomers()
	for _, step := range day.Steps {
		s.at(startTime.Add(step.After), func() { s.apply(step) })
	}
	s.runEvents(startTime.Add(day.Length))
	for _, g := range s.gateways {
		s.result.HostsUsed += float64(len(g.usedHosts)) / float64(day.Gateways)
	}
	s.result.measure(s.hosts, s.random, day.Length)
	return s.result
}

// at schedules an event at an instant.
func (s *simulation) at(at gateway.Time, event func()) { s.schedule.Add(int64(at), event) }

// after schedules an event at a delay from now.
func (s *simulation) after(delay time.Duration, event func()) { s.at(s.now.Add(delay), event) }

func (s *simulation) runEvents(end gateway.Time) {
	for at, event := range s.schedule.Until(int64(end)) {
		s.now = gateway.Time(at)
		event()
	}
}

func (s *simulation) addHosts() {
	for i := range s.day.Hosts {
		light := i < s.day.LightHosts
		host := s.addHost(0, light)
		host.slow = !light && i < s.day.LightHosts+s.day.SlowHosts
	}
}

// addHost adds a running host that started at an instant; 0 means long ago. A light host also has a quarter of the
// slots.
func (s *simulation) addHost(startedAt gateway.Time, light bool) *host {
	number := uint64(len(s.hosts))
	h := &host{
		id:           uint32(mix(s.day.Seed<<32+number))&0x7ffffff | 1,
		weight:       1,
		startedAt:    startedAt,
		runningFrom:  s.now,
		runningUntil: math.MaxInt64,
		slots:        s.day.Slots,
	}
	if light {
		h.weight = lightWeight
		h.slots = max(s.day.Slots/4, 1)
	}
	s.hosts = append(s.hosts, h)
	s.hostByID[h.id] = h
	return h
}

func (s *simulation) addGateways() {
	sum := 0.0
	for i := range s.day.Gateways {
		g := &gatewayModel{simulation: s, index: i, attempts: map[string]*attempt{}, usedHosts: map[uint32]bool{}}
		s.gateways = append(s.gateways, g)
		g.start()
		traffic := math.Exp(s.day.TrafficSigma * s.random.NormFloat64())
		if i == 0 && s.day.BusyGatewayFactor > 0 {
			mean := math.Exp(s.day.TrafficSigma * s.day.TrafficSigma / 2)
			traffic = s.day.BusyGatewayFactor * mean
		}
		sum += traffic
		s.cumulativeTraffic = append(s.cumulativeTraffic, sum)
	}
}

// customer sends requests at a rate to the gateways that it spreads over, by their traffic.
type customer struct {
	name         string
	rate         float64 // requests in a second
	firstGateway int
	spread       int // gateways from the first one on
}

func (s *simulation) addCustomers() {
	rates := make([]float64, s.day.Customers)
	total := 0.0
	for i := range rates {
		rates[i] = math.Exp(s.random.NormFloat64())
		total += rates[i]
	}
	for i, rate := range rates {
		s.scheduleRequest(&customer{
			name:         fmt.Sprintf("c%d", i),
			rate:         rate / total * s.day.RequestRate,
			firstGateway: s.random.IntN(s.day.Gateways),
			spread:       int(float64(s.day.Gateways) * (0.5 + s.random.Float64()/2)),
		})
	}
}

// scheduleRequest schedules a customer's next request.
func (s *simulation) scheduleRequest(c *customer) {
	wait := time.Duration(s.random.ExpFloat64() / c.rate * float64(time.Second))
	s.after(wait, func() {
		s.scheduleRequest(c)
		s.sendRequest(c)
	})
}

// sendRequest sends a customer's request to a gateway that it uses; it is dropped if many draws find none that runs.
func (s *simulation) sendRequest(c *customer) {
	const maxDraws = 1000
	count := len(s.gateways)
	for range maxDraws {
		drawn := s.random.Float64() * s.cumulativeTraffic[count-1]
		g := s.gateways[sort.SearchFloat64s(s.cumulativeTraffic, drawn)]
		distance := (g.index - c.firstGateway + count) % count
		if g.stopped || distance >= c.spread {
			continue
		}
		s.requests++
		s.result.Requests++
		g.decide(gateway.Event{
			Kind:         gateway.RequestArrived,
			RequestID:    fmt.Sprint("r", s.requests),
			Customer:     c.name,
			Deadline:     s.now.Add(requestTimeout),
			Units:        1,
			Spread:       c.spread,
			FirstGateway: c.firstGateway,
		})
		return
	}
}
