package subsetsim

import (
	"time"

	"ravensill/gateway"
)

// host is a simulated host with slots and a queue.
type host struct {
	id           uint32
	weight       float64
	startedAt    gateway.Time // 0: long ago
	runningFrom  gateway.Time // by the endpoint list, as runningUntil
	runningUntil gateway.Time
	silentUntil  gateway.Time
	slots        int
	busySlots    int
	slow         bool
	queue        []*attempt
	received     []int // attempts, by bin
}

func (h *host) endpoint() gateway.Endpoint {
	return gateway.Endpoint{Host: h.id, Weight: h.weight, StartedAt: h.startedAt}
}

// warmUpFactor returns the host's speed over that of a warm one.
func (h *host) warmUpFactor(now gateway.Time) float64 {
	age := now.Sub(h.startedAt)
	if h.startedAt == 0 || age >= warmUpTime {
		return 1
	}
	return warmUpInitial + (1-warmUpInitial)*float64(age)/float64(warmUpTime)
}

// effectiveWeight returns the host's weight among all at an instant: 0 while it does not run or is silent.
func (h *host) effectiveWeight(now gateway.Time) float64 {
	if now < h.runningFrom || now >= h.runningUntil || now < h.silentUntil {
		return 0
	}
	return h.weight * h.warmUpFactor(now)
}

// receive queues an attempt.
func (s *simulation) receive(h *host, a *attempt) {
	bin := binAt(s.now.Sub(startTime))
	for len(h.received) <= bin {
		h.received = append(h.received, 0)
	}
	h.received[bin]++
	h.queue = append(h.queue, a)
	s.work(h)
}

// work starts the queued attempts of a host while it has free slots.
func (s *simulation) work(h *host) {
	for s.now >= h.silentUntil && h.busySlots < h.slots && len(h.queue) > 0 {
		next := h.queue[0]
		h.queue = h.queue[1:]
		if next.ended {
			continue
		}
		h.busySlots++
		work := s.random.ExpFloat64() * float64(s.day.MeanWork) / h.warmUpFactor(s.now)
		if h.slow {
			work *= slowFactor
		}
		s.after(time.Duration(work), func() {
			h.busySlots--
			if s.now >= h.silentUntil {
				next.end(gateway.Succeeded, []float64{float64(h.busySlots) / float64(h.slots)})
			}
			s.work(h)
		})
	}
}
