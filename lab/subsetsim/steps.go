package subsetsim

import (
	"math"
	"time"

	"ravensill/gateway"
)

// applyStep carries out a step of the scenario.
func (s *simulation) applyStep(step Step) {
	running := s.runningHosts()
	s.random.Shuffle(len(running), func(i, j int) { running[i], running[j] = running[j], running[i] })
	switch step.Kind {
	case HostsJoin:
		for range step.Count {
			h := s.addHost(s.now, false)
			s.notify(false, h.endpoint())
		}
	case HostsSilent:
		for _, h := range running[:step.Count] {
			h.silentUntil = s.now.Add(step.Duration)
			s.at(h.silentUntil, func() { s.startQueued(h) })
		}
	case ListsDiffer:
		s.replaceWithLateNotice(running[:step.Count], step.Duration)
	case HostsReplaced:
		for i, h := range running[:step.Count] {
			delay := step.Duration * time.Duration(i) / time.Duration(step.Count)
			s.after(delay, func() { s.replaceHost(h, s.now, false) })
		}
	case GatewaysRestart:
		for _, g := range s.drawGateways(step.Count) {
			g.stopped = true
			s.after(step.Duration, g.start)
		}
	case GatewaysPartitioned:
		for _, g := range s.drawGateways(step.Count) {
			g.partitionedUntil = s.now.Add(step.Duration)
		}
	}
}

func (s *simulation) runningHosts() []*host {
	var running []*host
	for _, h := range s.hosts {
		if h.runningUntil == math.MaxInt64 {
			running = append(running, h)
		}
	}
	return running
}

func (s *simulation) drawGateways(percent int) []*gatewayModel {
	var drawn []*gatewayModel
	for _, i := range s.random.Perm(len(s.gateways))[:len(s.gateways)*percent/100] {
		drawn = append(drawn, s.gateways[i])
	}
	return drawn
}

// replaceWithLateNotice replaces hosts by warm ones and notifies every second gateway with an additional delay. A
// replaced host keeps running for this delay, as the late gateways still use it.
func (s *simulation) replaceWithLateNotice(hosts []*host, delay time.Duration) {
	for _, g := range s.gateways {
		g.extraNotifyDelay = delay
	}
	for _, h := range hosts {
		s.replaceHost(h, 0, true)
		h.runningUntil = s.now.Add(delay)
	}
}

// replaceHost stops a host and starts another one in its place, with startedAt as in addHost. With lateNotice, every
// second gateway is notified with an additional delay.
func (s *simulation) replaceHost(h *host, startedAt gateway.Time, lateNotice bool) {
	h.runningUntil = s.now
	successor := s.addHost(startedAt, h.weight < 1)
	gone := gateway.Endpoint{Host: h.id, Weight: h.weight, State: gateway.Gone}
	s.notify(lateNotice, gone, successor.endpoint())
}

// notify sends changes of the endpoint list to all gateways, each after a random delay. With late, every second gateway
// receives them after an additional delay (its extraNotifyDelay). A gateway that stops or restarts in the meantime does
// not receive them.
func (s *simulation) notify(late bool, changes ...gateway.Endpoint) {
	for i, g := range s.gateways {
		delay := time.Duration(s.random.Float64() * float64(notifyDelay))
		if late && i%2 == 1 {
			delay += g.extraNotifyDelay
		}
		incarnation := g.incarnation
		s.after(delay, func() {
			if g.incarnation == incarnation && !g.stopped {
				g.updateEndpoints(gateway.ListChanges, changes)
			}
		})
	}
}
