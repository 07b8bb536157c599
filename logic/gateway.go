// Package logic makes all decisions on the path of a request. It does no I/O: Gateway.Decide takes a batch of events
// and calls the actions that follow from them.
//
// Every gateway holds a full copy of each customer's token bucket, refilled at the full rate. Gateways gossip what
// they admit as cumulative counters; each gateway subtracts what its peers admitted from its copy, down to a bounded
// debt, and rejects requests for which its copy has too few units (docs/design.md). The other mechanisms, each in a
// file of its own:
//
//   - request.go: the life of a request, from its arrival to its final answer
//   - admission.go: the admission checks, in their order
//   - token_bucket.go: this gateway's copy of a customer's token bucket
//   - customer_limit.go: the limit on the customers with a record
//   - ceiling.go: this gateway's part of a plan's hard ceiling
//   - concurrency_cap.go: the plan's cap on requests in flight, decided by the shared counter or estimated
//   - load_shedding.go: rejects requests of low value first near the limit on attempts in flight (package
//     concurrency)
//   - shortage.go: when rejected clients come back if this gateway is short of memory or processor time
//   - retry.go: retries, their budget, and how long an answer is waited for
//   - endpoint_list.go, endpoint_choice.go: the endpoint list, this gateway's subset of it (package subset), and the
//     choice of an endpoint for an attempt
//   - slow_start.go: limits what an endpoint is sent after its start
//   - outlier.go: detects endpoints that fail a request class or don't answer
//   - gossip_send.go, gossip_receive.go, membership.go: gossip between gateways
//   - timer.go, endpoint_poll.go, settings.go: periodic work, polls of a lost endpoint list, new settings
//
// Times are of the gateway's clock, durations are in nanoseconds, and quotas are in units.
package logic

import (
	"container/list"
	"slices"
	"time"

	"ravensill/gateway"
	"ravensill/internal/gossip"
)

// stallThreshold is the time between two batches beyond which the gateway counts as stalled.
const stallThreshold = 100 * time.Millisecond

// Gateway holds the state of one gateway's decisions. Its methods are not safe for concurrent use: one goroutine
// calls them.
type Gateway struct {
	now     gateway.Time // time of the current batch
	start   gateway.Time // time of the first batch; -1 before it
	random  *generator
	actions gateway.Actions // receives the decisions on the current batch

	membership      gateway.Membership
	limits          gateway.Limits
	classes         []*class            // by index
	plans           []*gateway.Plan     // by index; nil: removed
	planByID        map[uint32]int      // index of each plan, by its ID
	candidateBuffer []gateway.Candidate // reused by reportCandidates

	customers    map[uint32]*customer  // by the hash of their names
	recency      *list.List            // the customers, the longest unused first
	requests     map[string]*request   // open, or with an attempt in flight, by id
	counterCalls map[uint64][]*request // pending calls of the shared counter, by its name; nil: no request waits
	endpoints    endpointSet

	gossipFormat      gossip.Format
	gridRows          int           // rows of the grid of members; 1: each member sends to all others
	neighbors         []*peer       // members that exchange gossip with this one
	peers             []*peer       // the neighbors by member index; nil: not a neighbor
	nextHops          []*peer       // by member index: the neighbor that gossip to the member is sent to
	previousHops      []*peer       // by member index: the neighbor that gossip of the member arrives from
	messageRate       float64       // messages a second to each peer
	counterAge        float64       // mean age of a counter on its receipt, in seconds
	heartbeatInterval time.Duration // time between messages to a peer while no counters change
	peerTimeout       time.Duration // time without a message after which a peer counts as gone
	partitionTimeout  time.Duration // time without a message of any peer after which a partition is suspected
	lastGossip        gateway.Time  // latest message of any peer
	resizedAt         gateway.Time  // latest change of the fleet's size; 0: none

	lastTimer       gateway.Time // latest call of handleTimer
	nextEviction    gateway.Time // next removal of evictable customers
	maxCustomers    int          // limit of the customers with a record; 0: none
	nextPoll        gateway.Time // next poll of the endpoint list; math.MaxInt64: none
	lastPoll        gateway.Time // latest poll of the endpoint list, or its loss
	failedPolls     int          // consecutive failures to get the endpoint list
	counterRetryAt  gateway.Time // the shared counter is not called before this time
	counterFailures int          // consecutive failed calls of the shared counter

	largestRequest    float64          // most units that any request asked for
	meanValue         float64          // moving average of the requests' value per nanosecond of typical latency
	retryBudget       float64          // retries allowed for requests that may have run
	droppedCustomers  int              // customers dropped by dropCustomer since the queues were cleared of them
	arrivals          int              // requests since the latest call of handleTimer
	admitted          int              // requests sent to an endpoint, since the start
	rejected          [ReasonCount]int // requests rejected since the start, by reason
	unmatchedCounters int              // counters of peers dropped since the start: unknown plan, or not the customer's
}

// class is a request class with its settings and measurements.
type class struct {
	gateway.RequestClass
	index          int
	typicalLatency float64 // moving average of the latency of successes, ns
	typicalUnits   float64 // moving average of the units that its requests ask for
}

// New returns a gateway without endpoints and customers. seed determines all random decisions. If the first plan
// has an ID, gossip names plans by ID, else by index.
func New(seed uint64, membership gateway.Membership, classes []gateway.RequestClass, plans []gateway.Plan,
	limits gateway.Limits, slowStart gateway.SlowStart, report gateway.LoadReportFormat) *Gateway {
	random := generator(seed | 1)
	g := &Gateway{
		start:        -1,
		membership:   membership,
		limits:       limits,
		random:       &random,
		planByID:     map[uint32]int{},
		customers:    map[uint32]*customer{},
		recency:      list.New(),
		requests:     map[string]*request{},
		counterCalls: map[uint64][]*request{},
	}
	g.endpoints = endpointSet{
		random:           g.random,
		slowStart:        slowStart,
		memberIndex:      membership.Index,
		utilizationField: slices.Index(report.Fields, gateway.Utilization),
	}
	for i := range classes {
		g.setClass(&gateway.ClassUpdate{Index: i, Class: classes[i]})
	}
	for i := range plans {
		g.setPlan(&gateway.PlanUpdate{Index: i, Plan: plans[i]})
	}
	g.gossipFormat = gossip.Format{Plans: len(plans), PlansByID: len(plans) > 0 && plans[0].ID != 0}
	g.setFleetSize(max(membership.Count, 1))
	return g
}

// Decide handles a batch of events and calls the actions that follow. Updates of the endpoint list and gossip are
// handled before all other events, so that every request of the batch is decided with the latest state.
func (g *Gateway) Decide(batch *gateway.Batch, actions gateway.Actions) {
	stalled := g.beginBatch(batch, actions)
	for i := range batch.Events {
		if event := &batch.Events[i]; isStateUpdate(event) {
			g.handleStateUpdate(event)
		}
	}
	count := time.Duration(len(batch.Events))
	for i := range batch.Events {
		if event := &batch.Events[i]; !isStateUpdate(event) {
			// After a stall, events are assumed to have arrived evenly over it.
			remaining := count - time.Duration(i)
			g.handleEvent(event, g.now.Add(-stalled*remaining/count))
		}
	}
}

// beginBatch sets the time and the actions of a batch and detects a stall. It returns the length of the stall, 0
// for none. The first batch also starts the timer.
func (g *Gateway) beginBatch(batch *gateway.Batch, actions gateway.Actions) (stalled time.Duration) {
	sinceLast := batch.Now.Sub(g.now)
	g.now = batch.Now
	g.actions = actions
	if g.start < 0 {
		g.start = g.now
		g.lastGossip = g.now
		g.lastTimer = g.now
		g.handleTimer()
		return 0
	}
	if sinceLast <= stallThreshold {
		return 0
	}
	g.endpoints.stallEnd = g.now
	g.endpoints.stallLength = sinceLast
	return sinceLast
}

// isStateUpdate reports whether an event updates the endpoint list or brings gossip.
func isStateUpdate(event *gateway.Event) bool {
	return event.Kind == gateway.EndpointsListed || event.Kind == gateway.GossipReceived
}

func (g *Gateway) handleStateUpdate(event *gateway.Event) {
	if event.Kind == gateway.GossipReceived {
		g.receiveGossip(event.Peer, event.Message)
		return
	}
	g.endpoints.updateList(event.ListKind, event.Endpoints, g.now)
	g.schedulePoll(event.ListKind)
}

// handleEvent handles any event that is not a state update. arrived is the estimated time of its arrival, earlier
// than now after a stall. StreamStarted and ProbeEnded have no effect.
func (g *Gateway) handleEvent(event *gateway.Event, arrived gateway.Time) {
	switch event.Kind {
	case gateway.RequestArrived:
		g.requestArrived(event, arrived)
	case gateway.AttemptEnded:
		g.attemptEnded(event)
	case gateway.ClientGone:
		if r := g.requests[event.RequestID]; r != nil {
			g.closeRequest(r)
		}
	case gateway.CounterReplied:
		g.counterReplied(event)
	case gateway.TimerFired:
		g.handleTimer()
	}
}
