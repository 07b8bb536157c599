package logic

import (
	"fmt"
	"strings"
	"time"

	"ravensill/gateway"
)

const ms = time.Millisecond

// simulationStart is the time at which a simulation starts.
const simulationStart = gateway.Time(100 * time.Second)

// simulation runs gateways on a simulated clock and records their decisions. Hosts, clients and the network are the test's.
type simulation struct {
	now      gateway.Time
	gateways []*simulatedGateway
	trace    strings.Builder
	classes  []gateway.RequestClass
	plans    []gateway.Plan
	limits   gateway.Limits
	cold     gateway.SlowStart
}

// simulatedGateway is a gateway of the simulation, and the writer that records its decisions.
type simulatedGateway struct {
	simulation      *simulation
	index           int
	gateway         *Gateway
	clockOffset     time.Duration  // by which its clock is ahead
	messages        [][]byte       // sent and not yet delivered
	receivers       []int          // of each message
	listRequestedAt []gateway.Time // times at which it asked for the host list
	counterNames    []uint64       // names of the shared counter's entries, by call
}

// record writes a line of the trace.
func (s *simulatedGateway) record(format string, args ...any) {
	fmt.Fprintf(&s.simulation.trace, "%5d ms  gateway %d  %s\n", s.simulation.now/gateway.Time(ms), s.index, fmt.Sprintf(format, args...))
}

func (s *simulatedGateway) StartAttempt(req string, host uint32, timeout time.Duration) {
	s.record("dispatch %s to host %d, timeout %d ms", req, host, timeout/ms)
}

func (s *simulatedGateway) CancelAttempt(req string, n int) {
	s.record("cancel dispatch %d of %s", n, req)
}
func (s *simulatedGateway) Reject(req string, after time.Duration) {
	s.record("deny %s, come back after %d ms", req, after/ms)
}
func (s *simulatedGateway) Fail(req string)       { s.record("abort %s", req) }
func (s *simulatedGateway) SendProbe(host uint32) { s.record("probe host %d", host) }
func (s *simulatedGateway) WatchEndpoints() {
	s.record("follow the list")
	s.listRequestedAt = append(s.listRequestedAt, s.simulation.now)
}
func (s *simulatedGateway) LogNote(text string)    { s.record("note %s", text) }
func (s *simulatedGateway) SetTimer(time.Duration) {}
func (s *simulatedGateway) AddToCounter(name uint64, amount float64, life time.Duration) {
	s.record("count %+g, to live %d ms", amount, life/ms)
	s.counterNames = append(s.counterNames, name)
}

func (s *simulatedGateway) SendGossip(peer int, body []byte) {
	s.messages, s.receivers = append(s.messages, body), append(s.receivers, peer)
}

// newSimulation starts n gateways with one replayable class and a plan of 10 units a second and a burst of 10, unless set changes
// these.
func newSimulation(n, hosts int, set func(w *simulation)) *simulation {
	w := &simulation{classes: []gateway.RequestClass{{LatencyObjective: 800 * ms, Timeout: 3000 * ms, Value: 1}},
		plans:  []gateway.Plan{{Rate: 10, Burst: 10, PriorityWeight: 1, OverQuotaCost: 0.5}},
		limits: gateway.Limits{MaxAttempts: 3, Cancellation: true, RetryAfter: true},
		cold:   gateway.SlowStart{InitialFraction: 0.2, Duration: 10 * time.Second, OverloadFactor: 2, OverloadWindow: 2 * time.Second}, now: simulationStart}
	if set != nil {
		set(w)
	}
	for i := range n {
		w.gateways = append(w.gateways, &simulatedGateway{simulation: w, index: i})
		w.restart(i, hosts, n)
	}
	return w
}

// restart starts gateway i anew, with its cached host list.
func (w *simulation) restart(i, hosts, n int) {
	var list []gateway.Endpoint
	for h := range hosts {
		list = append(list, gateway.Endpoint{Host: uint32(h + 1), Cell: h / 2})
	}
	s := w.gateways[i]
	s.messages, s.receivers = nil, nil
	s.gateway = New(uint64(i)+1, gateway.Membership{Index: i, Count: n, Gossip: n > 1, MessageRate: 40}, w.classes, w.plans,
		w.limits, w.cold, gateway.LoadReportForm{})
	w.deliver(i, gateway.Event{Kind: gateway.EndpointsListed, ListKind: gateway.ListCached, Endpoints: list})
}

// deliver has gateway i handle a batch of events.
func (w *simulation) deliver(i int, e ...gateway.Event) {
	s := w.gateways[i]
	s.gateway.Decide(&gateway.Batch{Now: w.now.Add(s.clockOffset), Events: e}, s)
}

// arrive delivers n requests of customer c to gateway i, of one unit each.
func (w *simulation) arrive(i int, c string, n int) {
	for k := range n {
		w.deliver(i, gateway.Event{Kind: gateway.RequestArrived, RequestID: fmt.Sprintf("%s%d.%d", c, w.now.Sub(simulationStart)/ms, k),
			Customer: c, Deadline: w.now.Add(w.gateways[i].clockOffset + 2500*ms), Units: 1, Spread: len(w.gateways)})
	}
}

// finishAttempt ends the first attempt that gateway i has in flight at host h, or at any host if h is 0.
func (w *simulation) finishAttempt(i int, h uint32, res gateway.Result, closed bool) {
	for _, x := range w.gateways[i].gateway.endpoints.all {
		if len(x.inFlight) > 0 && (h == 0 || x.id == h) {
			s := x.inFlight[0]
			w.deliver(i, gateway.Event{Kind: gateway.AttemptEnded, RequestID: s.request.id, Host: x.id, Attempt: s.number, Result: res,
				Latency: w.now.Add(w.gateways[i].clockOffset).Sub(s.startedAt), Closed: closed})
			return
		}
	}
}

// finishAll ends all attempts of gateway i with success.
func (w *simulation) finishAll(i int) {
	for w.gateways[i].gateway.endpoints.inFlight > 0 {
		w.finishAttempt(i, 0, gateway.Succeeded, true)
	}
}

// advance lets time pass in ticks. Messages are delivered at once if carry is set, else lost. It returns how many were sent.
func (w *simulation) advance(t time.Duration, carry bool) (sent int) {
	for end := w.now.Add(t); w.now < end; {
		w.now = w.now.Add(timerInterval)
		for i, s := range w.gateways {
			w.deliver(i, gateway.Event{Kind: gateway.TimerFired})
			sent += len(s.messages)
			for k, m := range s.messages {
				if carry {
					w.deliver(s.receivers[k], gateway.Event{Kind: gateway.GossipReceived, Peer: i, Message: m})
				}
			}
			s.messages, s.receivers = nil, nil
		}
	}
	return sent
}

// recordLevels records the levels of all copies of customer c.
func (w *simulation) recordLevels(c string) {
	for _, s := range w.gateways {
		if x := s.gateway.customers[hashText(c)]; x != nil {
			s.gateway.refill(x)
			s.record("copy of %s holds %.1f units", c, x.level)
		} else {
			s.record("holds no copy of %s", c)
		}
	}
}
