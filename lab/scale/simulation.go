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
	networkDelay     = 250 * time.Microsecond   // one way, between gateways and between a gateway and a host
	tickInterval     = 40 * time.Millisecond    // gateways start spread over it, so that their timers do not coincide
	firstRequestRate = 500.0                    // customers that send their first request to a gateway, a second
	simulatedStart   = int64(100 * time.Second) // Unix nanoseconds
	randomStream     = 0x7363616c65             // second seed of the random generator: "scale" in ASCII
)

// Request is a request of a simulated client.
type Request struct {
	ID           string
	Customer     string
	Class        int   // index of the request class
	Plan         int   // index of the quota plan
	Deadline     int64 // Unix time in nanoseconds
	SubsetSize   int   // number of gateways that the requests of the customer arrive at
	FirstGateway int   // member index of the first of them
}

// Options are the settings of a simulation other than the sizes of the deployment.
type Options struct {
	Directory string // for configuration files; Measure replaces it by a temporary one
	Seed      uint64
	Repeats   int // number of measurements of each point that is short enough to repeat
	// AddedWork, if not nil, runs after each piece of work and is measured as part of it. Tests use it to make a figure
	// grow.
	AddedWork func(kind WorkKind, h *HollowGateway)
}

// Simulation runs all gateways of a deployment in a discrete-event simulation on a simulated clock. It uses a single
// goroutine and, except for measured processor times, is deterministic for a seed. Gossip messages are passed in
// memory, in the program's encoding.
type Simulation struct {
	Deployment
	CPU              *CPUMeter
	Latencies        []int64 // nanoseconds from arrival to decision of each request, as if each gateway had its own core
	Rejected         int     // requests that a gateway rejected or failed
	options          Options
	parts            encodedParts
	gateways         []*HollowGateway
	stoppedCounts    Counts  // of gateways that have been replaced by a restart
	scheduledTimers  []int64 // by gateway: the time at which its timer is in the schedule; 0 if it is not
	busyUntil        []int64 // by gateway: when it will have done all work so far, at the measured processor time
	schedule         schedule.Schedule[func()]
	now              int64 // simulated Unix time in nanoseconds
	random           *rand.Rand
	requestCount     int
	hostChanges      int        // host list changes so far
	publisher        *publisher // nil if the gateways do not follow one
	publishedChanges int        // configuration changes published so far
	err              error      // first error; it ends the run
}

// NewSimulation starts all gateways of a deployment and measures each start as WorkStart.
func NewSimulation(d Deployment, parts encodedParts, options Options) (*Simulation, error) {
	s := &Simulation{
		Deployment:      d,
		CPU:             NewCPUMeter(),
		options:         options,
		parts:           parts,
		now:             simulatedStart,
		gateways:        make([]*HollowGateway, d.Gateways),
		scheduledTimers: make([]int64, d.Gateways),
		busyUntil:       make([]int64, d.Gateways),
		random:          rand.New(rand.NewPCG(options.Seed, randomStream)),
	}
	for i := range d.Gateways {
		s.now = simulatedStart + int64(i)*int64(tickInterval)/int64(d.Gateways)
		if err := s.Restart(WorkStart, i); err != nil {
			return nil, err
		}
	}
	if d.Live {
		return s, s.startPublisher()
	}
	return s, nil
}

// Restart starts a gateway anew with the same configuration and empty state, in place of the one that runs, if any.
// The start is measured as the given kind of work.
func (s *Simulation) Restart(kind WorkKind, index int) (err error) {
	getenv, err := writeConfiguration(s.options.Directory, s.configuration(s.parts, index, s.options.Seed))
	if err != nil {
		return err
	}
	var h *HollowGateway
	took := s.CPU.Measure(kind, func() { h, err = s.startGateway(getenv) })
	if err != nil {
		return err
	}
	if s.options.AddedWork != nil {
		took += s.CPU.Measure(kind, func() { s.options.AddedWork(WorkStart, h) })
	}
	if old := s.gateways[index]; old != nil {
		s.stoppedCounts.add(old.Counts)
	}
	s.gateways[index] = h
	s.scheduledTimers[index] = 0
	s.busyUntil[index] = s.now + int64(took)
	s.scheduleTimer(h)
	return nil
}

// startGateway starts a gateway. It receives a snapshot of the configuration if there is a publisher.
func (s *Simulation) startGateway(getenv func(string) string) (*HollowGateway, error) {
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

// SendMessage implements Driver. It delivers the message to the peer after the network delay.
func (s *Simulation) SendMessage(from *HollowGateway, peer int, body []byte) {
	if peer >= len(s.gateways) { // a member that is listed in the configuration but does not run
		return
	}
	sender := from.Index()
	s.scheduleAfter(networkDelay, func() {
		to := s.gateways[peer]
		s.processEvent(WorkMessage, to, func() { to.ReceiveMessage(sender, body) })
	})
}

// StartAttempt implements Driver. The simulated host answers after the network delay and an exponentially distributed
// service time.
func (s *Simulation) StartAttempt(from *HollowGateway, request string, host uint32, attempt int) {
	took := 2*networkDelay + time.Duration(s.random.ExpFloat64()*float64(serviceTime))
	s.scheduleAfter(took, func() {
		if s.gateways[from.Index()] == from { // it has not been restarted since
			s.processEvent(WorkAnswer, from, func() { from.EndAttempt(request, host, attempt, took) })
		}
	})
}

// RequestClosed implements Driver. It counts the request as rejected.
func (s *Simulation) RequestClosed(*HollowGateway, string, Outcome) { s.Rejected++ }

// Run advances the simulated clock by length and runs all events that are due until then. It returns the first error
// of the simulation.
func (s *Simulation) Run(length time.Duration) error {
	end := s.now + int64(length)
	for s.schedule.Len() > 0 && s.err == nil {
		at, action := s.schedule.Next()
		if at > end {
			s.schedule.Add(at, action)
			break
		}
		s.now = at
		action()
	}
	s.now = end
	return s.err
}

// SeedCustomers schedules the first request of each customer at each gateway, at random times, and returns the length
// of time over which they are spread.
func (s *Simulation) SeedCustomers() time.Duration {
	length := time.Duration(float64(s.Customers) / firstRequestRate * float64(time.Second))
	for customer := range s.Customers {
		for index := range s.gateways {
			at := time.Duration(s.random.Float64() * float64(length))
			s.scheduleAfter(at, func() { s.startRequest(index, customer) })
		}
	}
	return length
}

// StartLoad schedules requests, changes and restarts for a length of time at the rates of the deployment.
// RestartsAtOnce gateways restart one second from now.
func (s *Simulation) StartLoad(length time.Duration) {
	end := s.now + int64(length)
	if s.Customers > 0 {
		s.scheduleRepeatedly(s.RequestRate*float64(s.Gateways), end, true, func() {
			s.startRequest(s.random.IntN(s.Gateways), s.random.IntN(s.Customers))
		})
	}
	s.scheduleRepeatedly(s.HostChanges, end, false, s.changeHosts)
	s.scheduleRepeatedly(s.ConfigurationChanges, end, false, s.changeConfiguration)
	restarts := 0
	s.scheduleRepeatedly(s.Restarts, end, false, func() {
		s.setError(s.Restart(WorkStart, restarts%s.Gateways))
		restarts++
	})
	s.scheduleAfter(time.Second, func() {
		for index := range s.RestartsAtOnce {
			s.setError(s.Restart(WorkStart, index))
		}
	})
}

// scheduleRepeatedly schedules action at a rate a second until end, as a Poisson process or at equal intervals. A rate
// of 0 schedules nothing.
func (s *Simulation) scheduleRepeatedly(rate float64, end int64, poisson bool, action func()) {
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
			action()
			s.scheduleAfter(interval(), next)
		}
	}
	s.scheduleAfter(interval(), next)
}

// changeHosts sends the next change of the host list to all gateways.
func (s *Simulation) changeHosts() {
	text, err := s.HostChange(s.hostChanges)
	s.hostChanges++
	s.setError(err)
	for _, h := range s.gateways {
		s.processEvent(WorkHostList, h, func() { h.ApplyHostList(string(text), false) })
	}
}

// changeConfiguration changes the configuration of all gateways: by a published version if they follow a publisher,
// else by restarting them.
func (s *Simulation) changeConfiguration() {
	if s.Live {
		s.setError(s.publishPlanChange())
		return
	}
	for index := range s.gateways {
		s.setError(s.Restart(WorkConfiguration, index))
	}
}

// setError records err, which may be nil, unless an earlier error is recorded.
func (s *Simulation) setError(err error) {
	if s.err == nil {
		s.err = err
	}
}

// startRequest has a gateway receive a request of a customer now, and records the latency of its decision.
func (s *Simulation) startRequest(index, customer int) {
	s.requestCount++
	request := Request{
		ID:           fmt.Sprintf("%016x", s.requestCount),
		Customer:     fmt.Sprintf("customer-%d", customer),
		Class:        s.random.IntN(s.Classes),
		Plan:         customer % s.Plans,
		Deadline:     s.now + int64(clientTimeout),
		SubsetSize:   s.Gateways,
		FirstGateway: customer % s.Gateways,
	}
	h := s.gateways[index]
	s.processEvent(WorkRequest, h, func() { h.ReceiveRequest(request) })
	s.Latencies = append(s.Latencies, s.busyUntil[index]-s.now)
}

// processEvent delivers an event to a gateway and has it process the event. The processor time of both is measured as
// the given kind of work, and keeps the gateway busy for that long.
func (s *Simulation) processEvent(kind WorkKind, h *HollowGateway, deliver func()) {
	took := s.CPU.Measure(kind, func() {
		deliver()
		h.Process(s.now)
		if s.options.AddedWork != nil {
			s.options.AddedWork(kind, h)
		}
	})
	index := h.Index()
	s.busyUntil[index] = max(s.busyUntil[index], s.now) + int64(took)
	s.scheduleTimer(h)
}

// scheduleTimer schedules the timer of a gateway if it has changed. A timer in the schedule that no longer applies
// does nothing when it is due.
func (s *Simulation) scheduleTimer(h *HollowGateway) {
	index, due := h.Index(), h.NextTimer()
	if due == s.scheduledTimers[index] {
		return
	}
	s.scheduledTimers[index] = due
	s.schedule.Add(max(due, s.now), func() {
		if s.gateways[index] == h && h.NextTimer() == due {
			s.processEvent(WorkTimer, h, func() {})
		}
	})
}

// scheduleAfter schedules action at a time from now.
func (s *Simulation) scheduleAfter(wait time.Duration, action func()) {
	s.schedule.Add(s.now+int64(wait), action)
}
