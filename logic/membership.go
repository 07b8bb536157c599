package logic

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	gossipInterval  = time.Second / 2 // between messages to a peer, longer if a gateway can't receive that many
	silentIntervals = 4               // intervals without a message, after which a peer counts as gone
	gossipShare     = 0.4             // fraction of the messages a gateway can receive that its peers use
	minMessageRate  = 0.01            // messages a second to a peer
)

// setFleetSize sets the number of gateways: with which of them this one exchanges gossip, and how often. The
// next counters of each peer are first ones again on both sides, since who sends what to whom may differ.
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
	// After this time several heartbeats, of one peer or another, are overdue.
	overdue := g.peerTimeout / time.Duration(max(len(g.neighbours), 1))
	g.partitionTimeout = max(overdue, 2*stallThreshold)
	g.endpoints.memberCount = count
	g.endpoints.limit.InitialLimitPerEndpoint = initialInFlight / float64(count)
}

// buildTopology sets the peers that this gateway sends gossip to and receives it from. If a message to every
// member in each interval is more than members can receive, they form a grid: each sends its own counters to
// its row, and its row's counters to its column. That takes two hops, and few messages for any number of
// members. What is known of a peer's incarnation is kept.
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

// otherEnd returns the gateway at the other end of this gateway's hop on the path between two members, of which
// other is not this gateway.
func (g *Gateway) otherEnd(from, to, other int) int {
	via := g.via(from, to)
	if via == g.membership.Index {
		return other
	}
	return via
}

// neighbour returns the peer with a member index. A new one keeps what former knows of its incarnation.
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

// row returns the grid row of a member.
func (g *Gateway) row(member int) int { return member * g.gridRows / len(g.peers) }

// rowStart returns the first member of a row.
func (g *Gateway) rowStart(row int) int { return (row*len(g.peers) + g.gridRows - 1) / g.gridRows }

// via returns the member in from's row that forwards the row's counters to a member: the one in its column, or
// the last of the row.
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

// subscribe links a customer to the peers that send its counters or are sent them. Units that were unsent under
// the topology before stay unsent.
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

// keepSent carries over what was sent to a peer under the topology before.
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
