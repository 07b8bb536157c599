package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// The figures of the case sets.
const (
	setsMembers = 3
	setsBurst   = 40                     // commands that a client sends at once
	setsPause   = 500 * time.Millisecond // between two bursts of a client
	setsBefore  = 4 * time.Second
	setsBehind  = 2 * time.Second // from the new version in force until the front is told
	setsAfter   = 3 * time.Second
)

// playSets takes a gateway out of the fleet; the front goes on for a while with the sets that it knows.
func playSets(r *rig) bool {
	g := &growthRig{rig: r, listen: r.freeAddresses(setsMembers), peers: r.freeAddresses(setsMembers)}
	for range 4 {
		g.hosts = append(g.hosts, r.newHost(func(c call, write func(string)) {
			time.Sleep(10 * time.Millisecond)
			write(value("for "+c.words[2], 0.3))
		}))
	}
	g.agent = r.newAgent(g.hosts...)
	g.startPublishers()
	version := g.change("PUT", object{"plans": growthPlans(), "profiles": growthProfiles(), "peers": g.peers,
		"limits": object{"max_attempts": 3, "retry_after": true, "max_retry_after_us": 2000000, "cancelling": true}})
	gateways := g.startGateways(0, setsMembers, version)
	stop, lost := g.sendBursts(setsMembers)
	time.Sleep(setsBefore)
	if r.trouble {
		version = g.change("PATCH", object{"remove": []string{"members/2"}})
		for _, gateway := range gateways[:setsMembers-1] {
			gateway.waitLine(15*time.Second, "event=configuration_applied", fmt.Sprintf("version=%d", version))
		}
	}
	time.Sleep(setsBehind)
	stop()
	r.note("the front is told")
	members := setsMembers
	if r.trouble {
		members--
	}
	stop, lostAfter := g.sendBursts(members)
	time.Sleep(setsAfter)
	stop()
	r.note("%d requests got no answer before the front was told, %d after that", *lost, *lostAfter)
	return *lost+*lostAfter > 0
}

// sendBursts has a client at each of the first two gateways send bursts of requests until stop is called. After that,
// lost is the number of requests that got no answer.
func (g *growthRig) sendBursts(members int) (stop func(), lost *int) {
	done := make(chan struct{})
	lost = new(int)
	var mu sync.Mutex
	var running sync.WaitGroup
	for i := range 2 {
		running.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-done:
					return
				case <-time.After(setsPause):
				}
				unanswered := g.sendBurst(i, members, n)
				mu.Lock()
				*lost += unanswered
				mu.Unlock()
			}
		})
	}
	return func() { close(done); running.Wait() }, lost
}

// sendBurst sends one burst on a connection of its own and returns the number of requests without an answer.
func (g *growthRig) sendBurst(gateway, members, n int) (unanswered int) {
	c, err := dialClient(g.listen[gateway])
	if err != nil {
		g.note("client of n%d: %v", gateway, err)
		return 0
	}
	defer c.close()
	c.conn.SetDeadline(time.Now().Add(3 * time.Second))
	var text []byte
	for k := range setsBurst {
		customer := fmt.Sprintf("%016x", 4096*gateway+k+1)
		arguments := fmt.Sprintf("c=lookup,t=fleet,d=2500,units=1,spread=%d,first=0", members)
		text = append(text, encodeCommand("CALL.GET", customer, fmt.Sprintf("b%d-%d-%d-%d", members, gateway, n, k),
			arguments)...)
	}
	c.conn.Write(text)
	answers := map[string]int{}
	for k := range setsBurst {
		line, err := readLine(c.reader)
		if err == nil && strings.HasPrefix(line, "$") {
			_, err = readBulk(c.reader, line)
			line = "a value"
		}
		if err != nil {
			unanswered = setsBurst - k
			answers["none: "+err.Error()] = unanswered
			break
		}
		answers[line]++
	}
	g.note("client of n%d: %d requests at once, spread=%d: %v", gateway, setsBurst, members, answers)
	return unanswered
}
