package scale

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"ravensill/internal/config"
	"ravensill/lab/schedule"
)

const (
	networkDelay   = 250 * time.Microsecond // one way between gateways, and to a host and back
	tickInterval   = 40 * time.Millisecond  // gateways start spread over one, so that their timers do not coincide
	seedRate       = 500.0                  // first requests of customers, a second at each gateway
	simulatedStart = int64(100 * time.Second)
	randomStream   = 0x7363616c65 // of the random generator: "scale"
)

// Request is a request of a simulated client.
type Request struct {
	ID           string
	Customer     string
	Class        int
	Plan         int
	Deadline     int64 // Unix time in nanoseconds
	SubsetSize   int   // gateways that the customer uses
	FirstGateway int   // of these
}

// Options are the settings of a simulation beside its size.
type Options struct {
	Directory string // for configuration files
	Seed      uint64
	Repeats   int // measurements of each short point
	// AddedWork is done with each piece of work and measured with it. Tests make figures grow by it.
	AddedWork func(kind WorkKind, h *HollowGateway)
}

// Simulation runs all gateways of a deployment on a simulated clock: a discrete-event simulation on one goroutine
// that is deterministic for a seed. Messages between gateways are carried in memory, in the program's encoding.
type Simulation struct {
	Deployment
	CPU         *CPUMeter
	Latencies   []int64 // nanoseconds from a request's arrival to its decision, as if each gateway had its own core
	Rejected    int
	options     Options
	common      shared
	gateways    []*HollowGateway
	endedCounts Counts  // of gateways that were restarted
	timers      []int64 // time of each gateway's timer in the schedule
	busyUntil   []int64 // by gateway: end of its loop's work
	schedule    schedule.Schedule[func()]
	now         int64
	random      *rand.Rand
	requests    int
	hostChanges int        // changes of the host list so far
	publisher   *publisher // nil where no gateway follows one
	planChanges int        // changes published so far
	err         error
}

// NewSimulation starts all gateways. Their start is measured as Start.
func NewSimulation(d Deployment, common shared, options Options) (*Simulation, error) {
	s := &Simulation{
		Deployment: d,
		CPU:        NewCPUMeter(),
		options:    options,
		common:     common,
		now:        simulatedStart,
		gateways:   make([]*HollowGateway, d.Gateways),
		timers:     make([]int64, d.Gateways),
		busyUntil:  make([]int64, d.Gateways),
		random:     rand.New(rand.NewPCG(options.Seed, randomStream)),
	}
	for i := range d.Gateways {
		s.now = simulatedStart + int64(i)*int64(tickInterval)/int64(d.Gateways)
		if err := s.Restart(WorkStart, i); err != nil {
			return nil, err
		}
	}
	if d.Live {
		return s, s.startFollowing()
	}
	return s, nil
}

// Restart ends a gateway and starts it anew with the same configuration and empty state, measured as some kind of
// work.
func (s *Simulation) Restart(kind WorkKind, index int) (err error) {
	getenv, err := environment(s.options.Directory, s.configuration(s.common, index, s.options.Seed))
	if err != nil {
		return err
	}
	var h *HollowGateway
	took := s.CPU.Measure(kind, func() { h, err = s.start(getenv) })
	if err != nil {
		return err
	}
	if s.options.AddedWork != nil {
		took += s.CPU.Measure(kind, func() { s.options.AddedWork(WorkStart, h) })
	}
	if old := s.gateways[index]; old != nil {
		s.endedCounts.add(old.Counts)
	}
	s.gateways[index] = h
	s.timers[index] = 0
	s.busyUntil[index] = s.now + int64(took)
	s.scheduleTimer(h)
	return nil
}

// start starts a gateway, which receives a snapshot if it follows a publisher.
func (s *Simulation) start(getenv func(string) string) (*HollowGateway, error) {
	configuration, err := config.Load(getenv)
	if err != nil {
		return nil, err
	}
	h := NewHollowGateway(configuration, s, s.now)
	if s.publisher == nil {
		return h, nil
	}
	return h, h.ReceiveVersion(s.publisher.snapshot()...)
}

// SendMessage carries a message to a peer.
func (s *Simulation) SendMessage(from *HollowGateway, peer int, body []byte) {
	if peer >= len(s.gateways) { // a member that does not run
		return
	}
	sender := from.Index()
	s.after(networkDelay, func() {
		to := s.gateways[peer]
		s.process(WorkMessage, to, func() { to.ReceiveMessage(sender, body) })
	})
}

// StartAttempt has a simulated host answer after an exponential service time.
func (s *Simulation) StartAttempt(from *HollowGateway, request string, host uint32, attempt int) {
	took := 2*networkDelay + time.Duration(s.random.ExpFloat64()*float64(serviceTime))
	s.after(took, func() {
		if s.gateways[from.Index()] == from { // it was not restarted meanwhile
			s.process(WorkAnswer, from, func() { from.EndAttempt(request, host, attempt, took) })
		}
	})
}

// RequestClosed counts a request that the gateway closed by itself.
func (s *Simulation) RequestClosed(*HollowGateway, string, Outcome) { s.Rejected++ }

// Run runs the simulation for some simulated time.
func (s *Simulation) Run(length time.Duration) error {
	end := s.now + int64(length)
	for s.schedule.Len() > 0 && s.err == nil {
		at, do := s.schedule.Next()
		if at > end {
			s.schedule.Add(at, do)
			break
		}
		s.now = at
		do()
	}
	s.now = end
	return s.err
}

// SeedCustomers has each customer make its first request at each gateway and returns how long that takes.
func (s *Simulation) SeedCustomers() time.Duration {
	length := time.Duration(float64(s.Customers) / seedRate * float64(time.Second))
	for customer := range s.Customers {
		for index := range s.gateways {
			at := time.Duration(s.random.Float64() * float64(length))
			s.after(at, func() { s.startRequest(index, customer) })
		}
	}
	return length
}

// StartLoad has clients, discovery and operators send requests and changes for some time at the deployment's rates.
func (s *Simulation) StartLoad(length time.Duration) {
	end := s.now + int64(length)
	if s.Customers > 0 {
		s.repeat(s.RequestRate*float64(s.Gateways), end, true, func() {
			s.startRequest(s.random.IntN(s.Gateways), s.random.IntN(s.Customers))
		})
	}
	s.repeat(s.HostChanges, end, false, s.changeHosts)
	s.repeat(s.ConfigurationChanges, end, false, s.changeConfiguration)
	restarts := 0
	s.repeat(s.Restarts, end, false, func() {
		s.setError(s.Restart(WorkStart, restarts%s.Gateways))
		restarts++
	})
	s.after(time.Second, func() {
		for index := range s.RestartsAtOnce {
			s.setError(s.Restart(WorkStart, index))
		}
	})
}

// repeat does something at a rate a second until a time, at equal intervals or as a Poisson process.
func (s *Simulation) repeat(rate float64, end int64, poisson bool, do func()) {
	if rate <= 0 {
		return
	}
	interval := func() time.Duration {
		gap := 1.0
		if poisson {
			gap = s.random.ExpFloat64()
		}
		return time.Duration(math.Max(gap/rate*float64(time.Second), 1))
	}
	var next func()
	next = func() {
		if s.now <= end {
			do()
			s.after(interval(), next)
		}
	}
	s.after(interval(), next)
}

// changeHosts sends the next change of the host list to all gateways.
func (s *Simulation) changeHosts() {
	text, err := s.HostChange(s.hostChanges)
	s.hostChanges++
	s.setError(err)
	for _, h := range s.gateways {
		s.process(WorkHostList, h, func() { h.ApplyHostList(string(text), false) })
	}
}

// changeConfiguration changes the configuration of all gateways: by a version if they follow a publisher, otherwise
// by a restart.
func (s *Simulation) changeConfiguration() {
	if s.Live {
		s.setError(s.changePlan())
		return
	}
	for index := range s.gateways {
		s.setError(s.Restart(WorkConfiguration, index))
	}
}

// setError keeps the first error, which ends the run.
func (s *Simulation) setError(err error) {
	if s.err == nil {
		s.err = err
	}
}

// startRequest has a request of a customer arrive at a gateway.
func (s *Simulation) startRequest(index, customer int) {
	s.requests++
	request := Request{
		ID:           fmt.Sprintf("%016x", s.requests),
		Customer:     fmt.Sprintf("customer-%d", customer),
		Class:        s.random.IntN(s.Classes),
		Plan:         customer % s.Plans,
		Deadline:     s.now + int64(clientTimeout),
		SubsetSize:   s.Gateways,
		FirstGateway: customer % s.Gateways,
	}
	h := s.gateways[index]
	s.process(WorkRequest, h, func() { h.ReceiveRequest(request) })
	s.Latencies = append(s.Latencies, s.busyUntil[index]-s.now)
}

// process passes an event to a gateway, has it decide, and measures both.
func (s *Simulation) process(kind WorkKind, h *HollowGateway, takeIn func()) {
	took := s.CPU.Measure(kind, func() {
		takeIn()
		h.Process(s.now)
		if s.options.AddedWork != nil {
			s.options.AddedWork(kind, h)
		}
	})
	index := h.Index()
	s.busyUntil[index] = max(s.busyUntil[index], s.now) + int64(took)
	s.scheduleTimer(h)
}

// scheduleTimer schedules a gateway's timer.
func (s *Simulation) scheduleTimer(h *HollowGateway) {
	index, due := h.Index(), h.NextTimer()
	if due == s.timers[index] {
		return
	}
	s.timers[index] = due
	s.schedule.Add(max(due, s.now), func() {
		if s.gateways[index] == h && h.NextTimer() == due {
			s.process(WorkTimer, h, func() {})
		}
	})
}

// after schedules an event.
func (s *Simulation) after(wait time.Duration, do func()) { s.schedule.Add(s.now+int64(wait), do) }
