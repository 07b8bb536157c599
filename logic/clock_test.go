package logic

import (
	"fmt"
	"testing"
	"time"

	"ravensill/gateway"
)

// expectedWarmUp returns the fraction of its capacity that an endpoint of an age has.
func expectedWarmUp(s gateway.SlowStart, age time.Duration) float64 {
	return s.InitialFraction + (1-s.InitialFraction)*float64(age)/float64(s.Duration)
}

// clockSteps are steps of a wall clock in both directions.
var clockSteps = []time.Duration{3600 * time.Second, -3600 * time.Second, 5 * time.Second, -5 * time.Second}

// epoch is the time at which these tests begin: far enough from 0 for a clock to be set back.
const epoch = gateway.Time(1_000_000 * time.Second)

// A peer that restarts after a step of its wall clock is heard within the peer timeout, and the admissions of
// both incarnations are subtracted.
func TestPeerRestartAfterClockStep(t *testing.T) {
	for _, step := range clockSteps {
		t.Run(fmt.Sprint(step), func(t *testing.T) {
			sim := newSimulation(2, 4, func(sim *simulation) { sim.now, sim.plans[0].Rate = epoch, 0.001 })
			sim.arrive(1, "a", 3)
			sim.finishAll(1)
			sim.advance(3*time.Second, true)
			sim.gateways[1].clockOffset = step
			sim.restart(1, 4, 2)
			peer := sim.gateways[0].gateway.peers[1]
			sim.advance(sim.gateways[0].gateway.peerTimeout+time.Second, true)
			sim.arrive(1, "a", 4)
			sim.finishAll(1)
			sim.advance(time.Second, true)
			if silence := sim.now.Sub(peer.lastReceived); silence > sim.gateways[0].gateway.heartbeatInterval {
				t.Errorf("the peer counts as silent for %v", silence)
			}
			c := sim.gateways[0].gateway.customers[hashText("a")]
			const left, presumed = 10 - 3 - 4, 3 // presumed: taken for a peer that is not heard, which goes on as before
			if c == nil || c.level > left+0.1 || c.level < left-presumed {
				t.Errorf("the copy at the peer: %+v", c)
			}
		})
	}
}

// A late datagram of the former incarnation changes nothing while the later one is heard.
func TestOvertakenDatagramOfFormerIncarnation(t *testing.T) {
	sim := newSimulation(2, 4, nil)
	sim.arrive(1, "a", 3)
	sim.finishAll(1)
	var overtaken []byte
	for ; overtaken == nil; sim.now = sim.now.Add(timerInterval) {
		sim.deliver(1, gateway.Event{Kind: gateway.TimerFired})
		if messages := sim.gateways[1].messages; len(messages) > 0 {
			overtaken = messages[0]
		}
	}
	sim.restart(1, 4, 2)
	sim.advance(time.Second, true)
	peer := sim.gateways[0].gateway.peers[1]
	incarnation, level := peer.incarnation, sim.gateways[0].gateway.customerFor(hashText("a"), 0, 2, 0).level
	sim.deliver(0, gateway.Event{Kind: gateway.GossipReceived, Peer: 1, Message: overtaken})
	if peer.incarnation != incarnation || sim.gateways[0].gateway.customers[hashText("a")].level != level {
		t.Errorf("incarnation %d, then %d", incarnation, peer.incarnation)
	}
}

// An endpoint that starts while the gateway's wall clock is off counts as warm as it is, or colder by the delay
// of its announcement.
func TestSlowStartUnderClockStep(t *testing.T) {
	const delay = 100 * ms // of the notification
	for _, step := range append([]time.Duration{0}, clockSteps...) {
		t.Run(fmt.Sprint(step), func(t *testing.T) {
			sim := newSimulation(1, 3, func(sim *simulation) { sim.now = epoch })
			sim.gateways[0].clockOffset = step
			sim.restart(0, 3, 1)
			endpoints := &sim.gateways[0].gateway.endpoints
			notify := func(listed gateway.Endpoint) {
				sim.list(0, gateway.ListChanges, []gateway.Endpoint{listed})
			}
			notify(gateway.Endpoint{Host: 2, Cell: 0})
			sim.now = sim.now.Add(100 * time.Second)
			started := sim.now
			sim.now = sim.now.Add(delay)
			notify(gateway.Endpoint{Host: 3, StartedAt: started})
			e := endpoints.all[2]
			duration := sim.slowStart.Duration
			for _, age := range []time.Duration{delay, 3 * time.Second, duration / 2, duration + delay} {
				sim.now = started.Add(age)
				most := expectedWarmUp(sim.slowStart, age)
				least := expectedWarmUp(sim.slowStart, age-delay)
				if warm := endpoints.warmUpFraction(e, sim.now.Add(step)); warm > min(most, 1) || warm < min(least, 1) {
					t.Errorf("at the age of %v: %.3f warm, want %.3f to %.3f", age, warm, least, most)
				}
			}
		})
	}
}

// An endpoint that restarts after its own wall clock was set back warms up like any other.
func TestSlowStartOfHostWithClockSetBack(t *testing.T) {
	sim := newSimulation(1, 3, func(sim *simulation) { sim.now = epoch })
	notify := func(since gateway.Time) {
		listed := gateway.Endpoint{Host: 3, StartedAt: since}
		sim.list(0, gateway.ListChanges, []gateway.Endpoint{listed})
	}
	notify(sim.now)
	sim.advance(sim.slowStart.Duration+time.Second, true)
	notify(sim.now.Add(-3600 * time.Second))
	endpoints := &sim.gateways[0].gateway.endpoints
	if warm := endpoints.warmUpFraction(endpoints.all[2], sim.now); warm > sim.slowStart.InitialFraction+0.15 {
		t.Errorf("%.2f warm", warm)
	}
}
