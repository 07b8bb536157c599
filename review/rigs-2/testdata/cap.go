package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// The figures of the case cap.
const (
	capGateways = 2
	capClients  = 8 // half of them on the plan that is changed
	capPause    = 100 * time.Millisecond
	capBefore   = 3 * time.Second
	capAfter    = 20 * time.Second
	capWait     = 2500 * time.Millisecond // of a client for an answer
	capLate     = 550 * time.Millisecond  // after that an answer may come: half a second, and 50 ms on sockets
	capOld      = 6
	capNew      = 4294967295
)

// capRig counts the requests without an answer.
type capRig struct {
	*growthRig
	mu   sync.Mutex
	lost map[string]int // by plan
}

// playCap has the operator raise a plan's cap on requests in flight to a number that is never reached.
func playCap(r *rig) bool {
	g := &capRig{growthRig: &growthRig{rig: r, listen: r.freeAddresses(capGateways), peers: r.freeAddresses(capGateways)},
		lost: map[string]int{}}
	for range 4 {
		g.hosts = append(g.hosts, r.newHost(func(c call, write func(string)) {
			time.Sleep(60 * time.Millisecond)
			write(value("for "+c.words[2], 0.3))
		}))
	}
	g.agent = r.newAgent(g.hosts...)
	g.startPublishers()
	basic := object{"name": "basic", "rate": 50, "burst": 100, "worth_factor": 1}
	version := g.change("PUT", object{"plans": []object{basic, capPlan(capOld)}, "profiles": growthProfiles(),
		"peers":  g.peers,
		"limits": object{"max_attempts": 3, "retry_after": true, "max_retry_after_us": 2000000, "cancelling": true}})
	g.startGateways(0, capGateways, version)
	done := make(chan struct{})
	var running sync.WaitGroup
	for k := range capClients {
		running.Go(func() { g.ask(k, []string{"basic", "standard"}[k/2%2], done) })
	}
	time.Sleep(capBefore)
	if r.trouble {
		g.change("PATCH", object{"set": object{"plans/standard": capPlan(capNew)}})
	}
	time.Sleep(capAfter)
	close(done)
	running.Wait()
	r.note("requests without an answer in time, by plan: %v", g.lost)
	return len(g.lost) > 0
}

// capPlan is the plan with a cap on requests in flight.
func capPlan(most int) object {
	return object{"name": "standard", "rate": 50, "burst": 100, "parallel": most, "worth_factor": 1}
}

// ask sends one request after another and counts those that get no answer in time.
func (g *capRig) ask(k int, plan string, done chan struct{}) {
	c := &keptClient{address: g.listen[k%capGateways]}
	defer c.close()
	for n := 0; ; n++ {
		select {
		case <-done:
			return
		case <-time.After(capPause):
		}
		arguments := fmt.Sprintf("c=lookup,t=%s,d=%d,units=1,spread=%d,first=0", plan, capWait.Milliseconds(), capGateways)
		sent := time.Now()
		answer := c.call(capWait+capLate, "CALL.GET", fmt.Sprintf("%016x", k+1), fmt.Sprintf("k%d-%d", k, n), arguments)
		g.noteAt(sent, "client %d on %s: %s after %.2f s", k, plan, answer, time.Since(sent).Seconds())
		if strings.HasPrefix(answer, "none") {
			g.mu.Lock()
			g.lost[plan]++
			g.mu.Unlock()
		}
	}
}
