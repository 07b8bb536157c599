package fleet

import (
	"fmt"
	"slices"
	"time"

	"ravensill/lab/emulator"
	"ravensill/lab/relay"
)

// ScenarioSize is how large the scenarios of Cases are.
type ScenarioSize struct {
	Gateways int
	Hosts    int
	Rate     float64 // requests a second
	Seed     uint64
}

const (
	second        = time.Second
	clientTimeout = 8 * time.Second
)

// mixedLoad returns a load of all three request classes.
func (s ScenarioSize) mixedLoad() emulator.Load {
	return emulator.Load{
		Seed:         s.Seed,
		Rate:         s.Rate,
		Customers:    40 * s.Gateways,
		ZipfExponent: 0.5,
		SubsetSize:   max(1, s.Gateways/3),
		Body:         "body",
		Classes:      MixedClasses(clientTimeout),
	}
}

// MixedClasses returns the request classes of clients that use all classes of a fleet's gateways.
func MixedClasses(timeout time.Duration) []emulator.Class {
	return []emulator.Class{
		{Name: "lookup", Timeout: timeout, Fraction: 0.6},
		{Name: "order", Post: true, Idempotent: true, Timeout: timeout, Fraction: 0.2},
		{Name: "pay", Post: true, Timeout: timeout, Fraction: 0.2},
	}
}

// scenario returns a scenario of this size in which a fraction of the requests must succeed.
func (s ScenarioSize) scenario(name string, duration time.Duration, successes float64, steps ...Step) Scenario {
	return Scenario{
		Name:     name,
		Options:  Options{Gateways: s.Gateways, Hosts: s.Hosts, Seed: s.Seed},
		Loads:    []emulator.Load{s.mixedLoad()},
		WarmUp:   2 * second,
		Duration: duration,
		Steps:    steps,
		Checks:   append([]Check{SuccessFraction(successes)}, CommonChecks...),
	}
}

// measure adds the intervals between times, in seconds, to those whose evenness is measured.
func (s *Scenario) measure(hosts []int, times ...float64) {
	for i := range times[1:] {
		s.Intervals = append(s.Intervals, Interval{
			Name:  fmt.Sprintf("%g to %g s", times[i], times[i+1]),
			From:  time.Duration(times[i] * float64(second)),
			To:    time.Duration(times[i+1] * float64(second)),
			Hosts: hosts,
		})
	}
}

// addWarmingHosts adds a number of hosts that are not listed at first and warm up after their start.
func (o *Options) addWarmingHosts(count int) {
	listed := o.Hosts
	o.Hosts += count
	o.UnlistedHosts = map[int]bool{}
	for i := listed; i < o.Hosts; i++ {
		o.UnlistedHosts[i] = true
	}
	o.ConfigureHost = func(i int, host *emulator.HostOptions) {
		host.Model.WarmUpFactor = 4
		host.Model.WarmUpTime = 10 * second
		if i < listed {
			host.Model.WarmUpFactor = 1
		}
	}
}

// FaultScenarios returns the hard cases: what is injected, and what must hold after each. The fraction of requests that must
// succeed is what the faults leave, not a measure of the gateway.
func (s ScenarioSize) FaultScenarios() []Scenario {
	return []Scenario{
		s.mostGatewaysKilled(),
		s.rollingRestart(),
		s.gatewaysFrozen(),
		s.networkPartitions(),
		s.differingHostLists(),
		s.hostsReplaced(),
		s.warmingHost(),
		s.hotGateway(),
		s.fewGateways(),
		s.singleGateway(),
		s.lightHost(),
	}
}

func (s ScenarioSize) mostGatewaysKilled() Scenario {
	count := s.Gateways * 7 / 10
	killed := s.scenario("seven in ten killed and back", 6*second, 0.4,
		KillGateways(1*second, count, "killed", second),
		RestartGateways(3*second, count, "killed", true))
	killed.measure(nil, -1.5, 1, 3, 6)
	return killed
}

func (s ScenarioSize) rollingRestart() Scenario {
	rolled := s.scenario("a quarter restarted by SIGTERM under open connections", 8*second, 0.95,
		RollingRestart(1*second, s.Gateways/4, "rolled"))
	rolled.measure(nil, -1.5, 1, 5, 8)
	return rolled
}

func (s ScenarioSize) gatewaysFrozen() Scenario {
	frozen := s.scenario("a third frozen for 1.5 s", 5*second, 0.6,
		FreezeGateways(1*second, s.Gateways/3, "frozen"),
		ThawGateways(2500*time.Millisecond, s.Gateways/3, "frozen"))
	frozen.measure(nil, -1.5, 1, 2.5, 5)
	return frozen
}

func (s ScenarioSize) networkPartitions() Scenario {
	left := GatewayNames(0, s.Gateways/2)
	right := GatewayNames(s.Gateways/2, s.Gateways)
	noise := relay.Rule{Faults: relay.Faults{
		Loss:      0.1,
		Duplicate: 0.1,
		Reorder:   0.1,
		Delay:     5 * time.Millisecond,
		Jitter:    20 * time.Millisecond,
	}}
	cutRight := relay.Rule{From: left, To: right, Faults: relay.Faults{Blocked: true}}
	cutLeft := relay.Rule{From: right, To: left, Faults: relay.Faults{Blocked: true}}
	partitioned := s.scenario("cut in halves, healed, cut one way, healed", 8*second, 0.9,
		SetRelayRules(0, "noise", noise),
		SetRelayRules(1*second, "cut", cutRight, cutLeft),
		SetRelayRules(4*second, "cut", cutRight),
		SetRelayRules(6*second, "cut"))
	partitioned.measure(nil, -1.5, 1, 4, 6, 8)
	return partitioned
}

func (s ScenarioSize) differingHostLists() Scenario {
	outdated := Indexes(0, s.Gateways/2)
	lists := s.scenario("half the gateways with another list for 6 s", 8*second, 0.9,
		SetAgentMode(0, outdated, "half have received nothing since", func(mode *emulator.AgentMode) { mode.Frozen = true }),
		StartHosts(500*time.Millisecond, s.Hosts, s.Hosts+1),
		SetAgentMode(6500*time.Millisecond, outdated, "half receive what they missed",
			func(mode *emulator.AgentMode) { mode.Frozen = false }),
		Announce(500*time.Millisecond, nil, emulator.Leaving, 0, 1))
	lists.Options.addWarmingHosts(2)
	lists.measure(Indexes(2, s.Hosts), -1.5, 0.5, 3.5, 6.5, 8)
	return lists
}

func (s ScenarioSize) hostsReplaced() Scenario {
	const replacing = 7 * second
	count := s.Hosts * 6 / 10
	replaced := s.scenario("six in ten hosts replaced in 7 s", 10*second, 0.9)
	replaced.Options.addWarmingHosts(count)
	for i := range count {
		at := time.Duration(i) * replacing / time.Duration(count)
		replaced.Steps = append(replaced.Steps, StartHosts(at, s.Hosts+i))
		replaced.Steps = append(replaced.Steps, RemoveHosts(at, 1500*time.Millisecond, i)...)
	}
	replaced.measure(Indexes(count, s.Hosts), -1.5, 0, 3.5, 7, 10)
	return replaced
}

func (s ScenarioSize) warmingHost() Scenario {
	warming := s.scenario("a new host that all see at once", 5*second, 0.95, StartHosts(1*second, s.Hosts))
	warming.Options.addWarmingHosts(1)
	warming.measure(nil, -1.5, 1, 5)
	return warming
}

func (s ScenarioSize) hotGateway() Scenario {
	hot := s.scenario("one gateway with ten times the mean traffic", 4*second, 0.95)
	hot.Loads[0].GatewayWeights = map[int]float64{0: 10}
	hot.Loads[0].SubsetSize = 0
	return hot
}

func (s ScenarioSize) fewGateways() Scenario {
	few := s.scenario("a quarter as many gateways as hosts", 4*second, 0.95)
	few.Options.Gateways = max(2, s.Hosts/4)
	few.Loads[0].SubsetSize = 0
	return few
}

func (s ScenarioSize) singleGateway() Scenario {
	single := s.scenario("one gateway alone", 4*second, 0.95)
	single.Options.Gateways = 1
	single.Loads[0].SubsetSize = 0
	return single
}

func (s ScenarioSize) lightHost() Scenario {
	light := s.scenario("a host with a quarter of the weight", 4*second, 0.95)
	light.Options.ConfigureHost = func(i int, host *emulator.HostOptions) {
		if i != 0 {
			return
		}
		host.Weight = 0.25
		host.Speed = 0.25
		host.Model.Slots /= 4
	}
	return light
}

// SteadyLoad returns a scenario without faults, with customers of equal demand, for measuring evenness.
func (s ScenarioSize) SteadyLoad(duration time.Duration, checks ...Check) Scenario {
	steady := s.scenario("steady", duration, 0.95)
	steady.Checks = append(steady.Checks, slices.Clone(checks)...)
	steady.Loads[0].ZipfExponent = 0
	steady.Loads[0].Classes = []emulator.Class{{Name: "lookup", Timeout: clientTimeout, Fraction: 1}}
	return steady
}
