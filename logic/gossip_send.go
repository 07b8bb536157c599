package logic

import (
	"cmp"
	"slices"

	"ravensill/gateway"
	"ravensill/internal/gossip"
)

// counterScale is the number of parts that a unit has in counters on the wire.
const counterScale = 16

// sendGossip sends a peer the counters that changed as soon as its rate limit allows, and heartbeats with the
// tags of healthy endpoints.
func (g *Gateway) sendGossip(p *peer, credit float64) {
	p.credit = min(p.credit+credit, max(g.messageRate, 1))
	due := g.now >= p.heartbeatDue
	if !p.sends || p.credit < 1 || !due && len(p.queue) == 0 {
		return
	}
	var tags []uint16
	if due {
		p.heartbeatDue = g.now.Add(g.heartbeatInterval)
		tags = g.healthyTags()
	}
	p.sentMessages++
	p.credit--
	header := g.format.EncodeHeader(uint64(g.start/1e6), p.sentMessages, tags)
	g.actions.SendGossip(p.member, g.appendCounters(header, p))
}

// healthyTags returns the tags of endpoints and request classes with good answers lately, as many as fit in a
// message.
func (g *Gateway) healthyTags() (tags []uint16) {
	for _, e := range g.endpoints.nearby {
		for class, h := range e.health {
			recent := h.lastGood > 0 && g.now.Sub(h.lastGood) <= g.heartbeatInterval
			if recent && h.unansweredFraction < suspicionLimit && len(tags) < gossip.MaxTags {
				tags = append(tags, e.gossipTag(class))
			}
		}
	}
	return tags
}

// appendCounters appends the queued counters of a peer to a message, those with the most unsent units first, as
// many as fit.
func (g *Gateway) appendCounters(message []byte, p *peer) []byte {
	slices.SortStableFunc(p.queue, func(a, b *subscription) int { return cmp.Compare(b.unsent(), a.unsent()) })
	for len(p.queue) > 0 {
		s := p.queue[0]
		c := s.customer
		total := uint64(c.counters[p.counter] * counterScale)
		g.refill(c)
		debt := g.initialDebt(s, total)
		entry := g.format.EncodeCounter(c.hash, g.planName(c), c.spread, c.firstGateway, total, debt)
		if debt > 0 || s.unsent() > 0 {
			if len(message)+len(entry) > gossip.MaxMessageBytes {
				break
			}
			message = append(message, entry...)
		}
		s.sentTotal = c.counters[p.counter]
		s.queued = false
		p.queue = p.queue[1:]
	}
	return message
}

// planName returns what names a customer's plan in messages: its ID or its index.
func (g *Gateway) planName(c *customer) uint32 {
	if g.format.PlansByID {
		return c.plan.ID
	}
	return uint32(c.planIndex)
}

// initialDebt returns what the copy at a peer has to subtract if the counter is the first that it receives, in
// parts of a unit (counterScale).
func (g *Gateway) initialDebt(s *subscription, total uint64) uint64 {
	c := s.customer
	recent := func(at gateway.Time) bool { return g.now.Sub(at) < g.peerTimeout }
	missing := max(c.plan.Burst-c.level, 0) * counterScale
	switch {
	case recent(c.created) && c.created >= g.resizedAt: // the peer has no copy yet: all of it
		return total
	case recent(s.peer.incarnationSeen): // a new incarnation has a full copy: this gateway's share of what is missing
		return uint64(missing / float64(len(c.subscriptions)))
	case g.resizedAt > 0 && recent(g.resizedAt): // what was unsent when the fleet's size changed
		return uint64(s.unsent() * counterScale)
	case s.sentTotal == 0: // sent late for the first time: what has not been refilled since
		return min(total, uint64(missing))
	}
	return 0
}
