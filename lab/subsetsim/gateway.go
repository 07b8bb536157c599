package subsetsim

import (
	"math"
	"time"

	"ravensill/gateway"
	"ravensill/logic"
	"ravensill/subset"
)

// gatewayModel runs a gateway of package logic and executes its decisions on the simulated hosts.
type gatewayModel struct {
	simulation       *simulation
	index            int
	logic            *logic.Gateway
	incarnation      int // number of starts
	stopped          bool
	extraNotifyDelay time.Duration       // additional delay of late notifications about endpoints
	partitionedUntil gateway.Time        // until then a third of the hosts is unreachable
	runningHosts     map[uint32]bool     // IDs of the hosts that run by its endpoint list
	attempts         map[string]*attempt // latest attempt of each unfinished request, by request ID
	usedHosts        map[uint32]bool     // IDs of the hosts that any incarnation sent attempts to
}

// attempt is one attempt to have a request answered by a host.
type attempt struct {
	request     string
	number      int // 0 for the first attempt of the request
	host        *host
	startedAt   gateway.Time
	ended       bool
	gateway     *gatewayModel
	incarnation int // of the gateway when it started the attempt
}

// start starts the gateway without any state from a previous incarnation and gives it the current endpoint list.
func (g *gatewayModel) start() {
	s := g.simulation
	membership := gateway.Membership{Index: g.index, Count: s.scenario.Gateways}
	classes := []gateway.RequestClass{{
		LatencyObjective: 2 * time.Second,
		Timeout:          requestTimeout,
		Value:            1,
		LateValue:        0.2,
	}}
	plans := []gateway.Plan{{PriorityWeight: 1}}
	limits := gateway.Limits{MaxAttempts: 3, Cancellation: true, RetryAfter: true, MaxRetryAfter: 2 * time.Second}
	slowStart := gateway.SlowStart{
		InitialFraction: initialSpeedFactor,
		Duration:        warmUpTime,
		OverloadFactor:  3,
		OverloadWindow:  3 * time.Second,
	}
	loadReport := gateway.LoadReportFormat{Fields: []gateway.LoadField{gateway.Utilization}, WithAnswers: true}
	g.logic = logic.New(s.random.Uint64(), membership, classes, plans, limits, slowStart, loadReport)
	g.incarnation++
	g.stopped = false
	g.attempts = map[string]*attempt{}
	g.runningHosts = map[uint32]bool{}
	var endpoints []gateway.Endpoint
	for _, h := range s.hosts {
		if h.runningUntil == math.MaxInt64 {
			endpoints = append(endpoints, h.endpoint())
		}
	}
	g.updateEndpoints(gateway.ListComplete, endpoints)
}

// updateEndpoints delivers an endpoint list, or changes of it, to the gateway. It then assigns the gateway's subset if
// the scenario replaces the rule of package subset.
func (g *gatewayModel) updateEndpoints(kind gateway.ListKind, endpoints []gateway.Endpoint) {
	g.decide(gateway.Event{Kind: gateway.EndpointsListed, ListKind: kind, Endpoints: endpoints})
	for _, e := range endpoints {
		delete(g.runningHosts, e.Host)
		if e.State == gateway.Running {
			g.runningHosts[e.Host] = true
		}
	}
	if g.simulation.scenario.SubsetRule != nil {
		g.assignSubset()
	}
}

func (g *gatewayModel) assignSubset() {
	s := g.simulation
	var hosts []subset.Endpoint
	var ids []uint32
	for _, h := range s.hosts {
		if g.runningHosts[h.id] {
			hosts = append(hosts, subset.Endpoint{Hash: hashMix(uint64(h.id) + 1), Weight: h.weight})
			ids = append(ids, h.id)
		}
	}
	inSubset := map[uint32]bool{}
	for _, i := range s.scenario.SubsetRule(g.index, s.scenario.Gateways, hosts) {
		inSubset[ids[i]] = true
	}
	g.logic.OverrideSubset(func(id uint32) bool { return inSubset[id] })
}

// decide lets the gateway handle one event. It does nothing while the gateway is stopped.
func (g *gatewayModel) decide(event gateway.Event) {
	if g.stopped {
		return
	}
	g.logic.Decide(&gateway.Batch{Now: g.simulation.now, Events: []gateway.Event{event}}, g)
}

// end ends an attempt and notifies its gateway. It does nothing if the attempt has ended before or the gateway has
// stopped or restarted. loadReport is the load report in the host's answer, nil without an answer.
func (a *attempt) end(result gateway.Result, loadReport []float64) {
	g := a.gateway
	if a.ended || g.incarnation != a.incarnation || g.stopped {
		return
	}
	a.ended = true
	s := g.simulation
	latency := s.now.Sub(a.startedAt)
	if result == gateway.Succeeded {
		s.result.Succeeded++
		s.result.totalLatency += latency
		delete(g.attempts, a.request)
	}
	g.decide(gateway.Event{
		Kind:       gateway.AttemptEnded,
		RequestID:  a.request,
		Host:       a.host.id,
		Attempt:    a.number,
		Result:     result,
		Latency:    latency,
		Closed:     result == gateway.Succeeded,
		LoadReport: loadReport,
	})
}

// StartAttempt sends an attempt to a host; the attempt is lost if a partition separates the two. It ends at its timeout
// at the latest.
func (g *gatewayModel) StartAttempt(request string, hostID uint32, timeout time.Duration) {
	s := g.simulation
	a := &attempt{
		request:     request,
		host:        s.hostByID[hostID],
		startedAt:   s.now,
		gateway:     g,
		incarnation: g.incarnation,
	}
	if previous := g.attempts[request]; previous != nil {
		a.number = previous.number + 1
	}
	g.attempts[request] = a
	g.usedHosts[hostID] = true
	s.after(timeout, func() { a.end(gateway.TimedOut, nil) })
	if s.now < g.partitionedUntil && hostID%3 == 0 {
		return
	}
	s.after(networkDelay, func() { s.receiveAttempt(a.host, a) })
}

// CancelAttempt ends an attempt in an event of its own, after all events that are already scheduled for this instant.
func (g *gatewayModel) CancelAttempt(request string, number int) {
	a := g.attempts[request]
	if a == nil || a.number != number {
		return
	}
	g.simulation.after(0, func() { a.end(gateway.Canceled, nil) })
}

// SetTimer schedules a timer event, which is dropped if the gateway has restarted by then.
func (g *gatewayModel) SetTimer(after time.Duration) {
	incarnation := g.incarnation
	g.simulation.after(after, func() {
		if g.incarnation == incarnation {
			g.decide(gateway.Event{Kind: gateway.TimerFired})
		}
	})
}

// Reject drops the state of a request.
func (g *gatewayModel) Reject(request string, _ time.Duration) { delete(g.attempts, request) }

// Fail drops the state of a request.
func (g *gatewayModel) Fail(request string) { delete(g.attempts, request) }

// The other decisions have no effect in this simulation.

func (g *gatewayModel) SendGossip(int, []byte)                      {}
func (g *gatewayModel) SendProbe(uint32)                            {}
func (g *gatewayModel) WatchEndpoints()                             {}
func (g *gatewayModel) AddToCounter(uint64, float64, time.Duration) {}
func (g *gatewayModel) LogNote(string)                              {}
