package logic

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	gossipInterval       = time.Second / 2 // least time between heartbeats to a peer
	peerTimeoutIntervals = 4               // heartbeat intervals without a message after which a peer counts as gone
	gossipBudgetFraction = 0.4             // fraction of the messages that a gateway can receive that gossip uses
	minMessageRate       = 0.01            // least messages a second to a peer
)

// setFleetSize sets the number of gateways, and from it the peers that this gateway exchanges gossip with, the
// message rates and the timeouts. Peers may change, so on both sides the next counter of each peer is not compared
// with earlier ones.
func (g *Gateway) setFleetSize(count int) {
	budget := g.membership.MessageRate * gossipBudgetFraction
	g.gossipFormat.Members = count
	g.gridRows = 1
	if float64(count-1) > budget*seconds(gossipInterval) {
		g.gridRows = int(math.Sqrt(float64(count)) + 0.5)
	}
	g.buildTopology(count)
	partners := max(count/g.gridRows+g.gridRows-2, 1)
	hops := min(g.gridRows, 2)
	g.messageRate = max(budget/float64(partners), minMessageRate)
	g.heartbeatInterval = max(gossipInterval, time.Duration(float64(time.Second)/g.messageRate))
	g.peerTimeout = peerTimeoutIntervals * g.heartbeatInterval
	g.counterAge = 0.5 / g.messageRate * float64(hops)
	// Several heartbeats, over all peers, are due within this time.
	overdue := g.peerTimeout / time.Duration(max(len(g.neighbors), 1))
	g.partitionTimeout = max(overdue, 2*stallThreshold)
	g.endpoints.memberCount = count
	g.endpoints.limit.InitialLimitPerEndpoint = initialInFlight / float64(count)
}

// buildTopology sets the peers that this gateway exchanges gossip with. If members can't receive a message from
// every other member in each gossip interval, the members form a grid: each sends its own counters to its row and
// its row's counters to its column. A counter then takes up to two hops, and a member exchanges messages with few
// others. What is known of a peer's incarnation is kept.
func (g *Gateway) buildTopology(count int) {
	previous := g.peers
	self := g.membership.Index
	g.peers = make([]*peer, count)
	g.nextHops = make([]*peer, count)
	g.previousHops = make([]*peer, count)
	g.neighbors = nil
	for member := range g.peers {
		if member == self || !g.membership.Gossip {
			continue
		}
		g.nextHops[member] = g.peerFor(g.hopNeighbor(self, member, member), previous)
		g.previousHops[member] = g.peerFor(g.hopNeighbor(member, self, member), previous)
		g.nextHops[member].sendTo = true
	}
	for _, hash := range slices.Sorted(maps.Keys(g.customers)) {
		g.subscribe(g.customers[hash])
	}
}

// hopNeighbor returns the neighbor that this gateway exchanges gossip with on the path between the members from
// and to. One of the two must be this gateway; other is the index of the remaining one.
func (g *Gateway) hopNeighbor(from, to, other int) int {
	hop := g.forwarder(from, to)
	if hop == g.membership.Index {
		return other
	}
	return hop
}

// peerFor returns the peer with a member index and creates it if needed. A new one keeps what is known of its
// incarnation from the previous peers.
func (g *Gateway) peerFor(member int, previous []*peer) *peer {
	if p := g.peers[member]; p != nil {
		return p
	}
	p := &peer{member: member, credit: g.random.fraction()}
	p.counterIndex = cmp.Compare(g.row(member), g.row(g.membership.Index)) & 1
	if member < len(previous) && previous[member] != nil {
		known := previous[member]
		p.incarnation = known.incarnation
		p.sequence = known.sequence
		p.sentMessages = known.sentMessages
		p.lastReceived = known.lastReceived
	}
	g.peers[member] = p
	g.neighbors = append(g.neighbors, p)
	return p
}

// row returns the grid row of a member. Rows are ranges of member indices of about equal length.
func (g *Gateway) row(member int) int { return member * g.gridRows / len(g.peers) }

// rowStart returns the lowest member index in a row.
func (g *Gateway) rowStart(row int) int { return (row*len(g.peers) + g.gridRows - 1) / g.gridRows }

// forwarder returns the member that sends gossip of one member on to another: the member of the sender's row that
// is in the receiver's column, or the last of the row if the row is shorter. Within one row, gossip goes directly
// to the receiver, which is returned.
func (g *Gateway) forwarder(from, to int) int {
	fromRow := g.row(from)
	toRow := g.row(to)
	if fromRow == toRow {
		return to
	}
	column := to - g.rowStart(toRow)
	last := g.rowStart(fromRow+1) - 1
	return min(g.rowStart(fromRow)+column, last)
}

// subscribe links a customer to the peers that exchange its counters with this gateway. After a change of the
// topology, units that were not sent before stay unsent.
func (g *Gateway) subscribe(c *customer) {
	previous := c.subscriptions
	c.subscriptions = make([]subscription, 0, min(c.spread, len(g.neighbors)))
	for i := range c.spread {
		member := (c.firstGateway + i) % len(g.peers)
		c.addSubscription(g.previousHops[member], false)
		c.addSubscription(g.nextHops[member], true)
	}
	for i := range previous {
		g.restoreSentTotal(c, &previous[i])
	}
	if len(previous) > 0 {
		c.queueCounters(true, nil)
	}
}

// addSubscription links the customer to a peer, unless it is linked already or p is nil. sendTo is set if the peer
// is sent the customer's counters.
func (c *customer) addSubscription(p *peer, sendTo bool) {
	if p == nil {
		return
	}
	if p.lastSubscriber != c {
		p.lastSubscriber = c
		p.subscriptionIndex = len(c.subscriptions)
		c.subscriptions = append(c.subscriptions, subscription{customer: c, peer: p, sentTotal: c.counters[p.counterIndex]})
	}
	s := &c.subscriptions[p.subscriptionIndex]
	s.sendTo = s.sendTo || sendTo
}

// restoreSentTotal takes over the counter that was last sent to a peer under the previous topology, if the peer is
// still sent the same counter.
func (g *Gateway) restoreSentTotal(c *customer, previous *subscription) {
	member := previous.peer.member
	if member >= len(g.peers) {
		return
	}
	p := g.peers[member]
	if p != nil && p.lastSubscriber == c && p.counterIndex == previous.peer.counterIndex {
		c.subscriptions[p.subscriptionIndex].sentTotal = previous.sentTotal
	}
}
