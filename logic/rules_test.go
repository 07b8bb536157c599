package logic_test

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	"ravensill/gateway"
	"ravensill/logic"
)

const ms = time.Millisecond

// sentAttempt is an attempt that the gateway started, and whether it was canceled or need not be sent.
type sentAttempt struct {
	host            uint32
	startedAt       gateway.Time
	due             gateway.Time // time at which it times out
	canceled        bool
	clientGoneFirst bool // its client was gone before, so the node does not send it
}

// clientRequest is a request as its client sees it.
type clientRequest struct {
	id                string
	deadline          gateway.Time
	inFlight          *sentAttempt
	attempts          int
	mayHaveRun        *sentAttempt // the first attempt that may have run; nil: none
	done              bool         // whether it has its final answer or its client is gone
	clientGoneInBatch bool         // actions on earlier events of that batch are still allowed
}

// counterCall is a pending call of the shared counter.
type counterCall struct {
	name uint64
	at   gateway.Time
}

// The final answers of a request.
const (
	rejected = iota
	failed
	succeeded
	answerKinds
)

// ruleChecker simulates the clients, hosts, endpoint list and shared counter of one gateway, as a node connects
// them to it. It checks every decision against the rules that the settings state.
type ruleChecker struct {
	*testing.T
	settings   string               // the settings as text, for failure messages
	class      gateway.RequestClass // the request class as the settings state it
	limits     gateway.Limits
	now        gateway.Time
	random     *rand.Rand
	requests   []*clientRequest
	hostStates map[uint32]gateway.EndpointState
	calls      []counterCall
	repeats    int // number of attempts of requests that may have run
	resends    int // number of further attempts of requests that never ran
	answers    [answerKinds]int
}

func (r *ruleChecker) find(id string) *clientRequest {
	for _, request := range r.requests {
		if request.id == id {
			return request
		}
	}
	return nil
}

func (r *ruleChecker) violated(request *clientRequest, format string, args ...any) {
	r.Helper()
	r.Fatalf("%s: %s at %d ms: %s", r.settings, request.id, r.now/gateway.Time(ms), fmt.Sprintf(format, args...))
}

func zoneOf(host uint32) uint32 { return host % 2 }

func cellOf(host uint32) uint32 { return host % 3 }

// StartAttempt checks that an attempt may start at a host, and records it.
func (r *ruleChecker) StartAttempt(id string, host uint32, timeout time.Duration) {
	request := r.find(id)
	switch {
	case request.done && !request.clientGoneInBatch:
		r.violated(request, "an attempt starts after its final answer")
	case request.inFlight != nil:
		r.violated(request, "two attempts are in flight")
	case request.attempts >= r.limits.MaxAttempts:
		r.violated(request, "more attempts than the limit: attempt %d", request.attempts)
	case r.hostStates[host] != gateway.Running:
		r.violated(request, "an attempt starts at a draining or removed host")
	}
	r.checkRepeat(request, host)
	request.attempts++
	request.inFlight = &sentAttempt{
		host:            host,
		startedAt:       r.now,
		due:             request.deadline,
		clientGoneFirst: request.clientGoneInBatch,
	}
	if timeout > 0 {
		request.inFlight.due = min(request.deadline, r.now.Add(timeout))
	}
}

// checkRepeat checks that a request that may have run is sent again only where its class allows that, and counts
// it.
func (r *ruleChecker) checkRepeat(request *clientRequest, host uint32) {
	first := request.mayHaveRun
	if first == nil {
		if request.attempts > 0 {
			r.resends++
		}
		return
	}
	if r.class.Effect == gateway.NonIdempotent {
		r.violated(request, "non-idempotent, may have run and is sent again")
	}
	if r.class.Effect == gateway.Deduplicated {
		pastWindow := r.now > first.startedAt.Add(r.class.DedupWindow)
		otherZone := r.class.Group == gateway.SameZone && zoneOf(host) != zoneOf(first.host)
		otherCell := r.class.Group == gateway.SameCell && cellOf(host) != cellOf(first.host)
		if pastWindow || otherZone || otherCell {
			r.violated(request, "may have run and is sent again beyond its deduplication window or group")
		}
	}
	r.repeats++
}

// end checks and records the final answer of a request.
func (r *ruleChecker) end(id string, answer int) {
	request := r.find(id)
	if request.clientGoneInBatch {
		return
	}
	if request.done {
		r.violated(request, "a second final answer")
	}
	request.done = true
	r.answers[answer]++
}

// checkRejection checks that the client may safely repeat a rejected request once retryAfter has passed.
func (r *ruleChecker) checkRejection(request *clientRequest, retryAfter time.Duration) {
	first := request.mayHaveRun
	unsafe := r.class.Effect == gateway.NonIdempotent ||
		r.class.Effect == gateway.Deduplicated && r.class.Group != gateway.AllHosts
	if unsafe && (first != nil || request.inFlight != nil) {
		r.violated(request, "may have run and is rejected, though a repeat is not safe")
	}
	deduplicated := r.class.Effect == gateway.Deduplicated
	if first != nil && deduplicated && r.now.Add(retryAfter) > first.startedAt.Add(r.class.DedupWindow) {
		r.violated(request, "may have run and is rejected, to be repeated after its deduplication window")
	}
}

func (r *ruleChecker) Reject(id string, retryAfter time.Duration) {
	if request := r.find(id); !request.clientGoneInBatch && !request.done {
		r.checkRejection(request, retryAfter)
	}
	r.end(id, rejected)
}

func (r *ruleChecker) Fail(id string) { r.end(id, failed) }

func (r *ruleChecker) CancelAttempt(id string, _ int) {
	if request := r.find(id); request.inFlight != nil {
		request.inFlight.canceled = true
	}
}

func (r *ruleChecker) AddToCounter(name uint64, _ float64, _ time.Duration) {
	r.calls = append(r.calls, counterCall{name, r.now})
}

func (r *ruleChecker) SendProbe(uint32) {
	r.Fatal(r.settings, ": a probe is sent, but the settings allow none")
}

func (r *ruleChecker) SendGossip(int, []byte) {}
func (r *ruleChecker) SetTimer(time.Duration) {}
func (r *ruleChecker) WatchEndpoints()        {}
func (r *ruleChecker) LogNote(string)         {}

// attemptResults are the results to draw from for attempts that end before they are due.
var attemptResults = []gateway.Result{
	gateway.Succeeded,
	gateway.Succeeded,
	gateway.Errored,
	gateway.Busy,
	gateway.Unreachable,
	gateway.Disconnected,
	gateway.Malformed,
	gateway.NotSent,
	gateway.Throttled,
}

// drawResult draws whether the attempt in flight of a request ends now, and how.
func (r *ruleChecker) drawResult(request *clientRequest) (result gateway.Result, ends bool) {
	result = attemptResults[r.random.Intn(len(attemptResults))]
	attempt := request.inFlight
	switch {
	case attempt == nil:
		return 0, false
	case request.done && attempt.clientGoneFirst:
		return gateway.NotSent, true
	case r.now >= attempt.due:
		return gateway.TimedOut, true
	case attempt.canceled && r.random.Intn(2) == 0:
		return gateway.Canceled, true
	case r.random.Intn(5) > 0:
		return 0, false
	}
	return result, true
}

// endAttempt draws whether the attempt in flight of a request ends now. If so, it records that and returns the
// event.
func (r *ruleChecker) endAttempt(request *clientRequest) (event gateway.Event, ends bool) {
	result, ends := r.drawResult(request)
	if !ends {
		return event, false
	}
	attempt := request.inFlight
	request.inFlight = nil
	if !result.NeverRan() && request.mayHaveRun == nil {
		request.mayHaveRun = attempt
	}
	if result == gateway.Succeeded && !request.done {
		request.done = true
		r.answers[succeeded]++
	}
	event = gateway.Event{
		Kind:      gateway.AttemptEnded,
		RequestID: request.id,
		Host:      attempt.host,
		Attempt:   request.attempts - 1,
		Result:    result,
		Latency:   r.now.Sub(attempt.startedAt),
		Closed:    request.done,
	}
	if result == gateway.Throttled {
		event.RetryAfter = time.Duration(50+r.random.Intn(1000)) * ms
	}
	return event, true
}

const (
	ruleHosts   = 6
	ruleBatches = 300 // batches with new requests
)

// hostEndpoint returns the entry of a host in the endpoint list.
func hostEndpoint(host uint32, state gateway.EndpointState) gateway.Endpoint {
	return gateway.Endpoint{Host: host, Zone: int(zoneOf(host)), Cell: int(cellOf(host)), Weight: 1, State: state}
}

// run sends about 300 requests over a few seconds, with stalls, clients that leave, and hosts that come and go.
func (r *ruleChecker) run(g *logic.Gateway) {
	list := gateway.Event{Kind: gateway.EndpointsListed, ListKind: gateway.ListComplete}
	for host := range uint32(ruleHosts) {
		list.Endpoints = append(list.Endpoints, hostEndpoint(host, gateway.Running))
		r.hostStates[host] = gateway.Running
	}
	events := []gateway.Event{list}
	for n := 0; n < ruleBatches || len(r.requests) > 0; n++ {
		g.Decide(&gateway.Batch{Now: r.now, Events: events}, r)
		r.checkDeadlines()
		r.requests = slices.DeleteFunc(r.requests, func(q *clientRequest) bool { return q.done && q.inFlight == nil })
		events = []gateway.Event{{Kind: gateway.TimerFired}}
		r.advanceClock()
		events = append(events, r.clientAndHostEvents()...)
		events = append(events, r.counterEvents()...)
		events = append(events, r.listEvents()...)
		if count := r.random.Intn(3); n < ruleBatches {
			events = append(events, r.arrivals(n, count)...)
		}
	}
}

func (r *ruleChecker) checkDeadlines() {
	for _, request := range r.requests {
		if request.deadline <= r.now && !request.done {
			r.violated(request, "no final answer at its deadline")
		}
	}
}

// advanceClock advances the clock by up to 20 ms. Now and then it adds a stall, up to the request timeout.
func (r *ruleChecker) advanceClock() {
	r.now = r.now.Add(time.Duration(r.random.Intn(20)) * ms)
	if r.random.Intn(25) == 0 {
		r.now = r.now.Add(time.Duration(r.random.Intn(int(r.class.Timeout/ms))) * ms)
	}
}

// clientAndHostEvents returns the ends of attempts and the disconnects of clients. A request may have both, in
// either order.
func (r *ruleChecker) clientAndHostEvents() (events []gateway.Event) {
	for _, request := range r.requests {
		request.clientGoneInBatch = false
		leaves := !request.done && r.random.Intn(60) == 0
		leavesFirst := r.random.Intn(2) == 0
		if leaves && leavesFirst {
			events = append(events, r.disconnect(request))
		}
		if event, ends := r.endAttempt(request); ends {
			events = append(events, event)
		}
		if leaves && !request.done {
			events = append(events, r.disconnect(request))
		}
	}
	return events
}

func (r *ruleChecker) disconnect(request *clientRequest) gateway.Event {
	request.done = true
	request.clientGoneInBatch = true
	return gateway.Event{Kind: gateway.ClientGone, RequestID: request.id}
}

// counterEvents returns replies of the shared counter and timeouts of its calls.
func (r *ruleChecker) counterEvents() (events []gateway.Event) {
	for len(r.calls) > 0 && (r.random.Intn(2) == 0 || r.now.Sub(r.calls[0].at) >= r.limits.CounterTimeout) {
		event := gateway.Event{Kind: gateway.CounterReplied, CounterName: r.calls[0].name, Result: gateway.TimedOut}
		if r.random.Intn(3) > 0 {
			event.Result = gateway.Succeeded
			event.CounterTotal = float64(r.random.Intn(8))
		}
		events = append(events, event)
		r.calls = r.calls[1:]
	}
	return events
}

// listEvents returns a change of one host's state in one batch out of 20, else nothing.
func (r *ruleChecker) listEvents() []gateway.Event {
	if r.random.Intn(20) != 0 {
		return nil
	}
	host := uint32(r.random.Intn(ruleHosts))
	r.hostStates[host] = gateway.EndpointState(r.random.Intn(3))
	endpoint := hostEndpoint(host, r.hostStates[host])
	endpoint.StartedAt = r.now * gateway.Time(r.random.Intn(2))
	changed := []gateway.Endpoint{endpoint}
	return []gateway.Event{{Kind: gateway.EndpointsListed, ListKind: gateway.ListChanges, Endpoints: changed}}
}

// arrivals returns count new requests in batch n.
func (r *ruleChecker) arrivals(n, count int) (events []gateway.Event) {
	for k := count; k > 0; k-- {
		timeout := r.class.Timeout / time.Duration(1+r.random.Intn(3))
		request := &clientRequest{id: fmt.Sprint("q", n, ".", k), deadline: r.now.Add(timeout)}
		r.requests = append(r.requests, request)
		events = append(events, gateway.Event{
			Kind:      gateway.RequestArrived,
			RequestID: request.id,
			Customer:  fmt.Sprint("c", r.random.Intn(4)),
			Plan:      r.random.Intn(3),
			Deadline:  request.deadline,
			Units:     1,
			Spread:    1,
		})
	}
	return events
}
