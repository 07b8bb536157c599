package subsetsim

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"ravensill/gateway"
	"ravensill/lab/schedule"
	"ravensill/subset"
)

// StepKind is what a Step does.
type StepKind int

// Kinds of steps.
const (
	// JoinHosts: Count cold hosts come at once.
	JoinHosts StepKind = iota
	// SilenceHosts: Count hosts answer nothing for Duration.
	SilenceHosts
	// ReplaceWithDelayedLists: Count hosts are replaced by warm ones, and half the gateways learn it Duration later.
	ReplaceWithDelayedLists
	// ReplaceHosts: Count hosts are replaced by cold ones, evenly within Duration.
	ReplaceHosts
	// RestartGateways: Count in 100 gateways are killed, and are back with empty state after Duration.
	RestartGateways
	// PartitionGateways: Count in 100 gateways can't reach a third of the hosts for Duration.
	PartitionGateways
)

// Step is one thing that happens in a day, At after its start.
type Step struct {
	At       time.Duration
	Kind     StepKind
	Count    int
	Duration time.Duration
}

// Day is one simulated day: gateways of package logic, clients without quotas, hosts with slots and a queue.
type Day struct {
	Name         string
	Seed         uint64
	Gateways     int
	Hosts        int
	Rate         float64       // requests a second of all clients
	Customers    int           // of log-normal rates (sigma 1), each at half to all of the gateways
	TrafficSigma float64       // of the gateways' log-normal traffic
	HeavyFactor  float64       // traffic of gateway 0, in multiples of the mean; 0: as any other
	LightHosts   int           // hosts with a quarter of the weight and of the slots
	SlowHosts    int           // of the other hosts: those that take three times as long
	Slots        int           // requests that a host serves at once
	WorkTime     time.Duration // mean of a request's exponential service time
	Duration     time.Duration
	Steps        []Step
	Rule         func(index, gateways int, hosts []subset.Endpoint) []int // nil: the module's own
}

const (
	binLength      = int64(100 * time.Millisecond) // of the counts of attempts
	warmUp         = 10 * time.Second              // of cold hosts
	coldFraction   = 0.3                           // of a cold host's speed at its start
	maxListDelay   = 0.3e9                         // ns, of a change of the list
	networkDelay   = 250 * time.Microsecond        // to a host
	clientTimeout  = 8 * time.Second
	simulatedStart = int64(100 * time.Second)
	randomStream   = 11 // of the random generator
)

// simulation is the state of one day. Times are nanoseconds of the simulated clock.
type simulation struct {
	day               Day
	random            *rand.Rand
	now               int64
	schedule          schedule.Schedule[func()]
	gateways          []*gatewayModel
	hosts             []*host // removed ones too
	byID              map[uint32]*host
	requests          int
	result            Result
	cumulativeTraffic []float64 // by gateway: the sum of the traffic up to this one
}

// at schedules an event.
func (s *simulation) at(time int64, event func()) { s.schedule.Add(time, event) }

// after schedules an event after a duration.
func (s *simulation) after(delay time.Duration, event func()) { s.at(s.now+int64(delay), event) }

// Run simulates a day.
func Run(day Day) Result {
	s := &simulation{
		day:    day,
		random: rand.New(rand.NewPCG(day.Seed, randomStream)),
		now:    simulatedStart,
		byID:   map[uint32]*host{},
	}
	s.result.start = simulatedStart
	s.addHosts()
	s.addGateways()
	s.addCustomers()
	for _, step := range day.Steps {
		s.after(step.At, func() { s.runStep(step) })
	}
	s.runEvents(simulatedStart + int64(day.Duration))
	for _, gateway := range s.gateways {
		s.result.HostsUsed += float64(len(gateway.usedHosts)) / float64(day.Gateways)
	}
	s.result.spreadByChance(s.hosts, s.random, int(int64(day.Duration)/binLength))
	return s.result
}

// addHosts adds the hosts of the day, all warmed up.
func (s *simulation) addHosts() {
	for i := range s.day.Hosts {
		host := s.addHost(0, i < s.day.LightHosts)
		host.slow = i >= s.day.LightHosts && i < s.day.LightHosts+s.day.SlowHosts
	}
}

// addGateways adds the gateways and draws their traffic.
func (s *simulation) addGateways() {
	sigma := s.day.TrafficSigma
	sum := 0.0
	for i := range s.day.Gateways {
		gateway := &gatewayModel{sim: s, index: i, usedHosts: map[uint32]bool{}}
		s.gateways = append(s.gateways, gateway)
		gateway.start()
		traffic := math.Exp(sigma * s.random.NormFloat64())
		if i == 0 && s.day.HeavyFactor > 0 {
			traffic = s.day.HeavyFactor * math.Exp(sigma*sigma/2)
		}
		sum += traffic
		s.cumulativeTraffic = append(s.cumulativeTraffic, sum)
	}
}

// addCustomers draws the customers and schedules their first requests.
func (s *simulation) addCustomers() {
	rates := make([]float64, s.day.Customers)
	total := 0.0
	for i := range rates {
		rates[i] = math.Exp(s.random.NormFloat64())
		total += rates[i]
	}
	for i := range rates {
		first := s.random.IntN(s.day.Gateways)
		size := int(float64(s.day.Gateways) * (0.5 + s.random.Float64()/2))
		s.scheduleRequest(customer{
			name:         fmt.Sprintf("c%d", i),
			rate:         rates[i] / total * s.day.Rate,
			firstGateway: first,
			subsetSize:   size,
		})
	}
}

// runEvents runs all events up to a time.
func (s *simulation) runEvents(end int64) {
	for s.schedule.Len() > 0 {
		at, event := s.schedule.Next()
		if at > end {
			return
		}
		s.now = at
		event()
	}
}

// runStep runs one step at hosts and gateways drawn at random.
func (s *simulation) runStep(step Step) {
	running := s.runningHosts()
	s.random.Shuffle(len(running), func(i, j int) { running[i], running[j] = running[j], running[i] })
	switch step.Kind {
	case JoinHosts:
		for range step.Count {
			host := s.addHost(s.now, false)
			s.sendListChange(false, host.endpoint(gateway.Running))
		}
	case SilenceHosts:
		for _, host := range running[:step.Count] {
			host.silentUntil = s.now + int64(step.Duration)
			s.at(host.silentUntil, func() { s.serveQueue(host) })
		}
	case ReplaceWithDelayedLists:
		for _, gateway := range s.gateways {
			gateway.listDelay = int64(step.Duration)
		}
		for _, host := range running[:step.Count] {
			s.replaceHost(host, 0, true)
			host.runsUntil = s.now + int64(step.Duration) // for gateways that have not received the change
		}
	case ReplaceHosts:
		for i, host := range running[:step.Count] {
			at := s.now + int64(step.Duration)*int64(i)/int64(step.Count)
			s.at(at, func() { s.replaceHost(host, s.now, false) })
		}
	case RestartGateways:
		for _, gateway := range s.drawGateways(step.Count) {
			gateway.stopped = true
			s.after(step.Duration, gateway.start)
		}
	case PartitionGateways:
		for _, gateway := range s.drawGateways(step.Count) {
			gateway.partitionedUntil = s.now + int64(step.Duration)
		}
	}
}

// drawGateways draws a percentage of the gateways.
func (s *simulation) drawGateways(percent int) (drawn []*gatewayModel) {
	for _, i := range s.random.Perm(len(s.gateways))[:len(s.gateways)*percent/100] {
		drawn = append(drawn, s.gateways[i])
	}
	return drawn
}

// sendListChange sends a change of the host list to all gateways, each after a random delay. With late, every second
// one receives it after its listDelay in addition.
func (s *simulation) sendListChange(late bool, changes ...gateway.Endpoint) {
	for i, gateway := range s.gateways {
		delay := int64(s.random.Float64() * maxListDelay)
		if late && i%2 == 1 {
			delay += gateway.listDelay
		}
		incarnation := gateway.incarnation
		s.at(s.now+delay, func() {
			if gateway.incarnation == incarnation && !gateway.stopped {
				gateway.applyChanges(changes)
			}
		})
	}
}

// customer is one customer, which sends to a subset of the gateways by their traffic.
type customer struct {
	name         string
	rate         float64 // requests a second
	firstGateway int
	subsetSize   int
}

// gatewayDraws bounds the draws of a running gateway of a customer's subset.
const gatewayDraws = 1000

// scheduleRequest schedules a customer's next request, which schedules the one after it.
func (s *simulation) scheduleRequest(c customer) {
	s.at(s.now+int64(s.random.ExpFloat64()/c.rate*1e9), func() {
		s.scheduleRequest(c)
		for range gatewayDraws {
			i := s.drawByTraffic()
			inSubset := (i-c.firstGateway+len(s.gateways))%len(s.gateways) < c.subsetSize
			if inSubset && !s.gateways[i].stopped {
				s.sendRequest(c, s.gateways[i])
				return
			}
		}
	})
}

// drawByTraffic draws a gateway by its traffic.
func (s *simulation) drawByTraffic() int {
	draw := s.random.Float64() * s.cumulativeTraffic[len(s.cumulativeTraffic)-1]
	return sort.SearchFloat64s(s.cumulativeTraffic, draw)
}

// sendRequest sends a request of a customer to a gateway.
func (s *simulation) sendRequest(c customer, to *gatewayModel) {
	s.requests++
	s.result.Requests++
	to.decide(gateway.Event{
		Kind:         gateway.RequestArrived,
		RequestID:    fmt.Sprint("r", s.requests),
		Customer:     c.name,
		Deadline:     gateway.Time(s.now).Add(clientTimeout),
		Units:        1,
		Spread:       c.subsetSize,
		FirstGateway: c.firstGateway,
	})
}
