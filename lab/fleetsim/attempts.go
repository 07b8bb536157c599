package fleetsim

import (
	"time"

	"ravensill/gateway"
)

func (s *simulation) attemptTimesOut(a *attempt) {
	if a == nil || a.ended {
		return
	}
	s.report.TimedOut++
	s.endAttempt(a, gateway.TimedOut)
}

func (s *simulation) attemptCanceled(a *attempt) {
	if a == nil || a.ended {
		return
	}
	s.endAttempt(a, gateway.Canceled)
}

// attemptArrives starts to serve an attempt that arrives at a host, or queues it if all slots are busy, or rejects it
// if the queue is full too.
func (s *simulation) attemptArrives(h *host, a *attempt) {
	if a == nil || a.ended {
		return
	}
	h.received++
	switch {
	case h.inService < s.config.Slots:
		s.serve(h, a)
	case len(h.queue) < s.config.QueueLength:
		h.queue = append(h.queue, a)
	default:
		s.report.RejectedByHost++
		s.endAttempt(a, gateway.Busy, 0)
	}
}

// hostFinishes ends the service of an attempt at its host, which then starts to serve queued ones.
func (s *simulation) hostFinishes(h *host, a *attempt) {
	h.inService--
	for len(h.queue) > 0 && h.inService < s.config.Slots {
		next := h.queue[0]
		h.queue = h.queue[1:]
		if !next.ended { // skip attempts that were canceled or timed out in the queue
			s.serve(h, next)
		}
	}
	if a != nil && !a.ended {
		s.endAttempt(a, gateway.Succeeded, float64(h.inService)/float64(s.config.Slots))
	}
}

// serve starts the service of an attempt at a host and schedules its end.
func (s *simulation) serve(h *host, a *attempt) {
	h.inService++
	serviceTime := time.Duration(s.random.ExpFloat64() * float64(s.config.ServiceTime))
	s.addEvent(&event{
		at:      s.now.Add(serviceTime + s.config.NetworkDelay),
		kind:    hostFinishes,
		host:    a.host,
		request: a.request,
		number:  a.number,
	})
}

// endAttempt ends an attempt and notifies its gateway. load is the load report in the host's answer, empty without one.
func (s *simulation) endAttempt(a *attempt, result gateway.Result, load ...float64) {
	a.ended = true
	r := a.request
	r.customer.inFlight--
	latency := s.now.Sub(r.arrived)
	if result == gateway.Succeeded && !r.answered {
		r.answered = true
		s.report.Succeeded++
		if latency > s.config.LatencyObjective {
			s.report.LateSuccesses++
		}
	}
	s.runBatch(r.gateway, gateway.Event{
		Kind:       gateway.AttemptEnded,
		RequestID:  r.id,
		Host:       uint32(a.host + 1),
		Attempt:    a.number,
		Result:     result,
		Latency:    latency,
		Closed:     r.answered,
		LoadReport: load,
	})
}
