package logic

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	gossipInterval  = time.Second / 2 // between counters to a peer, longer where a gateway may not take in that much
	silentIntervals = 4               // intervals with no message, after which a peer counts as gone
	gossipShare     = 0.4             // fraction of what a gateway takes in that its peers use, up to twice that
	minMessageRate  = 0.01            // messages a second to a peer
)

// setFleetSize takes in how many gateways there are: which of them this one sends to and hears, and how often. Counters are first
// counters again on both sides: among another number of gateways who sends what to whom may differ.
func (g *Gateway) setFleetSize(count int) {
	budget := g.membership.MessageRate * gossipShare
	g.format.Members = count
	g.gridRows = 1
	if float64(count-1) > budget*seconds(gossipInterval) {
		g.gridRows = int(math.Sqrt(float64(count)) + 0.5)
	}
	g.buildTopology(count)
	partners := max(count/g.gridRows+g.gridRows-2, 1)
	hops := min(g.gridRows, 2)
	g.messageRate = max(budget/float64(partners), minMessageRate)
	g.heartbeatInterval = max(gossipInterval, time.Duration(float64(time.Second)/g.messageRate))
	g.peerTimeout = silentIntervals * g.heartbeatInterval
	g.counterAge = 0.5 / g.messageRate * float64(hops)
	overdue := g.peerTimeout / time.Duration(max(len(g.neighbours), 1)) // several heartbeats are, from one peer or another
	g.partitionTimeout = max(overdue, 2*stallThreshold)
	g.endpoints.memberCount = count
	g.endpoints.limit.Start = initialInFlight / float64(count)
}

// The grid in which gateways tell each other what they admit: where a message to each peer an interval is more than they take in,
// each tells its own admissions to its row, and its row's to its column. That takes two steps, and few messages for any number.

// buildTopology sets which peers this gateway sends to and hears among so many gateways. What is known of a peer's incarnation
// stays.
func (g *Gateway) buildTopology(count int) {
	former := g.peers
	self := g.membership.Index
	g.peers = make([]*peer, count)
	g.nextHops = make([]*peer, count)
	g.previousHops = make([]*peer, count)
	g.neighbours = nil
	for member := range g.peers {
		if member == self || !g.membership.Gossip {
			continue
		}
		g.nextHops[member] = g.neighbour(g.otherEnd(self, member, member), former)
		g.previousHops[member] = g.neighbour(g.otherEnd(member, self, member), former)
		g.nextHops[member].sends = true
	}
	for _, hash := range slices.Sorted(maps.Keys(g.customers)) {
		g.subscribe(g.customers[hash])
	}
}

// otherEnd returns the gateway at the other end of this gateway's step on the way between two, of which other is not this one.
func (g *Gateway) otherEnd(from, to, other int) int {
	via := g.via(from, to)
	if via == g.membership.Index {
		return other
	}
	return via
}

// neighbour returns the peer with a member index, a new one with what is known from before if it is no neighbour yet.
func (g *Gateway) neighbour(member int, former []*peer) *peer {
	if p := g.peers[member]; p != nil {
		return p
	}
	p := &peer{member: member, credit: g.random.fraction()}
	p.counter = cmp.Compare(g.row(member), g.row(g.membership.Index)) & 1
	if member < len(former) && former[member] != nil {
		known := former[member]
		p.incarnation = known.incarnation
		p.sequence = known.sequence
		p.sentMessages = known.sentMessages
		p.lastReceived = known.lastReceived
	}
	g.peers[member] = p
	g.neighbours = append(g.neighbours, p)
	return p
}

// row returns the row of the grid in which a gateway stands.
func (g *Gateway) row(member int) int { return member * g.gridRows / len(g.peers) }

// rowStart returns the first member of a row.
func (g *Gateway) rowStart(row int) int { return (row*len(g.peers) + g.gridRows - 1) / g.gridRows }

// via returns the gateway in from's row that tells to what the row admits: the one in to's column, or the row's last.
func (g *Gateway) via(from, to int) int {
	fromRow := g.row(from)
	toRow := g.row(to)
	if fromRow == toRow {
		return to
	}
	column := to - g.rowStart(toRow)
	last := g.rowStart(fromRow+1) - 1
	return min(g.rowStart(fromRow)+column, last)
}

// subscribe links a customer to the peers that send or are sent its counters. What was not sent yet to one is still to be sent.
func (g *Gateway) subscribe(c *customer) {
	former := c.subscriptions
	c.subscriptions = make([]subscription, 0, min(c.spread, len(g.neighbours)))
	for i := range c.spread {
		member := (c.firstGateway + i) % len(g.peers)
		c.subscribe(g.previousHops[member], false)
		c.subscribe(g.nextHops[member], true)
	}
	for i := range former {
		g.keepSent(c, &former[i])
	}
	if len(former) > 0 {
		c.queueCounters(true, nil)
	}
}

// subscribe links the customer to one peer, once.
func (c *customer) subscribe(p *peer, sends bool) {
	if p == nil {
		return
	}
	if p.lastSubscriber != c {
		p.lastSubscriber = c
		p.subscriptionIndex = len(c.subscriptions)
		c.subscriptions = append(c.subscriptions, subscription{customer: c, peer: p, sentTotal: c.counters[p.counter]})
	}
	s := &c.subscriptions[p.subscriptionIndex]
	s.sends = s.sends || sends
}

// keepSent carries over what was sent to a peer under an earlier topology.
func (g *Gateway) keepSent(c *customer, former *subscription) {
	member := former.peer.member
	if member >= len(g.peers) {
		return
	}
	p := g.peers[member]
	if p != nil && p.lastSubscriber == c && p.counter == former.peer.counter {
		c.subscriptions[p.subscriptionIndex].sentTotal = former.sentTotal
	}
}
