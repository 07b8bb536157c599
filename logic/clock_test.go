package logic

import (
	"fmt"
	"testing"
	"time"

	"ravensill/gateway"
)

// clockSteps are the steps of a wall clock that tests play, in both directions.
var clockSteps = []time.Duration{3600 * time.Second, -3600 * time.Second, 5 * time.Second, -5 * time.Second}

// epoch is the time at which these tests begin: far enough from 0 for a clock to be set back.
const epoch = gateway.Time(1_000_000 * time.Second)

// A gateway restarts after its wall clock was set. Its peer hears it again within the time that makes a peer count as gone, and
// takes the admissions of both incarnations off its copy.
func TestPeerRestartAfterClockStep(t *testing.T) {
	for _, step := range clockSteps {
		t.Run(fmt.Sprint(step), func(t *testing.T) {
			w := newSimulation(2, 4, func(w *simulation) { w.now, w.plans[0].Rate = epoch, 0.001 })
			w.arrive(1, "a", 3)
			w.finishAll(1)
			w.advance(3*time.Second, true)
			w.gateways[1].clockOffset = step
			w.restart(1, 4, 2)
			peer := w.gateways[0].gateway.peers[1]
			w.advance(w.gateways[0].gateway.peerTimeout+time.Second, true)
			w.arrive(1, "a", 4)
			w.finishAll(1)
			w.advance(time.Second, true)
			if quiet := w.now.Sub(peer.lastReceived); quiet > w.gateways[0].gateway.heartbeatInterval {
				t.Errorf("the peer counts as silent for %v", quiet)
			}
			c := w.gateways[0].gateway.customers[hashText("a")]
			const left, presumed = 10 - 3 - 4, 3 // presumed: taken for a peer that is not heard, which goes on as before
			if c == nil || c.level > left+0.1 || c.level < left-presumed {
				t.Errorf("the copy at the peer: %+v", c)
			}
		})
	}
}

// A datagram of the incarnation before that comes late changes nothing while the later incarnation is heard.
func TestOvertakenDatagramOfFormerIncarnation(t *testing.T) {
	w := newSimulation(2, 4, nil)
	w.arrive(1, "a", 3)
	w.finishAll(1)
	var overtaken []byte
	for ; overtaken == nil; w.now = w.now.Add(timerInterval) {
		w.deliver(1, gateway.Event{Kind: gateway.TimerFired})
		if messages := w.gateways[1].messages; len(messages) > 0 {
			overtaken = messages[0]
		}
	}
	w.restart(1, 4, 2)
	w.advance(time.Second, true)
	peer := w.gateways[0].gateway.peers[1]
	incarnation, level := peer.incarnation, w.gateways[0].gateway.customerFor(hashText("a"), 0, 2, 0).level
	w.deliver(0, gateway.Event{Kind: gateway.GossipReceived, Peer: 1, Message: overtaken})
	if peer.incarnation != incarnation || w.gateways[0].gateway.customers[hashText("a")].level != level {
		t.Errorf("incarnation %d, then %d", incarnation, peer.incarnation)
	}
}

// A host starts while a gateway runs whose wall clock is off, after a long time without news. The gateway takes the host for as
// warm as it is, or colder by no more than the notification took, whatever the clocks say.
func TestSlowStartUnderClockStep(t *testing.T) {
	const delay = 100 * ms // of the notification
	for _, step := range append([]time.Duration{0}, clockSteps...) {
		t.Run(fmt.Sprint(step), func(t *testing.T) {
			w := newSimulation(1, 3, func(w *simulation) { w.now = epoch })
			w.gateways[0].clockOffset = step
			w.restart(0, 3, 1)
			pool := &w.gateways[0].gateway.endpoints
			notify := func(l gateway.Endpoint) {
				w.deliver(0, gateway.Event{Kind: gateway.EndpointsListed, ListKind: gateway.ListChanges, Endpoints: []gateway.Endpoint{l}})
			}
			notify(gateway.Endpoint{Host: 2, Cell: 0})
			w.now = w.now.Add(100 * time.Second)
			started := w.now
			w.now = w.now.Add(delay)
			notify(gateway.Endpoint{Host: 3, StartedAt: started})
			h := pool.all[2]
			for _, age := range []time.Duration{delay, 3 * time.Second, w.cold.Duration / 2, w.cold.Duration + delay} {
				w.now = started.Add(age)
				most := w.cold.InitialFraction + (1-w.cold.InitialFraction)*float64(age)/float64(w.cold.Duration)
				least := w.cold.InitialFraction + (1-w.cold.InitialFraction)*float64(age-delay)/float64(w.cold.Duration)
				if warm := pool.warmUpFraction(h, w.now.Add(step)); warm > min(most, 1) || warm < min(least, 1) {
					t.Errorf("at the age of %v: %.3f warm, want %.3f to %.3f", age, warm, least, most)
				}
			}
		})
	}
}

// A host whose own wall clock was set back restarts: its start is lower than the one before, and it is cold all the same.
func TestSlowStartOfHostWithClockSetBack(t *testing.T) {
	w := newSimulation(1, 3, func(w *simulation) { w.now = epoch })
	notify := func(since gateway.Time) {
		l := gateway.Endpoint{Host: 3, StartedAt: since}
		w.deliver(0, gateway.Event{Kind: gateway.EndpointsListed, ListKind: gateway.ListChanges, Endpoints: []gateway.Endpoint{l}})
	}
	notify(w.now)
	w.advance(w.cold.Duration+time.Second, true)
	notify(w.now.Add(-3600 * time.Second))
	pool := &w.gateways[0].gateway.endpoints
	if warm := pool.warmUpFraction(pool.all[2], w.now); warm > w.cold.InitialFraction+0.15 {
		t.Errorf("%.2f warm", warm)
	}
}
