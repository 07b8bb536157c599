package logic

import (
	"maps"
	"time"
)

const (
	timerInterval    = time.Second / 25 // time between calls of handleTimer
	evictionInterval = time.Second      // time between removals of evictable customers
)

// handleTimer does the periodic work: it polls a lost endpoint list, cancels overdue attempts, sends gossip and,
// once in evictionInterval, drops evictable customers.
func (g *Gateway) handleTimer() {
	g.actions.SetTimer(timerInterval)
	credit := g.messageCredit()
	g.lastTimer = g.now
	g.arrivals = 0
	g.pollIfDue()
	g.cancelOverdue()
	for _, p := range g.neighbors {
		g.sendGossip(p, credit)
	}
	if g.now >= g.nextEviction {
		g.nextEviction = g.now.Add(evictionInterval)
		maps.DeleteFunc(g.customers, func(_ uint32, c *customer) bool { return g.evict(c) })
	}
}

// messageCredit returns the number of messages that each peer may be sent for the time since the last timer. It
// follows the message rate; when many requests arrive, it is up to twice that.
func (g *Gateway) messageCredit() float64 {
	elapsed := seconds(g.now.Sub(g.lastTimer))
	byRequests := float64(g.arrivals) / max(g.membership.MessageRate*gossipBudgetFraction, 1)
	return g.messageRate * max(elapsed, min(byRequests, 2*elapsed))
}
