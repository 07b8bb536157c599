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
	id         string
	customer   *customer
	class      *class
	units      float64
	arrived    int64
	deadline   int64 // the client gives up then
	stopAt     int64 // this gateway ends then; 0: it is not called to stop
	attempts   int
	current    *attempt // in flight; nil: none
	mayHaveRun *attempt // the first that may have run; nil: none
	closed     bool
	slot       uint64 // the shared counter's number that counts it as in flight; 0 none
}

// attempt is the nth sending of a request to a host.
type attempt struct {
	request *request
	host    *host
	n       int
	at      int64
}

// customer is this gateway's copy of a customer's token bucket, with what its peers sent of it.
type customer struct {
	hash          uint32
	plan          *gateway.Plan
	planIndex     int
	spread        int            // gateways that the customer's requests come in at,
	first         int            // from this member index on, counted round
	subscriptions []subscription // the peers that send or are sent its counters
	created       int64
	refilled      int64      // the last time
	lastAdmission int64      // here or at a peer
	level         float64    // units in the bucket; below 0 it owes
	peerRate      float64    // units a second that the peers admit
	asked         float64    // units asked lately
	admitted      float64    // units admitted lately
	presumed      float64    // units taken for peers that were not heard
	total         [2]float64 // units admitted here, and with the others of the row: the counters that are sent
	ceiling       float64    // units in this gateway's part of the ceiling
	ceilRate      float64    // units a second that it is filled by
	ceilDepth     float64    // units that it holds at most
	inFlight      int        // attempts from here
	unanswered    float64    // part of its requests, lately
}

// subscription is what a customer's copy here and at a peer know of each other.
type subscription struct {
	customer      *customer
	peer          *peer
	received      int64   // time of the last counter received
	receivedTotal uint64  // that counter, in parts of a unit
	sentTotal     float64 // last counter sent, in units
	sends         bool    // counters go to the peer
	queued        bool    // in the peer's queue
}

// peer is another gateway that this one sends to or hears.
type peer struct {
	member      int // its member index
	nth         int // place of its subscription in those of the customer latest
	latest      *customer
	total       int   // which of the customers' counters it is sent: 1 where it is in another row
	sends       bool  // it is sent counters
	received    int64 // last message
	first       int64 // first message after a silence
	born        int64 // first message of this incarnation
	due         int64 // next sign of life to it
	queue       []*subscription
	incarnation uint64  // its start by its own clock, in milliseconds
	number      uint64  // of its last message
	sent        uint64  // messages to it
	credit      float64 // messages that it can take
}

// Gateway decides for one gateway. It belongs to one goroutine.
type Gateway struct {
	now   int64
	start int64 // -1 before the first round
	rnd   *mwc

	writer  gateway.Actions // of the round
	seat    gateway.Membership
	limits  gateway.Limits
	classes []*class
	plans   []*gateway.Plan // by index; nil: removed
	byID    map[uint32]int  // indices of the plans by their IDs
	options []gateway.Candidate

	customers map[uint32]*customer
	requests  map[string]*request
	calls     map[uint64][]*request // of the shared counter, by its number, in order
	pool      hostPool

	format     gossip.Format
	rows       int     // of the grid that the gateways stand in
	neighbours []*peer // the gateways that this one sends to or hears
	peers      []*peer // by member index; nil: no neighbour
	to         []*peer // by member index: the neighbour on the way there
	from       []*peer // by member index: the neighbour on the way from there
	rate       float64 // messages a second to a peer
	age        float64 // seconds that a counter is old when it comes
	pause      int64   // between signs of life
	silence    int64   // with none for so long, peers are gone
	quiet      int64   // with none for so long, the network is cut
	heard      int64   // last message of any peer
	resized    int64   // the fleet's size changed last

	ticked       int64 // last tick
	nextSweep    int64 // of idle customers
	nextAsk      int64 // for the host list
	asked        int64 // asked for it, or lost it
	asks         int   // lists lost on end
	counterRetry int64 // the shared counter is not asked until then
	unheard      int   // calls of it unanswered on end

	largest     float64 // units of a request, the most seen
	value       float64 // usual value of a request for its time
	retryBudget float64 // retries of what may have run
	arrived     int     // requests since the last tick
	passed      int     // requests sent on, since the start
	denied      [Reasons]int
	unmatched   int // totals dropped for their plan, since the start
}

// class is a request class, with what was learned of it.
type class struct {
	gateway.RequestClass
	index int
	usual float64 // nanoseconds that its answers usually take
	units float64 // that its requests usually ask
}

// hostPool holds the hosts.
type hostPool struct {
	all       []*host // by id
	near      []*host // those of all in this gateway's subset, or sent to
	weighed   []*host // those whose loads pick has set last
	busyHosts []*host // those with attempts in flight at the last tick, or sent to since
	cold      gateway.SlowStart
	rnd       *mwc
	busyField int // place of the busy share in load reports; -1 none
	inFlight  int // attempts from here
	member    int // index of this gateway,
	members   int // among so many: for its subset
	limit     limit.Out
	listed    bool  // a list that was not the cached one was received
	woke      int64 // the gateway last stood still until then,
	stood     int64 // for so long
}

// host is one of the list.
type host struct {
	spread.Host
	id         uint32
	state      gateway.EndpointState
	used       bool  // sent to since it is in the list
	since      int64 // its last start as the list tells it, by its wall clock; 0 long ago
	started    int64 // the same by this gateway's clock: startOf
	inFlight   []*attempt
	listedBusy bool    // in busyHosts
	pace       float64 // its answers' time against the usual
	busy       float64 // share told by itself
	load       float64 // how long an answer would take, as pick weighed it
	allow      float64 // attempts that it may get while cold
	classes    []health
}

// health is how a host serves a request class: it may fail one and serve the others.
type health struct {
	lastGood    int64
	lastAnswer  int64
	lastFailure int64
	unanswered  float64 // part of the attempts,
	at          int64   // as it was then
}
