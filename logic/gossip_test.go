package logic

import (
	"fmt"
	"testing"
	"time"

	"ravensill/gateway"
	"ravensill/internal/golden"
)

// A restarted peer counts from zero. Its counters must not be compared with those of its former incarnation, which
// are higher.
func TestRestartedPeerCountsAnew(t *testing.T) {
	sim := newSimulation(2, 4, nil)
	sim.arrive(1, "a", 8)
	sim.finishAll(1)
	sim.advance(100*ms, true)
	sim.trace.Reset()
	sim.recordLevels("a")
	sim.restart(1, 4, 2)
	sim.arrive(1, "a", 2)
	sim.advance(100*ms, true)
	sim.recordLevels("a")
	golden.Check(t, sim.trace.String())
}

// A restarted gateway has full buckets. Both peers send it what its copy lacks, each a part of it, so that it is
// subtracted once.
func TestRestartedGatewayHearsWhatIsOwedOnce(t *testing.T) {
	sim := newSimulation(3, 4, func(sim *simulation) { sim.plans[0].Rate = 1 })
	sim.arrive(0, "a", 8)
	sim.finishAll(0)
	sim.advance(3*time.Second, true) // no record or incarnation counts as new any more
	sim.trace.Reset()
	sim.restart(2, 4, 3)
	sim.arrive(2, "a", 1) // it has no gossip of the 8 units yet
	sim.recordLevels("a")
	sim.advance(200*ms, true)
	sim.recordLevels("a")
	sim.arrive(1, "a", 1)
	sim.advance(200*ms, true)
	sim.recordLevels("a")
	golden.Check(t, sim.trace.String())
}

// A peer's first counter may be sent late, here by 3 s, because of its message rate. The receiver subtracts it less
// what has been refilled since.
func TestFirstCounterSentLateIsCharged(t *testing.T) {
	sim := newSimulation(3, 4, func(sim *simulation) { sim.plans[0].Rate = 0.5 })
	sim.advance(5*time.Second, true) // no incarnation counts as new any more
	sim.arrive(0, "a", 4)
	sim.finishAll(0)
	sim.trace.Reset()
	for _, p := range sim.gateways[0].gateway.neighbors {
		p.credit = -24 // 3 s at 8 messages a second
	}
	sim.advance(3200*ms, true)
	sim.recordLevels("a")
	golden.Check(t, sim.trace.String())
}

// When one gateway restarts, a peer repeats the counters of all 50 customers to it, and to no other gateway.
func TestRestartRepeatsCountersToThatPeerOnly(t *testing.T) {
	sim := newSimulation(3, 4, func(sim *simulation) { sim.plans[0].Rate = 0.01 })
	for i := range 50 {
		sim.arrive(0, fmt.Sprint("c", i), 1)
		sim.finishAll(0)
	}
	sim.advance(8*time.Second, true)
	sim.restart(2, 4, 3)
	sim.trace.Reset()
	sent := [3]int{}
	for range 2 * time.Second / timerInterval {
		for k, to := range sim.gateways[0].receivers {
			sent[to] += len(sim.gateways[0].messages[k])
		}
		sim.advance(timerInterval, true)
		sim.deliver(0, gateway.Event{Kind: gateway.TimerFired})
	}
	golden.Check(t, fmt.Sprintf("bytes sent to each gateway %v\n", sent))
}

// Gossip that is truncated, of another version or of a member that does not exist changes nothing.
func TestMalformedGossipIsDropped(t *testing.T) {
	sim := newSimulation(2, 1, nil)
	sim.arrive(1, "a", 4)
	for sim.gateways[1].messages = nil; len(sim.gateways[1].messages) == 0; sim.now = sim.now.Add(timerInterval) {
		sim.deliver(1, gateway.Event{Kind: gateway.TimerFired})
	}
	valid := sim.gateways[1].messages[0]
	for n := range valid {
		sim.deliver(0, gateway.Event{Kind: gateway.GossipReceived, Peer: 1, Message: valid[:n]})
	}
	sim.deliver(0, gateway.Event{Kind: gateway.GossipReceived, Peer: 1, Message: append([]byte{9}, valid[1:]...)},
		gateway.Event{Kind: gateway.GossipReceived, Peer: 7, Message: valid})
	sim.recordLevels("a")
	sim.restart(0, 1, 2) // a message truncated after its header had counted as received
	sim.deliver(0, gateway.Event{Kind: gateway.GossipReceived, Peer: 1, Message: valid})
	sim.recordLevels("a")
	golden.Check(t, sim.trace.String())
}

// In a fleet of 300 gateways, counters reach all of a customer's gateways in two hops, and each is subtracted once.
func TestCountersReachAllOfThreeHundredGatewaysOnce(t *testing.T) {
	sim := newSimulation(300, 300, func(sim *simulation) { sim.plans[0].Rate = 0.001 })
	sim.arrive(290, "a", 3)
	sim.arrive(5, "a", 2)
	sim.trace.Reset()
	sim.advance(4*time.Second, true)
	low, high, neighbors := 100.0, 0.0, 0
	for _, s := range sim.gateways {
		level := s.gateway.customerFor(hashText("a"), 0, 300, 0).level
		low, high = min(low, level), max(high, level)
	}
	for _, p := range sim.gateways[299].gateway.peers {
		if p != nil {
			neighbors++
		}
	}
	fmt.Fprintf(&sim.trace, "gateway 299 knows %d others; copies of a hold %.1f to %.1f units\n", neighbors, low, high)
	golden.Check(t, sim.trace.String())
}

// With counters to send to every peer, a gateway sends no more messages than gossip may use of what receivers can
// take.
func TestGossipKeepsToItsShare(t *testing.T) {
	sim := newSimulation(80, 60, nil)
	sent := 0
	for k := range 40 { // 40 customers, each with requests at 12 gateways
		for i := 0; i < 80; i += 7 {
			sim.arrive((i+k)%80, fmt.Sprintf("c%d", k), 1)
		}
	}
	sim.advance(2*time.Second, true)
	for range 10 { // 10 periods of half a second, with new admissions in each
		for k := range 40 {
			sim.arrive((k*13)%80, fmt.Sprintf("c%d", k), 1)
		}
		sent += sim.advance(time.Second/2, true)
	}
	perSecond := float64(sent) / 80 / 5
	if budget := 0.4 * 40.0; perSecond > budget*1.1 {
		t.Fatalf("a gateway sends %.1f messages a second, want at most %.1f (0.4 of 40)", perSecond, budget)
	}
	if perSecond < 2 {
		t.Fatalf("a gateway sends %.1f messages a second, want at least 2", perSecond)
	}
}

// A gateway with many requests sends gossip more often than one with few, up to twice as often.
func TestGossipRateFollowsRequests(t *testing.T) {
	var sent []int
	// Requests per timer interval and gateway: 25 and 100 a second, at a gossip rate of 16 messages a second.
	for _, requests := range []int{1, 4} {
		sim := newSimulation(4, 4, func(sim *simulation) { sim.setQuota(1000) })
		n := 0
		for range 100 {
			for i := range 4 {
				for k := range requests {
					sim.arrive(i, fmt.Sprint("c", k), 1)
				}
				sim.finishAll(i)
			}
			n += sim.advance(timerInterval, true)
		}
		sent = append(sent, n)
	}
	if ratio := float64(sent[1]) / float64(sent[0]); ratio < 1.15 || float64(sent[1])/16 > 1.1*0.8*40 {
		t.Errorf("messages %v: %.2f times as many with four times the requests, want 1.15, at most 0.8 of 40 a second",
			sent, ratio)
	}
}
