package logic

import (
	"fmt"
	"testing"
	"time"

	"ravensill/gateway"
	"ravensill/internal/golden"
)

// The counters of a new incarnation start from zero and are not compared with those of the one before.
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

// A restarted gateway receives from both peers what its full copy lacks, and subtracts it once.
func TestRestartedGatewayHearsWhatIsOwedOnce(t *testing.T) {
	sim := newSimulation(3, 4, func(sim *simulation) { sim.plans[0].Rate = 1 })
	sim.arrive(0, "a", 8)
	sim.finishAll(0)
	sim.advance(3*time.Second, true) // all records are old
	sim.trace.Reset()
	sim.restart(2, 4, 3)
	sim.arrive(2, "a", 1) // it can't know
	sim.recordLevels("a")
	sim.advance(200*ms, true)
	sim.recordLevels("a")
	sim.arrive(1, "a", 1)
	sim.advance(200*ms, true)
	sim.recordLevels("a")
	golden.Check(t, sim.trace.String())
}

// A first counter that is sent 3 s late is subtracted, less what has been refilled.
func TestFirstCounterSentLateIsCharged(t *testing.T) {
	sim := newSimulation(3, 4, func(sim *simulation) { sim.plans[0].Rate = 0.5 })
	sim.advance(5*time.Second, true) // all incarnations are old
	sim.arrive(0, "a", 4)
	sim.finishAll(0)
	sim.trace.Reset()
	for _, p := range sim.gateways[0].gateway.neighbours {
		p.credit = -24 // of 8 a second
	}
	sim.advance(3200*ms, true)
	sim.recordLevels("a")
	golden.Check(t, sim.trace.String())
}

// After a restart of one gateway, the counters of 50 customers are sent to it alone.
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

// Messages that are short, cut off or of another version change nothing.
func TestMalformedGossipIsDropped(t *testing.T) {
	sim := newSimulation(2, 1, nil)
	sim.arrive(1, "a", 4)
	for sim.gateways[1].messages = nil; len(sim.gateways[1].messages) == 0; sim.now = sim.now.Add(timerInterval) {
		sim.deliver(1, gateway.Event{Kind: gateway.TimerFired})
	}
	good := sim.gateways[1].messages[0]
	for n := range good {
		sim.deliver(0, gateway.Event{Kind: gateway.GossipReceived, Peer: 1, Message: good[:n]})
	}
	sim.deliver(0, gateway.Event{Kind: gateway.GossipReceived, Peer: 1, Message: append([]byte{9}, good[1:]...)},
		gateway.Event{Kind: gateway.GossipReceived, Peer: 7, Message: good})
	sim.recordLevels("a")
	sim.restart(0, 1, 2) // it has taken one cut right behind the head for a sign of life
	sim.deliver(0, gateway.Event{Kind: gateway.GossipReceived, Peer: 1, Message: good})
	sim.recordLevels("a")
	golden.Check(t, sim.trace.String())
}

// Among 300 gateways counters reach all of a customer's gateways in two hops, and none twice.
func TestCountersReachAllOfThreeHundredGatewaysOnce(t *testing.T) {
	sim := newSimulation(300, 300, func(sim *simulation) { sim.plans[0].Rate = 0.001 })
	sim.arrive(290, "a", 3)
	sim.arrive(5, "a", 2)
	sim.trace.Reset()
	sim.advance(4*time.Second, true)
	low, high, links := 100.0, 0.0, 0
	for _, s := range sim.gateways {
		level := s.gateway.customerFor(hashText("a"), 0, 300, 0).level
		low, high = min(low, level), max(high, level)
	}
	for _, p := range sim.gateways[299].gateway.peers {
		if p != nil {
			links++
		}
	}
	fmt.Fprintf(&sim.trace, "gateway 299 knows %d others; copies of a hold %.1f to %.1f units\n", links, low, high)
	golden.Check(t, sim.trace.String())
}

// With counters to send on every link, a gateway sends as many messages as its share of what receivers can
// take.
func TestGossipKeepsToItsShare(t *testing.T) {
	sim := newSimulation(80, 60, nil)
	sent := 0
	for k := range 40 { // customers at many gateways, each admitting now and then
		for i := 0; i < 80; i += 7 {
			sim.arrive((i+k)%80, fmt.Sprintf("c%d", k), 1)
		}
	}
	sim.advance(2*time.Second, true)
	for range 10 { // 5 s in all, with new admissions
		for k := range 40 {
			sim.arrive((k*13)%80, fmt.Sprintf("c%d", k), 1)
		}
		sent += sim.advance(time.Second/2, true)
	}
	perSecond := float64(sent) / 80 / 5
	if budget := 0.4 * 40.0; perSecond > budget*1.1 {
		t.Fatalf("a gateway sends %.1f datagrams a second; its share is at most %.1f, 0.4 of 40", perSecond, budget)
	}
	if perSecond < 2 {
		t.Fatalf("a gateway sends %.1f datagrams a second: counters are not sent", perSecond)
	}
}

// A gateway with many requests sends more often than one with few, up to twice as often.
func TestGossipRateFollowsRequests(t *testing.T) {
	var sent []int
	for _, requests := range []int{1, 4} { // a tick and gateway: 25 and 100 a second, against 16 messages
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
	if r := float64(sent[1]) / float64(sent[0]); r < 1.15 || float64(sent[1])/16 > 1.1*0.8*40 {
		t.Errorf("messages %v: with four times the requests %.2f times as many, want more, at most 0.8 of 40 a second",
			sent, r)
	}
}
