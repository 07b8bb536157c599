package slowstartsim

import (
	"fmt"
	"math/rand/v2"
	"time"

	"ravensill/gateway"
	"ravensill/lab/schedule"
	"ravensill/logic"
)

// event is the arrival of a request at a gateway yet to be drawn, or an event of one gateway.
type event struct {
	arrival bool // the other fields are not set
	gateway int  // index
	input   gateway.Event
}

// attempt is an attempt that reached a new host.
type attempt struct {
	at       gateway.Time
	notified bool // the gateway that sent it had been notified of the host's start
}

// simulation is the state of one simulation. It executes the decisions of the deciding gateway.
type simulation struct {
	config            Config
	random            *rand.Rand
	now               gateway.Time
	newHostStart      gateway.Time // start of the new hosts
	schedule          schedule.Schedule[event]
	gateways          []*logic.Gateway
	decidingGateway   int            // index of the gateway that is handling an event
	notifiedGateways  []bool         // by gateway: whether it was notified of the start of the new hosts
	idleFrom          []gateway.Time // by host: when it has served all its attempts, if Config.Serial is set
	receivedByHost    [][]attempt    // attempts, by new host
	requests          int            // number of requests so far
	attempts          int            // attempts that reached any host since newHostStart
	attemptsByRequest map[string]int // number of attempts, by request ID
}

func newSimulation(config Config) *simulation {
	s := &simulation{
		config:            config,
		random:            rand.New(rand.NewPCG(config.Seed, 7)),
		now:               startTime,
		newHostStart:      startTime.Add(newHostStartDelay),
		receivedByHost:    make([][]attempt, config.NewHosts),
		notifiedGateways:  make([]bool, config.Gateways),
		idleFrom:          make([]gateway.Time, config.Hosts),
		attemptsByRequest: map[string]int{},
	}
	for i := range config.Gateways {
		s.gateways = append(s.gateways, s.newGateway(i))
		s.decide(i, gateway.Event{
			Kind:      gateway.EndpointsListed,
			ListKind:  gateway.ListComplete,
			Endpoints: s.endpoints(0),
		})
	}
	return s
}

func (s *simulation) newGateway(index int) *logic.Gateway {
	membership := gateway.Membership{
		Index:       index,
		Count:       s.config.Gateways,
		Gossip:      s.config.Gossip,
		MessageRate: gossipRate,
	}
	classes := []gateway.RequestClass{{LatencyObjective: latencyObjective, Timeout: requestTimeout, Value: 1}}
	plans := []gateway.Plan{{Rate: 1e9, Burst: 1e9, PriorityWeight: 1}}
	limits := gateway.Limits{MaxAttempts: 2}
	return logic.New(s.random.Uint64(), membership, classes, plans, limits, s.config.SlowStart, gateway.LoadReportFormat{})
}

// endpoints returns the endpoint list with all hosts, the new ones first and with newHostStart as their start.
func (s *simulation) endpoints(newHostStart gateway.Time) []gateway.Endpoint {
	var list []gateway.Endpoint
	for host := range s.config.Hosts {
		endpoint := gateway.Endpoint{Host: uint32(host), State: gateway.Running, Weight: 1}
		if host < s.config.NewHosts {
			endpoint.StartedAt = newHostStart
		}
		list = append(list, endpoint)
	}
	return list
}

// scheduleNotifications schedules the notification of each gateway about the start of the new hosts.
func (s *simulation) scheduleNotifications() {
	for i := range s.gateways {
		delay := time.Duration(s.random.Float64() * float64(s.config.MaxNotifyDelay))
		s.schedule.Add(int64(s.newHostStart.Add(delay)), event{gateway: i, input: gateway.Event{
			Kind:      gateway.EndpointsListed,
			ListKind:  gateway.ListChanges,
			Endpoints: s.endpoints(s.newHostStart)[:s.config.NewHosts],
		}})
	}
}

// run handles all events up to an instant.
func (s *simulation) run(end gateway.Time) {
	for at, e := range s.schedule.Until(int64(end)) {
		s.now = gateway.Time(at)
		if e.arrival {
			s.sendRequest()
			s.scheduleArrival()
			continue
		}
		if e.input.Kind == gateway.EndpointsListed {
			s.notifiedGateways[e.gateway] = true
		}
		s.decide(e.gateway, e.input)
	}
}

// sinceStart returns the time since the start of the new hosts, which is negative before it.
func (s *simulation) sinceStart() time.Duration { return s.now.Sub(s.newHostStart) }

// scheduleArrival schedules the next request, at the current rate of traffic.
func (s *simulation) scheduleArrival() {
	rate := s.config.RequestRate
	switch elapsed := s.sinceStart(); {
	case elapsed >= 0 && elapsed < s.config.LullDuration:
		rate /= 10
	case elapsed >= s.config.LullDuration && s.config.SurgeFactor > 0:
		rate *= s.config.SurgeFactor
	}
	wait := time.Duration(s.random.ExpFloat64() / rate * float64(time.Second))
	s.schedule.Add(int64(s.now.Add(wait)), event{arrival: true})
}

// sendRequest sends a request of a random customer to a gateway, which is drawn in proportion to the gateways' traffic.
func (s *simulation) sendRequest() {
	busy := (s.config.Gateways + 9) / 10
	busyTraffic := s.config.Skew * float64(busy)
	index := 0
	if s.random.Float64() < busyTraffic/(busyTraffic+float64(s.config.Gateways-busy)) {
		index = s.random.IntN(busy)
	} else {
		index = busy + s.random.IntN(s.config.Gateways-busy)
	}
	s.requests++
	s.decide(index, gateway.Event{
		Kind:      gateway.RequestArrived,
		RequestID: fmt.Sprint(s.requests),
		Customer:  fmt.Sprint(s.random.IntN(customerCount)),
		Deadline:  s.now.Add(requestTimeout),
		Units:     1,
		Spread:    s.config.Gateways,
	})
}

// decide lets a gateway handle one event.
func (s *simulation) decide(index int, input gateway.Event) {
	s.decidingGateway = index
	s.gateways[index].Decide(&gateway.Batch{Now: s.now, Events: []gateway.Event{input}}, s)
}

// hostCapacity returns the number of requests per second that a host can serve at some time after its start.
func (s *simulation) hostCapacity(age time.Duration) float64 {
	initial := s.config.SlowStart.InitialFraction
	warmUpFactor := min(initial+(1-initial)*float64(age)/float64(s.config.SlowStart.Duration), 1)
	return warmUpFactor * s.config.RequestRate / s.config.Utilization / float64(s.config.Hosts)
}

// partitioned reports whether the partition separates two processes now. The arguments tell, for each of them, whether
// it is in the smaller part.
func (s *simulation) partitioned(one, other bool) bool {
	return one != other && s.now >= s.newHostStart && s.sinceStart() < s.config.PartitionDuration
}
