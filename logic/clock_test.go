package logic

import (
	"fmt"
	"testing"
	"time"

	"ravensill/gateway"
)

// expectedWarmUp returns the fraction of its capacity that an endpoint has at an age within the slow start
// duration.
func expectedWarmUp(s gateway.SlowStart, age time.Duration) float64 {
	return s.InitialFraction + (1-s.InitialFraction)*float64(age)/float64(s.Duration)
}

// clockSteps are steps by which a wall clock is set forward or back.
var clockSteps = []time.Duration{3600 * time.Second, -3600 * time.Second, 5 * time.Second, -5 * time.Second}

// epoch is the time at which these tests begin. It is far enough from 0 to set a clock back by an hour.
const epoch = gateway.Time(1_000_000 * time.Second)

// A peer numbers its incarnation by its wall clock. If that clock is set back before a restart, messages of the new
// incarnation look older than those of the former one. They must be accepted after the peer timeout, and the
// admissions of both incarnations must be subtracted, in whichever direction the clock was set.
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
				t.Errorf("the latest accepted message of the peer is %v old", silence)
			}
			c := sim.gateways[0].gateway.customers[hashText("a")]
			const left, presumed = 10 - 3 - 4, 3 // presumed: subtracted while the peer was silent
			if c == nil || c.level > left+0.1 || c.level < left-presumed {
				t.Errorf("the copy at the other gateway is not reduced by 3 and 4 units: %+v", c)
			}
		})
	}
}

// A delayed message of a peer's former incarnation changes nothing while messages of the current one arrive.
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
		t.Errorf("a message of the former incarnation was applied: incarnation %d, then %d", incarnation, peer.incarnation)
	}
}

// Slow start must not depend on a gateway's wall clock being right: an endpoint that starts while that clock is off
// counts as warm as it is, or less warm by the delay of its announcement.
func TestSlowStartUnderClockStep(t *testing.T) {
	const delay = 100 * ms // between an endpoint's start and its announcement
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
					t.Errorf("endpoint of age %v: warm-up fraction %.3f, want %.3f to %.3f", age, warm, least, most)
				}
			}
		})
	}
}

// An endpoint that restarts after its host's wall clock was set back is announced with an earlier start than
// before. It warms up like any other.
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
		t.Errorf("the restarted endpoint has a warm-up fraction of %.2f", warm)
	}
}
