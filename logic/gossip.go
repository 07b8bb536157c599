// Gossip: which peers are told of a customer, and what their totals take from this copy.

package logic

import (
	"cmp"
	"maps"
	"math"
	"ravensill/internal/gossip"
	"slices"
)

// resize takes in how many gateways there are: which of them this one tells and hears, and how often. Totals
// are first totals again on both sides: among another number who tells what to whom may differ.
func (g *Gateway) setFleetSize(n int) {
	perSecond := g.membership.MessageRate
	g.format.Members, g.gridRows = n, 1
	if float64(n-1) > perSecond*gossipShare*seconds(gossipInterval) {
		g.gridRows = int(math.Sqrt(float64(n)) + 0.5)
	}
	g.buildTopology(n)
	g.messageRate = max(perSecond*gossipShare/float64(max(n/g.gridRows+g.gridRows-2, 1)), 0.01)
	g.heartbeatInterval = max(gossipInterval, int64(float64(second)/g.messageRate))
	g.peerTimeout, g.counterAge = silentIntervals*g.heartbeatInterval, 0.5/g.messageRate*float64(min(g.gridRows, 2))
	g.partitionTimeout = max(g.peerTimeout/int64(max(len(g.neighbours), 1)), 2*stallThreshold) // when several signs of life are overdue
	g.endpoints.memberCount, g.endpoints.limit.Start = n, initialInFlight/float64(n)
}

// enqueue has the customer's counters sent: after admissions here to all peers, else the column; or to one.
func (c *customer) queueCounters(here bool, one *peer) {
	for i := range c.subscriptions {
		t := &c.subscriptions[i]
		wanted := t.peer == one || one == nil && (here || t.peer.counter == 1)
		if t.sends && !t.queued && wanted {
			t.queued, t.peer.queue = true, append(t.peer.queue, t)
		}
	}
}

func (t *subscription) unsent() float64 { return t.customer.counters[t.peer.counter] - t.sentTotal }

// send gives p the totals that changed, as soon as it can take a message, and signs of life with hosts' tags.
func (g *Gateway) sendGossip(p *peer, credit float64) {
	p.credit = min(p.credit+credit, max(g.messageRate, 1))
	due := g.now >= p.heartbeatDue
	if !p.sends || p.credit < 1 || !due && len(p.queue) == 0 {
		return
	}
	var tags []uint16
	if due {
		p.heartbeatDue = g.now + g.heartbeatInterval
		for _, h := range g.endpoints.nearby {
			for i, of := range h.health {
				recent := of.lastGood > 0 && g.now-of.lastGood <= g.heartbeatInterval
				if recent && of.unansweredFraction < suspectShare && len(tags) < gossip.MaxTags {
					tags = append(tags, h.gossipTag(i))
				}
			}
		}
	}
	p.sentMessages, p.credit = p.sentMessages+1, p.credit-1
	msg := g.format.Header(uint64(g.start/1e6), p.sentMessages, tags)
	slices.SortStableFunc(p.queue, func(a, b *subscription) int { return cmp.Compare(b.unsent(), a.unsent()) })
	for len(p.queue) > 0 {
		t := p.queue[0]
		c, total := t.customer, uint64(t.customer.counters[p.counter]*counterScale)
		g.refill(c)
		owed, lack := uint64(0), max(c.plan.Burst-c.level, 0)*counterScale
		switch recent := func(at int64) bool { return g.now-at < g.peerTimeout }; {
		case recent(c.created) && c.created >= g.resizedAt: // a copy there that has not heard of it loses the whole,
			owed = total
		case recent(p.incarnationSeen): // of a new incarnation, full, this gateway's part of what is gone,
			owed = uint64(lack / float64(len(c.subscriptions)))
		case g.resizedAt > 0 && recent(g.resizedAt): // after a change of the fleet's size what was not sent,
			owed = uint64(t.unsent() * counterScale)
		case t.sentTotal == 0: // if first sent late, what has not been refilled since
			owed = min(total, uint64(lack))
		}
		name := uint32(c.planIndex)
		if g.format.ByID {
			name = c.plan.ID
		}
		if entry := g.format.Counter(c.hash, name, c.spread, c.firstGateway, total, owed); owed > 0 || t.unsent() > 0 {
			if len(msg)+len(entry) > gossip.MaxMessageBytes {
				break
			}
			msg = append(msg, entry...)
		}
		t.sentTotal, t.queued, p.queue = c.counters[p.counter], false, p.queue[1:]
	}
	g.actions.SendGossip(p.member, msg)
}

// receive takes in a message of a peer.
func (g *Gateway) receiveGossip(from int, msg []byte) {
	if from < 0 || from >= len(g.peers) || g.peers[from] == nil {
		return
	}
	p := g.peers[from]
	g.format.Decode(msg, func(incarnation, number uint64) bool {
		if g.overtaken(p, incarnation, number) {
			return false
		}
		if incarnation != p.incarnation {
			p.incarnationSeen = g.now
			for _, hash := range slices.Sorted(maps.Keys(g.customers)) {
				g.customers[hash].queueCounters(false, p)
			}
		}
		if incarnation != p.incarnation || g.now-p.lastReceived > 2*g.peerTimeout { // its totals are first totals again
			p.incarnation, p.firstReceived = incarnation, g.now
		}
		p.lastReceived, g.lastGossip, p.sequence = g.now, g.now, number
		return true
	}, g.endpoints.clearSuspicion, func(hash, name uint32, spread, first int, total, owed uint64) {
		plan, known := int(name), true
		if g.format.ByID {
			plan, known = g.byID[name]
		}
		if c := g.customers[hash]; !known || g.format.ByID && c != nil && c.planIndex != plan {
			g.unmatchedCounters++ // of a plan that is unknown here, or that the customer is not on
			return
		}
		g.charge(p, g.customerFor(hash, plan, spread, first), total, owed)
	})
}

// overtaken tells whether a later message of the peer was received before this one. Incarnations are numbered by the peer's wall
// clock, so one that restarts after its clock was set back has a lower number. Its messages are taken for overtaken ones as long
// as such a message may be under way: until the later incarnation has been silent for as long as makes any peer count as gone.
func (g *Gateway) overtaken(p *peer, incarnation, number uint64) bool {
	if incarnation == p.incarnation {
		return number <= p.sequence
	}
	return incarnation < p.incarnation && g.now-p.lastReceived <= g.peerTimeout
}

// charge subtracts what a peer admitted since its last message, and passes it on to the other rows. Of a
// first or lower total it subtracts what the peer says this copy owes; the rest is only recorded.
func (g *Gateway) charge(p *peer, c *customer, total, owed uint64) {
	i := slices.IndexFunc(c.subscriptions, func(t subscription) bool { return t.peer == p })
	if i < 0 {
		return
	}
	g.refill(c)
	t := &c.subscriptions[i]
	last := t.receivedTotal
	if t.lastReceived < p.firstReceived || t.lastReceived == 0 || total < last {
		last = total - owed
	}
	if units := float64(total-last) / counterScale; units > 0 {
		known := min(units, c.presumedUnits) // taken while nobody was heard
		c.presumedUnits -= known
		c.level = max(c.level-units+known, min(c.level, -maxDebt*c.plan.Burst))
		c.peerRate += units / seconds(g.peerTimeout)
		if p.counter == 0 {
			c.counters[1] += units
			c.queueCounters(false, nil)
		}
	}
	t.receivedTotal, t.lastReceived, c.lastAdmission = total, g.now, g.now
}
