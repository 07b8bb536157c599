package logic

import (
	"fmt"
	"testing"
	"time"

	"ravensill/gateway"
	"ravensill/internal/golden"
)

// TestRestartedPeerCountsAnew: a new incarnation's totals start anew and are not taken for less of the old.
func TestRestartedPeerCountsAnew(t *testing.T) {
	w := newSimulation(2, 4, nil)
	w.arrive(1, "a", 8)
	w.finishAll(1)
	w.advance(100*ms, true)
	w.trace.Reset()
	w.recordLevels("a")
	w.restart(1, 4, 2)
	w.arrive(1, "a", 2)
	w.advance(100*ms, true)
	w.recordLevels("a")
	golden.Check(t, w.trace.String())
}

// TestRestartedGatewayHearsWhatIsOwedOnce: a restarted gateway hears from both peers what its full copy lacks, and takes it off once.
func TestRestartedGatewayHearsWhatIsOwedOnce(t *testing.T) {
	w := newSimulation(3, 4, func(w *simulation) { w.plans[0].Rate = 1 })
	w.arrive(0, "a", 8)
	w.finishAll(0)
	w.advance(3*time.Second, true) // no record is young
	w.trace.Reset()
	w.restart(2, 4, 3)
	w.arrive(2, "a", 1) // it can't know
	w.recordLevels("a")
	w.advance(200*ms, true)
	w.recordLevels("a")
	w.arrive(1, "a", 1)
	w.advance(200*ms, true)
	w.recordLevels("a")
	golden.Check(t, w.trace.String())
}

// TestFirstCounterSentLateIsCharged: a total that had to wait 3 s for its first message is charged, less what refilled.
func TestFirstCounterSentLateIsCharged(t *testing.T) {
	w := newSimulation(3, 4, func(w *simulation) { w.plans[0].Rate = 0.5 })
	w.advance(5*time.Second, true) // no life is young
	w.arrive(0, "a", 4)
	w.finishAll(0)
	w.trace.Reset()
	for _, p := range w.gateways[0].gateway.neighbours {
		p.credit = -24 // of 8 a second
	}
	w.advance(3200*ms, true)
	w.recordLevels("a")
	golden.Check(t, w.trace.String())
}

// TestRestartRepeatsCountersToThatPeerOnly: gateway 2 starts anew: it alone is told again of the 50 customers.
func TestRestartRepeatsCountersToThatPeerOnly(t *testing.T) {
	w := newSimulation(3, 4, func(w *simulation) { w.plans[0].Rate = 0.01 })
	for i := range 50 {
		w.arrive(0, fmt.Sprint("c", i), 1)
		w.finishAll(0)
	}
	w.advance(8*time.Second, true)
	w.restart(2, 4, 3)
	w.trace.Reset()
	told := [3]int{}
	for range 2 * time.Second / timerInterval {
		for k, to := range w.gateways[0].receivers {
			told[to] += len(w.gateways[0].messages[k])
		}
		w.advance(timerInterval, true)
		w.deliver(0, gateway.Event{Kind: gateway.TimerFired})
	}
	golden.Check(t, fmt.Sprintf("bytes told to each gateway %v\n", told))
}

// TestMalformedGossipIsDropped: short, of another version, cut off: dropped without harm.
func TestMalformedGossipIsDropped(t *testing.T) {
	w := newSimulation(2, 1, nil)
	w.arrive(1, "a", 4)
	for w.gateways[1].messages = nil; len(w.gateways[1].messages) == 0; w.now = w.now.Add(timerInterval) {
		w.deliver(1, gateway.Event{Kind: gateway.TimerFired})
	}
	good := w.gateways[1].messages[0]
	for n := range good {
		w.deliver(0, gateway.Event{Kind: gateway.GossipReceived, Peer: 1, Message: good[:n]})
	}
	w.deliver(0, gateway.Event{Kind: gateway.GossipReceived, Peer: 1, Message: append([]byte{9}, good[1:]...)},
		gateway.Event{Kind: gateway.GossipReceived, Peer: 7, Message: good})
	w.recordLevels("a")
	w.restart(0, 1, 2) // it has taken one cut right behind the head for a sign of life
	w.deliver(0, gateway.Event{Kind: gateway.GossipReceived, Peer: 1, Message: good})
	w.recordLevels("a")
	golden.Check(t, w.trace.String())
}

// TestCountersReachAllOfThreeHundredGatewaysOnce: 300 gateways: totals reach all of a set in two steps, and none twice.
func TestCountersReachAllOfThreeHundredGatewaysOnce(t *testing.T) {
	w := newSimulation(300, 300, func(w *simulation) { w.plans[0].Rate = 0.001 })
	w.arrive(290, "a", 3)
	w.arrive(5, "a", 2)
	w.trace.Reset()
	w.advance(4*time.Second, true)
	low, high, links := 100.0, 0.0, 0
	for _, s := range w.gateways {
		level := s.gateway.customerFor(hashText("a"), 0, 300, 0).level
		low, high = min(low, level), max(high, level)
	}
	for _, p := range w.gateways[299].gateway.peers {
		if p != nil {
			links++
		}
	}
	fmt.Fprintf(&w.trace, "gateway 299 knows %d others; copies of a hold %.1f to %.1f units\n", links, low, high)
	golden.Check(t, w.trace.String())
}

// TestGossipKeepsToItsShare: at 80 gateways every link always has a total to tell, so a gateway sends as many datagrams
// as its share of the receivers' budget lets it; each is priced. The share is 0.4 of what one takes in.
func TestGossipKeepsToItsShare(t *testing.T) {
	w := newSimulation(80, 60, nil)
	sent := 0
	for k := range 40 { // customers at many gateways, each admitting now and then
		for i := 0; i < 80; i += 7 {
			w.arrive((i+k)%80, fmt.Sprintf("c%d", k), 1)
		}
	}
	w.advance(2*time.Second, true)
	for range 10 { // 5 s in all, with new admissions
		for k := range 40 {
			w.arrive((k*13)%80, fmt.Sprintf("c%d", k), 1)
		}
		sent += w.advance(time.Second/2, true)
	}
	perSecond := float64(sent) / 80 / 5
	if budget := 0.4 * 40.0; perSecond > budget*1.1 {
		t.Fatalf("a gateway sends %.1f datagrams a second; its share is at most %.1f, 0.4 of 40", perSecond, budget)
	}
	if perSecond < 2 {
		t.Fatalf("a gateway sends %.1f datagrams a second: totals don't go out", perSecond)
	}
}

// TestGossipRateFollowsRequests: a gateway with many requests tells its peers more often than one with few, up to twice.
func TestGossipRateFollowsRequests(t *testing.T) {
	var sent []int
	for _, reqs := range []int{1, 4} { // a tick and gateway: 25 and 100 a second, against 16 messages
		w := newSimulation(4, 4, func(w *simulation) { w.plans[0].Rate, w.plans[0].Burst = 1000, 1000 })
		n := 0
		for range 100 {
			for i := range 4 {
				for k := range reqs {
					w.arrive(i, fmt.Sprint("c", k), 1)
				}
				w.finishAll(i)
			}
			n += w.advance(timerInterval, true)
		}
		sent = append(sent, n)
	}
	if r := float64(sent[1]) / float64(sent[0]); r < 1.15 || float64(sent[1])/16 > 1.1*0.8*40 {
		t.Errorf("messages %v: with four times the reqs %.2f times as many, want more, and at most 0.8 of 40 a second", sent, r)
	}
}
