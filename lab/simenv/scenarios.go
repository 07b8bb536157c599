package simenv

import "time"

// BaseConfig returns a fleet of 24 gateways and 12 hosts under constant load and without faults. Some hosts are twice
// as fast as others.
func BaseConfig(seed uint64) Config {
	config := Config{
		Seed:                seed,
		Gateways:            24,
		Customers:           600,
		CustomerSigma:       0.25,
		GatewaysPerCustomer: 3,
		RequestRate:         600,
		Duration:            20 * time.Second,
		Window:              2 * time.Second,
		Objectives:          []time.Duration{800 * time.Millisecond, 300 * time.Millisecond},
		WorkFactors:         []float64{1, 0.5},
		ClientLeaveRate:     0.02,
		CrossZoneDelay:      3,
		Network:             Network{MaxDelay: 50 * time.Millisecond, MaxAttempts: 3},
	}
	for i := range 12 {
		config.Hosts = append(config.Hosts, Host{
			ID:           uint32(100 + i),
			Zone:         i % 2,
			BaseTime:     30 * (0.7 + 1.3*uniform(seed, uint64(i), 500)),
			LoadScale:    6,
			LoadExponent: 1,
			Sigma:        0.45,
			FailureRate:  0.002,
		})
	}
	return config
}

// Scenario is a fleet for which estimates are compared with the ground truth.
type Scenario struct {
	Name            string
	Configure       func(c *Config) // changes the configuration that BaseConfig returns
	ExpectedRefusal string          // reason with which all answers must be refused; "": no such expectation
}

// gatewaysMissing is the reason of package counterfactual for a refusal because too many summaries are missing.
const gatewaysMissing = "gateways missing"

// Scenarios are variations of BaseConfig in which estimates are most likely to be wrong.
var Scenarios = []Scenario{
	{Name: "calm", Configure: func(c *Config) {}},
	{Name: "one host slow only under load", Configure: func(c *Config) {
		c.Hosts[3].LoadExponent = 4
		c.Hosts[3].LoadScale = 4
	}},
	{Name: "swings of load", Configure: func(c *Config) {
		c.SwingAmplitude = 0.6
		c.SwingPeriod = 8 * time.Second
	}},
	{Name: "a third of the messages lost, a third doubled, out of order", Configure: func(c *Config) {
		c.Network = Network{Loss: 0.33, Duplication: 0.33, MaxDelay: 1500 * time.Millisecond, MaxAttempts: 3}
	}},
	{Name: "lost without a retry", Configure: func(c *Config) {
		c.Network = Network{Loss: 0.1, MaxDelay: 50 * time.Millisecond, MaxAttempts: 1}
	}},
	{Name: "a gateway killed with its unsent summary, and back", Configure: func(c *Config) {
		c.Faults = []Fault{{Gateway: 5, At: 9500 * time.Millisecond, Until: 11 * time.Second}}
	}},
	{Name: "three gateways killed for good", ExpectedRefusal: gatewaysMissing, Configure: func(c *Config) {
		for gateway := range 3 {
			c.Faults = append(c.Faults, Fault{Gateway: gateway, At: 8 * time.Second})
		}
	}},
	{Name: "a cut that heals in time", Configure: func(c *Config) {
		c.Faults = []Fault{{Gateway: 2, At: 6 * time.Second, Until: 9 * time.Second, Partition: true}}
	}},
	{Name: "a cut that heals too late", Configure: func(c *Config) {
		for gateway := range 4 {
			c.Faults = append(c.Faults, Fault{Gateway: gateway, At: 3 * time.Second, Until: 16 * time.Second, Partition: true})
		}
	}},
	{Name: "hosts replaced within the window", Configure: replaceHosts},
	{Name: "a host chosen by no one", Configure: func(c *Config) {
		c.Hosts[7].NeverChosen = true
		c.Hosts[7].BaseTime = 120
	}},
	{Name: "each customer at one gateway only", Configure: func(c *Config) { c.GatewaysPerCustomer = 1 }},
	{Name: "few customers", Configure: func(c *Config) { c.Customers = 15 }},
	{Name: "subsets of the hosts", Configure: func(c *Config) { c.SubsetSize = 6 }},
	{Name: "slow hosts that time out", Configure: func(c *Config) {
		c.Hosts[1].BaseTime = 250
		c.Hosts[2].BaseTime = 400
		c.ClientLeaveRate = 0.1
	}},
	{Name: "a third of the traffic", Configure: func(c *Config) { c.RequestRate /= 3 }},
	{Name: "hosts of very different speeds", Configure: spreadSpeeds},
	{Name: "another zone far away", Configure: func(c *Config) { c.CrossZoneDelay = 25 }},
	{Name: "tables too small", ExpectedRefusal: gatewaysMissing, Configure: func(c *Config) { c.MaxCells = 30 }},
}

// replaceHosts replaces four hosts, halfway through the run, by slower ones with the same IDs.
func replaceHosts(c *Config) {
	for i := range 4 {
		c.Hosts[i].ListedUntil = 10 * time.Second
		next := c.Hosts[i]
		next.ListedFrom = 10 * time.Second
		next.ListedUntil = 0
		next.BaseTime *= 1.8
		c.Hosts = append(c.Hosts, next)
	}
}

// spreadSpeeds makes each host slower than the one before it, from 12 ms to 12 ms times the number of hosts.
func spreadSpeeds(c *Config) {
	for i := range c.Hosts {
		c.Hosts[i].BaseTime = 12 * float64(1+i)
	}
}
