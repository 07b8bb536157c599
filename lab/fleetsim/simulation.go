package fleetsim

import (
	"math"
	"math/rand/v2"
	"time"

	"ravensill/gateway"
	"ravensill/lab/schedule"
	"ravensill/logic"
)

const (
	startTime      = gateway.Time(100 * time.Second) // simulated time at the start
	windowLength   = 5 * time.Second                 // length of a Window of the report
	sampleInterval = time.Second                     // interval at which the gateways' gauges are sampled
	cellCount      = 8                               // cells that the hosts are divided into
)

// simulation is the state of one simulation.
type simulation struct {
	config       Config
	random       *rand.Rand
	now          gateway.Time
	schedule     schedule.Schedule[*event]
	gateways     []*gatewayModel
	hosts        []*host
	customers    []*customer
	plans        []gateway.Plan
	requests     map[string]*request
	lastRequest  int // number in the ID of the last request
	gaugeSamples int // samples taken of the gateways' gauges
	report       Report
}

// Run simulates a fleet and returns the report.
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

// addHosts adds the hosts and returns the endpoint list.
func (s *simulation) addHosts() []gateway.Endpoint {
	var endpoints []gateway.Endpoint
	for i := range s.config.Hosts {
		s.hosts = append(s.hosts, &host{})
		endpoints = append(endpoints, gateway.Endpoint{
			Host:   uint32(i + 1),
			Cell:   i % cellCount,
			State:  gateway.Running,
			Weight: 1,
		})
	}
	return endpoints
}

// addGateways adds the gateways and gives each the endpoint list.
func (s *simulation) addGateways(endpoints []gateway.Endpoint) {
	config := &s.config
	classes := []gateway.RequestClass{{
		Effect:           gateway.Idempotent,
		LatencyObjective: config.LatencyObjective,
		Timeout:          config.RequestTimeout,
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
	loadReport := gateway.LoadReportFormat{Fields: []gateway.LoadField{gateway.Utilization}, WithAnswers: true}
	for i := range config.Gateways {
		membership := gateway.Membership{
			Index:       i,
			Count:       config.Gateways,
			Gossip:      config.GossipRateLimit > 0 && config.Gateways > 1,
			MessageRate: config.GossipRateLimit,
		}
		gatewayLogic := logic.New(s.random.Uint64(), membership, classes, s.plans, limits, slowStart, loadReport)
		s.gateways = append(s.gateways, &gatewayModel{logic: gatewayLogic, hostsUsed: map[int]bool{}})
		s.runBatch(i, gateway.Event{Kind: gateway.EndpointsListed, ListKind: gateway.ListCached, Endpoints: endpoints})
	}
}

// addCustomers draws the customers of each plan and schedules their first requests.
func (s *simulation) addCustomers() {
	for plan := range s.config.Plans {
		for range s.config.Plans[plan].Customers {
			c := s.newCustomer(plan)
			s.customers = append(s.customers, c)
			s.addEvent(&event{at: s.now.Add(s.drawInterArrival(c.requestRate)), kind: requestArrives, customer: c.id})
		}
	}
}

// addEvent adds an event to the schedule.
func (s *simulation) addEvent(e *event) { s.schedule.Add(int64(e.at), e) }

// sampleGauges adds the gateways' gauges to the report's fields, which hold sums until summarize.
func (s *simulation) sampleGauges() {
	s.gaugeSamples++
	for _, g := range s.gateways {
		gauges := g.logic.Gauges()
		s.report.MeanInFlightLimit += gauges.InFlightLimit
		s.report.MeanInFlight += float64(gauges.InFlight)
		s.report.MeanLateness += gauges.Lateness
	}
}

// summarize divides the sums in the report's fields to means, and adds the customers' reports.
func (s *simulation) summarize() {
	for _, c := range s.customers {
		s.report.Customers = append(s.report.Customers, *c.report)
	}
	hostsUsed := 0
	for _, g := range s.gateways {
		hostsUsed += len(g.hostsUsed)
	}
	s.report.MeanHostsUsed = float64(hostsUsed) / float64(len(s.gateways))
	samples := float64(max(s.gaugeSamples*len(s.gateways), 1))
	s.report.MeanInFlightLimit /= samples
	s.report.MeanInFlight /= samples
	s.report.MeanLateness /= samples
	most, total := 0, 0
	for _, h := range s.hosts {
		most = max(most, h.received)
		total += h.received
	}
	mean := float64(total) / float64(len(s.hosts))
	s.report.BusiestHost = float64(most) / math.Max(mean, 1e-9)
}
