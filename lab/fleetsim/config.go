package fleetsim

import "time"

// QuotaPlan is one quota plan of the model with its customers.
type QuotaPlan struct {
	Name                string
	Rate                float64 // units a second, of each customer over all gateways
	Burst               float64 // units
	MaxInFlight         int     // cap on a customer's requests in flight over all gateways; 0: none
	CeilingRate         float64 // units a second of the hard ceiling; 0: none
	CeilingBurst        float64 // units
	Customers           int
	SpreadRange         [2]float64 // range of the fraction of all gateways that a customer uses
	GatewaysPerCustomer int        // number of gateways that a customer uses; 0: by Spread
}

// Config is one experiment. Times are durations of the simulated clock.
type Config struct {
	Seed     uint64
	Gateways int
	Duration time.Duration // of the run
	Plans    []QuotaPlan

	Hosts       int
	Slots       int           // requests that a host serves at once
	QueueLength int           // requests that wait at a host
	ServiceTime time.Duration // mean

	LatencyObjective time.Duration // of the one request class
	RequestTimeout   time.Duration // after which a client abandons a request
	MaxRetries       int           // of a client after a rejection

	DemandRange      [2]float64    // range of a usual customer's demand over its quota
	HeavyFraction    float64       // fraction of the customers that demand a multiple of their quota
	HeavyDemandRange [2]float64    // range of that multiple
	SpikyFraction    float64       // fraction of the customers that demand HeavyDemand of their quota in spikes
	SpikeLength      time.Duration // length of a spike
	SpikePeriod      time.Duration // period of the spikes
	DemandStepAt     time.Duration // from then on heavy customers demand StepTo of their quota; 0: never
	DemandStepTo     float64

	GossipRateLimit   float64 // messages that a gateway receives within a second; 0: no gossip
	GossipDelay       time.Duration
	GossipLoss        float64       // fraction of the messages
	NetworkDelay      time.Duration // one way, gateway to host
	GatewayShareSigma float64       // sigma of the log-normal shares of a customer's requests by gateway; 0: even

	TraceInterval time.Duration // interval of the samples of bucket copies; 0: none
}
