package fleetsim

import "time"

// QuotaPlan is a quota plan and the number and kind of its customers.
type QuotaPlan struct {
	Name                string
	Rate                float64    // units per second of each customer, over all gateways
	Burst               float64    // units that the bucket holds at most
	MaxInFlight         int        // limit on a customer's requests in flight over all gateways; 0: none
	CeilingRate         float64    // units per second of the hard ceiling; 0: no ceiling
	CeilingBurst        float64    // units that the ceiling's bucket holds at most
	Customers           int        // number of customers
	SpreadRange         [2]float64 // range of the fraction of all gateways that a customer uses
	GatewaysPerCustomer int        // number of gateways that a customer uses; 0: by SpreadRange
}

// Config describes one simulation. All times are simulated.
type Config struct {
	Seed     uint64
	Gateways int
	Duration time.Duration // of the simulation
	Plans    []QuotaPlan

	Hosts       int
	Slots       int           // requests that a host serves at once
	QueueLength int           // requests that wait at a host at most
	ServiceTime time.Duration // mean time that a host takes to serve a request

	LatencyObjective time.Duration // of the only request class
	RequestTimeout   time.Duration // after which a client abandons a request
	MaxRetries       int           // times that a client retries a rejected request at most

	DemandRange      [2]float64    // range of the ratio of demand to quota of an ordinary customer
	HeavyFraction    float64       // fraction of the customers that are heavy: they demand more than their quota
	HeavyDemandRange [2]float64    // range of the ratio of demand to quota of a heavy customer
	SpikyFraction    float64       // fraction of the others that demand as much as heavy ones, but in spikes only
	SpikeLength      time.Duration // length of a spike
	SpikePeriod      time.Duration // period of the spikes
	DemandStepAt     time.Duration // from then on the demand of heavy customers is DemandStepTo; 0: no change
	DemandStepTo     float64       // ratio of demand to quota

	GossipRateLimit   float64       // messages that a gateway receives per second at most; 0: no gossip
	GossipDelay       time.Duration // from sender to receiver
	GossipLoss        float64       // probability that a message is lost
	NetworkDelay      time.Duration // of an attempt to the host and of the answer back
	GatewayShareSigma float64       // sigma of the log-normal shares of a customer's requests by gateway; 0: equal shares

	TraceInterval time.Duration // interval of the samples in Report.Trace; 0: no samples
}
