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

// lost is where a try gets stuck that brings nothing; none does in one that is answered.
type lost struct {
	name  string
	stuck phase
	quick bool // what goes before that takes no time
}

// module is the decisions' own part: it asks where the list only comes when asked for.
type module struct {
	gateway.Actions
	wake  int64
	asked bool
}

func (m *module) SetTimer(after time.Duration) { m.wake = int64(after) }
func (m *module) WatchEndpoints()              { m.asked = true }

// rest gives the module's longest wait, over many draws, until it asks again after so many losses of the list in a row. The
// last call was lost after it took so long; each loss comes just after a wake-up that asked for nothing.
func rest(losses int, took time.Duration) (longest time.Duration) {
	for seed := range uint64(200) {
		m := &module{}
		g := logic.New(seed, gateway.Membership{Count: 1}, []gateway.RequestClass{{LatencyObjective: 1, Timeout: 1}}, []gateway.Plan{{}},
			gateway.Limits{PollEndpoints: true}, gateway.SlowStart{}, gateway.LoadReportForm{})
		now := int64(1e9)
		wake := func() {
			now += m.wake
			g.Decide(&gateway.Batch{Now: gateway.Time(now), Events: []gateway.Event{{Kind: gateway.TimerFired}}}, m)
		}
		g.Decide(&gateway.Batch{Now: gateway.Time(now)}, m)
		for i := range losses {
			for asked := now; i == losses-1 && now+m.wake < asked+int64(took); {
				wake()
			}
			now++
			lost := now
			g.Decide(&gateway.Batch{Now: gateway.Time(now), Events: []gateway.Event{{Kind: gateway.EndpointsListed, ListKind: gateway.ListUnavailable}}}, m)
			for m.asked = false; !m.asked; {
				wake()
			}
			if i == losses-1 {
				longest = max(longest, time.Duration(now-lost))
			}
		}
	}
	return longest
}

// Sums of the longest waits. The first watch falls silent at 0, right after a line, or the first call is lost then; what
// it misses is there at 0 too. Each of the tries is lost but the last one, which is answered after slow.
func told(call bool, first phase, losses int, tries []lost, slow time.Duration) (at time.Duration) {
	epoch := time.Unix(1, 0)
	p := NewTimeouts(call)
	took := time.Duration(0)
	if first >= 0 {
		p.enter(first, epoch)
		took = p.deadline().Sub(epoch) + lastLook
	}
	for at = took; ; losses++ {
		if call {
			at += rest(losses, took)
		} else {
			at += RewatchDelay
		}
		if len(tries) == 0 {
			return at + slow
		}
		p = NewTimeouts(call)
		begun := at
		for _, phase := range []phase{connecting, asked, following, inValue} {
			p.enter(phase, epoch.Add(at))
			if tries[0].stuck == phase {
				at = p.deadline().Sub(epoch) + lastLook
				break
			} else if phase < following && !tries[0].quick { // it takes as long as it may
				at = p.deadline().Sub(epoch)
			}
		}
		took, tries = at-begun, tries[1:]
	}
}

// A change counts as told 6 s after discovery had it and could be reached, pushed or asked for: it is there by then with one
// try lost, wherever that is. Where it is asked for and a call may wait for 2 s, a try that is refused is lost at once.
func TestListWithinDeadlineOnWorstPath(t *testing.T) {
	var all strings.Builder
	const term, soonest = 6 * time.Second, time.Second // the latter from when an agent that was down is back
	hangs, refused, mute := lost{"that hangs", connecting, false}, lost{"refused", -1, true}, lost{"mute", asked, false}
	head, half, quick := lost{"stuck behind its head", following, false}, lost{"stuck in a list", inValue, false}, lost{"soon stuck in a list", inValue, true}
	soon := lost{"soon stuck behind its head", following, true}
	for _, x := range []struct {
		call   bool
		first  phase // of the watch that falls silent, or of a call that is lost as discovery comes back; -1 refused at once
		losses int   // in a row, that one included
		tries  [][]lost
		slow   time.Duration
		most   time.Duration
	}{
		{false, following, 1, [][]lost{{}, {hangs}, {mute}, {half}, {head}, {mute, mute}}, 0, term},
		{false, connecting, 9, [][]lost{{}}, 0, soonest},
		{false, asked, 9, [][]lost{{}}, 0, soonest},
		{true, following, 1, [][]lost{{}, {refused}}, 2 * time.Second, term},
		{true, following, 1, [][]lost{{hangs}, {mute}, {soon}, {quick}}, 0, term},
		{true, asked, 9, [][]lost{{}}, 2 * time.Second, term},
		{true, -1, 9, [][]lost{{}}, 2 * time.Second, term}, // refused at once
	} {
		for _, tries := range x.tries {
			path := fmt.Sprintf("asked for %t, lost in phase %d", x.call, x.first)
			for _, l := range tries {
				path += ", then a try " + l.name
			}
			at := told(x.call, x.first, x.losses, tries, x.slow)
			fmt.Fprintf(&all, "%s, then one answered after %v: told by %v\n", path, x.slow, at)
			if at > x.most {
				t.Errorf("%s: told by %v", path, at)
			}
		}
	}
	golden.Check(t, all.String())
}
