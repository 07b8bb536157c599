package logic

import (
	"maps"
	"time"
)

const (
	timerInterval = time.Second / 25
	sweepInterval = time.Second // between walks over all customers
)

// handleTimer does what is due: polls, the cancellation of overdue attempts, gossip, and the removal of
// customers that can be forgotten.
func (g *Gateway) handleTimer() {
	g.actions.SetTimer(timerInterval)
	credit := g.messageCredit()
	g.lastTimer = g.now
	g.arrivals = 0
	g.pollIfDue()
	g.cancelOverdue()
	for _, p := range g.neighbours {
		g.sendGossip(p, credit)
	}
	if g.now >= g.nextSweep {
		g.nextSweep = g.now.Add(sweepInterval)
		maps.DeleteFunc(g.customers, func(_ uint32, c *customer) bool { return g.forgettable(c) })
	}
}

// messageCredit returns the number of messages that each peer may be sent since the last timer: the message
// rate, and up to twice that while many requests arrive.
func (g *Gateway) messageCredit() float64 {
	elapsed := seconds(g.now.Sub(g.lastTimer))
	byRequests := float64(g.arrivals) / max(g.membership.MessageRate*gossipShare, 1)
	return g.messageRate * max(elapsed, min(byRequests, 2*elapsed))
}
