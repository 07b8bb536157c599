package logic

import (
	"ravensill/gateway"
	"ravensill/internal/gossip"
)

// counterScale is the number of parts that a unit has in counters on the wire.
const counterScale = 16

// sendGossip sends a peer one message if its rate limit allows: with the changed counters as soon as there are any,
// and with the tags of healthy endpoints in each heartbeat interval. credit is what is added to the number of
// messages that the peer may be sent.
func (g *Gateway) sendGossip(p *peer, credit float64) {
	p.credit = min(p.credit+credit, max(g.messageRate, 1))
	heartbeatDue := g.now >= p.heartbeatDue
	if !p.sendTo || p.credit < 1 || !heartbeatDue && len(p.queue) == 0 {
		return
	}
	var tags []uint16
	if heartbeatDue {
		p.heartbeatDue = g.now.Add(g.heartbeatInterval)
		tags = g.healthyTags()
	}
	p.sentMessages++
	p.credit--
	header := g.gossipFormat.EncodeHeader(uint64(g.start/1e6), p.sentMessages, tags)
	g.actions.SendGossip(p.member, g.appendCounters(header, p))
}

// healthyTags returns the tags of endpoints and request classes with a success in the latest heartbeat interval and
// few unanswered attempts, as many as fit in a message.
func (g *Gateway) healthyTags() (tags []uint16) {
	for _, e := range g.endpoints.inUse {
		for class, h := range e.health {
			recent := h.lastSuccess > 0 && g.now.Sub(h.lastSuccess) <= g.heartbeatInterval
			if recent && h.unansweredFraction < suspicionLimit && len(tags) < gossip.MaxTags {
				tags = append(tags, e.gossipTag(class))
			}
		}
	}
	return tags
}

// appendCounters appends the counters queued for a peer to a message, those with the most unsent units first, until
// the message is full. Counters that don't fit stay queued.
func (g *Gateway) appendCounters(message []byte, p *peer) []byte {
	removeFirst := p.queue.order()
	for len(p.queue) > 0 {
		s := p.queue[0]
		c := s.customer
		if c.dropped {
			removeFirst()
			continue
		}
		total := uint64(c.counters[p.counterIndex] * counterScale)
		g.refill(c)
		debt := g.initialDebt(s, total)
		entry := g.gossipFormat.EncodeCounter(c.hash, g.gossipPlan(c), c.spread, c.firstGateway, total, debt)
		if debt > 0 || s.unsent() > 0 {
			if len(message)+len(entry) > gossip.MaxMessageBytes {
				break
			}
			message = append(message, entry...)
		}
		s.sentTotal = c.counters[p.counterIndex]
		s.queued = false
		removeFirst()
	}
	return message
}

// gossipPlan returns how gossip names a customer's plan: by its ID or by its index.
func (g *Gateway) gossipPlan(c *customer) uint32 {
	if g.gossipFormat.PlansByID {
		return c.plan.ID
	}
	return uint32(c.planIndex)
}

// initialDebt returns the units, in parts (counterScale), that the peer subtracts from its copy if it has no
// previous counter to compare this one with. total is the counter in the same parts.
func (g *Gateway) initialDebt(s *subscription, total uint64) uint64 {
	c := s.customer
	recent := func(at gateway.Time) bool { return g.now.Sub(at) < g.peerTimeout }
	missing := max(c.plan.Burst-c.level, 0) * counterScale
	switch {
	case recent(c.createdAt) && c.createdAt >= g.resizedAt: // the peer has no record yet: all admitted units
		return total
	case recent(s.peer.incarnationSeen): // a restarted peer has a full copy: this gateway's part of the missing units
		return uint64(missing / float64(len(c.subscriptions)))
	case g.resizedAt > 0 && recent(g.resizedAt): // the fleet was resized: the units not sent before
		return uint64(s.unsent() * counterScale)
	case s.sentTotal == 0: // first sent late: the units not refilled since
		return min(total, uint64(missing))
	}
	return 0
}
