package fleetsim

import "time"

// Mass is a day like the mass bench's calm one, at the size given: customers of three plans whose sets hold
// half to all of the gateways, hosts at about 60% of their capacity for what is asked inside the quotas.
func Mass(gateways, hosts int, length time.Duration, seed uint64) Config {
	scale := float64(gateways) / 273
	n := func(x float64) int { return max(1, int(x*scale+0.5)) }
	return Config{Seed: seed, Gateways: gateways, Hosts: hosts, Slots: 12, Queue: 80,
		Work: 400 * time.Millisecond, Target: 2 * time.Second, Deadline: 8 * time.Second,
		Plans: []Plan{
			{Name: "basic", Rate: 1.2, Burst: 4, Customers: n(1621), Spread: [2]float64{0.5, 1}},
			{Name: "standard", Rate: 3.4, Burst: 17, Open: 2, Customers: n(502), Spread: [2]float64{0.5, 1}},
			{Name: "fleet", Rate: 14, Burst: 22, CeilingRate: 30, CeilingBurst: 50, Customers: n(89), Set: 7},
		},
		Demand: [2]float64{0.2, 0.9}, Heavy: 0.11, HeavyTimes: [2]float64{1.8, 4.9}, Retries: 1,
		MailPerSecond: 60, MailDelay: 5 * time.Millisecond, MailLoss: 0.007, NetDelay: 250 * time.Microsecond,
		Length: length}
}

// Rough is the mass day with what the bench's days have besides: reqs that come unevenly over a customer's
// gateways, customers that ask far more for a second or two, and clients that try twice again.
func Rough(gateways, hosts int, length time.Duration, seed uint64) Config {
	cfg := Mass(gateways, hosts, length, seed)
	cfg.Uneven, cfg.Retries, cfg.Demand = 1, 2, [2]float64{0.25, 0.8}
	cfg.Spiky, cfg.SpikeOn, cfg.SpikeEvery = 0.16, 1700*time.Millisecond, 16*time.Second
	return cfg
}
