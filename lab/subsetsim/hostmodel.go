package subsetsim

import (
	"math"
	"time"

	"ravensill/gateway"
)

const (
	lightWeight = 0.25
	slowFactor  = 3
	notRemoved  = math.MaxInt64 // host.runsUntil of a host that is not removed
)

// host is a simulated host.
type host struct {
	id          uint32
	weight      float64
	startedAt   int64 // 0: warmed up
	runsFrom    int64
	runsUntil   int64
	silentUntil int64
	slots       int
	busy        int // slots
	slow        bool
	queue       []*attempt
	received    []int // attempts by bin
}

// endpoint returns the host's entry in the host list.
func (h *host) endpoint(state gateway.EndpointState) gateway.Endpoint {
	return gateway.Endpoint{Host: h.id, Weight: h.weight, StartedAt: gateway.Time(h.startedAt), State: state}
}

// warmUpFactor returns the fraction of the host's speed at a time.
func (h *host) warmUpFactor(now int64) float64 {
	age := now - h.startedAt
	if h.startedAt == 0 || age >= int64(warmUp) {
		return 1
	}
	return coldFraction + (1-coldFraction)*float64(age)/float64(warmUp)
}

// share returns the host's weight, with its warm-up, in what is sent at a time; 0 if it does not run or is silent.
func (h *host) share(now int64) float64 {
	if now < h.runsFrom || now >= h.runsUntil || now < h.silentUntil {
		return 0
	}
	return h.weight * h.warmUpFactor(now)
}

// addHost starts a host, cold if startedAt is not 0. A light host has a quarter of the weight and of the slots.
func (s *simulation) addHost(startedAt int64, light bool) *host {
	added := &host{
		id:        uint32(mix(s.day.Seed<<32+uint64(len(s.hosts))))&0x7ffffff | 1,
		weight:    1,
		startedAt: startedAt,
		runsFrom:  s.now,
		runsUntil: notRemoved,
		slots:     s.day.Slots,
	}
	if light {
		added.weight = lightWeight
		added.slots = max(s.day.Slots/4, 1)
	}
	s.hosts = append(s.hosts, added)
	s.byID[added.id] = added
	return added
}

// runningHosts returns the hosts that are not removed.
func (s *simulation) runningHosts() (hosts []*host) {
	for _, host := range s.hosts {
		if host.runsUntil == notRemoved {
			hosts = append(hosts, host)
		}
	}
	return hosts
}

// replaceHost removes a host and starts another of the same weight.
func (s *simulation) replaceHost(removed *host, startedAt int64, late bool) {
	removed.runsUntil = s.now
	added := s.addHost(startedAt, removed.weight < 1)
	gone := gateway.Endpoint{Host: removed.id, Weight: removed.weight, State: gateway.Gone}
	s.sendListChange(late, gone, added.endpoint(gateway.Running))
}

// receive counts and queues an attempt.
func (s *simulation) receive(host *host, received *attempt) {
	bin := int((s.now - s.result.start) / binLength)
	for len(host.received) <= bin {
		host.received = append(host.received, 0)
	}
	host.received[bin]++
	host.queue = append(host.queue, received)
	s.serveQueue(host)
}

// serveQueue serves attempts that wait at a host while it has free slots.
func (s *simulation) serveQueue(host *host) {
	for s.now >= host.silentUntil && host.busy < host.slots && len(host.queue) > 0 {
		next := host.queue[0]
		host.queue = host.queue[1:]
		if next.ended {
			continue
		}
		host.busy++
		workTime := s.random.ExpFloat64() * float64(s.day.WorkTime) / host.warmUpFactor(s.now)
		if host.slow {
			workTime *= slowFactor
		}
		s.after(time.Duration(workTime), func() {
			host.busy--
			if s.now >= host.silentUntil {
				next.end(gateway.Succeeded, float64(host.busy)/float64(host.slots))
			}
			s.serveQueue(host)
		})
	}
}
