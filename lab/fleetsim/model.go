package fleetsim

import (
	"time"

	"ravensill/gateway"
	"ravensill/logic"
)

// customer is one customer with the true state of its quota.
type customer struct {
	id     int
	plan   int
	name   string
	spread int // gateways in its set
	first  int // the first gateway of its set

	requestRate float64 // requests a second, each of one unit
	heavy       bool
	spiky       bool
	spikeOffset time.Duration // of its spikes in their period
	// cumulativeShares holds for each gateway of the set the share of the customer's requests that goes to it or to one
	// before it, up to a factor; nil if all have the same.
	cumulativeShares []float64

	bucket          float64      // units in the true bucket over all gateways
	ceiling         float64      // units in the true bucket of the hard ceiling
	refilledAt      gateway.Time // when both were last refilled
	inFlight        int          // attempts over all gateways
	idealBucket     float64      // units in the bucket of one limiter for the whole fleet
	idealRefilledAt gateway.Time

	report *CustomerReport
}

// request is a request of a client, or a retry of one, at a gateway.
type request struct {
	id        string
	customer  *customer
	gateway   int
	arrived   gateway.Time
	deadline  gateway.Time
	retries   int // of the client, before this request
	forwarded bool
	answered  bool
	attempts  map[int]*attempt // by number
}

// attempt is one request sent to a host.
type attempt struct {
	request *request
	number  int
	host    int
	ended   bool // for its gateway
}

// host is a host that serves some requests at once and queues others.
type host struct {
	inService int
	queue     []*attempt
	received  int // attempts
}

// gatewayModel is a gateway of package logic with its timer and its received messages.
type gatewayModel struct {
	logic     *logic.Gateway
	timerAt   gateway.Time   // 0: not set
	inbox     []gateway.Time // arrival times of the messages of the last second
	hostsUsed map[int]bool   // hosts that it sent an attempt to
}
