// Package simenv simulates a fleet of gateways and hosts on a simulated clock, for the tests of package
// counterfactual. A host's response time to an attempt is a function of the attempt, the host and its attempts in
// flight, so that the response time of any other host to the same attempt is known: the ground truth that estimates
// are compared with. The gateways choose by a simplified form of the module's rule (the customer's first host in
// hashed rank among those not much above the least load). Their messages pass through a network that loses,
// duplicates, delays and reorders. A run is deterministic for a seed and does no I/O.
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

// Simulation is a run that has ended.
type Simulation struct {
	Ledger              *counterfactual.Ledger
	FirstBin            counterfactual.BinNumber // first bin of the run
	LastBin             counterfactual.BinNumber // last bin of the run
	UndecodableMessages int                      // messages that could not be decoded
	LostRecords         int                      // attempts whose record was never reported

	config          Config
	random          *rand.Rand
	now             clock.Instant
	schedule        schedule.Schedule[func()]
	hosts           []*Host
	gateways        []*gatewayModel
	outcomes        map[outcomeKey]*Sample
	cumulativeRates []float64 // by customer: the sum of the relative request rates up to this one
}

// Run simulates a fleet to the end of its run.
func Run(config Config) *Simulation {
	e := &Simulation{
		config:   config,
		random:   rand.New(rand.NewPCG(config.Seed, 1)),
		now:      simulatedStart,
		outcomes: map[outcomeKey]*Sample{},
		Ledger:   newLedger(config),
	}
	e.addHosts()
	e.addGateways()
	e.scheduleFaults()
	e.addCustomers()
	e.scheduleRequest(0)
	end := simulatedStart.Add(config.Duration)
	e.runUntil(end.Add(20 * config.Window))
	e.FirstBin = binOf(simulatedStart, config.Window)
	e.LastBin = binOf(end, config.Window) + 2
	return e
}

// binOf returns the bin of a ledger that a time is in.
func binOf(at clock.Instant, window time.Duration) counterfactual.BinNumber {
	return counterfactual.BinNumber(int64(at) / int64(window))
}

// newLedger returns the collector's ledger.
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

func (e *Simulation) addHosts() {
	for _, host := range e.config.Hosts {
		host.incarnation = uint32(host.ListedFrom / time.Second)
		e.hosts = append(e.hosts, &host)
	}
}

func (e *Simulation) addGateways() {
	for i := range e.config.Gateways {
		gateway := &gatewayModel{index: i, zone: i % 2, incarnation: 1}
		e.gateways = append(e.gateways, gateway)
		e.startGateway(gateway)
	}
}

func (e *Simulation) scheduleFaults() {
	for _, fault := range e.config.Faults {
		gateway := e.gateways[fault.Gateway]
		e.at(simulatedStart.Add(fault.At), func() {
			gateway.partitioned = fault.Partition
			if !fault.Partition {
				e.LostRecords += gateway.unreported()
				gateway.stopped = true
				gateway.generation++
			}
		})
		if fault.Until == 0 {
			continue
		}
		e.at(simulatedStart.Add(fault.Until), func() {
			gateway.partitioned = false
			if gateway.stopped {
				gateway.incarnation++
				e.startGateway(gateway)
			}
		})
	}
}

// addCustomers draws the customers' request rates: some send many more requests than others.
func (e *Simulation) addCustomers() {
	total := 0.0
	for customer := range e.config.Customers {
		total += math.Exp(1.2 * gaussian(e.config.Seed, uint64(customer), 9))
		e.cumulativeRates = append(e.cumulativeRates, total)
	}
}

// at schedules an event.
func (e *Simulation) at(at clock.Instant, event func()) { e.schedule.Add(int64(at), event) }

// after schedules an event after a delay.
func (e *Simulation) after(delay time.Duration, event func()) { e.at(e.now.Add(delay), event) }

// milliseconds returns a duration of a number of milliseconds.
func milliseconds(number float64) time.Duration { return time.Duration(number * 1e6) }

// runUntil runs all events up to a time.
func (e *Simulation) runUntil(end clock.Instant) {
	for e.schedule.Len() > 0 {
		at, event := e.schedule.Next()
		if clock.Instant(at) > end {
			return
		}
		e.now = clock.Instant(at)
		event()
	}
}
