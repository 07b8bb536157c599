package subsetsim

import (
	"time"

	"ravensill/subset"
)

// Step is one fault or change in a Scenario.
type Step struct {
	After time.Duration // since the start of the scenario
	Kind  StepKind
	// Count is a number of hosts or a percentage of the gateways, depending on Kind.
	Count    int
	Duration time.Duration // meaning depends on Kind
}

// StepKind is the kind of a Step and determines what its fields Count and Duration mean.
type StepKind int

const (
	// HostsJoin starts Count new hosts, which warm up first.
	HostsJoin StepKind = iota
	// HostsSilent stops Count hosts from answering for Duration.
	HostsSilent
	// ListsDiffer replaces Count hosts by warm ones. Every second gateway is notified Duration later than the others,
	// so that the gateways' endpoint lists differ meanwhile.
	ListsDiffer
	// HostsReplaced replaces Count hosts, evenly over Duration, by hosts that warm up first.
	HostsReplaced
	// GatewaysRestart stops Count percent of the gateways at once and starts them without state after Duration.
	GatewaysRestart
	// GatewaysPartitioned cuts Count percent of the gateways off from a third of the hosts for Duration.
	GatewaysPartitioned
)

// Scenario describes one simulation: gateways of package logic, customers without quotas, and hosts that each work on a
// limited number of requests at once and queue the others.
type Scenario struct {
	Name     string
	Seed     uint64
	Gateways int
	Hosts    int
	// RequestRate is the number of requests per second over all gateways.
	RequestRate float64
	// Customers is the number of customers. Their request rates are log-normal with sigma 1; each uses half to all of
	// the gateways.
	Customers int
	// TrafficSigma is the sigma of the gateways' log-normal traffic; 0 gives all the same.
	TrafficSigma float64
	// BusyGatewayFactor is the ratio of the traffic of gateway 0 to the mean; with 0 its traffic is drawn like any
	// other.
	BusyGatewayFactor float64
	// LightHosts is the number of hosts with a quarter of the usual weight and slots.
	LightHosts int
	// SlowHosts is the number of other hosts that take three times the usual time for a request.
	SlowHosts int
	// Slots is the number of requests that a host works on at once.
	Slots int
	// MeanWork is the mean of a request's exponential processing time at a warm host.
	MeanWork time.Duration
	// Length is the simulated time.
	Length time.Duration
	Steps  []Step
	// SubsetRule returns the subset of gateway member of a fleet of members as indexes of hosts; nil stands for the
	// rule of package subset.
	SubsetRule func(member, members int, hosts []subset.Endpoint) []int
}

const (
	// firstStepAt is the time of the steps of Scenarios and the start of the measurement: hosts have warmed up by then.
	firstStepAt        = 15 * time.Second
	scenarioLength     = 40 * time.Second
	slotsPerHost       = 12
	ratePerHost        = 15
	customerCount      = 2000
	meanWork           = 400 * time.Millisecond
	trafficSigma       = 0.7
	slotsWithSlowHosts = 14 // slots of each host in a scenario with slow hosts
)

// Scenarios returns the scenarios that docs/spread.md shows, for one seed: first those without a step, then those with
// one.
func Scenarios(seed uint64, gateways, hosts int) []Scenario {
	steady := func(name string) Scenario {
		return Scenario{
			Name:         name,
			Seed:         seed,
			Gateways:     gateways,
			Hosts:        hosts,
			RequestRate:  float64(ratePerHost * hosts),
			Customers:    customerCount,
			TrafficSigma: trafficSigma,
			Slots:        slotsPerHost,
			MeanWork:     meanWork,
			Length:       scenarioLength,
		}
	}
	step := func(name string, kind StepKind, count int, duration time.Duration) Scenario {
		scenario := steady(name)
		scenario.Steps = []Step{{firstStepAt, kind, count, duration}}
		return scenario
	}

	even := steady("steady, even traffic")
	even.TrafficSigma = 0
	unequal := steady("steady, unequal traffic")
	quarter := steady("a quarter of that traffic")
	quarter.RequestRate /= 4
	quarter.Slots = 3
	busyGateway := steady("one gateway with ten times the mean")
	busyGateway.BusyGatewayFactor = 10
	lightHost := steady("a host with a quarter of the weight")
	lightHost.LightHosts = 1
	slowHosts := steady("one host in eight three times as slow")
	slowHosts.SlowHosts = hosts / 8
	slowHosts.Slots = slotsWithSlowHosts
	const outage = 6 * time.Second
	return []Scenario{
		even,
		unequal,
		quarter,
		busyGateway,
		lightHost,
		slowHosts,
		step("a new host joins", HostsJoin, 1, 0),
		step("one host in 20 is silent for 6 s", HostsSilent, hosts/20, outage),
		step("one in 20 replaced, half notified 6 s late", ListsDiffer, hosts/20, outage),
		step("six in ten replaced within 7 s", HostsReplaced, hosts*6/10, 7*time.Second),
		step("seven in ten gateways restart", GatewaysRestart, 70, time.Second),
		step("three in ten gateways cut off from a third for 6 s", GatewaysPartitioned, 30, outage),
	}
}
