package leasesim

import (
	"time"

	"ravensill/pool"
)

// Gateway is a gateway with its connections to the store and the process that holds its lease.
type Gateway struct {
	Leaseholder *pool.Leaseholder // nil while the process is down
	// Connections holds, for each open connection, the true time at which its request ends; 0 for an idle connection.
	Connections    []time.Duration
	Demand         func(now time.Duration) float64 // number of requests that would be in flight without a limit
	MaxServiceTime time.Duration                   // requests take from half of this time to all of it
	clock
	member      int
	incarnation uint64
	frozenUntil time.Duration // true time; 0: the process is not frozen
	downUntil   time.Duration // true time until which the process does not restart
}

// Allowed returns the number of connections that the gateway may have at a true time. Its process must not be down.
func (g *Gateway) Allowed(now time.Duration) int { return g.Leaseholder.Allowed(g.at(now)) }

// startGateway starts a new process of a gateway, with a new clock and incarnation. The old process ends and its
// connections are closed.
func (s *Simulation) startGateway(member int) {
	s.StopGateway(member, 0)
	s.lastIncarnation++
	g := s.Gateways[member]
	g.clock = s.newClock()
	g.incarnation = s.lastIncarnation
	s.newLeaseholder(g)
}

func (s *Simulation) newLeaseholder(g *Gateway) {
	g.Leaseholder = pool.NewLeaseholder(&s.Terms, g.member, g.incarnation, 1, 1, s.Ledger.Capacity, g.at(s.Now))
}

// UseExtremeClocks restarts a gateway with the slowest clock that Faults allows and gives the leader the fastest.
func (s *Simulation) UseExtremeClocks(member int) {
	s.Leader.rate = 1 + s.Faults.MaxDrift
	s.startGateway(member)
	g := s.Gateways[member]
	g.rate = 1 - s.Faults.MaxDrift
	s.newLeaseholder(g)
}

// StopGateway ends the process of a gateway, which closes its connections. A new process starts after the downtime.
func (s *Simulation) StopGateway(member int, downtime time.Duration) {
	g := s.Gateways[member]
	g.Connections = nil
	g.Leaseholder = nil
	g.frozenUntil = 0
	g.downUntil = s.Now + downtime
}

// FreezeGateway suspends the process of a gateway for a time, unless it is already suspended. Its connections stay
// open.
func (s *Simulation) FreezeGateway(member int, duration time.Duration) {
	g := s.Gateways[member]
	if g.frozenUntil == 0 {
		g.frozenUntil = s.Now + duration
	}
}

// receiveGrant delivers a grant to a gateway. A grant to a frozen process waits, as in a socket buffer, until the
// process continues; one to a process that is down is lost.
func (s *Simulation) receiveGrant(g *Gateway, grant *pool.Grant) {
	if g.Leaseholder == nil {
		return
	}
	if g.frozenUntil > s.Now {
		s.schedule(g.frozenUntil+1, func() { s.receiveGrant(g, grant) })
		return
	}
	g.Leaseholder.Receive(g.at(s.Now), grant)
}

// stepGateway lets a gateway act, unless its process is frozen or down: it ends requests, closes connections that it
// may no longer have, starts requests and reports its usage.
func (s *Simulation) stepGateway(g *Gateway) {
	if g.frozenUntil > 0 && s.Now >= g.frozenUntil {
		g.frozenUntil = 0
	}
	if g.frozenUntil > 0 || s.Now < g.downUntil {
		return
	}
	if g.Leaseholder == nil {
		s.startGateway(g.member)
	}
	busy := g.endRequests(s.Now)
	allowed := g.Allowed(s.Now)
	g.closeIdle(allowed)
	demand := int(g.Demand(s.Now) + s.random.Float64())
	busy = s.startRequests(g, busy, demand, allowed)
	g.Leaseholder.SetUsage(g.at(s.Now), len(g.Connections), max(busy, demand))
	report := g.Leaseholder.Report(g.at(s.Now))
	if report != nil {
		s.sendReport(g.member, report)
	}
}

// endRequests makes connections idle whose request has ended, and returns the number of busy ones.
func (g *Gateway) endRequests(now time.Duration) int {
	busy := 0
	for i, end := range g.Connections {
		switch {
		case end == 0:
		case end <= now:
			g.Connections[i] = 0
		default:
			busy++
		}
	}
	return busy
}

// closeIdle closes idle connections, the first ones first, until at most limit are left or all are busy.
func (g *Gateway) closeIdle(limit int) {
	kept := g.Connections[:0]
	for i, end := range g.Connections {
		remaining := len(g.Connections) - i
		if end == 0 && len(kept)+remaining > limit {
			continue
		}
		kept = append(kept, end)
	}
	g.Connections = kept
}

// startRequests starts requests on idle and on new connections up to the demand and returns the number of busy
// connections.
func (s *Simulation) startRequests(g *Gateway, busy, demand, allowed int) int {
	requestEnd := func() time.Duration {
		return s.Now + g.MaxServiceTime/2 + s.randomDuration(g.MaxServiceTime/2)
	}
	for i, end := range g.Connections {
		if end == 0 && busy < demand {
			g.Connections[i] = requestEnd()
			busy++
		}
	}
	for busy < demand && len(g.Connections) < allowed {
		g.Connections = append(g.Connections, requestEnd())
		busy++
	}
	return busy
}

// sendReport sends a report to the leader, or sometimes to a deposed leader, as a gateway that has not learned of the
// election does.
func (s *Simulation) sendReport(member int, report *pool.Report) {
	leader := s.Leader
	if len(s.deposedLeaders) > 0 && s.random.IntN(staleReportOdds) == 0 {
		leader = s.deposedLeaders[s.random.IntN(len(s.deposedLeaders))]
	}
	s.send(member, ReportsLost, func() {
		if leader.Grantor != nil {
			leader.Grantor.Receive(leader.at(s.Now), report)
		}
	})
}
