package fleetsim

import "time"

// referenceGateways and referenceHosts are the size of the operators' large-scale benchmark, which the configurations
// in this file follow.
const (
	referenceGateways = 273
	referenceHosts    = 179
)

// hostsFor returns the number of hosts for a number of gateways, in the ratio of the reference fleet, and at least 10.
func hostsFor(gateways int) int { return max(10, gateways*referenceHosts/referenceGateways) }

// SteadyTraffic returns the operators' large-scale benchmark without disturbances, scaled to a number of gateways:
// customers of three plans, most of which use half to all of the gateways, and hosts of whose capacity the demand
// within the quotas takes about 60%.
func SteadyTraffic(gateways, hosts int, duration time.Duration, seed uint64) Config {
	scale := float64(gateways) / referenceGateways
	scaled := func(customers float64) int { return max(1, int(customers*scale+0.5)) }
	return Config{
		Seed:             seed,
		Gateways:         gateways,
		Duration:         duration,
		Hosts:            hosts,
		Slots:            12,
		QueueLength:      80,
		ServiceTime:      400 * time.Millisecond,
		LatencyObjective: 2 * time.Second,
		RequestTimeout:   8 * time.Second,
		MaxRetries:       1,
		Plans: []QuotaPlan{
			{Name: "basic", Rate: 1.2, Burst: 4, Customers: scaled(1621), SpreadRange: [2]float64{0.5, 1}},
			{Name: "standard", Rate: 3.4, Burst: 17, MaxInFlight: 2, Customers: scaled(502), SpreadRange: [2]float64{0.5, 1}},
			{
				Name:                "fleet",
				Rate:                14,
				Burst:               22,
				CeilingRate:         30,
				CeilingBurst:        50,
				Customers:           scaled(89),
				GatewaysPerCustomer: 7,
			},
		},
		DemandRange:      [2]float64{0.2, 0.9},
		HeavyFraction:    0.11,
		HeavyDemandRange: [2]float64{1.8, 4.9},
		GossipRateLimit:  60,
		GossipDelay:      5 * time.Millisecond,
		GossipLoss:       0.007,
		NetworkDelay:     250 * time.Microsecond,
	}
}

// UnevenTraffic returns SteadyTraffic with the disturbances of that benchmark: requests distributed unevenly over a
// customer's gateways, customers whose demand spikes for a second or two, and clients that retry twice.
func UnevenTraffic(gateways, hosts int, duration time.Duration, seed uint64) Config {
	config := SteadyTraffic(gateways, hosts, duration, seed)
	config.GatewayShareSigma = 1
	config.MaxRetries = 2
	config.DemandRange = [2]float64{0.25, 0.8}
	config.SpikyFraction = 0.16
	config.SpikeLength = 1700 * time.Millisecond
	config.SpikePeriod = 16 * time.Second
	return config
}
