package logic

import (
	"cmp"
	"maps"
	"slices"
)

// The grid in which gateways tell each other what they admit, and the ties of customers to the peers in it. Only the
// structure is here: what is told, when, and what it changes stands in gossip.go.

// arrange sets which peers this gateway tells and hears among n gateways. What is known of a peer's life stays.
func (g *Gateway) arrange(n int) {
	had, me := g.peers, g.seat.Index
	g.peers, g.to, g.from, g.links = make([]*peer, n), make([]*peer, n), make([]*peer, n), nil
	hop := func(from, to, i int) *peer { // the other end of the step from or to here, on the way between the two
		v := g.via(from, to)
		if v == me {
			v = i
		}
		if g.peers[v] == nil {
			p := &peer{seat: v, wants: cmp.Compare(g.row(v), g.row(me)) & 1, credit: g.rnd.part()}
			if v < len(had) && had[v] != nil {
				p.life, p.number, p.said, p.heard = had[v].life, had[v].number, had[v].said, had[v].heard
			}
			g.peers[v], g.links = p, append(g.links, p)
		}
		return g.peers[v]
	}
	for i := range g.peers {
		if i != me && g.seat.Messages {
			g.to[i], g.from[i] = hop(me, i, i), hop(i, me, i)
			g.to[i].tells = true
		}
	}
	for _, hash := range slices.Sorted(maps.Keys(g.customers)) {
		g.tieUp(g.customers[hash])
	}
}

// tieUp ties a customer to the peers that tell or are told of it. What was not told yet to one is still to be told.
func (g *Gateway) tieUp(c *customer) {
	had := c.ties
	c.ties = make([]tie, 0, min(c.spread, len(g.links)))
	for i := range c.spread {
		s := (c.first + i) % len(g.peers)
		c.tie(g.from[s], false)
		c.tie(g.to[s], true)
	}
	for i := range had {
		k := slices.IndexFunc(c.ties, func(t tie) bool { return t.peer.seat == had[i].peer.seat })
		if k >= 0 && had[i].peer.wants == c.ties[k].peer.wants {
			c.ties[k].told = had[i].told
		}
	}
	if len(had) > 0 {
		c.note(true, nil)
	}
}

func (c *customer) tie(p *peer, tells bool) {
	if p == nil {
		return
	} else if p.latest != c {
		p.latest, p.nth = c, len(c.ties)
		c.ties = append(c.ties, tie{customer: c, peer: p, told: c.total[p.wants]})
	}
	c.ties[p.nth].tells = c.ties[p.nth].tells || tells
}

// row is where a gateway stands. Where a message to each peer an interval is more than they take in, each
// tells its own admissions to its row, and its row's to its column: two steps, few messages for any number.
func (g *Gateway) row(seat int) int { return seat * g.rows / len(g.peers) }

// via is the gateway in from's row that tells to what the row admits: the one in to's column, or the last.
func (g *Gateway) via(from, to int) int {
	n := len(g.peers)
	head := func(row int) int { return (row*n + g.rows - 1) / g.rows }
	if g.row(from) == g.row(to) {
		return to
	}
	return min(head(g.row(from))+to-head(g.row(to)), head(g.row(from)+1)-1)
}
