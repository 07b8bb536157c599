// Package logic holds all decisions on the path of a request. It does no I/O: Decide takes a batch of events and
// writes actions.
//
// The design (docs/design.md) decides each request's ordinary path. Every gateway holds an undivided copy of
// each customer's token bucket, refilled at the full rate. What peers admit is gossiped as cumulative counters
// and subtracted from the copy, down to a bounded debt. A copy without the units rejects. Beside that stand
// these mechanisms, each in a file of its own:
//
//   - request.go: the way of a request, from its arrival to its final answer
//   - admission.go: whether a request is admitted, the checks in their order
//   - token_bucket.go: the copy of a customer's bucket
//   - ceiling.go: this gateway's fraction of a plan's hard ceiling
//   - concurrency_cap.go: the cap on requests in flight, asked of the shared counter, else estimated
//   - load_shedding.go: the limit on attempts in flight (package concurrency); requests of low value give way
//     first
//   - retry.go: retries, their budget, and until when an answer is waited for
//   - endpoint_list.go, endpoint_choice.go: the endpoint list, this gateway's subset of it (package subset), the choice
//   - slow_start.go: what an endpoint may get while it warms up
//   - outlier.go: endpoints that fail a request class or fall silent
//   - gossip_send.go, gossip_receive.go, membership.go: the exchange with peers
//   - timer.go, endpoint_poll.go, settings.go: what time, a lost endpoint list and new settings bring
//
// Times and durations are in nanoseconds of the gateway's clock, units are those of the quotas.
package logic

import (
	"slices"
	"time"

	"ravensill/gateway"
	"ravensill/internal/gossip"
)

// stallThreshold is the time without a batch from which on the gateway counts as stalled.
const stallThreshold = 100 * time.Millisecond

// Gateway decides for one gateway. It belongs to one goroutine.
type Gateway struct {
	now     gateway.Time
	start   gateway.Time // -1 before the first batch
	random  *generator
	actions gateway.Actions // of the batch

	membership gateway.Membership
	limits     gateway.Limits
	classes    []*class        // by index
	plans      []*gateway.Plan // by index; nil: removed
	planByID   map[uint32]int  // indices of the plans by their IDs
	candidates []gateway.Candidate

	customers    map[uint32]*customer // by the hash of their names
	requests     map[string]*request
	counterCalls map[uint64][]*request // calls of the shared counter in flight, by the counter's name, in order
	endpoints    endpointSet

	format            gossip.Format
	gridRows          int           // of the grid in which members are arranged
	neighbours        []*peer       // the members that this one sends gossip to or receives it from
	peers             []*peer       // by member index; nil: no neighbour
	nextHops          []*peer       // by member index: the neighbour on the way there
	previousHops      []*peer       // by member index: the neighbour on the way from there
	messageRate       float64       // messages a second to a peer
	counterAge        float64       // mean age of a received counter, in seconds
	heartbeatInterval time.Duration // between messages to a peer without new counters
	peerTimeout       time.Duration // without a message for so long, peers count as gone
	partitionTimeout  time.Duration // without a message for so long, a network partition is suspected
	lastGossip        gateway.Time  // latest message of any peer
	resizedAt         gateway.Time  // latest change of the fleet's size

	lastTimer       gateway.Time
	nextSweep       gateway.Time // of customers that can be forgotten
	nextPoll        gateway.Time // of the endpoint list
	lastPoll        gateway.Time // latest poll of the endpoint list, or its loss
	failedPolls     int          // in a row
	counterRetry    gateway.Time // the shared counter is not asked before
	counterFailures int          // calls of it without an answer, in a row

	largestRequest    float64 // most units that a request asked for
	meanValue         float64 // of a request for its time
	retryBudget       float64 // retries of attempts that may have run
	arrivals          int     // requests since the last timer
	admitted          int     // requests sent to an endpoint, since the start
	rejected          [ReasonCount]int
	unmatchedCounters int // of peers, dropped for an unknown plan, since the start
}

// class is a request class, with what was measured of it.
type class struct {
	gateway.RequestClass
	index          int
	typicalLatency float64 // of its answers, ns
	typicalUnits   float64 // that its requests ask for
}

// New returns a gateway that has neither endpoints nor customers yet.
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
	g.format = gossip.Format{Plans: len(plans), PlansByID: len(plans) > 0 && plans[0].ID != 0}
	g.setFleetSize(max(membership.Count, 1))
	return g
}

// Decide handles a batch of events and writes the actions that they call for. Updates of endpoints and of peers
// are handled first, so that every request of the batch is decided on all that is known.
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
			// What arrived during a stall is taken to have arrived evenly over it.
			remaining := count - time.Duration(i)
			g.handle(event, g.now.Add(-stalled*remaining/count))
		}
	}
}

// beginBatch begins a batch and returns for how long the gateway was stalled before it.
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

// isStateUpdate reports whether an event is an update of the endpoint list or of a peer.
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

// handle handles any other event; arrived is when it came in.
func (g *Gateway) handle(event *gateway.Event, arrived gateway.Time) {
	switch event.Kind {
	case gateway.RequestArrived:
		g.arrive(event, arrived)
	case gateway.AttemptEnded:
		g.attemptEnded(event)
	case gateway.ClientGone:
		if r := g.requests[event.RequestID]; r != nil {
			g.close(r)
		}
	case gateway.CounterReplied:
		g.counterReplied(event)
	case gateway.TimerFired:
		g.handleTimer()
	}
}
