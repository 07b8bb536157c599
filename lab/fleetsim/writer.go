package fleetsim

import "time"

// writer carries out one gateway's decisions.
type writer struct {
	sim     *simulation
	gateway int
}

// Dispatch starts an attempt. The first one of a request takes its unit from the true buckets.
func (w writer) StartAttempt(id string, host uint32, timeout time.Duration) {
	s := w.sim
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
	a := &attempt{request: r, host: int(host) - 1, number: len(r.attempts)}
	r.attempts[a.number] = a
	s.gateways[w.gateway].hostsUsed[a.host] = true
	wait := r.deadline - s.now
	if timeout > 0 {
		wait = min(wait, int64(timeout))
	}
	arrival := s.now + int64(s.config.NetDelay)
	s.add(&event{at: arrival, kind: attemptArrives, host: a.host, request: r, number: a.number})
	s.add(&event{at: s.now + wait, kind: attemptTimesOut, request: r, number: a.number})
}

// Cancel cancels an attempt; the gateway is told in a batch of its own.
func (w writer) CancelAttempt(id string, number int) {
	s := w.sim
	if r := s.requests[id]; r != nil {
		s.add(&event{at: s.now, kind: attemptCanceled, request: r, number: number})
	}
}

// Reject rejects a request, which its client may retry after the time that it is told.
func (w writer) Reject(id string, after time.Duration) {
	s := w.sim
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
func (w writer) Fail(id string) {
	if r := w.sim.requests[id]; r != nil {
		r.answered = true
	}
}

// Send sends a message to a peer.
func (w writer) SendGossip(peer int, body []byte) {
	s := w.sim
	if peer < 0 || peer >= len(s.gateways) || s.random.Float64() < s.config.GossipLoss {
		s.report.Dropped++
		return
	}
	s.add(&event{
		at:      s.now + int64(s.config.GossipDelay),
		kind:    gossipArrives,
		gateway: peer,
		sender:  w.gateway,
		body:    append([]byte(nil), body...),
	})
}

// Wake sets the gateway's timer.
func (w writer) SetTimer(after time.Duration) {
	s := w.sim
	at := s.now + int64(after)
	s.gateways[w.gateway].timerAt = at
	s.add(&event{at: at, kind: timerFires, gateway: w.gateway})
}

// Probe does nothing: hosts report their load in answers.
func (w writer) SendProbe(uint32) {}

// Follow does nothing: the host list does not change.
func (w writer) WatchEndpoints() {}

// Count does nothing: there is no shared counter.
func (w writer) AddToCounter(uint64, float64, time.Duration) {}

// Note does nothing: nobody reads a log.
func (w writer) LogNote(string) {}
