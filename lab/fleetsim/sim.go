package fleetsim

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"ravensill/gateway"
	"ravensill/lab/schedule"
	"ravensill/logic"
)

const (
	startTime      = gateway.Time(100 * time.Second) // of the simulated clock
	windowLength   = 5 * time.Second                 // of Report.Windows
	sampleInterval = time.Second                     // of the gateways' gauges
	cells          = 8                               // of the hosts
)

// simulation is the state of one run.
type simulation struct {
	config      Config
	random      *rand.Rand
	now         gateway.Time
	schedule    schedule.Schedule[*event]
	gateways    []*gatewayModel
	hosts       []*host
	customers   []*customer
	plans       []gateway.Plan
	requests    map[string]*request
	lastRequest int // number of the last request
	samples     int // samples of the gateways' gauges
	report      Report
}

// Run simulates one experiment and returns its report.
func Run(config Config) Report {
	s := &simulation{
		config:   config,
		random:   rand.New(rand.NewPCG(config.Seed, config.Seed^0x5deece66d)),
		now:      startTime,
		requests: map[string]*request{},
	}
	s.addPlans()
	s.addGateways(s.addHosts())
	s.addCustomers()
	s.report.Windows = make([]Window, int(config.Duration/windowLength)+1)
	s.runEvents()
	s.summarize()
	return s.report
}

func (s *simulation) addPlans() {
	for _, p := range s.config.Plans {
		s.plans = append(s.plans, gateway.Plan{
			Rate:           p.Rate,
			Burst:          p.Burst,
			MaxInFlight:    p.MaxInFlight,
			CeilingRate:    p.CeilingRate,
			CeilingBurst:   p.CeilingBurst,
			PriorityWeight: 1,
			OverQuotaCost:  0.5,
		})
		s.report.Plans = append(s.report.Plans, PlanReport{Name: p.Name})
	}
}

// addHosts adds the hosts and returns the list of them.
func (s *simulation) addHosts() []gateway.Endpoint {
	var endpoints []gateway.Endpoint
	for i := range s.config.Hosts {
		s.hosts = append(s.hosts, &host{})
		endpoints = append(endpoints, gateway.Endpoint{
			Host:   uint32(i + 1),
			Cell:   i % cells,
			State:  gateway.Running,
			Weight: 1,
		})
	}
	return endpoints
}

// addGateways adds the gateways, each with the list of hosts.
func (s *simulation) addGateways(endpoints []gateway.Endpoint) {
	config := &s.config
	classes := []gateway.RequestClass{{
		Effect:           gateway.Idempotent,
		LatencyObjective: config.LatencyObjective,
		Timeout:          config.Deadline,
		Value:            1,
		LateValue:        0.2,
	}}
	limits := gateway.Limits{MaxAttempts: 3, Cancellation: true, RetryAfter: true, MaxRetryAfter: 2 * time.Second}
	slowStart := gateway.SlowStart{
		InitialFraction: 0.3,
		Duration:        15 * time.Second,
		OverloadFactor:  3,
		OverloadWindow:  3 * time.Second,
	}
	loadReport := gateway.LoadReportForm{Fields: []gateway.LoadField{gateway.Utilization}, WithAnswers: true}
	for i := range config.Gateways {
		membership := gateway.Membership{
			Index:       i,
			Count:       config.Gateways,
			Gossip:      config.GossipPerSecond > 0 && config.Gateways > 1,
			MessageRate: config.GossipPerSecond,
		}
		decider := logic.New(s.random.Uint64(), membership, classes, s.plans, limits, slowStart, loadReport)
		s.gateways = append(s.gateways, &gatewayModel{logic: decider, hostsUsed: map[int]bool{}})
		s.runBatch(i, gateway.Event{Kind: gateway.EndpointsListed, ListKind: gateway.ListCached, Endpoints: endpoints})
	}
}

// addCustomers draws the customers of each plan and schedules their first requests.
func (s *simulation) addCustomers() {
	for plan := range s.config.Plans {
		for range s.config.Plans[plan].Customers {
			c := s.newCustomer(plan)
			s.customers = append(s.customers, c)
			s.add(&event{at: s.now.Add(s.interArrival(c.requestRate)), kind: requestArrives, customer: c.id})
		}
	}
}

// add schedules an event.
func (s *simulation) add(e *event) { s.schedule.Add(int64(e.at), e) }

// runEvents runs all events up to the end, with the samples that fall due between them.
func (s *simulation) runEvents() {
	end := startTime.Add(s.config.Duration)
	nextSample := startTime.Add(sampleInterval)
	nextTrace := startTime.Add(s.config.Trace)
	stepAt := startTime.Add(s.config.StepAt)
	stepPending := s.config.StepAt > 0
	for s.schedule.Len() > 0 {
		_, e := s.schedule.Next()
		if e.at > end {
			return
		}
		for e.at >= nextSample {
			s.sampleGauges()
			nextSample = nextSample.Add(sampleInterval)
		}
		for s.config.Trace > 0 && e.at >= nextTrace {
			s.now = nextTrace
			s.sampleCopies()
			nextTrace = nextTrace.Add(s.config.Trace)
		}
		if stepPending && e.at >= stepAt {
			stepPending = false
			s.stepDemand()
		}
		s.now = e.at
		s.handle(e)
	}
}

// handle runs one event.
func (s *simulation) handle(e *event) {
	switch e.kind {
	case requestArrives:
		s.requestArrives(s.customers[e.customer])
	case clientRetries:
		s.send(s.customers[e.customer], e.deadline, e.number)
	case timerFires:
		s.timerFires(e)
	case gossipArrives:
		s.gossipArrives(e)
	case attemptArrives:
		s.attemptArrives(s.hosts[e.host], e.request.attempts[e.number])
	case hostFinishes:
		s.hostFinishes(s.hosts[e.host], e.request.attempts[e.number])
	case attemptTimesOut:
		s.attemptTimesOut(e.request.attempts[e.number])
	case attemptCanceled:
		s.attemptCanceled(e.request.attempts[e.number])
	}
}

// timerFires runs a gateway's timer, unless it was set anew meanwhile.
func (s *simulation) timerFires(e *event) {
	g := s.gateways[e.gateway]
	if g.timerAt != e.at {
		return
	}
	g.timerAt = 0
	s.runBatch(e.gateway, gateway.Event{Kind: gateway.TimerFired})
}

func (s *simulation) attemptTimesOut(a *attempt) {
	if a == nil || a.ended {
		return
	}
	s.report.TimedOut++
	s.endAttempt(a, gateway.TimedOut)
}

func (s *simulation) attemptCanceled(a *attempt) {
	if a == nil || a.ended {
		return
	}
	s.endAttempt(a, gateway.Canceled)
}

// gossipArrives delivers a message, unless the receiver has received too many within the last second.
func (s *simulation) gossipArrives(e *event) {
	g := s.gateways[e.gateway]
	expired := 0
	for expired < len(g.inbox) && g.inbox[expired] <= s.now.Add(-time.Second) {
		expired++
	}
	g.inbox = g.inbox[expired:]
	if float64(len(g.inbox)) >= s.config.GossipPerSecond {
		s.report.Dropped++
		return
	}
	g.inbox = append(g.inbox, s.now)
	s.report.Messages++
	s.report.MessageBytes += len(e.body)
	s.runBatch(e.gateway, gateway.Event{Kind: gateway.GossipReceived, Peer: e.sender, Message: e.body})
}

// attemptArrives serves an attempt at a host, queues it, or rejects it if the queue is full.
func (s *simulation) attemptArrives(h *host, a *attempt) {
	if a == nil || a.ended {
		return
	}
	h.received++
	switch {
	case h.inService < s.config.Slots:
		s.serve(h, a)
	case len(h.queue) < s.config.Queue:
		h.queue = append(h.queue, a)
	default:
		s.report.Busy++
		s.endAttempt(a, gateway.Busy, 0)
	}
}

// hostFinishes ends an attempt at its host, which then serves queued ones.
func (s *simulation) hostFinishes(h *host, a *attempt) {
	h.inService--
	for len(h.queue) > 0 && h.inService < s.config.Slots {
		next := h.queue[0]
		h.queue = h.queue[1:]
		if !next.ended { // neither canceled nor timed out in the queue
			s.serve(h, next)
		}
	}
	if a != nil && !a.ended {
		s.endAttempt(a, gateway.Succeeded, float64(h.inService)/float64(s.config.Slots))
	}
}

// serve starts the service of an attempt at a host.
func (s *simulation) serve(h *host, a *attempt) {
	h.inService++
	serviceTime := time.Duration(s.random.ExpFloat64() * float64(s.config.ServiceTime))
	s.add(&event{
		at:      s.now.Add(serviceTime + s.config.NetworkDelay),
		kind:    hostFinishes,
		host:    a.host,
		request: a.request,
		number:  a.number,
	})
}

// endAttempt notifies the gateway of the end of an attempt, with the host's load if its answer reports it.
func (s *simulation) endAttempt(a *attempt, result gateway.Result, load ...float64) {
	a.ended = true
	r := a.request
	r.customer.inFlight--
	latency := s.now.Sub(r.arrived)
	if result == gateway.Succeeded && !r.answered {
		r.answered = true
		s.report.Succeeded++
		if latency > s.config.LatencyObjective {
			s.report.Late++
		}
	}
	s.runBatch(r.gateway, gateway.Event{
		Kind:       gateway.AttemptEnded,
		RequestID:  r.id,
		Host:       uint32(a.host + 1),
		Attempt:    a.number,
		Result:     result,
		Latency:    latency,
		Closed:     r.answered,
		LoadReport: load,
	})
}

// send sends a request of a customer's client, or a retry of one, to a gateway of its set.
func (s *simulation) send(c *customer, deadline gateway.Time, retries int) {
	s.lastRequest++
	r := &request{
		id:       fmt.Sprintf("r%d", s.lastRequest),
		customer: c,
		arrived:  s.now,
		deadline: deadline,
		retries:  retries,
		attempts: map[int]*attempt{},
	}
	r.gateway = (c.first + s.drawGateway(c)) % len(s.gateways)
	c.report.Requests++
	s.requests[r.id] = r
	s.report.Requests++
	s.report.Plans[c.plan].Requests++
	s.runBatch(r.gateway, gateway.Event{
		Kind:         gateway.RequestArrived,
		RequestID:    r.id,
		Customer:     c.name,
		Plan:         c.plan,
		Deadline:     deadline,
		Units:        1,
		Spread:       c.spread,
		FirstGateway: c.first,
	})
}

// runBatch lets a gateway handle a batch of one event.
func (s *simulation) runBatch(index int, e gateway.Event) {
	s.report.Batches++
	batch := &gateway.Batch{Now: s.now, Events: []gateway.Event{e}}
	s.gateways[index].logic.Decide(batch, executor{s, index})
}

// sampleGauges adds the gateways' gauges to the report's sums.
func (s *simulation) sampleGauges() {
	s.samples++
	for _, g := range s.gateways {
		gauges := g.logic.Gauges()
		s.report.Limit += gauges.Limit
		s.report.InFlight += float64(gauges.InFlight)
		s.report.Lateness += gauges.Lateness
	}
}

// summarize turns the sums of the report into means, and adds the customers' reports.
func (s *simulation) summarize() {
	for _, c := range s.customers {
		s.report.Customers = append(s.report.Customers, *c.report)
	}
	hostsUsed := 0
	for _, g := range s.gateways {
		hostsUsed += len(g.hostsUsed)
	}
	s.report.HostsUsed = float64(hostsUsed) / float64(len(s.gateways))
	samples := float64(max(s.samples*len(s.gateways), 1))
	s.report.Limit /= samples
	s.report.InFlight /= samples
	s.report.Lateness /= samples
	most, total := 0, 0
	for _, h := range s.hosts {
		most = max(most, h.received)
		total += h.received
	}
	mean := float64(total) / float64(len(s.hosts))
	s.report.BusiestHost = float64(most) / math.Max(mean, 1e-9)
}
