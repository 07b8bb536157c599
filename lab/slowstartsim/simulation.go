package slowstartsim

import (
	"fmt"
	"math/rand/v2"
	"time"

	"ravensill/gateway"
	"ravensill/lab/schedule"
	"ravensill/logic"
)

// event is the arrival of a request somewhere, or an event of one gateway.
type event struct {
	arrival bool
	gateway int
	input   gateway.Event
}

// attempt is an attempt that reached a new host.
type attempt struct {
	at       gateway.Time
	notified bool // the gateway that sent it had been notified of the host's start
}

// simulation is the state of one experiment. It executes the decisions of the gateway that is deciding.
type simulation struct {
	config    Config
	random    *rand.Rand
	now       gateway.Time
	hostStart gateway.Time // of the new hosts
	schedule  schedule.Schedule[event]
	gateways  []*logic.Gateway
	deciding  int            // index of the gateway that decides at the moment
	notified  []bool         // by gateway
	idleFrom  []gateway.Time // by host: when it has answered all attempts, in a serial experiment
	received  [][]attempt    // by new host
	requests  int
	attempts  int            // that reached any host since hostStart
	started   map[string]int // attempts, by request
}

func newSimulation(config Config) *simulation {
	s := &simulation{
		config:    config,
		random:    rand.New(rand.NewPCG(config.Seed, 7)),
		now:       startTime,
		hostStart: startTime.Add(warmUpTime),
		received:  make([][]attempt, config.NewHosts),
		notified:  make([]bool, config.Gateways),
		idleFrom:  make([]gateway.Time, config.Hosts),
		started:   map[string]int{},
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

// endpoints returns the list of all hosts, the new ones first and with newHostStart as their start.
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

// scheduleNotifications lets each gateway learn of the start of the new hosts.
func (s *simulation) scheduleNotifications() {
	for i := range s.gateways {
		delay := time.Duration(s.random.Float64() * float64(s.config.MaxNotifyDelay))
		s.schedule.Add(int64(s.hostStart.Add(delay)), event{gateway: i, input: gateway.Event{
			Kind:      gateway.EndpointsListed,
			ListKind:  gateway.ListChanges,
			Endpoints: s.endpoints(s.hostStart)[:s.config.NewHosts],
		}})
	}
}

// run handles the events up to an instant.
func (s *simulation) run(end gateway.Time) {
	for at, e := range s.schedule.Until(int64(end)) {
		s.now = gateway.Time(at)
		if e.arrival {
			s.arrive()
			s.scheduleArrival()
			continue
		}
		if e.input.Kind == gateway.EndpointsListed {
			s.notified[e.gateway] = true
		}
		s.decide(e.gateway, e.input)
	}
}

// sinceStart returns the time since the start of the new hosts, which is negative before it.
func (s *simulation) sinceStart() time.Duration { return s.now.Sub(s.hostStart) }

// scheduleArrival schedules the next request.
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

// arrive lets a request of a random customer arrive at a gateway, drawn by the gateways' traffic.
func (s *simulation) arrive() {
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
		Customer:  fmt.Sprint(s.random.IntN(customers)),
		Deadline:  s.now.Add(requestTimeout),
		Units:     1,
		Spread:    s.config.Gateways,
	})
}

// decide lets a gateway handle one event.
func (s *simulation) decide(index int, input gateway.Event) {
	s.deciding = index
	s.gateways[index].Decide(&gateway.Batch{Now: s.now, Events: []gateway.Event{input}}, s)
}

// capacity returns the requests that a host can serve in a second at an age.
func (s *simulation) capacity(age time.Duration) float64 {
	initial := s.config.SlowStart.InitialFraction
	warmUpFactor := min(initial+(1-initial)*float64(age)/float64(s.config.SlowStart.Duration), 1)
	return warmUpFactor * s.config.RequestRate / s.config.Utilization / float64(s.config.Hosts)
}

// partitioned reports whether a partition is in force and only one of two is in its smaller part.
func (s *simulation) partitioned(one, other bool) bool {
	return one != other && s.now >= s.hostStart && s.sinceStart() < s.config.PartitionDuration
}
