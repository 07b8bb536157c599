package slowstartsim

import (
	"fmt"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"ravensill/gateway"
	"ravensill/internal/golden"
)

const utilization = 0.6 // of the hosts, in all scenarios

var (
	wideWindow = gateway.SlowStart{
		InitialFraction: 0.2,
		Duration:        10 * time.Second,
		OverloadFactor:  3,
		OverloadWindow:  2 * time.Second,
	}
	narrowWindow = gateway.SlowStart{
		InitialFraction: 0.16,
		Duration:        10 * time.Second,
		OverloadFactor:  2,
		OverloadWindow:  time.Second,
	}
)

// fleet is the size of a fleet with its traffic and settings.
type fleet struct {
	gateways  int
	hosts     int
	perSecond float64
	settings  gateway.SlowStart
}

// apply returns a scenario with the size, traffic and settings of this fleet and with a seed.
func (f fleet) apply(scenario Config, seed uint64) Config {
	scenario.Seed = seed
	scenario.Gateways = f.gateways
	scenario.Hosts = f.hosts
	scenario.RequestRate = f.perSecond
	scenario.SlowStart = f.settings
	scenario.Utilization = utilization
	scenario.Duration = 10 * time.Second
	return scenario
}

// All gateways together send a host that is warming up no more attempts than its settings allow, although each gateway
// accumulates allowances on its own. The fleets are hundreds of gateways, of which a dozen use each host, and a few
// gateways that each use most hosts, with short windows.
func TestFleetKeepsBudgetOfNewHosts(t *testing.T) {
	configs := faultConfigs()
	configs = append(configs, allOthersFailConfigs()...)
	configs = append(configs, extremeFleetConfigs()...)
	var trace strings.Builder
	for i, r := range runAll(configs) {
		c := configs[i]
		fmt.Fprintf(&trace, "gateways %d hosts %d new %d skew %.0f lull %v surge %.1f ",
			c.Gateways, c.Hosts, c.NewHosts, c.Skew, c.LullDuration, c.SurgeFactor)
		fmt.Fprintf(&trace, "partition %v notified within %v failing %.1f seed %d: %v\n",
			c.PartitionDuration, c.MaxNotifyDelay, c.FailingFraction, c.Seed, r)
		if r.Sent == 0 || r.Sent > r.Bound {
			t.Errorf("%+v: %v", c, r)
		}
	}
	golden.Check(t, trace.String())
}

// faultConfigs returns configurations with even and skewed traffic, with one and with many new hosts, with surges after
// a lull in which allowances accumulate, with partitions, and with failures of other hosts whose requests are retried.
func faultConfigs() []Config {
	const second = time.Second
	var configs []Config
	for _, f := range []fleet{
		{300, 60, 600, wideWindow},
		{300, 200, 600, wideWindow},
		{3, 6, 60, narrowWindow},
		{20, 13, 40, narrowWindow},
		{30, 8, 20, narrowWindow},
		{30, 60, 180, narrowWindow},
	} {
		for _, scenario := range []Config{
			{NewHosts: 1},
			{NewHosts: f.hosts / 2},
			{NewHosts: 3, Skew: 10},
			{NewHosts: 3, LullDuration: 6 * second, SurgeFactor: 2},
			{NewHosts: 3, LullDuration: 3 * second, SurgeFactor: 3, Skew: 10},
			{NewHosts: f.hosts / 3, PartitionDuration: 6 * second},
			{NewHosts: f.hosts / 2, MaxNotifyDelay: 4 * second, Skew: 10},
			{NewHosts: 1, FailingFraction: 0.6, LullDuration: 3 * second, SurgeFactor: 1.5, Serial: true},
			{NewHosts: f.hosts * 6 / 10, FailingFraction: 0.3, Skew: 10},
			// The lull is so short that the new host has just started when all others begin to fail.
			{NewHosts: 1, FailingFraction: 1, LullDuration: second, SurgeFactor: 1, Serial: true},
		} {
			seeds := uint64(2)
			if f.gateways >= 300 {
				seeds = uint64(1 + min(scenario.SurgeFactor, 1)) // two with surges, which come near the bound
			}
			scenario.Gossip = f.gateways < 100
			for seed := range seeds {
				configs = append(configs, f.apply(scenario, seed+1))
			}
		}
	}
	return configs
}

// allOthersFailConfigs returns configurations with surges in which all hosts but the new one fail, so that each request
// has two attempts and the retries could increase the allowances.
func allOthersFailConfigs() []Config {
	var configs []Config
	for _, c := range []struct {
		seed     uint64
		lull     time.Duration
		settings gateway.SlowStart
	}{
		{3, time.Second, wideWindow},
		{1, 3 * time.Second, wideWindow},
		{3, 3 * time.Second, wideWindow},
		{3, time.Second, narrowWindow},
	} {
		f := fleet{300, 200, 600, c.settings}
		configs = append(configs, f.apply(Config{
			NewHosts:        1,
			FailingFraction: 1,
			LullDuration:    c.lull,
			SurgeFactor:     3,
			Skew:            10,
		}, c.seed))
	}
	return configs
}

// extremeFleetConfigs returns configurations of the smallest and the largest fleets in the operators' acceptance
// criteria.
func extremeFleetConfigs() []Config {
	const second = time.Second
	var configs []Config
	for _, f := range []fleet{
		{1, 4, 30, wideWindow},
		{1, 40, 60, narrowWindow},
		{900, 200, 1800, narrowWindow},
		{900, 3200, 1800, wideWindow},
	} {
		for _, scenario := range []Config{
			{NewHosts: f.hosts / 2, MaxNotifyDelay: 4 * second, Skew: 10},
			{NewHosts: f.hosts / 3, PartitionDuration: 6 * second},
			{NewHosts: 1, FailingFraction: 1, LullDuration: 3 * second, SurgeFactor: 3, Skew: 10},
		} {
			configs = append(configs, f.apply(scenario, 1))
		}
	}
	return configs
}

// runAll runs the simulations, as many at a time as there are processors: the largest fleets take 100 MB each.
func runAll(configs []Config) []Report {
	reports := make([]Report, len(configs))
	processors := make(chan struct{}, runtime.NumCPU())
	var running sync.WaitGroup
	for i, c := range configs {
		running.Go(func() {
			processors <- struct{}{}
			defer func() { <-processors }()
			reports[i] = Run(c)
		})
	}
	running.Wait()
	return reports
}
