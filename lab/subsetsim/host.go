package subsetsim

import (
	"time"

	"ravensill/gateway"
)

// host is a simulated host, which works on as many attempts as it has slots and queues the others.
type host struct {
	id           uint32
	weight       float64
	startedAt    gateway.Time // 0: so long ago that the host is warm
	runningFrom  gateway.Time // start of the time in which the host is in the endpoint list
	runningUntil gateway.Time // end of that time; math.MaxInt64: not known yet
	silentUntil  gateway.Time // until then the host answers nothing; 0: it was never silent
	slots        int
	busySlots    int
	slow         bool // takes slowFactor times as long for each attempt
	queue        []*attempt
	received     []int // number of attempts received, by bin
}

func (h *host) endpoint() gateway.Endpoint {
	return gateway.Endpoint{Host: h.id, Weight: h.weight, StartedAt: h.startedAt}
}

// warmUpFactor returns the ratio of the host's speed to that of a warm host, from initialSpeedFactor to 1.
func (h *host) warmUpFactor(now gateway.Time) float64 {
	age := now.Sub(h.startedAt)
	if h.startedAt == 0 || age >= warmUpTime {
		return 1
	}
	return initialSpeedFactor + (1-initialSpeedFactor)*float64(age)/float64(warmUpTime)
}

// effectiveWeight returns the host's weight at an instant, scaled by its warm-up: 0 while it does not run or is silent.
func (h *host) effectiveWeight(now gateway.Time) float64 {
	if now < h.runningFrom || now >= h.runningUntil || now < h.silentUntil {
		return 0
	}
	return h.weight * h.warmUpFactor(now)
}

// receiveAttempt counts and queues an attempt that arrives at a host, and starts it if a slot is free.
func (s *simulation) receiveAttempt(h *host, a *attempt) {
	bin := binAt(s.now.Sub(startTime))
	for len(h.received) <= bin {
		h.received = append(h.received, 0)
	}
	h.received[bin]++
	h.queue = append(h.queue, a)
	s.startQueued(h)
}

// startQueued starts queued attempts of a host while it has free slots. Attempts that ended in the queue are dropped.
func (s *simulation) startQueued(h *host) {
	for s.now >= h.silentUntil && h.busySlots < h.slots && len(h.queue) > 0 {
		next := h.queue[0]
		h.queue = h.queue[1:]
		if next.ended {
			continue
		}
		h.busySlots++
		work := s.random.ExpFloat64() * float64(s.scenario.MeanWork) / h.warmUpFactor(s.now)
		if h.slow {
			work *= slowFactor
		}
		s.after(time.Duration(work), func() {
			h.busySlots--
			if s.now >= h.silentUntil {
				next.end(gateway.Succeeded, []float64{float64(h.busySlots) / float64(h.slots)})
			}
			s.startQueued(h)
		})
	}
}
