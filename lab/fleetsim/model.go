package fleetsim

import (
	"time"

	"ravensill/gateway"
	"ravensill/logic"
)

// customer is one customer with its traffic and the ground truth of its quota.
type customer struct {
	id           int
	plan         int // index of its plan
	name         string
	spread       int // number of gateways in its set
	firstGateway int // index of the first gateway in its set, which is contiguous and wraps around

	requestRate float64       // requests per second, each of one unit; of a spiky customer during its spikes
	heavy       bool          // demands more than its quota
	spiky       bool          // sends requests in periodic spikes only
	spikeOffset time.Duration // offset of its spikes in their period
	// cumulativeShares holds, for each gateway of the set, the sum of the relative shares of the customer's requests of
	// all gateways up to this one; nil if all shares are equal.
	cumulativeShares []float64

	bucket          float64      // units in the true bucket, over all gateways
	ceilingBucket   float64      // units in the true bucket of the hard ceiling, over all gateways
	refilledAt      gateway.Time // time of the last refill of both
	inFlight        int          // attempts in flight over all gateways
	idealBucket     float64      // units in the bucket of an ideal limiter, a single one for the whole fleet
	idealRefilledAt gateway.Time // time of its last refill

	report *CustomerReport
}

// request is a request of a client at a gateway. A retry is a request of its own.
type request struct {
	id        string
	customer  *customer
	gateway   int // index
	arrived   gateway.Time
	deadline  gateway.Time
	retries   int              // times that the client has retried, this request included
	forwarded bool             // an attempt was sent to a host
	answered  bool             // the client has its answer: a success, a rejection or an error
	attempts  map[int]*attempt // by number
}

// attempt is one attempt to have a request answered by a host.
type attempt struct {
	request *request
	number  int  // 0 for the first attempt of the request
	host    int  // index
	ended   bool // its gateway was notified of its end
}

// host is a simulated host, which serves a limited number of attempts at once and queues others.
type host struct {
	inService int // attempts that it serves now
	queue     []*attempt
	received  int // attempts that arrived
}

// gatewayModel is a gateway of package logic with its timer and its recent messages.
type gatewayModel struct {
	logic          *logic.Gateway
	timerAt        gateway.Time   // 0: not set
	recentMessages []gateway.Time // arrival times of the messages of the last second
	hostsUsed      map[int]bool   // indexes of the hosts that it sent attempts to
}
