package leasesim

import "ravensill/pool"

// Gateway is one gateway: its leaseholder and its connections.
type Gateway struct {
	Leaseholder    *pool.Leaseholder       // nil: the process is down
	Conns          []int64                 // end of each connection's request; 0: idle
	Demand         func(now int64) float64 // requests that it would have in flight
	RequestTime    int64                   // maximum
	FrozenUntil    int64                   // 0: not frozen
	DownUntil      int64
	Incarnation    uint64
	AllowedChanges int // changes of what it may hold, by grants

	member int // index
	clock
}

// Allowed returns the connections that the gateway may hold at a true time.
func (g *Gateway) Allowed(now int64) int { return g.Leaseholder.Allowed(g.at(now)) }

// Start starts a gateway's process. If one runs, it is killed and its connections end.
func (s *Simulation) Start(member int) {
	gateway := s.Gateways[member]
	s.Kill(member, 0)
	s.incarnations++
	gateway.clock = s.newClock()
	gateway.Incarnation = s.incarnations
	s.newLeaseholder(gateway)
}

// newLeaseholder replaces a gateway's leaseholder by an empty one.
func (s *Simulation) newLeaseholder(gateway *Gateway) {
	gateway.Leaseholder = pool.NewLeaseholder(&s.Terms, gateway.member, gateway.Incarnation, 1, 1,
		s.Ledger.Capacity, gateway.at(s.Now))
}

// SetWorstClocks sets the slowest clock that is allowed at a gateway and the fastest at the leader.
func (s *Simulation) SetWorstClocks(member int) {
	s.Leader.rate = 1 + s.Faults.Drift
	s.Start(member)
	s.Gateways[member].rate = 1 - s.Faults.Drift
	s.newLeaseholder(s.Gateways[member])
}

// Kill kills a gateway's process, which is down for a duration.
func (s *Simulation) Kill(member int, duration int64) {
	gateway := s.Gateways[member]
	gateway.Conns = nil
	gateway.FrozenUntil = 0
	gateway.Leaseholder = nil
	gateway.DownUntil = s.Now + duration
}

// Freeze stops a gateway's process for a duration. Its connections stay.
func (s *Simulation) Freeze(member int, duration int64) {
	gateway := s.Gateways[member]
	if gateway.FrozenUntil == 0 {
		gateway.FrozenUntil = s.Now + duration
	}
}

// receiveGrant has a gateway receive a grant, after it is no longer frozen.
func (s *Simulation) receiveGrant(gateway *Gateway, grant *pool.Grant) {
	if gateway.Leaseholder == nil {
		return
	}
	if gateway.FrozenUntil > s.Now {
		s.messages.Add(gateway.FrozenUntil+1, func() { s.receiveGrant(gateway, grant) })
		return
	}
	before := gateway.Allowed(s.Now)
	gateway.Leaseholder.Receive(gateway.at(s.Now), grant)
	if gateway.Allowed(s.Now) != before {
		gateway.AllowedChanges++
	}
}

// stepGateway has a gateway act: requests end, connections are closed and opened, and it reports.
func (s *Simulation) stepGateway(gateway *Gateway) {
	if gateway.FrozenUntil > 0 && s.Now >= gateway.FrozenUntil {
		gateway.FrozenUntil = 0
	}
	if gateway.FrozenUntil > 0 || s.Now < gateway.DownUntil {
		return
	}
	if gateway.Leaseholder == nil {
		s.Start(gateway.member)
	}
	inUse := gateway.endRequests(s.Now)
	allowed := gateway.Allowed(s.Now)
	gateway.closeIdle(allowed)
	wanted := int(gateway.Demand(s.Now) + s.random.Float64())
	inUse = s.startRequests(gateway, inUse, wanted, allowed)
	now := gateway.at(s.Now)
	gateway.Leaseholder.SetUsage(now, len(gateway.Conns), max(inUse, wanted))
	if report := gateway.Leaseholder.Report(now); report != nil {
		s.sendReport(gateway, report)
	}
}

// endRequests ends the requests whose time is over, and returns the number of connections in use.
func (g *Gateway) endRequests(now int64) (inUse int) {
	for i, end := range g.Conns {
		switch {
		case end == 0:
		case end <= now:
			g.Conns[i] = 0
		default:
			inUse++
		}
	}
	return inUse
}

// closeIdle closes idle connections until no more than a number are left.
func (g *Gateway) closeIdle(limit int) {
	left := g.Conns[:0]
	for i, end := range g.Conns {
		if end == 0 && len(left)+len(g.Conns)-i > limit {
			continue
		}
		left = append(left, end)
	}
	g.Conns = left
}

// startRequests starts requests on idle connections and on new ones, and returns the number of connections in use.
func (s *Simulation) startRequests(gateway *Gateway, inUse, wanted, allowed int) int {
	for i, end := range gateway.Conns {
		if end == 0 && inUse < wanted {
			gateway.Conns[i] = s.drawEnd(gateway)
			inUse++
		}
	}
	for inUse < wanted && len(gateway.Conns) < allowed {
		gateway.Conns = append(gateway.Conns, s.drawEnd(gateway))
		inUse++
	}
	return inUse
}

// drawEnd draws the end of a request that starts now.
func (s *Simulation) drawEnd(gateway *Gateway) int64 {
	half := gateway.RequestTime / 2
	return s.Now + half + int64(s.random.Uint64N(uint64(half)))
}

// sendReport sends a gateway's report to the leader, or to a deposed one that the gateway still believes in.
func (s *Simulation) sendReport(gateway *Gateway, report *pool.Report) {
	leader := s.Leader
	if len(s.deposedLeaders) > 0 && s.random.IntN(8) == 0 {
		leader = s.deposedLeaders[s.random.IntN(len(s.deposedLeaders))]
	}
	s.send(gateway.member, ToLeader, func() {
		if leader.Grantor != nil {
			leader.Grantor.Step(leader.at(s.Now), report)
		}
	})
}
