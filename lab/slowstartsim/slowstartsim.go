// Package slowstartsim simulates a fleet of gateways of package logic and hosts that start cold, and counts what all
// gateways together send to each of these hosts: the budget of a host that is warming up holds for the sum, which no
// gateway sees. Hosts answer after a fixed time and never fail from overload, so that a violation is counted and has no
// effect. Each attempt counts, retries too. The package does no I/O, and the same Config causes the same Report.
package slowstartsim

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"ravensill/gateway"
	"ravensill/lab/schedule"
	"ravensill/logic"
)

// Config is one experiment.
type Config struct {
	Seed        uint64
	Gateways    int
	Hosts       int
	RequestRate float64 // requests a second of all clients
	Load        float64 // fraction of the hosts' capacity that the requests need
	Skew        float64 // traffic of one gateway in ten, in multiples of another's; 0: 1
	// Lull is how long after the start of the cold hosts a tenth of the requests arrive, so that allowances accumulate.
	Lull      time.Duration
	Surge     float64       // request rate after the lull, in multiples of RequestRate; 0: 1
	ColdHosts int           // hosts that start at one time
	ListDelay time.Duration // each gateway learns of the start after a random delay up to this one
	// Partition is how long after the start a third of the gateways and a third of the hosts, the cold ones among them,
	// are cut off from the rest.
	Partition       time.Duration
	FailingFraction float64 // of the other hosts: they answer with errors after the lull
	Gossip          bool    // between the gateways
	Queueing        bool    // hosts serve one request after the other at their capacity; otherwise all in the same time
	Duration        time.Duration
	Settings        gateway.SlowStart
}

const (
	settleTime     = 5 * time.Second // before the cold hosts start: the gateways know their hosts by then
	answerTime     = 100 * time.Millisecond
	minTimer       = 40 * time.Millisecond
	dialTimeout    = 250 * time.Millisecond // of a connection to a host that is cut off
	gossipDelay    = 5 * time.Millisecond
	messageRate    = 60 // messages a second that a gateway receives
	objective      = time.Second
	clientTimeout  = 3 * time.Second
	customers      = 5000
	simulatedStart = int64(100 * time.Second)
	randomStream   = 7 // of the random generator
)

// event is an event of one gateway, or the arrival of a request.
type event struct {
	gateway int
	event   gateway.Event
	arrival bool
}

// attempt is an attempt at a cold host.
type attempt struct {
	at       int64
	informed bool // by a gateway that had learned of the start
}

// simulation is the state of one run. It carries out the decisions of the gateway that decides. Times are nanoseconds
// of the simulated clock.
type simulation struct {
	Config
	random      *rand.Rand
	now         int64
	coldStart   int64
	schedule    schedule.Schedule[event]
	requests    int
	gateways    []*logic.Gateway
	deciding    int            // index of the gateway that decides
	informed    []bool         // by gateway: it learned of the start
	idleAt      []int64        // by host: it has answered all by then
	received    [][]attempt    // by cold host
	allAttempts int            // since the start of the cold hosts
	attempts    map[string]int // by request
}

// Run runs one experiment.
func Run(config Config) Report {
	s := &simulation{
		Config:    config,
		random:    rand.New(rand.NewPCG(config.Seed, randomStream)),
		now:       simulatedStart,
		coldStart: simulatedStart + int64(settleTime),
		received:  make([][]attempt, config.ColdHosts),
		informed:  make([]bool, config.Gateways),
		idleAt:    make([]int64, config.Hosts),
		attempts:  map[string]int{},
	}
	if s.Skew == 0 {
		s.Skew = 1
	}
	s.addGateways()
	s.scheduleArrival()
	s.scheduleColdStart()
	s.runEvents(s.coldStart + int64(config.Duration))
	return s.report()
}

// endpoints returns the host list with a start time of the cold hosts; 0: they are warmed up.
func (s *simulation) endpoints(coldStart int64) (list []gateway.Endpoint) {
	for host := range s.Hosts {
		endpoint := gateway.Endpoint{Host: uint32(host), State: gateway.Running, Weight: 1}
		if s.isCold(host) {
			endpoint.StartedAt = gateway.Time(coldStart)
		}
		list = append(list, endpoint)
	}
	return list
}

// isCold reports whether a host is one of those that start.
func (s *simulation) isCold(host int) bool { return host < s.ColdHosts }

// addGateways adds the gateways, which know all hosts as warmed up.
func (s *simulation) addGateways() {
	classes := []gateway.RequestClass{{LatencyObjective: objective, Timeout: clientTimeout, Value: 1}}
	plans := []gateway.Plan{{Rate: 1e9, Burst: 1e9, PriorityWeight: 1}}
	limits := gateway.Limits{MaxAttempts: 2}
	for i := range s.Gateways {
		member := gateway.Membership{Index: i, Count: s.Gateways, Gossip: s.Gossip, MessageRate: messageRate}
		module := logic.New(s.random.Uint64(), member, classes, plans, limits, s.Settings, gateway.LoadReportForm{})
		s.gateways = append(s.gateways, module)
		s.decide(i, gateway.Event{
			Kind:      gateway.EndpointsListed,
			ListKind:  gateway.ListComplete,
			Endpoints: s.endpoints(0),
		})
	}
}

// scheduleColdStart schedules when each gateway learns of the start of the cold hosts.
func (s *simulation) scheduleColdStart() {
	for i := range s.gateways {
		at := s.coldStart + int64(s.random.Float64()*float64(s.ListDelay))
		s.schedule.Add(at, event{gateway: i, event: gateway.Event{
			Kind:      gateway.EndpointsListed,
			ListKind:  gateway.ListChanges,
			Endpoints: s.endpoints(s.coldStart)[:s.ColdHosts],
		}})
	}
}

// runEvents runs all events up to a time.
func (s *simulation) runEvents(end int64) {
	for s.schedule.Len() > 0 {
		at, next := s.schedule.Next()
		if at > end {
			return
		}
		s.now = at
		if next.arrival {
			s.startRequest()
			s.scheduleArrival()
			continue
		}
		if next.event.Kind == gateway.EndpointsListed {
			s.informed[next.gateway] = true
		}
		s.decide(next.gateway, next.event)
	}
}

// sinceStart returns the time since the start of the cold hosts; below 0 before it.
func (s *simulation) sinceStart() time.Duration { return time.Duration(s.now - s.coldStart) }

// scheduleArrival schedules the next request.
func (s *simulation) scheduleArrival() {
	rate := s.RequestRate
	after := s.sinceStart()
	switch {
	case after < 0:
	case after < s.Lull:
		rate /= 10
	case s.Surge > 0:
		rate *= s.Surge
	}
	s.schedule.Add(s.now+int64(s.random.ExpFloat64()/rate*1e9), event{arrival: true})
}

// startRequest has a request arrive at a gateway drawn by traffic.
func (s *simulation) startRequest() {
	heavy := (s.Gateways + 9) / 10
	heavyTraffic := s.Skew * float64(heavy)
	var index int
	if s.random.Float64() < heavyTraffic/(heavyTraffic+float64(s.Gateways-heavy)) {
		index = s.random.IntN(heavy)
	} else {
		index = heavy + s.random.IntN(s.Gateways-heavy)
	}
	s.requests++
	s.decide(index, gateway.Event{
		Kind:      gateway.RequestArrived,
		RequestID: fmt.Sprint(s.requests),
		Customer:  fmt.Sprint(s.random.IntN(customers)),
		Deadline:  gateway.Time(s.now).Add(clientTimeout),
		Units:     1,
		Spread:    s.Gateways,
	})
}

// decide has a gateway decide on an event.
func (s *simulation) decide(index int, e gateway.Event) {
	s.deciding = index
	s.gateways[index].Decide(&gateway.Batch{Now: gateway.Time(s.now), Events: []gateway.Event{e}}, s)
}

// capacity returns the requests a second that a host serves at an age.
func (s *simulation) capacity(age time.Duration) float64 {
	initial := s.Settings.InitialFraction
	warm := min(initial+(1-initial)*float64(age)/float64(s.Settings.Duration), 1)
	return warm * s.RequestRate / s.Load / float64(s.Hosts)
}

// fewAttempts is the number of attempts under which a budget has more slack for chance.
const fewAttempts = 30

// Budget returns the most attempts that a host may receive in one window while it is warming up, if its settings
// allow it n: n, and the slack that the operators' acceptance page allows for chance.
func Budget(n float64) float64 {
	if n < fewAttempts {
		return n + 3*math.Sqrt(n) + 3
	}
	return n + 2*math.Sqrt(n) + 2
}
