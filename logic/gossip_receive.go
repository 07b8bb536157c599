package logic

import (
	"maps"
	"slices"
)

// receiveGossip handles a message of a peer.
func (g *Gateway) receiveGossip(from int, message []byte) {
	if from < 0 || from >= len(g.peers) || g.peers[from] == nil {
		return
	}
	p := g.peers[from]
	header := func(incarnation, sequence uint64) bool { return g.receiveHeader(p, incarnation, sequence) }
	counter := func(hash, plan uint32, spread, firstGateway int, total, owed uint64) {
		index, known := g.planIndex(hash, plan)
		if !known {
			g.unmatchedCounters++
			return
		}
		g.subtractReceived(p, g.customerFor(hash, index, spread, firstGateway), total, owed)
	}
	g.format.Decode(message, header, g.endpoints.clearSuspicion, counter)
}

// receiveHeader records that a peer is alive. It returns false for a message that was overtaken by a later one;
// the rest of it is not read.
func (g *Gateway) receiveHeader(p *peer, incarnation, sequence uint64) bool {
	if g.overtaken(p, incarnation, sequence) {
		return false
	}
	restarted := incarnation != p.incarnation
	if restarted {
		p.incarnationSeen = g.now
		for _, hash := range slices.Sorted(maps.Keys(g.customers)) {
			g.customers[hash].queueCounters(false, p)
		}
	}
	if restarted || g.now.Sub(p.lastReceived) > 2*g.peerTimeout { // its next counters are first ones again
		p.incarnation = incarnation
		p.firstReceived = g.now
	}
	p.lastReceived = g.now
	p.sequence = sequence
	g.lastGossip = g.now
	return true
}

// overtaken reports whether a later message of the peer was received before this one. Incarnations are numbered
// by the peer's wall clock, so one that restarts after its clock was set back has a lower number. Its messages
// count as overtaken as long as such a message may be under way: until the later incarnation has been silent
// for the peer timeout.
func (g *Gateway) overtaken(p *peer, incarnation, sequence uint64) bool {
	if incarnation == p.incarnation {
		return sequence <= p.sequence
	}
	return incarnation < p.incarnation && g.now.Sub(p.lastReceived) <= g.peerTimeout
}

// planIndex returns the index of the plan that a counter names. It is unknown if there is no such plan here, or
// if the customer is on another one.
func (g *Gateway) planIndex(hash, plan uint32) (index int, known bool) {
	if !g.format.PlansByID {
		return int(plan), true
	}
	index, known = g.planByID[plan]
	if c := g.customers[hash]; c != nil && c.planIndex != index {
		return index, false
	}
	return index, known
}

// subtractReceived subtracts what a peer admitted since its last counter, and queues that for the other rows.
// Of a first or lower counter it subtracts the debt that the peer states; the rest is only recorded.
func (g *Gateway) subtractReceived(p *peer, c *customer, total, owed uint64) {
	i := slices.IndexFunc(c.subscriptions, func(s subscription) bool { return s.peer == p })
	if i < 0 {
		return
	}
	g.refill(c)
	s := &c.subscriptions[i]
	last := s.receivedTotal
	if s.lastReceived < p.firstReceived || s.lastReceived == 0 || total < last {
		last = total - owed
	}
	units := float64(total-last) / counterScale
	if units > 0 {
		g.subtract(c, units)
	}
	if units > 0 && p.counter == ownCounter {
		c.counters[rowCounter] += units
		c.queueCounters(false, nil)
	}
	s.receivedTotal = total
	s.lastReceived = g.now
	c.lastAdmission = g.now
}
