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

const load = 0.6

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

// fleet is a size of fleet with its traffic and settings.
type fleet struct {
	gateways  int
	hosts     int
	perSecond float64
	settings  gateway.SlowStart
}

// apply returns the scenario for this fleet.
func (f fleet) apply(scenario Config, seed uint64) Config {
	scenario.Seed = seed
	scenario.Gateways = f.gateways
	scenario.Hosts = f.hosts
	scenario.RequestRate = f.perSecond
	scenario.SlowStart = f.settings
	scenario.Utilization = load
	scenario.Duration = 10 * time.Second
	return scenario
}

// All gateways together keep to what the settings allow a host that warms up, though each saves an allowance for
// itself: hundreds of which a dozen use each host, and a few of which each uses most hosts and the windows are narrow.
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

// faultConfigs returns even and skewed traffic, one and many starts, surges after a lull that lets allowances be saved,
// partitions, and failures of other hosts whose requests are retried.
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
			{NewHosts: 1, FailingFraction: 1, LullDuration: second, SurgeFactor: 1, Serial: true}, // the new host has just started
		} {
			seeds := uint64(2)
			if f.gateways >= 300 {
				seeds = uint64(1 + min(scenario.SurgeFactor, 1)) // two where it comes near the bound
			}
			scenario.Gossip = f.gateways < 100
			for seed := range seeds {
				configs = append(configs, f.apply(scenario, seed+1))
			}
		}
	}
	return configs
}

// allOthersFailConfigs returns surges under which all other hosts fail, so that each request has two attempts and
// retries could enlarge the allowances.
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
		configs = append(configs, f.apply(Config{NewHosts: 1, FailingFraction: 1, LullDuration: c.lull, SurgeFactor: 3, Skew: 10}, c.seed))
	}
	return configs
}

// extremeFleetConfigs returns the smallest and the largest fleets of the operators' acceptance page.
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

// runAll runs the experiments, one a processor at a time: the largest fleets take 100 MB each.
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
