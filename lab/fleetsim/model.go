package fleetsim

import "ravensill/logic"

// customer is one customer with the true state of its quota. Times are nanoseconds of the simulated clock.
type customer struct {
	id           int
	plan         int
	name         string
	subsetSize   int // gateways in its set
	firstGateway int // the first gateway of its set

	requestRate      float64 // requests a second, each of one unit
	isHeavy          bool
	isSpiky          bool
	spikeOffset      int64     // of its spikes in their period
	cumulativeShares []float64 // by gateway of its set: the sum of the shares of its requests up to this one; nil: even

	bucket          float64 // units in the true bucket over all gateways
	ceiling         float64 // units in the true bucket of the hard ceiling
	refilledAt      int64   // when both were last refilled
	inFlight        int     // attempts over all gateways
	idealBucket     float64 // units in the bucket of an observer who sees all first tries
	idealRefilledAt int64

	report *CustomerReport
}

// request is one try of a client.
type request struct {
	id       string
	customer *customer
	gateway  int
	arrived  int64
	deadline int64
	retries  int // of the client before this one
	sent     bool
	answered bool
	attempts map[int]*attempt // by number
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

// gatewayModel is one gateway: the module with a timer and an inbox.
type gatewayModel struct {
	module    *logic.Gateway
	timerAt   int64        // 0: not set
	inbox     []int64      // arrival times of the messages of the last second
	hostsUsed map[int]bool // hosts that it sent an attempt to
}
