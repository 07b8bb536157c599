package logic

import (
	"ravensill/gateway"
	"ravensill/internal/gossip"
	"ravensill/limit"
	"ravensill/spread"
)

// The records that the module keeps of requests, customers, peers and hosts; nothing is decided here. Times are nanoseconds of
// the gateway's clock, 0 never; units are those of the quotas.

// request is held from its arrival until it is closed and no attempt is in flight.
type request struct {
	id          string
	customer    *customer
	class       *class
	units       float64
	arrived     int64
	deadline    int64 // the client gives up then
	stopAt      int64 // this gateway ends then; 0: it is not called to stop
	attempts    int
	current     *attempt // in flight; nil: none
	mayHaveRun  *attempt // the first that may have run; nil: none
	closed      bool
	counterName uint64 // the shared counter's number that counts it as in flight; 0 none
}

// attempt is the nth sending of a request to a host.
type attempt struct {
	request   *request
	host      *endpoint
	number    int
	startedAt int64
}

// customer is this gateway's copy of a customer's token bucket, with what its peers sent of it.
type customer struct {
	hash               uint32
	plan               *gateway.Plan
	planIndex          int
	spread             int            // gateways that the customer's requests come in at,
	firstGateway       int            // from this member index on, counted round
	subscriptions      []subscription // the peers that send or are sent its counters
	created            int64
	refilled           int64      // the last time
	lastAdmission      int64      // here or at a peer
	level              float64    // units in the bucket; below 0 it owes
	peerRate           float64    // units a second that the peers admit
	requestedUnits     float64    // units asked lately
	admittedUnits      float64    // units admitted lately
	presumedUnits      float64    // units taken for peers that were not heard
	counters           [2]float64 // units admitted here, and with the others of the row: the counters that are sent
	ceilingLevel       float64    // units in this gateway's part of the ceiling
	ceilingRate        float64    // units a second that it is filled by
	ceilingBurst       float64    // units that it holds at most
	inFlight           int        // attempts from here
	unansweredFraction float64    // part of its requests, lately
}

// subscription is what a customer's copy here and at a peer know of each other.
type subscription struct {
	customer      *customer
	peer          *peer
	lastReceived  int64   // time of the last counter received
	receivedTotal uint64  // that counter, in parts of a unit
	sentTotal     float64 // last counter sent, in units
	sends         bool    // counters go to the peer
	queued        bool    // in the peer's queue
}

// peer is another gateway that this one sends to or hears.
type peer struct {
	member            int // its member index
	subscriptionIndex int // place of its subscription in those of the customer latest
	lastSubscriber    *customer
	counter           int   // which of the customers' counters it is sent: 1 where it is in another row
	sends             bool  // it is sent counters
	lastReceived      int64 // last message
	firstReceived     int64 // first message after a silence
	incarnationSeen   int64 // first message of this incarnation
	heartbeatDue      int64 // next sign of life to it
	queue             []*subscription
	incarnation       uint64  // its start by its own clock, in milliseconds
	sequence          uint64  // of its last message
	sentMessages      uint64  // messages to it
	credit            float64 // messages that it can take
}

// Gateway decides for one gateway. It belongs to one goroutine.
type Gateway struct {
	now    int64
	start  int64 // -1 before the first round
	random *generator

	actions    gateway.Actions // of the round
	membership gateway.Membership
	limits     gateway.Limits
	classes    []*class
	plans      []*gateway.Plan // by index; nil: removed
	byID       map[uint32]int  // indices of the plans by their IDs
	candidates []gateway.Candidate

	customers    map[uint32]*customer
	requests     map[string]*request
	counterCalls map[uint64][]*request // of the shared counter, by its number, in order
	endpoints    endpointSet

	format            gossip.Format
	gridRows          int     // of the grid that the gateways stand in
	neighbours        []*peer // the gateways that this one sends to or hears
	peers             []*peer // by member index; nil: no neighbour
	nextHops          []*peer // by member index: the neighbour on the way there
	previousHops      []*peer // by member index: the neighbour on the way from there
	messageRate       float64 // messages a second to a peer
	counterAge        float64 // seconds that a counter is old when it comes
	heartbeatInterval int64   // between signs of life
	peerTimeout       int64   // with none for so long, peers are gone
	partitionTimeout  int64   // with none for so long, the network is cut
	lastGossip        int64   // last message of any peer
	resizedAt         int64   // the fleet's size changed last

	lastTimer       int64 // last tick
	nextSweep       int64 // of idle customers
	nextPoll        int64 // for the host list
	lastPoll        int64 // asked for it, or lost it
	failedPolls     int   // lists lost on end
	counterRetry    int64 // the shared counter is not asked until then
	counterFailures int   // calls of it unanswered on end

	largestRequest    float64 // units of a request, the most seen
	meanValue         float64 // usual value of a request for its time
	retryBudget       float64 // retries of what may have run
	arrivals          int     // requests since the last tick
	admitted          int     // requests sent on, since the start
	rejected          [Reasons]int
	unmatchedCounters int // totals dropped for their plan, since the start
}

// class is a request class, with what was learned of it.
type class struct {
	gateway.RequestClass
	index          int
	typicalLatency float64 // nanoseconds that its answers usually take
	typicalUnits   float64 // that its requests usually ask
}

// hostPool holds the hosts.
type endpointSet struct {
	all              []*endpoint // by id
	nearby           []*endpoint // those of all in this gateway's subset, or sent to
	lastWeighed      []*endpoint // those whose loads pick has set last
	busy             []*endpoint // those with attempts in flight at the last tick, or sent to since
	slowStart        gateway.SlowStart
	random           *generator
	utilizationField int // place of the busy share in load reports; -1 none
	inFlight         int // attempts from here
	memberIndex      int // index of this gateway,
	memberCount      int // among so many: for its subset
	limit            limit.Out
	listReceived     bool  // a list that was not the cached one was received
	stallEnd         int64 // the gateway last stood still until then,
	stallLength      int64 // for so long
}

// host is one of the list.
type endpoint struct {
	spread.Host
	id              uint32
	state           gateway.EndpointState
	contacted       bool  // sent to since it is in the list
	announcedStart  int64 // its last start as the list tells it, by its wall clock; 0 long ago
	startedAt       int64 // the same by this gateway's clock: startOf
	inFlight        []*attempt
	inBusy          bool    // in busyHosts
	relativeLatency float64 // its answers' time against the usual
	utilization     float64 // share told by itself
	load            float64 // how long an answer would take, as pick weighed it
	allowance       float64 // attempts that it may get while cold
	health          []health
}

// health is how a host serves a request class: it may fail one and serve the others.
type health struct {
	lastGood           int64
	lastAnswer         int64
	lastFailure        int64
	unansweredFraction float64 // part of the attempts,
	unansweredAt       int64   // as it was then
}
