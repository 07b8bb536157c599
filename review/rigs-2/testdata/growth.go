package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net/http"
	"slices"
	"sync"
	"time"
)

// The figures of the case growth: those of east-mids-checkin for the plan with a ceiling.
const (
	growthRate        = 15.0             // units a second of the quota
	growthBurst       = 30.0             // 2 s worth
	growthFactor      = 1.6              // of the ceiling to the quota
	growthDemand      = 66.0             // units a second asked for: 4.4 times the quota
	growthSlackShare  = 0.1              // slack of the ceiling, as a share of its amount
	growthSocketSlack = 0.15             // further slack on sockets: what the rate gives in this many seconds
	growthBefore      = 8 * time.Second  // load before the fleet grows
	growthAfter       = 45 * time.Second // load after that
	growthCustomer    = "000000000000a1b2"
	growthMembersOld  = 2
	growthMembersNew  = 4
)

// growthRig is a fleet with publishers of its configuration.
type growthRig struct {
	*rig
	listen     []string // of the gateways for clients
	peers      []string
	publishers []string // their addresses for gateways
	admin      []string
	hosts      []*host
	agent      *agent
}

func growthProfiles() []object { return []object{profile("lookup", "safe", 600, 2500)} }

func growthPlans() []object {
	return []object{{"name": "fleet", "rate": growthRate, "burst": growthBurst, "worth_factor": 1.4,
		"ceiling_rate": growthRate * growthFactor, "cap_depth": growthBurst * growthFactor,
		"ceiling_slack": growthBurst * growthFactor * growthSlackShare}}
}

// playGrowth has the fleet of gateways grow while a customer presses against its quota.
func playGrowth(r *rig) bool {
	g := &growthRig{rig: r, listen: r.freeAddresses(growthMembersNew), peers: r.freeAddresses(growthMembersNew)}
	for range 8 {
		g.hosts = append(g.hosts, r.newHost(func(c call, write func(string)) {
			time.Sleep(60 * time.Millisecond)
			write(value("for "+c.words[2], 0.3))
		}))
	}
	g.agent = r.newAgent(g.hosts...)
	g.startPublishers()
	version := g.change("PUT", object{"plans": growthPlans(), "profiles": growthProfiles(),
		"peers":  g.peers[:growthMembersOld],
		"limits": object{"max_attempts": 3, "retry_after": true, "max_retry_after_us": 2000000, "cancelling": true}})
	gateways := g.startGateways(0, growthMembersOld, version)
	stop := g.press(growthMembersOld)
	time.Sleep(growthBefore)
	if r.trouble {
		stop()
		set := object{}
		for i := growthMembersOld; i < growthMembersNew; i++ {
			set[fmt.Sprintf("members/%d", i)] = g.peers[i]
		}
		version = g.change("PATCH", object{"set": set})
		for _, gateway := range gateways {
			gateway.waitLine(15*time.Second, "event=configuration_applied", fmt.Sprintf("version=%d", version))
		}
		g.startGateways(growthMembersOld, growthMembersNew, version)
		r.note("the fleet has grown from %d to %d gateways", growthMembersOld, growthMembersNew)
		stop = g.press(growthMembersNew)
	}
	time.Sleep(growthAfter)
	stop()
	return g.judge()
}

// startPublishers starts three publishers.
func (g *growthRig) startPublishers() {
	const count = 3
	g.publishers = g.freeAddresses(count)
	g.admin = g.freeAddresses(count)
	raft := g.freeAddresses(count)
	for i := range count {
		path := g.writeJSON(fmt.Sprintf("publisher-%d.json", i), object{
			"index": i, "listen": g.publishers[i], "raft_listen": raft[i], "raft": raft,
			"admin_listen": g.admin[i], "admin": g.admin, "dir": fmt.Sprintf("%s/publisher-%d", g.temp, i),
			"key": "000102030405060708090a0b0c0d0e0f",
		})
		g.launch(fmt.Sprintf("publisher-%d", i), "exec bin/ravensill-publisher", "PUBLISHER_CONFIG="+path)
	}
}

// startGateways starts the gateways from one index up to another and waits until a version is in force there.
func (g *growthRig) startGateways(from, to, version int) (gateways []*process) {
	for i := from; i < to; i++ {
		file := gatewayFile(g.listen[i], g.agent.address(), g.peers[:to], i, growthProfiles(), growthPlans())
		file["configuration"] = object{"publishers": g.publishers, "dir": fmt.Sprintf("%s/configuration-%d", g.temp, i)}
		gateways = append(gateways, g.startGateway(fmt.Sprintf("n%d", i), file))
	}
	for i, gateway := range gateways {
		gateway.waitLine(15*time.Second, "event=configuration_applied", fmt.Sprintf("version=%d", version))
		g.waitReady(g.listen[from+i])
	}
	return gateways
}

// change sends a change to the publishers, again while there is no leader, and returns the version.
func (g *growthRig) change(method string, body object) int {
	text, err := json.Marshal(body)
	g.require(err, "change")
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(200 * time.Millisecond) {
		request, err := http.NewRequest(method, "http://"+g.admin[0]+"/v1/configuration", bytes.NewReader(text))
		g.require(err, "change")
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			continue
		}
		answer, _ := io.ReadAll(response.Body)
		response.Body.Close()
		if response.StatusCode == http.StatusServiceUnavailable {
			continue
		}
		g.note("%s %s: %d %s", method, text, response.StatusCode, bytes.TrimSpace(answer))
		var publication struct{ Version int }
		if response.StatusCode != http.StatusOK || json.Unmarshal(answer, &publication) != nil {
			panic(cannotRun{"the publishers refused the change"})
		}
		return publication.Version
	}
	panic(cannotRun{"the publishers have no leader"})
}

// press sends the customer's requests to the gateways in turn, at the demand, until the returned function is called.
func (g *growthRig) press(members int) (stop func()) {
	done := make(chan struct{})
	var running sync.WaitGroup
	const clientsPerGateway = 12
	interval := time.Duration(float64(clientsPerGateway*members) / growthDemand * float64(time.Second))
	for k := range clientsPerGateway * members {
		running.Go(func() {
			c := &keptClient{address: g.listen[k%members]}
			defer c.close()
			next := time.Now().Add(interval * time.Duration(k) / time.Duration(clientsPerGateway*members))
			for n := 0; ; n++ {
				select {
				case <-done:
					return
				case <-time.After(time.Until(next)):
				}
				next = next.Add(interval)
				id := fmt.Sprintf("q%d-%d-%d", members, k, n)
				arguments := fmt.Sprintf("c=lookup,t=fleet,d=2500,units=1,spread=%d,first=0", members)
				sent := time.Now()
				answer := c.call(3*time.Second, "CALL.GET", growthCustomer, id, arguments)
				g.noteAt(sent, "client to n%d: %s spread=%d: %s", k%members, id, members, answer)
			}
		})
	}
	return func() {
		close(done)
		running.Wait()
	}
}

// judge replays the first attempt of each request, in the order in which they came whole to a host, on the customer's
// store: it starts full and may not fall below 0 by more than the slack.
func (g *growthRig) judge() bool {
	var firsts []call
	seen := map[string]bool{}
	var all []call
	for _, h := range g.hosts {
		all = append(all, h.callsSoFar()...)
	}
	slices.SortFunc(all, func(a, b call) int { return a.at.Compare(b.at) })
	for _, c := range all {
		if !seen[c.words[2]] {
			seen[c.words[2]] = true
			firsts = append(firsts, c)
		}
	}
	rate := growthRate * growthFactor
	depth := growthBurst * growthFactor
	slack := depth*growthSlackShare + rate*growthSocketSlack
	level, lowest, taken := depth, depth, 0
	last := g.start
	perSecond := map[int]int{}
	for _, c := range firsts {
		level = math.Min(depth, level+rate*c.at.Sub(last).Seconds()) - 1
		last = c.at
		taken++
		perSecond[int(c.at.Sub(g.start).Seconds())]++
		lowest = math.Min(lowest, level)
		g.noteAt(c.at, "host: first attempt of %s, store at %.1f", c.words[2], level)
	}
	g.note("units sent on in each second: %v", perSecond)
	g.note("ceiling %.1f units a second up to %.1f, slack %.1f; %d units sent on; lowest store %.1f",
		rate, depth, slack, taken, lowest)
	return lowest < -slack
}
