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

const second = time.Second

// Settings of hosts that warm up, with a longer and a shorter window.
var (
	longWindow = gateway.SlowStart{
		InitialFraction: 0.2,
		Duration:        10 * second,
		OverloadFactor:  3,
		OverloadWindow:  2 * second,
	}
	shortWindow = gateway.SlowStart{
		InitialFraction: 0.16,
		Duration:        10 * second,
		OverloadFactor:  2,
		OverloadWindow:  second,
	}
)

// fleetSize is the size of an experiment.
type fleetSize struct {
	gateways    int
	hosts       int
	requestRate float64
	settings    gateway.SlowStart
}

// apply returns a configuration of the size.
func (f fleetSize) apply(config Config, seed uint64) Config {
	config.Seed = seed
	config.Gateways = f.gateways
	config.Hosts = f.hosts
	config.RequestRate = f.requestRate
	config.Settings = f.settings
	config.Load = 0.6
	config.Duration = 10 * second
	return config
}

// usualConfigs returns even and skewed traffic, many starts at once and seconds apart, a surge after a lull, a
// partition and other hosts that fail. A host is used by a dozen of hundreds of gateways, and by most of a few
// gateways.
func usualConfigs() (configs []Config) {
	for _, size := range []fleetSize{
		{300, 60, 600, longWindow},
		{300, 200, 600, longWindow},
		{3, 6, 60, shortWindow},
		{20, 13, 40, shortWindow},
		{30, 8, 20, shortWindow},
		{30, 60, 180, shortWindow},
	} {
		for _, config := range []Config{
			{ColdHosts: 1},
			{ColdHosts: size.hosts / 2},
			{ColdHosts: 3, Skew: 10},
			{ColdHosts: 3, Lull: 6 * second, Surge: 2},
			{ColdHosts: 3, Lull: 3 * second, Surge: 3, Skew: 10},
			{ColdHosts: size.hosts / 3, Partition: 6 * second},
			{ColdHosts: size.hosts / 2, ListDelay: 4 * second, Skew: 10},
			{ColdHosts: 1, FailingFraction: 0.6, Lull: 3 * second, Surge: 1.5, Queueing: true},
			{ColdHosts: size.hosts * 6 / 10, FailingFraction: 0.3, Skew: 10},
			{ColdHosts: 1, FailingFraction: 1, Lull: second, Surge: 1, Queueing: true}, // right after the start
		} {
			seeds := uint64(2)
			if size.gateways >= 300 {
				seeds = uint64(1 + min(config.Surge, 1)) // two if it comes near the bound
			}
			config.Gossip = size.gateways < 100
			for seed := range seeds {
				configs = append(configs, size.apply(config, seed+1))
			}
		}
	}
	return configs
}

// failingHostsConfigs returns all other hosts failing under a surge, where each request has two attempts: retries must
// not make allowances grow.
func failingHostsConfigs() (configs []Config) {
	for _, test := range []struct {
		seed     uint64
		lull     time.Duration
		settings gateway.SlowStart
	}{
		{3, second, longWindow},
		{1, 3 * second, longWindow},
		{3, 3 * second, longWindow},
		{3, second, shortWindow},
	} {
		config := Config{ColdHosts: 1, FailingFraction: 1, Lull: test.lull, Surge: 3, Skew: 10}
		configs = append(configs, fleetSize{300, 200, 600, test.settings}.apply(config, test.seed))
	}
	return configs
}

// extremeConfigs returns the smallest and the largest fleets of the operators' acceptance test.
func extremeConfigs() (configs []Config) {
	for _, size := range []fleetSize{
		{1, 4, 30, longWindow},
		{1, 40, 60, shortWindow},
		{900, 200, 1800, shortWindow},
		{900, 3200, 1800, longWindow},
	} {
		for _, config := range []Config{
			{ColdHosts: size.hosts / 2, ListDelay: 4 * second, Skew: 10},
			{ColdHosts: size.hosts / 3, Partition: 6 * second},
			{ColdHosts: 1, FailingFraction: 1, Lull: 3 * second, Surge: 3, Skew: 10},
		} {
			configs = append(configs, size.apply(config, 1))
		}
	}
	return configs
}

// runAll runs experiments, as many at a time as there are processors: the largest fleets need 100 MB each.
func runAll(configs []Config) []Report {
	reports := make([]Report, len(configs))
	var group sync.WaitGroup
	slots := make(chan struct{}, runtime.NumCPU())
	for i, config := range configs {
		group.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			reports[i] = Run(config)
		})
	}
	group.Wait()
	return reports
}

// All gateways together stay within the budget of a host that is warming up, although each accumulates its own
// allowance.
func TestFleetKeepsColdBudget(t *testing.T) {
	configs := append(usualConfigs(), failingHostsConfigs()...)
	configs = append(configs, extremeConfigs()...)
	var text strings.Builder
	for i, report := range runAll(configs) {
		config := configs[i]
		fmt.Fprintf(&text, "gateways %d hosts %d cold %d skew %.0f lull %v surge %.1f cut %v apart %v failing %.1f "+
			"seed %d: %v\n", config.Gateways, config.Hosts, config.ColdHosts, config.Skew, config.Lull, config.Surge,
			config.Partition, config.ListDelay, config.FailingFraction, config.Seed, report)
		if report.Sent == 0 || report.Sent > report.Bound {
			t.Errorf("%+v: %v", config, report)
		}
	}
	golden.Check(t, text.String())
}
