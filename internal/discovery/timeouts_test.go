package discovery

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"ravensill/gateway"
	"ravensill/internal/golden"
	"ravensill/logic"
)

// pollActions records the timers and polls of a decision module that polls the endpoint list.
type pollActions struct {
	gateway.Actions
	timer  time.Duration
	polled bool
}

func (a *pollActions) SetTimer(after time.Duration) { a.timer = after }
func (a *pollActions) WatchEndpoints()              { a.polled = true }

// poller runs a decision module that polls the endpoint list, with a simulated clock.
type poller struct {
	module  *logic.Gateway
	actions *pollActions
	now     gateway.Time
}

func newPoller(seed uint64) *poller {
	membership := gateway.Membership{Count: 1}
	classes := []gateway.RequestClass{{LatencyObjective: 1, Timeout: 1}}
	plans := []gateway.Plan{{}}
	limits := gateway.Limits{PollEndpoints: true}
	module := logic.New(seed, membership, classes, plans, limits, gateway.SlowStart{}, gateway.LoadReportFormat{})
	p := &poller{module: module, actions: &pollActions{}, now: gateway.Time(time.Second)}
	p.decide()
	return p
}

func (p *poller) decide(events ...gateway.Event) {
	p.module.Decide(&gateway.Batch{Now: p.now, Events: events}, p.actions)
}

// nextTimer returns the instant at which the timer fires.
func (p *poller) nextTimer() gateway.Time { return p.now.Add(p.actions.timer) }

func (p *poller) fireTimer() {
	p.now = p.nextTimer()
	p.decide(gateway.Event{Kind: gateway.TimerFired})
}

// failPoll reports a failed poll just after the timer has fired, and advances the clock to the next poll. It returns
// the time in between.
func (p *poller) failPoll() time.Duration {
	p.now++
	lost := p.now
	p.decide(gateway.Event{Kind: gateway.EndpointsListed, ListKind: gateway.ListUnavailable})
	p.actions.polled = false
	for !p.actions.polled {
		p.fireTimer()
	}
	return p.now.Sub(lost)
}

// maxPollDelay returns the longest time, over many seeds, from the last of a number of consecutive failed polls to the
// next poll. lastTook is how long the last poll took to fail.
func maxPollDelay(failures int, lastTook time.Duration) (longest time.Duration) {
	for seed := range uint64(200) {
		p := newPoller(seed)
		for range failures - 1 {
			p.failPoll()
		}
		failed := p.now.Add(lastTook)
		for p.nextTimer() < failed {
			p.fireTimer()
		}
		longest = max(longest, p.failPoll())
	}
	return longest
}

// refused stands for the phase of an attempt whose connection is refused, which takes no time.
const refused phase = -1

// failedAttempt is an attempt to watch or poll that yields no list.
type failedAttempt struct {
	name          string
	stuckPhase    phase
	instantBefore bool // the phases before stuckPhase take no time; otherwise as long as their timeouts allow
}

// outage describes how the endpoint list is lost and what happens until it is received again.
type outage struct {
	poll bool
	// firstPhase is the phase in which the first watch falls silent or, with polling, the phase in which the poll fails
	// during which discovery comes back.
	firstPhase phase
	failures   int           // consecutive failures up to and including the first watch or that poll
	response   time.Duration // how long the successful attempt takes to be answered
}

// maxUpdateTime returns the longest time from the moment at which the first watch falls silent, or its poll begins, to
// the response of the successful attempt, which follows the failed attempts.
func (o outage) maxUpdateTime(attempts []failedAttempt) time.Duration {
	epoch := time.Unix(1, 0)
	timeouts := NewTimeouts(o.poll)
	took := time.Duration(0)
	if o.firstPhase != refused {
		timeouts.enterPhase(o.firstPhase, epoch)
		took = timeouts.deadline().Sub(epoch) + finalReadTimeout
	}
	elapsed := took
	for i := 0; ; i++ {
		if o.poll {
			elapsed += maxPollDelay(o.failures+i, took)
		} else {
			elapsed += WatchRetryDelay
		}
		if i == len(attempts) {
			return elapsed + o.response
		}
		took = attempts[i].maxDuration(o.poll, epoch.Add(elapsed))
		elapsed += took
	}
}

// maxDuration returns the longest time from the attempt's start until it is given up.
func (f failedAttempt) maxDuration(poll bool, start time.Time) time.Duration {
	timeouts := NewTimeouts(poll)
	now := start
	for _, phase := range []phase{connecting, awaitingHeader, betweenValues, inValue} {
		timeouts.enterPhase(phase, now)
		if phase == f.stuckPhase {
			return timeouts.deadline().Sub(start) + finalReadTimeout
		}
		if phase < betweenValues && !f.instantBefore {
			now = timeouts.deadline()
		}
	}
	return now.Sub(start)
}

// A change of the list must reach the gateway within 6 s of the moment at which the discovery service can be reached,
// even if one attempt in between fails. With polling, where the agent may hold the successful poll for 2 s, the failed
// attempt has to be one that is refused at once; if the successful poll is answered at once, any attempt may fail.
// Watches reconnect within 1 s after the agent was down.
func TestTimeoutsLeadToListWithinDeadline(t *testing.T) {
	const (
		deadline       = 6 * time.Second
		afterAgentDown = time.Second // time since the agent came back
	)
	var (
		connectionRefused    = failedAttempt{"refused", refused, true}
		hangs                = failedAttempt{"that hangs", connecting, false}
		noResponse           = failedAttempt{"without response", awaitingHeader, false}
		stuckAfterHeader     = failedAttempt{"stuck behind its head", betweenValues, false}
		stuckInList          = failedAttempt{"stuck in a list", inValue, false}
		soonStuckAfterHeader = failedAttempt{"soon stuck behind its head", betweenValues, true}
		soonStuckInList      = failedAttempt{"soon stuck in a list", inValue, true}
	)
	none := []failedAttempt{}
	watched := [][]failedAttempt{
		none, {hangs}, {noResponse}, {stuckInList}, {stuckAfterHeader}, {noResponse, noResponse},
	}
	var trace strings.Builder
	for _, test := range []struct {
		outage
		attempts [][]failedAttempt
		limit    time.Duration
	}{
		{outage{false, betweenValues, 1, 0}, watched, deadline},
		{outage{false, connecting, 9, 0}, [][]failedAttempt{none}, afterAgentDown},
		{outage{false, awaitingHeader, 9, 0}, [][]failedAttempt{none}, afterAgentDown},
		{outage{true, betweenValues, 1, 2 * time.Second}, [][]failedAttempt{none, {connectionRefused}}, deadline},
		{
			outage{true, betweenValues, 1, 0},
			[][]failedAttempt{{hangs}, {noResponse}, {soonStuckAfterHeader}, {soonStuckInList}},
			deadline,
		},
		{outage{true, awaitingHeader, 9, 2 * time.Second}, [][]failedAttempt{none}, deadline},
		{outage{true, refused, 9, 2 * time.Second}, [][]failedAttempt{none}, deadline},
	} {
		for _, attempts := range test.attempts {
			path := fmt.Sprintf("polled %t, lost in phase %d", test.poll, test.firstPhase)
			for _, attempt := range attempts {
				path += ", then an attempt " + attempt.name
			}
			took := test.maxUpdateTime(attempts)
			fmt.Fprintf(&trace, "%s, then one answered after %v: updated by %v\n", path, test.response, took)
			if took > test.limit {
				t.Errorf("%s: updated by %v, want at most %v", path, took, test.limit)
			}
		}
	}
	golden.Check(t, trace.String())
}
