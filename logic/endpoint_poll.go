package logic

import (
	"math"
	"time"

	"ravensill/gateway"
)

const (
	initialPollDelay   = 300 * time.Millisecond // mean delay of the first poll after the list was lost
	maxPollDelayFactor = 13                     // longest delay, as a multiple of initialPollDelay
	maxPollDoublings   = 5                      // consecutive failures from which on the mean delay stays the same
)

// schedulePoll schedules the next poll of the endpoint list after a failure, with exponential backoff and jitter:
// the gateways of a fleet poll at different times, and each has its list within 6 s. Any received list cancels the
// poll.
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
	jittered := time.Duration((0.5 + g.random.fraction()) * float64(initialPollDelay<<(g.failedPolls-1)))
	delay := min(jittered, maxPollDelayFactor*initialPollDelay)
	g.nextPoll = max(g.lastPoll.Add(delay), g.now.Add(delay/8))
}

// pollIfDue requests the endpoint list if a poll of it is due.
func (g *Gateway) pollIfDue() {
	if !g.limits.PollEndpoints || g.now < g.nextPoll {
		return
	}
	g.lastPoll = g.now
	g.nextPoll = math.MaxInt64
	g.actions.WatchEndpoints()
}
