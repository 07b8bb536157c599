package logic

import (
	"fmt"
	"strings"
	"time"

	"ravensill/gateway"
)

const ms = time.Millisecond

const simulationStart = gateway.Time(100 * time.Second)

// simulation runs gateways on a simulated clock and records their decisions in a trace. Tests play the parts of
// hosts, clients and the network.
type simulation struct {
	now       gateway.Time
	gateways  []*simulatedGateway
	trace     strings.Builder
	classes   []gateway.RequestClass
	plans     []gateway.Plan
	limits    gateway.Limits
	slowStart gateway.SlowStart
}

// simulatedGateway is one gateway of a simulation. It implements gateway.Actions by recording them.
type simulatedGateway struct {
	simulation      *simulation
	index           int
	gateway         *Gateway
	clockOffset     time.Duration  // how far its clock is ahead of the simulation's
	messages        [][]byte       // gossip messages sent and not yet delivered
	receivers       []int          // member index of each message's receiver
	listRequestedAt []gateway.Time // times of its polls of the endpoint list
	counterNames    []uint64       // names in the pending calls of the shared counter, oldest first
}

// record adds a line to the trace.
func (s *simulatedGateway) record(format string, args ...any) {
	now := s.simulation.now / gateway.Time(ms)
	fmt.Fprintf(&s.simulation.trace, "%5d ms  gateway %d  %s\n", now, s.index, fmt.Sprintf(format, args...))
}

func (s *simulatedGateway) StartAttempt(request string, host uint32, timeout time.Duration) {
	s.record("attempt %s at host %d, timeout %d ms", request, host, timeout/ms)
}

func (s *simulatedGateway) CancelAttempt(request string, attempt int) {
	s.record("cancel attempt %d of %s", attempt, request)
}
func (s *simulatedGateway) Reject(request string, after time.Duration) {
	s.record("reject %s, retry after %d ms", request, after/ms)
}
func (s *simulatedGateway) Fail(request string)   { s.record("fail %s", request) }
func (s *simulatedGateway) SendProbe(host uint32) { s.record("probe host %d", host) }
func (s *simulatedGateway) WatchEndpoints() {
	s.record("watch the endpoint list")
	s.listRequestedAt = append(s.listRequestedAt, s.simulation.now)
}
func (s *simulatedGateway) LogNote(text string)    { s.record("note %s", text) }
func (s *simulatedGateway) SetTimer(time.Duration) {}
func (s *simulatedGateway) AddToCounter(name uint64, amount float64, timeToLive time.Duration) {
	s.record("add %+g to the counter, expires after %d ms", amount, timeToLive/ms)
	s.counterNames = append(s.counterNames, name)
}

func (s *simulatedGateway) SendGossip(peer int, message []byte) {
	s.messages = append(s.messages, message)
	s.receivers = append(s.receivers, peer)
}

// newSimulation starts n gateways with one idempotent class and one plan of 10 units a second and a burst of 10.
// configure, if not nil, may change the settings before that.
func newSimulation(n, hosts int, configure func(sim *simulation)) *simulation {
	sim := &simulation{
		classes: []gateway.RequestClass{{LatencyObjective: 800 * ms, Timeout: 3000 * ms, Value: 1}},
		plans:   []gateway.Plan{{Rate: 10, Burst: 10, PriorityWeight: 1, OverQuotaCost: 0.5}},
		limits:  gateway.Limits{MaxAttempts: 3, Cancellation: true, RetryAfter: true},
		slowStart: gateway.SlowStart{
			InitialFraction: 0.2,
			Duration:        10 * time.Second,
			OverloadFactor:  2,
			OverloadWindow:  2 * time.Second,
		}, now: simulationStart}
	if configure != nil {
		configure(sim)
	}
	for i := range n {
		sim.gateways = append(sim.gateways, &simulatedGateway{simulation: sim, index: i})
		sim.restart(i, hosts, n)
	}
	return sim
}

// restart starts gateway i of n anew, with a cached list of hosts 1 to hosts.
func (sim *simulation) restart(i, hosts, n int) {
	var list []gateway.Endpoint
	for h := range hosts {
		list = append(list, gateway.Endpoint{Host: uint32(h + 1), Cell: h / 2})
	}
	s := sim.gateways[i]
	s.messages, s.receivers = nil, nil
	s.gateway = New(uint64(i)+1, gateway.Membership{
		Index:       i,
		Count:       n,
		Gossip:      n > 1,
		MessageRate: 40,
	}, sim.classes, sim.plans,
		sim.limits, sim.slowStart, gateway.LoadReportFormat{})
	sim.list(i, gateway.ListCached, list)
}

// deliver delivers a batch of events to gateway i.
func (sim *simulation) deliver(i int, e ...gateway.Event) {
	s := sim.gateways[i]
	s.gateway.Decide(&gateway.Batch{Now: sim.now.Add(s.clockOffset), Events: e}, s)
}

// arrive delivers n requests of a customer, of one unit each, to gateway i.
func (sim *simulation) arrive(i int, customer string, n int) {
	for k := range n {
		sim.deliver(i, gateway.Event{
			Kind:      gateway.RequestArrived,
			RequestID: fmt.Sprintf("%s%d.%d", customer, sim.now.Sub(simulationStart)/ms, k),
			Customer:  customer,
			Deadline:  sim.now.Add(sim.gateways[i].clockOffset + 2500*ms),
			Units:     1,
			Spread:    len(sim.gateways),
		})
	}
}

// finishAttempt ends the first attempt that gateway i has in flight at a host, or at any host if host is 0.
func (sim *simulation) finishAttempt(i int, host uint32, result gateway.Result, closed bool) {
	sim.finishAttemptWith(i, host, gateway.Event{Result: result, Closed: closed})
}

// finishAttemptWith ends the attempt that finishAttempt ends, with an event whose other fields it sets.
func (sim *simulation) finishAttemptWith(i int, host uint32, end gateway.Event) {
	for _, e := range sim.gateways[i].gateway.endpoints.all {
		if len(e.inFlight) > 0 && (host == 0 || e.number == host) {
			a := e.inFlight[0]
			end.Kind = gateway.AttemptEnded
			end.RequestID = a.request.id
			end.Host = e.number
			end.Attempt = a.number
			end.Latency = sim.now.Add(sim.gateways[i].clockOffset).Sub(a.startedAt)
			sim.deliver(i, end)
			return
		}
	}
}

// finishAll ends all attempts of gateway i with success.
func (sim *simulation) finishAll(i int) {
	for sim.gateways[i].gateway.endpoints.inFlight > 0 {
		sim.finishAttempt(i, 0, gateway.Succeeded, true)
	}
}

// advance advances the clock in timer intervals and returns the number of gossip messages sent. They are delivered
// at once if deliverGossip is set, else lost.
func (sim *simulation) advance(t time.Duration, deliverGossip bool) (sent int) {
	for end := sim.now.Add(t); sim.now < end; {
		sim.now = sim.now.Add(timerInterval)
		for i, s := range sim.gateways {
			sim.deliver(i, gateway.Event{Kind: gateway.TimerFired})
			sent += len(s.messages)
			for k, m := range s.messages {
				if deliverGossip {
					sim.deliver(s.receivers[k], gateway.Event{Kind: gateway.GossipReceived, Peer: i, Message: m})
				}
			}
			s.messages, s.receivers = nil, nil
		}
	}
	return sent
}

// recordLevels records the level of a customer's bucket at each gateway in the trace.
func (sim *simulation) recordLevels(customer string) {
	for _, s := range sim.gateways {
		if c := s.gateway.customers[hashText(customer)]; c != nil {
			s.gateway.refill(c)
			s.record("copy of %s holds %.1f units", customer, c.level)
		} else {
			s.record("holds no copy of %s", customer)
		}
	}
}

// list delivers an endpoint list to gateway i.
func (sim *simulation) list(i int, kind gateway.ListKind, endpoints []gateway.Endpoint) {
	sim.deliver(i, gateway.Event{Kind: gateway.EndpointsListed, ListKind: kind, Endpoints: endpoints})
}

// setQuota sets the rate and the burst of the first plan.
func (sim *simulation) setQuota(units float64) {
	sim.plans[0].Rate = units
	sim.plans[0].Burst = units
}

// newGateway returns a gateway that is not part of the simulation but has its settings, except slow start.
func (sim *simulation) newGateway(membership gateway.Membership) *Gateway {
	return New(1, membership, sim.classes, sim.plans, sim.limits, gateway.SlowStart{}, gateway.LoadReportFormat{})
}
