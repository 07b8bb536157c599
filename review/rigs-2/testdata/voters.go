package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// The figures of the case voters: a store of 24 connections that five gateways share.
const (
	votersGateways = 5
	votersCount    = 3 // the first gateways vote
	votersCapacity = 24
	votersReserve  = 2
	votersFloor    = 1
	votersLeaseMS  = 5000
	votersService  = 350 * time.Millisecond // of a request at the store
	votersLoad     = 14                     // requests that clients keep open at each loaded gateway
	votersBefore   = 12 * time.Second
	votersAfter    = 15 * time.Second
)

// votersRig is a fleet whose gateways share the connections of one store.
type votersRig struct {
	*rig
	listen  []string
	files   []object
	store   *host
	running sync.WaitGroup
	done    chan struct{}
}

// playVoters kills all voters of a pool at once and starts them again from nothing, as on a platform without disks.
func playVoters(r *rig) bool {
	v := &votersRig{rig: r, listen: r.freeAddresses(votersGateways), done: make(chan struct{})}
	v.store = r.newHost(func(c call, write func(string)) {
		time.Sleep(votersService)
		write(value("for "+c.words[2], 0.2))
	})
	v.store.onChange = func(open int, at time.Time) { r.noteAt(at, "store: %d connections open", open) }
	v.prepare()
	var gateways []*process
	for i := range votersGateways {
		gateways = append(gateways, v.startGateway(fmt.Sprintf("n%d", i), v.files[i]))
	}
	for i := range votersGateways {
		r.waitReady(v.listen[i])
	}
	v.load(votersCount, votersGateways) // at first only at the gateways that don't vote
	time.Sleep(votersBefore)
	r.note("before: %d connections open at the store", v.store.openCount())
	if r.trouble {
		v.restartVoters(gateways)
	}
	v.load(0, votersCount)
	time.Sleep(votersAfter)
	close(v.done)
	v.running.Wait()
	r.note("most connections open at the store: %d, at %.3f; its capacity is %d", v.store.peak,
		v.store.peakAt.Sub(r.start).Seconds(), votersCapacity)
	return v.store.peak > votersCapacity
}

// prepare makes the configuration files.
func (v *votersRig) prepare() {
	peers := v.freeAddresses(votersGateways)
	voters := v.freeAddresses(votersCount)
	discovery := v.newAgent(v.store).address()
	profiles := []object{profile("page-fetch", "safe", 1500, 6000)}
	for i := range votersGateways {
		file := gatewayFile(v.listen[i], discovery, peers, i, profiles, []object{openPlan()})
		section := object{"capacity": votersCapacity, "serial": 1, "reserve": votersReserve, "floor": votersFloor,
			"lease_ms": votersLeaseMS, "voters": voters, "voter_seats": []int{0, 1, 2}, "key": strings.Repeat("5a", 16)}
		if i < votersCount {
			section["listen"] = voters[i]
			section["dir"] = v.dir(i)
		}
		file["pool"] = section
		v.files = append(v.files, file)
	}
}

// dir returns the folder of a voter, which does not outlive its machine.
func (v *votersRig) dir(i int) string { return filepath.Join(v.temp, fmt.Sprintf("voter-%d", i)) }

// restartVoters kills the voters and starts them again without what they had on disk.
func (v *votersRig) restartVoters(gateways []*process) {
	for _, gateway := range gateways[:votersCount] {
		gateway.kill()
	}
	v.note("killed the %d voters of %d gateways", votersCount, votersGateways)
	for i := range votersCount {
		v.require(os.RemoveAll(v.dir(i)), "folder of a voter")
	}
	for i := range votersCount {
		v.startGateway(fmt.Sprintf("n%d", i), v.files[i])
	}
	for i := range votersCount {
		v.waitReady(v.listen[i])
	}
}

// load keeps requests open at the gateways from one index up to another.
func (v *votersRig) load(from, to int) {
	for i := from; i < to; i++ {
		for k := range votersLoad {
			v.running.Go(func() { v.keepBusy(i, k) })
		}
	}
}

// keepBusy sends one request after another to a gateway, after a pause where one is refused.
func (v *votersRig) keepBusy(gateway, k int) {
	c := &keptClient{address: v.listen[gateway]}
	defer c.close()
	for n := 0; ; n++ {
		select {
		case <-v.done:
			return
		default:
		}
		id := fmt.Sprintf("g%d-%d-%d", gateway, k, n)
		customer := fmt.Sprintf("%016x", 256*gateway+k+1)
		arguments := fmt.Sprintf("c=page-fetch,t=team,d=6000,units=1,spread=%d,first=0", votersGateways)
		sent := time.Now()
		answer := c.call(7*time.Second, "CALL.GET", customer, id, arguments)
		v.noteAt(sent, "client to n%d: %s: %s", gateway, id, answer)
		if !strings.HasPrefix(answer, "$") {
			time.Sleep(150 * time.Millisecond)
		}
	}
}
