package world

// Base gives a calm world of 24 gateways and 12 hosts, some twice as fast as others.
func Base(seed uint64) Config {
	c := Config{Seed: seed, Gateways: 24, Customers: 600, Heavy: 0.25, Spread: 3, Rate: 600, Length: 20 * Second,
		Window: 2 * Second, Targets: []int64{800 * Millisecond, 300 * Millisecond}, Work: []float64{1, 0.5},
		Leaves: 0.02, Far: 3, Net: Net{Delay: 50 * Millisecond, Tries: 3}}
	for i := range 12 {
		speed := 0.7 + 1.3*chance(seed, uint64(i), 500)
		c.Hosts = append(c.Hosts, Host{ID: uint32(100 + i), Zone: i % 2, Time: 30 * speed, Cap: 6, Steep: 1, Noise: 0.45,
			Fails: 0.002})
	}
	return c
}

// Scene is a world with a hard case.
type Scene struct {
	Name  string
	Set   func(c *Config)
	Never string // a refusal that all answers give, if any
}

// Scenes are the hard cases, each over the base.
var Scenes = []Scene{
	{"calm", func(c *Config) {}, ""},
	{"one host slow only under load", func(c *Config) { c.Hosts[3].Steep, c.Hosts[3].Cap = 4, 4 }, ""},
	{"swings of load", func(c *Config) { c.Swing, c.Swings = 0.6, 8 }, ""},
	{"a third of the messages lost, a third doubled, out of order", func(c *Config) {
		c.Net = Net{Loss: 0.33, Twice: 0.33, Delay: 1500 * Millisecond, Tries: 3}
	}, ""},
	{"lost with no second try", func(c *Config) { c.Net = Net{Loss: 0.1, Delay: 50 * Millisecond, Tries: 1} }, ""},
	{"a gateway killed with its unsent summary, and back", func(c *Config) {
		c.Faults = []Fault{{Gateway: 5, At: 9500 * Millisecond, Until: 11 * Second}}
	}, ""},
	{"three gateways killed for good", func(c *Config) {
		for g := range 3 {
			c.Faults = append(c.Faults, Fault{Gateway: g, At: 8 * Second})
		}
	}, "gateways missing"},
	{"a cut that heals in time", func(c *Config) {
		c.Faults = []Fault{{Gateway: 2, At: 6 * Second, Until: 9 * Second, Cut: true}}
	}, ""},
	{"a cut that heals too late", func(c *Config) {
		for g := range 4 {
			c.Faults = append(c.Faults, Fault{Gateway: g, At: 3 * Second, Until: 16 * Second, Cut: true})
		}
	}, ""},
	{"hosts replaced within the window", func(c *Config) {
		for i := range 4 {
			c.Hosts[i].Until = 10 * Second
			next := c.Hosts[i]
			next.From, next.Until, next.Time = 10*Second, 0, next.Time*1.8
			c.Hosts = append(c.Hosts, next)
		}
	}, ""},
	{"a host chosen by no one", func(c *Config) { c.Hosts[7].Shut, c.Hosts[7].Time = true, 120 }, ""},
	{"each customer at one gateway only", func(c *Config) { c.Spread = 1 }, ""},
	{"few customers", func(c *Config) { c.Customers = 15 }, ""},
	{"subsets of the hosts", func(c *Config) { c.Subset = 6 }, ""},
	{"slow hosts that time out", func(c *Config) {
		c.Hosts[1].Time, c.Hosts[2].Time = 250, 400
		c.Leaves = 0.1
	}, ""},
	{"a third of the traffic", func(c *Config) { c.Rate /= 3 }, ""},
	{"hosts very unlike", func(c *Config) {
		for i := range c.Hosts {
			c.Hosts[i].Time = 12 * float64(1+i)
		}
	}, ""},
	{"another zone far away", func(c *Config) { c.Far = 25 }, ""},
	{"tables too small", func(c *Config) { c.Queue = 30 }, "gateways missing"},
}
