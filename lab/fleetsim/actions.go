package fleetsim

import "time"

// actions carries out one gateway's decisions.
type actions struct {
	simulation *simulation
	gateway    int
}

// StartAttempt starts an attempt. The first one of a request takes its unit from the true buckets.
func (a actions) StartAttempt(id string, host uint32, timeout time.Duration) {
	s := a.simulation
	r := s.requests[id]
	if r == nil {
		return
	}
	c := r.customer
	if !r.sent {
		r.sent = true
		s.admit(c)
	}
	c.inFlight++
	started := &attempt{request: r, host: int(host) - 1, number: len(r.attempts)}
	r.attempts[started.number] = started
	s.gateways[a.gateway].hostsUsed[started.host] = true
	wait := r.deadline - s.now
	if timeout > 0 {
		wait = min(wait, int64(timeout))
	}
	arrival := s.now + int64(s.config.NetDelay)
	s.add(&event{at: arrival, kind: attemptArrives, host: started.host, request: r, number: started.number})
	s.add(&event{at: s.now + wait, kind: attemptTimesOut, request: r, number: started.number})
}

// CancelAttempt cancels an attempt. The gateway learns it in a batch of its own.
func (a actions) CancelAttempt(id string, number int) {
	s := a.simulation
	if r := s.requests[id]; r != nil {
		s.add(&event{at: s.now, kind: attemptCanceled, request: r, number: number})
	}
}

// Reject rejects a request. Its client may retry after the retry-after time.
func (a actions) Reject(id string, after time.Duration) {
	s := a.simulation
	r := s.requests[id]
	if r == nil || r.answered {
		return
	}
	r.answered = true
	s.reject(r.customer)
	if r.retries >= s.config.Retries {
		return
	}
	retryAt := s.now + max(int64(after), 50*millisecond)
	if retryAt < r.deadline {
		s.add(&event{
			at:       retryAt,
			kind:     clientRetries,
			customer: r.customer.id,
			number:   r.retries + 1,
			deadline: r.deadline,
		})
	}
}

// Fail fails a request.
func (a actions) Fail(id string) {
	if r := a.simulation.requests[id]; r != nil {
		r.answered = true
	}
}

// SendGossip sends a message to a peer.
func (a actions) SendGossip(peer int, body []byte) {
	s := a.simulation
	if peer < 0 || peer >= len(s.gateways) || s.random.Float64() < s.config.GossipLoss {
		s.report.Dropped++
		return
	}
	s.add(&event{
		at:      s.now + int64(s.config.GossipDelay),
		kind:    gossipArrives,
		gateway: peer,
		sender:  a.gateway,
		body:    append([]byte(nil), body...),
	})
}

// SetTimer sets the gateway's timer.
func (a actions) SetTimer(after time.Duration) {
	s := a.simulation
	at := s.now + int64(after)
	s.gateways[a.gateway].timerAt = at
	s.add(&event{at: at, kind: timerFires, gateway: a.gateway})
}

// SendProbe does nothing: hosts report their load in answers.
func (a actions) SendProbe(uint32) {}

// WatchEndpoints does nothing: the host list does not change.
func (a actions) WatchEndpoints() {}

// AddToCounter does nothing: there is no shared counter.
func (a actions) AddToCounter(uint64, float64, time.Duration) {}

// LogNote does nothing: there is no log.
func (a actions) LogNote(string) {}
