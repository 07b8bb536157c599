package subsetsim

import (
	"time"

	"ravensill/subset"
)

// Step is one fault or change of a day.
type Step struct {
	After time.Duration // from the start of the day
	Kind  StepKind
	// Count is a number of hosts, or a percentage of the gateways.
	Count    int
	Duration time.Duration
}

// StepKind is the kind of a Step; it determines what the step's other fields mean.
type StepKind int

const (
	// HostsJoin starts Count new hosts, which have to warm up.
	HostsJoin StepKind = iota
	// HostsSilent lets Count hosts answer nothing for Duration.
	HostsSilent
	// ListsDiffer replaces Count hosts by warm ones; every second gateway is notified Duration later than the others.
	ListsDiffer
	// HostsReplaced replaces Count hosts by ones that have to warm up, evenly over Duration.
	HostsReplaced
	// GatewaysRestart stops Count percent of the gateways at once; they start without state after Duration.
	GatewaysRestart
	// GatewaysPartitioned lets Count percent of the gateways not reach a third of the hosts for Duration.
	GatewaysPartitioned
)

// Scenario describes one simulated day: gateways of package logic, customers without quotas, and hosts that work on a number
// of requests at once and queue the others.
type Scenario struct {
	Name     string
	Seed     uint64
	Gateways int
	Hosts    int
	// RequestRate is the number of requests in a second over all gateways.
	RequestRate float64
	// Customers have log-normal rates (sigma 1); each uses half to all of the gateways.
	Customers int
	// TrafficSigma is the sigma of the gateways' log-normal traffic.
	TrafficSigma float64
	// BusyGatewayFactor is the traffic of gateway 0 over the mean; 0 leaves it like any other.
	BusyGatewayFactor float64
	// LightHosts is the number of hosts with a quarter of the weight and the slots.
	LightHosts int
	// SlowHosts is the number of other hosts that take three times as long for a request.
	SlowHosts int
	// Slots is the number of requests that a host works on at once.
	Slots int
	// MeanWork is the mean of a request's exponential processing time.
	MeanWork time.Duration
	Length   time.Duration
	Steps    []Step
	// SubsetRule returns the subset of a member as indices of hosts; nil keeps the rule of package subset.
	SubsetRule func(member, members int, hosts []subset.Endpoint) []int
}

const (
	// firstStep is when the steps of Days happen and from when a day is measured: the hosts have warmed up by then.
	firstStep     = 15 * time.Second
	dayLength     = 40 * time.Second
	slotsPerHost  = 12
	ratePerHost   = 15
	dayCustomers  = 2000
	meanWork      = 400 * time.Millisecond
	trafficSkew   = 0.7
	overloadSlots = 14 // of all hosts on a day with slow ones
)

// Scenarios returns the days that docs/spread.md shows, for one seed: steady ones, then ones with one step.
func Scenarios(seed uint64, gateways, hosts int) []Scenario {
	steady := func(name string) Scenario {
		return Scenario{
			Name:         name,
			Seed:         seed,
			Gateways:     gateways,
			Hosts:        hosts,
			RequestRate:  float64(ratePerHost * hosts),
			Customers:    dayCustomers,
			TrafficSigma: trafficSkew,
			Slots:        slotsPerHost,
			MeanWork:     meanWork,
			Length:       dayLength,
		}
	}
	step := func(name string, kind StepKind, count int, duration time.Duration) Scenario {
		day := steady(name)
		day.Steps = []Step{{firstStep, kind, count, duration}}
		return day
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
	slowHosts.Slots = overloadSlots
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
