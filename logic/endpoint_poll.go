package logic

import (
	"math"
	"time"

	"ravensill/gateway"
)

const (
	firstPollPause   = 300 * time.Millisecond // mean pause before a lost list is polled again
	maxPollPauses    = 13                     // longest pause, in first pauses
	maxPollDoublings = 5                      // failures in a row that double the pause
)

// schedulePoll sets when a lost endpoint list is polled again, with exponential backoff and jitter: gateways of
// a fleet poll at different times, and each has its list within 6 s.
func (g *Gateway) schedulePoll(kind gateway.ListKind) {
	if kind != gateway.ListUnavailable {
		g.failedPolls = 0
		g.nextPoll = math.MaxInt64
		return
	}
	g.failedPolls = min(g.failedPolls+1, maxPollDoublings)
	if g.failedPolls == 1 {
		g.lastPoll = g.now
	}
	drawn := time.Duration((0.5 + g.random.fraction()) * float64(firstPollPause<<(g.failedPolls-1)))
	pause := min(drawn, maxPollPauses*firstPollPause)
	g.nextPoll = max(g.lastPoll.Add(pause), g.now.Add(pause/8))
}

// pollIfDue polls a lost endpoint list.
func (g *Gateway) pollIfDue() {
	if !g.limits.PollEndpoints || g.now < g.nextPoll {
		return
	}
	g.lastPoll = g.now
	g.nextPoll = math.MaxInt64
	g.actions.WatchEndpoints()
}
