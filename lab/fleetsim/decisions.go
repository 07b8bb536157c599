package fleetsim

import (
	"bytes"
	"time"
)

// minRetryDelay is the shortest time after which a client retries a rejected request.
const minRetryDelay = 50 * time.Millisecond

// executor executes the decisions of one gateway in the simulation.
type executor struct {
	simulation *simulation
	gateway    int // index
}

// StartAttempt sends an attempt to a host. The first attempt of a request takes a unit from the customer's true
// buckets. The attempt ends after timeout, if that is positive, and at the request's deadline at the latest.
func (x executor) StartAttempt(id string, host uint32, timeout time.Duration) {
	s := x.simulation
	r := s.requests[id]
	if r == nil {
		return
	}
	c := r.customer
	if !r.forwarded {
		r.forwarded = true
		s.countForwarded(c)
	}
	c.inFlight++
	a := &attempt{request: r, host: int(host) - 1, number: len(r.attempts)}
	r.attempts[a.number] = a
	s.gateways[x.gateway].hostsUsed[a.host] = true
	timesOutAt := r.deadline
	if timeout > 0 {
		timesOutAt = min(timesOutAt, s.now.Add(timeout))
	}
	arrival := s.now.Add(s.config.NetworkDelay)
	s.addEvent(&event{at: arrival, kind: attemptArrives, host: a.host, request: r, number: a.number})
	s.addEvent(&event{at: timesOutAt, kind: attemptTimesOut, request: r, number: a.number})
}

// CancelAttempt cancels an attempt. The gateway handles the end of the attempt in a later batch.
func (x executor) CancelAttempt(id string, number int) {
	s := x.simulation
	if r := s.requests[id]; r != nil {
		s.addEvent(&event{at: s.now, kind: attemptCanceled, request: r, number: number})
	}
}

// Reject rejects a request. The client retries it after a time if it has retries left and the deadline allows.
func (x executor) Reject(id string, after time.Duration) {
	s := x.simulation
	r := s.requests[id]
	if r == nil || r.answered {
		return
	}
	r.answered = true
	s.countRejected(r.customer)
	if r.retries >= s.config.MaxRetries {
		return
	}
	retryAt := s.now.Add(max(after, minRetryDelay))
	if retryAt < r.deadline {
		s.addEvent(&event{
			at:       retryAt,
			kind:     clientRetries,
			customer: r.customer.id,
			number:   r.retries + 1,
			deadline: r.deadline,
		})
	}
}

// Fail answers a request with an error.
func (x executor) Fail(id string) {
	if r := x.simulation.requests[id]; r != nil {
		r.answered = true
	}
}

// SendGossip sends a message to the gateway with index peer, unless it is lost.
func (x executor) SendGossip(peer int, body []byte) {
	s := x.simulation
	if peer < 0 || peer >= len(s.gateways) || s.random.Float64() < s.config.GossipLoss {
		s.report.DroppedMessages++
		return
	}
	s.addEvent(&event{
		at:      s.now.Add(s.config.GossipDelay),
		kind:    gossipArrives,
		gateway: peer,
		sender:  x.gateway,
		body:    bytes.Clone(body),
	})
}

// SetTimer sets the gateway's timer and replaces one that was set before.
func (x executor) SetTimer(after time.Duration) {
	s := x.simulation
	at := s.now.Add(after)
	s.gateways[x.gateway].timerAt = at
	s.addEvent(&event{at: at, kind: timerFires, gateway: x.gateway})
}

// SendProbe does nothing: hosts report their load with their answers.
func (x executor) SendProbe(uint32) {}

// WatchEndpoints does nothing: the host list does not change.
func (x executor) WatchEndpoints() {}

// AddToCounter does nothing: there is no shared counter.
func (x executor) AddToCounter(uint64, float64, time.Duration) {}

// LogNote does nothing: the simulation has no log.
func (x executor) LogNote(string) {}
