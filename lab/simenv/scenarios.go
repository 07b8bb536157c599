package simenv

// Base returns a calm fleet of 24 gateways and 12 hosts, some twice as fast as others.
func Base(seed uint64) Config {
	c := Config{Seed: seed, Gateways: 24, Customers: 600, CustomerSigma: 0.25, GatewaysPerCustomer: 3, RequestRate: 600, Duration: 20 * Second,
		Window: 2 * Second, Objectives: []int64{800 * Millisecond, 300 * Millisecond}, WorkFactors: []float64{1, 0.5},
		ClientLeaveRate: 0.02, CrossZoneDelay: 3, Network: Network{MaxDelay: 50 * Millisecond, MaxAttempts: 3}}
	for i := range 12 {
		speed := 0.7 + 1.3*uniform(seed, uint64(i), 500)
		c.Hosts = append(c.Hosts, Host{ID: uint32(100 + i), Zone: i % 2, BaseTime: 30 * speed, LoadScale: 6, LoadExponent: 1, Sigma: 0.45,
			FailureRate: 0.002})
	}
	return c
}

// Scenario is a hard case.
type Scenario struct {
	Name        string
	Configure   func(c *Config)
	RefusedWith string // a refusal that all answers give, if any
}

// Scenarios are the hard cases, each a change to Base.
var Scenarios = []Scenario{
	{"calm", func(c *Config) {}, ""},
	{"one host slow only under load", func(c *Config) { c.Hosts[3].LoadExponent, c.Hosts[3].LoadScale = 4, 4 }, ""},
	{"swings of load", func(c *Config) { c.SwingAmplitude, c.SwingPeriod = 0.6, 8 }, ""},
	{"a third of the messages lost, a third doubled, out of order", func(c *Config) {
		c.Network = Network{Loss: 0.33, Duplication: 0.33, MaxDelay: 1500 * Millisecond, MaxAttempts: 3}
	}, ""},
	{"lost with no second try", func(c *Config) { c.Network = Network{Loss: 0.1, MaxDelay: 50 * Millisecond, MaxAttempts: 1} }, ""},
	{"a gateway killed with its unsent summary, and back", func(c *Config) {
		c.Faults = []Fault{{Gateway: 5, At: 9500 * Millisecond, Until: 11 * Second}}
	}, ""},
	{"three gateways killed for good", func(c *Config) {
		for g := range 3 {
			c.Faults = append(c.Faults, Fault{Gateway: g, At: 8 * Second})
		}
	}, "gateways missing"},
	{"a cut that heals in time", func(c *Config) {
		c.Faults = []Fault{{Gateway: 2, At: 6 * Second, Until: 9 * Second, Partition: true}}
	}, ""},
	{"a cut that heals too late", func(c *Config) {
		for g := range 4 {
			c.Faults = append(c.Faults, Fault{Gateway: g, At: 3 * Second, Until: 16 * Second, Partition: true})
		}
	}, ""},
	{"hosts replaced within the window", func(c *Config) {
		for i := range 4 {
			c.Hosts[i].Until = 10 * Second
			next := c.Hosts[i]
			next.From, next.Until, next.BaseTime = 10*Second, 0, next.BaseTime*1.8
			c.Hosts = append(c.Hosts, next)
		}
	}, ""},
	{"a host chosen by no one", func(c *Config) { c.Hosts[7].NeverChosen, c.Hosts[7].BaseTime = true, 120 }, ""},
	{"each customer at one gateway only", func(c *Config) { c.GatewaysPerCustomer = 1 }, ""},
	{"few customers", func(c *Config) { c.Customers = 15 }, ""},
	{"subsets of the hosts", func(c *Config) { c.Subset = 6 }, ""},
	{"slow hosts that time out", func(c *Config) {
		c.Hosts[1].BaseTime, c.Hosts[2].BaseTime = 250, 400
		c.ClientLeaveRate = 0.1
	}, ""},
	{"a third of the traffic", func(c *Config) { c.RequestRate /= 3 }, ""},
	{"hosts very unlike", func(c *Config) {
		for i := range c.Hosts {
			c.Hosts[i].BaseTime = 12 * float64(1+i)
		}
	}, ""},
	{"another zone far away", func(c *Config) { c.CrossZoneDelay = 25 }, ""},
	{"tables too small", func(c *Config) { c.MaxCells = 30 }, "gateways missing"},
}
