package subsetsim

import (
	"time"

	"ravensill/gateway"
	"ravensill/logic"
	"ravensill/subset"
)

// gatewayModel is one gateway: package logic with the network around it. It implements the module's Decider.
type gatewayModel struct {
	sim              *simulation
	index            int
	module           *logic.Gateway
	incarnation      int
	stopped          bool
	listDelay        int64           // of late changes of the host list, ns
	partitionedUntil int64           // it can't reach a third of the hosts until then
	listedHosts      map[uint32]bool // that run by its list
	attempts         map[string]*attempt
	usedHosts        map[uint32]bool
}

// attempt is the latest attempt of a request.
type attempt struct {
	id          string // of the request
	number      int
	host        *host
	startedAt   int64
	ended       bool
	gateway     *gatewayModel
	incarnation int
}

// noLoad stands for an attempt's end without a load report.
const noLoad = -1

// start starts the gateway with empty state and the present host list.
func (g *gatewayModel) start() {
	classes := []gateway.RequestClass{{
		LatencyObjective: 2 * time.Second,
		Timeout:          clientTimeout,
		Value:            1,
		LateValue:        0.2,
	}}
	limits := gateway.Limits{MaxAttempts: 3, Cancellation: true, RetryAfter: true, MaxRetryAfter: 2 * time.Second}
	slowStart := gateway.SlowStart{
		InitialFraction: coldFraction,
		Duration:        warmUp,
		OverloadFactor:  3,
		OverloadWindow:  3 * time.Second,
	}
	loadReport := gateway.LoadReportForm{Fields: []gateway.LoadField{gateway.Utilization}, WithAnswers: true}
	member := gateway.Membership{Index: g.index, Count: g.sim.day.Gateways}
	plans := []gateway.Plan{{PriorityWeight: 1}}
	g.module = logic.New(g.sim.random.Uint64(), member, classes, plans, limits, slowStart, loadReport)
	g.incarnation++
	g.stopped = false
	g.attempts = map[string]*attempt{}
	g.listedHosts = map[uint32]bool{}
	var list []gateway.Endpoint
	for _, host := range g.sim.runningHosts() {
		list = append(list, host.endpoint(gateway.Running))
	}
	g.applyHostList(gateway.ListComplete, list)
}

// applyChanges applies a change of the host list.
func (g *gatewayModel) applyChanges(changes []gateway.Endpoint) {
	g.applyHostList(gateway.ListChanges, changes)
}

// applyHostList applies a host list or a change of it.
func (g *gatewayModel) applyHostList(kind gateway.ListKind, list []gateway.Endpoint) {
	g.decide(gateway.Event{Kind: gateway.EndpointsListed, ListKind: kind, Endpoints: list})
	for _, endpoint := range list {
		delete(g.listedHosts, endpoint.Host)
		if endpoint.State == gateway.Running {
			g.listedHosts[endpoint.Host] = true
		}
	}
	if g.sim.day.Rule != nil {
		g.assignSubset()
	}
}

// assignSubset sets the subset by the day's rule.
func (g *gatewayModel) assignSubset() {
	var hosts []subset.Endpoint
	var ids []uint32
	for _, host := range g.sim.hosts {
		if g.listedHosts[host.id] {
			hosts = append(hosts, subset.Endpoint{Hash: mix(uint64(host.id) + 1), Weight: host.weight})
			ids = append(ids, host.id)
		}
	}
	assigned := map[uint32]bool{}
	for _, i := range g.sim.day.Rule(g.index, g.sim.day.Gateways, hosts) {
		assigned[ids[i]] = true
	}
	g.module.HoldSubset(func(id uint32) bool { return assigned[id] })
}

// decide has the module decide on an event.
func (g *gatewayModel) decide(event gateway.Event) {
	if g.stopped {
		return
	}
	g.module.Decide(&gateway.Batch{Now: gateway.Time(g.sim.now), Events: []gateway.Event{event}}, g)
}

// StartAttempt sends a request to a host, unless the network between them is partitioned.
func (g *gatewayModel) StartAttempt(id string, number uint32, timeout time.Duration) {
	s := g.sim
	started := &attempt{id: id, startedAt: s.now, gateway: g, incarnation: g.incarnation, host: s.byID[number]}
	if previous := g.attempts[id]; previous != nil {
		started.number = previous.number + 1
	}
	g.attempts[id] = started
	g.usedHosts[number] = true
	s.after(timeout, func() { started.end(gateway.TimedOut, noLoad) })
	if s.now < g.partitionedUntil && number%3 == 0 {
		return
	}
	s.after(networkDelay, func() { s.receive(started.host, started) })
}

// end ends an attempt at its gateway, unless that was restarted meanwhile.
func (a *attempt) end(result gateway.Result, load float64) {
	g := a.gateway
	if a.ended || g.incarnation != a.incarnation || g.stopped {
		return
	}
	a.ended = true
	event := gateway.Event{
		Kind:      gateway.AttemptEnded,
		RequestID: a.id,
		Host:      a.host.id,
		Attempt:   a.number,
		Result:    result,
		Latency:   time.Duration(g.sim.now - a.startedAt),
		Closed:    result == gateway.Succeeded,
	}
	if load >= 0 {
		event.LoadReport = []float64{load}
	}
	if result == gateway.Succeeded {
		g.sim.result.Succeeded++
		g.sim.result.totalLatency += event.Latency
		delete(g.attempts, a.id)
	}
	g.decide(event)
}

// CancelAttempt cancels the latest attempt of a request. The gateway learns it in a batch of its own.
func (g *gatewayModel) CancelAttempt(id string, number int) {
	canceled := g.attempts[id]
	if canceled != nil && canceled.number == number {
		g.sim.after(0, func() { canceled.end(gateway.Canceled, noLoad) })
	}
}

// SetTimer sets the gateway's timer.
func (g *gatewayModel) SetTimer(after time.Duration) {
	incarnation := g.incarnation
	g.sim.after(after, func() {
		if g.incarnation == incarnation {
			g.decide(gateway.Event{Kind: gateway.TimerFired})
		}
	})
}

// Reject counts a rejected request.
func (g *gatewayModel) Reject(id string, _ time.Duration) {
	g.sim.result.Rejected++
	delete(g.attempts, id)
}

// Fail ends a failed request.
func (g *gatewayModel) Fail(id string) { delete(g.attempts, id) }

// SendGossip does nothing: the gateways do not gossip.
func (g *gatewayModel) SendGossip(int, []byte) {}

// SendProbe does nothing: hosts report their load with answers.
func (g *gatewayModel) SendProbe(uint32) {}

// WatchEndpoints does nothing: the simulation sends changes of the list.
func (g *gatewayModel) WatchEndpoints() {}

// AddToCounter does nothing: there is no shared counter.
func (g *gatewayModel) AddToCounter(uint64, float64, time.Duration) {}

// LogNote does nothing: there is no log.
func (g *gatewayModel) LogNote(string) {}
