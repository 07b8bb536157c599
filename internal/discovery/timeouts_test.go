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

// pollActions records what a decision module asks for that polls the endpoint list.
type pollActions struct {
	gateway.Actions
	timer  time.Duration
	polled bool
}

func (a *pollActions) SetTimer(after time.Duration) { a.timer = after }
func (a *pollActions) WatchEndpoints()              { a.polled = true }

// poller is a decision module that polls the endpoint list, with its clock.
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

// loseList fails a poll right after the timer has fired, and runs until the next poll. It returns the time in between.
func (p *poller) loseList() time.Duration {
	p.now++
	lost := p.now
	p.decide(gateway.Event{Kind: gateway.EndpointsListed, ListKind: gateway.ListUnavailable})
	p.actions.polled = false
	for !p.actions.polled {
		p.fireTimer()
	}
	return p.now.Sub(lost)
}

// longestPollDelay returns the longest time, of many draws, until the module polls again after a number of consecutive
// failures, the last of which took some time.
func longestPollDelay(failures int, lastTook time.Duration) (longest time.Duration) {
	for seed := range uint64(200) {
		p := newPoller(seed)
		for range failures - 1 {
			p.loseList()
		}
		failed := p.now.Add(lastTook)
		for p.nextTimer() < failed {
			p.fireTimer()
		}
		longest = max(longest, p.loseList())
	}
	return longest
}

// rejected is the phase of an attempt that fails at once.
const rejected phase = -1

// failure is an attempt that brings no list.
type failure struct {
	name  string
	stuck phase
	quick bool // the phases before take no time
}

// outage is how the endpoint list is lost and comes back.
type outage struct {
	poll     bool
	first    phase         // of the watch that falls silent or the poll that fails as discovery comes back
	failures int           // consecutive ones, with the first
	response time.Duration // of the attempt that succeeds
}

// updateTime returns the longest time from the loss of the first watch or poll, right after a line, to the response of
// the attempt that follows the failing ones.
func (o outage) updateTime(attempts []failure) time.Duration {
	epoch := time.Unix(1, 0)
	timeouts := NewTimeouts(o.poll)
	took := time.Duration(0)
	if o.first != rejected {
		timeouts.enter(o.first, epoch)
		took = timeouts.deadline().Sub(epoch) + finalReadTimeout
	}
	elapsed := took
	for i := 0; ; i++ {
		if o.poll {
			elapsed += longestPollDelay(o.failures+i, took)
		} else {
			elapsed += WatchRetryDelay
		}
		if i == len(attempts) {
			return elapsed + o.response
		}
		took = attempts[i].longest(o.poll, epoch.Add(elapsed))
		elapsed += took
	}
}

// longest returns the longest time that the attempt takes from its start.
func (f failure) longest(poll bool, start time.Time) time.Duration {
	timeouts := NewTimeouts(poll)
	now := start
	for _, phase := range []phase{connecting, requested, following, inValue} {
		timeouts.enter(phase, now)
		if phase == f.stuck {
			return timeouts.deadline().Sub(start) + finalReadTimeout
		}
		if phase < following && !f.quick {
			now = timeouts.deadline()
		}
	}
	return now.Sub(start)
}

// A change of the list must reach the gateway within 6 s of the moment at which discovery could be reached, even if one
// attempt fails. A poll, which may wait for 2 s, is allowed one attempt that is rejected at once.
func TestTimeoutsLeadToListWithinDeadline(t *testing.T) {
	const (
		deadline       = 6 * time.Second
		afterAgentDown = time.Second // from when the agent is back
	)
	var (
		connectionRefused = failure{"refused", rejected, true}
		hangs             = failure{"that hangs", connecting, false}
		noResponse        = failure{"without response", requested, false}
		stuckBehindHead   = failure{"stuck behind its head", following, false}
		stuckInList       = failure{"stuck in a list", inValue, false}
		soonBehindHead    = failure{"soon stuck behind its head", following, true}
		soonInList        = failure{"soon stuck in a list", inValue, true}
	)
	none := []failure{}
	watched := [][]failure{
		none, {hangs}, {noResponse}, {stuckInList}, {stuckBehindHead}, {noResponse, noResponse},
	}
	var trace strings.Builder
	for _, test := range []struct {
		outage
		attempts [][]failure
		limit    time.Duration
	}{
		{outage{false, following, 1, 0}, watched, deadline},
		{outage{false, connecting, 9, 0}, [][]failure{none}, afterAgentDown},
		{outage{false, requested, 9, 0}, [][]failure{none}, afterAgentDown},
		{outage{true, following, 1, 2 * time.Second}, [][]failure{none, {connectionRefused}}, deadline},
		{outage{true, following, 1, 0}, [][]failure{{hangs}, {noResponse}, {soonBehindHead}, {soonInList}}, deadline},
		{outage{true, requested, 9, 2 * time.Second}, [][]failure{none}, deadline},
		{outage{true, rejected, 9, 2 * time.Second}, [][]failure{none}, deadline},
	} {
		for _, attempts := range test.attempts {
			path := fmt.Sprintf("polled %t, lost in phase %d", test.poll, test.first)
			for _, attempt := range attempts {
				path += ", then an attempt " + attempt.name
			}
			took := test.updateTime(attempts)
			fmt.Fprintf(&trace, "%s, then one answered after %v: updated by %v\n", path, test.response, took)
			if took > test.limit {
				t.Errorf("%s: updated by %v, want at most %v", path, took, test.limit)
			}
		}
	}
	golden.Check(t, trace.String())
}
