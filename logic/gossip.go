// Gossip: which peers are told of a customer, and what their totals take from this copy.

package logic

import (
	"cmp"
	"maps"
	"math"
	"ravensill/internal/mail"
	"slices"
)

// resize takes in how many gateways there are: which of them this one tells and hears, and how often. Totals
// are first totals again on both sides: among another number who tells what to whom may differ.
func (g *Gateway) resize(n int) {
	perSecond := g.seat.PerSecond
	g.form.Members, g.rows = n, 1
	if float64(n-1) > perSecond*mailLeast*seconds(interval) {
		g.rows = int(math.Sqrt(float64(n)) + 0.5)
	}
	g.arrange(n)
	g.rate = max(perSecond*mailLeast/float64(max(n/g.rows+g.rows-2, 1)), 0.01)
	g.pause = max(interval, int64(float64(second)/g.rate))
	g.silence, g.age = silent*g.pause, 0.5/g.rate*float64(min(g.rows, 2))
	g.hush = max(g.silence/int64(max(len(g.links), 1)), 2*stall) // when several signs of life are overdue
	g.fleet.seats, g.fleet.limit.Start = n, firstOpen/float64(n)
}

// note queues the customer for those to be told: of admissions here all peers, else the column; or one peer.
func (c *customer) note(here bool, one *peer) {
	for i := range c.ties {
		if t := &c.ties[i]; t.tells && !t.queued && (t.peer == one || one == nil && (here || t.peer.wants == 1)) {
			t.queued, t.peer.queue = true, append(t.peer.queue, t)
		}
	}
}

func (t *tie) untold() float64 { return t.customer.total[t.peer.wants] - t.told }

// tell sends p the totals that changed, as soon as it can take a message, and signs of life with hosts' tags.
func (g *Gateway) tell(p *peer, credit float64) {
	p.credit = min(p.credit+credit, max(g.rate, 1))
	due := g.now >= p.due
	if !p.tells || p.credit < 1 || !due && len(p.queue) == 0 {
		return
	}
	var tags []uint16
	if due {
		p.due = g.now + g.pause
		for _, h := range g.fleet.near {
			for i, of := range h.fronts {
				if of.good > 0 && g.now-of.good <= g.pause && of.bad < doubtful && len(tags) < mail.Tags {
					tags = append(tags, h.tag(i))
				}
			}
		}
	}
	p.said, p.credit = p.said+1, p.credit-1
	msg := g.form.Head(uint64(g.start/1e6), p.said, tags)
	slices.SortStableFunc(p.queue, func(a, b *tie) int { return cmp.Compare(b.untold(), a.untold()) })
	for len(p.queue) > 0 {
		t := p.queue[0]
		c, total := t.customer, uint64(t.customer.total[p.wants]*unit)
		g.refill(c)
		owed, lack := uint64(0), max(c.plan.Burst-c.level, 0)*unit
		if g.joined > 0 && g.now-g.joined < g.silence { // after a change of the fleet's size what was not told,
			owed = uint64(t.untold() * unit)
		} else if g.now-c.begun < g.silence { // a copy there that has not heard of it is to lose the whole,
			owed = total
		} else if g.now-p.born < g.silence { // of a new life, full, this gateway's part of what is gone,
			owed = uint64(lack / float64(len(c.ties)))
		} else if t.told == 0 { // if first told late, what has not been refilled since
			owed = min(total, uint64(lack))
		}
		name := uint32(c.planID)
		if g.form.ByID {
			name = c.plan.ID
		}
		if entry := g.form.Total(c.hash, name, c.spread, c.first, total, owed); owed > 0 || t.untold() > 0 {
			if len(msg)+len(entry) > mail.Most {
				break
			}
			msg = append(msg, entry...)
		}
		t.told, t.queued, p.queue = c.total[p.wants], false, p.queue[1:]
	}
	g.out.Tell(p.seat, msg)
}

func (g *Gateway) hear(from int, msg []byte) {
	if from < 0 || from >= len(g.peers) || g.peers[from] == nil {
		return
	}
	p := g.peers[from]
	g.form.Read(msg, func(life, number uint64) bool {
		if life < p.life || life == p.life && number <= p.number { // overtaken
			return false
		}
		if life != p.life {
			p.born = g.now
			for _, hash := range slices.Sorted(maps.Keys(g.customers)) {
				g.customers[hash].note(false, p)
			}
		}
		if life != p.life || g.now-p.heard > 2*g.silence { // its totals are first totals again
			p.life, p.first = life, g.now
		}
		p.heard, g.heard, p.number = g.now, g.now, number
		return true
	}, g.fleet.vouched, func(hash, name uint32, spread, first int, total, owed uint64) {
		plan, known := int(name), true
		if g.form.ByID {
			plan, known = g.byID[name]
		}
		if c := g.customers[hash]; !known || g.form.ByID && c != nil && c.planID != plan {
			g.unmatched++ // of a plan that is unknown here, or that the customer is not on
			return
		}
		g.told(p, g.customer(hash, plan, spread, first), total, owed)
	})
}

// told subtracts what a peer admitted since its last message, and passes it on to the other rows. Of a first
// or lower total it subtracts what the peer says this copy owes; the rest is only recorded.
func (g *Gateway) told(p *peer, c *customer, total, owed uint64) {
	i := slices.IndexFunc(c.ties, func(t tie) bool { return t.peer == p })
	if i < 0 {
		return
	}
	g.refill(c)
	t := &c.ties[i]
	last := t.seen
	if t.at < p.first || t.at == 0 || total < last {
		last = total - owed
	}
	if units := float64(total-last) / unit; units > 0 {
		known := min(units, c.presumed) // taken while nobody was heard
		c.presumed -= known
		c.level = max(c.level-units+known, min(c.level, -debt*c.plan.Burst))
		c.others += units / seconds(g.silence)
		if p.wants == 0 {
			c.total[1] += units
			c.note(false, nil)
		}
	}
	t.seen, t.at, c.moved = total, g.now, g.now
}
