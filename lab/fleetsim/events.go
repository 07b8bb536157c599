package fleetsim

import (
	"fmt"
	"time"

	"ravensill/gateway"
)

// eventKind says what happens at the time of an event. It selects the handler that runs the event.
type eventKind int

const (
	requestArrives  eventKind = iota // a customer sends a request
	clientRetries                    // a client retries a rejected request
	timerFires                       // the timer of a gateway fires
	gossipArrives                    // a message arrives at a gateway
	attemptArrives                   // an attempt arrives at a host
	hostFinishes                     // a host has served an attempt
	attemptTimesOut                  // an attempt times out at its gateway
	attemptCanceled                  // a gateway canceled an attempt; it handles the end in a later batch, as with sockets
)

// event is one scheduled event. Its kind determines which other fields are set.
type event struct {
	at       gateway.Time
	kind     eventKind
	gateway  int
	customer int
	host     int
	request  *request
	number   int          // number of the attempt or of the client's retry
	sender   int          // index of the gateway that sent the message
	body     []byte       // message
	deadline gateway.Time // of the request that a client retries
}

// runEvents runs all events up to the end of the simulation. Between them it takes the periodic samples and applies the
// step of the demand.
func (s *simulation) runEvents() {
	end := startTime.Add(s.config.Duration)
	nextSample := startTime.Add(sampleInterval)
	nextTrace := startTime.Add(s.config.TraceInterval)
	stepAt := startTime.Add(s.config.DemandStepAt)
	stepPending := s.config.DemandStepAt > 0
	for _, e := range s.schedule.Until(int64(end)) {
		for e.at >= nextSample {
			s.sampleGauges()
			nextSample = nextSample.Add(sampleInterval)
		}
		for s.config.TraceInterval > 0 && e.at >= nextTrace {
			s.now = nextTrace
			s.sampleBuckets()
			nextTrace = nextTrace.Add(s.config.TraceInterval)
		}
		if stepPending && e.at >= stepAt {
			stepPending = false
			s.stepDemand()
		}
		s.now = e.at
		s.handle(e)
	}
}

// handle passes an event to the handler of its kind.
func (s *simulation) handle(e *event) {
	switch e.kind {
	case requestArrives:
		s.requestArrives(s.customers[e.customer])
	case clientRetries:
		s.send(s.customers[e.customer], e.deadline, e.number)
	case timerFires:
		s.timerFires(e)
	case gossipArrives:
		s.gossipArrives(e)
	case attemptArrives:
		s.attemptArrives(s.hosts[e.host], e.request.attempts[e.number])
	case hostFinishes:
		s.hostFinishes(s.hosts[e.host], e.request.attempts[e.number])
	case attemptTimesOut:
		s.attemptTimesOut(e.request.attempts[e.number])
	case attemptCanceled:
		s.attemptCanceled(e.request.attempts[e.number])
	}
}

// timerFires lets a gateway handle its timer, unless the timer has been set again since the event was scheduled.
func (s *simulation) timerFires(e *event) {
	g := s.gateways[e.gateway]
	if g.timerAt != e.at {
		return
	}
	g.timerAt = 0
	s.runBatch(e.gateway, gateway.Event{Kind: gateway.TimerFired})
}

// gossipArrives delivers a message. It drops the message if the receiver has received GossipRateLimit messages within
// the last second.
func (s *simulation) gossipArrives(e *event) {
	g := s.gateways[e.gateway]
	expired := 0
	for expired < len(g.recentMessages) && g.recentMessages[expired] <= s.now.Add(-time.Second) {
		expired++
	}
	g.recentMessages = g.recentMessages[expired:]
	if float64(len(g.recentMessages)) >= s.config.GossipRateLimit {
		s.report.DroppedMessages++
		return
	}
	g.recentMessages = append(g.recentMessages, s.now)
	s.report.Messages++
	s.report.MessageBytes += len(e.body)
	s.runBatch(e.gateway, gateway.Event{Kind: gateway.GossipReceived, Peer: e.sender, Message: e.body})
}

// send sends a request, or a retry of one, to a random gateway of the customer's set. retries is the number of retries
// so far, this one included.
func (s *simulation) send(c *customer, deadline gateway.Time, retries int) {
	s.lastRequest++
	r := &request{
		id:       fmt.Sprintf("r%d", s.lastRequest),
		customer: c,
		arrived:  s.now,
		deadline: deadline,
		retries:  retries,
		attempts: map[int]*attempt{},
	}
	r.gateway = (c.firstGateway + s.drawGateway(c)) % len(s.gateways)
	c.report.Requests++
	s.requests[r.id] = r
	s.report.Requests++
	s.report.Plans[c.plan].Requests++
	s.runBatch(r.gateway, gateway.Event{
		Kind:         gateway.RequestArrived,
		RequestID:    r.id,
		Customer:     c.name,
		Plan:         c.plan,
		Deadline:     deadline,
		Units:        1,
		Spread:       c.spread,
		FirstGateway: c.firstGateway,
	})
}

// runBatch lets the gateway with an index handle a batch of one event.
func (s *simulation) runBatch(index int, e gateway.Event) {
	s.report.Batches++
	batch := &gateway.Batch{Now: s.now, Events: []gateway.Event{e}}
	s.gateways[index].logic.Decide(batch, executor{s, index})
}
