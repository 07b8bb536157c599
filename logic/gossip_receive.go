package logic

import (
	"maps"
	"slices"
)

// receiveGossip handles a gossip message of a member. Messages of members that are not neighbors are dropped.
func (g *Gateway) receiveGossip(from int, message []byte) {
	if from < 0 || from >= len(g.peers) || g.peers[from] == nil {
		return
	}
	p := g.peers[from]
	header := func(incarnation, sequence uint64) bool { return g.receiveHeader(p, incarnation, sequence) }
	counter := func(hash, plan uint32, spread, firstGateway int, total, debt uint64) {
		index, known := g.planIndex(hash, plan)
		if !known {
			g.unmatchedCounters++
			return
		}
		if c := g.customerFor(hash, index, spread, firstGateway); c != nil {
			g.receiveCounter(p, c, total, debt)
		}
	}
	g.gossipFormat.Decode(message, header, g.endpoints.reduceSuspicion, counter)
}

// receiveHeader records a message of a peer by its header. It returns false for a message that a later one
// overtook; the rest of such a message is not read. To a restarted peer the counters of all customers are sent
// again.
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
	if restarted || g.now.Sub(p.lastReceived) > 2*g.peerTimeout { // its next counters have nothing to be compared with
		p.incarnation = incarnation
		p.firstReceived = g.now
	}
	p.lastReceived = g.now
	p.sequence = sequence
	g.lastGossip = g.now
	return true
}

// overtaken reports whether a message counts as overtaken by a later one of the same peer, and is to be dropped. An
// incarnation is numbered by the peer's wall clock at its start, so a peer that restarts after its clock was set
// back has a lower number. A message with a lower number may then be new, or a delayed one of a former incarnation.
// It is dropped until the incarnation with the higher number has been silent for the peer timeout.
func (g *Gateway) overtaken(p *peer, incarnation, sequence uint64) bool {
	if incarnation == p.incarnation {
		return sequence <= p.sequence
	}
	return incarnation < p.incarnation && g.now.Sub(p.lastReceived) <= g.peerTimeout
}

// planIndex returns the index of the plan that a counter names. known is false if this gateway has no such plan or
// has the customer on another one.
func (g *Gateway) planIndex(hash, plan uint32) (index int, known bool) {
	if !g.gossipFormat.PlansByID {
		return int(plan), true
	}
	index, known = g.planByID[plan]
	if c := g.customers[hash]; c != nil && c.planIndex != index {
		return index, false
	}
	return index, known
}

// receiveCounter subtracts the units that a peer admitted since its previous counter from the customer's bucket,
// and queues them for the other rows if the peer is in this row. If there is no previous counter to compare with,
// or the counter is lower than it, only the debt that the peer states is subtracted. total and debt are in parts of
// a unit (counterScale).
func (g *Gateway) receiveCounter(p *peer, c *customer, total, debt uint64) {
	i := slices.IndexFunc(c.subscriptions, func(s subscription) bool { return s.peer == p })
	if i < 0 {
		return
	}
	g.refill(c)
	s := &c.subscriptions[i]
	previousTotal := s.receivedTotal
	if s.lastReceived < p.firstReceived || s.lastReceived == 0 || total < previousTotal {
		previousTotal = total - debt
	}
	units := float64(total-previousTotal) / counterScale
	if units > 0 {
		g.subtractPeerUnits(c, units)
	}
	if units > 0 && p.counterIndex == ownCounter {
		c.counters[rowCounter] += units
		c.queueCounters(false, nil)
	}
	s.receivedTotal = total
	s.lastReceived = g.now
	c.lastAdmission = g.now
}
