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
	startTime          = gateway.Time(100 * time.Second)
	warmUpTime         = 10 * time.Second // time until a new host is warm
	initialSpeedFactor = 0.3              // ratio of the speed of a new host to that of a warm one
	lightWeight        = 0.25             // ratio of the weight of a light host to that of any other
	slowFactor         = 3                // ratio of the processing time at a slow host to that at any other
	requestTimeout     = 8 * time.Second
	networkDelay       = 250 * time.Microsecond // time of a message from a gateway to a host
	notifyDelay        = 300 * time.Millisecond // longest time until a gateway learns of a change of the endpoint list
)

// simulation is the state of one simulated scenario.
type simulation struct {
	scenario Scenario
	random   *rand.Rand
	now      gateway.Time
	schedule schedule.Schedule[func()]
	gateways []*gatewayModel
	hosts    []*host // in the order of their starts, with the stopped ones
	hostByID map[uint32]*host
	requests int // number of requests so far
	result   Result
	// cumulativeTraffic holds, for each gateway, the sum of the relative traffic of all gateways up to this one.
	cumulativeTraffic []float64
}

// Run simulates a scenario and returns its measurements.
func Run(scenario Scenario) Result {
	s := &simulation{
		scenario: scenario,
		random:   rand.New(rand.NewPCG(scenario.Seed, 11)),
		now:      startTime,
		hostByID: map[uint32]*host{},
	}
	s.addHosts()
	s.addGateways()
	s.addCustomers()
	for _, step := range scenario.Steps {
		s.at(startTime.Add(step.After), func() { s.applyStep(step) })
	}
	s.runEvents(startTime.Add(scenario.Length))
	for _, g := range s.gateways {
		s.result.HostsUsed += float64(len(g.usedHosts)) / float64(scenario.Gateways)
	}
	s.result.measure(s.hosts, s.random, scenario.Length)
	return s.result
}

// at schedules an event at an instant.
func (s *simulation) at(at gateway.Time, event func()) { s.schedule.Add(int64(at), event) }

// after schedules an event after a delay.
func (s *simulation) after(delay time.Duration, event func()) { s.at(s.now.Add(delay), event) }

func (s *simulation) runEvents(end gateway.Time) {
	for at, event := range s.schedule.Until(int64(end)) {
		s.now = gateway.Time(at)
		event()
	}
}

func (s *simulation) addHosts() {
	for i := range s.scenario.Hosts {
		light := i < s.scenario.LightHosts
		host := s.addHost(0, light)
		host.slow = !light && i < s.scenario.LightHosts+s.scenario.SlowHosts
	}
}

// addHost adds a running host that started at startedAt; 0 means so long ago that it is warm. A light host has a
// quarter of the usual weight and slots.
func (s *simulation) addHost(startedAt gateway.Time, light bool) *host {
	number := uint64(len(s.hosts))
	h := &host{
		id:           uint32(hashMix(s.scenario.Seed<<32+number))&0x7ffffff | 1,
		weight:       1,
		startedAt:    startedAt,
		runningFrom:  s.now,
		runningUntil: math.MaxInt64,
		slots:        s.scenario.Slots,
	}
	if light {
		h.weight = lightWeight
		h.slots = max(s.scenario.Slots/4, 1)
	}
	s.hosts = append(s.hosts, h)
	s.hostByID[h.id] = h
	return h
}

func (s *simulation) addGateways() {
	sum := 0.0
	for i := range s.scenario.Gateways {
		g := &gatewayModel{simulation: s, index: i, attempts: map[string]*attempt{}, usedHosts: map[uint32]bool{}}
		s.gateways = append(s.gateways, g)
		g.start()
		traffic := math.Exp(s.scenario.TrafficSigma * s.random.NormFloat64())
		if i == 0 && s.scenario.BusyGatewayFactor > 0 {
			mean := math.Exp(s.scenario.TrafficSigma * s.scenario.TrafficSigma / 2)
			traffic = s.scenario.BusyGatewayFactor * mean
		}
		sum += traffic
		s.cumulativeTraffic = append(s.cumulativeTraffic, sum)
	}
}

// customer sends requests to the gateways that it uses, in proportion to their traffic.
type customer struct {
	name         string
	rate         float64 // requests per second
	firstGateway int     // index of the first gateway that it uses
	spread       int     // number of gateways that it uses, from firstGateway on
}

func (s *simulation) addCustomers() {
	rates := make([]float64, s.scenario.Customers)
	total := 0.0
	for i := range rates {
		rates[i] = math.Exp(s.random.NormFloat64())
		total += rates[i]
	}
	for i, rate := range rates {
		s.scheduleRequest(&customer{
			name:         fmt.Sprintf("c%d", i),
			rate:         rate / total * s.scenario.RequestRate,
			firstGateway: s.random.IntN(s.scenario.Gateways),
			spread:       int(float64(s.scenario.Gateways) * (0.5 + s.random.Float64()/2)),
		})
	}
}

// scheduleRequest schedules a customer's next request, which schedules the one after it.
func (s *simulation) scheduleRequest(c *customer) {
	wait := time.Duration(s.random.ExpFloat64() / c.rate * float64(time.Second))
	s.after(wait, func() {
		s.scheduleRequest(c)
		s.sendRequest(c)
	})
}

// sendRequest sends a customer's request to a running gateway that the customer uses. It draws until it finds one, and
// drops the request after maxDraws attempts.
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
