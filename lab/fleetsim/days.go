package fleetsim

import "time"

// CalmDay returns a run like the calm day of the operators' mass bench, at a size: customers of three plans whose
// subsets are half to all of the gateways, and hosts at about 60% of their capacity for the demand within the quotas.
func CalmDay(gateways, hosts int, duration time.Duration, seed uint64) Config {
	scale := float64(gateways) / 273
	n := func(x float64) int { return max(1, int(x*scale+0.5)) }
	return Config{
		Seed:        seed,
		Gateways:    gateways,
		Duration:    duration,
		Hosts:       hosts,
		Slots:       12,
		Queue:       80,
		ServiceTime: 400 * time.Millisecond,
		Objective:   2 * time.Second,
		Deadline:    8 * time.Second,
		Retries:     1,
		Plans: []QuotaPlan{
			{Name: "basic", Rate: 1.2, Burst: 4, Customers: n(1621), SubsetRange: [2]float64{0.5, 1}},
			{Name: "standard", Rate: 3.4, Burst: 17, MaxInFlight: 2, Customers: n(502), SubsetRange: [2]float64{0.5, 1}},
			{Name: "fleet", Rate: 14, Burst: 22, CeilingRate: 30, CeilingBurst: 50, Customers: n(89), GatewaysPerCustomer: 7},
		},
		Demand:          [2]float64{0.2, 0.9},
		HeavyShare:      0.11,
		HeavyDemand:     [2]float64{1.8, 4.9},
		GossipPerSecond: 60,
		GossipDelay:     5 * time.Millisecond,
		GossipLoss:      0.007,
		NetDelay:        250 * time.Microsecond,
	}
}

// RoughDay returns CalmDay with what the bench has on its other days: requests that arrive unevenly over a customer's
// gateways, customers whose demand spikes for a second or two, and clients that retry twice.
func RoughDay(gateways, hosts int, duration time.Duration, seed uint64) Config {
	config := CalmDay(gateways, hosts, duration, seed)
	config.GatewaySigma = 1
	config.Retries = 2
	config.Demand = [2]float64{0.25, 0.8}
	config.SpikyShare = 0.16
	config.SpikeOn = 1700 * time.Millisecond
	config.SpikeEvery = 16 * time.Second
	return config
}
