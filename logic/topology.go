package logic

import (
	"cmp"
	"maps"
	"slices"
)

// The grid in which gateways tell each other what they admit, and the subscriptions of customers to the peers in it. Only the
// structure is here: what is told, when, and what it changes stands in gossip.go.

// arrange sets which peers this gateway tells and hears among n gateways. What is known of a peer's incarnation stays.
func (g *Gateway) buildTopology(n int) {
	had, me := g.peers, g.membership.Index
	g.peers, g.nextHops, g.previousHops, g.neighbours = make([]*peer, n), make([]*peer, n), make([]*peer, n), nil
	hop := func(from, to, i int) *peer { // the other end of the step from or to here, on the way between the two
		v := g.via(from, to)
		if v == me {
			v = i
		}
		if g.peers[v] == nil {
			p := &peer{member: v, counter: cmp.Compare(g.row(v), g.row(me)) & 1, credit: g.random.fraction()}
			if v < len(had) && had[v] != nil {
				p.incarnation, p.sequence, p.sentMessages, p.lastReceived = had[v].incarnation, had[v].sequence, had[v].sentMessages, had[v].lastReceived
			}
			g.peers[v], g.neighbours = p, append(g.neighbours, p)
		}
		return g.peers[v]
	}
	for i := range g.peers {
		if i != me && g.membership.Gossip {
			g.nextHops[i], g.previousHops[i] = hop(me, i, i), hop(i, me, i)
			g.nextHops[i].sends = true
		}
	}
	for _, hash := range slices.Sorted(maps.Keys(g.customers)) {
		g.subscribe(g.customers[hash])
	}
}

// subscribe links a customer to the peers that send or are sent its counters. What was not sent yet to one is still to be sent.
func (g *Gateway) subscribe(c *customer) {
	had := c.subscriptions
	c.subscriptions = make([]subscription, 0, min(c.spread, len(g.neighbours)))
	for i := range c.spread {
		s := (c.firstGateway + i) % len(g.peers)
		c.subscribe(g.previousHops[s], false)
		c.subscribe(g.nextHops[s], true)
	}
	for i := range had {
		var p *peer
		if member := had[i].peer.member; member < len(g.peers) {
			p = g.peers[member]
		}
		if p != nil && p.lastSubscriber == c && p.counter == had[i].peer.counter {
			c.subscriptions[p.subscriptionIndex].sentTotal = had[i].sentTotal
		}
	}
	if len(had) > 0 {
		c.queueCounters(true, nil)
	}
}

// subscribe links the customer to one peer, once.
func (c *customer) subscribe(p *peer, tells bool) {
	if p == nil {
		return
	} else if p.lastSubscriber != c {
		p.lastSubscriber, p.subscriptionIndex = c, len(c.subscriptions)
		c.subscriptions = append(c.subscriptions, subscription{customer: c, peer: p, sentTotal: c.counters[p.counter]})
	}
	c.subscriptions[p.subscriptionIndex].sends = c.subscriptions[p.subscriptionIndex].sends || tells
}

// row is where a gateway stands. Where a message to each peer an interval is more than they take in, each
// tells its own admissions to its row, and its row's to its column: two steps, few messages for any number.
func (g *Gateway) row(member int) int { return member * g.gridRows / len(g.peers) }

// via is the gateway in from's row that tells to what the row admits: the one in to's column, or the last.
func (g *Gateway) via(from, to int) int {
	n := len(g.peers)
	head := func(row int) int { return (row*n + g.gridRows - 1) / g.gridRows }
	if g.row(from) == g.row(to) {
		return to
	}
	return min(head(g.row(from))+to-head(g.row(to)), head(g.row(from)+1)-1)
}
