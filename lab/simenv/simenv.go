// Package simenv simulates a fleet of gateways and hosts on a simulated clock, to verify the estimates of package
// counterfactual.
//
// A host's response time is a function of the attempt, the host and the number of attempts in flight there. The
// response time that any other host would have had to the same attempt is therefore known: it is the ground truth that
// estimates are compared with. The gateways route by a simplified form of the real rule: of the hosts whose load is not
// much above the least load, they choose the one that a hash of customer and host ranks first. Their summaries reach
// the ledger through a network that loses, duplicates, delays and reorders messages. A run is deterministic for a seed
// and does no I/O.
package simenv

import (
	"math"
	"math/rand/v2"
	"time"

	"ravensill/counterfactual"
	"ravensill/internal/clock"
	"ravensill/lab/schedule"
)

// simulatedStart is the simulated time at which a run begins.
const simulatedStart = clock.Instant(1000 * time.Second)

// Simulation is a simulated fleet. Run returns it at the end of its run.
type Simulation struct {
	Ledger              *counterfactual.Ledger   // summaries that the collector received
	FirstBin            counterfactual.BinNumber // first bin of the run
	LastBin             counterfactual.BinNumber // last bin of the run
	UndecodableMessages int                      // messages that could not be decoded
	LostRecords         int                      // attempts whose record was lost with a stopped gateway

	config          Config
	random          *rand.Rand
	now             clock.Instant
	schedule        schedule.Schedule[func()]
	hosts           []*Host
	gateways        []*gatewayModel
	outcomes        map[outcomeKey]*Sample
	cumulativeRates []float64 // by customer: sum of the relative request rates of all customers up to this one
}

// Run simulates a fleet. After the last request it goes on for 20 windows, so that the ledger receives late messages.
func Run(config Config) *Simulation {
	s := &Simulation{
		config:   config,
		random:   rand.New(rand.NewPCG(config.Seed, 1)),
		now:      simulatedStart,
		outcomes: map[outcomeKey]*Sample{},
		Ledger:   newLedger(config),
	}
	s.addHosts()
	s.addGateways()
	s.scheduleFaults()
	s.addCustomers()
	s.scheduleRequest(0)
	end := simulatedStart.Add(config.Duration)
	s.runUntil(end.Add(20 * config.Window))
	s.FirstBin = binOf(simulatedStart, config.Window)
	s.LastBin = binOf(end, config.Window) + 2
	return s
}

// binOf returns the ledger's bin that contains an instant.
func binOf(at clock.Instant, window time.Duration) counterfactual.BinNumber {
	return counterfactual.BinNumber(int64(at) / int64(window))
}

// newLedger returns an empty ledger with the collector's settings for a fleet.
func newLedger(config Config) *counterfactual.Ledger {
	settings := counterfactual.Settings{
		Gateways:        config.Gateways,
		Window:          config.Window,
		Grace:           3 * config.Window,
		KeptBins:        int(config.Duration/config.Window) + 50,
		MaxCells:        1 << 20,
		MaxMissingShare: 0.05,
		Objectives:      config.Objectives,
	}
	for i := range config.Objectives {
		settings.Classes = append(settings.Classes, string(rune('a'+i)))
	}
	return counterfactual.NewLedger(settings)
}

func (s *Simulation) addHosts() {
	for _, host := range s.config.Hosts {
		host.incarnation = uint32(host.ListedFrom / time.Second)
		s.hosts = append(s.hosts, &host)
	}
}

func (s *Simulation) addGateways() {
	for i := range s.config.Gateways {
		gateway := &gatewayModel{index: i, zone: i % 2, incarnation: 1}
		s.gateways = append(s.gateways, gateway)
		s.startGateway(gateway)
	}
}

func (s *Simulation) scheduleFaults() {
	for _, fault := range s.config.Faults {
		gateway := s.gateways[fault.Gateway]
		s.at(simulatedStart.Add(fault.At), func() {
			gateway.partitioned = fault.Partition
			if !fault.Partition {
				s.LostRecords += gateway.discardWindow()
				gateway.stopped = true
				gateway.generation++
			}
		})
		if fault.Until == 0 {
			continue
		}
		s.at(simulatedStart.Add(fault.Until), func() {
			gateway.partitioned = false
			if gateway.stopped {
				gateway.incarnation++
				s.startGateway(gateway)
			}
		})
	}
}

// addCustomers draws the customers' relative request rates from a log-normal distribution with sigma 1.2.
func (s *Simulation) addCustomers() {
	total := 0.0
	for customer := range s.config.Customers {
		total += math.Exp(1.2 * gaussian(s.config.Seed, uint64(customer), 9))
		s.cumulativeRates = append(s.cumulativeRates, total)
	}
}

// at schedules an event at an instant.
func (s *Simulation) at(at clock.Instant, event func()) { s.schedule.Add(int64(at), event) }

// after schedules an event after a delay.
func (s *Simulation) after(delay time.Duration, event func()) { s.at(s.now.Add(delay), event) }

// milliseconds converts a number of milliseconds to a Duration.
func milliseconds(number float64) time.Duration { return time.Duration(number * 1e6) }

// runUntil runs all events up to an instant, in the order of their times.
func (s *Simulation) runUntil(end clock.Instant) {
	for s.schedule.Len() > 0 {
		at, event := s.schedule.Next()
		if clock.Instant(at) > end {
			return
		}
		s.now = clock.Instant(at)
		event()
	}
}
